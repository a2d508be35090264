"""Emulated model server: a node that answers requests with streams paced by its engine."""

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
from coveport.serving.simulation.engine import DEFAULT_PRIORITY, Engine, EngineFigures, PrefixSegment, Work
from coveport.serving.simulation.events import (
    EventLog,
    NodeEnded,
    NodeStarted,
    RequestArrived,
    RequestFinished,
    RequestRan,
    RequestRejected,
    WarmUpBegan,
)
from coveport.serving.simulation.exchange import BACKLOG, MAX_ACCEPTS_PER_TURN, ServerConnection
from coveport.serving.simulation.node_answers import AnswerFaults, NodeAnswer, NodeFaults
from coveport.serving.simulation.texts import digest
from coveport.serving.wire.names import Header, Path, Report

DEFAULT_TIMEOUT_MS: Final = 60_000.0  # for a request that doesn't state its remaining time


@dataclass(frozen=True, slots=True)
class NodeFigures:
    """The parameters of a node."""

    service: str
    address: Address
    zone: str
    region: str
    engine: EngineFigures = field(default_factory=EngineFigures)
    health_path: str = "/health"
    max_connections: int = 370
    warm_up_rate: float = 0.0  # requests per second that the node can serve while warming up
    warm_up_crash_rate: float = float("inf")  # requests per second above which a warm-up crashes


def parse_segments(text: str) -> tuple[PrefixSegment, ...]:
    """Parse the segments of a prompt from their header, `ID:TOKENS` separated by commas."""
    pairs = (segment.rpartition(":") for segment in text.split(",") if segment)
    return tuple(PrefixSegment(name.strip(), int(tokens)) for name, _, tokens in pairs)


def _all_values(request: Request, name: str) -> str:
    """Return all values of a header, joined by commas."""
    return ",".join(request.headers.get(name, ()))


