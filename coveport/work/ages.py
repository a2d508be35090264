"""How old something in the store can be at the most, by one's own clock and without anybody else's. Pure.

When the answer to a call tells revision r, the store was at r at some time after the call was sent. What
bears a later revision was written after that, so it is no older than the time since the call was *sent*.
"""

from __future__ import annotations

from bisect import bisect_left
from math import inf

KEPT = 4096  # moments; the oldest are forgotten, and what is older than all of them has no bound


class Ages:
    """Moments at which the store was known to stand at a revision."""

    def __init__(self, kept: int = KEPT) -> None:
        self._kept = kept
        self._revisions: list[int] = []  # growing
        self._sent: list[float] = []  # s, own clock: the latest call that told it; growing too

    def told(self, sent: float, revision: int) -> None:
        """The answer to a call that was sent then has told a revision."""
        if self._revisions and revision < self._revisions[-1]:
            return  # overtaken: what it says is said better by a later one
        if self._revisions and revision == self._revisions[-1]:
            self._sent[-1] = max(self._sent[-1], sent)
            return
        if self._sent and sent <= self._sent[-1]:
            # Sent earlier and told more: the store stood there later than the one before says, which holds
            # as well.
            sent = self._sent[-1]
        self._revisions.append(revision)
        self._sent.append(sent)
        if len(self._revisions) > self._kept:
            del self._revisions[0], self._sent[0]

    def at_most(self, now: float, revision: int) -> float:
        """How old what was written at a revision can be, s; inf where nothing is known from before it."""
        place = bisect_left(self._revisions, revision)
        return now - self._sent[place - 1] if place else inf
