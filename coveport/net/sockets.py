"""What can be seen of a socket without reading from it."""

from __future__ import annotations

import asyncio
import select


def is_quiet_socket(descriptor: int) -> bool:
    """Whether nothing waits there: no bytes, no end, no connection to accept."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return not poller.poll(0)


def is_quiet(transport: asyncio.Transport) -> bool:
    """Whether nothing has come that we have not read."""
    return not transport.is_closing() and is_quiet_socket(transport.get_extra_info("socket").fileno())
