"""A proxy's data path on a simulated network, with scripted nodes and clients around it."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import replace
from random import Random
from typing import Any, TypeVar

from empty_day import empty_day
from scripted_node import Script, ScriptedClient, ScriptedNode

from coveport.serving.model.configuration import Configuration, Route, RouteKind, Service, WeightedService
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.data_path import DataPath
from coveport.serving.settings.boot import BootSettings, Bounds, ProcessLimits
from coveport.testbed.network_model import CLIENT, Ways
from coveport.testbed.simulated_network.network import Network
from coveport.testbed.simulated_network.wires import VirtualNet
from coveport.testbed.simulated_network.world import Process, World

T = TypeVar("T")
DAY = empty_day(same_ms=0.1, cross_ms=((0.1, 1.0), (1.0, 0.1)), client_ms=1.0)
PROXY_IP, CLIENT_IP, PORT = "10.0.0.1", "10.0.9.1", 8000
FOREVER = float("inf")

RESUMABLE = Route(
    name="resumable",
    host="one.example",
    path_prefix="/a/",
    kind=RouteKind.STREAMING,
    timeout_ms=5000,
    latency_target_ms=800,
    services=(WeightedService("s", 1.0),),
    max_attempts=2,
    resumable=True,
    inter_token_target_ms=400,
)
UNSAFE_STREAM = replace(RESUMABLE, name="stream", path_prefix="/u/", resumable=False)
SAFE = replace(RESUMABLE, name="safe", path_prefix="/safe/", kind=RouteKind.SAFE, resumable=False)
SERVICE = Service(name="s", max_connections=300, warm_up_s=3.0, warm_up_rate=9.8)


class ProxyEnvironment:
    """A simulated network with one proxy, and a process that runs its nodes and clients."""

    def __init__(
        self,
        bounds: Bounds | None = None,
        routes: tuple[Route, ...] = (),
        limits: ProcessLimits | None = None,
    ) -> None:
        self.time = World()
        self.network = Network(self.time, Ways(DAY))
        self.peer_process = Process.start(self.time, "lab")
        self.proxy_process = Process.start(self.time, "proxy")
        self.net = VirtualNet(self.proxy_process, self.network, self.network.place(PROXY_IP, 0))
        self.client_net = VirtualNet(self.peer_process, self.network, self.network.place(CLIENT_IP, CLIENT))
        self.view = ControlView()
        routes = routes or (RESUMABLE, UNSAFE_STREAM, SAFE)
        self.view.configuration = Configuration(1, routes, (SERVICE,))
        settings = BootSettings(
            name="p",
            ip=PROXY_IP,
            zone="z",
            region="r",
            inner_ports=(1, 2),
            seeds=(),
            first_boot=True,
            loss_counted=False,
            data_dir=None,
            serves=("counter",),
            heartbeat_ms=1200,
            regions={"z": "r", "y": "q"},
            clients=(PROXY_IP, PORT),
            bounds=bounds or Bounds(retry_slack=58, warm_up_overshoot=1.5, warm_up_slack=5),
            limits=limits or ProcessLimits(),
        )
        self.data_path = DataPath(self.net, settings, self.view, Random(1))
        self.nodes: list[ScriptedNode] = []
        self.run(self.data_path.start(), process=self.proxy_process)

    def add_node(self, script: Script, *, region: str = "r", cold_s: float = 0.0) -> ScriptedNode:
        """Add a node that is in the proxy's view."""
        node = ScriptedNode(script)
        number = len(self.nodes)
        self.nodes.append(node)
        address = f"10.0.1.{number + 1}"
        net = VirtualNet(
            self.peer_process, self.network, self.network.place(address, 0 if region == "r" else 1)
        )
        self.run(net.listen(node.make_connection, (address, 80), accepts_per_turn=64, backlog=512))
        report = Node(
            incarnation=f"i-{number}",
            sequence=1,
            service="s",
            address=f"{address}:80",
            zone="z" if region == "r" else "y",
            region=region,
            slots=64,
            state=NodeState.ACCEPTING,
        )
        now_s = self.time.now
        self.update_node(KnownNode(report, now_s, now_s + cold_s if cold_s else 0.0, FOREVER))
        return node

    def update_node(self, known_node: KnownNode) -> None:
        """Add or replace a node in the proxy's view."""
        self.view.nodes = self.view.nodes.set(known_node.node.incarnation, known_node)
        self.view.notify_listeners()

    def set_unresponsive(self, number: int, *, is_unresponsive: bool = True) -> None:
        """Make a node's machine stop sending anything, or resume."""
        self.network.places[f"10.0.1.{number + 1}"].silent = is_unresponsive

    def refuse_connects(self, number: int) -> None:
        """Make a node's machine refuse connects, and reset its connections."""
        del self.network.listening[f"10.0.1.{number + 1}", 80]
        for connection in self.nodes[number].connections:
            if not connection.is_closed:
                connection.abort()

    def connect_client(self) -> ScriptedClient:
        """Return a client that has connected."""
        client = ScriptedClient()
        self.run(self.client_net.dial(lambda: client, (PROXY_IP, PORT)))
        return client

    def run(self, coro: Coroutine[Any, Any, T], seconds: float = 30.0, process: Process | None = None) -> T:
        """Run a coroutine to its end and return its result."""
        task = (process or self.peer_process).create_task(coro)
        assert self.time.run(self.time.now + seconds, task.done), f"not finished after {seconds} s"
        return task.result()

    def run_until(self, condition: Callable[[], object], seconds: float = 30.0) -> None:
        """Advance the simulated time until the condition holds."""
        assert self.time.run(self.time.now + seconds, lambda: bool(condition())), f"not met after {seconds} s"

    def sleep(self, seconds: float) -> None:
        """Advance the simulated time."""
        self.time.run(self.time.now + seconds)

    def metric(self, name: str) -> float:
        """Return a metric of the data path."""
        return self.data_path.metrics().get(name, 0.0)

    def check(self) -> None:
        """Assert that no process has an unhandled exception and no request is in flight."""
        assert self.proxy_process.problems == []
        assert self.peer_process.problems == []
        assert self.metric("in_flight") == 0
