"""Fakes around `Subscriptions`: timers that are fired by hand, a clock, a status, a connection."""

from __future__ import annotations

from coveport.net.transport import Net
from coveport.serving.wire.frames import FrameReader
from coveport.serving.wire.messages import CODEC, CoordinatorEndpoint, Update


class FakeTimer:
    """A timer that is pending until it is cancelled."""

    def __init__(self, loop: FakeLoop, call: object, arguments: tuple[object, ...]) -> None:
        self.loop = loop
        self.call = call
        self.arguments = arguments

    def cancel(self) -> None:
        self.loop.timers.remove(self)


class FakeLoop:
    """Keeps timers until `fire` is called; runs other callbacks at once."""

    def __init__(self) -> None:
        self.timers: list[FakeTimer] = []
        self.delays_s: list[float] = []

    def call_later(self, delay_s: float, call: object, *arguments: object) -> FakeTimer:
        self.delays_s.append(delay_s)
        self.timers.append(FakeTimer(self, call, arguments))
        return self.timers[-1]

    def call_soon(self, call: object) -> None:
        assert callable(call)
        call()

    def fire(self) -> None:
        """Fire the only timer."""
        (timer,) = self.timers
        assert callable(timer.call)
        timer.call(*timer.arguments)


class FakeNet(Net):
    """A time that a test sets, and a `FakeLoop`."""

    def __init__(self) -> None:
        self.fake_loop = FakeLoop()
        self.loop = self.fake_loop  # type: ignore[assignment]
        self.time_s = 100.0

    def now_s(self) -> float:
        return self.time_s


class FakeStatus:
    """A `CoordinatorStatus` that a test sets."""

    def __init__(
        self, *, quorum: bool, all_nodes: bool, coordinators: tuple[CoordinatorEndpoint, ...] = ()
    ) -> None:
        self.quorum = quorum
        self.all_nodes = all_nodes
        self.coordinators = coordinators

    def has_quorum(self) -> bool:
        return self.quorum

    def knows_all_nodes(self) -> bool:
        return self.all_nodes

    def live_coordinators(self) -> tuple[CoordinatorEndpoint, ...]:
        return self.coordinators


class FakeConnection:
    """Decodes the updates that are sent on it."""

    def __init__(self) -> None:
        self.updates: list[Update] = []

    def send_frame(self, kind: type, frame: bytes) -> None:
        assert kind is Update
        (payload,) = FrameReader().feed(frame)
        update = CODEC.decode(payload)
        assert isinstance(update, Update)
        self.updates.append(update)
