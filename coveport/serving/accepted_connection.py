"""The first step of every accepted connection: its reservation, and limits on what its transport holds."""

from __future__ import annotations

import asyncio
from typing import Final

from coveport.net.transport import Net
from coveport.serving.resource_budget import Reservation, ResourceBudget, ShedHandler

MAX_READ_BYTES: Final = 64 * 1024  # bytes received at once, before the memory for them is reserved


def reserve_connection(
    net: Net, budget: ResourceBudget, transport: asyncio.Transport, on_shed: ShedHandler, refusal: bytes
) -> Reservation | None:
    """Reserve what a new connection needs, and prepare its transport.

    Args:
        net: the network of the transport.
        budget: the budget of the process.
        transport: transport of the connection.
        on_shed: called when the connection has to give way to others.
        refusal: sent before the connection is closed, if there is no room for it.

    Returns:
        The reservation; None if the connection is refused.

    """
    reservation = budget.open(on_shed)
    if reservation is None:
        transport.write(refusal)
        transport.abort()
        return None
    # `pause_writing` is called once anything is unsent, so that all unsent bytes are accounted for.
    transport.set_write_buffer_limits(high=0)
    net.limit_read(transport, MAX_READ_BYTES)
    return reservation
