"""A whole deployment in one process and simulated time: the real programs among stand-ins, by one seed."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, Final

from coveport.net.address import Address
from coveport.serving.coordinator.coordinator import Coordinator
from coveport.serving.proxy.process import Proxy
from coveport.serving.simulation.client import Client, ClientFigures
from coveport.serving.simulation.deployment import (
    OBJECTIVES,
    Deployment,
    MachineSpot,
    coordinator_settings,
    proxy_settings,
)
from coveport.serving.simulation.disk import SimulatedDisk
from coveport.serving.simulation.events import (
    Book,
    OrderEnded,
    OrderSent,
    ProxyStarted,
    TryEnded,
    TrySent,
    Verdict,
)
from coveport.serving.simulation.figures import KindFigures, figures
from coveport.serving.simulation.history import Breach
from coveport.serving.simulation.judge import judge
from coveport.serving.simulation.machines import Machine
from coveport.serving.simulation.model_server import ModelServer, NodeFigures
from coveport.serving.simulation.operator import EditionNumbers, Operator, OrderNumbers
from coveport.serving.simulation.registration import Registration
from coveport.serving.simulation.stand_in_programs import (
    Asks,
    ClientProgram,
    NodeProgram,
    SimulatedNode,
    open_simulated,
    run_nothing,
)
from coveport.serving.simulation.topology import OUTSIDE, PlacedNetwork, SimulatedWays
from coveport.serving.simulation.zones import Zone
from coveport.testbed.simulated_network.world import World

FIRST_ORDER_S: Final = 1.0  # after the machines' start
READ_BACK_S: Final = 4.0
SETTLE_S: Final = 16.0  # after the traffic: the longest request has ended
START_SPREAD_S: Final = 0.3
LOOK_LIST_S: Final = 0.1
LOOK_END_S: Final = 0.25  # how often it is looked whether all has ended


@dataclass(frozen=True, slots=True)
class DayResult:
    """What came of a day."""

    book: Book
    breaches: tuple[Breach, ...]
    kinds: dict[str, KindFigures]
    problems: tuple[str, ...]  # faults that the programs did not take
    trace: str  # a hash of all that was exchanged

    @property
    def served_share(self) -> float:
        """Of all requests."""
        asked = sum(one.asked for one in self.kinds.values())
        return sum(one.served for one in self.kinds.values()) / asked if asked else 0.0

    @property
    def in_time_share(self) -> float:
        """Of all requests."""
        asked = sum(one.asked for one in self.kinds.values())
        return sum(one.in_time for one in self.kinds.values()) / asked if asked else 0.0


class SimulatedDeployment:
    """All machines of one deployment."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.seed = seed
        self.world = World()
        ways = SimulatedWays(deployment.zones, deployment.delays, Random(f"ways {seed}"))
        self.network = PlacedNetwork(self.world, ways)
        self.book = Book()
        self.chance = Random(f"day {seed}")
        self.began_s = self.world.now
        self._zones_by_ip: dict[str, Zone] = {}  # of all coordinators that there ever were
        self.coordinators = [self._make_coordinator(at) for at in range(len(deployment.zones))]
        self.proxies = self._make_all(deployment.proxies, "proxy", 100, self._run_proxy)
        self.nodes = [
            SimulatedNode(one, deployment.service)
            for one in self._make_all(deployment.nodes, "node", 50, self._run_node)
        ]
        self.clients = self._make_all(deployment.clients, "client", 200, self._run_client, outside=True)
        self.editions = EditionNumbers(Random(f"editions {seed}"))
        self._numbers = OrderNumbers()
        self._operator_machines: dict[Operator, Machine] = {}
        self.operators = [self.make_operator(at) for at in range(2)]
        self.traffic_until_s = self.began_s  # until the day is played
        self.quiet_s = 1.0  # that follow the traffic whatever has ended
        self._listed: list[tuple[float, list[str]]] = []  # coordinators' IPs that ran, by time

    # Making.

    def _make_coordinator(self, at: int) -> Machine:
        zone = self.deployment.zones[at]
        made = len(self._zones_by_ip) + 1
        spot = MachineSpot(f"coordinator-{zone.name}-{made}", f"10.{at + 1}.0.{12 + made}", zone)
        self._zones_by_ip[spot.ip] = zone
        place = self.network.place(spot.ip, at)
        return Machine(self.network, spot, place, self._run_coordinator, f"{self.seed}", SimulatedDisk())

    def _make_all(
        self, counts: tuple[int, ...], kind: str, first: int, run: Any, *, outside: bool = False
    ) -> list[Machine]:
        made = []
        for zone_number, count in enumerate(counts):
            zone = self.deployment.zones[zone_number]
            for at in range(count):
                ip = f"10.{zone_number + 1}.{1 if outside else 0}.{first + at}"
                spot = MachineSpot(f"{kind}-{zone.name}-{at + 1}", ip, zone)
                place = self.network.place(ip, OUTSIDE if outside else zone_number)
                made.append(Machine(self.network, spot, place, run, f"{self.seed}"))
        return made

    @property
    def seeds(self) -> tuple[Address, ...]:
        """What every process is told."""
        return tuple((one.spot.ip, self.deployment.ports.control) for one in self.coordinators[:3])

    def _run_coordinator(self, machine: Machine, first_boot: bool, log: Any, chance: Random) -> Coordinator:
        assert machine.disk is not None
        settings = coordinator_settings(self.deployment, machine.spot, self.seeds, "data", first_boot)
        opened = open_simulated(machine, first_boot, chance)
        return Coordinator(machine.net, settings, opened, chance, log)

    def _run_proxy(self, machine: Machine, first_boot: bool, log: Any, chance: Random) -> Proxy:
        ports = self.deployment.ports
        address = f"{machine.spot.ip}:{ports.clients}"
        self.book.write(ProxyStarted(self.world.now, machine.spot.name, address))
        settings = proxy_settings(self.deployment, machine.spot, self.seeds, first_boot)
        return Proxy(machine.net, settings, chance, log)

    def _run_node(self, machine: Machine, first_boot: bool, log: Any, chance: Random) -> NodeProgram:
        node = next(one for one in self.nodes if one.machine is machine)
        told, spot = self.deployment, machine.spot
        bounds = told.bounds
        server_figures = NodeFigures(
            node.service, (spot.ip, told.ports.node), spot.zone.name, spot.zone.region, told.engine,
            warm_up_rate=told.warm_up_rate,
            falls_over_above=told.warm_up_rate * bounds.warm_up_overshoot + bounds.warm_up_slack,
        )  # fmt: skip
        node.server = ModelServer(machine.net, server_figures, self.book, chance)
        node.registration = Registration(
            machine.net, node.server, self.listed_control, told.heartbeat_ms, self.book, chance
        )
        return NodeProgram(node.server, node.registration, 0.0 if first_boot else told.warm_up_s)

    def _run_client(self, machine: Machine, first_boot: bool, log: Any, chance: Random) -> ClientProgram:
        zone = machine.spot.zone
        number = self.clients.index(machine)
        told = ClientFigures(
            zone.name, zone.region, keeps_connections=number % 3 != 0,
            holds_answers=3.0 if number % 4 == 0 else 1.0, ttl_most_s=self.deployment.bounds.ttl_max_s,
            waits_as_told=number % 5 != 0,
        )  # fmt: skip
        client = Client(
            machine.net, told, partial(self.listed_lookups, zone), self.book, chance,
            self.deployment.engine.tokens_per_event,
        )  # fmt: skip
        rates = tuple((kind, rate / len(self.clients)) for kind, rate in self.deployment.rates)
        return ClientProgram(client, machine, Asks(rates, self.traffic_until_s, self.seed))

    def replace_coordinator(self, old: Machine) -> Machine:
        """Another machine, with an empty disk and at another address, in place of one that is gone."""
        new = self._make_coordinator(self.deployment.zones.index(old.spot.zone))
        self.coordinators[self.coordinators.index(old)] = new
        return new

    def make_operator(self, number: int) -> Operator:
        """One more operator."""
        zone = self.deployment.zones[0]
        spot = MachineSpot(f"operator-{number + 1}", f"10.200.0.{number + 1}", zone)
        place = self.network.place(spot.ip, OUTSIDE)
        machine = Machine(self.network, spot, place, run_nothing, f"{self.seed}")
        machine.start()
        chance = Random(f"operator {number} {self.seed}")
        operator = Operator(machine.net, self.listed_control, self.book, chance, self._numbers)
        self._operator_machines[operator] = machine
        return operator

    def run_operator(self, operator: Operator, work: Callable[[], object]) -> None:
        """Have an operator do something."""
        self._operator_machines[operator].run(work)

    # The outside list of coordinators, which lags.

    def _look_list(self) -> None:
        up = [one.spot.ip for one in self.coordinators if one.is_up]
        if not self._listed or self._listed[-1][1] != up:
            self._listed.append((self.world.now, up))
        self.world.at(self.world.now + LOOK_LIST_S, self._look_list)

    def _listed_ips(self) -> list[str]:
        lagging = self.world.now - self.deployment.bounds.seed_lag_s
        old = [ips for when, ips in self._listed if when <= lagging]
        return old[-1] if old else [one.spot.ip for one in self.coordinators]

    def listed_control(self) -> list[Address]:
        """Where operators and nodes call."""
        return [(ip, self.deployment.ports.control) for ip in self._listed_ips()]

    def listed_lookups(self, zone: Zone) -> list[Address]:
        """Where clients of a zone ask, near ones first."""
        ips = sorted(self._listed_ips(), key=lambda ip: self._zones_by_ip[ip].farness(zone))
        return [(ip, self.deployment.ports.lookups) for ip in ips]

    # A day.

    @property
    def traffic_from_s(self) -> float:
        """When traffic starts, in the world's seconds."""
        return self.began_s + self.deployment.lead_s

    def at(self, seconds: float, call: Callable[[], object]) -> None:
        """Do something so long after traffic starts."""
        self.world.at(self.traffic_from_s + seconds, call)

    def play(self, length_s: float) -> DayResult:
        """Start all, let clients ask for so long, read the configuration back, and judge."""
        self.traffic_until_s = self.traffic_from_s + length_s
        for machine in (*self.coordinators, *self.proxies):
            self.world.at(self.began_s + self.chance.random() * START_SPREAD_S, machine.start, True)
        for node in self.nodes:
            self.world.at(self.began_s + self.chance.random(), node.machine.start, True)
        for machine in self.clients:
            self.world.at(self.traffic_from_s, machine.start, True)
        self.world.at(self.began_s + START_SPREAD_S, self._look_list)
        first = self.operators[0]
        self.world.at(self.began_s + FIRST_ORDER_S, self.run_operator, first, self._put_first)
        self.world.run(self.traffic_until_s + self.quiet_s)
        self._run_while(self._is_asking, SETTLE_S)
        self.run_operator(first, lambda: first.read(READ_BACK_S))
        self._run_while(self._is_ordering, 2 * READ_BACK_S)
        return self._result()

    def _run_while(self, wanted: Callable[[], bool], most_s: float) -> None:
        until_s = self.world.now + most_s
        while self.world.now < until_s:
            self.world.run(min(until_s, self.world.now + LOOK_END_S))
            if not wanted():
                return

    def _is_asking(self) -> bool:
        return len(self.book.of(TryEnded)) < len(self.book.of(TrySent))

    def _is_ordering(self) -> bool:
        return len(self.book.of(OrderEnded)) < len(self.book.of(OrderSent))

    async def _put_first(self) -> None:
        operator = self.operators[0]
        configuration = self.deployment.configuration(self.editions.next())
        while self.world.now < self.traffic_from_s:
            answer = await operator.put(configuration, 0, gives_up_s=2.0)
            if answer.verdict is Verdict.ACKNOWLEDGED:
                return

    def _result(self) -> DayResult:
        machines = [*self.coordinators, *self.proxies, *self.clients, *(one.machine for one in self.nodes)]
        problems = tuple(
            f"{one.spot.name}: {problem.get('message')}: {problem.get('exception')!r}"
            for one in machines
            for problem in one.problems
        )
        breaches = tuple(judge(self.book, self.deployment.bounds, len(self.coordinators)))
        trace = hashlib.blake2b(self.network.trace.encode(), digest_size=8).hexdigest()
        return DayResult(self.book, breaches, figures(self.book, OBJECTIVES), problems, trace)
