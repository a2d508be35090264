"""HTTP/1.1 connections of the emulated programs, one class for each side, over `Net`."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from coveport.http1 import (
    CHUNKED,
    LAST_CHUNK,
    RemoteProtocolError,
    Request,
    RequestParser,
    Response,
    ResponseParser,
    write_chunk,
    write_head,
    write_response,
)
from coveport.net.address import Address
from coveport.net.transport import Net

MAX_BODY_BYTES: Final = 8 * 1024 * 1024
MAX_ACCEPTS_PER_TURN: Final = 64
BACKLOG: Final = 512


class ConnectionBrokenError(Exception):
    """The connection was lost or could not be opened; `connected`: whether it had been open."""

    def __init__(self, text: str, *, connected: bool = True) -> None:
        super().__init__(text)
        self.connected = connected


class NotAnAnswerError(Exception):
    """The received bytes are not an HTTP response."""


class CallerConnection(asyncio.Protocol):
    """The client side of a connection, which carries one request at a time."""

    def __init__(self) -> None:
        self._parser = ResponseParser(max_body_bytes=MAX_BODY_BYTES, stream_above_bytes=0)
        self._transport: asyncio.Transport | None = None
        self._received = asyncio.Event()
        self._is_closed = False
        self._answer: Response | None = None
        self.usable = True  # whether another request may be sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and wake the reader."""
        self._parser.feed(data)
        self._received.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection as closed and wake the reader."""
        self._is_closed = True
        self.usable = False
        self._received.set()

    @property
    def is_open(self) -> bool:
        """Return whether another request can be sent."""
        return self.usable and not self._is_closed

    @property
    def surplus(self) -> bool:
        """Return whether bytes were received that belong to no request."""
        return bool(self._parser.buffer)

    def send(self, data: bytes) -> None:
        """Send a request; raise ConnectionBrokenError when the connection is closed."""
        if self._transport is None or self._is_closed:
            raise ConnectionBrokenError("closed before the request was sent")
        self._transport.write(data)

    async def head(self) -> Response:
        """Wait for the head of the answer and return it; `data` then reads the body.

        Raises ConnectionBrokenError or NotAnAnswerError.
        """
        while True:
            try:
                answer = self._parser.next_response()
            except RemoteProtocolError as problem:
                raise NotAnAnswerError(str(problem)) from None
            if answer is None and self._is_closed:
                answer = self._parser.receive_eof()
                if answer is None:
                    raise ConnectionBrokenError("closed before an answer was received")
            if answer is not None:
                self._answer = answer
                self.usable = self.usable and answer.keep_alive
                return answer
            await self._wait_for_data()

    async def data(self) -> tuple[bytes, bool]:
        """Wait for more of the body; return the bytes, and whether the body ends with them.

        Raises ConnectionBrokenError or NotAnAnswerError.
        """
        assert self._answer is not None
        if not self._answer.is_streamed:
            return self._answer.body, True
        while True:
            try:
                data, is_last = self._parser.next_data()
            except RemoteProtocolError as problem:
                raise NotAnAnswerError(str(problem)) from None
            if data or is_last:
                return data, is_last
            if self._is_closed:
                if self._answer.content_length is None and self._parser.receive_eof() is not None:
                    return b"", True
                raise ConnectionBrokenError("closed before the answer was complete")
            await self._wait_for_data()

    async def body(self) -> bytes:
        """Read the complete body."""
        segments = []
        is_last = False
        while not is_last:
            data, is_last = await self.data()
            segments.append(data)
        return b"".join(segments)

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        if self._transport is not None:
            self._transport.close()

    async def _wait_for_data(self) -> None:
        self._received.clear()
        await self._received.wait()


async def dial(net: Net, address: Address) -> CallerConnection:
    """Open a connection; raise ConnectionBrokenError when that fails."""
    connection = CallerConnection()
    try:
        await net.dial(lambda: connection, address)
    except OSError as problem:
        raise ConnectionBrokenError(str(problem), connected=False) from None
    return connection


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """An answer that was received completely."""

    status: int
    headers: dict[str, list[str]] = field(default_factory=dict)
    body: bytes = b""


async def call(net: Net, address: Address, request: bytes, timeout_s: float) -> CompleteAnswer | None:
    """Send a request on a new connection; return None when no complete answer came in time."""
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await dial(net, address)
            connection.send(request)
            head = await connection.head()
            return CompleteAnswer(head.status, head.headers, await connection.body())
    except (TimeoutError, ConnectionBrokenError, NotAnAnswerError):
        return None
    finally:
        if connection is not None:
            connection.close()


Handler = Callable[["ServerConnection", Request], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """The server side of a connection, which handles requests one after the other."""

    def __init__(self, handler: Handler, ended: Callable[[ServerConnection], None]) -> None:
        self._handler = handler
        self._ended = ended
        self._parser = RequestParser(max_body_bytes=MAX_BODY_BYTES)
        self.transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self.closes = False  # whether the connection closes after the current answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and handle the next complete request."""
        self._parser.feed(data)
        self._handle_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self.transport = None
        if self._task is not None:
            self._task.cancel()
        self._ended(self)

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in progress."""
        return self._task is not None

    def answer(self, status: int, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        """Send a complete answer."""
        self.write(write_response(status, [*headers, *self._closing()], body))

    def begin_stream(self, headers: list[tuple[str, str]]) -> None:
        """Send the head of a chunked answer."""
        self.write(write_head("HTTP/1.1 200 OK", [*headers, CHUNKED, *self._closing()]))

    def chunk(self, data: bytes, last: bool = False) -> None:
        """Send one chunk of an answer; `last`: also send the last-chunk marker."""
        self.write(write_chunk(data) + (LAST_CHUNK if last else b""))

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closed."""
        if self.transport is not None:
            self.transport.write(data)

    def break_off(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    def _closing(self) -> list[tuple[str, str]]:
        return [("Connection", "close")] if self.closes else []

    def _handle_next(self) -> None:
        if self._task is not None or self.transport is None:
            return
        try:
            request = self._parser.next_request()
        except RemoteProtocolError as problem:
            self.closes = True
            self.answer(problem.status, [])
            self.transport.close()
            return
        if request is not None:
            if not request.keep_alive:
                self.closes = True
            self._task = asyncio.get_running_loop().create_task(self._handle(request))

    async def _handle(self, request: Request) -> None:
        try:
            await self._handler(self, request)
        finally:
            self._task = None
        if self.transport is None:
            return
        if self.closes:
            self.transport.close()
        else:
            self._handle_next()
