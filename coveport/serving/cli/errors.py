"""Errors of the command line."""

from __future__ import annotations


class CommandLineError(Exception):
    """Base of all errors of this package; the text is a one-line message for the operator."""


class CoreAddressError(CommandLineError):
    """No coordinator address was given, or a given text is not an address."""
