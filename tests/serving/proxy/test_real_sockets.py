"""The data path on real sockets: behaviour that the simulated network can't show."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import pytest
from proxy_environment import FOREVER, RESUMABLE, SAFE, SERVICE, UNSAFE_STREAM
from scripted_node import Arrival, Script, ScriptedClient, ScriptedNode, event_bytes

from coveport.net.transport import Net
from coveport.serving.model.configuration import Configuration
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.data_path import DataPath
from coveport.serving.settings.boot import BootSettings, Bounds

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 20.0  # wall-clock time


def free_port() -> int:
    with socket.create_server((HOST, 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


class RealEnvironment:
    """One proxy with its nodes and clients in one event loop."""

    def __init__(self) -> None:
        self.net = Net(asyncio.get_running_loop())
        self.port = free_port()
        self.view = ControlView()
        self.view.configuration = Configuration(1, (RESUMABLE, UNSAFE_STREAM, SAFE), (SERVICE,))
        settings = BootSettings(
            "p",
            HOST,
            "z",
            "r",
            (1, 2),
            (),
            True,
            False,
            None,
            ("counter",),
            1200,
            {"z": "r"},
            clients=(HOST, self.port),
            bounds=Bounds(retry_slack=58),
        )
        self.data_path = DataPath(self.net, settings, self.view, Random(1))
        self.nodes: list[ScriptedNode] = []

    async def add_node(self, script: Script) -> ScriptedNode:
        node = ScriptedNode(script)
        port = free_port()
        await self.net.listen(node.make_connection, (HOST, port), accepts_per_turn=64, backlog=64)
        name = f"i-{len(self.nodes)}"
        report = Node(name, 1, "s", f"{HOST}:{port}", "z", "r", 64, NodeState.ACCEPTING)
        self.view.nodes = self.view.nodes.set(name, KnownNode(report, self.net.now_s(), 0.0, FOREVER))
        self.nodes.append(node)
        return node

    async def connect_client(self) -> ScriptedClient:
        client = ScriptedClient()
        await self.net.dial(lambda: client, (HOST, self.port))
        return client


def run_scenario(scenario: Callable[[RealEnvironment], Awaitable[None]]) -> None:
    """Run a scenario with a proxy, drain the proxy, and check that there was no unhandled exception."""

    async def run() -> None:
        environment = RealEnvironment()
        problems: list[dict[str, object]] = []
        environment.net.loop.set_exception_handler(lambda _, context: problems.append(context))
        await environment.data_path.start()
        await scenario(environment)
        await environment.data_path.drain(environment.net.now_s())
        assert problems == []

    asyncio.run(asyncio.wait_for(run(), TEST_TIMEOUT_S))


async def six_events(arrival: Arrival) -> None:
    arrival.begin_events()
    for number in range(int(arrival.header("Last-Event-Id") or 0) + 1, 7):
        arrival.send_event(number)
        await asyncio.sleep(0)
    arrival.end_events()


ALL_SIX = b"".join(event_bytes(number) for number in range(1, 7))


def test_large_body_is_forwarded_completely_both_ways() -> None:
    async def scenario(environment: RealEnvironment) -> None:
        await environment.add_node(lambda arrival: arrival.respond(arrival.request.body))
        client = await environment.connect_client()
        body = Random(1).randbytes(4 * 1024 * 1024)
        for number in range(2):
            client.send_request("/u/x", body=body)
            response = await client.response(number)
            assert response is not None and response.status == 200 and response.body == body

    run_scenario(scenario)


@pytest.mark.parametrize("cut", [0, 5, 30, 75])
def test_stream_that_is_reset_is_resumed_at_another_node(cut: int) -> None:
    async def scenario(environment: RealEnvironment) -> None:
        arrivals: list[Arrival] = []

        async def script(arrival: Arrival) -> None:
            arrivals.append(arrival)
            if len(arrivals) > 1:
                await six_events(arrival)
                return
            arrival.begin_events()
            if cut:
                arrival.connection.write(b"%x\r\n%b\r\n" % (cut, ALL_SIX[:cut]))
            transport = arrival.connection.transport
            assert transport is not None
            environment.net.reset(transport)

        for _ in range(2):
            await environment.add_node(script)
        client = await environment.connect_client()
        client.send_request("/a/x")
        response = await client.response()
        assert response is not None and response.body == ALL_SIX
        assert len(arrivals) == 2

    run_scenario(scenario)


def test_refused_connect_costs_no_attempt() -> None:
    async def scenario(environment: RealEnvironment) -> None:
        assert environment.view.configuration is not None
        single_attempt = replace(UNSAFE_STREAM, max_attempts=1)
        environment.view.configuration = replace(environment.view.configuration, routes=(single_attempt,))
        await environment.add_node(lambda arrival: arrival.respond())
        known_node = environment.view.nodes["i-0"]
        stopped_node = replace(known_node.node, incarnation="i-gone", address=f"{HOST}:{free_port()}")
        environment.view.nodes = environment.view.nodes.set("i-gone", replace(known_node, node=stopped_node))
        client = await environment.connect_client()
        for number in range(8):
            client.send_request("/u/x")
            response = await client.response(number)
            assert response is not None and response.status == 200
        assert environment.data_path.metrics().get("connects_failed", 0) == 1

    run_scenario(scenario)


def test_drain_ends_when_all_requests_are_answered() -> None:
    async def scenario(environment: RealEnvironment) -> None:
        may_finish = asyncio.Event()

        async def script(arrival: Arrival) -> None:
            arrival.begin_events()
            arrival.send_event(1)
            await may_finish.wait()
            arrival.end_events()

        await environment.add_node(script)
        idle, busy = await environment.connect_client(), await environment.connect_client()
        busy.send_request("/u/x")
        await busy.wait_for(event_bytes(1))
        draining = asyncio.ensure_future(environment.data_path.drain(environment.net.now_s() + 8.0))
        await idle.wait_closed()
        assert not draining.done()
        with pytest.raises(ConnectionRefusedError):
            await environment.connect_client()
        may_finish.set()
        response = await busy.response()
        assert response is not None and response.body == event_bytes(1)
        await draining
        await busy.wait_closed()

    run_scenario(scenario)


def test_user_timeout_is_set_only_for_idempotent_requests() -> None:
    async def scenario(environment: RealEnvironment) -> None:
        socket_options: list[tuple[int, int]] = []
        set_timeout = environment.net.set_unacknowledged_timeout

        def set_and_record_timeout(transport: asyncio.Transport, milliseconds: int) -> None:
            set_timeout(transport, milliseconds)
            raw_socket = transport.get_extra_info("socket")
            socket_options.append(
                (
                    raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
                    raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                )
            )

        environment.net.set_unacknowledged_timeout = set_and_record_timeout  # type: ignore[method-assign]
        await environment.add_node(lambda arrival: arrival.respond(b"x", 200, ("Keep-Alive", "timeout=9")))
        client = await environment.connect_client()
        for number, path in enumerate(("/u/x", "/a/x", "/a/x", "/u/x")):
            client.send_request(path)
            assert await client.response(number) is not None
        assert socket_options == [(2000, 1), (0, 0)]
        assert len(environment.nodes[0].connections) == 1

    run_scenario(scenario)
