"""Admission control: requests for which no node has capacity wait in a bounded priority queue.

A request waits only while a response within the route's latency target is still possible, and for at most a
fifth of that target; then it is rejected, so that the client can react at once. There is one queue for each
service and set of home regions, so that a request isn't blocked behind one that needs other nodes. No request
waits while a usable node has capacity.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from coveport.serving.model.configuration import Route

# Limits the memory used, and the duration of the linear search for the last request.
MAX_QUEUED_REQUESTS = 256
MAX_WAIT_TARGET_RATIO = 0.2  # less than a quarter: a rejection after a quarter of the target counts as late
MAX_WAIT_S = 0.5  # upper bound of the wait if the target is long: the client can retry elsewhere instead
MAX_WAIT_WITHOUT_TARGET_S = 0.2  # longest wait on routes without a latency target


def max_wait_s(route: Route) -> float:
    """Return the longest time in seconds that a request of this route may wait for capacity."""
    if route.latency_target_ms <= 0:
        return MAX_WAIT_WITHOUT_TARGET_S
    return min(MAX_WAIT_S, MAX_WAIT_TARGET_RATIO * route.latency_target_ms / 1000)


@dataclass(order=True, slots=True)
class QueuedRequest:
    """A waiting request, ordered by priority (lowest number first), then by arrival."""

    priority: int
    arrival_number: int
    wake: Callable[[], None] = field(compare=False)  # called when the request becomes first, or is removed
    is_removed: bool = field(compare=False, default=False)


@dataclass(slots=True)
class AdmissionQueue:
    """The waiting requests, in the order in which they are admitted."""

    max_length: int = MAX_QUEUED_REQUESTS
    # A removed request stays in the heap until it becomes first.
    _heap: list[QueuedRequest] = field(default_factory=list)
    _arrival_numbers: count[int] = field(default_factory=count)
    _length: int = 0

    def __len__(self) -> int:
        return self._length

    def enqueue(self, priority: int, wake: Callable[[], None]) -> QueuedRequest | None:
        """Add a request and return its entry, or None if the request is rejected.

        If the queue is full, its last request is removed and woken, provided that its priority is lower than
        that of the new request; otherwise the new request is rejected.
        """
        if self._length >= self.max_length:
            last_queued = max(queued for queued in self._heap if not queued.is_removed)
            if last_queued.priority <= priority:
                return None
            self.remove(last_queued)
            last_queued.wake()
        queued = QueuedRequest(priority, next(self._arrival_numbers), wake)
        heapq.heappush(self._heap, queued)
        self._length += 1
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request, and wake the request that becomes first; do nothing if it was already removed."""
        if queued.is_removed:
            return
        was_first = self.is_first(queued)
        queued.is_removed = True
        self._length -= 1
        if was_first and (new_first := self._first()) is not None:
            new_first.wake()

    def is_first(self, queued: QueuedRequest) -> bool:
        """Return whether the request is the next to be admitted."""
        return self._first() is queued

    def _first(self) -> QueuedRequest | None:
        while self._heap and self._heap[0].is_removed:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None


@dataclass(slots=True)
class AdmissionQueues:
    """The admission queues, by service and home regions."""

    _queues: dict[tuple[str, frozenset[str]], AdmissionQueue] = field(default_factory=dict)

    def queue_for(self, service: str, home_regions: frozenset[str]) -> AdmissionQueue:
        """Return the queue of the requests for this service with these home regions."""
        return self._queues.setdefault((service, home_regions), AdmissionQueue())

    def lengths_by_service(self) -> dict[str, int]:
        """Return the number of waiting requests of each service."""
        lengths: dict[str, int] = {}
        for (service, _), queue in self._queues.items():
            lengths[service] = lengths.get(service, 0) + len(queue)
        return lengths

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))
