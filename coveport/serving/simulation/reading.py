"""How a client reads one answer: whole bodies, or streams event by event."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

from coveport.http1 import RemoteProtocolError, Response
from coveport.net.transport import Net
from coveport.serving.simulation.events import Ending, Event, TryEnded
from coveport.serving.simulation.exchange import CallerConnection, ConnectionBrokenError, NotAnAnswerError
from coveport.serving.simulation.texts import digest
from coveport.serving.wire.names import Header

EVENT_STREAM: Final = "text/event-stream"


@dataclass(frozen=True, slots=True)
class Patience:
    """Until when a client waits, the longest silence that it bears, and the last event that it has."""

    deadline_s: float
    silence_s: float
    resumes_after: int = 0


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """A try's line, and how long the answer asks to wait."""

    line: TryEnded
    retry_after_s: float = 0.0


@dataclass(slots=True)
class _Reading:
    """What has been read so far."""

    net: Net
    try_id: str
    head: Response | None = None
    events: list[Event] = field(default_factory=list)
    first_event_s: float = 0.0
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    body: bytearray = field(default_factory=bytearray)
    bad_events: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        if self.head is None:
            return False
        return self.head.headers.get("content-type", [""])[0].startswith(EVENT_STREAM)

    def take(self, data: bytes) -> None:
        """Read on in the body."""
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
            self.bad_events = True
            return
        now = self.net.now_s()
        if self.events:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_s)
        else:
            self.first_event_s = now
        self.last_event_s = now
        self.events.append(event)

    def line(self, ending: Ending, surplus: bool) -> TryEnded:
        """What the book says of it."""
        head = self.head
        headers = {} if head is None else head.headers
        return TryEnded(
            self.net.now_s(), self.try_id, ending, 0 if head is None else head.status,
            ",".join(headers.get(Header.STAMP, [])), ",".join(headers.get(Header.ATTEMPT_ID, [])),
            tuple(self.events), self.first_event_s, self.longest_pause_s,
            "" if self.is_stream else digest(bytes(self.body)), self.is_stream, surplus,
        )  # fmt: skip


def parse_event(block: bytes) -> Event | None:
    """One event: `id: N`, `data: RUN N ...`, and perhaps other lines; None where it is none."""
    fields = dict(line.split(": ", 1) for line in block.decode("latin-1").split("\n") if ": " in line)
    text = fields.get("data", "")
    number = fields.get("id", "")
    if not number.isdigit() or not text:
        return None
    return Event(int(number), text.split(" ", 1)[0], text)


async def read_answer(
    net: Net, connection: CallerConnection, request: bytes, try_id: str, patience: Patience
) -> ReadAnswer:
    """Send the request and read what comes."""
    reading = _Reading(net, try_id)
    ending = await _read(net, connection, request, reading, patience)
    if ending is Ending.COMPLETE and (reading.bad_events or (reading.is_stream and reading.body)):
        ending = Ending.GARBLED
    surplus = ending is Ending.COMPLETE and connection.surplus
    retry_after_s = 0.0
    if reading.head is not None:
        try:
            retry_after_s = float(reading.head.headers.get(Header.RETRY_AFTER, ["0"])[0])
        except ValueError:
            retry_after_s = 0.0
    return ReadAnswer(reading.line(ending, surplus), retry_after_s)


async def _read(
    net: Net, connection: CallerConnection, request: bytes, reading: _Reading, patience: Patience
) -> Ending:
    try:
        connection.send(request)
        async with asyncio.timeout(_wait_s(net, patience)):
            reading.head = await connection.head()
        over = False
        while not over:
            async with asyncio.timeout(_wait_s(net, patience)):
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


def _wait_s(net: Net, patience: Patience) -> float:
    return max(0.0, min(patience.silence_s, patience.deadline_s - net.now_s()))
