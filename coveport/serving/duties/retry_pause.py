"""Backoff between calls of a singleton task after calls that the platform did not accept. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import Final

MIN_BACKOFF_S: Final = 0.1  # after this time a burst above the platform's rate limit has ended
MAX_BACKOFF_S: Final = 1.0  # longest further delay after the platform has recovered


@dataclass(slots=True)
class RetryBackoff:
    """A backoff that doubles with each consecutive failure; without jitter, as only one coordinator calls."""

    min_s: float = MIN_BACKOFF_S
    max_s: float = MAX_BACKOFF_S
    _next_s: float = field(init=False)
    _until_s: float = field(init=False, default=-inf)

    def __post_init__(self) -> None:
        self._next_s = self.min_s

    def is_active(self, now_s: float) -> bool:
        """Return whether no call may be made yet."""
        return now_s < self._until_s

    def record_failure(self, now_s: float) -> None:
        """Start a backoff."""
        self._until_s = now_s + self._next_s
        self._next_s = min(2 * self._next_s, self.max_s)

    def reset(self) -> None:
        """End the backoff, after an answer of the platform or with a new lease owner."""
        self._next_s = self.min_s
        self._until_s = -inf
