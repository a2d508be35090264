"""One route step: from the connect to its end, whatever the protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from coveport.balancing import Outcome
from coveport.sidecar.reducer.locality import Place
from coveport.sidecar.reducer.operation import Answer, Operation
from coveport.sidecar.upstream.protocol import Link

if TYPE_CHECKING:
    from coveport.sidecar.upstream.connection_pool import Destinations

STALLED_S = 20.0  # how long a long body may stand still where it is the destination that is waited for
TURNS_S = 0.01  # for what has come already to be looked at
# It has never run, and that we are short of descriptors must not count against the destination's health.
NO_ROOM = Outcome.FULL


@dataclass(slots=True)
class StepResult:
    """How a route step ended, and what came back where a whole answer did."""

    outcome: Outcome
    answer: Answer | None = None
    load: tuple[float, ...] = ()  # the load report that came along, in the order of the settings


Done = Callable[[StepResult], None]


class Sink(Protocol):
    """Where a long answer goes."""

    def more(self, data: bytes) -> None:
        """Pass on what has come; where it can't take more for now it pauses the source."""


Began = Callable[["RouteStep", Answer], Sink | None]
"""A long answer begins; None where nobody wants it. The step is its source: it can be paused and resumed."""


class RouteStep:
    """One route step (or probe): from the connect to its end, which is told exactly once."""

    def __init__(
        self,
        pool: Destinations,
        operation: Operation | None,
        timeout_s: float,
        done: Done,
        began: Began | None = None,
        handed: Callable[[], None] | None = None,
        fence: Callable[[], bool] | None = None,
    ) -> None:
        self._pool = pool
        self._done = done
        self._began = began
        self._handed = handed
        self._fence = fence  # asked right before the first byte; False: it must not go any more
        self.operation = operation  # None: a probe
        self.timeout_s, self._begun_at = timeout_s, pool.net.now_s()
        self.link: Link | None = None
        self.connecting: asyncio.Task[object] | None = None
        self.handed = False  # the last byte was handed to an accepted connection: it may run from here on
        self.over = False
        self.sink: Sink | None = None  # set once a long answer has begun
        self.long = operation is not None and operation.upload is not None  # whether its body is
        self.moved_at = pool.net.now_s() if self.long else 0.0  # when bytes of a long body last went on
        # A long operation takes its client's time until its last byte is handed over.
        self._timers = [
            pool.net.loop.call_later(STALLED_S, self._watch)
            if self.long
            else pool.net.loop.call_later(timeout_s, self._expire, Outcome.TIMEOUT)
        ]

    def connect(self, number: int, place: Place) -> None:
        """Open a connection for this route step."""
        loop = self._pool.net.loop
        self._timers.append(loop.call_later(self._pool.connect_timeout_s, self._connect_late))
        self._pool.opening += 1
        self.connecting = loop.create_task(self._connect(number, place))
        self.connecting.add_done_callback(self._pool.opened)

    async def _connect(self, number: int, place: Place) -> None:
        try:
            await self._pool.dial(self._pool, number, place, self)
        except OSError as problem:
            self._pool.counters.add("connects_failed")
            if self._pool.is_exhausted(problem):
                host, port = place[0]
                self._pool.log.note("descriptors", f"no connection to {host}:{port}: {problem}")
                self.end(StepResult(NO_ROOM))
            else:
                self.end(StepResult(Outcome.CONNECT_FAILED))

    def _connect_late(self) -> None:
        # Guards against taking our own lag for theirs: it may be up, and be seen in a few turns.
        self._timers.append(self._pool.net.loop.call_later(TURNS_S, self._connect_given_up))

    def _connect_given_up(self) -> None:
        if self.link is None:
            self._pool.counters.add("connects_late")
            self.end(StepResult(Outcome.CONNECT_FAILED))

    def _expire(self, outcome: Outcome) -> None:
        # Nothing whole was handed over: it can't have run, however the wait ended.
        self.end(StepResult(outcome if self.handed else Outcome.CONNECT_FAILED))

    def may_go(self, link: Link) -> bool:
        """Asked right before the first byte: whether it may still go."""
        # Guards against another's process at the address of one that has gone while the connection came up.
        return self._pool.places.get(link.number) == link.place and (self._fence is None or self._fence())

    @property
    def left_s(self) -> float:
        """What is left of its time; a long operation takes its client's until its last byte has left."""
        # Guards against work for nobody: a connection that took long to come up has taken of that time.
        return self.timeout_s if self.long else self.timeout_s - (self._pool.net.now_s() - self._begun_at)

    def hand(self) -> None:
        """The last byte was handed to an accepted connection: it may run from here on."""
        if self.handed:
            return
        self.handed = True
        if self.operation is None:
            return
        self._pool.counters.add("upstream_requests")
        if self.long and not self.over:
            self._stop_timers()
            wait_s = min(self.timeout_s, self.operation.wait_ms / 1000)
            self._timers = [self._pool.net.loop.call_later(wait_s, self._expire, Outcome.TIMEOUT)]
            if self._handed is not None:
                self._handed()

    def begin(self, answer: Answer) -> bool:
        """A long answer has begun, and no time-out holds but that it goes on; False where nobody wants it."""
        self.sink = self._began(self, answer) if self._began is not None and not self.over else None
        if self.sink is None or self.over:
            return False
        self._stop_timers()
        self.moved_at = self._pool.net.now_s()
        self._timers = [self._pool.net.loop.call_later(STALLED_S, self._watch)]
        return True

    def _watch(self) -> None:
        """Put an end to a long body that stands still for no reason of ours or our client's."""
        stood = self._pool.net.now_s() - self.moved_at
        if self.link is not None and self.link.waits:
            stood = 0.0
        if stood >= STALLED_S:
            self.broken()
        else:
            self._timers = [self._pool.net.loop.call_later(STALLED_S - stood, self._watch)]

    def pause(self) -> None:
        """The client does not take more for now."""
        if self.link is not None:
            self.link.pause()

    def resume(self) -> None:
        """The client takes more."""
        self.moved_at = self._pool.net.now_s()
        if self.link is not None:
            self.link.resume()

    def _stop_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()

    def cancel(self) -> None:
        """Give it up; the connection goes with it."""
        self.end(StepResult(Outcome.CANCELLED))

    def fenced(self) -> None:
        """It came too late to be sent: nothing of it was."""
        self.end(StepResult(Outcome.MOOT), keep=True)

    def broken(self) -> None:
        """The connection has broken before a whole answer came."""
        self.end(StepResult(Outcome.RESET if self.handed else Outcome.CONNECT_FAILED))

    def garbled(self) -> None:
        """What came makes no sense."""
        # Guards against trusting a garbled answer: a failed route step that may have run.
        self.end(StepResult(Outcome.ERROR if self.handed else Outcome.CONNECT_FAILED))

    def end(self, result: StepResult, keep: bool = False) -> None:
        """Say once how it ended; the connection is dropped unless it may be kept."""
        if self.over:
            return
        self.over = True
        self._stop_timers()
        if self.connecting is not None and self.link is None:
            self.connecting.cancel()  # a late connect must not send for an operation that is over
        link, self.link = self.link, None
        if link is not None:
            link.release(keep)
        self._done(result)
