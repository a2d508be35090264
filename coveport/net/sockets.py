"""Checks and reads on a transport's socket that bypass the transport."""

from __future__ import annotations

import asyncio
import select
import socket


def is_quiet_socket(descriptor: int) -> bool:
    """Return whether the socket has nothing to read: no bytes, no end of input, no connection to accept."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return not poller.poll(0)


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed or reset the connection, even if earlier bytes are unread."""
    if transport.is_closing():
        return True
    poller = select.poll()
    # poll() reports a reset (POLLHUP, POLLERR) without registration.
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def is_quiet(transport: asyncio.Transport) -> bool:
    """Return whether the connection has no unread input."""
    return not transport.is_closing() and is_quiet_socket(transport.get_extra_info("socket").fileno())


def limit_read(transport: asyncio.Transport, max_bytes: int) -> None:
    """Pass at most that many bytes to the transport's protocol at once, if the transport has such a limit."""
    if hasattr(transport, "max_size"):
        transport.max_size = max_bytes


def read_now(transport: asyncio.Transport) -> None:
    """Pass waiting input to the transport's BufferedProtocol; leave an end of input to the loop."""
    loop_socket = transport.get_extra_info("socket")
    protocol = transport.get_protocol()
    assert isinstance(protocol, asyncio.BufferedProtocol)
    connection = socket.socket(
        loop_socket.family, loop_socket.type, loop_socket.proto, fileno=loop_socket.fileno()
    )
    try:
        while not transport.is_closing() and (size := connection.recv_into(protocol.get_buffer(-1))):
            protocol.buffer_updated(size)
    except OSError:
        pass  # no input waits, or the connection is broken, which the loop also detects
    finally:
        connection.detach()
