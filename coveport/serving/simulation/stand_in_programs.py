"""What runs on the machines of the outside world in a simulated day, and what a coordinator's disk holds."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from coveport.serving.simulation.client import Client, RequestKind
from coveport.serving.simulation.disk import SimulatedWriter
from coveport.serving.simulation.machines import Machine
from coveport.serving.simulation.model_server import ModelServer
from coveport.serving.simulation.registration import Registration
from coveport.serving.simulation.traffic import drive
from coveport.serving.storage.open_store import OpenedStorage, open_store


class SimulatedNode:
    """A node's machine: its present incarnation and that one's heartbeats."""

    def __init__(self, machine: Machine, service: str) -> None:
        self.machine = machine
        self.service = service
        self.server: ModelServer | None = None
        self.registration: Registration | None = None


class NodeProgram:
    """A node's life as a machine's program."""

    def __init__(self, server: ModelServer, registration: Registration, cold_s: float) -> None:
        self._server = server
        self._registration = registration
        self._cold_s = cold_s

    async def start(self) -> None:
        """Serve and report."""
        await self._server.start(self._cold_s)
        self._registration.start()

    async def stop(self) -> None:
        """End at once, by plan."""
        self._server.end(planned=True)


@dataclass(frozen=True, slots=True)
class Asks:
    """What one client asks: requests a second of each kind, until when."""

    rates: tuple[tuple[RequestKind, float], ...]
    until_s: float
    seed: int


class ClientProgram:
    """A client's asking as a machine's program."""

    def __init__(self, client: Client, machine: Machine, asks: Asks) -> None:
        self.client = client
        self._machine = machine
        self._asks = asks

    async def start(self) -> None:
        """Ask until the day's traffic ends."""
        machine, asks = self._machine, self._asks
        for kind, rate in asks.rates:
            chance = Random(f"{machine.spot.name} {kind.name} {asks.seed}")
            machine.run(partial(drive, machine.net, self.client, kind, rate, asks.until_s, chance))

    async def stop(self) -> None:
        """Nothing is held."""


class Nothing:
    """A program that does nothing by itself."""

    async def start(self) -> None:
        """Nothing."""

    async def stop(self) -> None:
        """Nothing."""


def run_nothing(machine: Machine, first_boot: bool, log: Any, chance: Random) -> Nothing:
    """For machines whose work is given to them."""
    return Nothing()


def open_simulated(machine: Machine, first_boot: bool, chance: Random) -> OpenedStorage:
    """What a machine's disk holds, and a writer on it."""
    assert machine.disk is not None
    opened = open_store(machine.disk, first_boot, chance.randbytes)
    writer = SimulatedWriter(machine.net, machine.disk, opened.store)
    return OpenedStorage(opened.durable, writer, opened.damage)
