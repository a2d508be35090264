"""Requests to a core in virtual time: redirects, failures, time-outs, backoff."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, TypeVar

import pytest

from coveport.http1 import Request, RequestParser, write_response
from coveport.serving.cli.core_client import CoreClient, CoreResponse, CoreUnavailable
from coveport.serving.simulation.topology import ZoneDelayModel
from coveport.serving.simulation.zones import Delays
from coveport.serving.web.http_client import HttpRequest
from coveport.testbed.simulated_network.network import Network
from coveport.testbed.simulated_network.wires import VirtualNet
from coveport.testbed.simulated_network.world import Process, World

T = TypeVar("T")
PORT = 80
REQUEST = HttpRequest("PUT", "/coveport/config", (("If-Match", "0"),), b"{}")
Reply = tuple[int, str]  # status and Location; status 0: close the connection; below 0: no response


class Coordinator(asyncio.Protocol):
    """A coordinator that sends scripted replies and repeats the last one."""

    def __init__(self, replies: list[Reply], seen: list[Request]) -> None:
        self._replies = replies
        self._seen = seen
        self._parser = RequestParser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        request = self._parser.next_request()
        if request is None:
            return
        self._seen.append(request)
        status, location = self._replies.pop(0) if len(self._replies) > 1 else self._replies[0]
        if status == 0:
            self._transport.close()
        elif status > 0:
            headers = [("Location", location)] if location else []
            self._transport.write(write_response(status, headers, b"body"))


class ScriptedCore:
    """Coordinators with scripted replies, and a client."""

    def __init__(self, *scripts: list[Reply]) -> None:
        self.time = World()
        network = Network(self.time, ZoneDelayModel((), Delays(), Random(1)))  # type: ignore[arg-type]
        process = Process.start(self.time, "all")
        self._process = process
        self.seen: list[list[Request]] = [[] for _ in scripts]
        for number, script in enumerate(scripts):
            net = VirtualNet(process, network, network.place(f"10.0.0.{number + 1}", -1))
            factory = self._factory(script, self.seen[number])
            self._run(net.listen(factory, (f"10.0.0.{number + 1}", PORT), accepts_per_turn=9, backlog=9))
        self._net = VirtualNet(process, network, network.place("10.0.9.9", -1))
        self._addresses = [(f"10.0.0.{number + 1}", PORT) for number in range(len(scripts))]

    @staticmethod
    def _factory(script: list[Reply], seen: list[Request]) -> Callable[[], Coordinator]:
        return lambda: Coordinator(script, seen)

    def _run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        task: asyncio.Task[T] = self._process.create_task(coroutine)
        assert self.time.run(self.time.now + 1000, task.done)
        return task.result()

    def send(self, within_s: float = 30.0) -> CoreResponse | CoreUnavailable:
        """Send the request with a client and return the outcome."""
        return self._run(CoreClient(self._net, self._addresses).send(REQUEST, within_s))


def redirect_to(number: int) -> Reply:
    return 307, f"http://10.0.0.{number}:{PORT}/coveport/config"


def test_two_redirects_are_followed_with_the_same_request() -> None:
    core = ScriptedCore([redirect_to(2)], [redirect_to(3)], [(200, "")])
    assert core.send() == CoreResponse(200, b"body")
    requests = [requests[0] for requests in core.seen]
    assert {
        (request.method, request.target, request.body, request.get("if-match")) for request in requests
    } == {("PUT", "/coveport/config", b"{}", "0")}


def test_a_third_redirect_leads_to_another_coordinator() -> None:
    core = ScriptedCore([redirect_to(2)], [redirect_to(1)])
    outcome = core.send(within_s=2)
    assert isinstance(outcome, CoreUnavailable)
    assert "more than 2 times" in outcome.reasons["10.0.0.1:80"]
    assert len(core.seen[0]) + len(core.seen[1]) >= 6


@pytest.mark.parametrize("status", [400, 404, 409, 412, 413, 422])
def test_a_final_rejection_ends_the_request(status: int) -> None:
    core = ScriptedCore([(status, "")], [(200, "")])
    assert core.send() == CoreResponse(status, b"body")
    assert core.seen[1] == []


@pytest.mark.parametrize("status", [500, 503, 408, 429, 0, -1])
def test_a_failure_or_a_time_out_leads_to_another_coordinator(status: int) -> None:
    core = ScriptedCore([(status, "")], [(200, "")])
    assert core.send() == CoreResponse(200, b"body")
    assert len(core.seen[0]) == 1


@pytest.mark.parametrize("reply", [(307, ""), (307, "http://nowhere/x"), (307, "http://10.0.0.77:80/x")])
def test_a_redirect_to_an_unusable_address_is_a_failure(reply: Reply) -> None:
    assert ScriptedCore([reply], [(200, "")]).send() == CoreResponse(200, b"body")


def test_other_rejections_end_the_request_at_the_third() -> None:
    core = ScriptedCore([(405, "")], [(403, "")])
    assert core.send() == CoreResponse(405, b"body")
    assert (len(core.seen[0]), len(core.seen[1])) == (2, 1)


def test_a_coordinator_times_out_after_a_second_and_the_request_ends_in_time() -> None:
    core = ScriptedCore([(-1, "")], [(-1, "")])
    started = core.time.now
    outcome = core.send(within_s=4)
    assert isinstance(outcome, CoreUnavailable)
    assert set(outcome.reasons) == {"10.0.0.1:80", "10.0.0.2:80"}
    assert 2 < core.time.now - started <= 4.001
    assert (len(core.seen[0]), len(core.seen[1])) == (2, 2)


def test_backoff_grows() -> None:
    core = ScriptedCore([(503, "")])
    core.send(within_s=10)
    assert 5 <= len(core.seen[0]) <= 10
