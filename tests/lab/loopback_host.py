"""The least ground a stand-in can stand on, for tests: one host on loopback sockets, and a small day."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.lab.day import Day, NodeDrawn, SidecarDrawn
from coveport.lab.ground import Accept
from coveport.lab.scenario import Scenario
from coveport.net.address import Address
from coveport.net.transport import Factory, Listening, Net


class LoopbackHost:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.net = Net(loop)
        self._began = self.net.now_s()
        self._listening: Listening | None = None

    def day_ms(self) -> float:
        return (self.net.now_s() - self._began) * 1000

    async def listen(self, accept: Accept) -> None:
        self._listening = await self.net.listen(lambda: accept(0), ("127.0.0.1", 0), accept_most=8,
                                                waiting_most=64)

    def refuse(self) -> None:
        assert self._listening is not None
        self._listening.close()

    def silence(self, on: bool) -> None:
        raise NotImplementedError

    def address(self, sidecar: int) -> Address:
        assert self._listening is not None
        return "127.0.0.1", self._listening.port

    async def dial(self, factory: Factory, address: Address) -> None:
        await self.net.dial(factory, address)


def node(number: int, born: bool = True) -> NodeDrawn:
    return NodeDrawn(number, f"s-{number}", number % 3, number % 3, "full-core", 1, 0.9, 4, 40, 9, 0.05, 0.4,
                     5000, 5000, 30, 0.0, "waiting", False, 700, 1.0, 2.0, 5000, 0.0, 0.3, 500, 200, 0.02, 0,
                     2000, 2, 0.3, 3000, 20_000, number, born)


def day(scenario: Scenario, nodes: tuple[NodeDrawn, ...] = ()) -> Day:
    sidecars = tuple(SidecarDrawn(number, f"n{number}", 0, number) for number in range(2))
    return Day(scenario, 7, nodes, sidecars, (), (), (), 0.2, ((0.2, 6.0), (6.0, 0.2)), 0.05, 0.1,
               notice_ms=20.0, add_ms=10.0, capacity=5.0)


async def until(what: Callable[[], object], within_s: float = 3.0) -> None:
    """Wait until it holds; it must, `within_s`."""
    async with asyncio.timeout(within_s):
        while not what():
            await asyncio.sleep(0.001)
