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
from coveport.net.sockets import is_quiet, is_quiet_socket

Factory = Callable[[], asyncio.BaseProtocol]


class Listening(Protocol):
    """An address that is listened on."""

    @property
    def port(self) -> int:
        """The port that was bound."""

    @property
    def quiet(self) -> bool:
        """Whether no connection waits to be accepted."""

    def close(self) -> None:
        """Take no further connections; those there are stay."""


class _Listening:
    def __init__(self, server: asyncio.Server, port: int) -> None:
        self._server, self._port = server, port

    @property
    def port(self) -> int:
        return self._port

    @property
    def quiet(self) -> bool:
        return all(is_quiet_socket(one.fileno()) for one in self._server.sockets)

    def close(self) -> None:
        self._server.close()


class Net:
    """The outside as one process sees it, by asyncio and the system's sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now_s(self) -> float:
        """Monotonic seconds, on the loop's own clock."""
        return self.loop.time()

    def unix_s(self) -> float:
        """Unix time in seconds; it may step."""
        return time.time()

    async def listen(self, factory: Factory, address: Address, *, accept_most: int,
                     waiting_most: int, shared: bool = False) -> Listening:
        """Listen on TCP; OSError where that can't be.

        `accept_most`: connections taken in one turn of the loop. `waiting_most`: those that may wait below.
        `shared`: beside others that share it (SO_REUSEPORT); the system deals new connections out.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        one = socket.create_server(address, family=family, reuse_port=shared)
        try:
            # Guards against one turn that accepts more than we have descriptors for, after which asyncio
            # accepts nothing for a second; what waits stands in the kernel's queue.
            server = await self.loop.create_server(factory, sock=one, backlog=accept_most)
            one.listen(waiting_most)
        except BaseException:
            one.close()
            raise
        return _Listening(server, one.getsockname()[1])

    def is_taken(self, address: Address) -> bool:
        """Whether somebody listens there already, shared or not."""
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

    def shut_down(self, transport: asyncio.Transport) -> None:
        """End both directions now, before the transport is closed in a later turn."""
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def reset(self, transport: asyncio.Transport) -> None:
        """Close with a reset: what is on its way in either direction is lost."""
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                          struct.pack("ii", 1, 0))
        transport.abort()

