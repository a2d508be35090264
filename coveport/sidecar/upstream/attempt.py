"""One attempt of an operation at one destination, from its connection to its end, whatever the protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from coveport.balancing import Outcome
from coveport.net.transport import Net
from coveport.sidecar.reducer.endpoint import EndpointAddress
from coveport.sidecar.reducer.operation import Answer, Operation
from coveport.sidecar.telemetry.counters import Counters

STALL_TIMEOUT_S = 20.0  # how long a long body may make no progress while the destination is waited for
LOOP_TURNS_S = 0.01  # a few turns of the loop: enough to see what has arrived already


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, and its answer where a complete one was received."""

    outcome: Outcome
    answer: Answer | None = None
    load: tuple[float, ...] = ()  # the load report that came along, in the order of the settings


Done = Callable[[AttemptResult], None]


class Sink(Protocol):
    """Receives the body of a long answer."""

    def more(self, data: bytes) -> None:
        """Forward a chunk; pause the source where no more can be taken for now."""


Began = Callable[["Attempt", Answer], Sink | None]
"""Called where a long answer begins; None where nobody wants it. The attempt can be paused and resumed."""


class AttemptConnection(Protocol):
    """The connection that carries an attempt."""

    number: int  # of the destination
    endpoint: EndpointAddress

    def release(self, keep: bool) -> None:
        """Go back to the pool, or close, as the attempt has ended."""

    def pause(self) -> None:
        """Stop reading a long answer for now."""

    def resume(self) -> None:
        """Read on."""

    @property
    def is_waiting_for_client(self) -> bool:
        """Whether a long body stands still because the client's side does."""


class AttemptPool(Protocol):
    """What an attempt uses of the pool that it belongs to."""

    net: Net
    counters: Counters

    @property
    def endpoints(self) -> Mapping[int, EndpointAddress]:
        """The endpoint of each known destination."""


