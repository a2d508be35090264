"""Errors of the endpoint list."""

from __future__ import annotations


class DiscoveryResponseError(ValueError):
    """A response of discovery is malformed, not the list that was requested, or older than the present list.

    The text is one line: the field or the endpoint, and the value that was received.
    """
