"""The requests that a balancer holds, none looked at without need: an answer makes room for few of thousands.

Those of one sort stand in a line, the newest in front, walked until the first that finds no host, as others
would not either; those of a kind that may go anywhere come after its others. Two heaps tell what is due.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from math import inf
from typing import Generic, TypeVar


class Waiter:
    """What is held. A place under another number than its own is an old one."""

    kind: str  # its class
    hold_until: float  # then it is answered
    cross_at: float  # from then on it may go anywhere
    waiting, held_as, stands_as = False, 0, 0  # whether it is held; its number on the heaps and in its line


W = TypeVar("W", bound=Waiter)


class Held(Generic[W]):
    """All that is held, by sort: a kind, and whether it waits for its own zone. Times in ms."""

    def __init__(self) -> None:
        self._lines = dict[tuple[str, bool], deque[tuple[int, W]]]()
        self._ends = list[tuple[float, int, W]]()
        self._crossings = list[tuple[float, int, W]]()
        self.count = self._entries = 0  # how many are held

    def __iter__(self) -> Iterator[W]:
        return (
            one
            for line in self._lines.values()
            for number, one in line
            if one.waiting and one.stands_as == number
        )

    def add(self, one: W, now: float) -> None:
        """Hold it, in front of its like."""
        self.count += 1
        self._stand(one, one.cross_at > now)
        one.waiting, one.held_as = True, one.stands_as
        heappush(self._ends, (one.hold_until, one.held_as, one))
        if one.cross_at > now:
            heappush(self._crossings, (one.cross_at, one.held_as, one))

    def _stand(self, one: W, near: bool) -> None:
        self._entries += 1
        one.stands_as = self._entries
        self._lines.setdefault((one.kind, near), deque()).appendleft((self._entries, one))

    def remove(self, one: W) -> None:
        """Hold it no more; its places are cleared when they are next come by."""
        self.count -= one.waiting
        one.waiting = False
        if not self.count:  # nothing of a class that is gone stays behind
            self._lines = {}
            self._ends = []
            self._crossings = []

    def ended(self, now: float) -> list[W]:
        """Those whose time is over by now; they stay held until they are removed."""
        return list(self._due(self._ends, now))

    @staticmethod
    def _due(heap: list[tuple[float, int, W]], now: float) -> Iterator[W]:
        while heap and heap[0][0] <= now:
            _, number, one = heappop(heap)
            if one.waiting and one.held_as == number:
                yield one

    def lines(self, now: float, rank: Callable[[W], float]) -> Iterator[tuple[tuple[str, bool], Iterator[W]]]:
        """The lines by the rank of their front, each from there; while one is walked none may be added."""
        for one in self._due(self._crossings, now):
            self._stand(one, near=False)
        # Equals go by which line stood first: a name must not decide.
        order = sorted(
            ((rank(line[0][1]), not near, kind, line) for (kind, near), line in self._lines.items() if line),
            key=lambda row: row[:2],
        )
        for _, far, kind, line in order:
            for end, pop in ((0, line.popleft), (-1, line.pop)):
                while line and not (line[end][1].waiting and line[end][1].stands_as == line[end][0]):
                    pop()
            if line:
                yield (kind, not far), (one for at, one in line if one.waiting and one.stands_as == at)

    def next_at(self, now: float) -> float:
        """When the next may go anywhere or is answered, past what is due by now; infinity where none is."""
        for heap in (self._ends, self._crossings):
            while heap and (heap[0][0] <= now or not heap[0][2].waiting or heap[0][2].held_as != heap[0][1]):
                heappop(heap)
        return min((heap[0][0] for heap in (self._ends, self._crossings) if heap), default=inf)
