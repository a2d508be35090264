"""Requests that find every node full wait a moment, by precedence, in a bounded queue. Pure.

They wait only while an answer within the objective is still possible, and at most a quarter of it; after
that they are refused, so that the client knows at once.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count

from coveport.system.model.configuration import Route

MOST_WAITING = 256
PART_OF_OBJECTIVE = 0.25
LONGEST_WAIT_S = 0.5
WAIT_WITHOUT_OBJECTIVE_S = 0.2


def longest_wait_s(route: Route) -> float:
    """How long a request of this route may wait for a place."""
    if route.objective_ms <= 0:
        return WAIT_WITHOUT_OBJECTIVE_S
    return min(LONGEST_WAIT_S, PART_OF_OBJECTIVE * route.objective_ms / 1000)


@dataclass(order=True, slots=True)
class Waiting:
    """A request that waits: the lowest precedence first, then the one that came first."""

    precedence: int
    number: int
    until_s: float = field(compare=False)
    is_over: bool = field(compare=False, default=False)


@dataclass(slots=True)
class WaitingQueue:
    """Those that wait, in the order in which they are let in."""

    most: int = MOST_WAITING
    _heap: list[Waiting] = field(default_factory=list)
    _numbers: count[int] = field(default_factory=count)
    _waiting: int = 0

    def __len__(self) -> int:
        return self._waiting

    def join(self, precedence: int, until_s: float) -> Waiting | None:
        """Wait; None where the queue is full of requests that go before."""
        if self._waiting >= self.most:
            return None
        waiting = Waiting(precedence, next(self._numbers), until_s)
        heapq.heappush(self._heap, waiting)
        self._waiting += 1
        return waiting

    def leave(self, waiting: Waiting) -> None:
        """No longer wait."""
        if not waiting.is_over:
            waiting.is_over = True
            self._waiting -= 1

    def is_first(self, waiting: Waiting) -> bool:
        """Whether nobody goes before."""
        while self._heap and self._heap[0].is_over:
            heapq.heappop(self._heap)
        return bool(self._heap) and self._heap[0] is waiting
