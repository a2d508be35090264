"""The program's clock: monotonic, set once to Unix time to be comparable with endpoints' `born_ms`."""

from __future__ import annotations

from coveport.net.transport import Net


class Clock:
    """A clock that starts at Unix time in milliseconds and is monotonic from then on."""

    def __init__(self, net: Net) -> None:
        self._now_s = net.now_s
        self._offset_ms = (net.unix_s() - net.now_s()) * 1000

    def now_ms(self) -> float:
        """Return the time in milliseconds."""
        return self._now_s() * 1000 + self._offset_ms
