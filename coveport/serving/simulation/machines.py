"""Simulated machines: each runs incarnations of one program that can be killed or suspended."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Final, Protocol

from coveport.serving.log import create_logger
from coveport.serving.simulation.deployment import MachineSpot
from coveport.serving.simulation.disk import SimulatedDisk
from coveport.serving.simulation.topology import PlacedNet, PlacedNetwork, SimulatedProcess, run_in
from coveport.testbed.simulated_network.place import Place

RESTART_S: Final = 0.5  # from the end of a process to the next start


class Program(Protocol):
    """A program that runs on a machine."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Stop gracefully."""


MakeProgram = Callable[["Machine", bool, Any, Random], Program]
"""Creates a program; takes its machine, whether this is the first boot, a logger, and a random generator."""


class Machine:
    """A machine with an address, a program, and an optional disk."""

    def __init__(
        self, network: PlacedNetwork, spot: MachineSpot, place: Place, make: MakeProgram, seed: str,
        disk: SimulatedDisk | None = None,
    ) -> None:  # fmt: skip
        self.spot = spot
        self.place = place
        self.disk = disk
        self.log_lines: list[str] = []
        self.problems: list[dict[str, Any]] = []
        self.incarnations = 0
        self.started_s: list[float] = []  # when each incarnation started
        self.own_ends = 0  # number of incarnations that ended by themselves
        self.is_gone = False  # permanently removed
        self._network = network
        self._make = make
        self._seed = seed
        self._process: SimulatedProcess | None = None
        self._net: PlacedNet | None = None
        self.program: Program | None = None

    @property
    def net(self) -> PlacedNet:
        """Return the net of the current incarnation."""
        assert self._net is not None
        return self._net

    @property
    def is_up(self) -> bool:
        """Return whether a process runs."""
        return self._process is not None and self._process.alive

    def start(self, first_boot: bool = False) -> None:
        """Start an incarnation, unless one is running or the machine is removed or has no power."""
        if self.is_up or self.is_gone or self.place.silent:
            return
        self.incarnations += 1
        self.started_s.append(self._network.world.now)
        process = SimulatedProcess.begin(self._network.world, f"{self.spot.name}#{self.incarnations}")
        process.problems = self.problems
        process.on_exit = lambda code: self.problems.append({"message": f"exit {code}"})
        self._process = process
        self._net = PlacedNet(process, self._network, self.place)
        rng = Random(f"{self._seed} {self.spot.name} {self.incarnations}")
        log = create_logger(self._net.now_s, write=self.log_lines.append)

        async def begin() -> None:
            try:
                self.program = self._make(self, first_boot, log, rng)
                await self.program.start()
            except (
                OSError
            ) as error:  # such as from a disk that rejects writes; the platform restarts the process
                self.log_lines.append(f"ended: {error}")
                world = self._network.world
                world.at(world.now, self._end_and_restart, process)

        run_in(process, begin)

    def _end_and_restart(self, process: SimulatedProcess) -> None:
        if process.alive:
            process.kill()
            self.own_ends += 1
            self._network.world.at(self._network.world.now + RESTART_S, self.start)

    def kill(self) -> None:
        """Kill the process."""
        if self._process is not None:
            self._process.kill()

    def freeze(self, for_s: float) -> None:
        """Suspend the process for `for_s`."""
        if self._process is not None:
            self._process.stall(for_s)

    def terminate(self, grace_s: float, ended: Callable[[], None]) -> None:
        """Stop the program; kill the process when the program has stopped or the grace period is over."""
        process, program = self._process, self.program
        assert process is not None and program is not None
        world = self._network.world

        async def stop() -> None:
            await program.stop()
            world.at(world.now, end)

        def end() -> None:
            if process.alive:
                process.kill()
                ended()

        run_in(process, stop)
        world.at(world.now + grace_s, end)

    def run(self, work: Callable[[], object]) -> None:
        """Run a call or coroutine in the machine's process."""
        assert self._process is not None
        run_in(self._process, work)
