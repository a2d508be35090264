"""What this proxy's own attempts show of a node: bad ends, timed trials, a node that is full. Pure.

A node whose recent attempts all ended badly leaves its level until a timed trial succeeds; the wait before
a trial is jittered and doubles. Where no connection came up, the trial is a connect beside the requests, so
that none is lost to it; where answers broke off, one request at a time is the trial. A refusal ("full")
takes a node out for a short moment only, and shows that it lives.

A node that answers part of its requests with failures of its own is *grey*: it leaves its level by their
share among its answers of the last while, and by trials that are served the share falls again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from random import Random

BAD_ENDS_THAT_EMPTY = 2  # in a row
FIRST_WAIT_S = 0.4
LONGEST_WAIT_S = 4.0
FULL_S = 0.15  # how long a refusal is believed
GREY_FAILURES = 1.2  # decaying: so two in a row count for half of the memory
GREY_SHARE = 0.25  # of failures among the answers
GREY_MEMORY_S = 15.0  # time constant of both counts
TRIAL_LASTS_S = 3.0  # a trial that has not ended by then is forgotten


@dataclass(slots=True)
class _Record:
    bad_ends: int = 0  # since the last good one
    is_unreachable: bool = False  # the last connect failed
    wait_s: float = FIRST_WAIT_S
    trial_at_s: float = 0.0
    full_until_s: float = 0.0
    failures: float = 0.0  # answers that were the node's own failures, decaying ...
    served: float = 0.0  # ... and others since the first of them
    counted_at_s: float = 0.0

    def is_bad(self, now_s: float) -> bool:
        return self.bad_ends >= BAD_ENDS_THAT_EMPTY or self.is_grey(now_s)

    def is_grey(self, now_s: float) -> bool:
        if not self.failures or self.failures * self._left(now_s) < GREY_FAILURES:
            return False
        return self.failures >= GREY_SHARE * (self.failures + self.served)

    def count(self, now_s: float, failures: int, served: int) -> None:
        left = self._left(now_s)
        self.failures = self.failures * left + failures
        self.served = self.served * left + served
        self.counted_at_s = now_s

    def _left(self, now_s: float) -> float:
        return exp(-max(0.0, now_s - self.counted_at_s) / GREY_MEMORY_S)


@dataclass(slots=True)
class NodeHealth:
    """Records by incarnation."""

    random: Random
    _records: dict[str, _Record] = field(default_factory=dict)

    def is_out(self, incarnation: str, now_s: float) -> bool:
        """Whether bad ends keep the node out of its level, no trial by a request being due."""
        record = self._records.get(incarnation)
        if record is None or not record.is_bad(now_s):
            return False
        return record.is_unreachable or now_s < record.trial_at_s

    def full_until_s(self, incarnation: str) -> float:
        """Until when the node is known to be full."""
        record = self._records.get(incarnation)
        return record.full_until_s if record is not None else 0.0

    def due_trials(self, now_s: float) -> list[str]:
        """Nodes that a connect is to be tried to; each is given out once per trial."""
        due = []
        for incarnation, record in self._records.items():
            if record.is_unreachable and now_s >= record.trial_at_s:
                record.trial_at_s = now_s + TRIAL_LASTS_S
                due.append(incarnation)
        return due

    def note_send(self, incarnation: str, now_s: float) -> None:
        """A request goes to the node: where that is a trial, no other goes meanwhile."""
        record = self._records.get(incarnation)
        if record is not None and record.is_bad(now_s):
            record.trial_at_s = max(record.trial_at_s, now_s + TRIAL_LASTS_S)

    def note_good_end(self, incarnation: str) -> None:
        """The node answered, or a connect that was a trial came up."""
        record = self._records.get(incarnation)
        if record is not None:
            record.bad_ends, record.wait_s, record.is_unreachable = 0, FIRST_WAIT_S, False

    def note_served(self, incarnation: str, now_s: float) -> None:
        """The node gave an answer that is no failure of its own."""
        record = self._records.get(incarnation)
        if record is None:
            return
        self.note_good_end(incarnation)
        if record.failures:
            record.count(now_s, 0, 1)
            if record.is_grey(now_s):
                record.trial_at_s = now_s + self._jittered(FIRST_WAIT_S)

    def note_failed(self, incarnation: str, now_s: float) -> None:
        """The node ran a request and answered with a failure of its own."""
        record = self._records.setdefault(incarnation, _Record())
        record.bad_ends, record.is_unreachable = 0, False
        record.count(now_s, 1, 0)
        if record.is_grey(now_s):
            self._wait_for_trial(record, now_s)

    def note_bad_end(self, incarnation: str, now_s: float) -> None:
        """An answer was reset, broke off, was none in the protocol or did not come."""
        record = self._records.setdefault(incarnation, _Record())
        record.bad_ends += 1
        if record.is_bad(now_s):
            self._wait_for_trial(record, now_s)

    def note_unreachable(self, incarnation: str, now_s: float) -> None:
        """No connection came up."""
        record = self._records.setdefault(incarnation, _Record())
        record.bad_ends = max(record.bad_ends, BAD_ENDS_THAT_EMPTY)
        record.is_unreachable = True
        self._wait_for_trial(record, now_s)

    def note_misdirected(self, incarnation: str, now_s: float) -> None:
        """Another incarnation answered at the node's address."""
        record = self._records.setdefault(incarnation, _Record())
        record.bad_ends = max(record.bad_ends, BAD_ENDS_THAT_EMPTY)
        record.wait_s = LONGEST_WAIT_S  # an incarnation that is gone does not come back
        self._wait_for_trial(record, now_s)

    def note_full(self, incarnation: str, now_s: float) -> None:
        """The node turned a request away."""
        record = self._records.setdefault(incarnation, _Record())
        record.bad_ends, record.wait_s, record.is_unreachable = 0, FIRST_WAIT_S, False
        record.full_until_s = now_s + self._jittered(FULL_S)

    def _jittered(self, wait_s: float) -> float:
        return wait_s * (0.75 + 0.5 * self.random.random())

    def _wait_for_trial(self, record: _Record, now_s: float) -> None:
        record.trial_at_s = now_s + self._jittered(record.wait_s)
        record.wait_s = min(record.wait_s * 2, LONGEST_WAIT_S)

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop what is known of nodes that are gone."""
        for gone in self._records.keys() - incarnations:
            del self._records[gone]
