"""The recent demand for nodes of one service in one zone: peak and forecast of this demand. Does no I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import sqrt
from typing import Final, NamedTuple

# Nodes are removed only as far as the peak demand of this window allows. The window is about half as long as
# a wave of the traffic.
PEAK_WINDOW_S: Final = 12.0
TREND_WINDOW_S: Final = 2.0  # the arrivals of the two newest windows are compared
# A rise by fewer standard deviations of a Poisson count counts as chance.
SIGNIFICANT_DEVIATIONS: Final = 3.0
MAX_GROWTH: Final = 2.0  # limit of a forecast, as a multiple of the current demand: bursts of traffic end


class DemandSample(NamedTuple):
    """The demand at one time."""

    at_s: float
    demand: int  # slots in use, and requests that wait for a slot
    arrivals: int  # number of requests that arrived since the start of counting


@dataclass(slots=True)
class DemandHistory:
    """The samples of the last `PEAK_WINDOW_S`, oldest first."""

    _samples: deque[DemandSample] = field(default_factory=deque)

    def record(self, sample: DemandSample) -> None:
        """Add a sample, and drop samples from before the window."""
        self._samples.append(sample)
        while self._samples[0].at_s < sample.at_s - PEAK_WINDOW_S:
            self._samples.popleft()

    def clear(self) -> None:
        """Drop all samples, since they no longer describe the current demand."""
        self._samples.clear()

    def peak(self) -> int:
        """Return the highest demand of the samples."""
        return max((sample.demand for sample in self._samples), default=0)

    def arrivals(self) -> int:
        """Return how many requests arrived between the oldest and the newest sample."""
        return self._samples[-1].arrivals - self._samples[0].arrivals if self._samples else 0

    def forecast(self, lead_s: float) -> float:
        """Return the demand expected after `lead_s`; never below the current demand."""
        if not self._samples:
            return 0.0
        return self._samples[-1].demand * min(MAX_GROWTH, 1 + self._growth_per_s() * lead_s)

    def _growth_per_s(self) -> float:
        """Return the relative growth of the arrivals per second; 0 where the growth may be chance."""
        newest = self._samples[-1]
        recent_start = self._last_at(newest.at_s - TREND_WINDOW_S)
        previous_start = self._last_at(newest.at_s - 2 * TREND_WINDOW_S)
        if recent_start is None or previous_start is None:
            return 0.0
        previous_arrivals = recent_start.arrivals - previous_start.arrivals
        rise = newest.arrivals - recent_start.arrivals - previous_arrivals
        if rise <= SIGNIFICANT_DEVIATIONS * sqrt(2 * previous_arrivals + rise + 1):
            return 0.0
        return rise / max(1, previous_arrivals) / TREND_WINDOW_S

    def _last_at(self, at_s: float) -> DemandSample | None:
        """Return the newest sample taken at `at_s` or before."""
        return next((sample for sample in reversed(self._samples) if sample.at_s <= at_s), None)
