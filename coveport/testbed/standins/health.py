"""Asks a sidecar whether operations are welcome, as the application beside it does."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from coveport import http1
from coveport.net.address import Address
from coveport.testbed.backend import Host

PATH = "/_health"
EVERY_S = 0.05
MOST_S = 30.0  # after which nobody asks any more


class _Ask(asyncio.Protocol):
    def __init__(self, told: Callable[[int], None]) -> None:
        self._told, self._parser = told, http1.ResponseParser()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(http1.write_request("GET", PATH, [("Host", "health"), ("Connection", "close")]))

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        response = self._parser.next_response()
        if response is not None:
            assert self._transport is not None
            self._transport.abort()
            self._told(response.status)


async def ask_health(host: Host, address: Address, told: Callable[[int], None]) -> None:
    """Ask once; `told` gets the status when it comes, and nothing where nobody listens."""
    with contextlib.suppress(OSError):
        await host.dial(lambda: _Ask(told), address)


def wait_until_ready(host: Host, address: Address, ready: Callable[[], None]) -> None:
    """Ask there every 50 ms, for 30 s at most, and call `ready` once when the answer is 200."""
    end = host.net.now_s() + MOST_S
    done = False

    def told(status: int) -> None:
        nonlocal done
        if status == 200 and not done:
            done = True
            ready()

    async def ask() -> None:
        while not done and host.net.now_s() < end:
            await ask_health(host, address, told)
            await asyncio.sleep(EVERY_S)

    host.net.loop.create_task(ask())
