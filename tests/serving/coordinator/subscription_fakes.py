"""Fakes for tests of `Subscriptions`: an event loop with manual timers, a clock, a status, a connection."""

from __future__ import annotations

from coveport.net.transport import Net
from coveport.serving.wire.frames import FrameReader
from coveport.serving.wire.messages import CODEC, CoordinatorEndpoint, Update


class FakeTimer:
    """A timer that is pending until it is cancelled."""

    def __init__(self, loop: FakeLoop, callback: object, arguments: tuple[object, ...]) -> None:
        self.loop = loop
        self.callback = callback
        self.arguments = arguments

    def cancel(self) -> None:
        self.loop.timers.remove(self)


class FakeLoop:
    """An event loop whose timers run only in `fire`; other callbacks run at once."""

    def __init__(self) -> None:
        self.timers: list[FakeTimer] = []
        self.delays_s: list[float] = []

    def call_later(self, delay_s: float, callback: object, *arguments: object) -> FakeTimer:
        self.delays_s.append(delay_s)
        self.timers.append(FakeTimer(self, callback, arguments))
        return self.timers[-1]

    def call_soon(self, callback: object) -> None:
        assert callable(callback)
        callback()

    def fire(self) -> None:
        """Run the callback of the only timer."""
        (timer,) = self.timers
        assert callable(timer.callback)
        timer.callback(*timer.arguments)


class FakeNet(Net):
    """A network with a clock that a test sets, and a `FakeLoop`."""

    def __init__(self) -> None:
        self.fake_loop = FakeLoop()
        self.loop = self.fake_loop  # type: ignore[assignment]
        self.time_s = 100.0

    def now_s(self) -> float:
        return self.time_s


class FakeStatus:
    """A `CoordinatorStatus` with values that a test sets."""

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
    """A connection that decodes and records the updates sent on it."""

    def __init__(self) -> None:
        self.updates: list[Update] = []

    def send_frame(self, kind: type, frame: bytes) -> None:
        assert kind is Update
        (payload,) = FrameReader().feed(frame)
        update = CODEC.decode(payload)
        assert isinstance(update, Update)
        self.updates.append(update)
