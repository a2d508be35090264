"""Errors of the proxy package. Expected outcomes (no node, no route) are typed return values instead."""

from __future__ import annotations


class ProxyError(Exception):
    """Base of all errors of this package."""


class ConnectFailedError(ProxyError):
    """No connection to a node was established within the time limit, so nothing was sent."""

    def __init__(self, address: str, timeout_s: float, cause: Exception) -> None:
        super().__init__(f"connection to {address} not established within {timeout_s} s: {cause!r}")
        self.address = address


class BrokenResponseError(ProxyError):
    """A node's response ended or became invalid before it was complete. The request may have run."""

    def __init__(self, stage: str, expected: str, received: str) -> None:
        """Create an error; `stage` is the part of the response that was being read ("head", "body")."""
        super().__init__(f"response {stage}: expected {expected}, received {received}")
        self.stage = stage
