"""A deployment in one process and simulated time: the real programs with emulated nodes and clients."""

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
    node_figures,
    proxy_settings,
)
from coveport.serving.simulation.disk import SimulatedDisk
from coveport.serving.simulation.events import (
    AttemptEnded,
    AttemptStarted,
    EventLog,
    OrderEnded,
    OrderStarted,
    ProxyStarted,
    Verdict,
)
from coveport.serving.simulation.figures import KindFigures, figures
from coveport.serving.simulation.history import Breach
from coveport.serving.simulation.judge import judge
from coveport.serving.simulation.machines import Machine
from coveport.serving.simulation.model_server import ModelServer
from coveport.serving.simulation.operator import EditionNumbers, Operator, OrderNumbers
from coveport.serving.simulation.platform import SimulatedPlatform
from coveport.serving.simulation.registration import Registration
from coveport.serving.simulation.stand_in_programs import (
    ClientProgram,
    ClientWorkload,
    NodeProgram,
    SimulatedNode,
    open_simulated,
    run_idle_program,
)
from coveport.serving.simulation.topology import OUTSIDE, PlacedNetwork, ZoneDelayModel
from coveport.serving.simulation.zones import Zone
from coveport.testbed.simulated_network.world import World

FIRST_ORDER_S: Final = 1.0  # from the start of the machines to the first configuration
READ_BACK_S: Final = 4.0  # retry period of the final read of the configuration
SETTLE_S: Final = 16.0  # maximum wait after the traffic; longer than the longest request
START_SPREAD_S: Final = 0.3  # coordinators and proxies start at random times in this period
ENDPOINT_POLL_S: Final = 0.1
END_POLL_S: Final = 0.25  # period of the check whether all requests have ended


@dataclass(frozen=True, slots=True)
class DayResult:
    """The result of a day."""

    event_log: EventLog
    breaches: tuple[Breach, ...]
    kinds: dict[str, KindFigures]
    problems: tuple[str, ...]  # exceptions that the programs did not handle
    trace: str  # hash of all network traffic

    @property
    def served_fraction(self) -> float:
        """Return the fraction of all requests that were served completely."""
        requests = sum(kind.requests for kind in self.kinds.values())
        return sum(kind.served for kind in self.kinds.values()) / requests if requests else 0.0

    @property
    def in_time_fraction(self) -> float:
        """Return the fraction of all requests that met their latency targets."""
        requests = sum(kind.requests for kind in self.kinds.values())
        return sum(kind.in_time for kind in self.kinds.values()) / requests if requests else 0.0


