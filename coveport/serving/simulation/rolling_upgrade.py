"""A day on loopback on which processes are restarted, under load, with another version of the program.

The other version is a source tree of this package. Each step restarts one process by SIGTERM and
then changes the configuration; the judge's rules apply throughout.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Final

from coveport.net.transport import Net
from coveport.serving.simulation.local_day import LocalDay, LocalDayResult, Say
from coveport.serving.simulation.local_processes import OWN_SOURCE, LocalProcess

PAUSE_S: Final = 0.5  # between the end of a process and its next start
REJOIN_S: Final = 4.0  # until a restarted coordinator counts as back (`Bounds.catch_up_s`)
STEP_S: Final = 7.0  # duration of a step, including the change of the configuration after it
FIRST_STEP_S: Final = 1.0  # after the traffic's start


class Kind(Enum):
    """The kind of process to restart."""

    COORDINATOR = "coordinator"
    PROXY = "proxy"


class Version(Enum):
    """The program version to start."""

    OLD = "the other version"
    NEW = "this version"


@dataclass(frozen=True, slots=True)
class Restart:
    """One step: restart the process with a number among its kind, with a version of the program."""

    kind: Kind
    number: int
    version: Version


def restarts_of(kinds: Sequence[Kind], version: Version = Version.NEW) -> tuple[Restart, ...]:
    """Return the steps that restart all three processes of each kind with a version, kind by kind."""
    return tuple(Restart(kind, number, version) for kind in kinds for number in range(3))


COORDINATORS_FIRST: Final = restarts_of([Kind.COORDINATOR, Kind.PROXY])
PROXIES_FIRST: Final = restarts_of([Kind.PROXY, Kind.COORDINATOR])
HALFWAY_AND_BACK: Final = (
    Restart(Kind.COORDINATOR, 0, Version.NEW),
    Restart(Kind.PROXY, 1, Version.NEW),
    Restart(Kind.COORDINATOR, 2, Version.NEW),
    Restart(Kind.COORDINATOR, 0, Version.OLD),
    Restart(Kind.PROXY, 1, Version.OLD),
    Restart(Kind.COORDINATOR, 2, Version.OLD),
)


class RollingUpgradeDay(LocalDay):
    """A day on which all processes start with the other version and are restarted step by step."""

    def __init__(
        self, net: Net, folder: Path, other_source: Path, steps: Sequence[Restart], seed: int, say: Say
    ) -> None:
        """Create the day; `other_source`: the folder that contains the other version's package `coveport`."""
        super().__init__(net, folder, FIRST_STEP_S + STEP_S * len(steps), seed, say)
        self._sources = {Version.OLD: other_source, Version.NEW: OWN_SOURCE}
        self._steps = steps
        for process in (*self._machines.coordinators, *self._machines.proxies):
            process.source = other_source

    def _plan(self) -> list[tuple[float, Callable[[], Awaitable[None]]]]:
        return [(FIRST_STEP_S / self._seconds, self._restart_all)]

    async def _restart_all(self) -> None:
        for step in self._steps:
            began_s = self._net.now_s()
            await self._restart(step)
            await self._change()
            await asyncio.sleep(max(0.0, began_s + STEP_S - self._net.now_s()))

    async def _restart(self, step: Restart) -> None:
        is_coordinator = step.kind is Kind.COORDINATOR
        processes = self._machines.coordinators if is_coordinator else self._machines.proxies
        process = processes[step.number]
        number = self._begin("term", process, core=is_coordinator, planned=True)
        in_time = await process.terminate()
        self._report(f"{process.name} has ended{'' if in_time else ', too late'}: now {step.version.value}")
        process.source = self._sources[step.version]
        await asyncio.sleep(PAUSE_S)
        if is_coordinator:
            await process.start()
            await asyncio.sleep(REJOIN_S)
        else:
            await self._machines.start_proxy(step.number)
        self._end(number)

    def processes(self) -> tuple[LocalProcess, ...]:
        """Return all processes, so that a caller can read their logs."""
        return (*self._machines.coordinators, *self._machines.proxies)


async def play(
    folder: Path, other_source: Path, steps: Sequence[Restart], seed: int, say: Say
) -> tuple[LocalDayResult, tuple[LocalProcess, ...]]:
    """Play a rolling upgrade; settings, logs and data are kept in `folder`."""
    net = Net(asyncio.get_running_loop())
    day = RollingUpgradeDay(net, folder, other_source, steps, seed, say)
    return await day.play(), day.processes()
