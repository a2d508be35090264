"""Errors of the admin protocol."""

from __future__ import annotations


class BadCommandError(Exception):
    """The operator sent what is no command; the text is the reason that is answered."""
