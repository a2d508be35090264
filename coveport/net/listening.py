"""Accepting connections on a listening socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from coveport.net.sockets import is_quiet_socket

ProtocolFactory = Callable[[], asyncio.BaseProtocol]

ACCEPT_RETRY_S = 0.05  # without accepting once descriptors have run out: time to close some


class Listening(Protocol):
    """An address that is listened on."""

    @property
    def port(self) -> int:
        """The port that was bound."""

    @property
    def is_quiet(self) -> bool:
        """Whether no connection waits to be accepted, or was and is not with its protocol yet."""

    def close(self) -> None:
        """Accept no further connections but those that wait already; those there are stay."""


class SocketListening:
    """Accepts on a socket that listens.

    asyncio's server is not used: it would listen with a backlog as short as `accepts_per_turn` for its first
    turn of the loop, and a connect that finds the backlog full is sent again only after a second. It also
    pauses for a second after EMFILE.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        factory: ProtocolFactory,
        accepts_per_turn: int,
    ) -> None:
        self._loop = loop
        self._socket = listener
        self._factory = factory
        self._accepts_per_turn = accepts_per_turn
        self._connecting: set[asyncio.Task[object]] = set()  # accepted, not with their protocols yet
        self._port: int = listener.getsockname()[1]
        loop.add_reader(listener, self._accept)

    @property
    def port(self) -> int:
        """The port that was bound."""
        return self._port

    @property
    def is_quiet(self) -> bool:
        """Whether no connection waits to be accepted, or was and is not with its protocol yet."""
        return not self._connecting and (self._socket.fileno() < 0 or is_quiet_socket(self._socket.fileno()))

    def close(self) -> None:
        """Accept what waits, then nothing more."""
        if self._socket.fileno() < 0:
            return
        # Guards against losing what the system has accepted: none comes between the last accept and this.
        while self._accept():
            pass
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _accept(self) -> bool:
        """Accept what waits, as much as may be in a turn; return whether more may wait."""
        for _ in range(self._accepts_per_turn):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as error:
                # Guards against a busy loop where descriptors run out.
                self._loop.remove_reader(self._socket)
                self._loop.call_later(ACCEPT_RETRY_S, self._resume)
                self._loop.call_exception_handler({"message": "accept", "exception": error})
                return False
            connection.setblocking(False)
            # Guards against a response's last bytes that wait for an acknowledgement and go with a close over
            # unread ones. asyncio does so only where the socket names TCP, which accept leaves open.
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(self._connect(connection))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        return True

    async def _connect(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except Exception as error:  # noqa: BLE001  # a fault in one connection must not end the others
            connection.close()
            self._loop.call_exception_handler({"message": "a new connection", "exception": error})

    def _resume(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept)
