"""Errors of the admin protocol."""

from __future__ import annotations


class BadCommandError(Exception):
    """The bytes received are not a valid command; the text is the reason in the response."""
