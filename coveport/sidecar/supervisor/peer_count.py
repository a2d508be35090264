"""How many instances share the nodes, from the sessions in the store. Pure.

An increase counts at once, a decrease only after `retention_s` (the sessions' time to live): a peer that
still uses an older count uses one that is not too small, so the quotas of all together stay within the whole.
The counts of two instances differ for no longer than an update takes from the store.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class _Observation(NamedTuple):
    since: float
    sessions: int


class PeerCount:
    """The count that one instance uses: the maximum of those observed in the last `retention_s`.

    `minimum` applies also while no session count is known: it is the platform file's count.
    """

    def __init__(self, retention_s: float, minimum: int = 1) -> None:
        self._retention_s = retention_s
        self._minimum = minimum
        self._observations: deque[_Observation] = deque()  # counts strictly decrease

    def observe(self, now: float, count: int) -> int:
        """Take note of the present number of sessions; return the count to use."""
        # Older observations that are not larger can't be the maximum any more. The new one has held since the
        # first of them: since then the larger ones before it have not.
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
