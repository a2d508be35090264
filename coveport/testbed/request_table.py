"""The requests of a played day as arrays: when each was due, how it ended, and what it was worth. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

import numpy as np
import numpy.typing as npt

from coveport.testbed import event_log
from coveport.testbed.playing import Played

Floats = npt.NDArray[np.float64]
Ints = npt.NDArray[np.int64]
Bools = npt.NDArray[np.bool_]
R = TypeVar("R", bound=event_log.Row)

KINDS = {
    "served": "a 200 within the aim",
    "late": "a 200 after the aim",
    "busy": "the last try got a busy reply (429 or 503)",
    "failed": "the last try got another status",
    "broken": "the last try's connection ended without a whole answer",
    "left": "the client went away of its own accord before its time was over",
    "none": "no answer in the client's time, or by the end of the day",
    "unreached": "the last try could not be handed to a sidecar, or none was ever made",
}
"""How a request may end."""

_SERVED, _LATE, _BUSY, _FAILED, _BROKEN, _LEFT, _NONE, _UNREACHED = range(len(KINDS))


class _RequestReader:
    """Reads an event log row by row: the requests, their tries, and how each try ended."""

    def __init__(self) -> None:
        self.due: list[float] = []
        self.classes: list[int] = []
        self.sidecars: list[int] = []
        self.last_try: list[str] = []
        self.position: dict[str, int] = {}  # by the first try
        self.position_of_try: dict[str, int] = {}
        self.end_of_try: dict[str, int] = {}  # _NONE while it is open
        self.success_at: dict[int, float] = {}
        self.first_success: dict[int, event_log.Answered] = {}
        self.handed_over: dict[str, event_log.Asked] = {}

    def read(self, row: event_log.Row) -> None:
        """Read the next row."""
        if isinstance(row, event_log.Asked | event_log.Unasked):
            self._read_try(row)
        elif isinstance(row, event_log.Answered):
            self._read_answer(row)
        elif isinstance(row, event_log.Broke):
            self._end(row.op, _BROKEN)
        elif isinstance(row, event_log.GaveUp) and row.how == "impatient":
            self._end(row.op, _LEFT)

    def add(self, first_try: str, due: float, cls: int, sidecar: int) -> int:
        """Add a request if its first try is new; return its position."""
        position = self.position.setdefault(first_try, len(self.due))
        if position == len(self.due):
            self.due.append(due)
            self.classes.append(cls)
            self.sidecars.append(sidecar)
            self.last_try.append(first_try)
            self.end_of_try[first_try] = _UNREACHED
        return position

    def _read_try(self, row: event_log.Asked | event_log.Unasked) -> None:
        position = self.add(row.first, row.due, row.cls, row.sidecar)
        self.due[position] = min(self.due[position], row.due)
        self.last_try[position] = row.op
        self.position_of_try[row.op] = position
        self.end_of_try[row.op] = _UNREACHED
        if isinstance(row, event_log.Asked):
            self.handed_over[row.op] = row
            self.end_of_try[row.op] = _NONE

    def _read_answer(self, row: event_log.Answered) -> None:
        position = self.position_of_try.get(row.op)
        if position is None:
            return
        if row.status == 200 and position not in self.success_at:
            self.success_at[position] = row.at
            self.first_success[position] = row
        self._end(row.op, _SERVED if row.status == 200 else _BUSY if row.status in (429, 503) else _FAILED)

    def _end(self, op: str, end: int) -> None:
        if self.end_of_try.get(op) == _NONE:
            self.end_of_try[op] = end


class RequestTable:
    """All requests of a day, by position: those in the event log first, then those that nobody tried.

    A request is a first try with its client's retries.
    """

    def __init__(self, played: Played) -> None:
        day = played.day
        reader = _RequestReader()
        for row in played.rows:
            reader.read(row)
        for one in day.wishes:
            reader.add(one.op, one.due, one.cls, one.sidecar)
        self.good_op = reader.first_success  # by request: its first 200
        self.asked = reader.handed_over  # operations that were handed over
        self.of_op = reader.position_of_try
        self.size = len(reader.due)
        self.due: Floats = np.array(reader.due, dtype=np.float64)
        self.cls: Ints = np.array(reader.classes, dtype=np.int64)
        self.sidecar: Ints = np.array(reader.sidecars, dtype=np.int64)
        classes = day.scenario.classes
        worths: Floats = np.array([one.worth for one in classes], dtype=np.float64)
        aims: Floats = np.array([one.aim_ms for one in classes], dtype=np.float64)
        self.worth: Floats = worths[self.cls]
        at: Floats = np.full(self.size, np.nan)
        if reader.success_at:
            at[np.fromiter(reader.success_at, np.int64)] = np.fromiter(reader.success_at.values(), np.float64)
        self.took_ms: Floats = at - self.due  # until the 200; NaN for none
        got = ~np.isnan(self.took_ms)
        self.in_time: Bools = got & (self.took_ms <= aims[self.cls] + 1e-6)
        kinds: Ints = np.array([reader.end_of_try[op] for op in reader.last_try], dtype=np.int64)
        kinds[got] = _LATE
        kinds[self.in_time] = _SERVED
        self.kind = kinds
        self.counts: Bools = self.due >= day.scenario.settle_s * 1000

    def service(self, which: Bools) -> float | None:
        """Return the service of the chosen requests, 0 to 1; None if nothing was asked."""
        asked = float(self.worth[which].sum())
        return float(self.worth[which & self.in_time].sum()) / asked if asked > 0 else None


class WorthIndex:
    """Cumulative worth asked and served by due time, for windows of any place and size."""

    def __init__(self, requests: RequestTable) -> None:
        chosen = np.flatnonzero(requests.counts)
        order = chosen[np.argsort(requests.due[chosen], kind="stable")]
        self.due: Floats = requests.due[order]
        worth = requests.worth[order]
        self._asked: Floats = np.concatenate(([0.0], np.cumsum(worth)))
        self._served: Floats = np.concatenate(([0.0], np.cumsum(worth * requests.in_time[order])))

    def between(self, begins: Floats, ends: Floats) -> tuple[Floats, Floats]:
        """Return (asked, served) of what was due from `begins` on and before `ends`, for each window."""
        low, high = np.searchsorted(self.due, begins), np.searchsorted(self.due, ends)
        return self._asked[high] - self._asked[low], self._served[high] - self._served[low]


def rows_by_kind(rows: Iterable[Any]) -> dict[type[Any], list[Any]]:
    """Return the rows of an event log, by their type, each list in the order of the log."""
    found: dict[type[Any], list[Any]] = {}
    for row in rows:
        found.setdefault(type(row), []).append(row)
    return found


def rows_of_kind(found: dict[type[Any], list[Any]], kind: type[R]) -> list[R]:
    """Return the rows of one type; empty if there are none."""
    return found.get(kind, [])
