"""A sidecar's process over the day: started, watched from outside, signalled, stopped."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from coveport.net.address import Address
from coveport.testbed.day import Change, Day, SidecarDrawn, sidecar_settings
from coveport.testbed.event_log import EventLog, Life, Sample
from coveport.testbed.loopback.control import Known
from coveport.testbed.loopback.hosts import SIDECARS, address_of, bound
from coveport.testbed.loopback.processes import Brood, Child
from coveport.testbed.loopback.timing import DayClock

READY_S = 10.0  # how long it may take until it says that it is ready
POLL_S = 0.03
RELOAD_S = 1.0  # after its start, a signal to reload is safe even if it is not ready
STILL_COMING_S, LEEWAY_S = 0.7, 1.0
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KB = 1024


@dataclass(frozen=True)
class Setting:
    """What all sidecars of a run share."""

    day: Day
    brood: Brood
    clock: DayClock
    event_log: EventLog
    notes: list[str]
    folder: Path  # for configurations and logs
    command: Sequence[str]
    home: str  # folder that the command is started in
    ask: Callable[[int], Awaitable[Known]]  # what a sidecar that starts now is told
    spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]  # its failure is the run's


class Sidecar:
    """One sidecar, by the day's changes."""

    def __init__(self, drawn: SidecarDrawn, setting: Setting) -> None:
        """OSError where no address can be had for it."""
        self.drawn = drawn
        self._setting = setting
        # Held all day, not listened on: nobody else gets the port while the sidecar is down.
        self._place = bound(address_of(SIDECARS, drawn.number))
        self.address: Address = self._place.getsockname()
        self.log = setting.folder / f"{drawn.name}.log"
        self._config = setting.folder / f"{drawn.name}.json"
        self._told: dict[str, object] = {}
        self._child: Child | None = None
        self._generation = 0
        self._started_at = 0.0
        self._asked = False  # to end
        self._again = False  # to start again once it has ended
        self._over = False  # the day is: nothing is started any more
        self._starting = False
        self._stalled_until: float | None = None  # loop time
        self.ready = False
        self.settled = asyncio.Event()  # its first start has come to something: ready, given up or ended
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: list[asyncio.TimerHandle] = []
        longest = max((one.deadline_ms for one in setting.day.scenario.classes), default=3000.0)
        self.end_s = longest / 1000 + STILL_COMING_S + LEEWAY_S  # it may take so long to end

    @property
    def running(self) -> bool:
        """Whether there is a process."""
        return self._child is not None and self._child.running

    @property
    def will_run(self) -> bool:
        """Whether there is a process, or one is being started or about to be started again."""
        return self.running or self._again or bool(self._tasks)

    def change(self, change: Change) -> None:
        """Take in one of `SIDECAR_CHANGES` that concerns it."""
        if self._over:
            return
        match change.what:
            case "kill" if change.on:
                self._kill()
            case "launch" if change.on:
                self.launch()
            case "term" if change.on and self.running and not self._asked:
                self._again = True
                self._term()
            case "stall" if change.on:
                self._stall(change.value)
            case "stall" if self._child is not None:
                self._resume(self._child)

    def launch(self) -> None:
        """Start it, once the process before has ended; nothing where it runs and is not about to end."""
        if not (self._starting or self._again or (self.running and not self._asked)):
            self._start()

    def moved(self, discovery: Address) -> None:
        """Discovery is elsewhere: its file says so, and it is told to read it anew."""
        if not self._told:
            return
        self._told["discovery"] = _text(discovery)
        self._write()
        if self.running and not self._asked:
            self._spawn(self._reload())

    async def stop(self) -> None:
        """End it as a planned stop does, within `end_s`."""
        self._over = True
        self._again = False
        await self._until_it_can_be_told()
        for task in list(self._tasks):
            task.cancel()
        for timer in self._timers:
            timer.cancel()
        if self._child is not None and self._child.running:
            self._resume(self._child)
            self._term()
            await self._child.ended.wait()

    async def _until_it_can_be_told(self) -> None:
        """Guards against a stop that comes before there is a handler: it would end the process with -15."""
        loop = asyncio.get_running_loop()
        while self.running and not (self.ready or self._asked) and loop.time() < self._started_at + READY_S:
            await asyncio.sleep(POLL_S)

    def sample(self) -> None:
        """Enter what its process holds, once it is up: just after its exec it holds next to nothing."""
        if self._child is None or not self._child.running or not self.ready:
            return
        place = Path(f"/proc/{self._child.pid}")
        # Guards against a process that ends while it is looked at.
        with contextlib.suppress(OSError, ValueError, IndexError):
            status = (place / "status").read_text()
            memory = next(
                (int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS:")), 0
            )
            if not memory:
                return  # it has ended, which nobody has noticed yet
            times = (place / "stat").read_text().rpartition(")")[2].split()
            self._setting.event_log.write(
                Sample(
                    self._setting.clock.day_ms(),
                    self.drawn.number,
                    memory / PAGE_KB,
                    len(os.listdir(place / "fd")),
                    (int(times[11]) + int(times[12])) / TICKS,
                )
            )

    def close(self) -> None:
        """Give its address back."""
        self._place.close()

    # Starting.

    def _start(self) -> None:
        self._starting = True
        self._spawn(self._launch())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._setting.spawn(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _launch(self) -> None:
        if self._child is not None:
            await self._child.ended.wait()
        setting, drawn = self._setting, self.drawn
        known = await setting.ask(drawn.number)
        self._generation += 1
        limits = setting.day.scenario.limits
        self._told = {
            "name": drawn.name,
            "listen": _text(self.address),
            "discovery": _text(known.discovery),
            "seed": f"{(drawn.seed * 1_000_003 + self._generation) % 2**64:016x}",
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors},
            "known": known.known,
            "settings": sidecar_settings(setting.day, drawn),
        }
        self._write()
        environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environ["LB_CONFIG"] = str(self._config)
        self._asked = self._again = self._starting = self.ready = False
        self._stalled_until = None
        self._started_at = asyncio.get_running_loop().time()
        self._live("start", str(self._generation))
        try:
            self._child = setting.brood.start(
                setting.command,
                log=self.log,
                environ=environ,
                folder=setting.home,
                descriptors=limits.descriptors,
                on_end=self._ended,
            )
        except OSError as problem:
            self._note(f"could not be started: {problem}")
            self._live("exit", str(problem.errno))
            self.settled.set()
            return
        await self._until_ready(self._child)

    def _write(self) -> None:
        """Replace its configuration file in one step."""
        fresh = self._config.with_suffix(".new")
        fresh.write_text(json.dumps(self._told))
        fresh.replace(self._config)

    async def _until_ready(self, child: Child) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_S
        while child.running and not self._asked:
            if await is_ready(self.address):
                self.ready = True
                self._live("ready")
                break
            if loop.time() > end:
                self._note(f"was not ready after {READY_S:g} s")
                self._live("unready")
                break
            await asyncio.sleep(POLL_S)
        self.settled.set()

    async def _reload(self) -> None:
        child, loop = self._child, asyncio.get_running_loop()
        # Guards against a signal that comes before there is a handler: it would end the process.
        while not self.ready and loop.time() < self._started_at + RELOAD_S:
            await asyncio.sleep(POLL_S)
        if child is self._child and child is not None and child.running and not self._asked:
            self._live("reload")
            child.signal(signal.SIGHUP)

    # Ending.

    def _ended(self, code: int) -> None:
        self._live("exit", str(code))
        self.ready = False
        self.settled.set()
        if not self._asked:
            took = asyncio.get_running_loop().time() - self._started_at
            self._note(f"ended by itself with code {code} after {took:.1f} s: {last_line(self.log)}")
        elif code not in (0, -signal.SIGKILL):
            self._note(f"ended with code {code} when it was told to stop: {last_line(self.log)}")
        if self._again and not self._over:
            self._again = False
            self._start()

    def _kill(self) -> None:
        if self.running and self._child is not None:
            self._asked = True
            self._again = False
            self._live("kill")
            self._child.kill()

    def _term(self) -> None:
        child = self._child
        if child is None or not child.running or self._asked:
            return
        self._asked = True
        self._live("term")
        child.signal(signal.SIGTERM)

        def hangs() -> None:
            if child.running:
                self._note(f"hung at its end: killed {self.end_s:.1f} s after SIGTERM")
                child.kill()

        asyncio.get_running_loop().call_later(self.end_s, hangs)

    def _stall(self, for_ms: float) -> None:
        """Take the CPU from it for so long; several stops at once last as long as the longest."""
        child, loop = self._child, asyncio.get_running_loop()
        if child is None or not child.running:
            return
        if self._stalled_until is None:
            self._live("stall")
            child.signal(signal.SIGSTOP)
        end = self._stalled_until = max(self._stalled_until or 0.0, loop.time() + for_ms / 1000)

        def over() -> None:
            if self._stalled_until == end and child is self._child:
                self._resume(child)

        self._timers.append(loop.call_at(end, over))

    def _resume(self, child: Child) -> None:
        if self._stalled_until is not None and child.running:
            child.signal(signal.SIGCONT)
            self._live("resume")
        self._stalled_until = None

    def _live(self, what: str, detail: str = "") -> None:
        self._setting.event_log.write(Life(self._setting.clock.day_ms(), self.drawn.number, what, detail))

    def _note(self, text: str) -> None:
        self._setting.notes.append(f"sidecar {self.drawn.number}: {text}")

    def keep_log(self, folder: Path) -> None:
        """Copy its log there."""
        if self.log.exists():
            shutil.copy(self.log, folder)


async def is_ready(address: Address) -> bool:
    """Whether `GET /_health` is answered with 200 at once."""
    writer = None
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            return (await reader.readline()).split(b" ")[1:2] == [b"200"]
    except (OSError, ValueError):  # TimeoutError is an OSError
        return False
    finally:
        if writer is not None:
            writer.close()


def last_line(log: Path) -> str:
    """The last thing that a process said."""
    try:
        lines = log.read_text(errors="replace").strip().splitlines()
    except OSError:
        lines = []
    return lines[-1] if lines else "it said nothing"


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
