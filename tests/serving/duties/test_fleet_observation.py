"""Observations of the fleet: sums of nodes and load, and detection of missing reports."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from coveport.serving.duties.fleet_observation import (
    MAX_REPORT_AGE_S,
    FleetObservation,
    FleetObserver,
    FleetSources,
    LiveProxy,
    NodeGroup,
)
from coveport.serving.duties.telemetry_table import TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.model.configuration import Scaling, Service
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.telemetry import ProxyTelemetry, ServiceLoad

NODE = Node("n", 1, "s", "n", "z", "r", 16, NodeState.ACCEPTING)
GROUP = NodeGroup("s", "z")


@dataclass
class Sources:
    """The sources of an observer, at a time of 100 s."""

    nodes: list[Node] = field(default_factory=lambda: [NODE])
    live: list[str] = field(default_factory=lambda: ["p"])
    services: tuple[Service, ...] = (Service("s", scaling=Scaling(1, 5)), Service("fixed"))
    evacuated: set[str] = field(default_factory=set)
    zones: dict[str, str] = field(default_factory=lambda: {"z": "r"})
    table: TelemetryTable = field(default_factory=TelemetryTable)

    def __post_init__(self) -> None:
        self.observer = FleetObserver(
            FleetSources(
                self.table,
                lambda _: [LiveProxy(ReportSource(name, 1), "z") for name in self.live],
                lambda _: self.nodes,
                lambda: self.services,
                lambda: self.evacuated,
                self.zones,
            )
        )

    def report(
        self, proxy: str = "p", in_flight: int = 0, waiting: int = 0, arrivals: int = 0, at_s: float = 100.0
    ) -> None:
        load = ServiceLoad("s", "z", in_flight, waiting, arrivals)
        sequence = arrivals + int(10 * at_s)
        self.table.record(ProxyTelemetry(proxy, 1, sequence, 1, (), (load,)), at_s)

    def observe(self, now_s: float = 100.0) -> FleetObservation:
        return self.observer.observe(now_s)


def test_loads_of_all_proxies_are_summed() -> None:
    sources = Sources(live=["p", "q"])
    sources.report("p", in_flight=3, waiting=1)
    sources.report("q", in_flight=4)
    observation = sources.observe()
    assert observation.fleets[GROUP].demand == 8
    assert observation.is_complete


def test_nodes_are_counted_by_state() -> None:
    sources = Sources()
    sources.nodes = [
        NODE,
        replace(NODE, warm_up_left_ms=500),
        replace(NODE, state=NodeState.DRAINING),
        replace(NODE, shutdown_in_ms=2000),
        replace(NODE, service="fixed"),
    ]
    fleet = sources.observe().fleets[GROUP]
    assert (fleet.accepting, fleet.warming_up, fleet.closing, fleet.slots) == (2, 1, 2, 32)
    assert set(sources.observe().fleets) == {GROUP}


def test_without_a_report_of_a_live_proxy_an_observation_is_incomplete() -> None:
    sources = Sources(live=["p", "q"])
    sources.report("p")
    assert not sources.observe().is_complete


def test_with_an_old_report_an_observation_is_incomplete_and_lacks_its_load() -> None:
    sources = Sources()
    sources.report(in_flight=5)
    observation = sources.observe(100.1 + MAX_REPORT_AGE_S)
    assert not observation.is_complete
    assert observation.fleets[GROUP].demand == 0


def test_with_an_unresponsive_proxy_without_a_lease_an_observation_is_incomplete() -> None:
    sources = Sources()
    sources.report("gone", at_s=90)
    sources.report("p")
    assert not sources.observe().is_complete


def test_without_a_live_proxy_in_a_zone_an_observation_is_incomplete() -> None:
    sources = Sources(zones={"z": "r", "far": "q"})
    sources.report()
    assert not sources.observe().is_complete


def test_with_an_evacuated_zone_an_observation_is_incomplete() -> None:
    sources = Sources(evacuated={"z"})
    sources.report()
    assert not sources.observe().is_complete


def test_the_first_report_of_a_proxy_does_not_count_as_arrivals() -> None:
    sources = Sources()
    sources.report(arrivals=500)
    assert sources.observe().fleets[GROUP].arrivals == 0
    sources.report(arrivals=530, at_s=101)
    assert sources.observe(101).fleets[GROUP].arrivals == 30


def test_total_arrivals_do_not_decrease_when_a_proxy_ends() -> None:
    sources = Sources()
    sources.report(arrivals=10)
    sources.observe()
    sources.report(arrivals=30, at_s=101)
    sources.observe(101)
    sources.table.expire(200)
    assert sources.observe(200).fleets[GROUP].arrivals == 20
