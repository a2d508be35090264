"""Index the event log for judging: operations with their attempts, sidecars with what they heard. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf
from typing import Any

from coveport.testbed.day import Day
from coveport.testbed.event_log import (
    Answered,
    AnyRow,
    Arrived,
    Asked,
    Broke,
    Ended,
    GaveUp,
    Lag,
    Life,
    Linked,
    NodeIs,
    Probed,
    Ran,
    Replied,
    Told,
    Unasked,
)
from coveport.testbed.oracle.grace import Breach, Grace
from coveport.testbed.oracle.lives import STAFF, Lives
from coveport.testbed.oracle.reach import Reach
from coveport.testbed.schema import Class

UNRUN = (503, 504)
"""What a node answers, with `X-Not-Run`, to an attempt that it turns away or drops unrun, and to no other."""


class Attempt:
    """One attempt as its node saw it."""

    __slots__ = ("closed", "ended", "ran", "replied", "row")

    def __init__(self, row: Arrived) -> None:
        self.row = row
        self.replied: Replied | None = None
        self.ended: Ended | None = None
        self.ran: list[Ran] = []
        self.closed = inf  # when its connection ended, seen from the node

    @property
    def over_at(self) -> float:
        """When it was no longer out, seen from the node; an answer that is not whole ends nothing."""
        over = self.replied.at if self.replied is not None and self.replied.whole else inf
        return min(over, self.ended.at if self.ended is not None else inf, self.closed)


class Operation:
    """One operation: what its till and the nodes wrote of it, each in order of time."""

    __slots__ = ("answers", "asked", "attempts", "broke", "crossed", "gave_up", "op", "unasked")

    def __init__(self, op: str) -> None:
        self.op = op
        self.asked: Asked | None = None  # the last time, where a close crossed it before
        self.unasked: Unasked | None = None  # since it was asked
        self.crossed: list[tuple[Asked, Unasked]] = []
        self.answers: list[Answered] = []
        self.broke: Broke | None = None  # since it was asked
        self.gave_up: GaveUp | None = None  # for good, not half
        self.attempts: list[Attempt] = []

    @property
    def owed(self) -> Asked | None:
        """How it was asked; None where it was never handed over, so that nobody owes an answer."""
        return self.asked if self.unasked is None else None

    @property
    def end(self) -> float:
        """When it was over for its till; infinity where the event log does not say."""
        end = self.answers[0].at if self.answers else inf
        if self.gave_up is not None and self.gave_up.at < end:
            end = self.gave_up.at
        if self.broke is not None and self.broke.at < end:
            end = self.broke.at
        return end


class Case:
    """A day and its event log, indexed once; `breach` collects what is found."""

    def __init__(self, day: Day, rows: Sequence[AnyRow], grace: Grace) -> None:
        self.day = day
        self.grace = grace
        self.rules = day.scenario.rules
        self.operations: dict[str, Operation] = {}
        self.arrived: dict[int, list[Attempt]] = {}  # by node
        self.probed: dict[int, list[Probed]] = {}
        self.told: dict[tuple[int, int], list[Told]] = {}  # by sidecar and node
        self.strays: list[Broke] = []
        self.nodes: dict[int, list[NodeIs]] = {}
        self.found: list[Breach] = []
        self._attempts: dict[tuple[int, int], Attempt] = {}  # by node and its number for it
        self._open: dict[tuple[int, int], list[Attempt]] = {}  # by node and connection
        self._lives: list[Life] = []
        self._lags: list[Lag] = []
        takers: dict[type, Callable[[Any], None]] = {
            Asked: self._asked,
            Unasked: self._unasked,
            Answered: self._answered,
            Broke: self._broke,
            GaveUp: self._gave_up,
            Arrived: self._arrived,
            Ran: self._ran,
            Replied: self._replied,
            Ended: self._ended,
            Linked: self._linked,
            Probed: self._probed,
            NodeIs: self._node_is,
            Told: self._told,
            Life: self._lives.append,
            Lag: self._lags.append,
        }
        ordered = sorted(rows, key=_at)
        for row in ordered:
            take = takers.get(type(row))
            if take is not None:
                take(row)
        self.end = ordered[-1].at if ordered else 0.0  # of the event log
        self.by_staff = [row for row in self._lives if row.what in STAFF]
        self.lives = Lives(self._lives, self._lags, grace)
        self.reach = Reach(day, self.nodes, grace)
        self.drawn = {node.number: node for node in day.nodes}
        self._sidecar_names = {sidecar.number: sidecar.name for sidecar in day.sidecars}

    def breach(self, rule: str, at_ms: float, operation: str, what: str) -> None:
        """Note a broken rule."""
        self.found.append(Breach(rule, at_ms, operation, what))

    def node(self, number: int) -> str:
        """A node for people."""
        return f"node {number} ({self.drawn[number].name})"

    def sidecar(self, number: int) -> str:
        """A sidecar for people."""
        return f"sidecar {number} ({self._sidecar_names[number]})"

    def class_of(self, operation: Operation) -> Class | None:
        """Its class as the till asked it; None where no till did."""
        told = operation.asked or operation.unasked
        return self.day.scenario.classes[told.cls] if told is not None else None

    def handed(self, row: Arrived) -> float:
        """When its first byte was handed over, at the earliest that the event log allows."""
        if row.handed < row.began:
            return row.handed
        return self.reach.since(row.node, row.sidecar, row.began)  # the ground could not tell

    def unrun_known(self, attempt: Attempt) -> float:
        """From when on its sidecar may know that it has not run, at the earliest; infinity: never."""
        replied = attempt.replied
        if replied is None or not replied.whole or replied.status not in UNRUN:
            return inf
        return replied.at + self.reach.base_ms(attempt.row.node, attempt.row.sidecar) - self.grace.early_ms

    def _operation(self, op: str) -> Operation:
        found = self.operations.get(op)
        if found is None:
            found = self.operations[op] = Operation(op)
        return found

    def _asked(self, row: Asked) -> None:
        operation = self._operation(row.op)
        operation.asked, operation.unasked, operation.broke = row, None, None

    def _unasked(self, row: Unasked) -> None:
        operation = self._operation(row.op)
        if operation.asked is not None and operation.unasked is None:
            operation.crossed.append((operation.asked, row))
        operation.unasked = row

    def _answered(self, row: Answered) -> None:
        self._operation(row.op).answers.append(row)

    def _broke(self, row: Broke) -> None:
        if row.how == "stray":
            self.strays.append(row)
        else:
            operation = self._operation(row.op)
            operation.broke = operation.broke or row

    def _gave_up(self, row: GaveUp) -> None:
        operation = self._operation(row.op)
        if row.how != "half" and operation.gave_up is None:
            operation.gave_up = row

    def _arrived(self, row: Arrived) -> None:
        attempt = Attempt(row)
        self.arrived.setdefault(row.node, []).append(attempt)
        self._operation(row.op).attempts.append(attempt)
        self._attempts[row.node, row.attempt] = attempt
        self._open.setdefault((row.node, row.conn), []).append(attempt)

    def _ran(self, row: Ran) -> None:
        attempt = self._attempts.get((row.node, row.attempt))
        if attempt is not None:
            attempt.ran.append(row)

    def _replied(self, row: Replied) -> None:
        attempt = self._attempts.get((row.node, row.attempt))
        if attempt is not None and attempt.replied is None:
            attempt.replied = row

    def _ended(self, row: Ended) -> None:
        attempt = self._attempts.get((row.node, row.attempt))
        if attempt is not None and attempt.ended is None:
            attempt.ended = row

    def _linked(self, row: Linked) -> None:
        if not row.up:
            for attempt in self._open.pop((row.node, row.conn), ()):
                attempt.closed = row.at

    def _probed(self, row: Probed) -> None:
        self.probed.setdefault(row.node, []).append(row)

    def _node_is(self, row: NodeIs) -> None:
        self.nodes.setdefault(row.node, []).append(row)

    def _told(self, row: Told) -> None:
        self.told.setdefault((row.sidecar, row.node), []).append(row)


def _at(row: AnyRow) -> float:
    return row.at
