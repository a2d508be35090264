"""What a proxy spends on a request while its nodes reject many: connections opened and processor time.

    python -m benchmarks.overload_cost [SECONDS]

One data path serves in this process, on real sockets on loopback; its nodes and clients run in another. Each
node runs a few requests at a time and rejects the others as a full node does, so most requests are retried.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import sys
import time
from dataclasses import dataclass, replace
from multiprocessing.connection import Connection as Pipe
from random import Random

from benchmarks.common import machine, table
from coveport import http1
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.model.configuration import Configuration, Route, RouteKind, Service, WeightedService
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.data_path import DataPath
from coveport.serving.settings.boot import BootSettings, Bounds
from coveport.serving.simulation.deployment import Deployment, MachineSpot, proxy_settings
from coveport.serving.simulation.exchange import ServerConnection
from coveport.serving.simulation.zones import Zone
from coveport.serving.wire.names import Header

BLOCK = "127.91.7"
PROXY: Address = (f"{BLOCK}.1", 28000)
NODES = tuple((f"{BLOCK}.{50 + number}", 28001) for number in range(4))
SLOTS = 4  # requests that a node runs at a time
WORK_S = 0.02
CLIENTS = 48  # three times the slots of all nodes
DEFAULT_SECONDS = 15.0
WARM_UP_S = 2.0
HOST = "one.example"
ROUTE = Route(
    name="once",
    host=HOST,
    path_prefix="/",
    kind=RouteKind.UNSAFE,
    timeout_ms=5000,
    latency_target_ms=1200,
    services=(WeightedService("s", 1.0),),
    max_attempts=3,
)


@dataclass(frozen=True, slots=True)
class Peers:
    """What the nodes and clients counted."""

    statuses: dict[int, int]
    rejections: int


class FullNode:
    """A node that rejects what exceeds its slots."""

    def __init__(self) -> None:
        self.rejections = 0
        self._running = 0

    async def respond(self, connection: ServerConnection, request: http1.Request) -> None:
        """Run the request, or reject it."""
        headers = [(Header.ATTEMPT_ID, request.get(Header.ATTEMPT_ID) or ""), ("Keep-Alive", "timeout=5")]
        if self._running >= SLOTS:
            self.rejections += 1
            connection.answer(503, [*headers, (Header.NOT_RUN, "1")])
            return
        self._running += 1
        await asyncio.sleep(WORK_S)
        self._running -= 1
        connection.answer(200, [*headers, (Header.STAMP, "stamp")], b"ten points")


async def call_until(until_s: float, name: str, statuses: dict[int, int]) -> None:
    """Send requests one after another on one connection, and count the statuses of the answers."""
    reader, writer = await asyncio.open_connection(*PROXY)
    number = 0
    while time.monotonic() < until_s:
        number += 1
        headers = [("Host", HOST), (Header.ATTEMPT_ID, f"{name}-{number}")]
        writer.write(http1.write_request("POST", "/x", headers, b"ten points"))
        parser = http1.ResponseParser()
        while (response := parser.next_response()) is None:
            parser.feed(await reader.read(1 << 16))
        statuses[response.status] = statuses.get(response.status, 0) + 1
    writer.close()


async def play_peers(pipe: Pipe, seconds: float) -> None:
    """Run the nodes, and the clients once the proxy serves."""
    net = Net(asyncio.get_running_loop())
    nodes = [FullNode() for _ in NODES]
    for node, address in zip(nodes, NODES, strict=True):
        await net.listen(
            lambda node=node: ServerConnection(node.respond, lambda _: None),  # type: ignore[misc]
            address,
            accepts_per_turn=64,
            backlog=512,
        )
    pipe.send("nodes listen")
    await asyncio.to_thread(pipe.recv)
    statuses: dict[int, int] = {}
    until_s = time.monotonic() + WARM_UP_S + seconds
    await asyncio.gather(*(call_until(until_s, f"c{number}", statuses) for number in range(CLIENTS)))
    pipe.send(Peers(statuses, sum(node.rejections for node in nodes)))


def run_peers(pipe: Pipe, seconds: float) -> None:
    """Run the nodes and clients in a process of their own."""
    asyncio.run(play_peers(pipe, seconds))


def proxy_view(now_s: float) -> ControlView:
    """Return a view with the route and all nodes."""
    view = ControlView()
    view.configuration = Configuration(1, (ROUTE,), (Service("s", max_connections=300),))
    for number, (host, port) in enumerate(NODES):
        node = Node(
            incarnation=f"i-{number}",
            sequence=1,
            service="s",
            address=f"{host}:{port}",
            zone="z",
            region="r",
            slots=SLOTS,
            state=NodeState.ACCEPTING,
        )
        view.nodes = view.nodes.set(node.incarnation, KnownNode(node, now_s, 0.0, float("inf")))
    return view


def unlimited_retries() -> BootSettings:
    """Return settings of a proxy whose retry budget limits nothing here."""
    spot = MachineSpot("p", PROXY[0], Zone("z", "r"))
    bounds = Bounds(retry_ratio=10.0, retry_slack=1000, retry_window_s=10.0)
    deployment = Deployment(zones=(spot.zone,), proxies=(1,), nodes=(1,), clients=(1,), bounds=bounds)
    return replace(proxy_settings(deployment, spot, (), True), clients=PROXY)


async def measure(seconds: float) -> list[str]:
    """Serve while the peers play, and return a row of the table."""
    pipe, far_pipe = multiprocessing.get_context("spawn").Pipe()
    peers = multiprocessing.get_context("spawn").Process(target=run_peers, args=(far_pipe, seconds))
    peers.start()
    await asyncio.to_thread(pipe.recv)
    net = Net(asyncio.get_running_loop())
    data_path = DataPath(net, unlimited_retries(), proxy_view(net.now_s()), Random(1))
    await data_path.start()
    pipe.send("the proxy serves")
    await asyncio.sleep(WARM_UP_S)
    before, began_s = data_path.metrics(), time.process_time()
    await asyncio.sleep(seconds)
    after, used_s = data_path.metrics(), time.process_time() - began_s
    counted: Peers = await asyncio.to_thread(pipe.recv)
    peers.join()

    def added(name: str) -> float:
        return after.get(name, 0.0) - before.get(name, 0.0)

    requests = added("requests")
    return [
        f"{requests / seconds:.0f}",
        f"{added('full') / requests:.2f}",
        f"{added('retries') / requests:.2f}",
        f"{added('connects'):.0f}",
        f"{1000 * added('connects') / requests:.2f}",
        f"{1e6 * used_s / requests:.0f}",
        f"{counted.statuses.get(200, 0) / max(1, sum(counted.statuses.values())):.3f}",
    ]


def main() -> int:
    """Measure once, and print the table."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SECONDS
    print(machine())
    head = (
        "requests a second",
        "rejections a request",
        "retries a request",
        "connects",
        "connects of 1,000 requests",
        "processor time a request, us",
        "share served",
    )
    print(table(head, [asyncio.run(measure(seconds))]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
