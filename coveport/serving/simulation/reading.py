"""Reads the answer to an attempt for a client: a complete body, or a stream event by event."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

from coveport.http1 import RemoteProtocolError, Response
from coveport.net.transport import Net
from coveport.serving.simulation.events import AttemptEnded, Ending, StreamEvent
from coveport.serving.simulation.exchange import CallerConnection, ConnectionBrokenError, NotAnAnswerError
from coveport.serving.simulation.texts import digest
from coveport.serving.wire.names import Header

EVENT_STREAM: Final = "text/event-stream"


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """The deadline and stall time-out of a read, in seconds, and the number of the last event received."""

    deadline_s: float
    stall_timeout_s: float
    resumes_after: int = 0


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """The log entry of an attempt, and the answer's Retry-After in seconds."""

    entry: AttemptEnded
    retry_after_s: float = 0.0


@dataclass(slots=True)
class _Reading:
    """The state of an answer while it is read."""

    net: Net
    attempt_id: str
    head: Response | None = None
    events: list[StreamEvent] = field(default_factory=list)
    first_event_s: float = 0.0
    last_event_s: float = 0.0
    longest_inter_token_s: float = 0.0
    body: bytearray = field(default_factory=bytearray)
    malformed_events: bool = False

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        if self.head is None:
            return False
        return self.head.headers.get("content-type", [""])[0].startswith(EVENT_STREAM)

    def take(self, data: bytes) -> None:
        """Add received bytes of the body."""
        self.body += data
        if not self.is_stream:
            return
        while (end := self.body.find(b"\n\n")) >= 0:
            block = bytes(self.body[:end])
            del self.body[: end + 2]
            self._take_event(block)

    def _take_event(self, block: bytes) -> None:
        event = parse_event(block)
        if event is None:
            self.malformed_events = True
            return
        now = self.net.now_s()
        if self.events:
            self.longest_inter_token_s = max(self.longest_inter_token_s, now - self.last_event_s)
        else:
            self.first_event_s = now
        self.last_event_s = now
        self.events.append(event)

    def entry(self, ending: Ending, surplus: bool) -> AttemptEnded:
        """Return the log entry of the attempt."""
        head = self.head
        headers = {} if head is None else head.headers
        return AttemptEnded(
            self.net.now_s(), self.attempt_id, ending, 0 if head is None else head.status,
            ",".join(headers.get(Header.STAMP, [])), ",".join(headers.get(Header.ATTEMPT_ID, [])),
            tuple(self.events), self.first_event_s, self.longest_inter_token_s,
            "" if self.is_stream else digest(bytes(self.body)), self.is_stream, surplus,
        )  # fmt: skip


def parse_event(block: bytes) -> StreamEvent | None:
    """Parse an event with the lines `id: N` and `data: RUN N ...`, and possibly more; None if malformed."""
    fields = dict(entry.split(": ", 1) for entry in block.decode("latin-1").split("\n") if ": " in entry)
    text = fields.get("data", "")
    number = fields.get("id", "")
    if not number.isdigit() or not text:
        return None
    return StreamEvent(int(number), text.split(" ", 1)[0], text)


async def read_answer(
    net: Net, connection: CallerConnection, request: bytes, attempt_id: str, limits: ReadLimits
) -> ReadAnswer:
    """Send a request and read its answer."""
    reading = _Reading(net, attempt_id)
    ending = await _read(net, connection, request, reading, limits)
    if ending is Ending.COMPLETE and (reading.malformed_events or (reading.is_stream and reading.body)):
        ending = Ending.GARBLED
    surplus = ending is Ending.COMPLETE and connection.surplus
    retry_after_s = 0.0
    if reading.head is not None:
        try:
            retry_after_s = float(reading.head.headers.get(Header.RETRY_AFTER, ["0"])[0])
        except ValueError:
            retry_after_s = 0.0
    return ReadAnswer(reading.entry(ending, surplus), retry_after_s)


async def _read(
    net: Net, connection: CallerConnection, request: bytes, reading: _Reading, limits: ReadLimits
) -> Ending:
    try:
        connection.send(request)
        async with asyncio.timeout(_wait_s(net, limits)):
            reading.head = await connection.head()
        over = False
        while not over:
            async with asyncio.timeout(_wait_s(net, limits)):
                data, over = await connection.data()
            reading.take(data)
    except TimeoutError:
        connection.close()
        return Ending.ABANDONED
    except ConnectionBrokenError:
        return Ending.BROKEN
    except (NotAnAnswerError, RemoteProtocolError):
        connection.close()
        return Ending.GARBLED
    return Ending.COMPLETE


def _wait_s(net: Net, limits: ReadLimits) -> float:
    return max(0.0, min(limits.stall_timeout_s, limits.deadline_s - net.now_s()))
