"""Errors of the admin protocol."""

from __future__ import annotations


class BadCommandError(Exception):
    """The bytes received are not a valid command.

    The exception's message is sent as the reason in the response.
    """
