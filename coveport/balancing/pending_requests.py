"""Queues of pending requests that examine few of thousands: an answer frees capacity for few requests.

The requests of a class share a queue, the newest in front. It is iterated up to the first request that finds
no host, since the ones behind it would find none either. Requests that may go to any zone have a separate
queue, behind the other requests of their class. Two heaps order the requests by the times at which they
expire or may go to any zone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from math import inf
from typing import Generic, TypeVar


class PendingRequest:
    """A request that can be queued. Entries whose number is not the request's current number are stale."""

    class_name: str  # name of its request class
    queue_until: float  # time at which the request expires, in ms
    any_zone_at: float  # time from which the request may go to any zone, in ms
    waiting = False  # whether the request is queued
    heap_number = 0  # current number of the request's heap entries
    queue_number = 0  # current number of the request's queue entry


R = TypeVar("R", bound=PendingRequest)
QueueKey = tuple[str, bool]
"""The key of a queue: a class name, and whether its requests wait for a host of the own zone."""


class PendingRequests(Generic[R]):
    """All pending requests, in queues by class and by whether they wait for the own zone. Times are in ms."""

    def __init__(self) -> None:
        self._queues = dict[QueueKey, deque[tuple[int, R]]]()
        self._expiries = list[tuple[float, int, R]]()  # heap by `queue_until`, with entry numbers
        self._zone_expiries = list[tuple[float, int, R]]()  # heap by `any_zone_at`, with entry numbers
        self.count = 0  # number of pending requests
        self._entry_count = 0  # number of entries ever made

    def __iter__(self) -> Iterator[R]:
        return (
            request
            for queue in self._queues.values()
            for number, request in queue
            if request.waiting and request.queue_number == number
        )

    def add(self, request: R, now: float) -> None:
        """Queue a request, in front of the others in its queue."""
        self.count += 1
        self._enqueue(request, own_zone=request.any_zone_at > now)
        request.waiting = True
        request.heap_number = request.queue_number
        heappush(self._expiries, (request.queue_until, request.heap_number, request))
        if request.any_zone_at > now:
            heappush(self._zone_expiries, (request.any_zone_at, request.heap_number, request))

    def _enqueue(self, request: R, *, own_zone: bool) -> None:
        self._entry_count += 1
        request.queue_number = self._entry_count
        self._queues.setdefault((request.class_name, own_zone), deque()).appendleft(
            (self._entry_count, request)
        )

    def remove(self, request: R) -> None:
        """Remove a request. Its entries are stale from now on, and dropped when they are next met."""
        self.count -= request.waiting
        request.waiting = False
        if not self.count:  # a class removed from the settings leaves no entries
            self._queues = {}
            self._expiries = []
            self._zone_expiries = []

    def expired(self, now: float) -> list[R]:
        """Return the requests that have expired; they stay pending until they are removed."""
        return list(self._pop_due(self._expiries, now))

    @staticmethod
    def _pop_due(heap: list[tuple[float, int, R]], now: float) -> Iterator[R]:
        while heap and heap[0][0] <= now:
            _, number, request = heappop(heap)
            if request.waiting and request.heap_number == number:
                yield request

    def queues(self, now: float, rank: Callable[[R], float]) -> Iterator[tuple[QueueKey, Iterator[R]]]:
        """Yield the queues by the rank of their front; no request may be added during the iteration."""
        for request in self._pop_due(self._zone_expiries, now):
            self._enqueue(request, own_zone=False)
        # Queues of equal rank keep the order in which they were created: a class name must not decide the
        # order.
        order = sorted(
            (
                (rank(queue[0][1]), not own_zone, class_name, queue)
                for (class_name, own_zone), queue in self._queues.items()
                if queue
            ),
            key=lambda row: row[:2],
        )
        for _, any_zone, class_name, queue in order:
            for end, pop in ((0, queue.popleft), (-1, queue.pop)):
                while queue and not (queue[end][1].waiting and queue[end][1].queue_number == queue[end][0]):
                    pop()
            if queue:
                current = (
                    request for number, request in queue if request.waiting and request.queue_number == number
                )
                yield (class_name, not any_zone), current

    def next_at(self, now: float) -> float:
        """Return when, after `now`, the next request expires or may go to any zone; infinity if never."""
        for heap in (self._expiries, self._zone_expiries):
            while heap and (
                heap[0][0] <= now or not heap[0][2].waiting or heap[0][2].heap_number != heap[0][1]
            ):
                heappop(heap)
        return min((heap[0][0] for heap in (self._expiries, self._zone_expiries) if heap), default=inf)
