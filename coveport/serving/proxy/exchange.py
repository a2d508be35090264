"""One client's request, from its route to its answer: which nodes it is sent to, and when it is given up.

| a send ended | the request may go to another node |
| --- | --- |
| no connection came up | yes: nothing was sent; this is no attempt and no repeat |
| 503, 429, 408 with a statement that it did not run; 421 | yes |
| broke off, reset, garbled, silent, or a refusal without that statement | only if it may run twice |
| ... in the middle of a resumable stream | yes, after the last whole event that the client has |
| 500 or 502 of the node | only if it may run twice; else the client gets it |

Every further send needs an attempt left (`Route.max_attempts`) and a place in the retry budget. Who is given
up gets 503 with Retry-After where nothing ran, else 502 or 504; where the answer has begun, its connection
ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from coveport.http1 import codec
from coveport.net.transport import Net
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.admission import WaitingQueue, WaitingQueues, longest_wait_s
from coveport.serving.proxy.answer_relay import Answer, AnswerRelay, Counters, Patience
from coveport.serving.proxy.client_connection import ClientConnection
from coveport.serving.proxy.event_stream import EventOrder
from coveport.serving.proxy.headers import first, passed_on
from coveport.serving.proxy.node_connection import NodeClosedError, NodeConnection
from coveport.serving.proxy.node_pool import ConnectFailedError, NodePool
from coveport.serving.proxy.node_strain import StreamPauses
from coveport.serving.proxy.retry_budget import RetryBudget
from coveport.serving.proxy.selection import NodeSelection, NoNode, Wanted
from coveport.serving.proxy.urgency import priority
from coveport.serving.wire.names import CanonicalHeader, Header

CONNECTS_AT_MOST = 4  # failed connects of one request
WAIT_STEP_S = 0.02  # how often the first that waits looks for a place
RETRY_AFTER_S = 0.3
LEAST_LEFT_S = 0.01  # with less time left nothing is sent
SILENT_HEAD_S = (
    2.0  # how long an answer that may be had elsewhere may take to begin: a long queue is no fault
)
SILENT_TOKEN_S = 0.00005  # ... and for each token of the prompt, which is read first
SILENT_EVENTS_S = 1.2  # ... and to go on ...
SILENT_PAUSES = 3  # ... or so many of the longest pauses that are in time
SILENT_NODE_S = 0.8  # ... where the node says nothing to other requests either
_WRITTEN_ANEW = frozenset(
    {Header.TIME_LEFT, Header.EXPECT_INCARNATION, Header.LAST_EVENT_ID, Header.PRIORITY}
)


@dataclass(slots=True)
class Tools:
    """What all exchanges of a proxy share."""

    net: Net
    view: ControlView
    random: Random
    pool: NodePool
    selection: NodeSelection
    budget: RetryBudget
    queues: WaitingQueues
    counters: Counters


class Ended(Enum):
    """How one send to a node ended."""

    DONE = "the client has the whole answer"
    NOT_SENT = "nothing was sent"
    NOT_RUN = "the node said that it did not run the request"
    BROKEN = "it may have run, and there is no whole answer"


@dataclass(slots=True)
class Exchange:
    """A request on its way. Its deadline is the caller's: `run` is cancelled there."""

    tools: Tools
    request: codec.Request
    client: ClientConnection
    wanted: Wanted
    deadline_s: float
    sends: int = 0
    connects_failed: int = 0
    may_have_run: bool = False
    broke_at: set[str] = field(default_factory=set)  # incarnations
    _holds_repeat: bool = False  # a second send is reserved in the budget
    _order: EventOrder = field(default_factory=EventOrder)
    _relay: AnswerRelay = field(init=False)

    def __post_init__(self) -> None:
        self._order.last_id = first(self.request.headers, Header.LAST_EVENT_ID)
        try_id = first(self.request.headers, Header.ATTEMPT_ID)
        resumable = self.wanted.route.resumable
        self._relay = AnswerRelay(self.client, try_id, resumable, self.tools.counters, self._order)

    # The order of sends.

    async def run(self) -> None:
        """Send until there is an answer or nothing more may be sent, and answer the client."""
        try:
            while True:
                known = await self._next_node()
                if known is None:
                    break
                ended = await self._send(known)
                if ended is Ended.DONE:
                    return
                if not self._may_go_on(ended):
                    break
        finally:
            self._release_repeat()
        self.give_up()

    def _may_go_on(self, ended: Ended) -> bool:
        """Whether another node may be tried after a send that ended so."""
        if ended is Ended.NOT_SENT:
            self.connects_failed += 1
            return self.connects_failed < CONNECTS_AT_MOST
        if ended is Ended.BROKEN and not self._may_run_twice:
            return False
        return self._reserve_repeat()

    @property
    def _may_run_twice(self) -> bool:
        """Whether the request may be sent again although it may have run; begun answers need a joint."""
        route = self.wanted.route
        return route.resumable if self.client.has_begun else route.is_idempotent

    def _reserve_repeat(self) -> bool:
        """Hold one more send, if the route and the budget allow it."""
        if self._holds_repeat:
            return True
        if self.sends >= self.wanted.route.max_attempts:
            return False
        tools = self.tools
        now_s = tools.net.now_s()
        self._holds_repeat = tools.budget.reserve(self.wanted.service.name, tools.view.max_proxies, now_s)
        return self._holds_repeat

    def _release_repeat(self) -> None:
        if self._holds_repeat:
            self._holds_repeat = False
            self.tools.budget.release(self.wanted.service.name)

    async def _next_node(self) -> KnownNode | None:
        """A node for the next send; None where there is none in time."""
        queue = self.tools.queues.of(self.wanted.service.name, self.wanted.route.home_regions)
        if not len(queue):
            chosen = self._choose()
            if not isinstance(chosen, NoNode):
                return chosen
        return await self._wait_for_node(queue)

    async def _wait_for_node(self, queue: WaitingQueue) -> KnownNode | None:
        now_s = self.tools.net.now_s()
        until_s = min(now_s + longest_wait_s(self.wanted.route), self.deadline_s - LEAST_LEFT_S)
        woken = asyncio.Event()
        waiting = queue.join(self.wanted.route.priority, woken.set)
        if waiting is None:
            return None
        try:
            while now_s < until_s and not waiting.is_over:
                is_first = queue.is_first(waiting)
                if is_first and not isinstance(chosen := self._choose(), NoNode):
                    return chosen
                woken.clear()
                await _wait(woken, min(WAIT_STEP_S, until_s - now_s) if is_first else until_s - now_s)
                now_s = self.tools.net.now_s()
        finally:
            queue.leave(waiting)
        return None

    def _choose(self) -> KnownNode | NoNode:
        return self.tools.selection.choose(self.wanted, self.broke_at, self.tools.net.now_s())

    def give_up(self, at_deadline: bool = False) -> None:
        """The final answer where no node gives one."""
        counters = self.tools.counters
        if self.client.has_begun:
            counters.add("aborted")
            self.client.abort()
        elif self.may_have_run:
            counters.add("failed")
            self.client.answer(504 if at_deadline else 502, [])
        else:
            counters.add("refused")
            retry_after_s = RETRY_AFTER_S * (0.5 + self.tools.random.random())
            self.client.answer(503, [(CanonicalHeader.RETRY_AFTER, f"{retry_after_s:.2f}")])

    # One send.

    async def _send(self, known: KnownNode) -> Ended:
        """Send the request to one node, and pass its answer on."""
        tools, node = self.tools, known.node
        chosen_s = tools.net.now_s()
        tools.selection.note_chosen(known, self.wanted, chosen_s)
        try:
            connection = await tools.pool.take(node)
        except ConnectFailedError:
            tools.selection.note_end(known)
            tools.counters.add("connects_failed")
            tools.selection.health.note_unreachable(node.incarnation, tools.net.now_s())
            return Ended.NOT_SENT
        except BaseException:
            tools.selection.note_end(known)
            raise
        is_whole = False
        try:
            if not self._hand_over(known, connection, chosen_s):
                return Ended.NOT_SENT
            self._watch_pace(known, connection)
            try:
                ended = await self._answered(known, connection)
            finally:
                tools.selection.pace.note_ended(node.incarnation)
            is_whole = ended in (Ended.DONE, Ended.NOT_RUN)
            return ended
        finally:
            tools.selection.note_end(known)
            if is_whole:
                tools.pool.give_back(node, connection)
            else:
                tools.pool.drop(node, connection)

    def _watch_pace(self, known: KnownNode, connection: NodeConnection) -> None:
        """Note when bytes of this answer come."""
        net, selection, wanted = self.tools.net, self.tools.selection, self.wanted
        pauses = StreamPauses()

        def heard() -> None:
            selection.note_heard(known, wanted, pauses, net.now_s())

        connection.on_heard = heard

    def _hand_over(self, known: KnownNode, connection: NodeConnection, chosen_s: float) -> bool:
        """Write the request; False where nothing was sent after all."""
        tools, now_s = self.tools, self.tools.net.now_s()
        if not tools.selection.is_still_open(known, now_s):
            return False
        head = self._written(known.node.incarnation, now_s)
        if not connection.send(head, notices_dark=self.wanted.route.is_idempotent):
            return False
        tools.selection.note_handed_over(known, self.wanted, chosen_s, now_s)
        if self.sends:
            self._holds_repeat = False
            tools.budget.spend(self.wanted.service.name, now_s)
            tools.counters.add("resumed" if self.client.has_begun else "retries")
        self.sends += 1
        return True

    async def _answered(self, known: KnownNode, connection: NodeConnection) -> Ended:
        """How the node answers what was handed over."""
        incarnation = known.node.incarnation
        health, net, counters = self.tools.selection.health, self.tools.net, self.tools.counters
        ran_before, self.may_have_run = self.may_have_run, True
        patience = self._patience(known) if self.wanted.route.is_idempotent else None
        try:
            answer = await self._relay.relay(connection, patience, self._may_repeat_failure)
        except NodeClosedError:
            counters.add("broken")
            health.note_bad_end(incarnation, net.now_s())
            self.broke_at.add(incarnation)
            return Ended.BROKEN
        if answer is Answer.NOT_RUN:
            counters.add("full")
            health.note_full(incarnation, net.now_s())
        elif answer is Answer.MISDIRECTED:
            counters.add("misdirected")
            health.note_misdirected(incarnation, net.now_s())
        elif answer is Answer.PASSED_ON:
            health.note_served(incarnation, net.now_s())
        else:
            counters.add("node_failures")
            health.note_failed(incarnation, net.now_s())
        if answer is Answer.FAILED:
            self.broke_at.add(incarnation)
            return Ended.BROKEN
        if answer in (Answer.PASSED_ON, Answer.FAILURE_PASSED_ON):
            return Ended.DONE
        self.may_have_run = ran_before
        return Ended.NOT_RUN

    def _may_repeat_failure(self) -> bool:
        return self._may_run_twice and self._reserve_repeat()

    def _patience(self, known: KnownNode) -> Patience:
        tokens = sum(part.tokens for part in self.wanted.parts)
        route = self.wanted.route
        return Patience(
            max(SILENT_HEAD_S, route.latency_target_ms / 1000) + SILENT_TOKEN_S * tokens,
            max(SILENT_EVENTS_S, SILENT_PAUSES * route.inter_token_target_ms / 1000),
            lambda: self._may_leave(known),
        )

    def _may_leave(self, known: KnownNode) -> bool:
        """Whether a silent node may be left: it says nothing to anyone, and another can take the request."""
        tools, incarnation = self.tools, known.node.incarnation
        now_s = tools.net.now_s()
        if tools.pool.last_heard_s(incarnation) > now_s - SILENT_NODE_S or not self._may_run_twice:
            return False
        other = tools.selection.choose(self.wanted, {*self.broke_at, incarnation}, now_s)
        if isinstance(other, NoNode) or other.node.incarnation == incarnation:
            return False
        return self._reserve_repeat()

    def _written(self, incarnation: str, now_s: float) -> bytes:
        """The request as this node gets it."""
        request = self.request
        return codec.write_request(
            request.method, request.target, self._headers(incarnation, now_s), request.body
        )

    def _headers(self, incarnation: str, now_s: float) -> Iterator[tuple[str, str]]:
        yield from passed_on(self.request.headers, _WRITTEN_ANEW)
        if self._order.last_id is not None:
            yield CanonicalHeader.LAST_EVENT_ID, self._order.last_id
        yield CanonicalHeader.TIME_LEFT, str(max(1, int((self.deadline_s - now_s) * 1000)))
        yield CanonicalHeader.EXPECT_INCARNATION, incarnation
        if self.wanted.parts:
            yield CanonicalHeader.PRIORITY, str(self._priority(incarnation, now_s))

    def _priority(self, incarnation: str, now_s: float) -> int:
        """What a client waited before it came here is known by the time that it has left."""
        route = self.wanted.route
        spent_s = max(0.0, route.timeout_ms / 1000 - (self.deadline_s - now_s))
        unread_tokens = self.tools.selection.parts.unread_tokens(self.wanted.parts, incarnation)
        return priority(unread_tokens, route.latency_target_ms / 1000 - spent_s)


async def _wait(woken: asyncio.Event, within_s: float) -> None:
    """Wait until woken, at most so long."""
    try:
        async with asyncio.timeout(within_s):
            await woken.wait()
    except TimeoutError:
        pass
