"""Requests that find every node full wait a moment, by precedence, in a bounded queue. Pure.

They wait only while an answer within the objective is still possible, and at most a fifth of it; after that
they are refused, so that the client knows at once. There is one queue for each service and set of homes, so
that none waits behind a request for which there is no place elsewhere. Nobody waits while a usable node has
a place.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from coveport.serving.model.configuration import Route

MOST_WAITING = 256
PART_OF_OBJECTIVE = 0.2  # what is held longer than a quarter counts as refused late
LONGEST_WAIT_S = 0.5
WAIT_WITHOUT_OBJECTIVE_S = 0.2


def longest_wait_s(route: Route) -> float:
    """How long a request of this route may wait for a place."""
    if route.latency_target_ms <= 0:
        return WAIT_WITHOUT_OBJECTIVE_S
    return min(LONGEST_WAIT_S, PART_OF_OBJECTIVE * route.latency_target_ms / 1000)


@dataclass(order=True, slots=True)
class Waiting:
    """A request that waits: the lowest precedence first, then the one that came first."""

    precedence: int
    number: int
    wake: Callable[[], None] = field(compare=False)  # called when it is first, or has to make room
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

    def join(self, precedence: int, wake: Callable[[], None]) -> Waiting | None:
        """Wait; None where the queue is full of requests that go before.

        Where it is full, the last of those that come after makes room: it is over for it.
        """
        if self._waiting >= self.most:
            last = max(one for one in self._heap if not one.is_over)
            if last.precedence <= precedence:
                return None
            self.leave(last)
            last.wake()
        waiting = Waiting(precedence, next(self._numbers), wake)
        heapq.heappush(self._heap, waiting)
        self._waiting += 1
        return waiting

    def leave(self, waiting: Waiting) -> None:
        """No longer wait; who is first then is woken."""
        if waiting.is_over:
            return
        was_first = self.is_first(waiting)
        waiting.is_over = True
        self._waiting -= 1
        if was_first and (following := self._first()) is not None:
            following.wake()

    def is_first(self, waiting: Waiting) -> bool:
        """Whether nobody goes before."""
        return self._first() is waiting

    def _first(self) -> Waiting | None:
        while self._heap and self._heap[0].is_over:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None


@dataclass(slots=True)
class WaitingQueues:
    """The queues by service and homes."""

    _queues: dict[tuple[str, frozenset[str]], WaitingQueue] = field(default_factory=dict)

    def of(self, service: str, homes: frozenset[str]) -> WaitingQueue:
        """The queue of requests that may go to the same nodes."""
        return self._queues.setdefault((service, homes), WaitingQueue())

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))
