"""Queues of pending requests, none looked at without need: an answer frees capacity for few of thousands.

The requests of a class share a queue, the newest in front. It is walked until the first that finds no host,
as others would not either. Those that may go to any zone have a queue of their own, behind the others of
their class. Two heaps tell what is due.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from math import inf
from typing import Generic, TypeVar


class PendingRequest:
    """What is queued. An entry under another number than the request's own is an old one."""

    class_name: str  # its class
    queue_until: float  # then it is answered
    any_zone_at: float  # from then on it may go to any zone
    waiting = False  # whether it is queued
    heap_number = 0  # of its entries on the heaps
    queue_number = 0  # of its entry in its queue


R = TypeVar("R", bound=PendingRequest)
QueueKey = tuple[str, bool]
"""The key of a queue: a class, and whether its requests wait for their own zone."""


class PendingRequests(Generic[R]):
    """All pending requests, in queues by class and by whether they wait for their own zone. Times in ms."""

    def __init__(self) -> None:
        self._queues = dict[QueueKey, deque[tuple[int, R]]]()
        self._expiries = list[tuple[float, int, R]]()
        self._crossings = list[tuple[float, int, R]]()
        self.count = 0  # of pending requests
        self._entries = 0  # ever made

    def __iter__(self) -> Iterator[R]:
        return (
            request
            for queue in self._queues.values()
            for number, request in queue
            if request.waiting and request.queue_number == number
        )

    def add(self, request: R, now: float) -> None:
        """Queue a request, in front of others of its sort."""
        self.count += 1
        self._enqueue(request, near=request.any_zone_at > now)
        request.waiting = True
        request.heap_number = request.queue_number
        heappush(self._expiries, (request.queue_until, request.heap_number, request))
        if request.any_zone_at > now:
            heappush(self._crossings, (request.any_zone_at, request.heap_number, request))

    def _enqueue(self, request: R, *, near: bool) -> None:
        self._entries += 1
        request.queue_number = self._entries
        self._queues.setdefault((request.class_name, near), deque()).appendleft((self._entries, request))

    def remove(self, request: R) -> None:
        """Take a request out; its entries are cleared when they are next come by."""
        self.count -= request.waiting
        request.waiting = False
        if not self.count:  # nothing of a class that is gone stays behind
            self._queues = {}
            self._expiries = []
            self._crossings = []

    def expired(self, now: float) -> list[R]:
        """Return those whose time is over by now; they stay pending until they are removed."""
        return list(self._pop_due(self._expiries, now))

    @staticmethod
    def _pop_due(heap: list[tuple[float, int, R]], now: float) -> Iterator[R]:
        while heap and heap[0][0] <= now:
            _, number, request = heappop(heap)
            if request.waiting and request.heap_number == number:
                yield request

    def queues(self, now: float, rank: Callable[[R], float]) -> Iterator[tuple[QueueKey, Iterator[R]]]:
        """Yield the queues in the order of their front's rank; while one is walked none may be added."""
        for request in self._pop_due(self._crossings, now):
            self._enqueue(request, near=False)
        # Equals go by which queue was there first: a name must not decide.
        order = sorted(
            (
                (rank(queue[0][1]), not near, kind, queue)
                for (kind, near), queue in self._queues.items()
                if queue
            ),
            key=lambda row: row[:2],
        )
        for _, far, kind, queue in order:
            for end, pop in ((0, queue.popleft), (-1, queue.pop)):
                while queue and not (queue[end][1].waiting and queue[end][1].queue_number == queue[end][0]):
                    pop()
            if queue:
                current = (
                    request for number, request in queue if request.waiting and request.queue_number == number
                )
                yield (kind, not far), current

    def next_at(self, now: float) -> float:
        """Return when the next expires or may go to any zone, past what is due by now; infinity if none."""
        for heap in (self._expiries, self._crossings):
            while heap and (
                heap[0][0] <= now or not heap[0][2].waiting or heap[0][2].heap_number != heap[0][1]
            ):
                heappop(heap)
        return min((heap[0][0] for heap in (self._expiries, self._crossings) if heap), default=inf)
