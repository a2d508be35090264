"""Limits the log lines about a peer whose messages can't be read, or that can't read ours, to one a minute.

Such a peer dials, or is dialed, again several times a second.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

LOG_INTERVAL_S: Final = 60.0


class RejectionThrottle:
    """Owns when each peer was last logged."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        """`now_s`: the clock, in seconds."""
        self._now_s = now_s
        self._logged_at_s: dict[str, float] = {}  # by IP address

    def should_log(self, host: str) -> bool:
        """Return whether a rejection of the peer at an IP address is to be logged; it counts as logged."""
        now_s = self._now_s()
        self._logged_at_s = {
            known: at_s for known, at_s in self._logged_at_s.items() if now_s - at_s < LOG_INTERVAL_S
        }
        if host in self._logged_at_s:
            return False
        self._logged_at_s[host] = now_s
        return True
