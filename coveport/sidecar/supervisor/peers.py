"""How many share the nodes, by who has a session. Pure.

One that comes counts at once, one that goes only after a time to live: whoever is still at work with the old
count had it told when there were more, so its share is not larger than what all together may have. Two
instances' counts part for no longer than news takes from the store.
"""

from __future__ import annotations

from collections import deque


class Peers:
    """The count that one instance goes by. `least`: what the platform's file says where nobody is told of."""

    def __init__(self, hold_s: float, least: int = 1) -> None:
        self._hold_s = hold_s
        self._least = least
        self._told: deque[tuple[float, int]] = deque()  # when, and how many; counts that may still be used

    def told(self, now: float, count: int) -> int:
        """So many have a session now; how many to go by."""
        # What is smaller and older than this one can't be the most any more; it told since when the larger
        # ones before it have not stood.
        since = now
        while self._told and self._told[-1][1] <= count:
            since = self._told.pop()[0]
        self._told.append((since, count))
        return self.count(now)

    def count(self, now: float) -> int:
        """How many to go by now."""
        while len(self._told) > 1 and now - self._told[1][0] >= self._hold_s:
            self._told.popleft()  # the next one has stood for long enough
        return max(self._least, self._told[0][1]) if self._told else self._least

    def next_at(self) -> float | None:
        """When it changes by itself; None: it does not."""
        return self._told[1][0] + self._hold_s if len(self._told) > 1 else None
