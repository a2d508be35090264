"""The seam to the outside: time, listening, dialing, and what can be seen or done at a socket.

Everything in the program that touches the world goes through one `Net`. The one here is asyncio's; the lab
has another with the same methods on a simulated loop, where connections are kept in memory.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import struct
import time
from collections.abc import Callable
from typing import Protocol

from coveport.net.address import Address
from coveport.net.sockets import is_over, is_quiet, is_quiet_socket, read_now

Factory = Callable[[], asyncio.BaseProtocol]


ACCEPT_AGAIN_S = 0.05  # how long nothing is accepted once descriptors have run out: time to make room


class Listening(Protocol):
    """An address that is listened on."""

    @property
    def port(self) -> int:
        """The port that was bound."""

    @property
    def quiet(self) -> bool:
        """Whether no connection waits to be accepted, or was and is not with its protocol yet."""

    def close(self) -> None:
        """Take no further connections but those that wait already; those there are stay."""


class _Listening:
    """Accepts by itself.

    asyncio's server would listen with a queue as short as `accept_most` for its first turn of the loop, and a
    connect that finds no room there is sent again only after a second. It also pauses so long after EMFILE.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, one: socket.socket, factory: Factory, accept_most: int
    ) -> None:
        self._loop = loop
        self._socket = one
        self._factory = factory
        self._most = accept_most
        self._beginning: set[asyncio.Task[object]] = set()
        self._port: int = one.getsockname()[1]
        loop.add_reader(one, self._accept)

    @property
    def port(self) -> int:
        return self._port

    @property
    def quiet(self) -> bool:
        return not self._beginning and (self._socket.fileno() < 0 or is_quiet_socket(self._socket.fileno()))

    def _accept(self) -> bool:
        """Take in what waits, as much as may be in a turn; whether there was any."""
        for _ in range(self._most):
            try:
                one, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as problem:
                # Guards against going round in circles where descriptors run out.
                self._loop.remove_reader(self._socket)
                self._loop.call_later(ACCEPT_AGAIN_S, self._resume)
                self._loop.call_exception_handler({"message": "accept", "exception": problem})
                return False
            one.setblocking(False)
            # Guards against an answer's last bytes that wait below for an acknowledgement and go with a close
            # over unread ones. asyncio does so only where the socket names TCP, which accept leaves open.
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(self._begin(one))
            self._beginning.add(task)
            task.add_done_callback(self._beginning.discard)
        return True

    async def _begin(self, one: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, one)
        except Exception as problem:
            one.close()
            self._loop.call_exception_handler({"message": "a new connection", "exception": problem})

    def _resume(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        if self._socket.fileno() < 0:
            return
        # Guards against losing what our system has accepted: it is taken in, and none comes before the close.
        while self._accept():
            pass
        self._loop.remove_reader(self._socket)
        self._socket.close()


class Net:
    """The outside as one process sees it, by asyncio and the system's sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop, given: socket.socket | None = None) -> None:
        """`given`: a socket that listens already; the first `listen` at its port takes it."""
        self.loop = loop
        self._given = given

    def now_s(self) -> float:
        """Monotonic seconds, on the loop's own clock."""
        return self.loop.time()

    def unix_s(self) -> float:
        """Unix time in seconds; it may step."""
        return time.time()

    async def listen(
        self, factory: Factory, address: Address, *, accept_most: int, waiting_most: int, shared: bool = False
    ) -> Listening:
        """Listen on TCP; OSError where that can't be.

        `accept_most`: connections taken in one turn of the loop. `waiting_most`: those that may wait below.
        `shared`: beside others that share it (SO_REUSEPORT); the system deals new connections out.
        """
        if self._given is not None and address[1] == self._given.getsockname()[1]:
            one, self._given = self._given, None
            one.setblocking(False)
            return _Listening(self.loop, one, factory, accept_most)
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        one = socket.create_server(address, family=family, backlog=waiting_most, reuse_port=shared)
        one.setblocking(False)
        return _Listening(self.loop, one, factory, accept_most)

    def is_taken(self, address: Address) -> bool:
        """Whether somebody listens there already, shared or not."""
        if self._given is not None:
            return False  # held for us
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        with socket.socket(family, socket.SOCK_STREAM) as one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # connections just closed are nobody
            try:
                one.bind(address)
            except OSError as problem:
                return problem.errno == errno.EADDRINUSE
        return False

    async def dial(self, factory: Factory, address: Address) -> None:
        """Connect by TCP; OSError where it is refused or can't be. Cancelled, it leaves nothing behind."""
        await self.loop.create_connection(factory, *address)

    def is_quiet(self, transport: asyncio.Transport) -> bool:
        """Whether nothing has come that we have not read: no bytes, no end."""
        return is_quiet(transport)

    def read_now(self, transport: asyncio.Transport) -> None:
        """Give the protocol what waits there in this turn; an end is left to the loop."""
        read_now(transport)

    def is_over(self, transport: asyncio.Transport) -> bool:
        """Whether the other side has ended or reset it, read or not."""
        return is_over(transport)

    def shut_down(self, transport: asyncio.Transport) -> None:
        """End both directions now, before the transport is closed in a later turn."""
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def bound_silence(self, transport: asyncio.Transport, milliseconds: int) -> None:
        """Let a peer that acknowledges nothing for about so long count as gone; 0: as the system would."""
        one = transport.get_extra_info("socket")
        seconds = max(1, milliseconds // 2000)
        with contextlib.suppress(OSError):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
            one.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(milliseconds > 0))
            if milliseconds:
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)

    def reset(self, transport: asyncio.Transport) -> None:
        """Close with a reset: what is on its way in either direction is lost."""
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        transport.abort()
