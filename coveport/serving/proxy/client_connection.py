"""A client's HTTP/1.1 connection: reads requests in turn, and writes their responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from coveport import http1
from coveport.net.transport import Net
from coveport.serving.accepted_connection import reserve_connection
from coveport.serving.model.configuration import ClientLimits
from coveport.serving.proxy.client_timeout import ClientTimeout, ClientWait
from coveport.serving.proxy.response_writing import status_line, write_response
from coveport.serving.resource_budget import STALL_S, Reservation, ResourceBudget, Shortage
from coveport.serving.wire.names import CanonicalHeader

MAX_PIPELINED_BYTES = 64 * 1024  # bytes of requests pipelined behind the current one; limits the memory used
RELAY_BYTES = 128 * 1024  # received from the node while the client doesn't read: buffered and just read
RETRY_AFTER_S = STALL_S  # after it, stalled requests give way
LINGER_S = 1.0  # time before the close in which a client that is still sending can read the rejection
IDLE_MARGIN_S = 2.0  # the announced Keep-Alive time-out is this much shorter than the actual one
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"  # RFC 9110, 10.1.1


class ConnectionOwner(Protocol):
    """The interface of the listener that a connection uses."""

    def add_connection(self, connection: ClientConnection) -> None:
        """Add a new connection."""

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""

    @property
    def budget(self) -> ResourceBudget:
        """The memory and the connections that all clients may use."""

    @property
    def handle(self) -> Callable[[http1.Request, ClientConnection], Coroutine[Any, Any, None]]:
        """The handler that answers a request on its connection."""

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after their next response."""


