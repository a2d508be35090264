"""How long a duty pauses after calls that the platform did not take. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import Final

MIN_BACKOFF_S: Final = 0.1  # a burst over the platform's rate is over
MAX_BACKOFF_S: Final = 1.0  # of the delay that a platform that is back still adds


@dataclass(slots=True)
class RetryBackoff:
    """Doubles with each failure in a row; one holder calls, so it needs no jitter."""

    min_s: float = MIN_BACKOFF_S
    max_s: float = MAX_BACKOFF_S
    _next_s: float = field(init=False)
    _until_s: float = field(init=False, default=-inf)

    def __post_init__(self) -> None:
        self._next_s = self.min_s

    def lasts(self, now_s: float) -> bool:
        """Return whether nothing may be called yet."""
        return now_s < self._until_s

    def record_failure(self, now_s: float) -> None:
        """Begin a pause."""
        self._until_s = now_s + self._next_s
        self._next_s = min(2 * self._next_s, self.max_s)

    def reset(self) -> None:
        """End the pause: the platform has answered, or another holder begins."""
        self._next_s = self.min_s
        self._until_s = -inf
