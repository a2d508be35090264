"""Programs of simulated machines whose software is emulated: nodes and clients."""

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
    """A node's machine with its current incarnation and registration."""

    def __init__(self, machine: Machine, service: str) -> None:
        self.machine = machine
        self.service = service
        self.server: ModelServer | None = None
        self.registration: Registration | None = None


class NodeProgram:
    """The program of a node's machine: one incarnation of the node."""

    def __init__(self, server: ModelServer, registration: Registration, warm_up_s: float) -> None:
        self._server = server
        self._registration = registration
        self._warm_up_s = warm_up_s

    async def start(self) -> None:
        """Start serving and sending heartbeats."""
        await self._server.start(self._warm_up_s)
        self._registration.start()

    async def stop(self) -> None:
        """End at once; the end counts as planned."""
        self._server.end(planned=True)


@dataclass(frozen=True, slots=True)
class ClientWorkload:
    """The requests of one client: each kind with its rate per second, until `until_s`."""

    rates: tuple[tuple[RequestKind, float], ...]
    until_s: float
    seed: int


class ClientProgram:
    """The program of a client's machine, which sends the client's workload."""

    def __init__(self, client: Client, machine: Machine, workload: ClientWorkload) -> None:
        self.client = client
        self._machine = machine
        self._workload = workload

    async def start(self) -> None:
        """Send requests until the day's traffic ends."""
        machine, workload = self._machine, self._workload
        for kind, rate in workload.rates:
            rng = Random(f"{machine.spot.name} {kind.name} {workload.seed}")
            machine.run(partial(drive, machine.net, self.client, kind, rate, workload.until_s, rng))

    async def stop(self) -> None:
        """Do nothing: there is no resource to release."""


class IdleProgram:
    """A program that does nothing by itself."""

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


def run_idle_program(machine: Machine, first_boot: bool, log: Any, rng: Random) -> IdleProgram:
    """Return a program for a machine on which the simulation starts tasks directly."""
    return IdleProgram()


def open_simulated(machine: Machine, first_boot: bool, rng: Random) -> OpenedStorage:
    """Open the storage on a machine's simulated disk."""
    assert machine.disk is not None
    opened = open_store(machine.disk, first_boot, rng.randbytes)
    writer = SimulatedWriter(machine.net, machine.disk, opened.store)
    return OpenedStorage(opened.durable, writer, opened.damage)
