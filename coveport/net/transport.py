"""The way to the outside: time, listening, connecting, and what can be seen or done at a socket.

All of the program's I/O goes through one `Net`. The one here is asyncio's; the testbed has another with the
same methods on a simulated loop, where connections are kept in memory.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import struct
import time

from coveport.net.address import Address
from coveport.net.listening import Listening, ProtocolFactory, SocketListening
from coveport.net.sockets import has_peer_closed, is_quiet, read_now

__all__ = ["Listening", "Net", "ProtocolFactory"]


class Net:
    """Time and sockets as one process sees them, by asyncio and the system."""

    def __init__(self, loop: asyncio.AbstractEventLoop, inherited: socket.socket | None = None) -> None:
        """`inherited`: a socket that listens already; the first `listen` at its port takes it."""
        self.loop = loop
        self._inherited = inherited

    def now_s(self) -> float:
        """Return monotonic seconds, on the loop's own clock."""
        return self.loop.time()

    def unix_s(self) -> float:
        """Return Unix time in seconds; it may step."""
        return time.time()

    async def listen(
        self,
        factory: ProtocolFactory,
        address: Address,
        *,
        accepts_per_turn: int,
        backlog: int,
        shared: bool = False,
    ) -> Listening:
        """Listen on TCP; OSError where that can't be.

        `accepts_per_turn`: connections accepted in one turn of the loop. `backlog`: those that may wait for
        it. `shared`: beside others that share it (SO_REUSEPORT); the system distributes new connections.
        """
        if self._inherited is not None and address[1] == self._inherited.getsockname()[1]:
            listener = self._inherited
            self._inherited = None
        else:
            listener = socket.create_server(
                address, family=_family(address), backlog=backlog, reuse_port=shared
            )
        listener.setblocking(False)
        return SocketListening(self.loop, listener, factory, accepts_per_turn)

    def is_taken(self, address: Address) -> bool:
        """Return whether a process listens there already, shared or not."""
        if self._inherited is not None:
            return False  # kept for this process
        with socket.socket(_family(address), socket.SOCK_STREAM) as trial:
            trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # closed connections don't count
            try:
                trial.bind(address)
            except OSError as error:
                return error.errno == errno.EADDRINUSE
        return False

    async def dial(self, factory: ProtocolFactory, address: Address) -> None:
        """Connect by TCP; OSError where it is refused or can't be. Cancelled, it leaves nothing behind."""
        await self.loop.create_connection(factory, *address)

    def is_quiet(self, transport: asyncio.Transport) -> bool:
        """Return whether nothing has come that is unread: no bytes, no end."""
        return is_quiet(transport)

    def read_now(self, transport: asyncio.Transport) -> None:
        """Give the protocol what has come in this turn of the loop; an end is left to the loop."""
        read_now(transport)

    def has_peer_closed(self, transport: asyncio.Transport) -> bool:
        """Return whether the peer has ended or reset it, even where bytes before that are unread."""
        return has_peer_closed(transport)

    def shut_down(self, transport: asyncio.Transport) -> None:
        """End both directions now, before the transport is closed in a later turn."""
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def set_unacknowledged_timeout(self, transport: asyncio.Transport, milliseconds: int) -> None:
        """Let a peer that acknowledges nothing for about so long count as gone; 0: the system's default."""
        connection = transport.get_extra_info("socket")
        seconds = max(1, milliseconds // 2000)
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(milliseconds > 0))
            if milliseconds:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)

    def reset(self, transport: asyncio.Transport) -> None:
        """Close with a reset: what is on its way in either direction is lost."""
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        transport.abort()


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