class SimulatedDeployment:
    """All machines of one simulated deployment."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.seed = seed
        self.world = World()
        delay_model = ZoneDelayModel(deployment.zones, deployment.delays, Random(f"ways {seed}"))
        self.network = PlacedNetwork(self.world, delay_model)
        self.event_log = EventLog()
        self.rng = Random(f"day {seed}")
        self.began_s = self.world.now
        self._zones_by_ip: dict[str, Zone] = {}  # of all coordinators, including replaced ones
        self.coordinators = [self._make_coordinator(at) for at in range(len(deployment.zones))]
        self.proxies = self._make_all(deployment.proxies, "proxy", 100, self._run_proxy)
        self.nodes = [
            SimulatedNode(machine, deployment.service)
            for machine in self._make_all(deployment.nodes, "node", 50, self._run_node)
        ]
        self.clients = self._make_all(deployment.clients, "client", 200, self._run_client, outside=True)
        self.editions = EditionNumbers(Random(f"editions {seed}"))
        self._numbers = OrderNumbers()
        self._operator_machines: dict[Operator, Machine] = {}
        self.operators = [self.make_operator(at) for at in range(2)]
        self.platform = self._make_platform()
        self.traffic_until_s = self.began_s  # set by `play`
        self.quiet_s = 1.0  # simulated after the traffic even if all requests have ended
        self._endpoint_lists: list[tuple[float, list[str]]] = []  # (time, IPs of running coordinators)

    # Machines and programs.

    def _make_coordinator(self, at: int) -> Machine:
        zone = self.deployment.zones[at]
        number = len(self._zones_by_ip) + 1
        spot = MachineSpot(f"coordinator-{zone.name}-{number}", f"10.{at + 1}.0.{12 + number}", zone)
        self._zones_by_ip[spot.ip] = zone
        place = self.network.place(spot.ip, at)
        return Machine(self.network, spot, place, self._run_coordinator, f"{self.seed}", SimulatedDisk())

    def _make_all(
        self, counts: tuple[int, ...], kind: str, first: int, run: Any, *, outside: bool = False
    ) -> list[Machine]:
        machines = []
        for zone_number, count in enumerate(counts):
            zone = self.deployment.zones[zone_number]
            for at in range(count):
                ip = f"10.{zone_number + 1}.{1 if outside else 0}.{first + at}"
                spot = MachineSpot(f"{kind}-{zone.name}-{at + 1}", ip, zone)
                place = self.network.place(ip, OUTSIDE if outside else zone_number)
                machines.append(Machine(self.network, spot, place, run, f"{self.seed}"))
        return machines

    @property
    def seeds(self) -> tuple[Address, ...]:
        """Return the seed addresses in the settings of every process."""
        return tuple(
            (coordinator.spot.ip, self.deployment.ports.control) for coordinator in self.coordinators[:3]
        )

    def _run_coordinator(self, machine: Machine, first_boot: bool, log: Any, rng: Random) -> Coordinator:
        assert machine.disk is not None
        settings = coordinator_settings(self.deployment, machine.spot, self.seeds, "data", first_boot)
        opened = open_simulated(machine, first_boot, rng)
        return Coordinator(machine.net, settings, opened, rng, log)

    def _run_proxy(self, machine: Machine, first_boot: bool, log: Any, rng: Random) -> Proxy:
        ports = self.deployment.ports
        address = f"{machine.spot.ip}:{ports.clients}"
        self.event_log.write(ProxyStarted(self.world.now, machine.spot.name, address))
        settings = proxy_settings(self.deployment, machine.spot, self.seeds, first_boot)
        usage_window_s = None if settings.platform is None else settings.bounds.usage_window_s
        return Proxy(machine.net, settings, rng, log, usage_window_s)

    def _run_node(self, machine: Machine, first_boot: bool, log: Any, rng: Random) -> NodeProgram:
        node = next(node for node in self.nodes if node.machine is machine)
        deployment = self.deployment
        settings = node_figures(deployment, machine.spot.zone, machine.spot.ip, node.service)
        node.server = ModelServer(machine.net, settings, self.event_log, rng)
        node.registration = Registration(
            machine.net, node.server, self.listed_control, deployment.heartbeat_ms, self.event_log, rng
        )
        return NodeProgram(node.server, node.registration, 0.0 if first_boot else deployment.warm_up_s)

    def _run_client(self, machine: Machine, first_boot: bool, log: Any, rng: Random) -> ClientProgram:
        zone = machine.spot.zone
        number = self.clients.index(machine)
        client_figures = ClientFigures(
            zone.name, zone.region, keeps_connections=number % 3 != 0,
            lookup_ttl_factor=3.0 if number % 4 == 0 else 1.0, max_ttl_s=self.deployment.bounds.ttl_max_s,
            honours_retry_after=number % 5 != 0, api_key=self.deployment.api_key(number),
            claimed_tenant=self.deployment.claimed_tenant(number),
            reuses_open_connections=self.deployment.clients_reuse_open_connections,
        )  # fmt: skip
        client = Client(
            machine.net, client_figures, partial(self.listed_lookups, zone), self.event_log, rng,
            self.deployment.engine.tokens_per_event,
        )  # fmt: skip
        rates = tuple((kind, rate / len(self.clients)) for kind, rate in self.deployment.rates)
        return ClientProgram(client, machine, ClientWorkload(rates, self.traffic_until_s, self.seed))

    def replace_coordinator(self, old: Machine) -> Machine:
        """Replace a lost coordinator by one with an empty disk at a new address."""
        replacement = self._make_coordinator(self.deployment.zones.index(old.spot.zone))
        self.coordinators[self.coordinators.index(old)] = replacement
        return replacement

    def make_operator(self, number: int) -> Operator:
        """Create an operator on a separate machine."""
        zone = self.deployment.zones[0]
        spot = MachineSpot(f"operator-{number + 1}", f"10.200.0.{number + 1}", zone)
        place = self.network.place(spot.ip, OUTSIDE)
        machine = Machine(self.network, spot, place, run_idle_program, f"{self.seed}")
        machine.start()
        rng = Random(f"operator {number} {self.seed}")
        operator = Operator(machine.net, self.listed_control, self.event_log, rng, self._numbers)
        self._operator_machines[operator] = machine
        return operator

    def _make_platform(self) -> SimulatedPlatform | None:
        """Start the platform on a separate machine, if the deployment has one."""
        if self.deployment.platform is None:
            return None
        address = self.deployment.platform.address
        spot = MachineSpot("platform", address[0], self.deployment.zones[0])
        machine = Machine(
            self.network, spot, self.network.place(spot.ip, OUTSIDE), run_idle_program, f"{self.seed}"
        )
        machine.start()
        platform = SimulatedPlatform(machine.net, address)
        machine.run(platform.start)
        return platform

    def run_operator(self, operator: Operator, work: Callable[[], object]) -> None:
        """Run a call or coroutine on an operator's machine."""
        self._operator_machines[operator].run(work)

    # The external endpoint list of coordinators, which lags behind their state.

    def _poll_endpoints(self) -> None:
        up = [coordinator.spot.ip for coordinator in self.coordinators if coordinator.is_up]
        if not self._endpoint_lists or self._endpoint_lists[-1][1] != up:
            self._endpoint_lists.append((self.world.now, up))
        self.world.at(self.world.now + ENDPOINT_POLL_S, self._poll_endpoints)

    def _listed_ips(self) -> list[str]:
        lagged_s = self.world.now - self.deployment.bounds.seed_lag_s
        lists = [ips for listed_s, ips in self._endpoint_lists if listed_s <= lagged_s]
        return lists[-1] if lists else [coordinator.spot.ip for coordinator in self.coordinators]

    def listed_control(self) -> list[Address]:
        """Return the control addresses of the listed coordinators, for operators and nodes."""
        return [(ip, self.deployment.ports.control) for ip in self._listed_ips()]

    def listed_lookups(self, zone: Zone) -> list[Address]:
        """Return the lookup addresses of the listed coordinators, nearest to a zone first."""
        ips = sorted(self._listed_ips(), key=lambda ip: self._zones_by_ip[ip].farness(zone))
        return [(ip, self.deployment.ports.lookups) for ip in ips]

    # A day.

    @property
    def traffic_from_s(self) -> float:
        """Return when traffic starts, in simulated seconds."""
        return self.began_s + self.deployment.lead_s

    def at(self, seconds: float, call: Callable[[], object]) -> None:
        """Schedule a call `seconds` after the traffic starts."""
        self.world.at(self.traffic_from_s + seconds, call)

    def play(self, length_s: float) -> DayResult:
        """Start all machines, run the traffic for `length_s`, read the configuration, and judge the day."""
        self.traffic_until_s = self.traffic_from_s + length_s
        for machine in (*self.coordinators, *self.proxies):
            self.world.at(self.began_s + self.rng.random() * START_SPREAD_S, machine.start, True)
        for node in self.nodes:
            self.world.at(self.began_s + self.rng.random(), node.machine.start, True)
        for machine in self.clients:
            self.world.at(self.traffic_from_s, machine.start, True)
        self.world.at(self.began_s + START_SPREAD_S, self._poll_endpoints)
        operator = self.operators[0]
        self.world.at(self.began_s + FIRST_ORDER_S, self.run_operator, operator, self._send_first_order)
        self.world.run(self.traffic_until_s + self.quiet_s)
        self._run_while(self._has_open_requests, SETTLE_S)
        self.run_operator(operator, lambda: operator.read(READ_BACK_S))
        self._run_while(self._has_open_orders, 2 * READ_BACK_S)
        return self._result()

    def _run_while(self, condition: Callable[[], bool], timeout_s: float) -> None:
        until_s = self.world.now + timeout_s
        while self.world.now < until_s:
            self.world.run(min(until_s, self.world.now + END_POLL_S))
            if not condition():
                return

    def _has_open_requests(self) -> bool:
        return len(self.event_log.of(AttemptEnded)) < len(self.event_log.of(AttemptStarted))

    def _has_open_orders(self) -> bool:
        return len(self.event_log.of(OrderEnded)) < len(self.event_log.of(OrderStarted))

    async def _send_first_order(self) -> None:
        operator = self.operators[0]
        configuration = self.deployment.configuration(self.editions.next())
        while self.world.now < self.traffic_from_s:
            answer = await operator.put(configuration, 0, retry_for_s=2.0)
            if answer.verdict is Verdict.ACKNOWLEDGED:
                return

    def _result(self) -> DayResult:
        machines = [*self.coordinators, *self.proxies, *self.clients, *(node.machine for node in self.nodes)]
        problems = tuple(
            f"{machine.spot.name}: {problem.get('message')}: {problem.get('exception')!r}"
            for machine in machines
            for problem in machine.problems
        )
        breaches = tuple(judge(self.event_log, self.deployment.bounds, len(self.coordinators)))
        trace = hashlib.blake2b(self.network.trace.encode(), digest_size=8).hexdigest()
        return DayResult(self.event_log, breaches, figures(self.event_log, OBJECTIVES), problems, trace)
