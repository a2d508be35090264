"""Accepts client connections, and drains them when the proxy stops."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from coveport import http1
from coveport.net.address import Address
from coveport.net.transport import Listening, Net
from coveport.serving.model.configuration import ClientLimits
from coveport.serving.proxy.client_connection import ClientConnection
from coveport.serving.resource_budget import ResourceBudget

MAX_ACCEPTS_PER_TURN = 64  # a burst of connects must not delay requests in flight
ACCEPT_BACKLOG = 512  # connections queued in the kernel
DRAIN_ACCEPT_S = 1.0  # clients that have not yet learned of the stop still connect for this long
DRAIN_POLL_S = 0.05  # interval of the checks for open connections; the stop is delayed by at most this time

RequestHandler = Callable[[http1.Request, ClientConnection], Coroutine[Any, Any, None]]


class ClientListener:
    """Owns the listening socket and the client connections."""

    def __init__(
        self, net: Net, handle: RequestHandler, limits: Callable[[], ClientLimits], budget: ResourceBudget
    ) -> None:
        """Create a listener that does not listen yet.

        `handle` responds to one request; `limits` returns the limits of the active configuration; `budget` is
        that of the process.
        """
        self._net = net
        self.budget = budget
        self._limits = limits
        self._connections: set[ClientConnection] = set()
        self._listening: Listening | None = None
        self.handle = handle
        self.is_draining = False

    def __len__(self) -> int:
        return len(self._connections)

    async def start(self, address: Address) -> None:
        """Listen for clients.

        Raises:
            OSError: listening on the address failed.

        """
        self._listening = await self._net.listen(
            lambda: ClientConnection(self._net, self, self._limits),
            address,
            accepts_per_turn=MAX_ACCEPTS_PER_TURN,
            backlog=ACCEPT_BACKLOG,
        )

    def add_connection(self, connection: ClientConnection) -> None:
        """Add a new connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def apply_limits(self) -> None:
        """Apply the limits of a new configuration to the open connections."""
        for connection in list(self._connections):
            connection.apply_limits()

    async def drain(self, until_s: float) -> None:
        """Respond to accepted requests, and stop accepting connections after `DRAIN_ACCEPT_S`.

        Return when no connection is left, at `until_s` (monotonic) at the latest.
        """
        self.is_draining = True
        accepts_until_s = min(until_s, self._net.now_s() + DRAIN_ACCEPT_S)
        await self._sleep_until(accepts_until_s)
        if self._listening is not None:
            self._listening.close()
        while self._net.now_s() < until_s and self._connections:
            for connection in list(self._connections):
                if connection.is_idle:
                    connection.close_idle()
            await self._sleep_until(min(until_s, self._net.now_s() + DRAIN_POLL_S))

    async def _sleep_until(self, until_s: float) -> None:
        await asyncio.sleep(max(0.0, until_s - self._net.now_s()))
