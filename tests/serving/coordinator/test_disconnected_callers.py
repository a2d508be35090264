"""A call whose caller has left is not begun any more, wherever it waits: its copy was sent elsewhere."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from coveport.http1 import codec
from coveport.serving.coordinator.control_service import DISCONNECT_WAIT_S, ControlService
from coveport.serving.coordinator.operator_api import OperatorApi
from coveport.serving.coordinator.replica_runtime import ReplicaCallbacks, ReplicaRuntime
from coveport.serving.coordinator.stall_detector import STALL_THRESHOLD_S, TICK_INTERVAL_S, StallDetector
from coveport.serving.replication.events import Answer, CancelCall, Done, Effect, Event, Submit, Tick
from coveport.serving.web.router import Router
from coveport.serving.web.server import HttpServer, _Connection
from coveport.testbed.simulated_network.world import Process, World

EVACUATION = codec.write_request("POST", "/coveport/evacuation/hall", [("Host", "core")])


class Transport(asyncio.Transport):
    """A caller's connection, with what was written to it."""

    def __init__(self) -> None:
        super().__init__({"sockname": ("10.0.0.1", 7000)})
        self.written = b""
        self.is_over = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def is_closing(self) -> bool:
        return self.is_over

    def close(self) -> None:
        self.is_over = True

    def abort(self) -> None:
        self.is_over = True


class ScriptedReplica:
    """A replica that records events; it answers submits with `outcome` where there is one."""

    def __init__(self) -> None:
        self.is_primary = True
        self.primary_address: str | None = None
        self.events: list[Event] = []
        self.outcome: Any = None

    def handle(self, now_s: float, event: Event) -> list[Effect]:
        self.events.append(event)
        if isinstance(event, Submit) and self.outcome is not None:
            return [Answer(event.request, self.outcome)]
        return []

    def has_quorum(self, now_s: float) -> bool:
        return True

    def describe(self) -> dict[str, object]:
        return {}

    def of(self, kind: type) -> list[Event]:
        return [event for event in self.events if isinstance(event, kind)]


class Coordinator:
    """The operators' side of one coordinator in virtual time, around a scripted member."""

    def __init__(self) -> None:
        self.world = World()
        self.process = Process.start(self.world, "coordinator")
        self.replica = ScriptedReplica()
        self.stalls: list[float] = []
        net: Any = SimpleNamespace(now_s=lambda: self.world.now, loop=self.process)
        callbacks = ReplicaCallbacks(lambda address, message: None, lambda effect: None)
        log = SimpleNamespace(info=lambda *_, **__: None, warning=lambda *_, **__: None)
        detector = StallDetector(net.now_s, self.stalled, log)
        replica: Any = self.replica
        writer: Any = None
        self.runtime = ReplicaRuntime(net, replica, writer, detector, callbacks, log)
        control_service = ControlService(net, self.runtime, dict)
        router = Router(OperatorApi(control_service, 7000, frozenset({"hall"})))
        self.server = HttpServer(net, ("10.0.0.1", 7000), router.dispatch, detector.check)

    def stalled(self, late_s: float) -> None:
        self.stalls.append(late_s)
        self.server.reset_all()

    def call(self) -> tuple[_Connection, Transport]:
        """A caller connects and sends an order without a version."""
        connection, transport = _Connection(self.server), Transport()
        self.process.call_soon(connection.connection_made, transport)
        self.process.call_soon(connection.data_received, EVACUATION)
        return connection, transport

    def run(self, seconds: float) -> None:
        self.world.run(self.world.now + seconds)


def leave(connection: _Connection, how: str) -> None:
    if how == "closes":
        connection.eof_received()
    else:
        connection.connection_lost(ConnectionResetError())


@pytest.mark.parametrize("how", ["closes", "resets"])
def test_an_order_whose_caller_left_while_nobody_led_is_never_submitted(how: str) -> None:
    """Shown before: the coordinator waited on for a primary and submitted it to itself 0.8 s later."""
    at = Coordinator()
    at.replica.is_primary = False
    connection, _ = at.call()
    at.run(0.4)
    at.process.call_soon(leave, connection, how)
    at.run(0.1)
    at.replica.is_primary = True
    at.run(5.0)
    assert at.replica.of(Submit) == []


@pytest.mark.parametrize("how", ["closes", "resets"])
@pytest.mark.parametrize("after_s", [0.0, DISCONNECT_WAIT_S / 2])
def test_an_old_copy_that_comes_with_its_callers_end_is_never_submitted(how: str, after_s: float) -> None:
    """As a link brings them that held both up."""
    at = Coordinator()
    connection, _ = at.call()
    at.run(after_s)
    at.process.call_soon(leave, connection, how)
    at.run(5.0)
    assert at.replica.of(Submit) == []


def test_a_submitted_order_whose_caller_leaves_is_withdrawn() -> None:
    at = Coordinator()
    connection, _ = at.call()
    at.run(DISCONNECT_WAIT_S + 0.1)
    (submitted,) = at.replica.of(Submit)
    assert isinstance(submitted, Submit)
    at.process.call_soon(leave, connection, "resets")
    at.run(0.1)
    assert at.replica.of(CancelCall) == [CancelCall(submitted.request)]


def test_a_submitted_order_that_is_never_decided_is_withdrawn_as_its_caller_is_told() -> None:
    """Shown before: it stayed in the primary's queue, which the next view takes over."""
    at = Coordinator()
    _, transport = at.call()
    at.run(DISCONNECT_WAIT_S + 4.2)
    assert b" 503 " in transport.written
    assert len(at.replica.of(Submit)) == len(at.replica.of(CancelCall)) == 1


def test_an_order_whose_caller_stays_is_answered() -> None:
    at = Coordinator()
    at.replica.outcome = Done(SimpleNamespace(status=200, edition=1, findings=()))
    _, transport = at.call()
    at.run(DISCONNECT_WAIT_S + 0.1)
    assert at.replica.of(CancelCall) == []
    assert transport.written


def test_what_waited_in_connections_while_the_process_stood_still_is_dropped_unread() -> None:
    """The loop reads sockets before it runs the tick that would notice the standstill."""
    at = Coordinator()
    at.runtime.start()
    at.run(1.0)
    connection, transport = _Connection(at.server), Transport()
    at.process.call_soon(connection.connection_made, transport)
    at.run(0.01)
    at.runtime.stop()  # no tick comes in front of the bytes
    at.run(STALL_THRESHOLD_S + 2 * TICK_INTERVAL_S)
    at.process.call_soon(connection.data_received, EVACUATION)
    at.run(5.0)
    assert len(at.stalls) == 1
    assert transport.is_over
    assert at.replica.of(Submit) == []
    assert len(at.replica.of(Tick)) > 10


def without_giving_up(self: _Connection) -> None:
    """The variant that goes on with a call whose caller has left: as it was on main."""


@pytest.mark.parametrize(
    "check",
    [
        lambda: test_an_order_whose_caller_left_while_nobody_led_is_never_submitted("resets"),
        lambda: test_an_old_copy_that_comes_with_its_callers_end_is_never_submitted("closes", 0.0),
        test_a_submitted_order_whose_caller_leaves_is_withdrawn,
    ],
    ids=["nobody leads", "with its end", "submitted"],
)
def test_going_on_without_the_caller_is_caught(check: Callable[[], None], monkeypatch: Any) -> None:
    monkeypatch.setattr(_Connection, "_cancel_response", without_giving_up)
    with pytest.raises((AssertionError, ValueError)):
        check()
