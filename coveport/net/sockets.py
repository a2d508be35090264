"""What can be seen of a socket past its transport, and read from it."""

from __future__ import annotations

import asyncio
import select
import socket


def is_quiet_socket(descriptor: int) -> bool:
    """Return whether nothing waits there: no bytes, no end, no connection to accept."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return not poller.poll(0)


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has ended or reset it, even where bytes before that are unread."""
    if transport.is_closing():
        return True
    poller = select.poll()
    # A reset is reported without being registered for.
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def is_quiet(transport: asyncio.Transport) -> bool:
    """Return whether nothing has come that is unread."""
    return not transport.is_closing() and is_quiet_socket(transport.get_extra_info("socket").fileno())


def read_now(transport: asyncio.Transport) -> None:
    """Give the protocol, a buffered one, what waits there; an end is left to the loop."""
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
        pass  # nothing waits, or the connection has broken: the loop finds that, too
    finally:
        connection.detach()
