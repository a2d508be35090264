"""Estimates which nodes are too slow to prefill long prompts beside their streams.

A node prefills prompts in chunks between the tokens of its streams, so a long prompt stretches the gaps
between their events, on a slow node beyond the route's target. Such a node is *overloaded* for a request
whose prompt takes it several steps to prefill.

There are two signs of overload. Either a gap near the target was observed on the node, or such a gap is
expected: the worst gap observed on any node, scaled by the ratio of the two nodes' speeds. The speed of a
node shows in its gaps while it prefills nothing, when they are steady. It is estimated as a low quantile of
the means of a few gaps in a row, by stochastic approximation (Robbins and Monro, 1951).

The row `overload-signs` in docs/policy.md compares the two signs.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

WORST_GAP_TTL_S = 30.0  # equals `NEAR_LIMIT_TTL_S`: both estimate how long a load lasts
NEAR_LIMIT_TTL_S = 30.0  # how long a gap near the target counts (docs/policy.md, `near-limit-ttl`)
NEAR_LIMIT_RATIO = 0.9  # ratio of a gap to the target from which the next gap may be late
OUTAGE_GAP_RATIO = 2.0  # ratio to the target above which a gap is an outage and does not count
GAPS_PER_MEAN = 6  # enough gaps to smooth jitter, and few enough to fit between two prefills
MIN_MEANS = 20  # with fewer means a node's speed is unknown: the quantile has not converged
QUANTILE = 0.2  # quantile of a node's means, low enough to be a mean without prefills
QUANTILE_STEP = 0.03  # scale of the estimate's relative change by one mean
FASTEST_REFRESH_S = 0.5  # a search over all nodes for each candidate would be quadratic (600 nodes)
# A node counts as slower only if its steady gap is more than this factor times the shortest steady gap of all
# nodes.
SLOWER_RATIO = 1.12
MIN_STEADY_GAP_S = 1e-6  # lower bound of a steady gap, which is used as a divisor


@dataclass(slots=True)
class StreamGaps:
    """The most recent gaps between events of one stream."""

    _last_event_at_s: float | None = None
    _last_gaps_s: deque[float] = field(default_factory=lambda: deque(maxlen=GAPS_PER_MEAN))

    def record_event(self, now_s: float) -> float | None:
        """Record an event, and return the gap before it in seconds; None for the first event."""
        previous_event_at_s = self._last_event_at_s
        self._last_event_at_s = now_s
        if previous_event_at_s is None:
            return None
        self._last_gaps_s.append(now_s - previous_event_at_s)
        return now_s - previous_event_at_s

    @property
    def mean_s(self) -> float | None:
        """The mean of the last `GAPS_PER_MEAN` gaps; None while there are fewer."""
        return sum(self._last_gaps_s) / GAPS_PER_MEAN if len(self._last_gaps_s) == GAPS_PER_MEAN else None


@dataclass(slots=True)
class _NodeSpeed:
    means: int = 0  # number of means recorded
    steady_gap_s: float = 0.0  # estimate of the quantile
    near_limit_at_s: float = -inf  # time of the node's last gap near the target

    def record(self, mean_s: float) -> None:
        self.means += 1
        if self.means == 1:
            self.steady_gap_s = mean_s
        elif mean_s < self.steady_gap_s:
            self.steady_gap_s *= 1 - QUANTILE_STEP * (1 - QUANTILE)
        else:
            self.steady_gap_s *= 1 + QUANTILE_STEP * QUANTILE

    @property
    def is_known(self) -> bool:
        return self.means >= MIN_MEANS


@dataclass(frozen=True, slots=True)
class _WorstGap:
    gap_s: float
    steady_gap_s: float  # steady gap of the node where the worst gap was observed
    seen_at_s: float


@dataclass(slots=True)
class OverloadEstimator:
    """The speeds of nodes in this proxy's streams, by incarnation, and the worst recent gap of all nodes."""

    _speeds: dict[str, _NodeSpeed] = field(default_factory=dict)
    _worst: _WorstGap = _WorstGap(0.0, 1.0, -inf)
    _fastest_s: float = inf  # the shortest steady gap of all nodes
    _fastest_at_s: float = -inf  # when `_fastest_s` was computed

    def record_gap(
        self, incarnation: str, gap_s: float, mean_s: float | None, gap_target_s: float, now_s: float
    ) -> None:
        """Record a gap between two events of a stream from the node, and the mean of its last gaps.

        `gap_target_s` is the route's target for gaps; 0: the route has no target.
        """
        if gap_target_s <= 0 or gap_s > OUTAGE_GAP_RATIO * gap_target_s:
            return
        speed = self._speeds.setdefault(incarnation, _NodeSpeed())
        if gap_s > NEAR_LIMIT_RATIO * gap_target_s:
            speed.near_limit_at_s = now_s
        if mean_s is not None:
            speed.record(mean_s)
        if speed.is_known and (gap_s >= self._worst.gap_s or not self._is_worst_recent(now_s)):
            self._worst = _WorstGap(gap_s, speed.steady_gap_s, now_s)

    def _is_worst_recent(self, now_s: float) -> bool:
        return now_s - self._worst.seen_at_s < WORST_GAP_TTL_S

    def is_overloaded(self, incarnation: str, gap_target_s: float, now_s: float) -> bool:
        """Return whether a long prompt would probably make streams late on this node, but not on others."""
        speed = self._speeds.get(incarnation)
        if speed is None or gap_target_s <= 0:
            return False
        if now_s - speed.near_limit_at_s < NEAR_LIMIT_TTL_S:
            return True
        if not speed.is_known or not self._is_worst_recent(now_s):
            return False
        expected_s = self._worst.gap_s * speed.steady_gap_s / max(self._worst.steady_gap_s, MIN_STEADY_GAP_S)
        if expected_s <= NEAR_LIMIT_RATIO * gap_target_s:
            return False
        return speed.steady_gap_s > SLOWER_RATIO * self._fastest_gap_s(now_s)

    def _fastest_gap_s(self, now_s: float) -> float:
        if now_s - self._fastest_at_s >= FASTEST_REFRESH_S:
            self._fastest_at_s = now_s
            known = (speed.steady_gap_s for speed in self._speeds.values() if speed.is_known)
            self._fastest_s = min(known, default=inf)
        return self._fastest_s

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop the speeds of all other nodes."""
        for incarnation in self._speeds.keys() - incarnations:
            del self._speeds[incarnation]
