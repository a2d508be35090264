"""Answers proxies that ask for updates: at once where there is news, after a while otherwise."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from coveport.net.transport import Net
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.membership.node_table import NodeTable, TableChanges
from coveport.serving.wire.connection import Connection
from coveport.serving.wire.messages import CoordinatorEndpoint, StateChange, Update, UpdateRequest
from coveport.serving.wire.shared_update import SharedUpdate

HOLD_S = 0.4  # an ask without news is answered after so long; the next one renews the lease
SHARED_S = 0.25  # proxies that ask within this are told the same, times that remain included ...
SHARED_LEAVING_S = 0.05  # ... or within this, where one of the nodes says when it will be gone
CHANGES_KEPT = 64  # commands from which differences are told; further back the whole state is


class Standing(Protocol):
    """What a coordinator says of itself in each answer."""

    def is_connected(self) -> bool:
        """Whether it is in touch with a majority of the core."""

    def is_settled(self) -> bool:
        """Whether it has been so for long enough to know every node."""

    def coordinators(self) -> tuple[CoordinatorEndpoint, ...]:
        """All live coordinators, this one included."""


@dataclass(slots=True)
class _Waiting:
    connection: Connection
    request: UpdateRequest
    timer: asyncio.TimerHandle


class StateHistory:
    """The newest committed state, and the commands that led there."""

    def __init__(self) -> None:
        self.sequence = -1
        self.encoded = b""
        self._changes: deque[StateChange] = deque(maxlen=CHANGES_KEPT)

    def advance(self, sequence: int, encoded: bytes, command: bytes | None) -> None:
        """A newer state is committed; `command` led there from the one before, if it is told."""
        if command is None or sequence != self.sequence + 1:
            self._changes.clear()
        else:
            self._changes.append(StateChange(sequence, command))
        self.sequence = sequence
        self.encoded = encoded

    def changes_since(self, sequence: int) -> tuple[StateChange, ...] | None:
        """What led from that state to the newest; None where the whole state must be told."""
        if sequence >= self.sequence:
            return ()
        changes = tuple(change for change in self._changes if change.sequence > sequence)
        is_gapless = len(changes) == self.sequence - sequence
        return changes if is_gapless and sequence >= 0 else None


@dataclass(frozen=True, slots=True)
class _Asked:
    """The versions that proxies ask with; who asks with the same is told the same."""

    node_revision: int  # -1: the whole table
    state_sequence: int


@dataclass(frozen=True, slots=True)
class _Told:
    """What all answers of a moment say."""

    connected: bool
    settled: bool
    node_revision: int
    state_sequence: int
    coordinators: tuple[CoordinatorEndpoint, ...]


class _SharedUpdates:
    """Updates that were encoded a moment ago, while they still say what is so."""

    def __init__(self) -> None:
        self._made: dict[_Asked, tuple[SharedUpdate, float]] = {}  # and until when it holds
        self._told: _Told | None = None

    def find(self, asked: _Asked, told: _Told, now_s: float) -> SharedUpdate | None:
        """The update made for others, if nothing has changed since."""
        if told != self._told:
            self._made.clear()
            self._told = told
        update, until_s = self._made.get(asked, (None, 0.0))
        return update if now_s <= until_s else None

    def add(self, asked: _Asked, update: Update, now_s: float) -> SharedUpdate:
        """One was made; `find` came before."""
        is_leaving = any(node.shutdown_in_ms for node in update.nodes)
        until_s = now_s + (SHARED_LEAVING_S if is_leaving else SHARED_S)
        shared = SharedUpdate(update)
        self._made[asked] = shared, until_s
        return shared


class Subscriptions:
    """All proxies that wait for an answer here."""

    def __init__(
        self,
        net: Net,
        table: NodeTable,
        table_identity: str,
        leases: LeaseTable,
        history: StateHistory,
        standing: Standing,
        on_lease_news: Callable[[], None],
    ) -> None:
        self._net = net
        self._table = table
        self._table_identity = table_identity
        self._leases = leases
        self._history = history
        self._standing = standing
        self._on_lease_news = on_lease_news
        self._waiting: dict[Connection, _Waiting] = {}
        self._scheduled = False
        self._shared = _SharedUpdates()

    def ask(self, connection: Connection, request: UpdateRequest) -> None:
        """A proxy asks; the lease that it renews is taken."""
        if self._leases.renew(request.lease, self._net.now_s(), local=True):
            self._on_lease_news()
        timer = self._net.loop.call_later(HOLD_S, self._answer, connection)
        self._waiting[connection] = _Waiting(connection, request, timer)
        if self._has_news(request):
            self._answer(connection)

    def left(self, connection: Connection) -> None:
        """A proxy asks elsewhere from now on."""
        waiting = self._waiting.pop(connection, None)
        if waiting is not None:
            waiting.timer.cancel()

    def ended(self, connection: Connection) -> None:
        """A connection broke: its proxy was most likely killed."""
        waiting = self._waiting.pop(connection, None)
        if waiting is None:
            return
        waiting.timer.cancel()
        self._leases.release(waiting.request.lease)

    def news(self) -> None:
        """The table or the state has changed: answer, once this turn's changes are all in."""
        if not self._scheduled:
            self._scheduled = True
            self._net.loop.call_soon(self._answer_all)

    def _answer_all(self) -> None:
        self._scheduled = False
        for waiting in list(self._waiting.values()):
            if self._has_news(waiting.request):
                self._answer(waiting.connection)

    def _has_news(self, request: UpdateRequest) -> bool:
        if request.state_sequence < 0 and self._history.sequence < 0 and not self._standing.is_connected():
            return False  # both have just started: what it needs will be here in a moment, if anywhere
        return (
            request.table_id != self._table_identity
            or request.node_revision < self._table.revision
            or request.state_sequence < self._history.sequence
            or not self._standing.is_connected()
        )

    def _answer(self, connection: Connection) -> None:
        waiting = self._waiting.pop(connection, None)
        if waiting is None:
            return
        waiting.timer.cancel()
        request = waiting.request
        proxies = self._leases.max_proxies() if self._standing.is_settled() else 0
        connection.send_frame(Update, self._update(request).frame(request.request_number, proxies))

    def _update(self, request: UpdateRequest) -> SharedUpdate:
        revision = request.node_revision if request.table_id == self._table_identity else -1
        asked = _Asked(revision, request.state_sequence)
        told = self._told()
        now_s = self._net.now_s()
        shared = self._shared.find(asked, told, now_s)
        return shared or self._shared.add(asked, self._make(asked, told, now_s), now_s)

    def _told(self) -> _Told:
        return _Told(
            self._standing.is_connected(),
            self._standing.is_settled(),
            self._table.revision,
            self._history.sequence,
            self._standing.coordinators(),
        )

    def _make(self, asked: _Asked, told: _Told, now_s: float) -> Update:
        nodes: TableChanges = self._table.changes_since(asked.node_revision, now_s)
        changes = self._history.changes_since(asked.state_sequence)
        return Update(
            request_number=0,
            has_quorum=told.connected,
            knows_all_nodes=told.settled,
            table_id=self._table_identity,
            node_revision=nodes.revision,
            is_full_table=nodes.is_complete,
            nodes=nodes.nodes,
            removed=nodes.removed,
            deregistered=nodes.deregistered,
            state_sequence=told.state_sequence,
            state=self._history.encoded if changes is None else None,
            changes=changes or (),
            coordinators=told.coordinators,
            max_proxies=0,
        )
