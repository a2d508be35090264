"""Actions that a balancer asks its caller to carry out, in the order in which they are returned.

Times are milliseconds. Actions are made by the hundred each second, so they are slotted rather than frozen;
treat them as immutable.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Start an attempt; attempts of a request are numbered from 0 in this order."""

    id: int
    host: int
    timeout_ms: float


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class Fail:
    """Final answer: failed; says nothing of the effect."""

    id: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; a retry is harmless, after `wait_ms` at best."""

    id: int
    wait_ms: float = 0.0


@dataclass(slots=True)
class SetTimer:
    """Send `TimerFired(token)` after `delay_ms`."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class HealthCheck:
    """Check the health of a host."""

    host: int


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for all changes from now on."""


@dataclass(slots=True)
class FetchEndpoints:
    """Ask discovery for all endpoints once."""


Action = Send | Cancel | Fail | Refuse | SetTimer | HealthCheck | Subscribe | FetchEndpoints
