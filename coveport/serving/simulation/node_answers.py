"""Writes one answer of a node as its engine produces the events, with the faults drawn for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from coveport.http1 import Request
from coveport.serving.simulation.engine import Began, Effect, Expired, Produced
from coveport.serving.simulation.exchange import ServerConnection
from coveport.serving.simulation.texts import complete_body, digest, event_block
from coveport.serving.wire.names import Header

BREAK_OFF_EVENTS: Final = 4  # a stream that breaks off does so before this many events
NEVER: Final = 1 << 30


@dataclass(slots=True)
class NodeFaults:
    """The faults of a node, as probabilities per request. They may change while requests run."""

    break_off_probability: float = 0.0  # breaks off in the middle of a stream
    garble_probability: float = 0.0  # sends bytes that are not HTTP
    surplus_probability: float = 0.0  # sends a second answer after a complete one
    refuse_probability: float = 0.0  # rejects with 503 although the queue is not full
    unresponsive: bool = False  # doesn't read, answer or send heartbeats


@dataclass(frozen=True, slots=True)
class AnswerFaults:
    """The faults drawn for one answer."""

    max_events: int = NEVER  # the answer breaks off after this many events
    surplus: bool = False

    @classmethod
    def draw(cls, faults: NodeFaults, rng: Random) -> AnswerFaults:
        """Draw the faults of an answer from the node's probabilities."""
        breaks = rng.random() < faults.break_off_probability
        surplus = rng.random() < faults.surplus_probability
        return cls(rng.randrange(BREAK_OFF_EVENTS) if breaks else NEVER, surplus)


@dataclass(slots=True)
class NodeAnswer:
    """The answer to one request that was accepted into the queue."""

    run: str
    attempt_id: str
    request: Request
    faults: AnswerFaults
    inbox: asyncio.Queue[Effect] = field(default_factory=asyncio.Queue)
    began: bool = False
    complete: bool = False
    broke: bool = False  # the node broke off the answer

    @property
    def stamp(self) -> str:
        """Return the stamp by which the judge verifies that this node wrote the answer."""
        return f"{self.run}.{digest(self.attempt_id.encode())}"

    @property
    def _headers(self) -> list[tuple[str, str]]:
        return [(Header.ATTEMPT_ID, self.attempt_id), (Header.STAMP, self.stamp), (Header.VERSIONS, "1")]

    @property
    def _is_stream(self) -> bool:
        return self.request.get(Header.TOKENS) is not None

    async def write(self, connection: ServerConnection, on_began: Callable[[], None]) -> bool:
        """Write the answer; return False if the deadline passed before it began and nothing was written."""
        events_left = self.faults.max_events
        while not (self.complete or self.broke):
            effect = await self.inbox.get()
            if isinstance(effect, Began):
                self._begin(connection)
                on_began()
            elif isinstance(effect, Expired):
                if not effect.began:
                    return False
                self._break_off(connection)
            elif events_left <= 0:
                self._break_off(connection)
            else:
                self._write_event(connection, effect)
                events_left -= 1
        return True

    def _begin(self, connection: ServerConnection) -> None:
        self.began = True
        if self._is_stream:
            connection.begin_stream([("Content-Type", "text/event-stream"), *self._headers])

    def _write_event(self, connection: ServerConnection, effect: Produced) -> None:
        if self._is_stream:
            connection.chunk(event_block(self.run, effect.number), effect.last)
        elif effect.last:
            connection.answer(200, self._headers, complete_body(self.run, digest(self.request.body)))
        if effect.last:
            self.complete = True
            if self.faults.surplus:
                connection.answer(200, self._headers, b"one answer too many")

    def _break_off(self, connection: ServerConnection) -> None:
        self.broke = True
        connection.break_off()
