"""Errors of the command line."""

from __future__ import annotations


class CommandLineError(Exception):
    """Base of all errors of this package; the text is one line for a person."""


class CoreAddressError(CommandLineError):
    """No address of a coordinator was given, or a text that is no address."""
