"""After a loss of all power proxies and coordinators start together: who waits for whom."""

from __future__ import annotations

import pytest

from coveport.net.transport import Net
from coveport.serving.coordinator.subscriptions import HOLD_S, StateHistory, Subscriptions
from coveport.serving.membership.leases import LeaseTable, ProxyLease
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.faults import Troubles
from coveport.serving.simulation.world import SimulatedDeployment
from coveport.serving.wire.frames import FrameReader
from coveport.serving.wire.messages import CODEC, CoordinatorEndpoint, Update, UpdateRequest


class Standing:
    connected = False

    def is_connected(self) -> bool:
        return self.connected

    def is_settled(self) -> bool:
        return self.connected

    def coordinators(self) -> tuple[CoordinatorEndpoint, ...]:
        return ()


class Timer:
    def __init__(self, loop: Loop, call: object, arguments: tuple[object, ...]) -> None:
        self.loop = loop
        self.call = call
        self.arguments = arguments

    def cancel(self) -> None:
        self.loop.timers.remove(self)


class Loop:
    def __init__(self) -> None:
        self.timers: list[Timer] = []
        self.delays_s: list[float] = []

    def call_later(self, delay_s: float, call: object, *arguments: object) -> Timer:
        self.delays_s.append(delay_s)
        self.timers.append(Timer(self, call, arguments))
        return self.timers[-1]

    def call_soon(self, call: object) -> None:
        assert callable(call)
        call()

    def ring(self) -> None:
        (timer,) = self.timers
        assert callable(timer.call)
        timer.call(*timer.arguments)


class Clock(Net):
    def __init__(self) -> None:
        self.loop = Loop()  # type: ignore[assignment]

    def now_s(self) -> float:
        return 100.0


class Caller:
    """In place of a connection."""

    def __init__(self) -> None:
        self.updates: list[Update] = []

    def send_frame(self, kind: type, frame: bytes) -> None:
        (payload,) = FrameReader().feed(frame)
        update = CODEC.decode(payload)
        assert isinstance(update, Update)
        self.updates.append(update)


class Started:
    """A coordinator that has just started, and one proxy that asks it."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.standing = Standing()
        self.history = StateHistory()
        self.subscriptions = Subscriptions(
            self.clock, NodeTable(5.0), "t", LeaseTable(), self.history, self.standing, lambda: None
        )
        self.caller = Caller()

    def ask(self, sequence: int = -1) -> list[Update]:
        lease = ProxyLease("p", "127.0.0.2:1", "a", "north", False, 1, 1)
        request = UpdateRequest(lease, "", -1, sequence, 1)
        self.subscriptions.ask(self.caller, request)  # type: ignore[arg-type]
        return self.caller.updates

    @property
    def loop(self) -> Loop:
        loop = self.clock.loop
        assert isinstance(loop, Loop)
        return loop


def test_both_have_just_started_and_the_proxy_is_answered_with_the_first_state() -> None:
    core = Started()
    assert core.ask() == []
    core.history.advance(7, b"state", None)
    core.subscriptions.news()
    assert [(one.state_sequence, one.state) for one in core.caller.updates] == [(7, b"state")]
    assert core.loop.timers == []


def test_a_proxy_that_waited_in_vain_is_sent_on() -> None:
    core = Started()
    assert core.ask() == []
    assert core.loop.delays_s == [HOLD_S]
    core.loop.ring()
    assert [one.has_quorum for one in core.caller.updates] == [False]


def test_a_proxy_that_has_a_state_is_sent_on_at_once() -> None:
    assert [one.has_quorum for one in Started().ask(sequence=3)] == [False]


def test_a_coordinator_with_a_state_but_out_of_touch_sends_on_at_once() -> None:
    core = Started()
    core.history.advance(7, b"state", None)
    assert [one.has_quorum for one in core.ask()] == [False]


def test_a_coordinator_in_touch_answers_at_once_even_without_a_state() -> None:
    core = Started()
    core.standing.connected = True
    assert [one.has_quorum for one in core.ask()] == [True]


@pytest.mark.parametrize("seed", [1, 2, 4])
def test_proxies_serve_within_a_quarter_second_of_the_primary(seed: int) -> None:
    day = SimulatedDeployment(Deployment(proxies=(3, 3, 3)), seed)
    troubles = Troubles(day)
    for machine in (*day.coordinators, *day.proxies):
        troubles.lose_power(1.0, machine, for_s=1.0)
    day.play(3.0)
    led_s = min(
        seconds(line)
        for machine in day.coordinators
        for line in machine.log_lines
        if "event=view_changed role=primary epoch=2 " in line
    )
    serving_s = [
        max(seconds(line) for line in machine.log_lines if "event=proxy_serving" in line)
        for machine in day.proxies
    ]
    assert led_s > day.traffic_from_s + 2.0
    assert max(serving_s) - led_s < 0.25


def seconds(line: str) -> float:
    """The time of a log line, on the world's clock."""
    return float(line.split()[0].removeprefix("at="))
