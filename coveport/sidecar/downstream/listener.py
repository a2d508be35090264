"""The listener: accepts clients, drains them, and closes their connections at a graceful shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport import balancing
from coveport.net.address import Address
from coveport.net.transport import Listening, Net
from coveport.sidecar.downstream.client_connection import ClientConnection
from coveport.sidecar.downstream.client_table import ClientTable
from coveport.sidecar.downstream.context import DownstreamContext, RequestClasses
from coveport.sidecar.downstream.limits import (
    ACCEPT_PENDING_S,
    ACCEPTS_PER_TURN,
    DRAIN_DELAY_S,
    MAX_PENDING_ACCEPTS,
)
from coveport.sidecar.downstream.operation_client import OperationClient
from coveport.sidecar.downstream.sweep_timer import SweepTimer
from coveport.sidecar.reducer.operation import Operation
from coveport.sidecar.reducer.streams import Budget
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log


class Listener:
    """Accepts clients and owns their connections; the callbacks are those of `DownstreamContext`."""

    def __init__(
        self,
        net: Net,
        counters: Counters,
        log: Log,
        classes: tuple[balancing.RequestClass, ...],
        *,
        max_clients: int,
        is_ready: Callable[[], bool],
        submit: Callable[[int, OperationClient, Operation], None],
        cancel: Callable[[int], None],
        on_upload_complete: Callable[[int, float], None],
        budget: Budget,
    ) -> None:
        self._net = net
        self._server: Listening | None = None
        self._drain_timer: asyncio.TimerHandle | None = None
        self.clients = ClientTable(net.now_s, max_clients)
        self.context = DownstreamContext(
            net,
            counters,
            log,
            budget,
            self.clients,
            SweepTimer(net, counters, self._sweep, self._accepts_pending),
            _by_name(classes),
            is_ready,
            submit,
            cancel,
            on_upload_complete,
        )

    def set_classes(self, classes: tuple[balancing.RequestClass, ...]) -> None:
        """Accept operations of these classes from now on."""
        self.context.classes = _by_name(classes)

    async def open(self, address: Address) -> int:
        """Listen, and return the port that was bound; raise OSError if listening fails."""
        self._server = await self._net.listen(
            lambda: ClientConnection(self.context),
            address,
            accepts_per_turn=ACCEPTS_PER_TURN,
            backlog=MAX_PENDING_ACCEPTS,
            shared=True,
        )
        return self._server.port

    def drain(self, *, on: bool) -> None:
        """Drain, or serve normally again; `on`: whether to drain.

        While draining, each request is served, and its connection is closed after the response. Idle
        connections are closed after a delay, in which load balancers stop opening new ones.
        """
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None
        self.context.is_draining = on
        self.context.keeps_idle = True
        if on:
            self._drain_timer = self._net.loop.call_later(DRAIN_DELAY_S, self._close_idle)

    def _close_idle(self) -> None:
        self.context.keeps_idle = False
        self._check_all()

    async def shut_down(self) -> None:
        """Stop accepting; close idle connections now, and each other connection after its response."""
        if self._server is not None:
            # Guards against losing connections that the system has accepted, but this process has not.
            end = self._net.now_s() + ACCEPT_PENDING_S
            await self._wait_for_accepts(self._server, end)
            self._server.close()
            # Connections that were accepted last are not yet in `clients`.
            await self._wait_for_accepts(self._server, end)
        self.context.is_closing = True
        self._check_all()

    async def _wait_for_accepts(self, server: Listening, end: float) -> None:
        # The system doesn't signal when the accept queue is empty, so there is no event to wait for.
        while not server.is_quiet and self._net.now_s() < end:  # noqa: ASYNC110
            await asyncio.sleep(0.001)

    def close(self) -> None:
        """Close all remaining connections."""
        self.context.sweep_timer.cancel()
        for client in self.clients:
            client.close()

    def _sweep(self) -> bool:
        """Check all clients; return whether there are any clients."""
        self._check_all()
        self.clients.trim_idle()  # done here too: no request triggers this if all clients are idle
        return len(self.clients) > 0

    def _check_all(self) -> None:
        now = self._net.now_s()
        for client in self.clients:
            client.check(now)

    def _accepts_pending(self) -> bool:
        return self._server is not None and not self._server.is_quiet


def _by_name(classes: tuple[balancing.RequestClass, ...]) -> RequestClasses:
    return {cls.name: (number, cls.effect) for number, cls in enumerate(classes)}
