"""Detects stalls of this process: it was frozen, or got no processor time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from coveport.serving.log import EventLogger

TICK_INTERVAL_S: Final = 0.05
STALL_THRESHOLD_S: Final = 0.6  # a tick that is later than this counts as a stall


class StallDetector:
    """Compares the time of each tick with the time at which it was due."""

    def __init__(
        self, now_s: Callable[[], float], on_stall: Callable[[float], None], log: EventLogger
    ) -> None:
        """Expect the first tick `TICK_INTERVAL_S` from now.

        `on_stall` is called at the end of a stall with its length in seconds.
        """
        self._now_s = now_s
        self._on_stall = on_stall
        self._log = log
        self._last_tick_s = now_s()

    def check(self) -> None:
        """Report a stall that has just ended; call this before handling input that arrived during the stall.

        The event loop may read sockets before it runs the timer of the next tick.
        """
        now_s = self._now_s()
        late_s = now_s - self._last_tick_s - TICK_INTERVAL_S
        if late_s > STALL_THRESHOLD_S:
            self._last_tick_s = now_s
            self._log.warning("process_stalled", seconds=round(late_s, 2))
            self._on_stall(late_s)

    def record_tick(self) -> None:
        """Call `check`, and expect the next tick `TICK_INTERVAL_S` from now."""
        self.check()
        self._last_tick_s = self._now_s()
