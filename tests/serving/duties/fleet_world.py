"""Fleet orders in simulated time: nodes that boot and drain, proxies, lease owners and a platform."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from coveport.serving.coordinator.fleet_duty import fleet_call
from coveport.serving.duties.commands import RecordFleetOrders
from coveport.serving.duties.duty import CallOutcome, PlatformCall
from coveport.serving.duties.fleet_controller import FleetController, group_of
from coveport.serving.duties.fleet_observation import FleetObserver, FleetSources, LiveProxy, NodeGroup
from coveport.serving.duties.fleet_sizing import ToleratedLosses
from coveport.serving.duties.state import FleetOrder, SingletonState
from coveport.serving.duties.telemetry_table import TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.model.configuration import Scaling, Service
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.telemetry import ProxyTelemetry, ServiceLoad

STEP_S = 0.1
REPORT_INTERVAL_S = 1.0
NODE_TIMEOUT_S = 5.4
LEASE_S = 1.2
DRAIN_S = 2.0
SERVICE_TIME_S = 1.0
SLOTS = 16
REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
ONE_ZONE = ToleratedLosses(zones=1)
SERVICE = Service("s", warm_up_s=2.0, scaling=Scaling(2, 20, 8.0))


@dataclass
class SimulatedNode:
    """A node that boots, serves, and then drains or crashes."""

    name: str
    zone: str
    serves_from_s: float
    drains_from_s: float | None = None
    last_seen_s: float = 0.0


@dataclass
class FleetWorld:
    """Simulated time and the surroundings of a lease owner. `rate`: requests per second by zone and time."""

    rate: Callable[[str, float], float]
    nodes_per_zone: int = 10
    seed: int = 1
    service: Service = SERVICE
    tolerated: ToleratedLosses = ONE_ZONE
    now_s: float = 0.0
    state: SingletonState = field(default_factory=SingletonState)
    outcome: CallOutcome = CallOutcome.ACCEPTED
    accepts_when_unknown: bool = False
    unreachable_zones: set[str] = field(default_factory=set)  # from the lease owner; they still serve
    unresponsive_zones: set[str] = field(default_factory=set)  # proxies with a lease but no reports
    evacuated_zones: set[str] = field(default_factory=set)
    nodes: list[SimulatedNode] = field(default_factory=list)
    calls: list[tuple[float, FleetOrder]] = field(default_factory=list)
    commands: list[tuple[float, FleetOrder]] = field(default_factory=list)
    lost_requests: float = 0.0
    node_seconds: float = 0.0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self._numbers = 0
        self._in_flight: dict[str, list[float]] = {zone: [] for zone in REGIONS}  # end times of the requests
        self._arrivals: Counter[str] = Counter()
        self._sequence = 0
        for zone in REGIONS:
            for _ in range(self.nodes_per_zone):
                self._add_node(zone, 0.0)
        self.start_lease_owner()

    # -- the lease owner --

    def start_lease_owner(self) -> None:
        """Let another coordinator take over with the recorded state; it gets reports from now on."""
        self.table = TelemetryTable()
        sources = FleetSources(
            self.table,
            lambda _: self._live_proxies(),
            lambda _: self._known_nodes(),
            lambda: (self.service,),
            lambda: self.evacuated_zones,
            dict(REGIONS),
        )
        self.controller = FleetController(
            FleetObserver(sources).observe, self.tolerated, fleet_call, lambda _: None
        )
        self.controller.take_over(self.state, self.now_s)

    def _live_proxies(self) -> tuple[LiveProxy, ...]:
        return tuple(
            LiveProxy(ReportSource(f"p-{zone}", 1), zone)
            for zone in REGIONS
            if zone not in self.unreachable_zones
        )

    def _known_nodes(self) -> list[Node]:
        return [self._describe(node) for node in self.nodes if self._is_known(node)]

    def _is_known(self, node: SimulatedNode) -> bool:
        return node.serves_from_s <= self.now_s <= node.last_seen_s + NODE_TIMEOUT_S

    def _describe(self, node: SimulatedNode) -> Node:
        state = NodeState.ACCEPTING if node.drains_from_s is None else NodeState.DRAINING
        warm_up_left_ms = max(0.0, node.serves_from_s + self.service.warm_up_s - self.now_s) * 1000
        if node.serves_from_s == 0.0:
            warm_up_left_ms = 0.0
        region = REGIONS[node.zone]
        return Node(node.name, 1, "s", node.name, node.zone, region, SLOTS, state, warm_up_left_ms)

    def _run_lease_owner(self) -> None:
        """Do one tick of the task runner."""
        for _ in range(20):
            command = self.controller.next_command(self.state, 1, self.now_s)
            if command is not None:
                assert isinstance(command, RecordFleetOrders)
                self._commit(command)
                continue
            call = self.controller.next_call(self.state, self.now_s)
            if call is None:
                return
            self.controller.record_outcome(call, self._receive_call(call), self.now_s)
        raise AssertionError("the lease owner has more than 20 steps in a tick")

    def _commit(self, command: RecordFleetOrders) -> None:
        orders = {group_of(order): order for order in self.state.fleet_orders}
        orders.update((group_of(order), order) for order in command.orders)
        self.commands += [(self.now_s, order) for order in command.orders]
        self.state = replace(self.state, fleet_orders=tuple(orders[key] for key in sorted(orders)))

    # -- the platform --

    def _receive_call(self, call: PlatformCall) -> CallOutcome:
        body = json.loads(call.body)
        order = FleetOrder(body["Service"], body["Zone"], body["Wanted"])
        self.calls.append((self.now_s, order))
        is_accepted = self.outcome is CallOutcome.UNKNOWN and self.accepts_when_unknown
        if self.outcome is CallOutcome.ACCEPTED or is_accepted:
            self._resize(order.zone, order.wanted)
        return self.outcome

    def _resize(self, zone: str, wanted: int) -> None:
        present = [node for node in self.nodes if node.zone == zone and node.drains_from_s is None]
        for _ in range(wanted - len(present)):
            assert self.service.scaling is not None
            self._add_node(zone, self.now_s + self.service.scaling.boot_s)
        for node in present[: max(0, len(present) - wanted)]:
            node.drains_from_s = self.now_s

    def _add_node(self, zone: str, serves_from_s: float) -> None:
        self._numbers += 1
        self.nodes.append(SimulatedNode(f"n{self._numbers}", zone, serves_from_s, last_seen_s=serves_from_s))

    # -- nodes and requests --

    def crash(self, zone: str, count: int) -> None:
        """Remove nodes abruptly; the platform does not replace them without an order."""
        for node in [node for node in self.nodes if node.zone == zone][:count]:
            self.nodes.remove(node)

    def _serving_slots(self, zone: str) -> int:
        return SLOTS * sum(
            node.zone == zone and node.drains_from_s is None and node.serves_from_s <= self.now_s
            for node in self.nodes
        )

    def _advance_nodes(self) -> None:
        for node in self.nodes:
            if node.zone not in self.unreachable_zones:
                node.last_seen_s = max(node.last_seen_s, self.now_s)
        self.nodes = [
            node
            for node in self.nodes
            if node.drains_from_s is None or self.now_s < node.drains_from_s + DRAIN_S
        ]
        self.node_seconds += STEP_S * len(self.nodes)

    def _advance_requests(self) -> None:
        for zone in REGIONS:
            self._in_flight[zone] = [end_s for end_s in self._in_flight[zone] if end_s > self.now_s]
            for _ in range(self._draw_arrivals(zone)):
                if len(self._in_flight[zone]) >= self._serving_slots(zone):
                    self.lost_requests += 1
                    continue
                self._arrivals[zone] += 1
                self._in_flight[zone].append(self.now_s + self.random.expovariate(1 / SERVICE_TIME_S))

    def _draw_arrivals(self, zone: str) -> int:
        """Draw the number of arrivals in a step, binomial with the mean of the rate."""
        mean = self.rate(zone, self.now_s) * STEP_S
        draws = 4 * max(1, round(mean))
        return sum(self.random.random() < mean / draws for _ in range(draws))

    def _report(self) -> None:
        self._sequence += 1
        for zone in REGIONS:
            if zone not in self.unreachable_zones | self.unresponsive_zones:
                load = ServiceLoad("s", zone, len(self._in_flight[zone]), 0, self._arrivals[zone])
                report = ProxyTelemetry(f"p-{zone}", 1, self._sequence, 1, (), (load,))
                self.table.record(report, self.now_s)

    def run(self, for_s: float, is_polled: bool = True) -> None:
        """Simulate `for_s` seconds; the lease owner is frozen unless `is_polled`."""
        until_s = self.now_s + for_s - STEP_S / 2
        while self.now_s < until_s:
            self.now_s += STEP_S
            self._advance_nodes()
            self._advance_requests()
            if round(self.now_s / STEP_S) % round(REPORT_INTERVAL_S / STEP_S) == 0:
                self._report()
            if is_polled:
                self._run_lease_owner()

    # -- results --

    def count(self, zone: str) -> int:
        """Return the number of nodes in a zone that are not draining; includes booting nodes."""
        return sum(node.zone == zone and node.drains_from_s is None for node in self.nodes)

    def downward_calls(self, since_s: float = 0.0) -> list[tuple[float, FleetOrder]]:
        """Return the calls for fewer nodes than the previous order of the group."""
        calls_for_fewer = []
        last_wanted: dict[NodeGroup, int] = {}
        for at_s, order in self.calls:
            group = group_of(order)
            if order.wanted < last_wanted.get(group, self.nodes_per_zone) and at_s > since_s:
                calls_for_fewer.append((at_s, order))
            last_wanted[group] = order.wanted
        return calls_for_fewer
