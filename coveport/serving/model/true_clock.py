"""Unix time that ignores steps of the wall clock: the monotonic clock plus a median offset.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import deque
from typing import Final

SAMPLE_INTERVAL_S: Final = 1.0
SAMPLE_RETENTION_S: Final = 60.0  # a step of the wall clock takes effect after half of this time


class TrueClock:
    """A clock with the median of the recent offsets between the wall clock and the monotonic clock."""

    def __init__(self) -> None:
        """Create a clock; `observe` must be called before the first `unix_s`."""
        self._samples: deque[tuple[float, float]] = deque()  # (monotonic seconds, offset in seconds)
        self._offset_s = 0.0

    def observe(self, monotonic_s: float, unix_s: float) -> None:
        """Record both clocks' current times; calls within `SAMPLE_INTERVAL_S` of the last are ignored."""
        samples = self._samples
        if samples and monotonic_s - samples[-1][0] < SAMPLE_INTERVAL_S:
            return
        samples.append((monotonic_s, unix_s - monotonic_s))
        while samples[0][0] < monotonic_s - SAMPLE_RETENTION_S:
            samples.popleft()
        offsets = sorted(offset_s for _, offset_s in samples)
        self._offset_s = offsets[(len(offsets) - 1) // 2]

    def unix_s(self, monotonic_s: float) -> float:
        """Return the Unix time at a time of the monotonic clock."""
        return monotonic_s + self._offset_s
