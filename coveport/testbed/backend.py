"""Define what a stand-in may use of the backend that it runs on, simulated or real.

A stand-in (ledger node, discovery agent, client) is written once, against `Host` and `coveport.net`'s `Net`,
and runs on both backends. Delays and partitions between two hosts are the backend's concern.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from coveport.net.address import Address
from coveport.net.transport import Net, ProtocolFactory

Accept = Callable[[int], asyncio.BaseProtocol]
"""Make the protocol of a new connection; the argument is the number of the sidecar that opened it."""


class Host(Protocol):
    """Describe the machine of one stand-in."""

    net: Net  # its loop, time and sockets; for `dial`, use `dial` below

    def day_ms(self) -> float:
        """Return milliseconds since the day began, on the clock that all event logs share."""

    async def listen(self, accept: Accept) -> None:
        """Accept connections from sidecars, at the address that `address` returns for each of them."""

    def refuse(self) -> None:
        """Stop listening: new connections are refused. Open ones are left to the stand-in."""

    def silence(self, on: bool) -> None:
        """Block all traffic, or let it pass again: open connections stay open, new ones do not come up.

        Once it passes again, delayed traffic arrives, and connects that were pending are reset.
        """

    def address(self, sidecar: int) -> Address:
        """Return the address at which a sidecar reaches this stand-in."""

    async def dial(self, factory: ProtocolFactory, address: Address) -> None:
        """Connect a client to its sidecar; raises OSError where that is refused."""
