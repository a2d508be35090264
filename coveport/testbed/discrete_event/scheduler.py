"""What is to be done when, on bare ground, and the ways that messages take. One heap, no processes.

All times are ms since the day began. Equal times are dealt with in the order in which they were entered, so a
day is the same each time it is played.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from typing import Any

from coveport.testbed.network_model import Ways

Do = Callable[..., Any]


class Entry:
    """Something to be done; `do` is None once it has been called off."""

    __slots__ = ("args", "do")

    def __init__(self, do: Do | None, args: tuple[Any, ...]) -> None:
        self.do = do
        self.args = args


class Agenda:
    """Time, and what is due."""

    def __init__(self, ways: Ways, begin: float = 0.0) -> None:
        self.now = begin
        self._heap: list[tuple[float, int, Entry]] = []
        self._entries = 0
        self._ways = ways
        self._held: list[tuple[int, int, Do, tuple[Any, ...]]] = []  # messages that a cut keeps
        ways.on_open(self._opened)

    def at(self, when: float, do: Do, *args: Any) -> Entry:
        """Do it then, or now where that has passed."""
        entry = Entry(do, args)
        self._entries += 1
        heappush(self._heap, (when if when > self.now else self.now, self._entries, entry))
        return entry

    def travel(self, one: int, other: int, do: Do, *args: Any) -> None:
        """A message between two zones: done once it has come; a cut keeps it until it is taken back."""
        if self._ways.held(one, other):
            self._held.append((one, other, do, args))
        else:
            self.at(self.now + self._ways.delay_ms(one, other), do, *args)

    def _opened(self) -> None:
        held, self._held = self._held, []
        for one, other, do, args in held:
            self.travel(one, other, do, *args)

    @property
    def next_at(self) -> float:
        """When something is due next; infinity for never."""
        while self._heap and self._heap[0][2].do is None:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else inf

    def run(self, until: float) -> None:
        """Do all that is due by then."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            when, _, entry = heappop(heap)
            if entry.do is not None:
                self.now = when
                do, entry.do = entry.do, None
                do(*entry.args)
        self.now = max(self.now, until)
