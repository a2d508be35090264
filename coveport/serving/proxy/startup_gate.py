"""Delays requests that arrive before the proxy has a configuration and nodes.

A proxy receives both within a few hundred milliseconds of its start, even if all coordinators start at the
same time. A client that is rejected meanwhile uses up one of its few attempts; a client that waits is served
on its first attempt.
"""

from __future__ import annotations

import asyncio

from coveport.net.transport import Net
from coveport.serving.model.view import ControlView

MAX_WAIT_S = 0.5  # maximum wait of a request; short because some latency targets are below a second
STARTUP_WINDOW_S = 2.0  # after this time the coordinators are assumed to be unreachable


class StartupGate:
    """A gate that opens permanently when the first configuration and nodes have been received."""

    def __init__(self, net: Net, view: ControlView) -> None:
        self._net = net
        self._view = view
        self._window_end_s = net.now_s() + STARTUP_WINDOW_S
        self._opened = asyncio.Event()
        view.listeners.append(self._open_if_known)

    def _open_if_known(self) -> None:
        if self._view.configuration is not None and self._view.nodes:
            self._opened.set()

    async def wait(self) -> None:
        """Return when the proxy can serve, or when the maximum wait has passed."""
        now_s = self._net.now_s()
        deadline_s = min(now_s + MAX_WAIT_S, self._window_end_s)
        if self._opened.is_set() or now_s >= deadline_s:
            return
        try:
            async with asyncio.timeout(deadline_s - now_s):
                await self._opened.wait()
        except TimeoutError:
            return
