"""Listens for calls and answers them one after the other on each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from coveport.http1 import codec
from coveport.net.address import Address
from coveport.net.transport import Listening, Net
from coveport.serving.web.calls import Reply

BODY_MOST = 8 * 1024 * 1024  # bytes; a configuration has 4 MiB at the most
IDLE_S = 60.0
ACCEPT_MOST, WAITING_MOST = 64, 512

Answer = Callable[[codec.Request, str], Awaitable[Reply]]


class CallServer:
    """One listening address."""

    def __init__(
        self, net: Net, address: Address, answer: Answer, before_data: Callable[[], None] | None = None
    ) -> None:
        """`before_data` is called before anything that arrived is looked at; it may reset connections."""
        self.net = net
        self._address = address
        self.answer = answer
        self.before_data = before_data
        self._listening: Listening | None = None
        self.connections: set[_Connection] = set()

    async def start(self) -> None:
        """Begin to listen."""
        self._listening = await self.net.listen(
            lambda: _Connection(self), self._address, accept_most=ACCEPT_MOST, waiting_most=WAITING_MOST
        )

    def stop(self) -> None:
        """Take no further connections, and close those at rest."""
        if self._listening is not None:
            self._listening.close()
        for connection in list(self.connections):
            connection.leave()

    def reset_all(self) -> None:
        """Drop every connection: what waits in them may be from before a stall of ours."""
        for connection in list(self.connections):
            connection.drop()


class _Connection(asyncio.Protocol):
    """A caller."""

    def __init__(self, server: CallServer) -> None:
        self._server = server
        self._parser = codec.RequestParser(BODY_MOST)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._leaving = False
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._watch_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._transport = None
        self._give_up()
        if self._idle is not None:
            self._idle.cancel()

    def eof_received(self) -> None:
        """The caller has left; the transport closes itself."""
        self._give_up()

    def _give_up(self) -> None:
        """Nobody waits for the answer: what the call asks for is not begun any more."""
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        if self._server.before_data is not None:
            self._server.before_data()
        if self._transport is None or self._transport.is_closing():
            return
        self._parser.feed(data)
        self._advance()

    def _watch_idle(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self._idle = self._server.net.loop.call_later(IDLE_S, self.drop)

    def _advance(self) -> None:
        if self._task is not None or self._transport is None:
            return
        try:
            request = self._parser.next_request()
        except codec.BadMessageError as problem:
            self._write(Reply(problem.status, str(problem).encode()), keep=False)
            return
        if request is None:
            if self._parser.wants_continue:
                self._transport.write(codec.write_response(100))
            return
        self._watch_idle()
        self._task = self._server.net.loop.create_task(self._answer(request))

    async def _answer(self, request: codec.Request) -> None:
        assert self._transport is not None
        local_host = str(self._transport.get_extra_info("sockname")[0])
        try:
            reply = await self._server.answer(request, local_host)
        except Exception as problem:  # a fault of ours must not leave the caller without an answer
            self._server.net.loop.call_exception_handler({"message": "a call", "exception": problem})
            reply = Reply(500)
        self._task = None
        self._write(reply, request.keep_alive and not self._leaving)
        self._advance()

    def _write(self, reply: Reply, keep: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        headers = reply.headers if keep else (*reply.headers, ("Connection", "close"))
        self._transport.write(codec.write_response(reply.status, headers, reply.body))
        if not keep:
            self._transport.close()

    def leave(self) -> None:
        """Close once nothing is owed."""
        self._leaving = True
        if self._task is None and self._transport is not None:
            self._transport.close()

    def drop(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()
