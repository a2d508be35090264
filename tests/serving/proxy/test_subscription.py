"""Updates that a proxy can't apply, after which it requests the full state, and time-outs of answers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from configuration_examples import Json, encode_json, make_configuration

from coveport.net.transport import Net
from coveport.serving.configuration.commands import PutConfiguration, StartEvacuation, encode_command
from coveport.serving.configuration.state import ControlState
from coveport.serving.configuration.state_codec import encode_state
from coveport.serving.duties.commands import AcquireDuties
from coveport.serving.duties.state import LeaseOwner
from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.coordinator_selection import CoordinatorSelector
from coveport.serving.proxy.subscription import ANSWER_TIMEOUT_S, SelfReports, Subscription
from coveport.serving.proxy.telemetry_reporter import TelemetryReporter
from coveport.serving.wire.messages import StateChange, Update
from coveport.testbed.simulated_network.world import Process, World


class FrozenNet(Net):
    """A network whose clock does not advance."""

    def __init__(self) -> None:
        pass

    def now_s(self) -> float:
        return 100.0

    def unix_s(self) -> float:
        return 1_700_000_000.0


class Log:
    """Records the names of events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def __getattr__(self, level: str) -> Any:
        return lambda event, **keys: self.events.append(event)


def make_subscription() -> tuple[Subscription, ControlView, Log]:
    view, log = ControlView(), Log()
    selector = CoordinatorSelector("z", "r", ("10.0.0.1:7300",))

    def make_lease(request_number: int) -> ProxyLease:
        return ProxyLease("p", "10.0.0.9:80", "z", "r", True, request_number, 1)

    reports = SelfReports(make_lease)
    return Subscription(FrozenNet(), view, selector, reports, log, random.Random(1)), view, log


def update(sequence: int, state: bytes | None, *changes: bytes) -> Update:
    first = sequence - len(changes) + 1
    state_changes = tuple(StateChange(first + index, command) for index, command in enumerate(changes))
    return Update(0, True, True, "t", 1, False, (), (), (), sequence, state, state_changes, (), 1)


SNAPSHOT = encode_state(ControlState(evacuated_zones=frozenset({"a"})))
INVALID_COMMAND = b"\xff"
REJECTED_COMMAND = encode_command(PutConfiguration(9, b"{}"))


@pytest.mark.parametrize("rejected_command", [REJECTED_COMMAND, INVALID_COMMAND])
def test_rejected_changes_are_requested_as_a_full_state_once(rejected_command: bytes) -> None:
    subscription, view, log = make_subscription()
    subscription._apply(update(3, SNAPSHOT))
    subscription._apply(update(4, None, rejected_command))
    assert view.evacuated_zones == {"a"}, "the current state stays in force"
    assert subscription._request(()).state_sequence == -1
    assert log.events == ["change_rejected"]
    subscription._apply(update(4, encode_state(ControlState(evacuated_zones=frozenset({"a", "b"})))))
    assert view.evacuated_zones == {"a", "b"}
    assert subscription._request(()).state_sequence == 4


@pytest.mark.parametrize("commands", [(), (encode_command(AcquireDuties(LeaseOwner("one", "a"), 0)),)])
def test_changes_of_duties_alone_notify_no_listener(commands: tuple[bytes, ...]) -> None:
    subscription, view, log = make_subscription()
    subscription._apply(update(3, SNAPSHOT))
    subscription._apply(update(3, None))
    notifications: list[int] = []
    view.listeners.append(lambda: notifications.append(1))
    unchanged = replace(update(4, None, *commands), node_revision=0)
    subscription._apply(unchanged)
    assert (notifications, log.events) == ([], [])
    assert subscription._request(()).state_sequence == 4
    subscription._apply(update(5, None, encode_command(StartEvacuation("b"))))
    assert notifications == [1]
    assert view.evacuated_zones == {"a", "b"}


