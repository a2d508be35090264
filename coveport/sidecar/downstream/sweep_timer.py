"""A periodic sweep whose lateness shows that the process had no CPU."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from coveport.net.transport import Net
from coveport.sidecar.downstream.limits import CATCH_UP_S, SWEEP_LATE_S, SWEEP_S
from coveport.sidecar.telemetry.counters import Counters


class SweepTimer:
    """Calls `sweep` every SWEEP_S for as long as it returns True, and measures stalls of the process.

    `accepts_pending` returns whether connections still wait to be accepted: they came during a stall, too.
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
        self._awake_at = inf  # when the process was last seen on time
        self._stall_noticed_at = 0.0
        self.stalled_since: float | None = None  # set while what came during a stall is being read

    def start(self) -> None:
        """Begin to sweep, if it doesn't yet."""
        if self._timer is None:
            self._schedule()

    def cancel(self) -> None:
        """Sweep no more."""
        if self._timer is not None:
            self._timer.cancel()

    def stalled_s(self) -> float:
        """Return for how many seconds what is read in this turn may have waited: 0 but after a stall."""
        # Guards against a deadline that starts when its request is read: after seconds without CPU the client
        # has long stopped waiting. A late sweep shows it, and all that is readable then came before the
        # loop's next turn.
        now = self._net.now_s()
        if self.stalled_since is None:
            if now - self._scheduled_at <= SWEEP_LATE_S:
                self._awake_at = now
                return 0.0
            self.stalled_since = min(self._awake_at, self._scheduled_at)
            self._stall_noticed_at = now
            self._counters.add("stalls")
            self._net.loop.call_soon(self._end_stall)
        return now - self.stalled_since

    def _end_stall(self) -> None:
        if self._accepts_pending() and self._net.now_s() < self._stall_noticed_at + CATCH_UP_S:
            self._net.loop.call_soon(self._end_stall)  # a few connections are accepted in each turn
            return
        self.stalled_since = None
        self._awake_at = self._net.now_s()
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
