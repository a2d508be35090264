"""Errors of the sidecar's configuration; their texts are for the operator."""

from __future__ import annotations


class ConfigurationError(Exception):
    """Base of all errors of this package."""


class PlatformFileError(ConfigurationError):
    """The platform's JSON file or an LB_* variable can't be used; one line."""


class OperatorFileError(ConfigurationError):
    """The operator's TOML file can't be used; a line for each fault."""


class LeaseTermsError(ConfigurationError, ValueError):
    """Lease terms under which nothing could be held safely, or at all; one line."""
