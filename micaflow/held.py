"""The requests that a balancer holds, so that none of them is looked at without need.

An answer frees room for one or two of what may be thousands: to walk through all of them at each answer
makes a full house serve less than an empty one could. Requests of one sort stand in a line of their own,
the newest in front; a line is walked until the first that finds no host, as the others of its sort would
not either. What is due (a request may go anywhere from a time on, and is answered at another) stands on two
heaps.

Of one kind, those that may go anywhere come after those that still wait for their zone, who are newer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from heapq import heappop, heappush
from math import inf
from typing import Generic, Protocol, TypeVar


class Waiter(Protocol):
    """What is held."""

    kind: int  # its class
    hold_until: float  # then it is answered
    cross_at: float  # from then on it may go anywhere
    waiting: bool  # it is held
    held_as: int  # the number under which it is held: a place with another one is an old one
    stands_as: int  # the same for its place in a line


Sort = tuple[int, bool]
"""A kind, and whether those of it still wait for their own zone."""

W = TypeVar("W", bound=Waiter)


class Held(Generic[W]):
    """All that is held, by sort. Times are the caller's, in ms."""

    def __init__(self, kinds: int) -> None:
        """Begin with none, of so many kinds."""
        self._lines: dict[Sort, deque[tuple[int, W]]] = {
            (kind, near): deque() for kind in range(kinds) for near in (True, False)}
        self._ends: list[tuple[float, int, W]] = []
        self._crossings: list[tuple[float, int, W]] = []
        self.count = 0  # how many are held
        self._entries = 0

    def __len__(self) -> int:
        """How many are held."""
        return self.count

    def __iter__(self) -> Iterator[W]:
        """All that are held, by kind, and of each the newest first."""
        for line in self._lines.values():
            yield from (one for number, one in line if one.waiting and one.stands_as == number)

    def add(self, one: W, now: float) -> None:
        """Hold it, in front of its like."""
        self.count += 1
        self._entries += 1
        one.waiting, one.held_as = True, self._entries
        heappush(self._ends, (one.hold_until, self._entries, one))
        near = one.cross_at > now
        self._stand(one, near)
        if near:
            heappush(self._crossings, (one.cross_at, one.held_as, one))

    def _stand(self, one: W, near: bool) -> None:
        self._entries += 1
        one.stands_as = self._entries
        self._lines[one.kind, near].appendleft((self._entries, one))

    def remove(self, one: W) -> None:
        """Hold it no more; its places are cleared when they are next come by."""
        if one.waiting:
            one.waiting = False
            self.count -= 1

    def ended(self, now: float) -> list[W]:
        """Those whose time is over by now; they stay held until they are removed."""
        found, ends = list[W](), self._ends
        while ends and ends[0][0] <= now:
            _, number, one = heappop(ends)
            if one.waiting and one.held_as == number:
                found.append(one)
        return found

    def lines(self, now: float, kinds: Iterable[int]) -> Iterator[tuple[Sort, Iterator[W]]]:
        """The lines of these kinds that are not empty, in their order, each from its front.

        While a line is walked requests may be removed, but none added.
        """
        crossings = self._crossings
        while crossings and crossings[0][0] <= now:
            _, number, one = heappop(crossings)
            if one.waiting and one.held_as == number:
                self._stand(one, near=False)
        for kind, near in ((kind, near) for kind in kinds for near in (True, False)):
            line = self._lines[kind, near]
            while line and not (line[0][1].waiting and line[0][1].stands_as == line[0][0]):
                line.popleft()
            while line and not (line[-1][1].waiting and line[-1][1].stands_as == line[-1][0]):
                line.pop()
            if line:
                yield (kind, near), (one for number, one in line if one.waiting and one.stands_as == number)

    def next_at(self, now: float) -> float:
        """When the next of them may go anywhere or is answered, after `now`; infinity where none is.

        To be asked once those that are due by `now` have been taken care of.
        """
        for heap in (self._ends, self._crossings):
            while heap and (heap[0][0] <= now or not heap[0][2].waiting or heap[0][2].held_as != heap[0][1]):
                heappop(heap)
        return min((heap[0][0] for heap in (self._ends, self._crossings) if heap), default=inf)
