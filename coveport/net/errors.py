"""Errors of addresses."""

from __future__ import annotations


class AddressError(ValueError):
    """A text is no IP address and port; the message names the text and what is wrong with it."""
