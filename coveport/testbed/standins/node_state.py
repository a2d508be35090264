"""What a ledger node tells of itself on any ground: its row in the event log, busy share and load reports."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from coveport.testbed.day import NodeDrawn
from coveport.testbed.event_log import NodeIs
from coveport.testbed.model import NodeModel

T = TypeVar("T")


def state_row(at: float, drawn: NodeDrawn, model: NodeModel, silent: bool) -> NodeIs:
    """The node as it is from then on."""
    state = "down" if not model.alive else "silent" if silent else "draining" if model.draining else "up"
    cold_from = drawn.cold_from if model.born >= 0 else 1.0
    return NodeIs(
        at,
        drawn.number,
        state,
        model.born,
        drawn.cores,
        model.speed,
        cold_from,
        drawn.warm_ms,
        drawn.zone,
        drawn.cell,
    )


class BusyShare:
    """The share of its cores that a node was busy, from one look to the next."""

    def __init__(self, drawn: NodeDrawn, model: NodeModel) -> None:
        self._cores = drawn.cores
        self._model = model
        self.looked_at = 0.0
        self._busy_ms = 0.0

    def restart(self, now: float) -> None:
        """Count from now on."""
        self.looked_at, self._busy_ms = now, self._model.busy_ms

    def look(self, now: float) -> float:
        """The share since the last look, which this one is from now on."""
        lasted = (now - self.looked_at) * self._cores
        busy = (self._model.busy_ms - self._busy_ms) / lasted if lasted > 0 else 0.0
        self.restart(now)
        return busy


class LoadReports(Generic[T]):
    """Load reports of one node: made with noise, shown once they are as old as reports of this node are.

    `write` makes a report of the rate of failures (a second) and the busy share; `first` stands for none.
    """

    def __init__(
        self, drawn: NodeDrawn, model: NodeModel, first: T, write: Callable[[float, float], T]
    ) -> None:
        self.random = random.Random(f"reports {drawn.seed}")
        self.errors = 0  # since the last report
        self._drawn = drawn
        self._busy = BusyShare(drawn, model)
        self._first = first
        self._write = write
        self._shown = first
        self._made: deque[tuple[float, T]] = deque()  # with when they show

    def restart(self, now: float) -> None:
        """The node has just started."""
        self.errors = 0
        self._made.clear()
        self._shown = self._first
        self._busy.restart(now)

    def make(self, now: float) -> None:
        """Make the next report; the model has been advanced to now."""
        noise, since = self._drawn.report_noise, self._busy.looked_at
        busy = self._busy.look(now) * (1 + noise * self.random.gauss())
        rate = self.errors * 1000 / max(1.0, now - since) * (1 + noise * self.random.gauss())
        self.errors = 0
        report = self._write(max(0.0, rate), min(1.0, max(0.0, busy)))
        self._made.append((now + self._drawn.report_late_ms, report))

    def shown(self, now: float) -> T:
        """The report that goes with an answer now."""
        while self._made and self._made[0][0] <= now:
            self._shown = self._made.popleft()[1]
        return self._shown
