"""The one clock: monotonic, set once to Unix time so that it agrees with `born_ms`."""

from __future__ import annotations

import time


class Clock:
    """Unix milliseconds at the start, monotonic from there on."""

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000 - time.monotonic() * 1000

    def now_ms(self) -> float:
        """The time in milliseconds."""
        return time.monotonic() * 1000 + self._offset_ms
