"""A small deployment on loopback: coordinators and proxies as processes, nodes in this process."""

from __future__ import annotations

from os import getpid
from pathlib import Path
from random import Random

from coveport.http1 import write_request
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.settings.boot import BootSettings
from coveport.serving.simulation.client import Client, ClientFigures
from coveport.serving.simulation.deployment import (
    Deployment,
    MachineSpot,
    coordinator_settings,
    proxy_settings,
)
from coveport.serving.simulation.events import Book, ProxyStarted
from coveport.serving.simulation.exchange import call
from coveport.serving.simulation.local_processes import LocalProcess
from coveport.serving.simulation.model_server import ModelServer, NodeFigures
from coveport.serving.simulation.registration import Registration
from coveport.serving.simulation.zones import Zone
from coveport.serving.wire.names import Path as WirePath

FIRST_COORDINATOR, FIRST_PROXY, FIRST_NODE = 11, 21, 50  # last part of their addresses
NODES_MOST = 10  # in a zone


class LocalDeployment:
    """One coordinator and one proxy a zone, and the nodes that the deployment names."""

    def __init__(self, net: Net, folder: Path, deployment: Deployment, book: Book, seed: int) -> None:
        self._net = net
        self._folder = folder
        self._deployment = deployment
        self._book = book
        self._seed = seed
        # An own block of loopback addresses: two deployments on one machine don't meet.
        drawn = Random(f"{getpid()} {id(self)}")
        self._block = f"127.{drawn.randint(1, 254)}.{drawn.randint(1, 254)}"
        zones = range(len(deployment.zones))
        self.coordinators = [self._make_coordinator(at) for at in zones]
        self.proxies = [self._make_proxy(at) for at in zones]
        self.nodes: list[tuple[ModelServer, Registration]] = []

    def control(self) -> list[Address]:
        """Where operators and nodes call."""
        ports = self._deployment.ports
        return [
            (self._ip(FIRST_COORDINATOR + at), ports.control) for at in range(len(self._deployment.zones))
        ]

    def lookups(self, zone: Zone) -> list[Address]:
        """Where clients of a zone ask, near ones first."""
        zones = self._deployment.zones
        near = sorted(range(len(zones)), key=lambda at: zones[at].farness(zone))
        return [(self._ip(FIRST_COORDINATOR + at), self._deployment.ports.lookups) for at in near]

    def client(self, zone: Zone, number: int) -> Client:
        """A client; every third one opens a connection for each request."""
        told = ClientFigures(zone.name, zone.region, keeps_connections=number % 3 != 0)
        chance = Random(f"client {zone.name} {number} {self._seed}")
        return Client(self._net, told, lambda: self.lookups(zone), self._book, chance)

    def _ip(self, last: int) -> str:
        return f"{self._block}.{last}"

    def _spot(self, kind: str, at: int, first: int) -> MachineSpot:
        zone = self._deployment.zones[at]
        return MachineSpot(f"{kind}-{zone.name}", self._ip(first + at), zone)

    def _make_coordinator(self, at: int) -> LocalProcess:
        spot = self._spot("coordinator", at, FIRST_COORDINATOR)
        data = str(self._folder / f"{spot.name}.data")

        def settings(first_boot: bool) -> BootSettings:
            seeds = tuple(self.control()[:3])
            return coordinator_settings(self._deployment, spot, seeds, data, first_boot)

        return LocalProcess("coordinator", self._folder, settings)

    def _make_proxy(self, at: int) -> LocalProcess:
        spot = self._spot("proxy", at, FIRST_PROXY)

        def settings(first_boot: bool) -> BootSettings:
            return proxy_settings(self._deployment, spot, tuple(self.control()[:3]), first_boot)

        return LocalProcess("proxy", self._folder, settings)

    async def start_proxy(self, at: int) -> None:
        """Begin a life of a proxy."""
        address = f"{self._ip(FIRST_PROXY + at)}:{self._deployment.ports.clients}"
        self._book.write(ProxyStarted(self._net.now_s(), self.proxies[at].name, address))
        await self.proxies[at].start()

    async def is_ready(self, at: int) -> bool:
        """Whether a proxy says so."""
        address = self._ip(FIRST_PROXY + at), self._deployment.ports.readiness
        request = write_request("GET", WirePath.READY, [("Host", address[0])])
        answer = await call(self._net, address, request, 1.0)
        return answer is not None and answer.status == 200

    async def start_node(self, zone_number: int, number: int, life: int = 0) -> ModelServer:
        """An incarnation of a node; cold unless it is the first."""
        told = self._deployment
        zone = told.zones[zone_number]
        address = self._ip(FIRST_NODE + NODES_MOST * zone_number + number), told.ports.node
        figures = NodeFigures(
            told.service, address, zone.name, zone.region, told.engine, warm_up_rate=told.warm_up_rate,
            falls_over_above=told.warm_up_rate * told.bounds.warm_up_overshoot + told.bounds.warm_up_slack,
        )  # fmt: skip
        chance = Random(f"node {zone_number} {number} {life} {self._seed}")
        server = ModelServer(self._net, figures, self._book, chance)
        registration = Registration(self._net, server, self.control, told.heartbeat_ms, self._book, chance)
        await server.start(told.warm_up_s if life else 0.0)
        registration.start()
        self.nodes.append((server, registration))
        return server
