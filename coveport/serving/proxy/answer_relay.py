"""Passes a node's answer on to the client: never another's, and never as whole what broke off."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol, TypeVar

from coveport.http1 import codec
from coveport.serving.proxy.client_connection import ClientConnection
from coveport.serving.proxy.event_stream import EventCutter, EventOrder
from coveport.serving.proxy.headers import first, passed_on
from coveport.serving.proxy.node_connection import NodeClosedError, NodeConnection
from coveport.serving.wire.names import Header

REFUSALS = frozenset({408, 421, 429, 503})  # a client that gets one may count on not having run
MISDIRECTED = 421
FAILURES_TO_REPEAT = frozenset({500, 502})  # ran and failed: worth another node where that is allowed
SURPLUS_AT_MOST = 2  # whole answers to others that are read over in front of ours

Read = TypeVar("Read")


class Answer(Enum):
    """What came of a send."""

    PASSED_ON = "the client has the whole answer"
    FAILURE_PASSED_ON = "the client has the node's own failure"
    NOT_RUN = "the node is full: it did not run the request"
    MISDIRECTED = "another incarnation answered: it did not run the request"
    FAILED = "the node ran it and failed, and another may be asked"


class Counters(Protocol):
    """Counts for the log."""

    def add(self, name: str) -> None:
        """One more."""


@dataclass(slots=True)
class Patience:
    """How long a node may be silent in front of the head, and between events, before `may_leave` is asked."""

    head_s: float
    data_s: float
    may_leave: Callable[[], bool]  # whether another node may, and can, take the request


@dataclass(slots=True)
class AnswerRelay:
    """The answer to one request, over all nodes that it is sent to."""

    client: ClientConnection
    try_id: str | None
    is_resumable: bool
    counters: Counters
    order: EventOrder
    cutter: EventCutter = field(default_factory=EventCutter)

    async def relay(
        self, connection: NodeConnection, patience: Patience | None, may_repeat: Callable[[], bool]
    ) -> Answer:
        """Read and pass on; NodeClosedError where the answer breaks off or is none.

        `may_repeat` is asked where the node failed: whether another may be sent the request.
        """
        response = await self._our_head(connection, patience)
        if response.status in REFUSALS:
            return await self._refused(connection, response)
        if 200 <= response.status < 300:
            await self._pass_success(connection, response, patience)
            return Answer.PASSED_ON
        if self.client.has_begun:
            raise NodeClosedError("a stream that is not continued")
        if response.status in FAILURES_TO_REPEAT and may_repeat():
            await self._read_over(connection, response)
            return Answer.FAILED
        await self._pass_bytes(connection, response)
        is_failure = response.status in FAILURES_TO_REPEAT
        return Answer.FAILURE_PASSED_ON if is_failure else Answer.PASSED_ON

    async def _our_head(self, connection: NodeConnection, patience: Patience | None) -> codec.Response:
        """The head of our answer; whole answers to others in front of it are read over."""
        for _ in range(SURPLUS_AT_MOST + 1):
            response = await _patiently(connection.read_head, patience, patience.head_s if patience else 0.0)
            theirs = first(response.headers, Header.ATTEMPT_ID)
            if theirs == self.try_id:
                return response
            if theirs is None:
                break
            self.counters.add("surplus")
            connection.is_suspect = True
            await self._read_over(connection, response)
        raise NodeClosedError("an answer to another request")

    async def _refused(self, connection: NodeConnection, response: codec.Response) -> Answer:
        if response.status != MISDIRECTED and Header.NOT_RUN not in response.headers:
            raise NodeClosedError(f"{response.status} that does not say whether it ran")
        await self._read_over(connection, response)
        return Answer.MISDIRECTED if response.status == MISDIRECTED else Answer.NOT_RUN

    async def _read_over(self, connection: NodeConnection, response: codec.Response) -> None:
        over = not response.long
        while not over:
            _, over = await connection.read_data()

    async def _pass_success(
        self, connection: NodeConnection, response: codec.Response, patience: Patience | None
    ) -> None:
        if Header.STAMP not in response.headers or "content-encoding" in response.headers:
            raise NodeClosedError("a success that is not the node's own")
        if self.is_resumable:
            await self._pass_events(connection, response, patience)
        else:
            await self._pass_bytes(connection, response)

    async def _pass_bytes(self, connection: NodeConnection, response: codec.Response) -> None:
        """Pass a body on as it comes."""
        over = not response.long
        self.client.begin(response.status, list(passed_on(response.headers)), 0 if over else response.length)
        while not over:
            data, over = await connection.read_data()
            self.client.write(data)
            await self.client.drained()
        self.client.finish()

    async def _pass_events(
        self, connection: NodeConnection, response: codec.Response, patience: Patience | None
    ) -> None:
        """Pass whole events on, so that another node can continue after any of them."""
        self.cutter.rest.clear()
        self.order.begin_run()
        if not self.client.has_begun:
            self.client.begin(response.status, list(passed_on(response.headers)), None)
        over = not response.long
        while not over:
            data, over = await _patiently(
                connection.read_data, patience, patience.data_s if patience else 0.0
            )
            for event in self.cutter.feed(data):
                self._pass_event(event)
            await self.client.drained()
        self.client.write(bytes(self.cutter.rest))
        self.client.finish()

    def _pass_event(self, event: bytes) -> None:
        if not self.order.follows(event):
            raise NodeClosedError("an event out of its order")
        self.client.write(event)
        self.order.note_passed(event)


async def _patiently(read: Callable[[], Awaitable[Read]], patience: Patience | None, bound_s: float) -> Read:
    """Read; NodeClosedError where nothing comes for so long and another node can take the request."""
    if patience is None:
        return await read()
    while True:
        try:
            async with asyncio.timeout(bound_s):
                return await read()
        except TimeoutError:
            if patience.may_leave():
                raise NodeClosedError("the node is silent") from None
