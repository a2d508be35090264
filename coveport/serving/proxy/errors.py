"""Errors of the proxy package. An ordinary "no" (no node, no route) is a typed value instead."""

from __future__ import annotations


class ProxyError(Exception):
    """Base of all errors of this package."""


class ConnectFailedError(ProxyError):
    """No connection to a node came up within its time limit, so nothing was sent."""

    def __init__(self, address: str, timeout_s: float, cause: Exception) -> None:
        super().__init__(f"expected a connection to {address} within {timeout_s} s, got {cause!r}")
        self.address = address


class BrokenResponseError(ProxyError):
    """A node's response ended, or became unusable, before it was complete. The request may have run."""

    def __init__(self, stage: str, expected: str, received: str) -> None:
        """`stage` is the part of the response that was being read, such as "head" or "body"."""
        super().__init__(f"response {stage}: expected {expected}, received {received}")
        self.stage = stage
