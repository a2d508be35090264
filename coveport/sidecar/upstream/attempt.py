"""One attempt of an operation at one destination, from the connect to its end, for any protocol."""

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

STALL_TIMEOUT_S = 20.0  # time-out without progress of a streamed body, while the destination causes the delay
LOOP_TURNS_S = 0.01  # a few iterations of the event loop: enough to handle all pending events


@dataclass(slots=True)
class AttemptResult:
    """The outcome of an attempt, and its answer if a complete one was received."""

    outcome: Outcome
    answer: Answer | None = None
    load: tuple[float, ...] = ()  # the load report of the response, in the order of the settings' fields


OnEnd = Callable[[AttemptResult], None]


class Sink(Protocol):
    """Receives the body of a streamed answer."""

    def more(self, data: bytes) -> None:
        """Forward a chunk; pause the source while no more can be accepted."""


OnBegin = Callable[["Attempt", Answer], Sink | None]
"""Called with the attempt, which can be paused, when a streamed answer begins; None: it has no receiver."""


class AttemptConnection(Protocol):
    """The connection that carries an attempt."""

    number: int  # number of the destination
    endpoint: EndpointAddress

    def release(self, keep: bool) -> None:
        """Return to the pool (`keep`) or close, as the attempt has ended."""

    def pause(self) -> None:
        """Pause reading a streamed answer."""

    def resume(self) -> None:
        """Resume reading."""

    @property
    def is_waiting_for_client(self) -> bool:
        """Whether a streamed body makes no progress because the client sends or reads nothing."""


class AttemptPool(Protocol):
    """The part of the connection pool that an attempt uses."""

    net: Net
    counters: Counters

    @property
    def endpoints(self) -> Mapping[int, EndpointAddress]:
        """The endpoint of each known destination."""


class Attempt:
    """One attempt (or health check), whose end is reported exactly once.

    `operation`: None for a health check. `done`: called with the result. `began`: called when a streamed
    answer begins. `sent`: called when the last byte of an operation with an upload was written to the
    connection. `fence`: called right before the first byte; nothing is sent if it returns False.
    """

    def __init__(
        self,
        pool: AttemptPool,
        operation: Operation | None,
        timeout_s: float,
        done: OnEnd,
        began: OnBegin | None = None,
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
        # Whether the last byte was written to an accepted connection, so that the operation may run.
        self.sent = False
        self.ended = False
        self.sink: Sink | None = None  # set once a streamed answer has begun
        # Whether the request body is streamed.
        self.has_upload = operation is not None and operation.upload is not None
        # When a streamed body last made progress.
        self.progress_s = pool.net.now_s() if self.has_upload else 0.0
        # The time-out of an operation with an upload starts when its last byte has been sent.
        self._timers = [
            pool.net.loop.call_later(STALL_TIMEOUT_S, self._check_progress)
            if self.has_upload
            else pool.net.loop.call_later(timeout_s, self._expire)
        ]

    def limit_connect_time(self, timeout_s: float) -> None:
        """Fail the attempt if its connection is not up after `timeout_s`."""
        self._timers.append(self._pool.net.loop.call_later(timeout_s, self._connect_timed_out))

    def await_connection(self, connecting: asyncio.Task[object]) -> None:
        """Set the connect task, which is cancelled if the attempt ends before its connection is up."""
        self._connecting = connecting

    def _connect_timed_out(self) -> None:
        # Guards against a delay of this process: the connection may be up, but the event not handled yet.
        self._timers.append(self._pool.net.loop.call_later(LOOP_TURNS_S, self._fail_connect))

    def _fail_connect(self) -> None:
        if self.connection is None:
            self._pool.counters.add("connects_late")
            self.end(AttemptResult(Outcome.CONNECT_FAILED))

    def _expire(self) -> None:
        # If not all bytes were sent, the operation can't have run, so the outcome is a failed connect.
        self.end(AttemptResult(Outcome.TIMEOUT if self.sent else Outcome.CONNECT_FAILED))

    def may_start(self, connection: AttemptConnection) -> bool:
        """Return whether the attempt may still be sent; called right before the first byte."""
        # Guards against another process at the address of a destination that went away during the connect.
        return self._pool.endpoints.get(connection.number) == connection.endpoint and (
            self.fence is None or self.fence()
        )

    @property
    def remaining_s(self) -> float:
        """The remaining time in seconds; with an upload, all of it until its last byte has been sent."""
        # The time of the connect counts too, so that no node does work whose result nobody waits for.
        return (
            self.timeout_s if self.has_upload else self.timeout_s - (self._pool.net.now_s() - self._started_s)
        )

    def mark_sent(self) -> None:
        """Record that the last byte was written to an accepted connection: the operation may run."""
        if self.sent:
            return
        self.sent = True
        if self.operation is None:
            return
        self._pool.counters.add("upstream_requests")
        if self.has_upload and not self.ended:
            self._stop_timers()
            wait_s = min(self.timeout_s, self.operation.wait_ms / 1000)
            self._timers = [self._pool.net.loop.call_later(wait_s, self._expire)]
            if self._on_sent is not None:
                self._on_sent()

    def begin(self, answer: Answer) -> bool:
        """Begin a streamed answer, which times out only without progress; return False without a receiver."""
        self.sink = self._on_began(self, answer) if self._on_began is not None and not self.ended else None
        if self.sink is None or self.ended:
            return False
        self._stop_timers()
        self.progress_s = self._pool.net.now_s()
        self._timers = [self._pool.net.loop.call_later(STALL_TIMEOUT_S, self._check_progress)]
        return True

    def _check_progress(self) -> None:
        """End the attempt if its streamed body has stalled, unless this side caused the delay."""
        stalled_s = self._pool.net.now_s() - self.progress_s
        if self.connection is not None and self.connection.is_waiting_for_client:
            stalled_s = 0.0
        if stalled_s >= STALL_TIMEOUT_S:
            self.fail_connection()
        else:
            self._timers = [self._pool.net.loop.call_later(STALL_TIMEOUT_S - stalled_s, self._check_progress)]

    def pause(self) -> None:
        """Pause reading a streamed answer: the client accepts no more for now."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        """Resume reading: the client accepts more."""
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
        """End an attempt that may not be sent; its connection is unused and stays open."""
        self.end(AttemptResult(Outcome.MOOT), keep=True)

    def fail_connection(self) -> None:
        """End the attempt, as its connection broke before a complete answer."""
        self.end(AttemptResult(Outcome.RESET if self.sent else Outcome.CONNECT_FAILED))

    def fail_malformed(self) -> None:
        """End the attempt, as the answer is malformed: the operation may have run."""
        self.end(AttemptResult(Outcome.ERROR if self.sent else Outcome.CONNECT_FAILED))

    def end(self, result: AttemptResult, keep: bool = False) -> None:
        """Report the result, once; `keep`: return the connection to the pool, instead of closing it."""
        if self.ended:
            return
        self.ended = True
        self._stop_timers()
        if self._connecting is not None and self.connection is None:
            self._connecting.cancel()  # a late connection must not send an operation that has ended
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.release(keep)
        self._done(result)
