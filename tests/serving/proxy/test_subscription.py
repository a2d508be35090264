"""What a proxy makes of updates that it can't use: it keeps what it has, and asks for the whole state."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest

from coveport.net.transport import Net
from coveport.serving.configuration.commands import PutConfiguration, StartEvacuation, encode_command
from coveport.serving.configuration.state import ControlState
from coveport.serving.configuration.state_codec import encode_state
from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.coordinator_selection import CoordinatorSelector
from coveport.serving.proxy.subscription import ANSWER_TIMEOUT_S, Subscription
from coveport.serving.wire.messages import StateChange, Update
from coveport.testbed.simulated_network.world import Process, World


class StandingNet(Net):
    """Time stands still."""

    def __init__(self) -> None:
        pass

    def now_s(self) -> float:
        return 100.0


class Log:
    """Keeps the names of events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def __getattr__(self, level: str) -> Any:
        return lambda event, **keys: self.events.append(event)


def made() -> tuple[Subscription, ControlView, Log]:
    view, log = ControlView(), Log()
    selector = CoordinatorSelector("z", "r", ("10.0.0.1:7300",))

    def make_lease(round_number: int) -> ProxyLease:
        return ProxyLease("p", "10.0.0.9:80", "z", "r", True, round_number, 1)

    return Subscription(StandingNet(), view, selector, make_lease, log, random.Random(1)), view, log


def update(sequence: int, state: bytes | None, *changes: bytes) -> Update:
    told = tuple(StateChange(sequence - len(changes) + place + 1, one) for place, one in enumerate(changes))
    return Update(0, True, True, "t", 1, False, (), (), (), sequence, state, told, (), 1)


WHOLE = encode_state(ControlState(evacuated_zones=frozenset({"a"})))
NO_COMMAND = b"\xff"
REFUSED = encode_command(PutConfiguration(9, b"{}"))


@pytest.mark.parametrize("bad", [REFUSED, NO_COMMAND])
def test_changes_that_do_not_fit_are_asked_for_as_a_whole_state_once(bad: bytes) -> None:
    subscription, view, log = made()
    subscription._apply(update(3, WHOLE))
    subscription._apply(update(4, None, bad))
    assert view.evacuated_zones == {"a"}, "what it has stays in force"
    assert subscription._request(()).state_sequence == -1
    assert log.events == ["change_rejected"]
    subscription._apply(update(4, encode_state(ControlState(evacuated_zones=frozenset({"a", "b"})))))
    assert view.evacuated_zones == {"a", "b"}
    assert subscription._request(()).state_sequence == 4


def test_a_whole_state_that_cannot_be_read_changes_nothing() -> None:
    subscription, view, log = made()
    subscription._apply(update(3, WHOLE))
    subscription._apply(update(5, WHOLE[:-1] + bytes([WHOLE[-1] ^ 1])))
    assert view.evacuated_zones == {"a"}
    assert subscription._request(()).state_sequence == -1
    assert log.events == ["snapshot_rejected"]
    subscription._apply(update(3, WHOLE))
    assert view.evacuated_zones == {"a"}, "it never goes back"


def test_changes_that_fit_are_taken_in_order() -> None:
    subscription, view, _ = made()
    subscription._apply(update(3, WHOLE))
    subscription._apply(update(5, None, *(encode_command(StartEvacuation(zone)) for zone in "bc")))
    assert view.evacuated_zones == {"a", "b", "c"}
    assert subscription._request(()).state_sequence == 5


def wait_for_answer(heard_every_s: float, answered_at_s: float) -> tuple[Update | None, float]:
    """What comes of a wait in simulated time, and how long it takes."""
    subscription, _, _ = made()
    world = World()
    process = Process.start(world, "proxy")
    subscription._net = SimpleNamespace(now_s=lambda: world.now)  # type: ignore[assignment]
    connection = SimpleNamespace(last_received_s=world.now)
    began_s = world.now

    def hear() -> None:
        connection.last_received_s = world.now
        if world.now - began_s < answered_at_s:
            world.at(world.now + heard_every_s, hear, process=process)

    if heard_every_s:
        world.at(began_s + heard_every_s, hear, process=process)
    answer = update(0, WHOLE)
    world.at(began_s + answered_at_s, lambda: subscription._updates.put_nowait(answer), process=process)
    task = process.create_task(subscription._wait_for_update(connection))  # type: ignore[arg-type]
    ended_s: list[float] = []
    task.add_done_callback(lambda _: ended_s.append(world.now))
    world.run(began_s + 60)
    return task.result(), ended_s[0] - began_s


def test_a_large_answer_whose_parts_come_is_waited_for() -> None:
    """Main left the coordinator after 1.2 s, and so for ever: a state that took longer never came."""
    answer, took_s = wait_for_answer(heard_every_s=0.3, answered_at_s=9.0)
    assert answer is not None and took_s == pytest.approx(9.0, abs=0.01)


def test_a_coordinator_of_which_nothing_comes_is_left() -> None:
    answer, took_s = wait_for_answer(heard_every_s=0.0, answered_at_s=9.0)
    assert answer is None and took_s == pytest.approx(ANSWER_TIMEOUT_S, abs=0.01)
