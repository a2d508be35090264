"""A proxy's reports on its traffic to the coordinators: requests of tenants by usage window, and load.

All values are absolute, so a repeated, late or lost report does no harm: of two reports of one incarnation
of a proxy, the one with the higher sequence number is newer. Messages contain these classes, and encode
fields by their order: no field may be moved or change its type.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import floor


def usage_window_at(unix_s: float, window_s: float) -> int:
    """Return the number of the usage window that contains a time; windows are `window_s` long."""
    return floor(unix_s / window_s)


@dataclass(frozen=True, slots=True)
class TenantCount:
    """The number of a tenant's requests that began to run."""

    tenant: str
    requests: int


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """The requests that began to run in one usage window, as counted by one proxy."""

    window: int  # number of the window: Unix time divided by the window's length, rounded down
    counts: tuple[TenantCount, ...]


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load that one proxy puts on the nodes of a service in a zone."""

    service: str
    zone: str  # zone of the nodes
    in_flight: int  # the proxy's requests at those nodes
    waiting: int  # requests in the proxy that wait for a node; 0 unless `zone` is the proxy's zone
    arrivals: int  # requests sent to those nodes since the proxy started


@dataclass(frozen=True, slots=True)
class ProxyTelemetry:
    """A report of one proxy: its changes since its last report on this connection."""

    proxy: str  # name of its machine
    incarnation: int  # start time of the process, in Unix milliseconds
    sequence: int  # sequence number of the report; rises with each report of an incarnation
    open_window: int  # the proxy's current window; counts of earlier windows change only by late first tokens
    windows: tuple[WindowCounts, ...] = ()  # the counts that changed
    loads: tuple[ServiceLoad, ...] = ()  # loads of services; empty: unchanged since the previous report
