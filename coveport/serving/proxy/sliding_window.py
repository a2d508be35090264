"""Counting what happened within the last so many seconds. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class SlidingWindow:
    """Events of the last `span_s` seconds."""

    span_s: float
    _times: deque[float] = field(default_factory=deque)

    def add(self, now_s: float) -> None:
        """Count one event."""
        self._times.append(now_s)

    def count(self, now_s: float) -> int:
        """How many happened in the span that ends now."""
        times = self._times
        while times and times[0] <= now_s - self.span_s:
            times.popleft()
        return len(times)
