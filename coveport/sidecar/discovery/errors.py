"""Errors of the endpoint list."""

from __future__ import annotations


class DiscoveryResponseError(ValueError):
    """Discovery's answer is malformed, not what was requested, or older than what is known.

    The text is one line: the field or the line of the list, and what came there.
    """
