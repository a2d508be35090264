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

FIRST_COORDINATOR, FIRST_PROXY, FIRST_NODE = 11, 21, 50  # last byte of their addresses
MAX_NODES = 10  # in a zone


class LocalDeployment:
    """One coordinator and one proxy per zone, and the nodes that the deployment lists."""

    def __init__(
        self, net: Net, folder: Path, deployment: Deployment, event_log: EventLog, seed: int
    ) -> None:
        self._net = net
        self._folder = folder
        self._deployment = deployment
        self._event_log = event_log
        self._seed = seed
        # A random block of loopback addresses keeps deployments on one machine apart.
        block_rng = Random(f"{getpid()} {id(self)}")
        self._block = f"127.{block_rng.randint(1, 254)}.{block_rng.randint(1, 254)}"
        zones = range(len(deployment.zones))
        self.coordinators = [self._make_coordinator(index) for index in zones]
        self.proxies = [self._make_proxy(index) for index in zones]
        self.nodes: list[tuple[ModelServer, Registration]] = []

    def control(self) -> list[Address]:
        """Return the coordinators' addresses for operators and nodes."""
        ports = self._deployment.ports
        return [
            (self._ip(FIRST_COORDINATOR + index), ports.control)
            for index in range(len(self._deployment.zones))
        ]

    def lookups(self, zone: Zone) -> list[Address]:
        """Return the coordinators' addresses for lookups by clients of a zone, nearest first."""
        zones = self._deployment.zones
        near = sorted(range(len(zones)), key=lambda index: zones[index].farness(zone))
        return [(self._ip(FIRST_COORDINATOR + index), self._deployment.ports.lookups) for index in near]

    def client(self, zone: Zone, number: int) -> Client:
        """Create a client; every third client opens a new connection for each request."""
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

    def _spot(self, kind: str, index: int, first: int) -> MachineSpot:
        zone = self._deployment.zones[index]
        return MachineSpot(f"{kind}-{zone.name}", self._ip(first + index), zone)

    def _make_coordinator(self, index: int) -> LocalProcess:
        spot = self._spot("coordinator", index, FIRST_COORDINATOR)
        data = str(self._folder / f"{spot.name}.data")

        def settings(first_boot: bool) -> BootSettings:
            seeds = tuple(self.control()[:3])
            return coordinator_settings(self._deployment, spot, seeds, data, first_boot)

        return LocalProcess("coordinator", self._folder, settings)

    def _make_proxy(self, index: int) -> LocalProcess:
        spot = self._spot("proxy", index, FIRST_PROXY)

        def settings(first_boot: bool) -> BootSettings:
            return proxy_settings(self._deployment, spot, tuple(self.control()[:3]), first_boot)

        return LocalProcess("proxy", self._folder, settings)

    async def start_proxy(self, index: int) -> None:
        """Start an incarnation of a proxy."""
        address = f"{self._ip(FIRST_PROXY + index)}:{self._deployment.ports.clients}"
        self._event_log.write(ProxyStarted(self._net.now_s(), self.proxies[index].name, address))
        await self.proxies[index].start()

    async def is_ready(self, index: int) -> bool:
        """Return whether a proxy reports that it is ready."""
        address = self._ip(FIRST_PROXY + index), self._deployment.ports.readiness
        request = write_request("GET", WirePath.READY, [("Host", address[0])])
        answer = await call(self._net, address, request, 1.0)
        return answer is not None and answer.status == 200

    async def start_node(self, zone_number: int, number: int, incarnation: int = 0) -> ModelServer:
        """Start an incarnation of a node; each incarnation after the first warms up."""
        deployment = self._deployment
        ip = self._ip(FIRST_NODE + MAX_NODES * zone_number + number)
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
