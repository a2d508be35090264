"""Accepting connections on a listening socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from coveport.net.sockets import is_quiet_socket

ProtocolFactory = Callable[[], asyncio.BaseProtocol]

ACCEPT_RETRY_S = 0.05  # pause after file descriptors run out, in which some may be closed


class Listening(Protocol):
    """A listener on an address."""

    @property
    def port(self) -> int:
        """The port that was bound."""

    @property
    def is_quiet(self) -> bool:
        """Whether no connection waits to be accepted or, once accepted, for its protocol."""

    def close(self) -> None:
        """Accept the connections that wait already, then no more; open connections stay open."""


class SocketListening:
    """Accepts connections on a listening socket.

    asyncio's server is not used: in its first turn of the loop its backlog would be only `accepts_per_turn`,
    and a client whose connect meets a full backlog retries only after a second. It also pauses for a second
    after EMFILE.
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
        self._connecting: set[asyncio.Task[object]] = set()  # accepted, without a protocol yet
        self._port: int = listener.getsockname()[1]
        loop.add_reader(listener, self._accept)

    @property
    def port(self) -> int:
        """The port that was bound."""
        return self._port

    @property
    def is_quiet(self) -> bool:
        """Whether no connection waits to be accepted or, once accepted, for its protocol."""
        return not self._connecting and (self._socket.fileno() < 0 or is_quiet_socket(self._socket.fileno()))

    def close(self) -> None:
        """Accept the connections that wait already, then no more."""
        if self._socket.fileno() < 0:
            return
        # Guards against losing connections that the kernel has completed: none arrives between the last
        # accept and the close.
        while self._accept():
            pass
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _accept(self) -> bool:
        """Accept up to `accepts_per_turn` waiting connections; return whether more may wait."""
        for _ in range(self._accepts_per_turn):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as error:
                # Guards against a busy loop while file descriptors are exhausted.
                self._loop.remove_reader(self._socket)
                self._loop.call_later(ACCEPT_RETRY_S, self._resume)
                self._loop.call_exception_handler(
                    {"message": "accepting a connection failed", "exception": error}
                )
                return False
            connection.setblocking(False)
            # Guards against losing a response's last bytes: delayed until an acknowledgement, they would be
            # discarded by a close with unread input. asyncio sets this option only on sockets whose protocol
            # number is TCP, which accept() does not set.
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
            self._loop.call_exception_handler(
                {"message": "setting up an accepted connection failed", "exception": error}
            )

    def _resume(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept)
