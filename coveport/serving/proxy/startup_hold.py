"""Requests that come before the proxy knows a configuration and nodes wait for them a moment.

A proxy that was just started is told within a few hundred milliseconds, also where the whole core starts with
it. A client that is refused meanwhile spends one of its few tries; one that waits is served on its first.
"""

from __future__ import annotations

import asyncio

from coveport.net.transport import Net
from coveport.serving.model.view import ControlView

HOLD_S = 0.5  # one request, at the most
AFTER_START_S = 2.0  # nobody is held any more: the core is out of reach


class StartupHold:
    """Ends for good when the first configuration and nodes are known."""

    def __init__(self, net: Net, view: ControlView) -> None:
        self._net = net
        self._view = view
        self._until_s = net.now_s() + AFTER_START_S
        self._is_over = asyncio.Event()
        view.listeners.append(self._look)

    def _look(self) -> None:
        if self._view.configuration is not None and self._view.nodes:
            self._is_over.set()

    async def wait(self) -> None:
        """Return when the proxy can serve, or when waiting is no use."""
        now_s = self._net.now_s()
        until_s = min(now_s + HOLD_S, self._until_s)
        if self._is_over.is_set() or now_s >= until_s:
            return
        try:
            async with asyncio.timeout(until_s - now_s):
                await self._is_over.wait()
        except TimeoutError:
            return
