"""Calling a core in virtual time: redirects, failures, silence, pauses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, TypeVar

import pytest

from coveport.http1.codec import Request, RequestParser, write_response
from coveport.serving.cli.core_caller import Answer, CoreCaller, NoAnswer
from coveport.serving.cli.http_call import HttpCall
from coveport.serving.simulation.topology import SimulatedWays
from coveport.serving.simulation.zones import Delays
from coveport.testbed.simulated_network.wires import Network, VirtualNet
from coveport.testbed.simulated_network.world import Process, World

T = TypeVar("T")
PORT = 80
CALL = HttpCall("PUT", "/coveport/config", (("If-Match", "0"),), b"{}")
Reply = tuple[int, str]  # status, and where it sends on; status 0: a close; below 0: silence


class Coordinator(asyncio.Protocol):
    """Answers what it is told to, the last answer for ever."""

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
            self._transport.write(write_response(status, headers, b"told"))


class Ground:
    """Some coordinators with scripted replies, and a caller."""

    def __init__(self, *scripts: list[Reply]) -> None:
        self.time = World()
        network = Network(self.time, SimulatedWays((), Delays(), Random(1)))  # type: ignore[arg-type]
        process = Process.start(self.time, "all")
        self._process = process
        self.seen: list[list[Request]] = [[] for _ in scripts]
        for number, script in enumerate(scripts):
            net = VirtualNet(process, network, network.place(f"10.0.0.{number + 1}", -1))
            factory = self._factory(script, self.seen[number])
            self._run(net.listen(factory, (f"10.0.0.{number + 1}", PORT), accept_most=9, waiting_most=9))
        self._net = VirtualNet(process, network, network.place("10.0.9.9", -1))
        self._addresses = [(f"10.0.0.{number + 1}", PORT) for number in range(len(scripts))]

    @staticmethod
    def _factory(script: list[Reply], seen: list[Request]) -> Callable[[], Coordinator]:
        return lambda: Coordinator(script, seen)

    def _run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        task: asyncio.Task[T] = self._process.create_task(coroutine)
        assert self.time.run(self.time.now + 1000, task.done)
        return task.result()

    def call(self, within_s: float = 30.0) -> Answer | NoAnswer:
        """What the caller ends with."""
        return self._run(CoreCaller(self._net, self._addresses).call(CALL, within_s))


def to(number: int) -> Reply:
    return 307, f"http://10.0.0.{number}:{PORT}/coveport/config"


def test_two_redirects_are_followed_and_the_call_is_the_same_each_time() -> None:
    ground = Ground([to(2)], [to(3)], [(200, "")])
    assert ground.call() == Answer(200, b"told")
    requests = [requests[0] for requests in ground.seen]
    assert {(one.method, one.target, one.body, one.get("if-match")) for one in requests} == {
        ("PUT", "/coveport/config", b"{}", "0")
    }


def test_a_third_redirect_is_not_followed_but_another_coordinator_asked() -> None:
    ground = Ground([to(2)], [to(1)])
    outcome = ground.call(within_s=2)
    assert isinstance(outcome, NoAnswer)
    assert "more than 2 times" in outcome.reasons["10.0.0.1:80"]
    assert len(ground.seen[0]) + len(ground.seen[1]) >= 6


@pytest.mark.parametrize("status", [400, 404, 409, 412, 413, 422])
def test_clear_refusals_end_the_call(status: int) -> None:
    ground = Ground([(status, "")], [(200, "")])
    assert ground.call() == Answer(status, b"told")
    assert ground.seen[1] == []


@pytest.mark.parametrize("status", [500, 503, 408, 429, 0, -1])
def test_failures_and_silence_lead_to_another_coordinator(status: int) -> None:
    ground = Ground([(status, "")], [(200, "")])
    assert ground.call() == Answer(200, b"told")
    assert len(ground.seen[0]) == 1


@pytest.mark.parametrize("reply", [(307, ""), (307, "http://nowhere/x"), (307, "http://10.0.0.77:80/x")])
def test_a_redirect_to_nowhere_is_a_failure(reply: Reply) -> None:
    assert Ground([reply], [(200, "")]).call() == Answer(200, b"told")


def test_other_refusals_end_the_call_at_the_third() -> None:
    ground = Ground([(405, "")], [(403, "")])
    assert ground.call() == Answer(405, b"told")
    assert (len(ground.seen[0]), len(ground.seen[1])) == (2, 1)


def test_silence_is_left_after_a_second_and_the_call_ends_in_time() -> None:
    ground = Ground([(-1, "")], [(-1, "")])
    started = ground.time.now
    outcome = ground.call(within_s=4)
    assert isinstance(outcome, NoAnswer)
    assert set(outcome.reasons) == {"10.0.0.1:80", "10.0.0.2:80"}
    assert 2 < ground.time.now - started <= 4.001
    assert (len(ground.seen[0]), len(ground.seen[1])) == (2, 2)


def test_pauses_grow() -> None:
    ground = Ground([(503, "")])
    ground.call(within_s=10)
    assert 5 <= len(ground.seen[0]) <= 10
