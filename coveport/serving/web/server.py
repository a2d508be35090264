"""Listens for HTTP/1.1 requests and responds to them, one after another on each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from coveport import http1
from coveport.net.address import Address
from coveport.net.transport import Listening, Net
from coveport.serving.accepted_connection import reserve_connection
from coveport.serving.resource_budget import STALL_S, Reservation, ResourceBudget, Shortage
from coveport.serving.web.messages import ApiResponse

MAX_CONFIGURATION_BYTES: Final = 8 * 1024 * 1024  # body limit of a server for operators: 4 MiB, twice
MAX_BODY_BYTES: Final = 64 * 1024  # body limit of a server for callers that send no configuration
MAX_PIPELINED_BYTES: Final = 64 * 1024  # bytes of requests pipelined behind the current one
LINGER_S: Final = 1.0  # time before the close in which a client that is still sending can read the rejection
IDLE_TIMEOUT_S: Final = 60.0
ACCEPT_BATCH: Final = 64  # connections accepted in one turn of the event loop
LISTEN_BACKLOG: Final = 512

_CLOSE: Final = ("Connection", "close")

RequestHandler = Callable[[http1.Request, str], Awaitable[ApiResponse]]


class HttpServer:
    """A listening address and its connections."""

    def __init__(
        self,
        net: Net,
        address: Address,
        handle_request: RequestHandler,
        budget: ResourceBudget,
        before_data: Callable[[], None] | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Create a server that does not listen yet.

        `handle_request` is called with a request and the server's address to which the client connected.
        `budget` is that of the process. `before_data` is called before received bytes are parsed; it may
        reset connections.
        """
        self.net = net
        self.budget = budget
        self.max_body_bytes = max_body_bytes
        self._address = address
        self.handle_request = handle_request
        self.before_data = before_data
        self._listening: Listening | None = None
        self.connections: set[_Connection] = set()

    async def start(self) -> None:
        """Start to listen; raise OSError if the address can't be bound."""
        self._listening = await self.net.listen(
            lambda: _Connection(self), self._address, accepts_per_turn=ACCEPT_BATCH, backlog=LISTEN_BACKLOG
        )

    def stop(self) -> None:
        """Stop accepting; close idle connections now, and other connections after their response."""
        if self._listening is not None:
            self._listening.close()
        for connection in list(self.connections):
            connection.close_when_idle()

    def reset_all(self) -> None:
        """Abort all connections: their unread bytes may have been sent before a stall of this process."""
        for connection in list(self.connections):
            connection.abort()


