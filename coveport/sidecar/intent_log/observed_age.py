"""Bounds on the age of a write in the store, by this instance's clock alone.

The module is pure: it does no I/O, and uses no clock or random source of its own.

`AgeUpperBound` is used to decide whether a deduplication window may be over, `AgeLowerBound` to decide
whether a record is old enough to be deleted. Each bound errs on the safe side. Neither object has
observations from before the object was created.

When the response to a call reports revision r, the store was at r at some time after the call was sent. A
write with a later revision was made after that, so it is no older than the time since the call was *sent*.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from math import inf

# The oldest observations are dropped; a write older than all observations has no upper bound.
MAX_OBSERVATIONS = 4096
LOWER_BOUND_STEPS = 256  # number of observations in a span; more would only make the bound finer


class AgeUpperBound:
    """Upper bound of a write's age, from the times at which the store was observed at a revision."""

    def __init__(self, max_observations: int = MAX_OBSERVATIONS) -> None:
        self._max_observations = max_observations
        self._revisions: list[int] = []  # observed revisions, ascending
        # For each revision: when the latest call that reported the revision was sent, by this instance's
        # clock; ascending.
        self._requested_s: list[float] = []

    def observe(self, requested_s: float, revision: int) -> None:
        """Note the revision that the response to a call reported; `requested_s`: when the call was sent."""
        if self._revisions and revision < self._revisions[-1]:
            return  # a response with a later revision, which gives a tighter bound, has come first
        if self._revisions and revision == self._revisions[-1]:
            self._requested_s[-1] = max(self._requested_s[-1], requested_s)
            return
        if self._requested_s and requested_s <= self._requested_s[-1]:
            # This call was sent before the previous observation's, yet reports a later revision. The store
            # reached that revision after the previous observation, so that observation's time holds for it
            # too.
            requested_s = self._requested_s[-1]
        self._revisions.append(revision)
        self._requested_s.append(requested_s)
        if len(self._revisions) > self._max_observations:
            del self._revisions[0], self._requested_s[0]

    def at_most(self, now_s: float, revision: int) -> float:
        """Return an upper bound, in s, of the age of the write at a revision; inf: no bound is known."""
        index = bisect_left(self._revisions, revision)
        return now_s - self._requested_s[index - 1] if index else inf


class AgeLowerBound:
    """Lower bound of a write's age, from the times since which this instance has known store revisions.

    Deletion of records needs this bound. A record's own times come from the wall clock of the instance that
    closed it; if that clock or this instance's wall clock were an hour wrong, the record would be deleted
    while its client still repeats the request. `span_s`: greatest age that callers need to tell apart.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._step_s = span_s / LOWER_BOUND_STEPS
        # Time in s by this instance's clock, and revision; both ascending.
        self._observations: deque[tuple[float, int]] = deque()

    def observe(self, now_s: float, revision: int) -> None:
        """Note that the store has reached a revision at `now_s` at the latest."""
        if not self._observations or now_s - self._observations[-1][0] >= self._step_s:
            self._observations.append((now_s, revision))
        while len(self._observations) > 1 and now_s - self._observations[1][0] >= self._span_s:
            self._observations.popleft()  # the next observation is old enough to prove any age up to the span

    def at_least(self, now_s: float, revision: int) -> float:
        """Return a lower bound, in s, of the age of the write at a revision; 0: no bound is known."""
        return next(
            (now_s - observed_s for observed_s, observed in self._observations if observed >= revision), 0.0
        )
