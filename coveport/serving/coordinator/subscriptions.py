"""Proxies' subscriptions by long polling: a request is answered after a change, or after a time-out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from coveport.net.transport import Net
from coveport.serving.coordinator.state_history import StateHistory
from coveport.serving.coordinator.update_cache import CurrentVersions, RequestedVersions, UpdateCache
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.view import INITIAL_MAX_PROXIES
from coveport.serving.wire.connection import Connection
from coveport.serving.wire.messages import CoordinatorEndpoint, Update, UpdateRequest
from coveport.serving.wire.shared_update import SharedUpdate

# A request is answered after this time also without a change. The proxy's next request renews the proxy's
# lease.
POLL_TIMEOUT_S: Final = 0.4
NO_VERSION: Final = -1  # version of a node table or state that a proxy doesn't have


class CoordinatorStatus(Protocol):
    """The status of a coordinator that each update contains."""

    def has_quorum(self) -> bool:
        """Return whether the coordinator is connected to a majority of the core's members."""

    def knows_all_nodes(self) -> bool:
        """Return whether the quorum has lasted so long that a report of every live node has arrived."""

    def live_coordinators(self) -> tuple[CoordinatorEndpoint, ...]:
        """Return the live coordinators, including this coordinator."""


@dataclass(slots=True)
class _PendingRequest:
    connection: Connection
    request: UpdateRequest
    timer: asyncio.TimerHandle


class Subscriptions:
    """Owns the pending update requests, at most one for each connection."""

    def __init__(
        self,
        net: Net,
        table: NodeTable,
        table_id: str,
        leases: LeaseTable,
        history: StateHistory,
        status: CoordinatorStatus,
        on_lease_changed: Callable[[], None],
    ) -> None:
        """Create an empty set of subscriptions.

        `table_id`: identifies the node table of one incarnation of a coordinator; revisions of different
        tables are not comparable. `on_lease_changed`: called after a change of a proxy's lease that
        clients' look-ups should reflect at once.
        """
        self._net = net
        self._table = table
        self._table_id = table_id
        self._leases = leases
        self._history = history
        self._status = status
        self._on_lease_changed = on_lease_changed
        self._pending: dict[Connection, _PendingRequest] = {}
        self._is_answer_scheduled = False
        self._cache = UpdateCache()

    def receive(self, connection: Connection, request: UpdateRequest) -> None:
        """Renew the proxy's lease, and answer its request now or later."""
        if self._leases.renew(request.lease, self._net.now_s(), local=True):
            self._on_lease_changed()
        timer = self._net.loop.call_later(POLL_TIMEOUT_S, self._answer, connection)
        self._pending[connection] = _PendingRequest(connection, request, timer)
        if self._needs_answer(request):
            self._answer(connection)

    def unsubscribe(self, connection: Connection) -> None:
        """Drop the request of a proxy that now subscribes at another coordinator; its lease stays."""
        pending = self._pending.pop(connection, None)
        if pending is not None:
            pending.timer.cancel()

    def connection_lost(self, connection: Connection) -> None:
        """Drop the request of a disconnected proxy and end its lease: the proxy was most likely killed."""
        pending = self._pending.pop(connection, None)
        if pending is None:
            return
        pending.timer.cancel()
        self._leases.release(pending.request.lease)

    def notify(self) -> None:
        """Answer the pending requests, after all changes of this iteration of the event loop are applied."""
        if not self._is_answer_scheduled:
            self._is_answer_scheduled = True
            self._net.loop.call_soon(self._answer_all)

    def _answer_all(self) -> None:
        self._is_answer_scheduled = False
        for pending in list(self._pending.values()):
            if self._needs_answer(pending.request):
                self._answer(pending.connection)

    def _needs_answer(self, request: UpdateRequest) -> bool:
        """Return whether the proxy lacks a change, or should subscribe at another coordinator."""
        has_quorum = self._status.has_quorum()
        have_both_just_started = request.state_sequence < 0 and self._history.sequence < 0
        if have_both_just_started and not has_quorum:
            return False  # at the start of the whole system no other coordinator has the first state earlier
        return (
            request.table_id != self._table_id
            or request.node_revision < self._table.revision
            or request.state_sequence < self._history.sequence
            or not has_quorum
        )

    def _answer(self, connection: Connection) -> None:
        pending = self._pending.pop(connection, None)
        if pending is None:
            return
        pending.timer.cancel()
        request = pending.request
        max_proxies = self._max_proxies()
        frame = self._shared_update(request).frame(request.request_number, max_proxies)
        connection.send_frame(Update, frame)

    def _max_proxies(self) -> int:
        """Return the upper limit on the number of proxies.

        Until this coordinator has reports of all nodes, return 0 (unknown) unless the limit exceeds the limit
        that proxies start with.
        """
        max_proxies = self._leases.max_proxies()
        return max_proxies if self._status.knows_all_nodes() or max_proxies > INITIAL_MAX_PROXIES else 0

    def _shared_update(self, request: UpdateRequest) -> SharedUpdate:
        node_revision = request.node_revision if request.table_id == self._table_id else NO_VERSION
        requested = RequestedVersions(node_revision, request.state_sequence)
        current = self._current_versions()
        now_s = self._net.now_s()
        cached = self._cache.find(requested, current, now_s)
        return cached or self._cache.add(requested, self._make_update(requested, current, now_s), now_s)

    def _current_versions(self) -> CurrentVersions:
        return CurrentVersions(
            self._status.has_quorum(),
            self._status.knows_all_nodes(),
            self._table.revision,
            self._history.sequence,
            self._status.live_coordinators(),
        )

    def _make_update(self, requested: RequestedVersions, current: CurrentVersions, now_s: float) -> Update:
        """Create an update without request number and `max_proxies`, which are filled in for each proxy."""
        nodes = self._table.changes_since(requested.node_revision, now_s)
        changes = self._history.changes_since(requested.state_sequence)
        return Update(
            request_number=0,
            has_quorum=current.has_quorum,
            knows_all_nodes=current.knows_all_nodes,
            table_id=self._table_id,
            node_revision=nodes.revision,
            is_full_table=nodes.is_complete,
            nodes=nodes.nodes,
            removed=nodes.removed,
            deregistered=nodes.deregistered,
            state_sequence=current.state_sequence,
            state=self._history.encoded_state if changes is None else None,
            changes=changes or (),
            coordinators=current.coordinators,
            max_proxies=0,
        )
