"""All machines of a scale run: creates, starts, reads and ends their processes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from os import getpid
from pathlib import Path
from typing import Any

from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.scale.load import service_name
from coveport.serving.scale.measures import CoordinatorReading, Counts, Reading
from coveport.serving.scale.processes import RoleProcess, Worker
from coveport.serving.scale.sightings import Observations
from coveport.serving.scale.sizes import (
    CORE_ZONES,
    NODE_WEIGHTS,
    PROXY_WEIGHTS,
    SEEDS,
    ZONES,
    Addresses,
    ScaleSize,
    spread,
)
from coveport.serving.settings.boot import BootSettings, FaultTolerance
from coveport.serving.simulation.deployment import (
    Deployment,
    MachineSpot,
    coordinator_settings,
    proxy_settings,
)
from coveport.serving.web.http_client import HttpRequest, RequestFailure, send_request
from coveport.serving.wire.names import Path as WirePath

HOLLOW_PROXIES = "coveport.serving.scale.hollow_proxies"
HOLLOW_NODES = "coveport.serving.scale.hollow_nodes"
STATUS_TIMEOUT_S = 5.0
TOLERATED_LOSSES_OF_SIX = 2  # simultaneous machine losses that a core of six coordinators tolerates
FIRST_SECOND_OCTET, SECOND_OCTETS = 3, 250  # range of the second octet of a run's addresses


class Machines:
    """The processes of one run."""

    def __init__(self, net: Net, folder: Path, size: ScaleSize) -> None:
        self._net = net
        self._folder = folder
        self.size = size
        self._addresses = Addresses(FIRST_SECOND_OCTET + getpid() % SECOND_OCTETS)
        losses = TOLERATED_LOSSES_OF_SIX if size.coordinators == len(CORE_ZONES) else 1
        self._deployment = Deployment(zones=ZONES, tolerated=FaultTolerance(losses, 1, 1))
        self.observations = Observations(net.now_s)
        self.coordinators = [self._coordinator(number) for number in range(size.coordinators)]
        self.real_proxies = [self._real_proxy(number) for number in range(size.real_proxies)]
        self.proxy_workers = list(self._workers(HOLLOW_PROXIES, size.proxies, PROXY_WEIGHTS))
        self.node_workers = list(self._workers(HOLLOW_NODES, size.nodes, NODE_WEIGHTS))

    # Addresses and zones.

    def control(self, number: int) -> Address:
        """Return the address at which operators and nodes call a coordinator."""
        return self._addresses.coordinator(number), self._deployment.ports.control

    def inner(self, number: int) -> str:
        """Return the address at which proxies and coordinators call a coordinator."""
        return f"{self._addresses.coordinator(number)}:{self._deployment.ports.inner}"

    def coordinators_in(self, zones: set[str]) -> list[int]:
        """Return the numbers of the coordinators in the zones."""
        return [n for n in range(self.size.coordinators) if ZONES[CORE_ZONES[n]].name in zones]

    def workers_in(self, zones: set[str]) -> list[Worker]:
        """Return all hollow workers in the zones."""
        return [
            worker for worker in (*self.proxy_workers, *self.node_workers) if worker.settings["zone"] in zones
        ]

    # Creation.

    def _coordinator(self, number: int) -> RoleProcess:
        zone = ZONES[CORE_ZONES[number]]
        spot = MachineSpot(f"coordinator-{number}", self._addresses.coordinator(number), zone)
        data = str(self._folder / f"{spot.name}.data")

        def settings(first_boot: bool) -> BootSettings:
            # As on a platform: the seed coordinators create the core, the others join it.
            return coordinator_settings(self._deployment, spot, self._seeds(), data, first_boot)

        return RoleProcess("coordinator", self._folder, settings)

    def _real_proxy(self, number: int) -> RoleProcess:
        zone = ZONES[number % len(ZONES)]
        spot = MachineSpot(f"proxy-{number}", self._addresses.real_proxy(number), zone)

        def settings(first_boot: bool) -> BootSettings:
            return proxy_settings(self._deployment, spot, self._seeds(), first_boot)

        return RoleProcess("proxy", self._folder, settings)

    def _seeds(self) -> tuple[Address, ...]:
        return tuple(self.control(number) for number in range(SEEDS))

    def _workers(self, module: str, count: int, weights: tuple[float, ...]) -> Iterator[Worker]:
        address = self._addresses.proxy if module == HOLLOW_PROXIES else self._addresses.node
        first = 0
        for zone, machine_count in zip(ZONES, spread(count, weights), strict=True):
            numbers = range(first, first + machine_count)
            first += machine_count
            if not machine_count:
                continue
            settings = {
                "zone": zone.name,
                "region": zone.region,
                "addresses": [address(number) for number in numbers],
                "services": [service_name(number % self.size.services) for number in numbers],
                "seeds": [self.inner(number) for number in range(SEEDS)],
                "coordinators": ["{}:{}".format(*self.control(n)) for n in range(self.size.coordinators)],
                "heartbeat_s": self._deployment.heartbeat_ms / 1000,
            }
            kind = "proxies" if module == HOLLOW_PROXIES else "nodes"
            log = self._folder / f"{kind}-{zone.name}.log"
            yield Worker(module, settings, self.observations.add, log)

    # Start and end.

    async def start(self) -> None:
        """Start all processes; hollow proxies and nodes wait for the command `start`."""
        for coordinator in self.coordinators:
            await coordinator.start()
        for proxy in self.real_proxies:
            await proxy.start()
        for worker in (*self.proxy_workers, *self.node_workers):
            await worker.start()

    async def end(self) -> None:
        """End all processes of the run."""
        roles = [*self.coordinators, *self.real_proxies]
        workers = [*self.proxy_workers, *self.node_workers]
        await asyncio.gather(*(role.kill() for role in roles), *(worker.end() for worker in workers))

    # Readings.

    async def status(self, number: int) -> dict[str, Any] | None:
        """Return the status document of a coordinator; None if it does not respond."""
        request = HttpRequest("GET", WirePath.STATUS)
        response = await send_request(self._net, self.control(number), request, STATUS_TIMEOUT_S)
        if isinstance(response, RequestFailure) or response.status != 200:
            return None
        status: dict[str, Any] = json.loads(response.body)
        return status

    async def read(self) -> Reading:
        """Read the usage and the counters of all processes."""
        numbers = range(self.size.coordinators)
        statuses = await asyncio.gather(*(self.status(number) for number in numbers))
        counts = await asyncio.gather(*(worker.count() for worker in self.node_workers))
        coordinators = {}
        for number, status in zip(numbers, statuses, strict=True):
            usage = self.coordinators[number].usage()
            if status is not None and usage is not None:
                traffic = status["traffic"]
                sent, received = _counts(traffic["sent"]), _counts(traffic["received"])
                name = self.coordinators[number].name
                coordinators[name] = CoordinatorReading(usage.cpu_s, usage.resident_mb, sent, received)
        proxies = [worker.usage() for worker in self.proxy_workers]
        real = {proxy.name: usage for proxy in self.real_proxies if (usage := proxy.usage()) is not None}
        node_counts = [count for count in counts if count is not None]
        return Reading(
            at_s=self._net.now_s(),
            coordinators=coordinators,
            proxy_workers_cpu_s=sum(usage.cpu_s for usage in proxies),
            proxy_workers_mb=sum(usage.resident_mb for usage in proxies),
            real_proxies_cpu_s={name: usage.cpu_s for name, usage in real.items()},
            real_proxies_mb={name: usage.resident_mb for name, usage in real.items()},
            node_workers_cpu_s=sum(worker.usage().cpu_s for worker in self.node_workers),
            node_calls=sum(count["calls"] for count in node_counts),
            node_request_bytes=sum(count["request_bytes"] for count in node_counts),
        )

    def resident_mb(self) -> float:
        """Return the resident memory of all processes of the run, in MB."""
        roles = [usage for process in (*self.coordinators, *self.real_proxies) if (usage := process.usage())]
        workers = [worker.usage() for worker in (*self.proxy_workers, *self.node_workers)]
        return sum(usage.resident_mb for usage in (*roles, *workers))


def _counts(traffic: dict[str, list[int]]) -> Counts:
    return {kind: (messages, size) for kind, (messages, size) in traffic.items()}
