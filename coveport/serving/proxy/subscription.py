"""Keeps the proxy's view: asks a coordinator with the versions it has, and another when that one fails.

The asking renews the proxy's lease. The view never goes back: states are taken by rising sequence, reports on
nodes by incarnation and sequence number. When nobody answers, the proxy serves on with what it has.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from math import inf
from typing import Any

from coveport.net.address import parse_address
from coveport.net.transport import Net
from coveport.serving.configuration.reader import read_configuration
from coveport.serving.configuration.state import ControlState, initial_state
from coveport.serving.configuration.state_codec import decode_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.findings import Refusal
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.coordinator_choice import CoordinatorChoice
from coveport.serving.proxy.node_directory import NodeDirectory
from coveport.serving.replication.outcomes import Applied
from coveport.serving.wire.connection import Connection, connect
from coveport.serving.wire.errors import MalformedMessageError
from coveport.serving.wire.messages import Message, StateChange, Unsubscribe, Update, UpdateRequest

CONNECT_S = 0.5
ANSWER_S = 1.2  # a coordinator of which nothing has come for so long is left
PAUSE_S = 0.05  # before another one is tried, growing ...
PAUSE_MOST_S = 0.25
PROXIES_UNKNOWN = 32  # assumed until a coordinator has told how many there may be


class Subscription:
    """One proxy's asking."""

    def __init__(
        self,
        net: Net,
        view: ControlView,
        choice: CoordinatorChoice,
        make_lease: Callable[[int], ProxyLease],
        log: Any,
        chance: random.Random,
    ) -> None:
        """`make_lease`: the lease for a round."""
        self._net = net
        self._view = view
        self._make_lease = make_lease
        self._log = log
        self._chance = chance
        self._choice = choice
        self._state: ControlState = initial_state()
        self._sequence = -1
        self._wants_whole_state = False  # the last changes did not fit what is held, or could not be read
        self._table = ""
        self._node_revision = -1
        self._is_table_confirmed = (
            False  # a settled coordinator has told the whole table since we asked there
        )
        self._directory = NodeDirectory()
        self._answers: asyncio.Queue[Update] = asyncio.Queue()
        self._round = 0
        self._task: asyncio.Task[None] | None = None
        self.answered_at_s = -inf  # when a coordinator in touch with the core last answered
        view.max_proxies = PROXIES_UNKNOWN
        self._proxies_known = 0

    def start(self) -> None:
        """Begin to ask."""
        self._task = self._net.loop.create_task(self._run())

    def stop(self) -> None:
        """Ask no more; the lease runs out."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        pause_s = PAUSE_S
        while True:
            before = self.answered_at_s
            for address in self._choice.order(self._net.now_s()):
                await self._ask_at(address)
                if self.answered_at_s > before:
                    break
            is_quick = self.answered_at_s > before or self._sequence < 0  # without a state it serves nothing
            pause_s = PAUSE_S if is_quick else min(2 * pause_s, PAUSE_MOST_S)
            await asyncio.sleep(pause_s * self._chance.uniform(0.5, 1.5))

    async def _ask_at(self, address: str) -> None:
        """Ask one coordinator until it fails, going over to nearer ones as they are told of."""
        connection = await self._connect(address)
        while connection is not None:
            nearer = await self._ask_on(connection, address)
            if nearer is None:
                self._choice.failed(address, self._net.now_s())
                connection.abort()
                return
            other = await self._connect(nearer)
            if other is not None:
                connection.send(Unsubscribe())
                connection.close()
                connection, address = other, nearer

    async def _connect(self, address: str) -> Connection | None:
        connection = await connect(self._net, parse_address(address), self._came, CONNECT_S)
        if connection is None:
            self._choice.failed(address, self._net.now_s())
        return connection

    async def _ask_on(self, connection: Connection, address: str) -> str | None:
        """Ask on one connection; a nearer coordinator to go to, or None where this one failed."""
        while not self._answers.empty():
            self._answers.get_nowait()
        deregistered = self._directory.departed_lately(self._net.now_s())
        while connection.is_open:
            self._round += 1
            connection.send(self._request(deregistered))
            deregistered = ()
            update = await self._answer_on(connection)
            if update is None:
                self._log.warning("coordinator_timed_out", coordinator=address)
                return None
            self._take(update)
            if self._wants_whole_state and update.state is not None:
                return None  # what this one holds can't be read
            if not update.has_quorum:
                self._log.debug("coordinator_without_quorum", coordinator=address)
                return None
            nearer = self._choice.better_than(address, self._net.now_s())
            if nearer is not None:
                return nearer
        return None

    def _request(self, deregistered: tuple[str, ...]) -> UpdateRequest:
        lease = self._make_lease(self._round)
        sequence = -1 if self._wants_whole_state else self._sequence
        return UpdateRequest(lease, self._table, self._node_revision, sequence, self._round, deregistered)

    async def _answer_on(self, connection: Connection) -> Update | None:
        """The answer to the present round; None where not even a part of it has come for `ANSWER_S`."""
        while True:
            try:
                async with asyncio.timeout(ANSWER_S):
                    return await self._next_answer()
            except TimeoutError:
                if self._net.now_s() - connection.last_received_s >= ANSWER_S:
                    return None

    async def _next_answer(self) -> Update:
        while True:
            update = await self._answers.get()
            if update.request_number == self._round:
                return update

    def _came(self, connection: Connection, message: Message) -> None:
        if isinstance(message, Update):
            self._answers.put_nowait(message)

    def _take(self, update: Update) -> None:
        now = self._net.now_s()
        if update.has_quorum:
            self.answered_at_s = now
        if update.coordinators:
            self._choice.learned(update.coordinators)
        changed = self._take_state(update, now)
        changed |= self._take_nodes(update, now)
        self._take_proxy_count(update)
        if changed:
            self._view.notify_listeners()

    def _take_proxy_count(self, update: Update) -> None:
        """The count never falls while this proxy lives: others may be cut off and spend their share."""
        if update.max_proxies > self._proxies_known:
            self._proxies_known = update.max_proxies
            self._view.max_proxies = update.max_proxies

    def _take_state(self, update: Update, now: float) -> bool:
        if update.state_sequence <= self._sequence:
            return False
        state = self._read(update.state) if update.state is not None else self._replay(update.changes)
        self._wants_whole_state = state is None
        if state is None:
            return False
        before, self._state, self._sequence = self._state, state, update.state_sequence
        self._use(before, state, now)
        return True

    def _read(self, data: bytes) -> ControlState | None:
        try:
            return decode_state(data)
        except MalformedMessageError as problem:
            self._log.error("snapshot_rejected", error=str(problem))
            return None

    def _replay(self, changes: tuple[StateChange, ...]) -> ControlState | None:
        state = self._state
        for change in changes:
            applied = _applied(state, change.command)
            if applied is None:
                self._log.error("change_rejected", sequence=change.sequence)
                return None
            state = applied.state
        return state

    def _use(self, before: ControlState, state: ControlState, now: float) -> None:
        """Put a newer acknowledged state in force."""
        for zone in before.evacuated_zones - state.evacuated_zones:
            self._view.evacuation_ended_at_s[zone] = now
        self._view.evacuated_zones = state.evacuated_zones
        if state.edition == before.edition or state.configuration_text is None:
            return
        configuration = read_configuration(state.configuration_text)
        if isinstance(configuration, Refusal):
            self._log.error("configuration_rejected", edition=state.edition, reason=configuration.reason)
            return
        self._view.configuration = configuration
        self._log.info("configuration_activated", edition=state.edition, sequence=self._sequence)

    def _take_nodes(self, update: Update, now: float) -> bool:
        before = self._view.nodes
        self._view.nodes = self._directory.merge(before, update, now)
        self._note_table(update)
        return self._view.nodes is not before

    def _note_table(self, update: Update) -> None:
        """Which differences to ask for next; once a table has settled, the whole of it is asked for again."""
        if update.table_id != self._table:
            self._is_table_confirmed = False
        self._table = update.table_id
        self._node_revision = update.node_revision
        if update.knows_all_nodes and not self._is_table_confirmed:
            self._is_table_confirmed = update.is_full_table
            if not update.is_full_table:
                self._node_revision = -1


def _applied(state: ControlState, command: bytes) -> Applied | None:
    """The state after a command; None where it does not fit, or a newer program made it."""
    try:
        applied = apply(state, command)
    except MalformedMessageError:
        return None
    return applied if isinstance(applied, Applied) else None