class ClientConnection(asyncio.Protocol):
    """Passes requests to a handler, which responds through `begin`, `write` and `finish`, or `answer`.

    One class reads and writes, since both sides decide how the connection ends, and since `write` is called
    for every event and should use the transport directly.
    """

    def __init__(self, net: Net, owner: ConnectionOwner, limits: Callable[[], ClientLimits]) -> None:
        self._net = net
        self._owner = owner
        self._limits = limits
        self._parser = http1.RequestParser(limits().body_bytes, max_head_bytes=limits().header_bytes)
        self._transport: asyncio.Transport | None = None
        self._reservation: Reservation | None = None
        self._request_bytes = 0  # bytes of the body of the request that is served
        self._task: asyncio.Task[None] | None = None
        self._timeout = ClientTimeout(net, limits, self._on_timeout)
        self._writable = asyncio.Event()
        self._writable.set()
        self._is_rejected = False  # whether a request was rejected; all bytes received after it are discarded
        self._is_reading_paused = False
        self._has_begun = False  # whether the head of the current response has been written
        self._is_finished = False  # whether the current response has been written completely
        self._is_chunked = False
        # Whether the response has a length or is chunked, so that its end is not the close.
        self._is_framed = False
        self._keeps_alive = False

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read requests, unless there are too many connections."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._reservation = reserve_connection(
            self._net, self._owner.budget, transport, self._give_way, _overload_response()
        )
        if self._reservation is None:
            self._is_rejected = True
            return
        self._owner.add_connection(self)
        self.apply_limits()  # they may have changed since the connection was accepted
        self._wait_for_request()

    def data_received(self, data: bytes) -> None:
        """Parse the bytes, and start the next request if it is complete."""
        if self._is_rejected:
            return
        self._parser.feed(data)
        if self._task is None and self._writable.is_set():
            self._advance()
        else:
            self._hold_pipelined()

    def pause_writing(self) -> None:
        """Make `wait_writable` wait, because the client reads more slowly than the node sends."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let `wait_writable` return, or read the next request."""
        self._writable.set()
        if self._task is not None:
            self._account()
        elif self._transport is not None and not (self._is_rejected or self._transport.is_closing()):
            self._read_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight, as its client has disconnected."""
        self._timeout.close()
        self._transport = None
        self._writable.set()
        self._parser.discard()
        if self._reservation is not None:
            self._reservation.close()
        if self._task is not None:
            self._task.cancel()
        self._owner.remove_connection(self)

    # Requests.

    def _advance(self) -> None:
        """Start the next request if it is complete."""
        try:
            request = self._parser.next_request()
        except http1.RemoteProtocolError as error:
            self._reject(error.status)
            return
        if request is None:
            self._wait_for_rest()
            return
        self._request_bytes = len(request.body)
        if not self._account():
            self._reject_overload()
            return
        self._timeout.stop()
        self._has_begun = False
        self._is_finished = False
        self._keeps_alive = request.keep_alive
        self._task = self._net.loop.create_task(self._owner.handle(request, self))
        self._task.add_done_callback(self._on_handled)

    def _wait_for_rest(self) -> None:
        """Wait for the rest of a request, if its bytes can be held, or for the next request."""
        assert self._reservation is not None
        if not self._parser.is_mid_message:
            self._reservation.wait()
        elif not self._reservation.transfer(self._parser.expected_bytes):
            self._reject_overload()
            return
        elif self._parser.wants_continue and self._transport is not None:
            self._transport.write(CONTINUE_RESPONSE)
        self._wait_for_request()

    def _account(self) -> bool:
        """Account for the request that is served, for those pipelined behind it, and for an unread response.

        Return False if there is no room.
        """
        if self._reservation is None:
            return False
        held_bytes = self._request_bytes + len(self._parser.buffer)
        if self._writable.is_set():
            return self._reservation.serve(held_bytes)
        return self._reservation.transfer(held_bytes + self._unsent_bytes() + RELAY_BYTES)

    def _hold_pipelined(self) -> None:
        """Account for pipelined requests; stop reading if there are many, drop them if there is no room."""
        transport = self._transport
        if transport is None or self._is_reading_paused:
            return
        if not self._account():
            self._parser.discard()
            self._keeps_alive = False
        elif len(self._parser.buffer) <= MAX_PIPELINED_BYTES:
            return
        self._is_reading_paused = True
        transport.pause_reading()

    def _unsent_bytes(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def _on_handled(self, task: asyncio.Task[None]) -> None:
        self._task = None
        self._request_bytes = 0
        failed = not task.cancelled() and task.exception() is not None
        if failed:
            context = {"message": "request handler failed", "exception": task.exception()}
            self._net.loop.call_exception_handler(context)
        transport = self._transport
        if transport is None:
            return
        if failed or not self._is_finished:
            self.abort()
        elif not self._keeps_alive or (self._owner.is_draining and not self._parser.is_mid_message):
            self._close()
        else:
            self._read_next()

    def _read_next(self) -> None:
        """Read the next request once the client has read the response before it."""
        assert self._transport is not None
        if not self._writable.is_set():
            self._wait_unread()
            return
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()
        self._advance()

    def _wait_unread(self) -> None:
        """Wait until the client has read the response, within the time that it may be idle."""
        self._timeout.begin(ClientWait.READER)
        if not self._account():
            self._close_now()

    def _reject(self, status: int) -> None:
        """Respond to an invalid request, and close the connection."""
        self._reject_with(write_response(status, [("Connection", "close")]))

    def _reject_overload(self) -> None:
        """Respond that the request was not read, as there is no memory for it, and close the connection."""
        self._reject_with(_overload_response())

    def _reject_with(self, response: bytes) -> None:
        transport = self._transport
        if transport is None:
            return
        self._is_rejected = True
        self._parser.discard()
        if self._reservation is not None:
            self._reservation.wait()
        transport.write(response)
        if transport.can_write_eof():
            transport.write_eof()
        self._timeout.call_later(LINGER_S, self.abort)

    def _give_way(self, shortage: Shortage) -> None:
        """Give way to other connections; this one is idle, or is sending a request or reading a response."""
        is_reading = self._task is None and self._parser.is_mid_message and not self._is_rejected
        if is_reading and shortage is Shortage.MEMORY:
            self._reject_overload()
            return
        if is_reading and self._transport is not None:
            self._transport.write(_overload_response())
        self._close_now()

    def _close(self) -> None:
        """Close the connection once the client has read the response, within the time it may be idle."""
        if self._transport is None:
            return
        self._timeout.stop()
        if not self._writable.is_set():
            self._wait_unread()
        self._transport.close()

    def _close_now(self) -> None:
        """Close the connection at once; unread bytes of a response are lost."""
        if self._transport is not None:
            self._transport.abort()

    # Time-outs and limits.

    def apply_limits(self) -> None:
        """Apply the limits of a new configuration, to the request that is being read too.

        A body whose length was accepted is still read completely.
        """
        limits = self._limits()
        self._parser.max_head_bytes = limits.header_bytes
        self._parser.max_body_bytes = limits.body_bytes
        self._timeout.apply_limits()

    def _wait_for_request(self) -> None:
        if not self._parser.is_mid_message:
            self._timeout.begin(ClientWait.REQUEST)
        elif self._parser.received_body_bytes:
            # A body may take any time while bytes keep coming.
            self._timeout.begin(ClientWait.BODY)
        else:
            self._timeout.begin_head()

    def _on_timeout(self, wait: ClientWait) -> None:
        if wait is ClientWait.REQUEST:
            self.close_idle()
        elif wait is ClientWait.READER:
            self._close_now()
        else:
            self._reject(408)

    # Responses.

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or processed."""
        return self._task is None and not self._parser.is_mid_message

    @property
    def has_begun(self) -> bool:
        """Whether the head of the current response has been written."""
        return self._has_begun

    def _connection_headers(self) -> list[tuple[str, str]]:
        if self._owner.is_draining:
            self._keeps_alive = False
        if not self._keeps_alive:
            return [("Connection", "close")]
        idle_s = int(self._limits().idle_ms / 1000 - IDLE_MARGIN_S)
        return [("Keep-Alive", f"timeout={idle_s}")] if idle_s >= 1 else []

    def answer(self, status: int, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        """Write a complete response."""
        if self._transport is not None:
            self._has_begun = True
            self._is_finished = True
            self._transport.write(write_response(status, [*headers, *self._connection_headers()], body))

    def begin(self, status: int, headers: list[tuple[str, str]], length: int | None) -> None:
        """Write the head of a response; without a length the body is chunked (HTTP/1.0: unframed)."""
        if self._transport is None:
            return
        self._has_begun = True
        self._is_chunked = length is None and not self._parser.is_http10
        self._is_framed = self._is_chunked or length is not None
        if length is not None:
            framing = [("Content-Length", str(length))]
        elif self._is_chunked:
            framing = [http1.CHUNKED]
        else:
            framing = []
            self._keeps_alive = False
        head = [*headers, *framing, *self._connection_headers()]
        self._transport.write(http1.write_head(status_line(status), head))

    def write(self, data: bytes) -> None:
        """Write bytes of the body. This method makes no further calls, because it runs for every event."""
        if self._transport is not None and data:
            self._transport.write(http1.write_chunk(data) if self._is_chunked else data)

    def finish(self) -> None:
        """End the body."""
        if self._transport is not None:
            if self._is_chunked:
                self._transport.write(http1.LAST_CHUNK)
            self._is_finished = True

    def release_request_body(self) -> None:
        """Return the memory of the body of the request that is served."""
        self._request_bytes = 0
        self._account()

    async def wait_writable(self) -> None:
        """Wait until the client has read what was written; close the connection if that can't be held."""
        if not self._writable.is_set() and not self._account():
            self._close_now()
        await self._writable.wait()

    def close_idle(self) -> None:
        """Close the connection unless a request is in flight on it."""
        if self._transport is not None and self._task is None:
            self._close()

    def abort(self) -> None:
        """Close the connection in a way that makes the response look incomplete to the client.

        Unless the connection must be reset for that, the client still receives the bytes written so far.
        """
        transport = self._transport
        if transport is None:
            return
        self._keeps_alive = False
        if self._has_begun and not self._is_framed:  # a plain close would mark the end of the body
            self._net.reset(transport)
            return
        transport.close()
        self._timeout.call_later(LINGER_S, transport.abort)


def _overload_response() -> bytes:
    headers = [(CanonicalHeader.RETRY_AFTER, f"{RETRY_AFTER_S:g}"), ("Connection", "close")]
    return write_response(503, headers)
