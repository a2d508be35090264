"""A periodic sweep, whose delay shows that the process had no CPU."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from coveport.net.transport import Net
from coveport.sidecar.downstream.limits import CATCH_UP_S, SWEEP_LATE_S, SWEEP_S
from coveport.sidecar.telemetry.counters import Counters


class SweepTimer:
    """Calls `sweep` every SWEEP_S as long as it returns True, and measures stalls of the process.

    `accepts_pending` returns whether connections wait to be accepted; after a stall these may
    have been opened during the stall.
    """

    def __init__(
        self, net: Net, counters: Counters, sweep: Callable[[], bool], accepts_pending: Callable[[], bool]
    ) -> None:
        self._net = net
        self._counters = counters
        self._sweep = sweep
        self._accepts_pending = accepts_pending
        self._timer: asyncio.TimerHandle | None = None
        self._scheduled_at = inf
        self._last_on_time_at = inf  # when the process was last seen to run on time
        self._stall_noticed_at = 0.0
        self.stalled_since: float | None = None  # set while requests that arrived during a stall are read

    def start(self) -> None:
        """Start sweeping, if the timer is not running."""
        if self._timer is None:
            self._schedule()

    def cancel(self) -> None:
        """Stop sweeping."""
        if self._timer is not None:
            self._timer.cancel()

    def stalled_s(self) -> float:
        """Return how long the bytes read in this iteration may have waited, in seconds; 0 without a stall."""
        # Guards against a deadline that counts from when the request is read: after seconds without CPU its
        # client may have stopped waiting. A late sweep reveals the stall, and all that can be read before the
        # next iteration of the event loop may have arrived during it.
        now = self._net.now_s()
        if self.stalled_since is None:
            if now - self._scheduled_at <= SWEEP_LATE_S:
                self._last_on_time_at = now
                return 0.0
            self.stalled_since = min(self._last_on_time_at, self._scheduled_at)
            self._stall_noticed_at = now
            self._counters.add("stalls")
            self._net.loop.call_soon(self._end_stall)
        return now - self.stalled_since

    def _end_stall(self) -> None:
        if self._accepts_pending() and self._net.now_s() < self._stall_noticed_at + CATCH_UP_S:
            self._net.loop.call_soon(self._end_stall)  # each iteration accepts only a few connections
            return
        self.stalled_since = None
        self._last_on_time_at = self._net.now_s()
        if self._timer is not None:
            self._timer.cancel()
            self._schedule()

    def _schedule(self) -> None:
        self._scheduled_at = self._net.now_s() + SWEEP_S
        self._timer = self._net.loop.call_later(SWEEP_S, self._run)

    def _run(self) -> None:
        self.stalled_s()
        if self._sweep():
            self._schedule()
        else:
            self._timer = None
            self._scheduled_at = inf
