"""One client's request, from its route to the last byte of its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Protocol

from coveport.http1 import codec
from coveport.net.transport import Net
from coveport.system.model.configuration import Route, Service
from coveport.system.model.view import ControlView, KnownNode
from coveport.system.proxy.admission import WaitingQueue, longest_wait_s
from coveport.system.proxy.client_connection import ClientConnection
from coveport.system.proxy.event_stream import EventCutter, rises
from coveport.system.proxy.headers import first, passed_on
from coveport.system.proxy.node_connection import NodeClosedError, NodeConnection
from coveport.system.proxy.node_pool import ConnectFailedError, NodePool
from coveport.system.proxy.retry_budget import RetryBudget
from coveport.system.proxy.selection import NodeSelection, NoNode
from coveport.system.wire.names import Header, Spelled

RETRYABLE = frozenset({408, 421, 429, 503})
CONNECTS_AT_MOST = 4  # failed connects of one request: nothing was sent, so they are no attempts
SURPLUS_AT_MOST = 2  # whole answers to others that are read over in front of ours
WAIT_STEP_S = 0.05  # how often a waiting request looks for a place
RETRY_AFTER_S = 0.3
LEAST_LEFT_S = 0.01  # with less time left nothing is sent
_WRITTEN_ANEW = frozenset({Header.TIME_LEFT, Header.EXPECT_INCARNATION})


class Counters(Protocol):
    """Counts for the log."""

    def add(self, name: str) -> None:
        """One more."""


@dataclass(slots=True)
class Tools:
    """What all exchanges of a proxy share."""

    net: Net
    view: ControlView
    random: Random
    pool: NodePool
    selection: NodeSelection
    budget: RetryBudget
    queue: WaitingQueue
    counters: Counters


class Ended(Enum):
    """How one send to a node ended."""

    DONE = "the client has the whole answer"
    NOT_SENT = "no connection came up"
    NOT_RUN = "the node said that it did not run the request"
    BROKEN = "it broke off or was no answer; it may have run"


@dataclass(slots=True)
class Exchange:
    """A request on its way. Its deadline is the caller's: `run` is cancelled there."""

    tools: Tools
    request: codec.Request
    client: ClientConnection
    route: Route
    service: Service
    deadline_s: float
    sent_to: set[str] = field(default_factory=set)
    connects_failed: int = 0
    may_have_run: bool = False
    may_have_run_before: bool = False  # ... by sends before the present one
    events: EventCutter = field(default_factory=EventCutter)

    # The order of sends.

    async def run(self) -> None:
        """Send until there is an answer or nothing more may be sent, and answer the client."""
        while True:
            known = await self._next_node()
            if known is None:
                self.give_up()
                return
            ended = await self._send(known)
            if ended is Ended.DONE:
                return
            if not self._may_go_on(ended):
                self.give_up()
                return

    def _may_go_on(self, ended: Ended) -> bool:
        """Whether another node may be tried after a send that ended so."""
        if ended is Ended.NOT_SENT:
            self.connects_failed += 1
            return self.connects_failed < CONNECTS_AT_MOST
        if ended is Ended.BROKEN and not self.route.is_idempotent:
            return False
        if self.client.has_begun and not self._is_joinable:
            return False
        if len(self.sent_to) >= self.route.attempts:
            return False
        now_s = self.tools.net.now_s()
        return self.tools.budget.may_repeat(self.service.name, self.tools.view.proxies_at_most, now_s)

    @property
    def _is_joinable(self) -> bool:
        """Whether the answer may be continued by another node."""
        return self.route.resumable

    async def _next_node(self) -> KnownNode | None:
        """A node for the next send; None where there is none in time."""
        tools = self.tools
        now_s = tools.net.now_s()
        until_s = min(now_s + longest_wait_s(self.route), self.deadline_s - LEAST_LEFT_S)
        if not len(tools.queue):
            chosen = self._choose(now_s)
            if not isinstance(chosen, NoNode):
                return chosen
        waiting = tools.queue.join(self.route.precedence, until_s)
        if waiting is None:
            return None
        try:
            while True:
                if tools.queue.is_first(waiting) or now_s >= until_s:
                    chosen = self._choose(now_s)
                    if not isinstance(chosen, NoNode):
                        return chosen
                if now_s >= until_s:
                    return None
                await asyncio.sleep(min(WAIT_STEP_S, until_s - now_s))
                now_s = tools.net.now_s()
        finally:
            tools.queue.leave(waiting)

    def _choose(self, now_s: float) -> KnownNode | NoNode:
        return self.tools.selection.choose(self.route, self.service, self.sent_to, now_s)

    def give_up(self, at_deadline: bool = False) -> None:
        """The final answer where no node gives one."""
        if self.client.has_begun:
            self.client.abort()
        elif self.may_have_run:
            self.client.answer(504 if at_deadline else 502, [])
        else:
            self.tools.counters.add("refused")
            retry_after_s = RETRY_AFTER_S * (0.5 + self.tools.random.random())
            self.client.answer(503, [(Spelled.RETRY_AFTER, f"{retry_after_s:.2f}")])

    # One send.

    async def _send(self, known: KnownNode) -> Ended:
        """Send the request to one node, and pass its answer on."""
        tools, node = self.tools, known.node
        tools.selection.note_send(known, self.service, tools.net.now_s())
        connection: NodeConnection | None = None
        whole = False
        try:
            connection = await tools.pool.take(node)
            self._hand_over(known, connection)
            ended = await self._answer(known, connection)
            whole = ended in (Ended.DONE, Ended.NOT_RUN)
            return ended
        except ConnectFailedError:
            tools.counters.add("connects_failed")
            tools.selection.health.note_bad_end(node.incarnation, tools.net.now_s())
            return Ended.NOT_SENT
        except NodeClosedError:
            tools.counters.add("broken")
            tools.selection.health.note_bad_end(node.incarnation, tools.net.now_s())
            return Ended.BROKEN
        finally:
            tools.selection.note_end(known)
            if connection is not None:
                if whole:
                    tools.pool.give_back(node, connection)
                else:
                    tools.pool.drop(node, connection)

    def _hand_over(self, known: KnownNode, connection: NodeConnection) -> None:
        tools, now_s = self.tools, self.tools.net.now_s()
        if self.sent_to:
            tools.budget.note_repeat(self.service.name, now_s)
            tools.counters.add("retries")
        self.sent_to.add(known.node.incarnation)
        tools.selection.note_arrival(known, self.service, now_s)
        connection.send(self._written(known.node.incarnation, now_s), notices_dark=self.route.is_idempotent)
        self.may_have_run_before = self.may_have_run
        self.may_have_run = True

    def _written(self, incarnation: str, now_s: float) -> bytes:
        """The request as this node gets it."""
        request = self.request
        left_ms = max(1, int((self.deadline_s - now_s) * 1000))
        return codec.write_request(
            request.method,
            request.target,
            [
                *self._passed_on(),
                (Spelled.TIME_LEFT, str(left_ms)),
                (Spelled.EXPECT_INCARNATION, incarnation),
            ],
            request.body,
        )

    def _passed_on(self) -> Iterator[tuple[str, str]]:
        if self.events.last_id is None:
            yield from passed_on(self.request.headers, _WRITTEN_ANEW)
            return
        yield from passed_on(self.request.headers, _WRITTEN_ANEW | {Header.LAST_EVENT_ID})
        yield Spelled.LAST_EVENT_ID, self.events.last_id

    async def _answer(self, known: KnownNode, connection: NodeConnection) -> Ended:
        """Read the node's answer and pass it on."""
        response = await self._our_head(connection)
        incarnation = known.node.incarnation
        health = self.tools.selection.health
        if response.status in RETRYABLE:
            if response.status != 421 and Header.NOT_RUN not in response.headers:
                raise NodeClosedError(f"{response.status} that does not say whether it ran")
            await self._read_over(connection, response)
            self.may_have_run = self.may_have_run_before
            if response.status == 421:
                health.note_good_end(incarnation)
            else:
                self.tools.counters.add("full")
                health.note_full(incarnation, self.tools.net.now_s())
            return Ended.NOT_RUN
        if 200 <= response.status < 300:
            if Header.STAMP not in response.headers or "content-encoding" in response.headers:
                raise NodeClosedError("a success that is not the node's own")
        elif self.client.has_begun:
            raise NodeClosedError("a stream that is not continued")
        health.note_good_end(incarnation)
        if self._is_joinable and 200 <= response.status < 300:
            await self._pass_events(connection, response)
        else:
            await self._pass_bytes(connection, response)
        return Ended.DONE

    async def _our_head(self, connection: NodeConnection) -> codec.Response:
        """The head of our answer; whole answers to others in front of it are read over."""
        ours = first(self.request.headers, Header.TRY_ID)
        for _ in range(SURPLUS_AT_MOST + 1):
            response = await connection.read_head()
            theirs = first(response.headers, Header.TRY_ID)
            if theirs == ours:
                return response
            if theirs is None:
                break
            self.tools.counters.add("surplus")
            connection.is_suspect = True
            await self._read_over(connection, response)
        raise NodeClosedError("an answer to another request")

    async def _read_over(self, connection: NodeConnection, response: codec.Response) -> None:
        over = not response.long
        while not over:
            _, over = await connection.read_data()

    def _begin(self, response: codec.Response, length: int | None) -> None:
        if not self.client.has_begun:
            self.client.begin(response.status, list(passed_on(response.headers)), length)

    async def _pass_bytes(self, connection: NodeConnection, response: codec.Response) -> None:
        """Pass a body on as it comes."""
        if not response.long:
            self._begin(response, 0)
        else:
            self._begin(response, response.length)
        over = not response.long
        while not over:
            data, over = await connection.read_data()
            self.client.write(data)
            await self.client.drained()
        self.client.finish()

    async def _pass_events(self, connection: NodeConnection, response: codec.Response) -> None:
        """Pass whole events on, so that another node can continue after any of them."""
        self.events.rest.clear()
        self._begin(response, None)
        over = not response.long
        while not over:
            data, over = await connection.read_data()
            for event in self.events.feed(data):
                if not rises(event, self.events.last_id):
                    raise NodeClosedError("an event that was passed on before")
                self.client.write(event)
                self.events.note_passed(event)
            await self.client.drained()
        self.client.write(bytes(self.events.rest))
        self.client.finish()
