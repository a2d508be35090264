"""A stub in place of coordinators and proxies: answers calls, and lookups with the nodes' addresses."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random

from coveport.http1 import Request
from coveport.net.address import Address
from coveport.serving.model.configuration import (
    Configuration,
    Engine,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from coveport.serving.simulation.client import Client, ClientFigures, RequestKind
from coveport.serving.simulation.events import EventLog
from coveport.serving.simulation.exchange import ServerConnection
from coveport.serving.simulation.model_server import ModelServer, NodeFigures
from coveport.serving.simulation.registration import Registration
from coveport.serving.simulation.topology import (
    OUTSIDE,
    PlacedNet,
    PlacedNetwork,
    SimulatedProcess,
    ZoneDelayModel,
    run_in,
)
from coveport.serving.simulation.zones import Delays, Zone
from coveport.testbed.simulated_network.world import World

ZONES = (Zone("hall-a", "north"), Zone("hall-b", "south"))
SERVICE = "scribe"
KIND = RequestKind(
    "review", "a.example", "/review/", True, 5.0, 0.8, 0.4, ((4, 600), (16, 300)), 200, 50
)  # fmt: skip
UNSAFE_KIND = RequestKind(
    "offer", "a.example", "/offer/", False, 5.0, 1.0, 0.4, ((4, 100),), 50, 100
)  # fmt: skip


def routes() -> tuple[Route, ...]:
    """Return the routes of both kinds of requests."""
    services = (WeightedService(SERVICE, 1.0),)
    return (
        Route(
            "review",
            KIND.host,
            KIND.path_prefix,
            RouteKind.STREAMING,
            5000.0,
            800.0,
            0,
            services,
            2,
            True,
            True,
            400.0,
        ),
        Route(
            "offer",
            KIND.host,
            UNSAFE_KIND.path_prefix,
            RouteKind.STREAMING,
            15000.0,
            1000.0,
            1,
            services,
            1,
            True,
        ),
    )


def configuration(edition: int = 1) -> Configuration:
    """Return a configuration with both routes."""
    service = Service(
        SERVICE, max_connections=370, warm_up_s=3.0, warm_up_rate=9.8, engine=Engine(64, 235_335, 5)
    )
    return Configuration(edition, routes(), (service,))


class StubCore:
    """Records each call and answers it as `answers` gives for its method."""

    def __init__(self, net: PlacedNet, address: Address) -> None:
        self.addresses: list[str] = []
        self.answers: dict[
            str, list[tuple[int, dict[str, str], bytes]]
        ] = {}  # by method; the last answer repeats
        self.silent = False
        self.calls: list[Request] = []
        self.at: list[float] = []  # time of each call, in seconds
        self._net = net
        self._address = address

    async def start(self) -> None:
        """Start listening."""
        await self._net.listen(
            lambda: ServerConnection(self._handle, lambda connection: None),
            self._address,
            accepts_per_turn=64,
            backlog=64,
        )

    async def _handle(self, connection: ServerConnection, request: Request) -> None:
        self.calls.append(request)
        self.at.append(self._net.now_s())
        if self.silent:
            return
        queue = self.answers.get(request.method, [])
        if queue:
            status, headers, body = queue.pop(0) if len(queue) > 1 else queue[0]
            connection.answer(status, list(headers.items()), body)
        elif request.target.startswith("/coveport/lookup"):
            connection.answer(200, [], json.dumps({"Addresses": self.addresses, "TtlS": 2}).encode())
        else:
            connection.answer(200, [], b"{}")


class StubDeployment:
    """Nodes, clients and a stub in one simulated world."""

    def __init__(self, seed: int = 1) -> None:
        self.world = World()
        self.seed = seed
        delay_model = ZoneDelayModel(ZONES, Delays(), Random(f"ways {seed}"))
        self.network = PlacedNetwork(self.world, delay_model)
        self.event_log = EventLog()
        self.processes: list[SimulatedProcess] = []
        self.core = StubCore(self.net("10.9.0.1", 0), ("10.9.0.1", 7000))
        self.run_in(self.core, self.core.start)

    def net(self, address: str, zone: int) -> PlacedNet:
        """Return the net of a new process on the machine with an address."""
        process = SimulatedProcess.begin(self.world, address)
        self.processes.append(process)
        place = self.network.places.get(address) or self.network.place(address, zone)
        return PlacedNet(process, self.network, place)

    def run_in(self, owner: object, work: Callable[[], object]) -> None:
        """Run a call or coroutine in the process of its owner."""
        net = owner.__dict__["_net"]
        run_in(net.process, work)

    def node(
        self, number: int, zone: int = 0, heartbeats: bool = False, warm_up_s: float = 0.0, **figures: object
    ) -> ModelServer:
        """Start a node and return it."""
        address = (f"10.0.{zone}.{number}", 8080)
        node_figures = NodeFigures(SERVICE, address, ZONES[zone].name, ZONES[zone].region, **figures)  # type: ignore[arg-type]
        net = self.net(address[0], zone)
        node = ModelServer(net, node_figures, self.event_log, Random(f"node {number} {zone} {self.seed}"))
        self.run_in(node, lambda: node.start(warm_up_s))
        self.core.addresses.append("{}:{}".format(*address))
        if heartbeats:
            self.registration(node)
        return node

    def registration(self, node: ModelServer) -> Registration:
        """Start the heartbeats of a node."""
        net = node.__dict__["_net"]
        rng = Random(f"reports {node.incarnation}")
        registration = Registration(net, node, lambda: [("10.9.0.1", 7000)], 1000.0, self.event_log, rng)
        self.run_in(node, registration.start)
        return registration

    def client(self, number: int = 0, **figures: object) -> Client:
        """Create a client."""
        net = self.net(f"10.8.0.{number + 1}", OUTSIDE)
        client_figures = ClientFigures(ZONES[0].name, ZONES[0].region, **figures)  # type: ignore[arg-type]
        return Client(
            net,
            client_figures,
            lambda: [("10.9.0.1", 7000)],
            self.event_log,
            Random(f"client {number} {self.seed}"),
        )

    def send_requests(self, client: Client, kind: RequestKind = KIND, times: int = 1) -> list[bool]:
        """Send requests one after the other; the returned list gets whether each request was served."""
        served: list[bool] = []

        async def work() -> None:
            for _ in range(times):
                was_served = await client.send_request(kind)
                served.append(was_served)

        self.run_in(client, work)
        return served

    def run(self, seconds: float) -> None:
        """Advance simulated time; raise AssertionError if a process had an unhandled exception."""
        self.world.run(self.world.now + seconds)
        problems = [problem for process in self.processes for problem in process.problems]
        if problems:
            raise AssertionError(problems)
