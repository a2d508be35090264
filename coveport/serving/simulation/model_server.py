"""A stand-in of a model server: a node that answers requests with streams, as its engine brings them."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from coveport.http1 import Request
from coveport.net.address import Address
from coveport.net.transport import Listening, Net
from coveport.serving.model.node import NodeState
from coveport.serving.simulation.engine import DEFAULT_PRIORITY, Engine, EngineFigures, PromptPart, Work
from coveport.serving.simulation.events import (
    Book,
    NodeCold,
    NodeEnded,
    NodeStarted,
    RequestArrived,
    RequestFinished,
    RequestRan,
    RequestTurnedAway,
)
from coveport.serving.simulation.exchange import ACCEPT_MOST, WAITING_MOST, ServerConnection
from coveport.serving.simulation.node_answers import AnswerFaults, NodeAnswer, NodeFaults
from coveport.serving.simulation.texts import digest
from coveport.serving.wire.names import Header, Path, Report

DEFAULT_WAIT_MS: Final = 60_000.0  # of a request that names no time


@dataclass(frozen=True, slots=True)
class NodeFigures:
    """What a node is told at its start."""

    service: str
    address: Address
    zone: str
    region: str
    engine: EngineFigures = field(default_factory=EngineFigures)
    health_path: str = "/health"
    connections_most: int = 370
    warm_up_rate: float = 0.0  # requests a second that it bears while cold
    falls_over_above: float = float("inf")  # requests within one second of its cold time


def parse_parts(text: str) -> tuple[PromptPart, ...]:
    """The parts of a prompt from their header, `ID:TOKENS` separated by commas."""
    pairs = (part.rpartition(":") for part in text.split(",") if part)
    return tuple(PromptPart(name.strip(), int(tokens)) for name, _, tokens in pairs)


class ModelServer:
    """One incarnation of a node."""

    def __init__(self, net: Net, figures: NodeFigures, book: Book, chance: Random) -> None:
        self.figures = figures
        self.faults = NodeFaults()
        self.incarnation = f"i-{chance.getrandbits(32):08x}"
        self.state = NodeState.ACCEPTING
        self.on_end: Callable[[], None] | None = None  # called once, when it has ended
        self.engine = Engine(figures.engine)
        self._net = net
        self._book = book
        self._chance = chance
        self._listening: Listening | None = None
        self._connections: dict[ServerConnection, None] = {}
        self._answers: dict[str, NodeAnswer] = {}
        self._count = 0
        self._work = asyncio.Event()
        self._steps: asyncio.Task[None] | None = None
        self._cold_until_s = 0.0
        self._cold_arrivals: deque[float] = deque()
        self._stays_ended = False

    async def start(self, cold_s: float = 0.0) -> None:
        """Listen and work; cold for so long."""
        figures = self.figures
        self._listening = await self._net.listen(
            self._accept, figures.address, accepts_per_turn=ACCEPT_MOST, backlog=WAITING_MOST
        )
        address = "{}:{}".format(*figures.address)
        now = self._net.now_s()
        self._book.write(
            NodeStarted(now, self.incarnation, figures.service, address, figures.zone, figures.region)
        )
        if cold_s:
            self.turn_cold(cold_s)
        self._steps = asyncio.get_running_loop().create_task(self._step_on())

    def turn_cold(self, for_s: float) -> None:
        """Be cold from now on for so long."""
        now = self._net.now_s()
        self._cold_until_s = now + for_s
        self._book.write(NodeCold(now, self.incarnation, self._cold_until_s, self.figures.warm_up_rate))

    @property
    def warm_up_left_ms(self) -> float:
        """How much longer it is cold."""
        return max(0.0, self._cold_until_s - self._net.now_s()) * 1000

    @property
    def ended(self) -> bool:
        """Whether this incarnation is over."""
        return self._stays_ended

    def say_closing(self) -> None:
        """From now on answers tell callers to close, and health says that it leaves."""
        self.state = NodeState.DRAINING
        for connection in self._connections:
            connection.closes = True

    def end(self, *, planned: bool) -> None:
        """Be gone: by plan, or as in a crash, with resets."""
        if self._stays_ended:
            return
        self._stays_ended = True
        self.state = NodeState.DEREGISTERED
        self._book.write(NodeEnded(self._net.now_s(), self.incarnation, planned))
        if self._listening is not None:
            self._listening.close()
        for connection in list(self._connections):
            if connection.transport is not None:
                self._net.reset(connection.transport)
        if self._steps is not None:
            self._steps.cancel()
        if self.on_end is not None:
            self.on_end()

    # Connections.

    def _accept(self) -> ServerConnection:
        connection = ServerConnection(self._handle, self._gone)
        connection.closes = self.state is NodeState.DRAINING
        self._connections[connection] = None
        if len(self._connections) > self.figures.connections_most:
            asyncio.get_running_loop().call_soon(connection.break_off)
        return connection

    def _gone(self, connection: ServerConnection) -> None:
        self._connections.pop(connection, None)

    async def _handle(self, connection: ServerConnection, request: Request) -> None:
        if self.faults.dark:
            await asyncio.get_running_loop().create_future()  # until the connection closes
        path = request.target.partition("?")[0]
        if request.method == "GET" and path == Path.REPORT:
            connection.answer(200, _JSON, json.dumps(self.report()).encode())
        elif request.method == "GET" and path == self.figures.health_path:
            self._answer_health(connection)
        else:
            await self._serve(connection, request)

    def report(self) -> dict[str, object]:
        """What it reports of its load."""
        return {
            Report.QUEUED: self.engine.queued,
            Report.RUNNING: self.engine.running,
            Report.MEMORY_USED: self.engine.memory_used,
            Report.MEMORY_TOTAL: self.figures.engine.kv_cache_tokens,
        }

    def _answer_health(self, connection: ServerConnection) -> None:
        full = self.engine.queued >= self.figures.engine.queue
        healthy = self.state is NodeState.ACCEPTING and not full
        headers = [(Header.INCARNATION, self.incarnation), (Header.WARM_UP_MS, f"{self.warm_up_left_ms:.0f}")]
        connection.answer(200 if healthy else 503, headers)

    # Requests.

    async def _serve(self, connection: ServerConnection, request: Request) -> None:
        now = self._net.now_s()
        try_id = request.get(Header.ATTEMPT_ID) or ""
        resumes_after = int(request.get(Header.LAST_EVENT_ID) or 0)
        body = digest(request.body)
        host = request.get("host") or ""
        arrival = RequestArrived(
            now, self.incarnation, try_id, request.method, request.target, host, body, resumes_after
        )
        self._book.write(arrival)
        named = request.get(Header.EXPECT_INCARNATION)
        if named not in (None, self.incarnation):
            self._turn_away(connection, try_id, 421)
        elif not try_id:
            self._turn_away(connection, try_id, 400)
        elif self._overrun(now):
            self.end(planned=False)
        elif self._chance.random() < self.faults.refuse_share:
            self._turn_away(connection, try_id, 503)
        elif self._chance.random() < self.faults.garble_share:
            connection.write(b"\x00garbled\x01 bytes that are no answer\r\n\r\n")
            connection.break_off()
        else:
            await self._run(connection, request, try_id, resumes_after)

    def _overrun(self, now: float) -> bool:
        """Whether this arrival is more than it bears while cold."""
        if now >= self._cold_until_s:
            return False
        self._cold_arrivals.append(now)
        while self._cold_arrivals[0] <= now - 1.0:
            self._cold_arrivals.popleft()
        return len(self._cold_arrivals) > self.figures.falls_over_above

    def _turn_away(self, connection: ServerConnection, try_id: str, status: int) -> None:
        self._book.write(RequestTurnedAway(self._net.now_s(), self.incarnation, try_id, status))
        headers = [(Header.ATTEMPT_ID, try_id), (Header.NOT_RUN, "1"), (Header.INCARNATION, self.incarnation)]
        if status == 503:
            headers.append((Header.RETRY_AFTER, "0.2"))
        connection.answer(status, headers)

    async def _run(
        self, connection: ServerConnection, request: Request, try_id: str, resumes_after: int
    ) -> None:
        self._count += 1
        run = f"{self.incarnation}.{self._count}"
        if self.engine.submit(self._work_of(request, run, resumes_after), self._now_ms()) is not None:
            self._turn_away(connection, try_id, 503)
            return
        answer = NodeAnswer(run, try_id, request, AnswerFaults.draw(self.faults, self._chance))
        self._answers[run] = answer
        self._work.set()
        try:
            if not await answer.write(connection, lambda: self._note_run(answer, resumes_after)):
                self._turn_away(connection, try_id, 503)
        finally:
            self.engine.drop(run)
            del self._answers[run]
            if answer.began:
                self._note_end(answer)

    def _note_run(self, answer: NodeAnswer, resumes_after: int) -> None:
        now, told = self._net.now_s(), (self.incarnation, answer.try_id, answer.run, answer.stamp)
        self._book.write(RequestRan(now, *told, first_event=resumes_after + 1))

    def _note_end(self, answer: NodeAnswer) -> None:
        now, told = self._net.now_s(), (self.incarnation, answer.try_id, answer.run)
        broke = answer.broke or self._stays_ended
        self._book.write(RequestFinished(now, *told, status=200, whole=answer.whole, node_broke=broke))

    def _work_of(self, request: Request, key: str, resumes_after: int) -> Work:
        left_ms = float(request.get(Header.TIME_LEFT) or DEFAULT_WAIT_MS)
        tokens = (request.get(Header.TOKENS) or "1,1").split(",")
        parts = parse_parts(request.get(Header.PROMPT_PREFIX) or f"{key}:{tokens[0]}")
        priority = int(request.get(Header.PRIORITY) or DEFAULT_PRIORITY)
        return Work(key, parts, int(tokens[1]), self._now_ms() + left_ms, priority, resumes_after)

    # The engine's steps.

    def _now_ms(self) -> float:
        return self._net.now_s() * 1000

    async def _step_on(self) -> None:
        while True:
            if self.engine.idle or self.faults.dark:
                self._work.clear()
                await self._work.wait()
            await asyncio.sleep(self.engine.step_ms() / 1000)
            if self.faults.dark:
                continue
            for effect in self.engine.step(self._now_ms()):
                answer = self._answers.get(effect.key)
                if answer is not None:
                    answer.inbox.put_nowait(effect)

    def turn_dark(self, dark: bool) -> None:
        """Do nothing any more, without an end; or go on."""
        self.faults.dark = dark
        self._work.set()


_JSON: Final = [("Content-Type", "application/json")]
