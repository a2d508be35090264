"""Staff at a sidecar's console, and the front that asks if it takes clients: what they see is entered."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from coveport.net.address import Address
from coveport.testbed.backend import Host
from coveport.testbed.standins.health import ask_health

FRONT_EVERY_S = 0.1  # how often the front asks
SILENT_S = 4.0  # how long a caller who says nothing stays

Write = Callable[[str, str], None]
"""Enters what was seen, and its detail."""


class _Caller(asyncio.Protocol):
    """Says something, or nothing, and takes the answer."""

    def __init__(self, line: bytes, told: asyncio.Future[str]) -> None:
        self._line = line
        self._told = told
        self._held = bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(self._line)

    def data_received(self, data: bytes) -> None:
        self._held += data

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._told.done():
            self._told.set_result(self._held.decode(errors="replace"))


async def call(host: Host, console: Address, line: str) -> str:
    """What a call is answered with, up to the close; empty where nobody listens."""
    told: asyncio.Future[str] = host.net.loop.create_future()
    caller = _Caller(f"{line}\n".encode() if line else b"", told)
    try:
        await host.dial(lambda: caller, console)
    except OSError:
        return ""
    try:
        return await asyncio.wait_for(told, SILENT_S)
    except TimeoutError:
        if caller.transport is not None:
            caller.transport.abort()
        return ""


async def drain(host: Host, console: Address, line: str, write: Write) -> None:
    """LAMEDUCK or REJOIN; entered once it was done."""
    if (await call(host, console, line)).startswith("ACK"):
        write(line.lower(), "")


async def front(host: Host, address: Address, seconds: float, write: Write) -> None:
    """Ask for so long whether clients are welcome, and enter each change of the answer."""
    end, last = host.net.now_s() + seconds, ""

    def told(status: int) -> None:
        nonlocal last
        now = "yes" if status == 200 else "no"
        if now != last:
            last = now
            write(now, "")

    while host.net.now_s() < end:
        await ask_health(host, address, told)
        await asyncio.sleep(FRONT_EVERY_S)


async def scrape(
    host: Host,
    console: Callable[[], Address],
    every_s: float,
    silent: int,
    write: Write,
    goes_on: Callable[[], bool],
) -> None:
    """Ask for the figures again and again, beside callers who say nothing; each answer is entered."""
    crowd: set[asyncio.Task[str]] = set()
    while goes_on():
        while len(crowd) < silent:
            one = host.net.loop.create_task(call(host, console(), ""))
            crowd.add(one)
            one.add_done_callback(crowd.discard)
        write("asked", "")
        rows = (await call(host, console(), "INFO")).splitlines()
        if len(rows) > 2 and rows[0].startswith("ACK") and rows[-1] == "--":
            write("info", json.dumps(dict(row.split("=", 1) for row in rows[1:-1])))
        await asyncio.sleep(every_s)
    for one in list(crowd):
        one.cancel()
