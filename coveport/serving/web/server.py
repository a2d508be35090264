"""Listens for HTTP/1.1 requests and responds to them, one after another on each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from coveport import http1
from coveport.net.address import Address
from coveport.net.transport import Listening, Net
from coveport.serving.web.messages import ApiResponse

MAX_BODY_BYTES: Final = 8 * 1024 * 1024  # twice the largest configuration, 4 MiB
IDLE_TIMEOUT_S: Final = 60.0
ACCEPT_BATCH: Final = 64  # connections accepted in one turn of the event loop
LISTEN_BACKLOG: Final = 512

RequestHandler = Callable[[http1.Request, str], Awaitable[ApiResponse]]


class HttpServer:
    """A listening address and its connections."""

    def __init__(
        self,
        net: Net,
        address: Address,
        handle_request: RequestHandler,
        before_data: Callable[[], None] | None = None,
    ) -> None:
        """Create a server that does not listen yet.

        `handle_request` is called with a request and the server's address to which the client connected.
        `before_data` is called before received bytes are parsed; it may reset connections.
        """
        self.net = net
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
        self._parser = http1.RequestParser(MAX_BODY_BYTES)
        self._transport: asyncio.Transport | None = None
        self._response_task: asyncio.Task[None] | None = None
        self._is_draining = False
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._transport = None
        self._cancel_response()
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def eof_received(self) -> None:
        """Cancel the response, because the client has closed the connection. The transport closes itself."""
        self._cancel_response()

    def _cancel_response(self) -> None:
        """Cancel the response, as the client has gone: the requested action must not start any more."""
        if self._response_task is not None:
            self._response_task.cancel()

    def data_received(self, data: bytes) -> None:
        if self._server.before_data is not None:
            self._server.before_data()
        if self._transport is None or self._transport.is_closing():
            return
        self._parser.feed(data)
        self._start_next_response()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self._server.net.loop.call_later(IDLE_TIMEOUT_S, self.abort)

    def _start_next_response(self) -> None:
        if self._response_task is not None or self._transport is None:
            return
        try:
            request = self._parser.next_request()
        except http1.RemoteProtocolError as error:
            self._write(ApiResponse(error.status, str(error).encode()), keep_alive=False)
            return
        if request is None:
            if self._parser.wants_continue:
                self._transport.write(http1.write_response(100))
            return
        self._restart_idle_timer()
        self._response_task = self._server.net.loop.create_task(self._respond(request))

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
        self._start_next_response()

    def _write(self, response: ApiResponse, keep_alive: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        headers = response.headers if keep_alive else (*response.headers, ("Connection", "close"))
        self._transport.write(http1.write_response(response.status, headers, response.body))
        if not keep_alive:
            self._transport.close()

    def close_when_idle(self) -> None:
        """Close the connection now, or after the current response."""
        self._is_draining = True
        if self._response_task is None and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, and discard unsent bytes."""
        if self._transport is not None:
            self._transport.abort()
