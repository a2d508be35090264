"""Test doubles for tests of the data path: nodes that follow a script, and a client."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from coveport import http1

STAMP_HEADER = "Coveport-Postmark"


@dataclass
class Arrival:
    request: http1.Request
    connection: Connection

    def header(self, name: str) -> str | None:
        return self.request.get(name.lower())

    def head(
        self, status: int = 200, *extra_headers: tuple[str, str], stamp: str | None = "stamp-1"
    ) -> bytes:
        headers = [("Coveport-Try-Id", self.header("Coveport-Try-Id") or ""), *extra_headers]
        if stamp is not None:
            headers.append((STAMP_HEADER, stamp))
        return http1.write_head(f"HTTP/1.1 {status} X", headers)

    def respond(self, body: bytes = b"hello", status: int = 200, *extra_headers: tuple[str, str]) -> None:
        self.connection.write(self.head(status, *extra_headers, ("Content-Length", str(len(body)))) + body)

    def reject(self, status: int = 503) -> None:
        self.connection.write(self.head(status, ("Coveport-Not-Run", "1"), ("Content-Length", "0")))

    def begin_events(self) -> None:
        content_type = ("Content-Type", "text/event-stream")
        self.connection.write(self.head(200, content_type, ("Transfer-Encoding", "chunked")))

    def send_event(self, number: int) -> None:
        self.connection.write(http1.write_chunk(event_bytes(number)))

    def end_events(self) -> None:
        self.connection.write(http1.LAST_CHUNK)


def event_bytes(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class Connection(asyncio.Protocol):
    """A node's end of a connection; it serves one request at a time, as the operators' page says."""

    def __init__(self, node: ScriptedNode) -> None:
        self.node = node
        self.parser = http1.RequestParser(8 << 20, max_head_bytes=1 << 20)
        self.transport: asyncio.Transport | None = None
        self.is_closed = False
        self._waiting: deque[http1.Request] = deque()
        self._is_serving = False
        self._all_sent = asyncio.Event()
        self._all_sent.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.node.connections.append(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while (request := self.parser.next_request()) is not None:
            self._waiting.append(request)
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        while self._waiting and not self._is_serving:
            arrival = Arrival(self._waiting.popleft(), self)
            self.node.arrivals.append(arrival)
            script_run = self.node.script(arrival)
            if script_run is not None:
                self._is_serving = True
                task = asyncio.ensure_future(script_run)
                self.node.tasks.add(task)
                task.add_done_callback(self._on_served)

    def _on_served(self, task: asyncio.Future[None]) -> None:
        self.node.tasks.discard(task)
        self._is_serving = False
        if not self.is_closed and not task.cancelled() and task.exception() is None:
            self._serve_waiting()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True

    def pause_writing(self) -> None:
        self._all_sent.clear()

    def resume_writing(self) -> None:
        self._all_sent.set()

    async def wait_until_sent(self) -> None:
        """Wait until the write buffer of the transport is empty."""
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)
        await self._all_sent.wait()

    def write(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)

    def close(self) -> None:
        assert self.transport is not None
        self.transport.close()

    def abort(self) -> None:
        assert self.transport is not None
        self.transport.abort()


Script = Callable[[Arrival], Awaitable[None] | None]


@dataclass
class ScriptedNode:
    script: Script
    arrivals: list[Arrival] = field(default_factory=list)
    connections: list[Connection] = field(default_factory=list)
    tasks: set[asyncio.Future[None]] = field(default_factory=set)

    def make_connection(self) -> Connection:
        return Connection(self)


class ScriptedClient(asyncio.Protocol):
    """A client that sends requests and parses responses strictly."""

    def __init__(self) -> None:
        self.parser = http1.ResponseParser(1 << 30)
        self.transport: asyncio.Transport | None = None
        self.is_disconnected = False
        self.received = bytearray()
        self.responses: list[http1.Response] = []
        self._changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        self.parser.feed(data)
        while (response := self.parser.next_response()) is not None:
            self.responses.append(response)
        self._changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_disconnected = True
        self._changed.set()

    def send(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)

    def send_request(
        self,
        path: str = "/a/x",
        *extra_headers: tuple[str, str],
        host: str = "one.example",
        body: bytes = b"prompt",
        method: str = "POST",
        attempt_id: str = "t-1",
    ) -> None:
        headers = [("Host", host), ("Coveport-Try-Id", attempt_id), *extra_headers]
        self.send(http1.write_request(method, path, headers, body))

    async def response(self, number: int = 0) -> http1.Response | None:
        """Return the response of this number, or None if the connection ended without it."""
        while len(self.responses) <= number:
            if self.is_disconnected:
                return None
            self._changed.clear()
            await self._changed.wait()
        return self.responses[number]

    async def wait_for(self, data: bytes) -> None:
        """Wait until these bytes have been received."""
        while data not in self.received:
            assert not self.is_disconnected, bytes(self.received)
            self._changed.clear()
            await self._changed.wait()

    async def wait_closed(self) -> None:
        """Wait until the connection has ended."""
        while not self.is_disconnected:
            self._changed.clear()
            await self._changed.wait()
