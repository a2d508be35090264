"""One coordinator, one proxy and one node with lowered limits; the two roles are processes on loopback.

The node, the operator and the clients run in the test's own event loop.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from os import getpid
from pathlib import Path
from random import Random

from coveport import http1
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.model.configuration import (
    ClientLimits,
    Configuration,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from coveport.serving.settings.boot import BootSettings, Bounds, FaultTolerance, ProcessLimits
from coveport.serving.simulation.deployment import (
    Deployment,
    MachineSpot,
    Ports,
    coordinator_settings,
    proxy_settings,
)
from coveport.serving.simulation.documents import Change
from coveport.serving.simulation.events import EventLog, Verdict
from coveport.serving.simulation.exchange import CompleteAnswer, ServerConnection, call
from coveport.serving.simulation.local_processes import LocalProcess
from coveport.serving.simulation.operator import Operator, OrderNumbers
from coveport.serving.simulation.zones import Zone
from coveport.serving.wire.names import Path as WirePath

HOST = "points.example"
SERVICE = "echo"
INCARNATION = "i-1"
ZONE = Zone("gijon", "asturias")
PORTS = Ports()
COORDINATOR_HOST, PROXY_HOST, NODE_HOST = 11, 21, 50  # last byte of the addresses
HEARTBEAT_S = 1.0
READY_POLL_S = 0.05
GRACE_S = 4.0  # a coordinator without another waits for half of it at a stop
CALL_TIMEOUT_S = 60.0  # only ends a test that would otherwise hang
TIMEOUT_MS = 5000.0
SAFE = Route(
    name="r-safe",
    host=HOST,
    path_prefix="/echo/",
    kind=RouteKind.SAFE,
    timeout_ms=TIMEOUT_MS,
    services=(WeightedService(SERVICE, 1.0),),
    max_attempts=2,
)
UNSAFE = replace(SAFE, name="r-unsafe", path_prefix="/once/", kind=RouteKind.UNSAFE, max_attempts=1)
LARGE_RESPONSE_PATH = "/echo/large"
SILENT_PATH = "/echo/silent"


@dataclass(frozen=True, slots=True)
class LoweredLimits:
    """The limits that the tests lower, from which they take their crowds and bounds."""

    process: ProcessLimits
    clients: ClientLimits

    @property
    def memory_bytes(self) -> int:
        """The memory of each process' machine."""
        return int(self.process.memory_mb * 1e6)


class EchoNode:
    """A node that answers with the body of the request, with a large body, or not at all."""

    def __init__(self, net: Net, address: Address, control: Address, large_response_bytes: int) -> None:
        self._net = net
        self._address = address
        self._control = control
        self._large_response = bytes(large_response_bytes)
        self._sequence = 0
        self.requests = 0

    async def start(self) -> None:
        """Listen."""
        await self._net.listen(
            lambda: ServerConnection(self._respond, lambda _: None),
            self._address,
            accepts_per_turn=64,
            backlog=512,
        )

    async def send_heartbeat(self) -> bool:
        """Register at the coordinator; return whether the coordinator acknowledged it."""
        self._sequence += 1
        heartbeat = {
            "Service": SERVICE,
            "Address": "{}:{}".format(*self._address),
            "Zone": ZONE.name,
            "Edition": "v1",
            "Berths": 64,
            "State": "accepting",
            "ColdLeftMs": 0,
            "CallSeq": self._sequence,
        }
        request = http1.write_request(
            "PUT", WirePath.NODES + INCARNATION, [("Host", "c")], json.dumps(heartbeat).encode()
        )
        answer = await call(self._net, self._control, request, CALL_TIMEOUT_S)
        return answer is not None and answer.status == 200

    async def _respond(self, connection: ServerConnection, request: http1.Request) -> None:
        self.requests += 1
        if request.target == SILENT_PATH:
            await asyncio.get_running_loop().create_future()
        body = self._large_response if request.target == LARGE_RESPONSE_PATH else request.body
        headers = [("Coveport-Postmark", "stamp"), ("Coveport-Instance", INCARNATION)]
        if attempt_id := request.get("coveport-try-id"):
            headers.append(("Coveport-Try-Id", attempt_id))
        connection.answer(200, headers, body)


