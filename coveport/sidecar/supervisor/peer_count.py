"""The number of instances that share the nodes, counted by their sessions in the store. Pure.

An increase counts at once, a decrease only after `retention_s` (the sessions' time to live): a count
that a peer has not updated yet is not too small, so the sum of all instances' quotas stays within the total.
The counts of two instances differ only until an update from the store reaches both.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class _Observation(NamedTuple):
    since: float
    sessions: int


class PeerCount:
    """The peer count of one instance: the maximum of the counts observed in the last `retention_s`.

    `minimum` applies also while no session count is known: it is the count in the platform file.
    """

    def __init__(self, retention_s: float, minimum: int = 1) -> None:
        self._retention_s = retention_s
        self._minimum = minimum
        self._observations: deque[_Observation] = deque()  # counts strictly decrease

    def observe(self, now: float, count: int) -> int:
        """Record the present number of sessions; return the count to use."""
        # Earlier observations that are not larger can no longer be the maximum. The new observation takes the
        # time of the earliest of them, because the larger counts before it ended then.
        since = now
        while self._observations and self._observations[-1].sessions <= count:
            since = self._observations.pop().since
        self._observations.append(_Observation(since, count))
        return self.count(now)

    def count(self, now: float) -> int:
        """Return the count to use now."""
        while len(self._observations) > 1 and now - self._observations[1].since >= self._retention_s:
            self._observations.popleft()
        return max(self._minimum, self._observations[0].sessions) if self._observations else self._minimum