class ModelServer:
    """One incarnation of a node."""

    def __init__(self, net: Net, figures: NodeFigures, event_log: EventLog, rng: Random) -> None:
        self.figures = figures
        self.faults = NodeFaults()
        self.incarnation = f"i-{rng.getrandbits(32):08x}"
        self.state = NodeState.ACCEPTING
        self.on_end: Callable[[], None] | None = None  # called once, when the incarnation has ended
        self.engine = Engine(figures.engine)
        self._net = net
        self._event_log = event_log
        self._rng = rng
        self._listening: Listening | None = None
        self._connections: dict[ServerConnection, None] = {}
        self._answers: dict[str, NodeAnswer] = {}
        self._run_count = 0
        self._work_available = asyncio.Event()
        self._step_task: asyncio.Task[None] | None = None
        self._warm_up_until_s = 0.0
        self._warm_up_arrivals: deque[float] = deque()
        self._has_ended = False

    async def start(self, warm_up_s: float = 0.0) -> None:
        """Start serving, and warm up for `warm_up_s` unless that is zero."""
        figures = self.figures
        self._listening = await self._net.listen(
            self._accept, figures.address, accepts_per_turn=MAX_ACCEPTS_PER_TURN, backlog=BACKLOG
        )
        address = "{}:{}".format(*figures.address)
        now = self._net.now_s()
        self._event_log.write(
            NodeStarted(now, self.incarnation, figures.service, address, figures.zone, figures.region)
        )
        if warm_up_s:
            self.begin_warm_up(warm_up_s)
        self._step_task = asyncio.get_running_loop().create_task(self._run_steps())

    def begin_warm_up(self, for_s: float) -> None:
        """Warm up for `for_s` from now on."""
        now = self._net.now_s()
        self._warm_up_until_s = now + for_s
        self._event_log.write(
            WarmUpBegan(now, self.incarnation, self._warm_up_until_s, self.figures.warm_up_rate)
        )

    @property
    def warm_up_left_ms(self) -> float:
        """Return the remaining warm-up time."""
        return max(0.0, self._warm_up_until_s - self._net.now_s()) * 1000

    @property
    def ended(self) -> bool:
        """Return whether this incarnation has ended."""
        return self._has_ended

    def drain(self) -> None:
        """Drain: answers close their connections, and health reports the shutdown."""
        self.state = NodeState.DRAINING
        for connection in self._connections:
            connection.closes = True

    def end(self, *, planned: bool) -> None:
        """End this incarnation and reset its connections; `planned` is False for a crash."""
        if self._has_ended:
            return
        self._has_ended = True
        self.state = NodeState.DEREGISTERED
        self._event_log.write(NodeEnded(self._net.now_s(), self.incarnation, planned))
        if self._listening is not None:
            self._listening.close()
        for connection in list(self._connections):
            if connection.transport is not None:
                self._net.reset(connection.transport)
        if self._step_task is not None:
            self._step_task.cancel()
        if self.on_end is not None:
            self.on_end()

    # Connections.

    def _accept(self) -> ServerConnection:
        connection = ServerConnection(self._handle, self._forget_connection)
        connection.closes = self.state is NodeState.DRAINING
        self._connections[connection] = None
        if len(self._connections) > self.figures.max_connections:
            asyncio.get_running_loop().call_soon(connection.break_off)
        return connection

    def _forget_connection(self, connection: ServerConnection) -> None:
        self._connections.pop(connection, None)

    async def _handle(self, connection: ServerConnection, request: Request) -> None:
        if self.faults.unresponsive:
            await asyncio.get_running_loop().create_future()  # until the connection closes
        path = request.target.partition("?")[0]
        if request.method == "GET" and path == Path.REPORT:
            connection.answer(200, _JSON, json.dumps(self.report()).encode())
        elif request.method == "GET" and path == self.figures.health_path:
            self._answer_health(connection)
        else:
            await self._serve(connection, request)

    def report(self) -> dict[str, object]:
        """Return the load report."""
        return {
            Report.QUEUED: self.engine.queued,
            Report.RUNNING: self.engine.running,
            Report.MEMORY_USED: self.engine.kv_tokens_used,
            Report.MEMORY_TOTAL: self.figures.engine.kv_cache_tokens,
        }

    def _answer_health(self, connection: ServerConnection) -> None:
        is_full = self.engine.queued >= self.figures.engine.queue
        healthy = self.state is NodeState.ACCEPTING and not is_full
        headers = [(Header.INCARNATION, self.incarnation), (Header.WARM_UP_MS, f"{self.warm_up_left_ms:.0f}")]
        connection.answer(200 if healthy else 503, headers)

    # Requests.

    async def _serve(self, connection: ServerConnection, request: Request) -> None:
        now = self._net.now_s()
        attempt_id = request.get(Header.ATTEMPT_ID) or ""
        resumes_after = int(request.get(Header.LAST_EVENT_ID) or 0)
        body = digest(request.body)
        host = request.get("host") or ""
        arrival = RequestArrived(
            now, self.incarnation, attempt_id, request.method, request.target, host, body, resumes_after,
            _all_values(request, Header.TENANT), _all_values(request, Header.API_KEY),
        )  # fmt: skip
        self._event_log.write(arrival)
        expected = request.get(Header.EXPECT_INCARNATION)
        if expected not in (None, self.incarnation):
            self._reject(connection, attempt_id, 421)
        elif not attempt_id:
            self._reject(connection, attempt_id, 400)
        elif self._is_overloaded(now):
            self.end(planned=False)
        elif self._rng.random() < self.faults.refuse_probability:
            self._reject(connection, attempt_id, 503)
        elif self._rng.random() < self.faults.garble_probability:
            connection.write(b"\x00garbled\x01 bytes that are no answer\r\n\r\n")
            connection.break_off()
        else:
            await self._run(connection, request, attempt_id, resumes_after)

    def _is_overloaded(self, now: float) -> bool:
        """Record an arrival; return whether a node that warms up now exceeds `warm_up_crash_rate`."""
        if now >= self._warm_up_until_s:
            return False
        self._warm_up_arrivals.append(now)
        while self._warm_up_arrivals[0] <= now - 1.0:
            self._warm_up_arrivals.popleft()
        return len(self._warm_up_arrivals) > self.figures.warm_up_crash_rate

    def _reject(self, connection: ServerConnection, attempt_id: str, status: int) -> None:
        self._event_log.write(RequestRejected(self._net.now_s(), self.incarnation, attempt_id, status))
        headers = [
            (Header.ATTEMPT_ID, attempt_id),
            (Header.NOT_RUN, "1"),
            (Header.INCARNATION, self.incarnation),
        ]
        if status == 503:
            headers.append((Header.RETRY_AFTER, "0.2"))
        connection.answer(status, headers)

    async def _run(
        self, connection: ServerConnection, request: Request, attempt_id: str, resumes_after: int
    ) -> None:
        self._run_count += 1
        run = f"{self.incarnation}.{self._run_count}"
        if self.engine.submit(self._work_of(request, run, resumes_after), self._now_ms()) is not None:
            self._reject(connection, attempt_id, 503)
            return
        answer = NodeAnswer(run, attempt_id, request, AnswerFaults.draw(self.faults, self._rng))
        self._answers[run] = answer
        self._work_available.set()
        try:
            if not await answer.write(connection, lambda: self._record_run(answer, resumes_after)):
                self._reject(connection, attempt_id, 503)
        finally:
            self.engine.drop(run)
            del self._answers[run]
            if answer.began:
                self._record_end(answer)

    def _record_run(self, answer: NodeAnswer, resumes_after: int) -> None:
        now, ids = self._net.now_s(), (self.incarnation, answer.attempt_id, answer.run, answer.stamp)
        self._event_log.write(RequestRan(now, *ids, first_event=resumes_after + 1))

    def _record_end(self, answer: NodeAnswer) -> None:
        now, ids = self._net.now_s(), (self.incarnation, answer.attempt_id, answer.run)
        broke = answer.broke or self._has_ended
        self._event_log.write(
            RequestFinished(now, *ids, status=200, complete=answer.complete, node_broke=broke)
        )

    def _work_of(self, request: Request, key: str, resumes_after: int) -> Work:
        left_ms = float(request.get(Header.TIME_LEFT) or DEFAULT_TIMEOUT_MS)
        tokens = (request.get(Header.TOKENS) or "1,1").split(",")
        segments = parse_segments(request.get(Header.PROMPT_PREFIX) or f"{key}:{tokens[0]}")
        priority = int(request.get(Header.PRIORITY) or DEFAULT_PRIORITY)
        return Work(key, segments, int(tokens[1]), self._now_ms() + left_ms, priority, resumes_after)

    # The engine's steps.

    def _now_ms(self) -> float:
        return self._net.now_s() * 1000

    async def _run_steps(self) -> None:
        while True:
            if self.engine.idle or self.faults.unresponsive:
                self._work_available.clear()
                await self._work_available.wait()
            await asyncio.sleep(self.engine.step_ms() / 1000)
            if self.faults.unresponsive:
                continue
            for effect in self.engine.step(self._now_ms()):
                answer = self._answers.get(effect.key)
                if answer is not None:
                    answer.inbox.put_nowait(effect)

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Set whether the node stops responding while its connections stay open."""
        self.faults.unresponsive = unresponsive
        self._work_available.set()


_JSON: Final = [("Content-Type", "application/json")]
