"""HTTP/1.1 as the stand-ins speak it: one connection of a caller, and one of a server, over `Net`."""

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

MOST_BODY: Final = 8 * 1024 * 1024  # bytes
ACCEPT_MOST: Final = 64
WAITING_MOST: Final = 512


class ConnectionBrokenError(Exception):
    """The connection ended, or could not come up; `connected`: whether it ever was."""

    def __init__(self, text: str, *, connected: bool = True) -> None:
        super().__init__(text)
        self.connected = connected


class NotAnAnswerError(Exception):
    """What came is not HTTP."""


class CallerConnection(asyncio.Protocol):
    """The calling end of a connection: one request at a time."""

    def __init__(self) -> None:
        self._parser = ResponseParser(max_body_bytes=MOST_BODY, stream_above_bytes=0)
        self._transport: asyncio.Transport | None = None
        self._came = asyncio.Event()
        self._over = False
        self._answer: Response | None = None
        self.usable = True  # for another request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Keep what came for whoever waits."""
        self._parser.feed(data)
        self._came.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever waits."""
        self._over = True
        self.usable = False
        self._came.set()

    @property
    def is_open(self) -> bool:
        """Whether another request can go out."""
        return self.usable and not self._over

    @property
    def surplus(self) -> bool:
        """Whether bytes have come that belong to no request."""
        return bool(self._parser.buffer)

    def send(self, data: bytes) -> None:
        """Send a request."""
        if self._transport is None or self._over:
            raise ConnectionBrokenError("closed before the request was sent")
        self._transport.write(data)

    async def head(self) -> Response:
        """The head of the answer; its body follows by `data`."""
        while True:
            try:
                answer = self._parser.next_response()
            except RemoteProtocolError as problem:
                raise NotAnAnswerError(str(problem)) from None
            if answer is None and self._over:
                answer = self._parser.receive_eof()
                if answer is None:
                    raise ConnectionBrokenError("closed before an answer")
            if answer is not None:
                self._answer = answer
                self.usable = self.usable and answer.keep_alive
                return answer
            await self._more()

    async def data(self) -> tuple[bytes, bool]:
        """What has come of the body, at least something, and whether it ends there."""
        assert self._answer is not None
        if not self._answer.is_streamed:
            return self._answer.body, True
        while True:
            try:
                data, over = self._parser.next_data()
            except RemoteProtocolError as problem:
                raise NotAnAnswerError(str(problem)) from None
            if data or over:
                return data, over
            if self._over:
                if self._answer.content_length is None and self._parser.receive_eof() is not None:
                    return b"", True
                raise ConnectionBrokenError("closed within the answer")
            await self._more()

    async def body(self) -> bytes:
        """The whole body."""
        parts = []
        over = False
        while not over:
            data, over = await self.data()
            parts.append(data)
        return b"".join(parts)

    def close(self) -> None:
        """End it."""
        self.usable = False
        if self._transport is not None:
            self._transport.close()

    async def _more(self) -> None:
        self._came.clear()
        await self._came.wait()


async def dial(net: Net, address: Address) -> CallerConnection:
    """Connect; ConnectionBrokenError where it can't be."""
    connection = CallerConnection()
    try:
        await net.dial(lambda: connection, address)
    except OSError as problem:
        raise ConnectionBrokenError(str(problem), connected=False) from None
    return connection


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer read to its end."""

    status: int
    headers: dict[str, list[str]] = field(default_factory=dict)
    body: bytes = b""


async def call(net: Net, address: Address, request: bytes, timeout_s: float) -> WholeAnswer | None:
    """One call on a connection of its own; None where no whole answer came in time."""
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await dial(net, address)
            connection.send(request)
            head = await connection.head()
            return WholeAnswer(head.status, head.headers, await connection.body())
    except (TimeoutError, ConnectionBrokenError, NotAnAnswerError):
        return None
    finally:
        if connection is not None:
            connection.close()


Handler = Callable[["ServerConnection", Request], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """The serving end of a connection: requests are handled one after the other."""

    def __init__(self, handler: Handler, ended: Callable[[ServerConnection], None]) -> None:
        self._handler = handler
        self._ended = ended
        self._parser = RequestParser(max_body_bytes=MOST_BODY)
        self.transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self.closes = False  # after the present answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Read, and handle what is whole."""
        self._parser.feed(data)
        self._take()

    def connection_lost(self, exc: Exception | None) -> None:
        """What is under way is dropped."""
        self.transport = None
        if self._task is not None:
            self._task.cancel()
        self._ended(self)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being handled."""
        return self._task is not None

    def answer(self, status: int, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        """A whole answer."""
        self.write(write_response(status, [*headers, *self._closing()], body))

    def begin_stream(self, headers: list[tuple[str, str]]) -> None:
        """The head of an answer in chunks."""
        self.write(write_head("HTTP/1.1 200 OK", [*headers, CHUNKED, *self._closing()]))

    def chunk(self, data: bytes, last: bool = False) -> None:
        """A piece of it."""
        self.write(write_chunk(data) + (LAST_CHUNK if last else b""))

    def write(self, data: bytes) -> None:
        """Send."""
        if self.transport is not None:
            self.transport.write(data)

    def break_off(self) -> None:
        """Close in the middle of whatever it is."""
        if self.transport is not None:
            self.transport.abort()

    def _closing(self) -> list[tuple[str, str]]:
        return [("Connection", "close")] if self.closes else []

    def _take(self) -> None:
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
            self._take()
