"""A simulated host: processes with names, locks and words, and the hands of each supervisor on it.

A life starts slowly, says that it is ready, gives signs, hangs, crashes, and ends when it is told to. The
host keeps the book: who was started, told and killed, by whom and when. The judge reads that.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.instance_state import ExitReason
from coveport.testbed.simulated_network.world import Process, World

BEATS = 4
SERVED = "1.0/50"
LOST = 0.98  # of the words to a supervisor that stands still: its socket has room for few


@dataclass(frozen=True, slots=True)
class Event:
    """A line of the host's book. `by`: the supervisor; empty: nobody of them."""

    at: float
    what: str  # start, held, ready, drain, kill, ended, hung, woke
    name: str
    life: str
    by: str = ""
    until: float = 0.0  # hung: until when


@dataclass
class SimLife:
    """One process of an instance."""

    name: str
    life: str
    pid: int
    started: float
    holds: bool = True  # the lock of its name
    alive: bool = True
    ready: bool = False
    draining: float = inf  # since when
    frozen: float = -inf  # until when it gives no sign and does nothing


@dataclass
class Ills:
    """What is wrong with lives that are started now, by name ("" for all)."""

    crash: dict[str, float] = field(default_factory=dict)  # ends by itself so long after its start
    unusable: bool = False  # its files can't be used
    start_s: float = 0.4  # from start to ready, half to one and a half times
    worse: float = 1.0  # share that new lives serve


class SimHost:
    """The host."""

    def __init__(self, world: World, fleet: Fleet, chance: random.Random) -> None:
        self.world = world
        self.fleet = fleet
        self._chance = chance
        self.ills = Ills()
        self.lives: dict[str, SimLife] = {}  # by life; those that are alive
        self.book: list[Event] = []
        self.processes: list[SimProcessControl] = []
        self.ear: tuple[Process, Callable[[int, dict[str, str]], None]] | None = None
        self.locked = True  # whether names have locks at all
        self._count = 1000

    def note(self, what: str, one: SimLife, by: str = "", until: float = 0.0) -> None:
        """A line of the book."""
        self.book.append(Event(self.world.now, what, one.name, one.life, by, until))

    def holder(self, name: str) -> SimLife | None:
        """Which life has a name."""
        return next((one for one in self.lives.values() if one.name == name and one.holds), None)

    def start(self, name: str, by: str) -> SimLife:
        """A process of that name."""
        self._count += 1
        one = SimLife(name, f"{self._count}.{self.world.now:.3f}.sim", self._count, self.world.now)
        self.lives[one.life] = one
        self.note("start", one, by)
        before = self.holder(name)
        if self.locked and before is not None and before is not one:
            one.holds = False
            self.note("held", one)
            self.world.at(self.world.now + 0.1, self.end, one, ExitReason.HELD)
            return one
        if self.ills.unusable:
            self.world.at(self.world.now + 0.15, self.end, one, ExitReason.UNUSABLE)
            return one
        crash = self.ills.crash.get(name, self.ills.crash.get("", inf))
        if crash < inf:
            self.world.at(
                self.world.now + crash * self._chance.uniform(0.5, 1.5), self.end, one, ExitReason.CRASH
            )
        ready = self.ills.start_s * self._chance.uniform(0.5, 1.5)
        self.world.at(
            self.world.now + ready,
            self._ready,
            one,
            "" if self.ills.worse == 1.0 else f"{self.ills.worse}/50",
        )
        return one

    def _ready(self, one: SimLife, served: str) -> None:
        if not one.alive or one.draining < inf:
            return
        if self.world.now < one.frozen:
            self.world.at(one.frozen, self._ready, one, served)
            return
        one.ready = True
        self.note("ready", one)
        self._beat(one, served)

    def _beat(self, one: SimLife, served: str) -> None:
        if not one.alive:
            return
        if self.world.now < one.frozen:
            self.world.at(one.frozen, self._beat, one, served)
            return
        state = "READY" if one.draining == inf else "STOPPING"
        self.say(one, {state: "1", "WATCHDOG": "1", "X_SERVED": served or SERVED})
        self.world.at(self.world.now + self.fleet.hung_s / BEATS, self._beat, one, served)

    def say(self, one: SimLife, words: dict[str, str]) -> None:
        """A datagram, to whoever has the socket now."""
        if self.ear is not None and self.ear[0].alive:
            process, heard = self.ear
            if not process.idle and self._chance.random() < LOST:
                return
            self.world.at(self.world.now + 0.0005, heard, one.pid, words, process=process)

    def freeze(self, one: SimLife, lasts_s: float) -> None:
        """It stands still for so long."""
        one.frozen = max(one.frozen, self.world.now + lasts_s)
        self.note("hung", one, until=one.frozen)

    def drain(self, one: SimLife) -> None:
        """SIGTERM."""
        if one.alive and one.draining == inf:
            one.draining = self.world.now
            self.say(one, {"STOPPING": "1"})
            self._drained(one)

    def _drained(self, one: SimLife) -> None:
        if self.world.now < one.frozen:
            self.world.at(one.frozen, self._drained, one)
        else:
            self.world.at(self.world.now + self._chance.uniform(0.3, 1.2), self.end, one, ExitReason.CLEAN)

    def end(self, one: SimLife, how: ExitReason) -> None:
        """It is over: its lock is free, and who watches it hears of it."""
        if not one.alive:
            return
        if how is not ExitReason.CRASH and self.world.now < one.frozen:
            self.world.at(one.frozen, self.end, one, how)  # who stands still does not end by itself
            return
        one.alive = False
        del self.lives[one.life]
        self.note("ended", one)
        for processes in self.processes:
            processes.over(one, how)


class SimProcessControl:
    """The hands of one supervisor."""

    def __init__(self, host: SimHost, process: Process, name: str) -> None:
        self.host = host
        self.process = process
        self.name = name
        self.ended: Callable[[str, str, ExitReason], None] = lambda name, life, how: None
        self._watched: set[str] = set()
        host.processes.append(self)

    def found(self) -> dict[str, str]:
        """By their locks."""
        found = {one.name: one.life for one in self.host.lives.values() if one.holds}
        self._watched.update(found.values())
        return found

    def start(self, name: str) -> str:
        """Start a process."""
        one = self.host.start(name, self.name)
        self._watched.add(one.life)
        return one.life

    def drain(self, life: str) -> None:
        """SIGTERM."""
        one = self.host.lives.get(life)
        if one is not None and life in self._watched:
            self.host.note("drain", one, self.name)
            self.host.drain(one)

    def kill(self, life: str) -> None:
        """SIGKILL."""
        one = self.host.lives.get(life)
        if one is not None and life in self._watched:
            self.host.note("kill", one, self.name)
            self.host.end(one, ExitReason.CRASH)

    def close_listener(self, name: str) -> None:
        """Nothing is held here."""

    def incarnation_of(self, pid: int) -> tuple[str, str]:
        """Whose word it is."""
        one = next(
            (it for it in self.host.lives.values() if it.pid == pid and it.life in self._watched), None
        )
        return ("", "") if one is None else (one.name, one.life)

    def release(self) -> None:
        """Watch nothing more."""
        self._watched.clear()

    def over(self, one: SimLife, how: ExitReason) -> None:
        """A life has ended."""
        if one.life in self._watched and self.process.alive:
            self._watched.discard(one.life)
            self.host.world.soon(self._tell, (one.name, one.life, how), self.process)

    def _tell(self, name: str, life: str, how: ExitReason) -> None:
        self.ended(name, life, how)
