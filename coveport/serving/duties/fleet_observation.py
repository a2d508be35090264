"""Observes, for the lease owner, nodes and load of each service with a variable number of nodes. No I/O.

The nodes' heartbeats and the proxies' reports may both be missing. Therefore an observation has a flag for
whether the observation is complete: nodes and load that are not observed may still exist, as in a region that
the lease owner can't reach.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from coveport.serving.duties.telemetry_table import ReportedState, TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.model.configuration import Service
from coveport.serving.model.node import Node, NodeState

# Maximum age of a fresh report. Load reports arrive each second, or half a second later through another
# coordinator.
MAX_REPORT_AGE_S: Final = 3.0


class NodeGroup(NamedTuple):
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
    """The sources of an observation; the callables take the monotonic time."""

    table: TelemetryTable
    live_proxies: Callable[[float], Collection[LiveProxy]]
    nodes: Callable[[float], Iterable[Node]]
    services: Callable[[], Iterable[Service]]  # services of the newest configuration
    evacuated_zones: Callable[[], Collection[str]]
    regions: dict[str, str]  # region by zone, for all zones


@dataclass(slots=True)
class ZoneFleet:
    """Nodes and load of a node group."""

    region: str
    accepting: int = 0  # includes nodes that are warming up
    warming_up: int = 0
    closing: int = 0  # draining, or with a time set for their shutdown
    slots: int = 0  # slots of the accepting nodes
    in_flight: int = 0
    waiting: int = 0
    arrivals: int = 0  # number of requests that arrived since the observer's start; never decreases

    @property
    def demand(self) -> int:
        """The number of slots that would be in use now if there were enough slots."""
        return self.in_flight + self.waiting


@dataclass(frozen=True, slots=True)
class FleetObservation:
    """Nodes and load of all services with a variable number of nodes, at one time."""

    services: dict[str, Service]
    fleets: dict[NodeGroup, ZoneFleet]
    reachable_zones: frozenset[str]  # zones with a live proxy
    has_all_load: bool  # whether every proxy that may serve has a fresh report
    has_all_zones: bool  # whether every zone is reachable, and none is evacuated

    @property
    def is_complete(self) -> bool:
        """Whether all nodes and all load are covered, so that a node or load missing here does not exist."""
        return self.has_all_load and self.has_all_zones


@dataclass(slots=True)
class ArrivalCounter:
    """Sums the arrivals at all proxies.

    The arrivals in the first report of a proxy run are not counted, since they would look like a burst.
    """

    _reported: dict[ReportSource, dict[NodeGroup, int]] = field(default_factory=dict)
    _totals: dict[NodeGroup, int] = field(default_factory=dict)

    def record(self, entry: ReportedState) -> None:
        """Add the newest report of one run of a proxy; a report that is added again changes nothing."""
        is_new = entry.source not in self._reported
        reported = self._reported.setdefault(entry.source, {})
        for load in entry.loads:
            group = NodeGroup(load.service, load.zone)
            counted_before = load.arrivals if is_new else reported.get(group, 0)
            self._totals[group] = self._totals.get(group, 0) + max(0, load.arrivals - counted_before)
            reported[group] = load.arrivals

    def retain_only(self, sources: Collection[ReportSource]) -> None:
        """Drop the counts of all runs of proxies that aren't in `sources`; these runs have ended."""
        for source in [source for source in self._reported if source not in sources]:
            del self._reported[source]

    def total(self, group: NodeGroup) -> int:
        """Return the arrivals at a group since the first report."""
        return self._totals.get(group, 0)


class FleetObserver:
    """Creates observations from the sources."""

    def __init__(self, sources: FleetSources) -> None:
        self._sources = sources
        self._arrivals = ArrivalCounter()

    def observe(self, now_s: float) -> FleetObservation:
        """Return the current observation."""
        sources = self._sources
        live = sources.live_proxies(now_s)
        runs = list(sources.table.newest_runs())
        services = {service.name: service for service in sources.services() if service.scaling is not None}
        fleets: dict[NodeGroup, ZoneFleet] = {}
        self._add_nodes(fleets, services, now_s)
        self._add_loads(fleets, runs, now_s)
        reachable = frozenset(proxy.zone for proxy in live)
        has_all_zones = reachable >= set(sources.regions) and not sources.evacuated_zones()
        has_all_load = _has_all_load(live, runs, now_s)
        return FleetObservation(services, fleets, reachable, has_all_load, has_all_zones)

    def _add_nodes(self, fleets: dict[NodeGroup, ZoneFleet], services: Collection[str], now_s: float) -> None:
        for node in self._sources.nodes(now_s):
            if node.service in services and node.state is not NodeState.DEREGISTERED:
                group = NodeGroup(node.service, node.zone)
                _add_node(fleets.setdefault(group, ZoneFleet(node.region)), node)

    def _add_loads(
        self, fleets: dict[NodeGroup, ZoneFleet], runs: Collection[ReportedState], now_s: float
    ) -> None:
        """Add recently reported load, also of proxies whose lease has just ended: these may still serve."""
        self._arrivals.retain_only({entry.source for entry in runs})
        for entry in runs:
            self._arrivals.record(entry)
            if now_s - entry.received_at_s <= MAX_REPORT_AGE_S:
                _add_load(fleets, entry)
        for group, fleet in fleets.items():
            fleet.arrivals = self._arrivals.total(group)


def _add_node(fleet: ZoneFleet, node: Node) -> None:
    if node.state is NodeState.DRAINING or node.shutdown_in_ms > 0:
        fleet.closing += 1
        return
    fleet.accepting += 1
    fleet.slots += node.slots
    fleet.warming_up += node.warm_up_left_ms > 0


def _add_load(fleets: dict[NodeGroup, ZoneFleet], entry: ReportedState) -> None:
    for load in entry.loads:
        fleet = fleets.get(NodeGroup(load.service, load.zone))
        if fleet is not None:
            fleet.in_flight += load.in_flight
            fleet.waiting += load.waiting


def _has_all_load(live: Collection[LiveProxy], runs: Collection[ReportedState], now_s: float) -> bool:
    """Return whether every proxy with a lease or a recent report has a fresh report."""
    fresh = {entry.source for entry in runs if now_s - entry.received_at_s <= MAX_REPORT_AGE_S}
    has_unresponsive_proxy = any(entry.source not in fresh for entry in runs)
    return not has_unresponsive_proxy and all(proxy.source in fresh for proxy in live)
