"""Subscribes a proxy to updates: polls a coordinator with the proxy's versions, or another if that one fails.

Each request renews the proxy's lease. While no coordinator answers, the proxy keeps its current view.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

from coveport.net.address import parse_address
from coveport.net.transport import Net
from coveport.serving.log import EventLogger
from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.coordinator_selection import CoordinatorSelector
from coveport.serving.proxy.telemetry_reporter import TelemetryReporter
from coveport.serving.proxy.view_updater import ViewUpdater
from coveport.serving.wire.connection import Connection, connect
from coveport.serving.wire.errors import RemoteProtocolError
from coveport.serving.wire.messages import Message, Unsubscribe, Update, UpdateRequest
from coveport.serving.wire.rejection_throttle import RejectionThrottle

CONNECT_TIMEOUT_S = 0.5  # long enough for a round trip between regions and one retransmission
ANSWER_TIMEOUT_S = 1.2  # time without any byte; a live coordinator answers within 0.4 s
MIN_BACKOFF_S = 0.05  # first backoff after a round without any answer; doubles in each further round
MAX_BACKOFF_S = 0.25  # limits, together with the jitter, the time until a new primary is found


@dataclass(frozen=True, slots=True)
class SelfReports:
    """The reports on a proxy that go with its requests for updates."""

    make_lease: Callable[[int], ProxyLease]  # called with the request number
    telemetry: TelemetryReporter | None = None  # None: usage is not reported


class Subscription:
    """The requests of one proxy for updates."""

    def __init__(
        self,
        net: Net,
        view: ControlView,
        selector: CoordinatorSelector,
        reports: SelfReports,
        log: EventLogger,
        random: Random,
    ) -> None:
        self._net = net
        self._selector = selector
        self._reports = reports
        self._log = log
        self._random = random
        self._updater = ViewUpdater(view, log)
        self._rejections = RejectionThrottle(net.now_s)
        self._updates: asyncio.Queue[Update] = asyncio.Queue()
        self._request_number = 0
        self._task: asyncio.Task[None] | None = None
        self._answered_at_s = -inf  # time of the last answer by a coordinator with a quorum

    def start(self) -> None:
        """Start to poll coordinators."""
        self._task = self._net.loop.create_task(self._run())

    def stop(self) -> None:
        """Stop polling, and let the lease expire."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            previous_answer_at_s = self._answered_at_s
            for address in self._selector.by_preference(self._net.now_s()):
                await self._poll(address)
                if self._answered_at_s > previous_answer_at_s:
                    break
            # A proxy without a control state can't serve clients, so it polls again without a backoff.
            resets_backoff = self._answered_at_s > previous_answer_at_s or not self._updater.has_state
            backoff_s = MIN_BACKOFF_S if resets_backoff else min(2 * backoff_s, MAX_BACKOFF_S)
            await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.5))

    async def _poll(self, address: str) -> None:
        """Poll one coordinator until it fails, and switch to nearer ones when they become known."""
        connection = await self._connect(address)
        while connection is not None:
            nearer = await self._poll_until_failure(connection, address)
            if nearer is None:
                self._selector.record_failure(address, self._net.now_s())
                connection.abort()
                return
            nearer_connection = await self._connect(nearer)
            if nearer_connection is not None:
                connection.send(Unsubscribe())
                connection.close()
                connection = nearer_connection
                address = nearer

    async def _connect(self, address: str) -> Connection | None:
        connection = await connect(
            self._net,
            parse_address(address),
            self._on_message,
            CONNECT_TIMEOUT_S,
            on_protocol_error=self._on_protocol_error,
        )
        if connection is None:
            self._selector.record_failure(address, self._net.now_s())
        return connection

    async def _poll_until_failure(self, connection: Connection, address: str) -> str | None:
        """Poll on one connection; return a nearer coordinator to switch to, or None after a failure."""
        while not self._updates.empty():
            self._updates.get_nowait()
        if self._reports.telemetry is not None:
            self._reports.telemetry.begin_connection()
        deregistered = self._updater.recently_deregistered(self._net.now_s())
        while connection.is_open:
            self._request_number += 1
            connection.send(self._request(deregistered))
            deregistered = ()
            update = await self._wait_for_update(connection)
            if update is None:
                self._log.warning("coordinator_timed_out", coordinator=address)
                return None
            self._apply(update)
            if self._updater.needs_full_state and update.state is not None:
                return None  # this coordinator's state can't be decoded
            if not update.has_quorum:
                self._log.debug("coordinator_without_quorum", coordinator=address)
                return None
            nearer = self._selector.nearer_than(address, self._net.now_s())
            if nearer is not None:
                return nearer
        return None

    def _request(self, deregistered: tuple[str, ...]) -> UpdateRequest:
        lease = self._reports.make_lease(self._request_number)
        reporter = self._reports.telemetry
        telemetry = reporter.next_report() if reporter is not None else None
        return self._updater.request(lease, self._request_number, deregistered, telemetry)

    async def _wait_for_update(self, connection: Connection) -> Update | None:
        """Return the answer to the current request; None after `ANSWER_TIMEOUT_S` without any byte."""
        while True:
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    return await self._next_update()
            except TimeoutError:
                if self._net.now_s() - connection.last_received_s >= ANSWER_TIMEOUT_S:
                    return None

    async def _next_update(self) -> Update:
        while True:
            update = await self._updates.get()
            if update.request_number == self._request_number:
                return update

    def _on_message(self, connection: Connection, message: Message) -> None:
        if isinstance(message, Update):
            self._updates.put_nowait(message)

    def _on_protocol_error(self, connection: Connection, error: RemoteProtocolError) -> None:
        if self._rejections.should_log(connection.peer_host):
            self._log.error("frame_rejected", sender=connection.peer_host, error=str(error))

    def _apply(self, update: Update) -> None:
        now_s = self._net.now_s()
        if update.has_quorum:
            self._answered_at_s = now_s
        if update.coordinators:
            self._selector.update_endpoints(update.coordinators)
        self._updater.apply(update, now_s)
