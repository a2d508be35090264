"""What the holder of the duties sees of each service with a variable number of nodes. Pure.

Two sources, each with gaps: the nodes' heartbeats, and the reports of proxies. An observation says whether
it is complete, since what is not seen must not be taken for absent: a region that is cut off from the holder
has neither nodes nor load in it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from coveport.serving.duties.telemetry_table import ReportedState, TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.model.configuration import Service
from coveport.serving.model.node import Node, NodeState

# A report is fresh for so long: loads come each second, by way of another coordinator half a second later.
MAX_REPORT_AGE_S: Final = 3.0


class FleetSubject(NamedTuple):
    """The nodes of a service in one zone."""

    service: str
    zone: str


@dataclass(frozen=True, slots=True)
class LiveProxy:
    """A proxy with a lease."""

    source: ReportSource
    zone: str


@dataclass(frozen=True, slots=True)
class FleetSources:
    """What is read for an observation; the callables take the monotonic time."""

    table: TelemetryTable
    live_proxies: Callable[[float], Collection[LiveProxy]]
    nodes: Callable[[float], Iterable[Node]]
    services: Callable[[], Iterable[Service]]  # of the newest configuration
    evacuated_zones: Callable[[], Collection[str]]
    regions: dict[str, str]  # region by zone, of all zones


@dataclass(slots=True)
class ZoneFleet:
    """Nodes and load of a service in a zone."""

    region: str
    accepting: int = 0  # those that warm up included
    warming: int = 0
    closing: int = 0  # they finish what they have, or have a time at which they end
    slots: int = 0  # of the accepting nodes
    in_flight: int = 0
    waiting: int = 0
    arrivals: int = 0  # since the observer's start; never falls

    @property
    def demand(self) -> int:
        """The slots that would be used now if none were lacking."""
        return self.in_flight + self.waiting


@dataclass(frozen=True, slots=True)
class FleetObservation:
    """One look at all services of variable size."""

    services: dict[str, Service]
    fleets: dict[FleetSubject, ZoneFleet]
    reachable_zones: frozenset[str]  # with a live proxy
    has_all_load: bool  # every proxy that may serve has a fresh report
    has_all_zones: bool  # every zone is reachable, and none is evacuated

    @property
    def is_complete(self) -> bool:
        """Whether what is not seen is certainly not there."""
        return self.has_all_load and self.has_all_zones


@dataclass(slots=True)
class ArrivalCounter:
    """Adds up the arrivals at all proxies: a proxy that comes back, or starts anew, is no burst."""

    _reported: dict[ReportSource, dict[FleetSubject, int]] = field(default_factory=dict)
    _totals: dict[FleetSubject, int] = field(default_factory=dict)

    def record(self, entry: ReportedState) -> None:
        """Take the newest report of one run of a proxy; a report may be taken again."""
        is_new = entry.source not in self._reported
        reported = self._reported.setdefault(entry.source, {})
        for load in entry.loads:
            subject = FleetSubject(load.service, load.zone)
            before = load.arrivals if is_new else reported.get(subject, 0)
            self._totals[subject] = self._totals.get(subject, 0) + max(0, load.arrivals - before)
            reported[subject] = load.arrivals

    def forget_all_but(self, sources: Collection[ReportSource]) -> None:
        """Drop runs of proxies that have ended."""
        for source in [source for source in self._reported if source not in sources]:
            del self._reported[source]

    def total(self, subject: FleetSubject) -> int:
        """Return the arrivals since the first report."""
        return self._totals.get(subject, 0)


class FleetObserver:
    """Makes the observations."""

    def __init__(self, sources: FleetSources) -> None:
        self._sources = sources
        self._arrivals = ArrivalCounter()

    def observe(self, now_s: float) -> FleetObservation:
        """Return what is seen now."""
        sources = self._sources
        live = sources.live_proxies(now_s)
        runs = list(sources.table.newest_runs())
        services = {service.name: service for service in sources.services() if service.scaling is not None}
        fleets: dict[FleetSubject, ZoneFleet] = {}
        self._add_nodes(fleets, services, now_s)
        self._add_loads(fleets, runs, now_s)
        reachable = frozenset(proxy.zone for proxy in live)
        has_all_zones = reachable >= set(sources.regions) and not sources.evacuated_zones()
        has_all_load = _has_all_load(live, runs, now_s)
        return FleetObservation(services, fleets, reachable, has_all_load, has_all_zones)

    def _add_nodes(
        self, fleets: dict[FleetSubject, ZoneFleet], services: Collection[str], now_s: float
    ) -> None:
        for node in self._sources.nodes(now_s):
            if node.service in services and node.state is not NodeState.DEREGISTERED:
                subject = FleetSubject(node.service, node.zone)
                _add_node(fleets.setdefault(subject, ZoneFleet(node.region)), node)

    def _add_loads(
        self, fleets: dict[FleetSubject, ZoneFleet], runs: Collection[ReportedState], now_s: float
    ) -> None:
        """Add what was reported lately, also by proxies whose lease has just ended: they may still serve."""
        self._arrivals.forget_all_but({entry.source for entry in runs})
        for entry in runs:
            self._arrivals.record(entry)
            if now_s - entry.received_at_s <= MAX_REPORT_AGE_S:
                _add_load(fleets, entry)
        for subject, fleet in fleets.items():
            fleet.arrivals = self._arrivals.total(subject)


def _add_node(fleet: ZoneFleet, node: Node) -> None:
    if node.state is NodeState.DRAINING or node.shutdown_in_ms > 0:
        fleet.closing += 1
        return
    fleet.accepting += 1
    fleet.slots += node.slots
    fleet.warming += node.warm_up_left_ms > 0


def _add_load(fleets: dict[FleetSubject, ZoneFleet], entry: ReportedState) -> None:
    for load in entry.loads:
        fleet = fleets.get(FleetSubject(load.service, load.zone))
        if fleet is not None:
            fleet.in_flight += load.in_flight
            fleet.waiting += load.waiting


def _has_all_load(live: Collection[LiveProxy], runs: Collection[ReportedState], now_s: float) -> bool:
    """Return whether every proxy with a lease, and every one heard of lately, has a fresh report."""
    fresh = {entry.source for entry in runs if now_s - entry.received_at_s <= MAX_REPORT_AGE_S}
    silent = any(entry.source not in fresh for entry in runs)
    return not silent and all(proxy.source in fresh for proxy in live)
