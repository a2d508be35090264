"""What can be seen of a socket past its transport, and read from it."""

from __future__ import annotations

import asyncio
import select
import socket


def is_quiet_socket(descriptor: int) -> bool:
    """Whether nothing waits there: no bytes, no end, no connection to accept."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return not poller.poll(0)


def is_over(transport: asyncio.Transport) -> bool:
    """Whether the other side has ended or reset it, even where bytes in front of that are not read yet."""
    if transport.is_closing():
        return True
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)  # a reset comes unasked
    return bool(poller.poll(0))


def is_quiet(transport: asyncio.Transport) -> bool:
    """Whether nothing has come that we have not read."""
    return not transport.is_closing() and is_quiet_socket(transport.get_extra_info("socket").fileno())


def read_now(transport: asyncio.Transport) -> None:
    """Give the protocol (a buffered one) what waits there; an end is left to the loop."""
    under, protocol = transport.get_extra_info("socket"), transport.get_protocol()
    assert isinstance(protocol, asyncio.BufferedProtocol)
    one = socket.socket(under.family, under.type, under.proto, fileno=under.fileno())
    try:
        while not transport.is_closing() and (count := one.recv_into(protocol.get_buffer(-1))):
            protocol.buffer_updated(count)
    except OSError:
        pass  # nothing waits, or the connection has broken: the loop finds that too
    finally:
        one.detach()
