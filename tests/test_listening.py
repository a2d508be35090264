"""Accepting on real sockets: what waits at the close is taken in, and a want of descriptors is survived."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
from typing import Any

from coveport.net.transport import Net

SHARED: Any = {"accept_most": 4, "waiting_most": 64, "shared": True}


class Came(asyncio.Protocol):
    def __init__(self, came: list[asyncio.BaseTransport]) -> None:
        self._came = came

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._came.append(transport)


def test_what_waits_at_the_close_is_taken_in_and_another_goes_on() -> None:
    async def main() -> None:
        net, came, other = Net(asyncio.get_running_loop()), list[asyncio.BaseTransport](), list[object]()
        first = await net.listen(lambda: Came(came), ("127.0.0.1", 0), **SHARED)
        address = ("127.0.0.1", first.port)
        assert net.is_taken(address) and first.quiet
        with contextlib.ExitStack() as stack:
            for _ in range(40):  # no turn of the loop in between: all wait below
                stack.enter_context(socket.create_connection(address, timeout=1))
            assert not first.quiet
            second = await net.listen(lambda: Came(other), address, **SHARED)
            first.close()
            first.close()
            assert first.quiet
            for _ in range(40):
                stack.enter_context(socket.create_connection(address, timeout=1))
            await asyncio.sleep(0.2)
            assert (len(came), len(other)) == (40, 40)
            second.close()
        assert not net.is_taken(address)

    asyncio.run(main())


def test_without_descriptors_it_accepts_again_soon() -> None:
    async def main() -> None:
        loop, came, said = asyncio.get_running_loop(), list[asyncio.BaseTransport](), list[object]()
        loop.set_exception_handler(lambda _, context: said.append(context["exception"]))
        net = Net(loop)
        listening = await net.listen(lambda: Came(came), ("127.0.0.1", 0), accept_most=4, waiting_most=64)
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        with socket.create_connection(("127.0.0.1", listening.port), timeout=1) as conn:
            resource.setrlimit(resource.RLIMIT_NOFILE, (conn.fileno() + 1, before[1]))
            try:
                await asyncio.sleep(0.2)
                assert not came and 2 <= len(said) <= 5
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, before)
            await asyncio.sleep(0.1)
            assert len(came) == 1
            listening.close()

    asyncio.run(main())