class _Connection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = http1.RequestParser(server.max_body_bytes)
        self._transport: asyncio.Transport | None = None
        self._reservation: Reservation | None = None
        self._held_bytes = 0  # of the body of the request that is handled, or of its response
        self._response_task: asyncio.Task[None] | None = None
        self._is_draining = False
        self._is_closing = False  # whether the last response was written; all bytes after it are discarded
        self._is_writing_paused = False  # whether the client has not read the last response
        self._is_reading_paused = False
        self._timer: asyncio.TimerHandle | None = None

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        server = self._server
        self._reservation = reserve_connection(
            server.net, server.budget, transport, self._give_way, _overload_response()
        )
        if self._reservation is None:
            self._is_closing = True
            return
        self._server.connections.add(self)
        self._restart_timer(IDLE_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._transport = None
        self._cancel_response()
        self._parser.discard()
        if self._reservation is not None:
            self._reservation.close()
        if self._timer is not None:
            self._timer.cancel()

    def eof_received(self) -> None:
        """Cancel the response, because the client has closed the connection. The transport closes itself."""
        self._cancel_response()

    def data_received(self, data: bytes) -> None:
        if self._server.before_data is not None:
            self._server.before_data()
        if self._is_closing or self._transport is None or self._transport.is_closing():
            return
        self._parser.feed(data)
        if self._is_busy:
            self._hold_pipelined()
        else:
            self._start_next_response()

    def pause_writing(self) -> None:
        """Handle no further request until the client has read the response."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Handle the next request."""
        self._is_writing_paused = False
        if not self._is_busy and not self._is_closing:
            self._start_next_response()

    # Requests.

    @property
    def _is_busy(self) -> bool:
        """Whether a response is awaited or unread, so that the next request has to wait."""
        return self._response_task is not None or self._is_writing_paused

    def _start_next_response(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._resume_reading()
        try:
            request = self._parser.next_request()
        except http1.RemoteProtocolError as error:
            self._reject(http1.write_response(error.status, [_CLOSE], str(error).encode()))
            return
        if request is None:
            self._wait_for_rest()
            return
        self._restart_timer(IDLE_TIMEOUT_S)
        assert self._reservation is not None
        self._held_bytes = len(request.body)
        if not self._reservation.serve(self._held_bytes + len(self._parser.buffer)):
            self._reject(_overload_response())
            return
        self._response_task = self._server.net.loop.create_task(self._respond(request))

    def _wait_for_rest(self) -> None:
        """Wait for the rest of a request, if its bytes can be held, or for the next request."""
        assert self._reservation is not None
        assert self._transport is not None
        if not self._parser.is_mid_message:
            self._reservation.wait()
        elif not self._reservation.transfer(self._parser.expected_bytes):
            self._reject(_overload_response())
        elif self._parser.wants_continue:
            self._transport.write(http1.write_response(100))

    def _reject(self, response: bytes) -> None:
        """Respond to a request that is not handled, and close the connection."""
        transport = self._transport
        if transport is None:
            return
        self._is_closing = True
        self._parser.discard()
        if self._reservation is not None:
            self._reservation.wait()
        transport.write(response)
        if transport.can_write_eof():
            transport.write_eof()
        self._restart_timer(LINGER_S)

    def _give_way(self, shortage: Shortage) -> None:
        """Give way to other connections; this one is idle, or is sending a request or reading a response."""
        is_reading = not self._is_busy and not self._is_closing and self._parser.is_mid_message
        if is_reading and shortage is Shortage.MEMORY:
            self._reject(_overload_response())
            return
        if is_reading and self._transport is not None:
            self._transport.write(_overload_response())
        self.abort()

    def _hold_pipelined(self) -> None:
        """Account for pipelined requests; stop reading if there are many, drop them if there is no room.

        As long as the connection is read, the end of the client is noticed.
        """
        assert self._reservation is not None
        held_bytes = self._held_bytes + len(self._parser.buffer)
        if self._response_task is None:
            if not self._reservation.transfer(held_bytes):
                self.abort()
        elif not self._reservation.serve(held_bytes):
            self._parser.discard()
            self._is_draining = True
            self._pause_reading()
        if len(self._parser.buffer) > MAX_PIPELINED_BYTES:
            self._pause_reading()

    def _pause_reading(self) -> None:
        if not self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = False
            self._transport.resume_reading()

    # Responses.

    async def _respond(self, request: http1.Request) -> None:
        assert self._transport is not None
        local_host = str(self._transport.get_extra_info("sockname")[0])
        try:
            response = await self._server.handle_request(request, local_host)
        except Exception as error:  # noqa: BLE001  # the client gets a response even after a defect
            self._server.net.loop.call_exception_handler(
                {"message": "HTTP handler failed", "exception": error}
            )
            response = ApiResponse(500)
        self._response_task = None
        self._write(response, request.keep_alive and not self._is_draining)
        if not self._is_busy:
            self._start_next_response()

    def _write(self, response: ApiResponse, keep_alive: bool) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        assert self._reservation is not None
        self._held_bytes = len(response.body)
        if not self._reservation.transfer(self._held_bytes + len(self._parser.buffer)):
            self.abort()
            return
        headers = response.headers if keep_alive else (*response.headers, _CLOSE)
        transport.write(http1.write_response(response.status, headers, response.body))
        if not keep_alive:
            self._is_closing = True
            transport.close()

    def _cancel_response(self) -> None:
        """Cancel the response, as the client has gone: the requested action must not start any more."""
        if self._response_task is not None:
            self._response_task.cancel()

    # The end of the connection.

    def _restart_timer(self, delay_s: float) -> None:
        """Close the connection after that time."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._server.net.loop.call_later(delay_s, self.abort)

    def close_when_idle(self) -> None:
        """Close the connection now, or after the current response."""
        self._is_draining = True
        if self._response_task is None and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, and discard unsent bytes."""
        if self._transport is not None:
            self._transport.abort()


def _overload_response() -> bytes:
    return http1.write_response(503, [("Retry-After", f"{STALL_S:g}"), _CLOSE])
