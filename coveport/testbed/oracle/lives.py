"""The sidecars' processes over the day: when each lived, and when it could not act. Pure."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from math import inf

from coveport.testbed.event_log import Lag, Life
from coveport.testbed.oracle.grace import Grace

STAFF = frozenset({"replace", "replaced", "lameduck", "rejoin", "yes", "no", "asked", "info"})

Span = tuple[float, float]
"""From, until: ms since the day began."""


@dataclass(slots=True)
class Generation:
    """One life of a sidecar's process, from start to end, in ms."""

    begin: float = -inf  # of those whose start is not in the event log
    ready: float = inf
    term: float = inf  # SIGTERM
    end: float = inf
    how: str = ""  # "kill" or "exit" once it has ended
    code: str = ""

    @property
    def stopped(self) -> bool:
        """Whether it ended by itself after SIGTERM."""
        return self.how == "exit" and self.term < inf


class Lives:
    """All generations of all sidecars."""

    def __init__(self, rows: list[Life], lags: list[Lag], grace: Grace) -> None:
        self.of: dict[int, list[Generation]] = {}
        self._ends: dict[int, list[float]] = {}
        self._blind: dict[int, list[Span]] = {}
        self.replacing: dict[int, list[list[float]]] = {}  # by sidecar: from, until (inf: not ended)
        self._lags = _joined(
            [(lag.at - lag.late_ms, lag.at + lag.late_ms) for lag in lags if lag.late_ms >= grace.lag_ms]
        )
        stalled: dict[int, float] = {}
        spans: dict[int, list[Span]] = {}
        for row in rows:
            if row.what == "stall":
                stalled.setdefault(row.sidecar, row.at)
            elif row.what in ("resume", "kill", "exit") and row.sidecar in stalled:
                span = stalled.pop(row.sidecar), row.at + grace.resume_ms
                spans.setdefault(row.sidecar, []).append(span)
            self._take(row)
        for sidecar, begin in stalled.items():
            spans.setdefault(sidecar, []).append((begin, inf))
        for sidecar, those in spans.items():
            self._blind[sidecar] = _joined(those + self._lags)
        for sidecar, lives in self.of.items():
            self._ends[sidecar] = [one.end for one in lives]

    def _take(self, row: Life) -> None:
        if row.what in STAFF:  # to the rules it is one sidecar, whichever process acts
            if row.what == "replace":
                self.replacing.setdefault(row.sidecar, []).append([row.at, inf])
            elif row.what == "replaced" and row.sidecar in self.replacing:
                self.replacing[row.sidecar][-1][1] = row.at
            return
        lives = self.of.setdefault(row.sidecar, [])
        if row.what == "start":
            if lives and not lives[-1].how:  # its end went unseen: none of it is held against it
                lives[-1].end, lives[-1].how = row.at, "kill"
            lives.append(Generation(begin=row.at))
            return
        if row.what == "exit" and lives and lives[-1].how == "kill":
            return  # the exit that a kill brings
        if not lives or lives[-1].how:
            lives.append(Generation(begin=-inf if not lives else row.at))
        now = lives[-1]
        if row.what == "ready":
            now.ready = min(now.ready, row.at)
        elif row.what == "term":
            now.term = min(now.term, row.at)
        elif row.what in ("kill", "exit"):
            now.end, now.how, now.code = row.at, row.what, row.detail

    def number(self, sidecar: int, at: float) -> int:
        """Which generation the moment belongs to: each one's reaches back to the end of the one before."""
        ends = self._ends.get(sidecar)
        return bisect_right(ends, at) if ends else 0

    def at(self, sidecar: int, at: float) -> Generation | None:
        """The process that lived then; None where there was none."""
        lives = self.of.get(sidecar)
        if not lives:
            return _FOREVER
        number = self.number(sidecar, at)
        return lives[number] if number < len(lives) and lives[number].begin <= at else None

    def due(self, sidecar: int, at: float) -> float:
        """By when something must be done that is due at `at`: later where the process had no CPU just then.

        Exactly the time without CPU is forgiven, and a moment after a stall: one that ended long before the
        limit forgives nothing. So is the time in which the lab itself was late.
        """
        for begin, end in self._blind.get(sidecar, self._lags):
            if begin <= at < end:
                at = end
        return at


_FOREVER = Generation()


def _joined(spans: list[Span]) -> list[Span]:
    joined: list[Span] = []
    for begin, end in sorted(spans):
        if joined and begin <= joined[-1][1]:
            joined[-1] = (joined[-1][0], max(end, joined[-1][1]))
        else:
            joined.append((begin, end))
    return joined
