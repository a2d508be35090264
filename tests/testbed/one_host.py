"""The least ground a stand-in can stand on, for tests: one host on simulated ground, and a small day."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import timeless

from coveport.net.address import Address
from coveport.net.transport import Net, ProtocolFactory
from coveport.testbed.backend import Accept
from coveport.testbed.day import Day, NodeDrawn, SidecarDrawn
from coveport.testbed.scenario import Scenario


class OneHost:
    def __init__(self) -> None:
        self.net: Net = timeless.net()
        self._began = self.net.now_s()

    def day_ms(self) -> float:
        return (self.net.now_s() - self._began) * 1000

    async def listen(self, accept: Accept) -> None:
        self._listening = await self.net.listen(
            lambda: accept(0), ("127.0.0.1", 0), accepts_per_turn=8, backlog=64
        )

    def refuse(self) -> None:
        self._listening.close()

    def silence(self, on: bool) -> None:
        raise NotImplementedError

    def address(self, sidecar: int) -> Address:
        return "127.0.0.1", self._listening.port

    async def dial(self, factory: ProtocolFactory, address: Address) -> None:
        await self.net.dial(factory, address)


def day(scenario: Scenario) -> Day:
    """A day of two sidecars and three nodes, and a fourth to come."""
    nodes = tuple(
        NodeDrawn(
            one,
            f"s-{one}",
            one % 3,
            one % 3,
            "full-core",
            1,
            0.9,
            4,
            40,
            9,
            0.05,
            0.4,
            5000,
            5000,
            30,
            0,
            "waiting",
            False,
            700,
            1,
            2,
            5000,
            0,
            0.3,
            500,
            200,
            0.02,
            0,
            2000,
            2,
            0.3,
            3000,
            20_000,
            one,
            born=one < 3,
        )
        for one in range(4)
    )
    sidecars = tuple(SidecarDrawn(number, f"n{number}", 0, number) for number in range(2))
    return Day(
        scenario,
        7,
        nodes,
        sidecars,
        (),
        (),
        (),
        0.2,
        ((0.2,),),
        0.05,
        0.1,
        notice_ms=20,
        add_ms=10,
        capacity=5,
    )


async def until(what: Callable[[], object]) -> None:
    """Wait until it holds; it must, soon."""
    async with asyncio.timeout(5):
        while not what():
            await asyncio.sleep(0.001)
