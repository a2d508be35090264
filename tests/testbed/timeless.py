"""asyncio's names on simulated ground: what runs in `run` waits for nothing, and ends the same every time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from empty_day import empty_day

from coveport.net.address import Address
from coveport.testbed.network_model import Ways
from coveport.testbed.simulated_network.network import Network
from coveport.testbed.simulated_network.wires import VirtualNet
from coveport.testbed.simulated_network.world import Process, World

T = TypeVar("T")
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

_NEAR = empty_day(same_ms=0.02, cross_ms=((0.02,),), client_ms=0.02)


def run(work: Coroutine[Any, Any, T], most_s: float = 600.0) -> T:
    """As asyncio.run, in simulated time; it must end within `most_s` of it."""
    world = World()
    process = Process.start(world, "test")
    process.network = Network(world, Ways(_NEAR), world.now)  # type: ignore[attr-defined]
    tasks: list[asyncio.Task[T]] = []
    process.call_soon(lambda: tasks.append(process.create_task(work)))
    world.run(world.now + most_s, stop=lambda: bool(tasks) and tasks[0].done())
    assert tasks[0].done(), "it did not end"
    assert not process.problems, process.problems
    return tasks[0].result()


def net() -> VirtualNet:
    """The outside, for a stand-in in the process that runs."""
    process = asyncio.get_running_loop()
    assert isinstance(process, Process)
    network: Network = process.network  # type: ignore[attr-defined]
    return VirtualNet(process, network, network.places.get("127.0.0.1") or network.place("127.0.0.1", 0))


def stall(seconds: float) -> None:
    """Let the process that runs have no CPU for so long."""
    process = asyncio.get_running_loop()
    assert isinstance(process, Process)
    process.stall(seconds)


async def open_connection(host: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """As asyncio.open_connection."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    await net().dial(lambda: protocol, (host, port))
    return reader, asyncio.StreamWriter(protocol._transport, protocol, reader, loop)  # type: ignore[attr-defined]


class Server:
    """What `start_server` gives."""

    def __init__(self, listening: Any) -> None:
        self._listening = listening

    @property
    def address(self) -> Address:
        address: Address = self._listening.address
        return address

    def close(self) -> None:
        self._listening.close()


async def start_server(serve: Serve) -> Server:
    """As asyncio.start_server, on any port."""
    loop = asyncio.get_running_loop()

    def accept() -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(loop=loop), serve, loop=loop)

    return Server(await net().listen(accept, ("127.0.0.1", 0), accepts_per_turn=99, backlog=99))
