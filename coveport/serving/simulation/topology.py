"""The machines of a simulated deployment, the ways between them, and what can be cut."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final, cast

from coveport.serving.simulation.zones import Delays, Zone
from coveport.testbed.simulated_network.wires import Network, Place, VirtualNet
from coveport.testbed.simulated_network.world import Process, World

if TYPE_CHECKING:
    from coveport.net.address import Address
    from coveport.testbed.network_model import Ways
    from coveport.testbed.simulated_network.wires import _Dial

JITTER: Final = 0.1  # of every delay


OUTSIDE: Final = -1  # the zone of clients and operators, who reach every machine alike


@dataclass(slots=True)
class SimulatedWays:
    """How long a message takes between zones; for `Network`, which asks by the zones' numbers."""

    zones: tuple[Zone, ...]
    delays: Delays
    chance: Random
    _opened: list[Callable[[], None]] = field(default_factory=list)

    def base_ms(self, one: int, other: int) -> float:
        """One way without jitter."""
        if OUTSIDE in (one, other):
            return self.delays.to_clients_ms
        if one == other:
            return self.delays.in_zone_ms
        if self.zones[one].region == self.zones[other].region:
            return self.delays.between_zones_ms
        return self.delays.between_regions_ms

    def delay_ms(self, one: int, other: int) -> float:
        """One way for the next message."""
        return self.base_ms(one, other) * (1 + JITTER * self.chance.random())

    def held(self, one: int, other: int) -> bool:
        """Zones are not cut here; places are, see `PlacedNetwork`."""
        return False

    def on_open(self, listener: Callable[[], None]) -> None:
        """Call it when a cut is taken back."""
        self._opened.append(listener)

    def opened(self) -> None:
        """A cut has been taken back."""
        for listener in self._opened:
            listener()


Cut = frozenset[tuple[str, str]]
"""Pairs of addresses, sender and receiver, between which nothing passes."""


class PlacedNetwork(Network):
    """A network in which cuts are between machines, in one direction or both."""

    def __init__(self, world: World, ways: SimulatedWays) -> None:
        super().__init__(world, cast("Ways", ways), world.now)
        self._simulated_ways = ways
        self._cuts: dict[int, Cut] = {}

    def held(self, one: Place, other: Place) -> bool:
        """Whether nothing passes from one machine to the other."""
        if one.silent or other.silent:
            return True
        pair = one.address, other.address
        return any(pair in cut for cut in self._cuts.values())

    def release(self) -> None:
        """A way may be open again: as in `Network`, but a connect waits for both directions."""
        waiting = [dial for dial in self._dials if self.held(dial.there, dial.here)]
        for dial in waiting:
            del self._dials[dial]
        super().release()
        self._dials.update(dict.fromkeys(waiting))

    def cut(self, number: int, pairs: Cut) -> None:
        """Let nothing pass between these, until `join`."""
        self._cuts[number] = pairs

    def join(self, number: int) -> None:
        """Take a cut back."""
        self._cuts.pop(number, None)
        self._simulated_ways.opened()


class PlacedNet(VirtualNet):
    """A process' net whose connects also need the way back."""

    def _knock(self, dial: _Dial, address: Address) -> None:
        if self.network.held(dial.there, dial.here) and not dial.done.done():
            self.network._dials[dial] = None
            return
        super()._knock(dial, address)


class SimulatedProcess(Process):
    """A process that keeps the tasks which were put into it from outside."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.tasks: set[asyncio.Task[object]] = set()

    @classmethod
    def begin(cls, world: World, name: str) -> SimulatedProcess:
        """A new process."""
        process = cls.start(world, name)
        assert isinstance(process, cls)
        return process


def run_in(process: SimulatedProcess, work: Callable[[], object]) -> None:
    """Have a process call something in this instant; a coroutine that it returns is run as a task."""

    def begin() -> None:
        found = work()
        if asyncio.iscoroutine(found):
            task = process.create_task(found)
            process.tasks.add(task)
            task.add_done_callback(ended)

    def ended(task: asyncio.Task[object]) -> None:
        process.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            process.call_exception_handler({"message": "a task failed", "exception": task.exception()})

    process.call_soon(begin)