def test_snapshot_that_cannot_be_decoded_changes_nothing() -> None:
    subscription, view, log = make_subscription()
    subscription._apply(update(3, SNAPSHOT))
    subscription._apply(update(5, SNAPSHOT[:-1] + bytes([SNAPSHOT[-1] ^ 1])))
    assert view.evacuated_zones == {"a"}
    assert subscription._request(()).state_sequence == -1
    assert log.events == ["snapshot_rejected"]
    subscription._apply(update(3, SNAPSHOT))
    assert view.evacuated_zones == {"a"}, "the state never returns to an older one"


@pytest.mark.parametrize(
    ("extra_fields", "events"),
    [
        ({}, ["configuration_activated"]),
        ({"Remark": 1}, ["configuration_activated", "configuration_fields_ignored"]),
    ],
)
def test_ignored_fields_are_logged(extra_fields: Json, events: list[str]) -> None:
    subscription, view, log = make_subscription()
    text = encode_json(make_configuration(7, **extra_fields))
    subscription._apply(update(3, encode_state(ControlState(configuration_text=text, edition=7))))
    assert view.configuration is not None and view.configuration.edition == 7
    assert log.events == events


def test_valid_changes_are_applied_in_order() -> None:
    subscription, view, _ = make_subscription()
    subscription._apply(update(3, SNAPSHOT))
    subscription._apply(update(5, None, *(encode_command(StartEvacuation(zone)) for zone in "bc")))
    assert view.evacuated_zones == {"a", "b", "c"}
    assert subscription._request(()).state_sequence == 5


def test_another_coordinator_receives_all_tenant_counts_again() -> None:
    subscription, _, _ = make_subscription()
    reporter = TelemetryReporter(FrozenNet(), "p", 1, 5.0)
    subscription._reports = replace(subscription._reports, telemetry=reporter)
    reporter.record_begun("acme", 100.0)
    first = subscription._request(()).telemetry
    assert first is not None and len(first.windows) == 1
    assert subscription._request(()).telemetry is None
    closed_connection: Any = SimpleNamespace(is_open=False)
    asyncio.run(subscription._poll_until_failure(closed_connection, "10.0.0.2:7300"))
    second = subscription._request(()).telemetry
    assert second is not None and second.windows == first.windows


def wait_for_answer(received_every_s: float, answered_at_s: float) -> tuple[Update | None, float]:
    """Return the update that a wait in simulated time receives, and the seconds of the wait."""
    subscription, _, _ = make_subscription()
    world = World()
    process = Process.start(world, "proxy")
    subscription._net = SimpleNamespace(now_s=lambda: world.now)  # type: ignore[assignment]
    connection = SimpleNamespace(last_received_s=world.now)
    began_s = world.now

    def receive() -> None:
        connection.last_received_s = world.now
        if world.now - began_s < answered_at_s:
            world.at(world.now + received_every_s, receive, process=process)

    if received_every_s:
        world.at(began_s + received_every_s, receive, process=process)
    answer = update(0, SNAPSHOT)
    world.at(began_s + answered_at_s, lambda: subscription._updates.put_nowait(answer), process=process)
    task = process.create_task(subscription._wait_for_update(connection))  # type: ignore[arg-type]
    ended_s: list[float] = []
    task.add_done_callback(lambda _: ended_s.append(world.now))
    world.run(began_s + 60)
    return task.result(), ended_s[0] - began_s


def test_wait_for_a_large_answer_continues_while_bytes_arrive() -> None:
    """With a fixed time-out, a proxy would abandon every coordinator and never receive a large state."""
    answer, took_s = wait_for_answer(received_every_s=0.3, answered_at_s=9.0)
    assert answer is not None and took_s == pytest.approx(9.0, abs=0.01)


def test_coordinator_that_sends_nothing_is_abandoned() -> None:
    answer, took_s = wait_for_answer(received_every_s=0.0, answered_at_s=9.0)
    assert answer is None and took_s == pytest.approx(ANSWER_TIMEOUT_S, abs=0.01)
