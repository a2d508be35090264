"""What a stand-in may ask of the ground it stands on, simulated or real.

A stand-in (ledger node, discovery's agent, till) is written once, against `Host` and `coveport.net`'s `Net`,
and runs on both grounds. Delays and cuts between two hosts are the ground's matter, not the stand-in's.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from coveport.net.address import Address
from coveport.net.transport import Net, ProtocolFactory

Accept = Callable[[int], asyncio.BaseProtocol]
"""Makes the protocol of a new connection; its argument is the number of the sidecar that opened it."""


class Host(Protocol):
    """One party's place on the ground."""

    net: Net  # its loop, time and sockets; for `dial`, use `dial` below

    def day_ms(self) -> float:
        """Milliseconds since the day began, on the one clock that all books are kept by."""

    async def listen(self, accept: Accept) -> None:
        """Take connections from sidecars, at the address that `address` tells each of them."""

    def refuse(self) -> None:
        """Stop listening: new connections are refused. Open ones are the stand-in's to reset."""

    def silence(self, on: bool) -> None:
        """Let nothing in or out: open connections stay and say nothing, new ones never come up.

        Once it is taken back, what was held arrives, and connections that were waiting to come up are reset.
        """

    def address(self, sidecar: int) -> Address:
        """Where that sidecar reaches this party."""

    async def dial(self, factory: ProtocolFactory, address: Address) -> None:
        """Connect (a till to its sidecar); OSError where it is refused."""
