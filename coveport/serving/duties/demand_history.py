"""The demand of the last seconds for nodes of one service in one zone: its peak, and where it goes. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import sqrt
from typing import Final, NamedTuple

# The demand that is kept in mind before nodes are let go: about half of a wave of the traffic; not measured.
PEAK_WINDOW_S: Final = 12.0
TREND_WINDOW_S: Final = 2.0  # two of them are compared: the trend of the arrivals; not measured
# A rise of fewer standard deviations of a Poisson count is taken for chance.
SIGNIFICANT_DEVIATIONS: Final = 3.0
MAX_GROWTH: Final = 2.0  # a trend is not extended further: traffic grows in bursts, not without end


class DemandSample(NamedTuple):
    """One look."""

    at_s: float
    demand: int  # slots in use or waited for
    arrivals: int  # since the start of counting


@dataclass(slots=True)
class DemandHistory:
    """The samples of `PEAK_WINDOW_S`, the oldest first."""

    _samples: deque[DemandSample] = field(default_factory=deque)

    def record(self, sample: DemandSample) -> None:
        """Take a sample, and forget those that are too old."""
        self._samples.append(sample)
        while self._samples[0].at_s < sample.at_s - PEAK_WINDOW_S:
            self._samples.popleft()

    def clear(self) -> None:
        """Forget all: what was seen says nothing of now."""
        self._samples.clear()

    def peak(self) -> int:
        """Return the highest demand that is remembered."""
        return max((sample.demand for sample in self._samples), default=0)

    def arrivals(self) -> int:
        """Return how many requests arrived in the time that is remembered."""
        return self._samples[-1].arrivals - self._samples[0].arrivals if self._samples else 0

    def forecast(self, lead_s: float) -> float:
        """Return the demand to expect after `lead_s`, at least that of now."""
        if not self._samples:
            return 0.0
        return self._samples[-1].demand * min(MAX_GROWTH, 1 + self._growth_per_s() * lead_s)

    def _growth_per_s(self) -> float:
        """Return by which part of themselves the arrivals grow in a second; 0: they don't, beyond chance."""
        now = self._samples[-1]
        recent_from = self._last_at(now.at_s - TREND_WINDOW_S)
        before_from = self._last_at(now.at_s - 2 * TREND_WINDOW_S)
        if recent_from is None or before_from is None:
            return 0.0
        before = recent_from.arrivals - before_from.arrivals
        rise = now.arrivals - recent_from.arrivals - before
        if rise <= SIGNIFICANT_DEVIATIONS * sqrt(2 * before + rise + 1):
            return 0.0
        return rise / max(1, before) / TREND_WINDOW_S

    def _last_at(self, at_s: float) -> DemandSample | None:
        """Return the last sample of that time or before."""
        return next((sample for sample in reversed(self._samples) if sample.at_s <= at_s), None)
