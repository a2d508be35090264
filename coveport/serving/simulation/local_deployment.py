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
    node_figures,
    proxy_settings,
)
from coveport.serving.simulation.events import EventLog, ProxyStarted
from coveport.serving.simulation.exchange import call
from coveport.serving.simulation.local_processes import LocalProcess
from coveport.serving.simulation.model_server import ModelServer
from coveport.serving.simulation.registration import Registration
from coveport.serving.simulation.zones import Zone
from coveport.serving.wire.names import Path as WirePath

FIRST_COORDINATOR, FIRST_PROXY, FIRST_NODE = 11, 21, 50  # last part of their addresses
NODES_MOST = 10  # in a zone


class LocalDeployment:
    """One coordinator and one proxy a zone, and the nodes that the deployment names."""

    def __init__(
        self, net: Net, folder: Path, deployment: Deployment, event_log: EventLog, seed: int
    ) -> None:
        self._net = net
        self._folder = folder
        self._deployment = deployment
        self._event_log = event_log
        self._seed = seed
        # An own block of loopback addresses: two deployments on one machine don't meet.
        drawn = Random(f"{getpid()} {id(self)}")
        self._block = f"127.{drawn.randint(1, 254)}.{drawn.randint(1, 254)}"
        zones = range(len(deployment.zones))
        self.coordinators = [self._make_coordinator(at) for at in zones]
        self.proxies = [self._make_proxy(at) for at in zones]
        self.nodes: list[tuple[ModelServer, Registration]] = []

    def control(self) -> list[Address]:
        """Return the coordinators that operators and nodes call."""
        ports = self._deployment.ports
        return [
            (self._ip(FIRST_COORDINATOR + at), ports.control) for at in range(len(self._deployment.zones))
        ]

    def lookups(self, zone: Zone) -> list[Address]:
        """Return the coordinators that clients of a zone look up at, nearest first."""
        zones = self._deployment.zones
        near = sorted(range(len(zones)), key=lambda at: zones[at].farness(zone))
        return [(self._ip(FIRST_COORDINATOR + at), self._deployment.ports.lookups) for at in near]

    def client(self, zone: Zone, number: int) -> Client:
        """Create a client; every third one opens a connection for each request."""
        figures = ClientFigures(
            zone.name,
            zone.region,
            keeps_connections=number % 3 != 0,
            api_key=self._deployment.api_key(number),
            claimed_tenant=self._deployment.claimed_tenant(number),
        )
        rng = Random(f"client {zone.name} {number} {self._seed}")
        return Client(self._net, figures, lambda: self.lookups(zone), self._event_log, rng)

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
        """Start an incarnation of a proxy."""
        address = f"{self._ip(FIRST_PROXY + at)}:{self._deployment.ports.clients}"
        self._event_log.write(ProxyStarted(self._net.now_s(), self.proxies[at].name, address))
        await self.proxies[at].start()

    async def is_ready(self, at: int) -> bool:
        """Return whether a proxy reports that it is ready."""
        address = self._ip(FIRST_PROXY + at), self._deployment.ports.readiness
        request = write_request("GET", WirePath.READY, [("Host", address[0])])
        answer = await call(self._net, address, request, 1.0)
        return answer is not None and answer.status == 200

    async def start_node(self, zone_number: int, number: int, incarnation: int = 0) -> ModelServer:
        """Start an incarnation of a node; every one but the first warms up."""
        deployment = self._deployment
        ip = self._ip(FIRST_NODE + NODES_MOST * zone_number + number)
        figures = node_figures(deployment, deployment.zones[zone_number], ip, deployment.service)
        rng = Random(f"node {zone_number} {number} {incarnation} {self._seed}")
        server = ModelServer(self._net, figures, self._event_log, rng)
        registration = Registration(
            self._net, server, self.control, deployment.heartbeat_ms, self._event_log, rng
        )
        await server.start(deployment.warm_up_s if incarnation else 0.0)
        registration.start()
        self.nodes.append((server, registration))
        return server
