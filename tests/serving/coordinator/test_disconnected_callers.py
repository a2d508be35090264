"""A request whose caller has disconnected is not submitted: the caller retries it at another coordinator."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from coveport import http1
from coveport.serving.coordinator.control_service import DISCONNECT_WAIT_S, ControlService
from coveport.serving.coordinator.operator_api import OperatorApi
from coveport.serving.coordinator.replica_runtime import ReplicaCallbacks, ReplicaRuntime
from coveport.serving.coordinator.stall_detector import STALL_THRESHOLD_S, TICK_INTERVAL_S, StallDetector
from coveport.serving.replication.events import Answer, CancelCall, Done, Effect, Event, Submit, Tick
from coveport.serving.resource_budget import ResourceBudget
from coveport.serving.settings.boot import ProcessLimits
from coveport.serving.web.router import Router
from coveport.serving.web.server import HttpServer, _Connection
from coveport.testbed.simulated_network.world import Process, World

EVACUATION = http1.write_request("POST", "/coveport/evacuation/hall", [("Host", "core")])


class FakeTransport(asyncio.Transport):
    """A caller's connection that records the written bytes."""

    def __init__(self) -> None:
        super().__init__({"sockname": ("10.0.0.1", 7000)})
        self.written = b""
        self.is_closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Everything is written at once."""

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        """The end of the output is not recorded."""

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True


class ScriptedReplica:
    """A replica that records events, and answers submits with `outcome` unless that is None."""

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

    def events_of(self, kind: type) -> list[Event]:
        return [event for event in self.events if isinstance(event, kind)]


class ControlServer:
    """The operators' API of one coordinator in simulated time, around a scripted replica."""

    def __init__(self) -> None:
        self.world = World()
        self.process = Process.start(self.world, "coordinator")
        self.replica = ScriptedReplica()
        self.stalls_s: list[float] = []
        net: Any = SimpleNamespace(
            now_s=lambda: self.world.now, loop=self.process, limit_read=lambda *_: None
        )
        callbacks = ReplicaCallbacks(lambda address, message: None, lambda effect: None)
        log = SimpleNamespace(info=lambda *_, **__: None, warning=lambda *_, **__: None)
        detector = StallDetector(net.now_s, self.on_stall, log)
        replica: Any = self.replica
        writer: Any = None
        self.runtime = ReplicaRuntime(net, replica, writer, detector, callbacks, log)
        control_service = ControlService(net, self.runtime, dict)
        router = Router(OperatorApi(control_service, 7000, frozenset({"hall"})))
        budget = ResourceBudget(ProcessLimits().capacity, net.now_s)
        self.http_server = HttpServer(net, ("10.0.0.1", 7000), router.dispatch, budget, detector.check)

    def on_stall(self, stall_s: float) -> None:
        self.stalls_s.append(stall_s)
        self.http_server.reset_all()

    def call(self) -> tuple[_Connection, FakeTransport]:
        """Connect, and send a request for an evacuation."""
        connection, transport = _Connection(self.http_server), FakeTransport()
        self.process.call_soon(connection.connection_made, transport)
        self.process.call_soon(connection.data_received, EVACUATION)
        return connection, transport

    def run(self, duration_s: float) -> None:
        self.world.run(self.world.now + duration_s)


def disconnect(connection: _Connection, disconnect_kind: str) -> None:
    if disconnect_kind == "closes":
        connection.eof_received()
    else:
        connection.connection_lost(ConnectionResetError())


@pytest.mark.parametrize("disconnect_kind", ["closes", "resets"])
def test_request_whose_caller_disconnects_during_an_election_is_never_submitted(disconnect_kind: str) -> None:
    """An earlier version kept waiting for a primary, became primary, and submitted it 0.8 s later."""
    server = ControlServer()
    server.replica.is_primary = False
    connection, _ = server.call()
    server.run(0.4)
    server.process.call_soon(disconnect, connection, disconnect_kind)
    server.run(0.1)
    server.replica.is_primary = True
    server.run(5.0)
    assert server.replica.events_of(Submit) == []


@pytest.mark.parametrize("disconnect_kind", ["closes", "resets"])
@pytest.mark.parametrize("after_s", [0.0, DISCONNECT_WAIT_S / 2])
def test_delayed_duplicate_that_arrives_with_its_callers_disconnect_is_never_submitted(
    disconnect_kind: str, after_s: float
) -> None:
    """A link that has delayed both delivers them together."""
    server = ControlServer()
    connection, _ = server.call()
    server.run(after_s)
    server.process.call_soon(disconnect, connection, disconnect_kind)
    server.run(5.0)
    assert server.replica.events_of(Submit) == []


def test_submitted_request_whose_caller_disconnects_is_cancelled() -> None:
    server = ControlServer()
    connection, _ = server.call()
    server.run(DISCONNECT_WAIT_S + 0.1)
    (submitted,) = server.replica.events_of(Submit)
    assert isinstance(submitted, Submit)
    server.process.call_soon(disconnect, connection, "resets")
    server.run(0.1)
    assert server.replica.events_of(CancelCall) == [CancelCall(submitted.request)]


def test_submitted_request_without_an_outcome_is_cancelled_when_its_caller_gets_503() -> None:
    """An earlier version left the command in the primary's queue, which the next view takes over."""
    server = ControlServer()
    _, transport = server.call()
    server.run(DISCONNECT_WAIT_S + 4.2)
    assert b" 503 " in transport.written
    assert len(server.replica.events_of(Submit)) == len(server.replica.events_of(CancelCall)) == 1


def test_request_whose_caller_stays_gets_a_response() -> None:
    server = ControlServer()
    server.replica.outcome = Done(SimpleNamespace(status=200, edition=1, findings=()))
    _, transport = server.call()
    server.run(DISCONNECT_WAIT_S + 0.1)
    assert server.replica.events_of(CancelCall) == []
    assert transport.written


def test_bytes_received_during_a_stall_are_dropped() -> None:
    """The loop reads sockets before it runs the tick that would detect the stall."""
    server = ControlServer()
    server.runtime.start()
    server.run(1.0)
    connection, transport = _Connection(server.http_server), FakeTransport()
    server.process.call_soon(connection.connection_made, transport)
    server.run(0.01)
    server.runtime.stop()  # no tick runs before the bytes are read
    server.run(STALL_THRESHOLD_S + 2 * TICK_INTERVAL_S)
    server.process.call_soon(connection.data_received, EVACUATION)
    server.run(5.0)
    assert len(server.stalls_s) == 1
    assert transport.is_closed
    assert server.replica.events_of(Submit) == []
    assert len(server.replica.events_of(Tick)) > 10


def cancel_nothing(self: _Connection) -> None:
    """Replace `_cancel_response` in a variant that continues requests of disconnected callers."""


@pytest.mark.parametrize(
    "check",
    [
        lambda: test_request_whose_caller_disconnects_during_an_election_is_never_submitted("resets"),
        lambda: test_delayed_duplicate_that_arrives_with_its_callers_disconnect_is_never_submitted(
            "closes", 0.0
        ),
        test_submitted_request_whose_caller_disconnects_is_cancelled,
    ],
    ids=["during an election", "with its disconnect", "submitted"],
)
def test_variant_that_never_cancels_fails_the_checks(check: Callable[[], None], monkeypatch: Any) -> None:
    monkeypatch.setattr(_Connection, "_cancel_response", cancel_nothing)
    with pytest.raises((AssertionError, ValueError)):
        check()
