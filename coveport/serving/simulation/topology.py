"""Network of a simulated deployment: delays between zones, and partitions between machines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final, cast

from coveport.serving.simulation.zones import Delays, Zone
from coveport.testbed.simulated_network.network import Network
from coveport.testbed.simulated_network.place import Place
from coveport.testbed.simulated_network.wires import VirtualNet
from coveport.testbed.simulated_network.world import Process, World

if TYPE_CHECKING:
    from coveport.net.address import Address
    from coveport.testbed.network_model import Ways
    from coveport.testbed.simulated_network.network import PendingConnect

JITTER: Final = 0.1  # maximum, as a fraction of each delay


OUTSIDE: Final = -1  # zone number of clients and operators, which are equally far from every machine


@dataclass(slots=True)
class ZoneDelayModel:
    """The model that `Network` takes delays from: delays between zones, which have numbers."""

    zones: tuple[Zone, ...]
    delays: Delays
    rng: Random
    _opened: list[Callable[[], None]] = field(default_factory=list)

    def base_ms(self, sender: int, receiver: int) -> float:
        """Return the one-way delay without jitter, in milliseconds."""
        if OUTSIDE in (sender, receiver):
            return self.delays.to_clients_ms
        if sender == receiver:
            return self.delays.in_zone_ms
        if self.zones[sender].region == self.zones[receiver].region:
            return self.delays.between_zones_ms
        return self.delays.between_regions_ms

    def delay_ms(self, sender: int, receiver: int) -> float:
        """Return the one-way delay of the next message, in milliseconds."""
        return self.base_ms(sender, receiver) * (1 + JITTER * self.rng.random())

    def held(self, sender: int, receiver: int) -> bool:
        """Return False, as partitions are between machines and not between zones; see `PlacedNetwork`."""
        return False

    def on_open(self, listener: Callable[[], None]) -> None:
        """Register a listener for the end of partitions."""
        self._opened.append(listener)

    def opened(self) -> None:
        """Notify the listeners that a partition has ended."""
        for listener in self._opened:
            listener()


Partition = frozenset[tuple[str, str]]
"""Pairs of addresses, sender and receiver, between which all traffic is blocked."""


class PlacedNetwork(Network):
    """A network with partitions between machines, in one direction or both."""

    def __init__(self, world: World, delay_model: ZoneDelayModel) -> None:
        super().__init__(world, cast("Ways", delay_model), world.now)
        self._delay_model = delay_model
        self._partitions: dict[int, Partition] = {}

    def held(self, sender: Place, receiver: Place) -> bool:
        """Return whether traffic from the sender to the receiver is blocked."""
        if sender.silent or receiver.silent:
            return True
        pair = sender.address, receiver.address
        return any(pair in partition for partition in self._partitions.values())

    def release(self) -> None:
        """Deliver traffic that a partition delayed; unlike in `Network`, connects need both directions."""
        waiting = [connect for connect in self.pending_connects if self.held(connect.there, connect.here)]
        for connect in waiting:
            del self.pending_connects[connect]
        super().release()
        self.pending_connects.update(dict.fromkeys(waiting))

    def partition(self, number: int, pairs: Partition) -> None:
        """Block traffic between pairs of addresses until `heal` is called with the same number."""
        self._partitions[number] = pairs

    def heal(self, number: int) -> None:
        """End a partition."""
        self._partitions.pop(number, None)
        self._delay_model.opened()


class PlacedNet(VirtualNet):
    """The net of a process; its connects need both directions."""

    def _knock(self, connect: PendingConnect, address: Address) -> None:
        if self.network.held(connect.there, connect.here) and not connect.done.done():
            self.network.pending_connects[connect] = None
            return
        super()._knock(connect, address)


class SimulatedProcess(Process):
    """A process that keeps references to the tasks that `run_in` starts in it."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.tasks: set[asyncio.Task[object]] = set()

    @classmethod
    def begin(cls, world: World, name: str) -> SimulatedProcess:
        """Start a new process."""
        process = cls.start(world, name)
        assert isinstance(process, cls)
        return process


def run_in(process: SimulatedProcess, work: Callable[[], object]) -> None:
    """Run a call in a process at the current time; a coroutine that it returns becomes a task."""

    def begin() -> None:
        result = work()
        if asyncio.iscoroutine(result):
            task = process.create_task(result)
            process.tasks.add(task)
            task.add_done_callback(ended)

    def ended(task: asyncio.Task[object]) -> None:
        process.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            process.call_exception_handler({"message": "a task failed", "exception": task.exception()})

    process.call_soon(begin)
