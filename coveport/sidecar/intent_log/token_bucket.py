"""Limits how many records are taken over per second.

The module is pure: it does no I/O, and uses no clock or random source of its own.
"""

from __future__ import annotations

_BUSY_RATE_FACTOR = 1 / 4  # factor of the rate while the instance's own operations wait


class TokenBucket:
    """Rate limit: `rate_per_s`, a quarter of that while the instance is busy, and bursts of `burst`."""

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = float(burst)
        self._tokens = float(burst)
        self._refilled_s = 0.0

    def wait_s(self, now_s: float, busy: bool) -> float:
        """Spend a token and return 0; without one, return the seconds until a token is available."""
        rate_per_s = self._rate_per_s * _BUSY_RATE_FACTOR if busy else self._rate_per_s
        refill = max(0.0, now_s - self._refilled_s) * rate_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / rate_per_s
