"""Errors of the sidecar's configuration; their texts are for the operator."""

from __future__ import annotations


class ConfigurationError(Exception):
    """Base class of the configuration errors."""


class PlatformFileError(ConfigurationError):
    """The platform's JSON file or an LB_* variable can't be used; the text is one line."""


class OperatorFileError(ConfigurationError):
    """The operator's TOML file can't be used; the text has a line for each fault."""


class LeaseTermsError(ConfigurationError, ValueError):
    """Lease terms that leave no time in which a role can be held safely; the text is one line."""
