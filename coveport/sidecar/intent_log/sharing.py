"""Who of those that are there takes which of a lost one's records up, and how fast. Pure.

Rendezvous hashing: each record has its own order of the instances. The first in it takes it up at once; where
that one does not, each further one waits a step longer. Nothing depends on it but how seldom two try.
"""

from __future__ import annotations

from collections.abc import Collection

import xxhash

STEP_S = 0.4  # each further one in a record's order waits so much longer
ORDER_MOST = 5  # ... up to that many steps


def rank(record: str, name: str, names: Collection[str]) -> int:
    """Where an instance stands in a record's order, from 0 on."""

    def weight(one: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{record}\n{one}".encode()), one

    ours = weight(name)
    return sum(weight(one) > ours for one in names if one != name)


def wait_s(record: str, name: str, names: Collection[str]) -> float:
    """How long an instance leaves a record to those before it."""
    return min(rank(record, name, names), ORDER_MOST) * STEP_S


class Pace:
    """How many records are taken up: `most` a second, a quarter of it while there is own work that waits."""

    def __init__(self, most: float, burst: int) -> None:
        self._most = most
        self._burst = float(burst)
        self._saved = float(burst)
        self._at = 0.0

    def wait_s(self, now: float, busy: bool) -> float:
        """0: one may be taken up now, and is counted; else how long to wait before it is asked again."""
        rate = self._most / 4 if busy else self._most
        self._saved = min(self._burst, self._saved + max(0.0, now - self._at) * rate)
        self._at = now
        if self._saved >= 1:
            self._saved -= 1
            return 0.0
        return (1 - self._saved) / rate
