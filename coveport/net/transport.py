"""The process's access to time and network: clocks, listening, connecting, and operations on sockets.

All of the program's I/O goes through one `Net`. This implementation uses asyncio; the testbed has one with
the same methods on a simulated loop with connections in memory.
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
from coveport.net.sockets import has_peer_closed, is_quiet, limit_read, read_now

__all__ = ["Listening", "Net", "ProtocolFactory"]


class Net:
    """Time and sockets of one process, from asyncio and the operating system."""

    def __init__(self, loop: asyncio.AbstractEventLoop, inherited: socket.socket | None = None) -> None:
        """`inherited`: a socket that already listens; the first `listen` on its port uses it."""
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
        """Listen on TCP; raise OSError if that fails.

        `accepts_per_turn`: connections accepted in one turn of the loop. `backlog`: connections that may wait
        to be accepted. `shared`: share the address with other processes (SO_REUSEPORT); the kernel
        distributes new connections among them.
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
        """Return whether a process already listens on the address, shared or not."""
        if self._inherited is not None:
            return False  # the inherited socket holds the address for this process
        with socket.socket(_family(address), socket.SOCK_STREAM) as trial:
            trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # ignores closed connections
            try:
                trial.bind(address)
            except OSError as error:
                return error.errno == errno.EADDRINUSE
        return False

    async def dial(self, factory: ProtocolFactory, address: Address) -> None:
        """Connect by TCP; raise OSError if that fails. If cancelled, no connection is left open."""
        await self.loop.create_connection(factory, *address)

    def is_quiet(self, transport: asyncio.Transport) -> bool:
        """Return whether the connection has no unread input: no bytes, no end of input."""
        return is_quiet(transport)

    def read_now(self, transport: asyncio.Transport) -> None:
        """Pass input received in this turn of the loop to the protocol; leave an end of input to the loop."""
        read_now(transport)

    def has_peer_closed(self, transport: asyncio.Transport) -> bool:
        """Return whether the peer has closed or reset the connection, even if earlier bytes are unread."""
        return has_peer_closed(transport)

    def limit_read(self, transport: asyncio.Transport, max_bytes: int) -> None:
        """Pass at most that many bytes to the protocol at once."""
        limit_read(transport, max_bytes)

    def shut_down(self, transport: asyncio.Transport) -> None:
        """Shut down both directions now, before the transport is closed in a later turn."""
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def set_unacknowledged_timeout(self, transport: asyncio.Transport, milliseconds: int) -> None:
        """Break a connection whose peer acknowledges nothing for about that long; 0: the system's default."""
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
        """Close with a reset: data in flight in either direction is lost."""
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        transport.abort()


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
