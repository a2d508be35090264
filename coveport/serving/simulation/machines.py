"""Machines of a simulated deployment: each runs lives of one program, that can be killed or frozen."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Final, Protocol

from coveport.serving.log import create_logger
from coveport.serving.simulation.deployment import MachineSpot
from coveport.serving.simulation.disk import SimulatedDisk
from coveport.serving.simulation.topology import PlacedNet, PlacedNetwork, SimulatedProcess, run_in
from coveport.testbed.simulated_network.wires import Place

RESTART_S: Final = 0.5  # from a process' end to its next start


class Program(Protocol):
    """What runs on a machine."""

    async def start(self) -> None:
        """Begin."""

    async def stop(self) -> None:
        """The planned end."""


MakeProgram = Callable[["Machine", bool, Any, Random], Program]
"""From the machine, whether it is the first boot, a log, and chance."""


class Machine:
    """One machine."""

    def __init__(
        self, network: PlacedNetwork, spot: MachineSpot, place: Place, make: MakeProgram, seed: str,
        disk: SimulatedDisk | None = None,
    ) -> None:  # fmt: skip
        self.spot = spot
        self.place = place
        self.disk = disk
        self.log_lines: list[str] = []
        self.problems: list[dict[str, Any]] = []
        self.lives = 0
        self.own_ends = 0  # lives that ended by themselves
        self.is_gone = False  # taken away for good
        self._network = network
        self._make = make
        self._seed = seed
        self._process: SimulatedProcess | None = None
        self._net: PlacedNet | None = None
        self.program: Program | None = None

    @property
    def net(self) -> PlacedNet:
        """The net of the present life."""
        assert self._net is not None
        return self._net

    @property
    def is_up(self) -> bool:
        """Whether a process runs."""
        return self._process is not None and self._process.alive

    def start(self, first_boot: bool = False) -> None:
        """Begin a life, if none runs."""
        if self.is_up or self.is_gone:
            return
        self.lives += 1
        process = SimulatedProcess.begin(self._network.world, f"{self.spot.name}#{self.lives}")
        process.problems = self.problems
        process.on_exit = lambda code: self.problems.append({"message": f"exit {code}"})
        self._process = process
        self._net = PlacedNet(process, self._network, self.place)
        chance = Random(f"{self._seed} {self.spot.name} {self.lives}")
        log = create_logger(self._net.now_s, write=self.log_lines.append)

        async def begin() -> None:
            try:
                self.program = self._make(self, first_boot, log, chance)
                await self.program.start()
            except OSError as refused:  # as of a disk that refuses: the platform starts it again
                self.log_lines.append(f"ended: {refused}")
                world = self._network.world
                world.at(world.now, self._ended_by_itself, process)

        run_in(process, begin)

    def _ended_by_itself(self, process: SimulatedProcess) -> None:
        if process.alive:
            process.kill()
            self.own_ends += 1
            self._network.world.at(self._network.world.now + RESTART_S, self.start)

    def kill(self) -> None:
        """End its life at once."""
        if self._process is not None:
            self._process.kill()

    def freeze(self, for_s: float) -> None:
        """Let it run nothing for so long."""
        if self._process is not None:
            self._process.stall(for_s)

    def terminate(self, grace_s: float, ended: Callable[[], None]) -> None:
        """Ask it to stop; kill it when it has, or when the time of grace is over."""
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
        """Have its process do something."""
        assert self._process is not None
        run_in(self._process, work)
