"""Answers proxies that ask for updates: at once where there is news, after a while otherwise."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from coveport.net.transport import Net
from coveport.system.membership.leases import LeaseTable
from coveport.system.membership.node_table import NodeTable, TableChanges
from coveport.system.wire.connection import Connection
from coveport.system.wire.messages import CoordinatorPlace, StateChange, Update, UpdateRequest

HOLD_S = 0.4  # an ask without news is answered after so long; the next one renews the lease
CHANGES_KEPT = 64  # commands from which differences are told; further back the whole state is


class Standing(Protocol):
    """What a coordinator says of itself in each answer."""

    def is_connected(self) -> bool:
        """Whether it is in touch with a majority of the core."""

    def is_settled(self) -> bool:
        """Whether it has been so for long enough to know every node."""

    def coordinators(self) -> tuple[CoordinatorPlace, ...]:
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
        self.sequence, self.encoded = sequence, encoded

    def changes_since(self, sequence: int) -> tuple[StateChange, ...] | None:
        """What led from that state to the newest; None where the whole state must be told."""
        if sequence >= self.sequence:
            return ()
        changes = tuple(change for change in self._changes if change.sequence > sequence)
        is_gapless = len(changes) == self.sequence - sequence
        return changes if is_gapless and sequence >= 0 else None


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
        self._net, self._table, self._table_identity = net, table, table_identity
        self._leases, self._history, self._standing = leases, history, standing
        self._on_lease_news = on_lease_news
        self._waiting: dict[Connection, _Waiting] = {}
        self._scheduled = False

    def ask(self, connection: Connection, request: UpdateRequest) -> None:
        """A proxy asks; the lease that it renews is taken."""
        if self._leases.renew(request.lease, self._net.now_s(), here=True):
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
        self._leases.end(waiting.request.lease)

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
        return (
            request.table != self._table_identity
            or request.node_revision < self._table.revision
            or request.state_sequence < self._history.sequence
            or not self._standing.is_connected()
        )

    def _answer(self, connection: Connection) -> None:
        waiting = self._waiting.pop(connection, None)
        if waiting is None:
            return
        waiting.timer.cancel()
        connection.send(self._update(waiting.request))

    def _update(self, request: UpdateRequest) -> Update:
        revision = request.node_revision if request.table == self._table_identity else -1
        nodes: TableChanges = self._table.changes_since(revision, self._net.now_s())
        changes = self._history.changes_since(request.state_sequence)
        is_connected, is_settled = self._standing.is_connected(), self._standing.is_settled()
        return Update(
            round=request.round,
            connected=is_connected,
            settled=is_settled,
            table=self._table_identity,
            node_revision=nodes.revision,
            whole_table=nodes.whole,
            nodes=nodes.nodes,
            removed=nodes.removed,
            state_sequence=self._history.sequence,
            state=self._history.encoded if changes is None else None,
            changes=changes or (),
            coordinators=self._standing.coordinators(),
            proxies_at_most=self._leases.proxies_at_most() if is_settled else 0,
        )
