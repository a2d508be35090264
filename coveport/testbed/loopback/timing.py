"""The day's clock over several processes, a loop that wakes in time, and a watch on our own lateness."""

from __future__ import annotations

import asyncio
import math
import select
import selectors
import time

from coveport.testbed.event_log import EventLog, Lag

TICK_MS = 10.0
WRITTEN_MS = 20.0  # lateness from which it is logged
SHORT_S = 0.02


class DayClock:
    """Milliseconds since the day began, by the system's monotonic clock, which all processes share.

    Until it is known when the day begins, the time is far below 0; `begin` sets it right.
    """

    def __init__(self, t0: float, unix_s: float) -> None:
        """`t0`: when the day begins at the latest, monotonic seconds. `unix_s`: Unix time at monotonic 0."""
        self.t0 = t0
        self._unix_s = unix_s

    def begin(self, t0: float, event_log: EventLog) -> None:
        """Set when the day begins, now that it is known, and the rows written so far right."""
        shift = (self.t0 - t0) * 1000
        for row in event_log.rows:
            row.at += shift
        self.t0 = t0

    def day_ms(self) -> float:
        """Milliseconds since the day began."""
        return (time.monotonic() - self.t0) * 1000

    def day_ms_of(self, loop_s: float) -> float:
        """The time of the day at that loop time."""
        return (loop_s - self.t0) * 1000

    def unix_ms(self, day_ms: float) -> float:
        """Unix time in milliseconds of a time of the day."""
        return (self.t0 + self._unix_s) * 1000 + day_ms

    def left_s(self, day_ms: float) -> float:
        """Seconds until that time of the day; 0 once it is over."""
        return max(0.0, day_ms - self.day_ms()) / 1000


class FineSelector(selectors.EpollSelector):
    """Epoll that waits in microseconds: its own time-out is in whole milliseconds, rounded up.

    Guards against ways of 0.2 ms that last 1 ms. An epoll descriptor can itself be waited for.
    """

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for what is ready, `timeout` seconds at most (None: for as long as it takes)."""
        if timeout is not None and 0 < timeout < SHORT_S and self.fileno() < 1024:
            select.select((self.fileno(),), (), (), timeout)
            timeout = 0.0
        return super().select(timeout)


def new_loop() -> asyncio.AbstractEventLoop:
    """A loop for stand-ins."""
    return asyncio.SelectorEventLoop(FineSelector())


class LagWatch:
    """Measures how late this process does what is due, every 10 ms."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: DayClock, event_log: EventLog, who: str, from_ms: float
    ) -> None:
        """Rows say `who`; figures count from `from_ms` of the day."""
        self._loop = loop
        self._clock = clock
        self._event_log = event_log
        self._who = who
        self._from = from_ms
        self._lags: list[float] = []
        self._due = loop.time() + TICK_MS / 1000
        self._timer = loop.call_at(self._due, self._tick)

    def _tick(self) -> None:
        now = self._loop.time()
        late, at = (now - self._due) * 1000, self._clock.day_ms()
        if late > WRITTEN_MS:
            self._event_log.write(Lag(at, self._who, late))
        if at >= self._from:
            # Guards against a long stop that would count as one tick: each one left out was late, too.
            for left_out in range(math.floor(late / TICK_MS) + 1):
                self._lags.append(late - left_out * TICK_MS)
        self._due = now + TICK_MS / 1000
        self._timer = self._loop.call_at(self._due, self._tick)

    def close(self) -> None:
        """Stop."""
        self._timer.cancel()

    def late_ms(self, share: float) -> float:
        """The lateness that this share of all moments kept within; 1: the most there was."""
        ranked = sorted(self._lags)
        return ranked[min(len(ranked) - 1, math.floor(len(ranked) * share))] if ranked else 0.0