class SmallDeployment:
    """The processes, the node and the operator of one test."""

    def __init__(
        self, net: Net, folder: Path, limits: LoweredLimits, *, is_reload_signal_held: bool = False
    ) -> None:
        self.net = net
        self.limits = limits
        block = Random(f"{getpid()} {id(self)}")
        self._block = f"127.{block.randint(1, 254)}.{block.randint(1, 254)}"
        self.deployment = Deployment(
            zones=(ZONE,),
            proxies=(1,),
            nodes=(1,),
            clients=(1,),
            bounds=Bounds(grace_s=GRACE_S),
            tolerated=FaultTolerance(),
        )
        self.coordinator = LocalProcess(
            "coordinator",
            folder,
            self._coordinator_settings(folder),
            is_reload_signal_held=is_reload_signal_held,
        )
        self.proxy = LocalProcess(
            "proxy", folder, self._proxy_settings, is_reload_signal_held=is_reload_signal_held
        )
        self.node = EchoNode(
            net, self._address(NODE_HOST, PORTS.node), self.control, limits.clients.body_bytes
        )
        self.operator = Operator(net, lambda: [self.control], EventLog(), Random(1), OrderNumbers())
        self._heartbeats: asyncio.Task[None] | None = None

    @property
    def clients(self) -> Address:
        """Where clients call the proxy."""
        return self._address(PROXY_HOST, PORTS.clients)

    @property
    def readiness(self) -> Address:
        """Where the platform asks the proxy whether it is ready."""
        return self._address(PROXY_HOST, PORTS.readiness)

    @property
    def control(self) -> Address:
        """Where the operator and nodes call the coordinator."""
        return self._address(COORDINATOR_HOST, PORTS.control)

    @property
    def lookups(self) -> Address:
        """Where clients look up proxies."""
        return self._address(COORDINATOR_HOST, PORTS.lookups)

    @property
    def inner(self) -> Address:
        """Where other processes of the system call the coordinator."""
        return self._address(COORDINATOR_HOST, PORTS.inner)

    def _address(self, last: int, port: int) -> Address:
        return f"{self._block}.{last}", port

    def _coordinator_settings(self, folder: Path) -> Callable[[bool], BootSettings]:
        spot = MachineSpot("coordinator", self._address(COORDINATOR_HOST, 0)[0], ZONE)
        data = str(folder / "data")

        def settings(first_boot: bool) -> BootSettings:
            made = coordinator_settings(self.deployment, spot, (self.control,), data, first_boot)
            return replace(made, limits=self.limits.process)

        return settings

    def _proxy_settings(self, first_boot: bool) -> BootSettings:
        spot = MachineSpot("proxy", self._address(PROXY_HOST, 0)[0], ZONE)
        made = proxy_settings(self.deployment, spot, (self.control,), first_boot)
        return replace(made, limits=self.limits.process)

    async def start(self) -> None:
        """Start all, and return when the proxy is ready."""
        await self.node.start()
        await self.coordinator.start()
        await self.proxy.start()
        configuration = Configuration(
            1, (SAFE, UNSAFE), (Service(SERVICE, max_connections=512),), self.limits.clients
        )
        answer = await self.operator.put(configuration, 0, retry_for_s=CALL_TIMEOUT_S)
        assert answer.verdict is Verdict.ACKNOWLEDGED, (answer, self.coordinator.last_lines())
        self._heartbeats = asyncio.get_running_loop().create_task(self._send_heartbeats())
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Return when the proxy is ready."""
        async with asyncio.timeout(CALL_TIMEOUT_S):
            while not await self._is_ready():  # noqa: ASYNC110  # the processes tell of no change
                await asyncio.sleep(READY_POLL_S)

    async def _is_ready(self) -> bool:
        answer = await self.call_once(self.readiness, "GET", WirePath.READY)
        return answer is not None and answer.status == 200

    async def _send_heartbeats(self) -> None:
        while True:
            await self.node.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def stop(self) -> None:
        """Kill what still runs."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        await self.proxy.kill()
        await self.coordinator.kill()

    async def call_once(
        self, address: Address, method: str, target: str, body: bytes = b""
    ) -> CompleteAnswer | None:
        """Send one request on a new connection."""
        request = http1.write_request(method, target, [("Host", HOST), ("Coveport-Try-Id", "o")], body)
        return await call(self.net, address, request, CALL_TIMEOUT_S)

    async def change_configuration(self, count: int) -> None:
        """Add routes to the configuration, one change after the other."""
        for _ in range(count):
            edition = self.operator.configuration.edition + 1
            route = replace(SAFE, name=f"r-{edition}", path_prefix=f"/added-{edition}/")
            answer = await self.operator.patch(
                Change(edition, routes=(route,)), self.operator.configuration, retry_for_s=CALL_TIMEOUT_S
            )
            assert answer.verdict is Verdict.ACKNOWLEDGED, answer

    def send_reloads(self, processes: Iterable[LocalProcess]) -> None:
        """Send SIGHUP."""
        for process in processes:
            process.send_signal(signal.SIGHUP)