class Attempt:
    """One attempt (or health check), whose end is reported exactly once.

    `operation`: None for a health check. `done`: called with the result. `began`: called where a long answer
    begins. `sent`: called where the last byte of a long operation was handed to the connection. `fence`:
    called right before the first byte; where it returns False nothing is sent.
    """

    def __init__(
        self,
        pool: AttemptPool,
        operation: Operation | None,
        timeout_s: float,
        done: Done,
        began: Began | None = None,
        sent: Callable[[], None] | None = None,
        fence: Callable[[], bool] | None = None,
    ) -> None:
        self._pool = pool
        self._done = done
        self._on_began = began
        self._on_sent = sent
        self.fence = fence
        self.operation = operation
        self.timeout_s = timeout_s
        self._started_s = pool.net.now_s()
        self.connection: AttemptConnection | None = None
        self._connecting: asyncio.Task[object] | None = None
        self.sent = False  # the last byte was handed to an accepted connection: it may run from here on
        self.ended = False
        self.sink: Sink | None = None  # set once a long answer has begun
        self.long = operation is not None and operation.upload is not None  # its request body is streamed
        self.progress_s = pool.net.now_s() if self.long else 0.0  # when bytes of a long body last moved
        # A long operation takes its client's time until its last byte is sent.
        self._timers = [
            pool.net.loop.call_later(STALL_TIMEOUT_S, self._check_progress)
            if self.long
            else pool.net.loop.call_later(timeout_s, self._expire)
        ]

    def limit_connect_time(self, timeout_s: float) -> None:
        """Fail the attempt unless a connection is up after this time."""
        self._timers.append(self._pool.net.loop.call_later(timeout_s, self._connect_timed_out))

    def await_connection(self, connecting: asyncio.Task[object]) -> None:
        """Cancel this task if the attempt ends before its connection is up."""
        self._connecting = connecting

    def _connect_timed_out(self) -> None:
        # Guards against taking our own lag for theirs: it may be up, and be seen in a few turns.
        self._timers.append(self._pool.net.loop.call_later(LOOP_TURNS_S, self._fail_connect))

    def _fail_connect(self) -> None:
        if self.connection is None:
            self._pool.counters.add("connects_late")
            self.end(AttemptResult(Outcome.CONNECT_FAILED))

    def _expire(self) -> None:
        # Nothing complete was sent: it can't have run, however the wait ended.
        self.end(AttemptResult(Outcome.TIMEOUT if self.sent else Outcome.CONNECT_FAILED))

    def may_start(self, connection: AttemptConnection) -> bool:
        """Return whether the attempt may still be sent; called right before the first byte."""
        # Guards against another's process at the address of one that has gone while the connection came up.
        return self._pool.endpoints.get(connection.number) == connection.endpoint and (
            self.fence is None or self.fence()
        )

    @property
    def remaining_s(self) -> float:
        """The time left; a long operation takes its client's until its last byte has been sent."""
        # Guards against work for nobody: a connection that took long to come up has taken of that time.
        return self.timeout_s if self.long else self.timeout_s - (self._pool.net.now_s() - self._started_s)

    def mark_sent(self) -> None:
        """Note that the last byte was handed to an accepted connection: the operation may run."""
        if self.sent:
            return
        self.sent = True
        if self.operation is None:
            return
        self._pool.counters.add("upstream_requests")
        if self.long and not self.ended:
            self._stop_timers()
            wait_s = min(self.timeout_s, self.operation.wait_ms / 1000)
            self._timers = [self._pool.net.loop.call_later(wait_s, self._expire)]
            if self._on_sent is not None:
                self._on_sent()

    def begin(self, answer: Answer) -> bool:
        """Begin a long answer, for which only progress is timed; return False where nobody wants it."""
        self.sink = self._on_began(self, answer) if self._on_began is not None and not self.ended else None
        if self.sink is None or self.ended:
            return False
        self._stop_timers()
        self.progress_s = self._pool.net.now_s()
        self._timers = [self._pool.net.loop.call_later(STALL_TIMEOUT_S, self._check_progress)]
        return True

    def _check_progress(self) -> None:
        """End the attempt if its long body has stalled, unless we or our client held it up."""
        stalled_s = self._pool.net.now_s() - self.progress_s
        if self.connection is not None and self.connection.is_waiting_for_client:
            stalled_s = 0.0
        if stalled_s >= STALL_TIMEOUT_S:
            self.fail_connection()
        else:
            self._timers = [self._pool.net.loop.call_later(STALL_TIMEOUT_S - stalled_s, self._check_progress)]

    def pause(self) -> None:
        """Stop reading a long answer: the client takes no more for now."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        """Read on: the client takes more."""
        self.progress_s = self._pool.net.now_s()
        if self.connection is not None:
            self.connection.resume()

    def _stop_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()

    def cancel(self) -> None:
        """Cancel the attempt and close its connection."""
        self.end(AttemptResult(Outcome.CANCELLED))

    def abandon_unsent(self) -> None:
        """End the attempt where the fence forbade to send it; its connection is unused and kept."""
        self.end(AttemptResult(Outcome.MOOT), keep=True)

    def fail_connection(self) -> None:
        """End the attempt where its connection broke before a complete answer."""
        self.end(AttemptResult(Outcome.RESET if self.sent else Outcome.CONNECT_FAILED))

    def fail_malformed(self) -> None:
        """End the attempt where the answer is malformed."""
        # Guards against trusting a malformed answer: a failed attempt that may have run.
        self.end(AttemptResult(Outcome.ERROR if self.sent else Outcome.CONNECT_FAILED))

    def end(self, result: AttemptResult, keep: bool = False) -> None:
        """Report the result, once; close the connection unless `keep` allows another attempt on it."""
        if self.ended:
            return
        self.ended = True
        self._stop_timers()
        if self._connecting is not None and self.connection is None:
            self._connecting.cancel()  # a late connection must not send for an operation that is over
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.release(keep)
        self._done(result)
