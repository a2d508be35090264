"""Limits the log lines about rejected messages, by this program or by a peer, to one a minute for each peer.

The connection to a peer with unreadable messages is opened again several times a second, by either side.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

LOG_INTERVAL_S: Final = 60.0


class RejectionThrottle:
    """Stores the time at which a rejection of each peer was last logged."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        """Create a throttle with the clock `now_s`, in seconds."""
        self._now_s = now_s
        self._logged_at_s: dict[str, float] = {}  # time of the last log line, by IP address

    def should_log(self, host: str) -> bool:
        """Return whether to log a rejection of the peer at an IP address; if so, record the present time."""
        now_s = self._now_s()
        self._logged_at_s = {
            logged_host: at_s
            for logged_host, at_s in self._logged_at_s.items()
            if now_s - at_s < LOG_INTERVAL_S
        }
        if host in self._logged_at_s:
            return False
        self._logged_at_s[host] = now_s
        return True
