"""Bounds on the age of something in the store, by one's own clock alone. Pure.

`AgeUpperBound` serves windows that may be over; `AgeLowerBound` serves deletion of what is old enough. Both
err on the safe side, and neither knows anything of the time before it began.

When the response to a call reports revision r, the store was at r at some time after the call was sent. What
bears a later revision was written after that, so it is no older than the time since the call was *sent*.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from math import inf

MAX_OBSERVATIONS = 4096  # older ones are dropped; what is older than all of them has no upper bound
LOWER_BOUND_STEPS = 256  # observations that a span is divided into; more would only make the bound finer


class AgeUpperBound:
    """Times at which the store was observed at a revision."""

    def __init__(self, max_observations: int = MAX_OBSERVATIONS) -> None:
        self._max_observations = max_observations
        self._revisions: list[int] = []  # ascending
        # By own clock, the latest call that reported the revision; ascending too.
        self._requested_s: list[float] = []

    def observe(self, requested_s: float, revision: int) -> None:
        """Note that the response to a call sent then has reported a revision."""
        if self._revisions and revision < self._revisions[-1]:
            return  # overtaken by a response that bounds more
        if self._revisions and revision == self._revisions[-1]:
            self._requested_s[-1] = max(self._requested_s[-1], requested_s)
            return
        if self._requested_s and requested_s <= self._requested_s[-1]:
            # Sent earlier, yet it reports more: the store was at this revision later than the previous
            # observation says, which therefore holds for this one as well.
            requested_s = self._requested_s[-1]
        self._revisions.append(revision)
        self._requested_s.append(requested_s)
        if len(self._revisions) > self._max_observations:
            del self._revisions[0], self._requested_s[0]

    def at_most(self, now_s: float, revision: int) -> float:
        """Return the greatest possible age in s of what was written at a revision; inf: no bound known."""
        index = bisect_left(self._revisions, revision)
        return now_s - self._requested_s[index - 1] if index else inf


class AgeLowerBound:
    """For how long a revision of the store has been known.

    No other clock will do to delete a record: its own times are by the wall clock of whoever closed it, and
    one that is an hour wrong, theirs or ours, would delete it while its client still repeats the request.
    `span_s`: ages beyond it make no difference.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._step_s = span_s / LOWER_BOUND_STEPS
        self._observations: deque[tuple[float, int]] = deque()  # own clock in s, revision; both ascending

    def observe(self, now_s: float, revision: int) -> None:
        """Note that the store has reached a revision by now."""
        if not self._observations or now_s - self._observations[-1][0] >= self._step_s:
            self._observations.append((now_s, revision))
        while len(self._observations) > 1 and now_s - self._observations[1][0] >= self._span_s:
            self._observations.popleft()  # the next one is old enough for all that this one could prove

    def at_least(self, now_s: float, revision: int) -> float:
        """Return the smallest possible age in s of what was written at a revision; 0: not known."""
        return next(
            (now_s - observed_s for observed_s, known in self._observations if known >= revision), 0.0
        )
