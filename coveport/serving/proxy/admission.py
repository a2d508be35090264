"""Admission control: requests that find no node to use now wait in a bounded priority queue. Pure.

They wait only while a response within the route's latency target is still possible, and at most a fifth of
it; after that they are rejected, so that the client knows at once. There is one queue for each service and
set of home regions, so that none waits behind a request for which there is no capacity elsewhere. Nobody
waits while a usable node has capacity.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from coveport.serving.model.configuration import Route

MAX_QUEUED_REQUESTS = 256  # bounds memory and the length of a search for the last; not measured
MAX_WAIT_TARGET_RATIO = 0.2  # a rejection after a quarter of the target counts as late; not measured
MAX_WAIT_S = 0.5  # for long targets: a client can retry elsewhere meanwhile; not measured
MAX_WAIT_WITHOUT_TARGET_S = 0.2  # for routes that have no target; not measured


def max_wait_s(route: Route) -> float:
    """Return how many seconds a request of this route may wait for capacity."""
    if route.latency_target_ms <= 0:
        return MAX_WAIT_WITHOUT_TARGET_S
    return min(MAX_WAIT_S, MAX_WAIT_TARGET_RATIO * route.latency_target_ms / 1000)


@dataclass(order=True, slots=True)
class QueuedRequest:
    """A request that waits: ordered by priority (lowest number first), then by arrival."""

    priority: int
    number: int
    wake: Callable[[], None] = field(compare=False)  # called when it becomes first, or is removed
    is_removed: bool = field(compare=False, default=False)


@dataclass(slots=True)
class AdmissionQueue:
    """The waiting requests, in the order in which they are admitted."""

    max_length: int = MAX_QUEUED_REQUESTS
    _heap: list[QueuedRequest] = field(default_factory=list)  # removed ones are dropped when they come first
    _numbers: count[int] = field(default_factory=count)
    _length: int = 0

    def __len__(self) -> int:
        return self._length

    def enqueue(self, priority: int, wake: Callable[[], None]) -> QueuedRequest | None:
        """Add a request; None where the queue is full of requests of the same or a higher priority.

        Where the queue is full otherwise, the last of those of lower priority is removed and woken.
        """
        if self._length >= self.max_length:
            last = max(queued for queued in self._heap if not queued.is_removed)
            if last.priority <= priority:
                return None
            self.remove(last)
            last.wake()
        queued = QueuedRequest(priority, next(self._numbers), wake)
        heapq.heappush(self._heap, queued)
        self._length += 1
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request, and wake the one that becomes first. Does nothing where it was removed before."""
        if queued.is_removed:
            return
        was_first = self.is_first(queued)
        queued.is_removed = True
        self._length -= 1
        if was_first and (following := self._first()) is not None:
            following.wake()

    def is_first(self, queued: QueuedRequest) -> bool:
        """Return whether the request is the next to be admitted."""
        return self._first() is queued

    def _first(self) -> QueuedRequest | None:
        while self._heap and self._heap[0].is_removed:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None


@dataclass(slots=True)
class AdmissionQueues:
    """The queues by service and home regions."""

    _queues: dict[tuple[str, frozenset[str]], AdmissionQueue] = field(default_factory=dict)

    def queue_for(self, service: str, home_regions: frozenset[str]) -> AdmissionQueue:
        """Return the queue of requests that may go to the same nodes."""
        return self._queues.setdefault((service, home_regions), AdmissionQueue())

    def lengths_by_service(self) -> dict[str, int]:
        """Return how many requests wait for nodes of each service."""
        lengths: dict[str, int] = {}
        for (service, _), queue in self._queues.items():
            lengths[service] = lengths.get(service, 0) + len(queue)
        return lengths

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))
