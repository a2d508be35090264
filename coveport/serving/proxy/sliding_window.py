"""Counts the events of the last `span_s` seconds. This module does no I/O and reads no clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class SlidingWindow:
    """The times of the events of the last `span_s` seconds."""

    span_s: float
    _times_s: deque[float] = field(default_factory=deque)

    def add(self, now_s: float) -> None:
        """Count one event."""
        self._times_s.append(now_s)

    def count(self, now_s: float) -> int:
        """Return the number of events in the span that ends now, and drop older events."""
        times_s = self._times_s
        while times_s and times_s[0] <= now_s - self.span_s:
            times_s.popleft()
        return len(times_s)
