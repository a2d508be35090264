"""What an observation of the fleet sums up, and what it says is missing."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from coveport.serving.duties.fleet_observation import (
    MAX_REPORT_AGE_S,
    FleetObservation,
    FleetObserver,
    FleetSources,
    FleetSubject,
    LiveProxy,
)
from coveport.serving.duties.telemetry_table import TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.model.configuration import Scaling, Service
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.telemetry import ProxyTelemetry, ServiceLoad

NODE = Node("n", 1, "s", "n", "z", "r", 16, NodeState.ACCEPTING)
SUBJECT = FleetSubject("s", "z")


@dataclass
class Seen:
    """The tables that are read; their time is 100 s."""

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
    seen = Seen(live=["p", "q"])
    seen.report("p", in_flight=3, waiting=1)
    seen.report("q", in_flight=4)
    observation = seen.observe()
    assert observation.fleets[SUBJECT].demand == 8
    assert observation.is_complete


def test_nodes_are_counted_by_what_they_can_still_take() -> None:
    seen = Seen()
    seen.nodes = [
        NODE,
        replace(NODE, warm_up_left_ms=500),
        replace(NODE, state=NodeState.DRAINING),
        replace(NODE, shutdown_in_ms=2000),
        replace(NODE, service="fixed"),
    ]
    fleet = seen.observe().fleets[SUBJECT]
    assert (fleet.accepting, fleet.warming, fleet.closing, fleet.slots) == (2, 1, 2, 32)
    assert set(seen.observe().fleets) == {SUBJECT}


def test_a_live_proxy_without_a_report_is_a_gap() -> None:
    seen = Seen(live=["p", "q"])
    seen.report("p")
    assert not seen.observe().is_complete


def test_an_old_report_is_a_gap_and_its_load_does_not_count() -> None:
    seen = Seen()
    seen.report(in_flight=5)
    observation = seen.observe(100.1 + MAX_REPORT_AGE_S)
    assert not observation.is_complete
    assert observation.fleets[SUBJECT].demand == 0


def test_a_proxy_that_lost_its_lease_and_is_silent_is_a_gap() -> None:
    seen = Seen()
    seen.report("gone", at_s=90)
    seen.report("p")
    assert not seen.observe().is_complete


def test_a_zone_without_a_live_proxy_is_a_gap() -> None:
    seen = Seen(zones={"z": "r", "far": "q"})
    seen.report()
    assert not seen.observe().is_complete


def test_an_evacuated_zone_is_a_gap() -> None:
    seen = Seen(evacuated={"z"})
    seen.report()
    assert not seen.observe().is_complete


def test_arrivals_of_a_proxy_seen_for_the_first_time_are_no_burst() -> None:
    seen = Seen()
    seen.report(arrivals=500)
    assert seen.observe().fleets[SUBJECT].arrivals == 0
    seen.report(arrivals=530, at_s=101)
    assert seen.observe(101).fleets[SUBJECT].arrivals == 30


def test_arrivals_do_not_fall_when_a_proxy_ends() -> None:
    seen = Seen()
    seen.report(arrivals=10)
    seen.observe()
    seen.report(arrivals=30, at_s=101)
    seen.observe(101)
    seen.table.expire(200)
    assert seen.observe(200).fleets[SUBJECT].arrivals == 20
