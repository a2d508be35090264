"""How old something in the store is, by one's own clock and without anybody else's. Pure.

At the most (`Ages`), for windows that may be over; at the least (`Known`), for what is thrown away once it is
old enough. Both err on the safe side, and neither knows anything of before it began.

When the answer to a call tells revision r, the store was at r at some time after the call was sent. What
bears a later revision was written after that, so it is no older than the time since the call was *sent*.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from math import inf

KEPT = 4096  # moments; the oldest are forgotten, and what is older than all of them has no bound
NOTES = 256  # of `Known`: more of them would only tell finer


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


class Known:
    """How old something in the store is at the least: for how long we have known of its revision.

    Nothing else will do to throw a record away: its own times are by the wall clock of whoever closed it, and
    one that is an hour wrong, theirs or ours, would have it forgotten while its client still asks.
    `span_s`: older than that makes no difference.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._step_s = span_s / NOTES
        self._noted: deque[tuple[float, int]] = deque()  # when it was known, and the revision; both growing

    def note(self, now: float, revision: int) -> None:
        """The store is known by now to have been at a revision."""
        if not self._noted or now - self._noted[-1][0] >= self._step_s:
            self._noted.append((now, revision))
        while len(self._noted) > 1 and now - self._noted[1][0] >= self._span_s:
            self._noted.popleft()  # the next one is old enough for all that this one could tell

    def at_least(self, now: float, revision: int) -> float:
        """How old what was written at a revision is at the least, s; 0 where it is not known."""
        return next((now - at for at, known in self._noted if known >= revision), 0.0)
