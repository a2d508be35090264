"""One client's HTTP/1.1 connection: requests in, one after the other, and their answers out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from coveport.http1 import codec
from coveport.net.transport import Net
from coveport.serving.model.configuration import ClientLimits
from coveport.serving.proxy.headers import status_line, write_answer

MOST_UNREAD = 64 * 1024  # bytes of further requests that are held while one is answered
MOST_UNSENT = 64 * 1024  # bytes of an answer that are held for a slow client
LINGER_S = 1.0  # how long a rejected client may go on sending before the close
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
IDLE_MARGIN_S = 2.0  # clients are told to give an idle connection up so long before we close it


class ClientOwner(Protocol):
    """What a connection needs of the data path."""

    def joined(self, connection: ClientConnection) -> None:
        """A client has connected."""

    def left(self, connection: ClientConnection) -> None:
        """... and is gone."""

    def serve(self, request: codec.Request, connection: ClientConnection) -> Coroutine[Any, Any, None]:
        """Answer a request."""

    @property
    def is_draining(self) -> bool:
        """Whether connections end with their next answer."""


class ClientConnection(asyncio.Protocol):
    """Hands requests to its owner, who answers through `begin`, `write`, `finish`, or `answer`."""

    def __init__(self, net: Net, owner: ClientOwner, limits: Callable[[], ClientLimits]) -> None:
        self._net = net
        self._owner = owner
        self._limits = limits
        self._parser = codec.RequestParser(limits().body_bytes, most_head=limits().header_bytes)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._drained = asyncio.Event()
        self._drained.set()
        self._discards = False  # rejected: what still comes is thrown away
        self._paused = False
        self._begun = False  # the present answer's head is written
        self._finished = False  # ... and all of it
        self._chunked = False
        self._is_framed = False  # its end can be told from the connection's
        self._keeps = False
        self._times_head = False  # the timer that runs is that of a head's reading

    # As asyncio calls it.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=MOST_UNSENT)
        self._owner.joined(self)
        self._wait_for_request()

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        if self._discards:
            return
        self._parser.feed(data)
        if self._task is None:
            self._advance()
        elif len(self._parser.held) > MOST_UNREAD and self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        """The client reads more slowly than the node sends."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """There is room again."""
        self._drained.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """The client is gone: what is done for it is given up."""
        self._stop_timer()
        self._transport = None
        self._drained.set()
        if self._task is not None:
            self._task.cancel()
        self._owner.left(self)

    # Requests.

    def _advance(self) -> None:
        """Take up the next request, if it is whole."""
        try:
            request = self._parser.next_request()
        except codec.BadMessageError as problem:
            self._reject(problem.status)
            return
        if request is None:
            if self._parser.wants_continue and self._transport is not None:
                self._transport.write(CONTINUE)
            self._wait_for_request()
            return
        self._stop_timer()
        self._begun = self._finished = False
        self._keeps = request.keep_alive
        self._task = self._net.loop.create_task(self._owner.serve(request, self))
        self._task.add_done_callback(self._served)

    def _served(self, task: asyncio.Task[None]) -> None:
        self._task = None
        failed = not task.cancelled() and task.exception() is not None
        if failed:
            context = {"message": "a request", "exception": task.exception()}
            self._net.loop.call_exception_handler(context)
        transport = self._transport
        if transport is None:
            return
        if failed or not self._finished:
            self.abort()
        elif not self._keeps or (self._owner.is_draining and not self._parser.begun):
            transport.close()
        else:
            if self._paused:
                self._paused = False
                transport.resume_reading()
            self._advance()

    def _reject(self, status: int) -> None:
        """Answer what is no request that we take, and end the connection."""
        transport = self._transport
        if transport is None:
            return
        self._discards = True
        transport.write(write_answer(status, [("Connection", "close")]))
        if transport.can_write_eof():
            transport.write_eof()
        self._start_timer(LINGER_S, self.abort)

    # Time limits.

    def _wait_for_request(self) -> None:
        limits = self._limits()
        if not self._parser.begun:
            self._stop_timer()
            self._start_timer(limits.idle_ms / 1000, self.close_idle)
        elif self._parser.come:  # its head is read: the body may take as long as it moves
            self._stop_timer()
            self._start_timer(limits.idle_ms / 1000, self._too_slow)
        elif self._timer is None or not self._times_head:
            self._stop_timer()
            self._start_timer(limits.header_read_ms / 1000, self._too_slow)
            self._times_head = True

    def _too_slow(self) -> None:
        self._timer = None
        self._reject(408)

    def _start_timer(self, after_s: float, call: Callable[[], None]) -> None:
        self._timer = self._net.loop.call_later(after_s, call)

    def _stop_timer(self) -> None:
        self._times_head = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # Answers.

    @property
    def is_idle(self) -> bool:
        """Whether no request is being answered or read."""
        return self._task is None and not self._parser.begun

    @property
    def has_begun(self) -> bool:
        """Whether the client has the head of the present answer."""
        return self._begun

    def _connection_headers(self) -> list[tuple[str, str]]:
        if self._owner.is_draining:
            self._keeps = False
        if not self._keeps:
            return [("Connection", "close")]
        idle_s = int(self._limits().idle_ms / 1000 - IDLE_MARGIN_S)
        return [("Keep-Alive", f"timeout={idle_s}")] if idle_s >= 1 else []

    def answer(self, status: int, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        """Write a whole answer."""
        if self._transport is not None:
            self._begun = self._finished = True
            self._transport.write(write_answer(status, [*headers, *self._connection_headers()], body))

    def begin(self, status: int, headers: list[tuple[str, str]], length: int | None) -> None:
        """Write the head of an answer; without a length its body comes in chunks."""
        if self._transport is None:
            return
        self._begun, self._chunked = True, length is None and not self._parser.old
        self._is_framed = self._chunked or length is not None
        if length is not None:
            framing = [("Content-Length", str(length))]
        elif self._chunked:
            framing = [codec.CHUNKED]
        else:
            framing, self._keeps = [], False
        head = [*headers, *framing, *self._connection_headers()]
        self._transport.write(codec.write_head(status_line(status), head))

    def write(self, data: bytes) -> None:
        """Write a piece of the body."""
        if self._transport is not None and data:
            self._transport.write(codec.write_chunk(data) if self._chunked else data)

    def finish(self) -> None:
        """The body is whole."""
        if self._transport is not None:
            if self._chunked:
                self._transport.write(codec.LAST_CHUNK)
            self._finished = True

    async def drained(self) -> None:
        """Wait until the client has read enough for more to be written."""
        await self._drained.wait()

    def close_idle(self) -> None:
        """Close the connection unless a request is on it."""
        if self._transport is not None and self._task is None:
            self._transport.close()

    def abort(self) -> None:
        """End the connection so that what was sent can't look whole; the client still gets what was sent."""
        transport = self._transport
        if transport is None:
            return
        self._keeps = False
        if self._begun and not self._is_framed:  # an end would look like the body's
            self._net.reset(transport)
            return
        transport.close()
        self._start_timer(LINGER_S, transport.abort)
