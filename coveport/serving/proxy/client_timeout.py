"""The time-out of a client connection, which follows the limits of the newest configuration.

A connection waits for one thing at a time. The time-out counts from the beginning of that wait; when a
configuration changes its limit, the rest of it is computed anew.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto

from coveport.net.transport import Net
from coveport.serving.model.configuration import ClientLimits


class ClientWait(Enum):
    """What a connection waits for, for as long as a limit of the configuration allows."""

    REQUEST = auto()  # the first byte of the next request
    HEAD = auto()  # the rest of a head
    BODY = auto()  # further bytes of a body
    READER = auto()  # that the client reads the response


class ClientTimeout:
    """The running time-out of one connection."""

    def __init__(
        self, net: Net, limits: Callable[[], ClientLimits], on_timeout: Callable[[ClientWait], None]
    ) -> None:
        """Create a time-out that is not running.

        `limits` returns the limits in force; `on_timeout` is called with the wait that took too long.
        """
        self._net = net
        self._limits = limits
        self._on_timeout = on_timeout
        self._wait: ClientWait | None = None  # None: no wait with a limit of the configuration
        self._began_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, wait: ClientWait) -> None:
        """Count the time for a wait from now on."""
        self.stop()
        self._wait = wait
        self._began_s = self._net.now_s()
        self._schedule(wait)

    def begin_head(self) -> None:
        """Count the time for a head, unless it is being counted: further bytes of a head don't extend it."""
        if self._wait is not ClientWait.HEAD:
            self.begin(ClientWait.HEAD)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` after a time that no configuration changes, instead of the running time-out."""
        self.stop()
        self._timer = self._net.loop.call_later(delay_s, callback)

    def apply_limits(self) -> None:
        """Compute the rest of the running time-out by the limits that are now in force."""
        if self._wait is not None:
            self._cancel_timer()
            self._schedule(self._wait)

    def stop(self) -> None:
        """Cancel what is running."""
        self._wait = None
        self._cancel_timer()

    def close(self) -> None:
        """Cancel what is running, for good; no cycle of references then delays the connection's release."""
        self.stop()
        self._on_timeout = _ignore

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, wait: ClientWait) -> None:
        limits = self._limits()
        limit_ms = limits.header_read_ms if wait is ClientWait.HEAD else limits.idle_ms
        left_s = max(0.0, self._began_s + limit_ms / 1000 - self._net.now_s())
        self._timer = self._net.loop.call_later(left_s, self._expire, wait)

    def _expire(self, wait: ClientWait) -> None:
        self.stop()
        self._on_timeout(wait)


def _ignore(_: ClientWait) -> None:
    """Do nothing: the connection has ended."""
