"""Which stand-ins make up a world, and a sidecar's tills: the one place that knows them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.testbed.conductor import OF_DISCOVERY, OF_NETWORK, OF_NODES, conduct
from coveport.testbed.day import Change, Day, NodeDrawn
from coveport.testbed.event_log import EventLog
from coveport.testbed.loopback.hosts import AGENTS, NODES, CallerHost, RealHost, address_of
from coveport.testbed.loopback.timing import DayClock
from coveport.testbed.model import KeyMemory
from coveport.testbed.network_model import Ways
from coveport.testbed.standins.clients import Tills
from coveport.testbed.standins.discovery import Discovery
from coveport.testbed.standins.nodes import LedgerNode
from coveport.testbed.standins.operation_costs import WorkBook


@dataclass(frozen=True)
class Place:
    """What a worker gives its stand-ins."""

    day: Day
    event_log: EventLog
    net: Net
    clock: DayClock
    sidecars: tuple[int, ...]  # whose tills are played here
    addresses: tuple[Address, ...]  # where each sidecar listens, by its number
    moved: Callable[[int, Address], None]  # to be told when discovery listens elsewhere for a sidecar


class World(Protocol):
    """Nodes and discovery."""

    async def start(self) -> None:
        """Be there for sidecars that start before the day does."""

    async def begin(self) -> None:
        """It is known when the day begins: a moment from now."""

    def discovery(self, sidecar: int) -> Address:
        """Where that sidecar finds discovery."""

    def known(self, sidecar: int) -> dict[str, Any]:
        """The list that a sidecar is started with now; this counts as told."""

    def close(self) -> None:
        """The day is over."""


class Clients(Protocol):
    """The tills of some sidecars."""

    def begin(self) -> None:
        """It is known when the day begins: a moment from now."""

    @property
    def done(self) -> bool:
        """Whether they want nothing more."""

    def close(self) -> None:
        """The day is over."""


class _World:
    def __init__(self, place: Place) -> None:
        self._place = place
        day, net, clock = place.day, place.net, place.clock
        keys, wishes = KeyMemory(), WorkBook(day)
        self._ways = Ways(day)
        self._hosts = {drawn.number: self._host(drawn) for drawn in day.nodes}
        self._nodes = {
            drawn.number: LedgerNode(
                self._hosts[drawn.number], place.event_log, day, drawn, keys, wishes, self._rtt_ms(drawn.zone)
            )
            for drawn in day.nodes
        }
        self._discovery = Discovery(
            day,
            place.event_log,
            net,
            clock.day_ms,
            lambda node, sidecar: self._hosts[node].address(sidecar),
            unix_ms_of=clock.unix_ms,
            on_move=lambda sidecar: self._moving.append(net.loop.create_task(self._move(sidecar))),
        )
        self._moving: list[asyncio.Task[None]] = []  # guards against tasks that are collected as they run
        self._agents: dict[int, RealHost] = {}
        self._left: list[RealHost] = []

    def _host(self, drawn: NodeDrawn) -> RealHost:
        place, ways = self._place, self._ways
        sidecars = place.day.sidecars
        zones = {one.number: one.zone for one in sidecars}
        return RealHost(
            place.net,
            place.clock,
            [(one.number, address_of(NODES, drawn.number * len(sidecars) + one.number)) for one in sidecars],
            delay_s=lambda sidecar: ways.delay_ms(zones[sidecar], drawn.zone) / 1000,
            held=lambda sidecar: ways.held(zones[sidecar], drawn.zone),
        )

    def _rtt_ms(self, zone: int) -> Callable[[int], float]:
        zones = {one.number: one.zone for one in self._place.day.sidecars}
        return lambda sidecar: 2 * self._ways.base_ms(zones[sidecar], zone)

    def _agent(self, sidecar: int) -> RealHost:
        return RealHost(self._place.net, self._place.clock, [(sidecar, address_of(AGENTS, sidecar))])

    async def start(self) -> None:
        for drawn in self._place.day.nodes:
            if drawn.born:
                self._hosts[drawn.number].expect()
        for one in self._place.day.sidecars:
            self._agents[one.number] = self._agent(one.number)
            await self._discovery.agent(one.number, self._agents[one.number])

    async def begin(self) -> None:
        for node in self._nodes.values():
            await node.start()
        place = self._place
        conduct(
            place.day.changes,
            place.net,
            place.clock.day_ms,
            [
                (OF_NODES, self._change_nodes),
                (OF_NETWORK, self._change_ways),
                (OF_NODES | OF_DISCOVERY, self._discovery.change),
            ],
        )

    def _change_nodes(self, change: Change) -> None:
        for number, node in self._nodes.items():
            if change.target in (number, -1):
                node.change(change)

    def _change_ways(self, change: Change) -> None:
        self._ways.change(change)
        for host in self._hosts.values():
            host.update()

    async def _move(self, sidecar: int) -> None:
        before, host = self._agents[sidecar], self._agent(sidecar)
        await self._discovery.move(sidecar, host)
        self._agents[sidecar] = host
        self._left.append(before)
        self._place.moved(sidecar, host.address(sidecar))

    def discovery(self, sidecar: int) -> Address:
        return self._agents[sidecar].address(sidecar)

    def known(self, sidecar: int) -> dict[str, Any]:
        self._discovery.told_known(sidecar)
        return self._discovery.known(sidecar)

    def close(self) -> None:
        for node in self._nodes.values():
            node.close()
        self._discovery.close()
        for host in [*self._hosts.values(), *self._agents.values(), *self._left]:
            host.close()


class _Clients:
    def __init__(self, place: Place) -> None:
        host = CallerHost(place.net, place.clock)
        self._tills = [
            Tills(
                host,
                place.event_log,
                place.day,
                one,
                [wish for wish in place.day.wishes if wish.sidecar == one.number],
                partial(place.addresses.__getitem__, one.number),
            )
            for one in place.day.sidecars
            if one.number in place.sidecars
        ]

    def begin(self) -> None:
        for one in self._tills:
            one.start()

    @property
    def done(self) -> bool:
        return all(one.done for one in self._tills)

    def close(self) -> None:
        for one in self._tills:
            one.close()


def world(place: Place) -> World:
    """Nodes and discovery of a day; their addresses are bound at once (OSError where that can't be)."""
    return _World(place)


def clients(place: Place) -> Clients:
    """The tills of `place.sidecars`."""
    return _Clients(place)
