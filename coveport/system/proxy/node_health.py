"""What this proxy's own attempts show of a node: bad ends, timed trials, a node that is full. Pure.

A node whose recent attempts all ended badly leaves its level; after a jittered wait that doubles, one
request at a time may try it, and its first success brings it back. A refusal ("full") takes a node out for
a short moment only.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

BAD_ENDS_THAT_EMPTY = 2  # in a row
FIRST_WAIT_S = 0.4
LONGEST_WAIT_S = 4.0
FULL_S = 0.15  # how long a refusal is believed
TRIAL_LASTS_S = 3.0  # a trial that has not ended by then is forgotten


@dataclass(slots=True)
class _Record:
    bad_ends: int = 0  # since the last good one
    wait_s: float = FIRST_WAIT_S
    trial_at_s: float = 0.0
    full_until_s: float = 0.0


@dataclass(slots=True)
class NodeHealth:
    """Records by incarnation."""

    random: Random
    _records: dict[str, _Record] = field(default_factory=dict)

    def is_out(self, incarnation: str, now_s: float) -> bool:
        """Whether bad ends keep the node out of its level, no trial being due."""
        record = self._records.get(incarnation)
        return record is not None and record.bad_ends >= BAD_ENDS_THAT_EMPTY and now_s < record.trial_at_s

    def full_until_s(self, incarnation: str) -> float:
        """Until when the node is known to be full."""
        record = self._records.get(incarnation)
        return record.full_until_s if record is not None else 0.0

    def note_send(self, incarnation: str, now_s: float) -> None:
        """A request goes to the node: where that is a trial, no other goes meanwhile."""
        record = self._records.get(incarnation)
        if record is not None and record.bad_ends >= BAD_ENDS_THAT_EMPTY:
            record.trial_at_s = max(record.trial_at_s, now_s + TRIAL_LASTS_S)

    def note_good_end(self, incarnation: str) -> None:
        """The node answered."""
        record = self._records.get(incarnation)
        if record is not None:
            record.bad_ends, record.wait_s = 0, FIRST_WAIT_S

    def note_bad_end(self, incarnation: str, now_s: float) -> None:
        """An attempt could not connect, was reset, broke off or timed out."""
        record = self._records.setdefault(incarnation, _Record())
        record.bad_ends += 1
        if record.bad_ends >= BAD_ENDS_THAT_EMPTY:
            record.trial_at_s = now_s + record.wait_s * (0.75 + 0.5 * self.random.random())
            record.wait_s = min(record.wait_s * 2, LONGEST_WAIT_S)

    def note_full(self, incarnation: str, now_s: float) -> None:
        """The node turned a request away: it lives, and has no place."""
        record = self._records.setdefault(incarnation, _Record())
        record.bad_ends, record.wait_s = 0, FIRST_WAIT_S
        record.full_until_s = now_s + FULL_S * (0.75 + 0.5 * self.random.random())

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop what is known of nodes that are gone."""
        for gone in self._records.keys() - incarnations:
            del self._records[gone]
