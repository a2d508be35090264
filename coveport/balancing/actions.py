"""Actions that a balancer returns for its caller to carry out, in the order in which they are returned.

Times are in milliseconds. Hundreds of actions are created each second, so the classes have slots instead of
being frozen; treat the objects as immutable.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """The start of an attempt at a host.

    A request's attempts are numbered in the order of these actions: from 0, or after its prior attempts.
    """

    id: int
    host: int
    timeout_ms: float


@dataclass(slots=True)
class Cancel:
    """The cancellation of an attempt that is in flight."""

    id: int
    attempt: int


@dataclass(slots=True)
class Fail:
    """The final answer that a request failed; it may or may not have been executed."""

    id: int


@dataclass(slots=True)
class Refuse:
    """The final answer that a request is rejected; a retry is harmless, best after `wait_ms`."""

    id: int
    wait_ms: float = 0.0


@dataclass(slots=True)
class SetTimer:
    """A timer: the caller sends `TimerFired(token)` after `delay_ms`."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class HealthCheck:
    """A health check of a host."""

    host: int


@dataclass(slots=True)
class Subscribe:
    """A subscription to all endpoint updates from now on."""


@dataclass(slots=True)
class FetchEndpoints:
    """A single fetch of all endpoints from discovery."""


Action = Send | Cancel | Fail | Refuse | SetTimer | HealthCheck | Subscribe | FetchEndpoints
