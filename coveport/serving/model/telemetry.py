"""What a proxy reports of its traffic to the coordinators: requests of tenants by usage window, and load.

All values are absolute, so a report that is repeated, late or lost changes nothing: of two reports of one
incarnation of a proxy the one with the higher sequence number is the newer. They are parts of messages, which
are encoded by the order of fields: none may be moved or retyped.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import floor


def usage_window_at(unix_s: float, window_s: float) -> int:
    """Return the number of the usage window at a moment; windows are `window_s` long."""
    return floor(unix_s / window_s)


@dataclass(frozen=True, slots=True)
class TenantCount:
    """How many requests of a tenant began to run."""

    tenant: str
    requests: int


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """The requests that began to run in one usage window, as one proxy saw them."""

    window: int  # number of the window: Unix time divided by the window's length, rounded down
    counts: tuple[TenantCount, ...]


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load that one proxy puts on the nodes of a service in a zone."""

    service: str
    zone: str  # of the nodes
    in_flight: int  # requests at those nodes now
    waiting: int  # requests that wait for a node of the service; counted for the proxy's own zone
    arrivals: int  # requests forwarded there since the proxy started


@dataclass(frozen=True, slots=True)
class ProxyTelemetry:
    """A report of one proxy: what changed since its last report on this connection."""

    proxy: str  # name of its machine
    incarnation: int  # rises with every start of the process: Unix milliseconds
    sequence: int  # rises with every report of an incarnation
    open_window: (
        int  # the window in which the proxy is now; all earlier ones are final up to late first tokens
    )
    windows: tuple[WindowCounts, ...] = ()  # the counts that changed
    loads: tuple[ServiceLoad, ...] = ()  # empty: those of the report before still hold
