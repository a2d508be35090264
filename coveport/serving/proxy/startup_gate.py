"""Delays requests that come before the proxy knows a configuration and nodes.

A proxy that was just started receives both within a few hundred milliseconds, also where all coordinators
start with it. A client that is rejected meanwhile spends one of its few attempts; one that waits is served on
its first.
"""

from __future__ import annotations

import asyncio

from coveport.net.transport import Net
from coveport.serving.model.view import ControlView

MAX_WAIT_S = 0.5  # of one request: some latency targets are under a second; not measured
STARTUP_WINDOW_S = 2.0  # after that the coordinators are taken for unreachable; not measured


class StartupGate:
    """Opens for good when the first configuration and nodes are known."""

    def __init__(self, net: Net, view: ControlView) -> None:
        self._net = net
        self._view = view
        self._until_s = net.now_s() + STARTUP_WINDOW_S
        self._opened = asyncio.Event()
        view.listeners.append(self._open_if_known)

    def _open_if_known(self) -> None:
        if self._view.configuration is not None and self._view.nodes:
            self._opened.set()

    async def wait(self) -> None:
        """Return when the proxy can serve, or when the time for waiting is over."""
        now_s = self._net.now_s()
        until_s = min(now_s + MAX_WAIT_S, self._until_s)
        if self._opened.is_set() or now_s >= until_s:
            return
        try:
            async with asyncio.timeout(until_s - now_s):
                await self._opened.wait()
        except TimeoutError:
            return
