"""Errors of addresses."""

from __future__ import annotations


class AddressError(ValueError):
    """A text is not an IP address and port; the message quotes the text and names the fault."""
