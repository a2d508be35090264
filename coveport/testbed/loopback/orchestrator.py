"""Play a drawn day with real sidecars on loopback: start all processes, conduct, end, merge the event logs.

The stand-ins run in processes of their own (`worker`): one for nodes and discovery, one or more for tills.
Whatever happens, no process and no file of ours is left.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import resource
import shutil
import signal
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from pathlib import Path

import msgspec

import coveport
from coveport.net.transport import Net
from coveport.testbed.conductor import OF_SIDECARS, conduct, write_faults
from coveport.testbed.day import Change, Day
from coveport.testbed.event_log import EventLog
from coveport.testbed.loopback import control
from coveport.testbed.loopback.folders import own_folder
from coveport.testbed.loopback.processes import Brood, Child
from coveport.testbed.loopback.sidecars import READY_S, Setting, Sidecar, last_line
from coveport.testbed.loopback.timing import DayClock
from coveport.testbed.playing import Played
from coveport.testbed.scenario import needs_simulation

PARTS = "coveport.testbed.loopback.parts"
SHARE = 300.0  # operations a second, in the busiest one, that one process plays the tills of
START_S = 20.0  # a worker listens by then
EVENT_LOGS_TIMEOUT_S = 20.0  # a worker has handed its event log over by then
SPARE_S = 30.0  # that a run may take beyond what its parts may
LEAD_S = 0.15  # from the word that the day begins to its beginning
SAMPLE_S = 0.5
LATE_P99_MS, LATE_WORST_MS = 10.0, 250.0
OWN = 100  # descriptors that a process of ours needs beside connections
LOG_MOST = 256 * 1024  # of a sidecar's log that is kept, from its end


class GroundError(Exception):
    """The day can't be played, or the lab broke down; the text is one line."""


class _Worker:
    """A worker's process and what has come from it."""

    def __init__(self, name: str, child: Child, log: Path, own: socket.socket) -> None:
        self.name = name
        self.child = child
        self.log = log
        self._own = own
        self.ready, self.done = asyncio.Event(), asyncio.Event()
        self.booked: asyncio.Future[control.Booked] = asyncio.get_running_loop().create_future()
        self.known: dict[int, list[asyncio.Future[control.Known]]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reader: asyncio.StreamReader | None = None

    async def connect(self) -> None:
        """Take up our end of the pair."""
        self._reader, self._writer = await asyncio.open_connection(sock=self._own)

    def send(self, frame: control.Frame) -> None:
        """Tell it something."""
        assert self._writer is not None
        self._writer.write(control.packed(frame))

    async def listen(self, on_move: Callable[[control.Moved], None]) -> None:
        """Take in what it says until its event log is here; GroundError where it fails or ends before."""
        assert self._reader is not None
        while True:
            try:
                frame = await control.receive(self._reader)
            except EOFError:
                raise GroundError(f"{self.name} ended in the middle: {last_line(self.log)}") from None
            match frame:
                case control.Ready():
                    self.ready.set()
                case control.Done():
                    self.done.set()
                case control.Known():
                    self.known[frame.sidecar].pop(0).set_result(frame)
                case control.Moved():
                    on_move(frame)
                case control.Booked():
                    self.booked.set_result(frame)
                    return
                case control.Failed():
                    raise GroundError(f"{self.name}: {frame.text}")
                case _:
                    raise GroundError(f"{self.name} said {type(frame).__name__}")

    async def know(self, sidecar: int) -> control.Known:
        """Ask what a sidecar that starts now is told."""
        answer: asyncio.Future[control.Known] = asyncio.get_running_loop().create_future()
        self.known.setdefault(sidecar, []).append(answer)
        self.send(control.Know(sidecar))
        return await answer

    def hang_up(self) -> None:
        """Let it end."""
        if self._writer is not None:
            self._writer.close()
        else:
            self._own.close()


class _Run:
    """One run."""

    def __init__(
        self,
        day: Day,
        folder: Path,
        brood: Brood,
        command: Sequence[str],
        parts: str,
        progress: Callable[[float], None] | None,
    ) -> None:
        self.day = day
        self._folder = folder
        self._brood = brood
        self._parts = parts
        self._progress = progress
        self.event_log = EventLog()
        self.notes = list[str]()
        loop = asyncio.get_running_loop()
        self._net = Net(loop)
        self._unix_s = time.time() - time.monotonic()
        self._clock = DayClock(loop.time() + START_S + READY_S + SPARE_S, self._unix_s)
        self._workers: list[_Worker] = []
        self.logs: list[Path] = []
        home = Path(coveport.__file__).parents[1]
        self._setting = Setting(
            day,
            brood,
            self._clock,
            self.event_log,
            self.notes,
            folder,
            command,
            str(home),
            lambda sidecar: self._workers[0].know(sidecar),
            lambda work: self._group.create_task(work),
        )
        self._group = asyncio.TaskGroup()
        self.sidecars: list[Sidecar] = []
        self._sampling: asyncio.TimerHandle | None = None
        scenario = day.scenario
        self.end_ms = (scenario.length_s + scenario.tail_s) * 1000
        self.late = False

    @property
    def most_s(self) -> float:
        """The whole run takes no longer."""
        longest = max((one.deadline_ms for one in self.day.scenario.classes), default=0.0)
        quiet_s = self.day.scenario.quiet_s
        return START_S + READY_S + (self.end_ms + longest) / 1000 + quiet_s + EVENT_LOGS_TIMEOUT_S + SPARE_S

    async def play(self) -> list[bytes]:
        """Play the day; the event log of all parties."""
        self.sidecars = [Sidecar(drawn, self._setting) for drawn in self.day.sidecars]
        await self._start_workers()
        try:
            async with self._group as group:
                listening = [group.create_task(worker.listen(self._moved)) for worker in self._workers]
                parts = await self._conduct()
                for task in listening:
                    await task
                return parts
        except BaseExceptionGroup as problems:
            raise _first(problems) from None
        finally:
            if self._sampling is not None:
                self._sampling.cancel()

    async def _start_workers(self) -> None:
        file = self._folder / "day"
        file.write_bytes(msgspec.msgpack.encode(self.day))
        jobs = [("the world", "world", tuple[int, ...]())]
        jobs += [
            (f"the tills of sidecars {', '.join(map(str, share))}", "tills", share)
            for share in shares(self.day)
        ]
        environ = dict(os.environ)
        # Guards against a worker that finds another coveport, or none: it sees what we see.
        environ["PYTHONPATH"] = os.pathsep.join(path or os.getcwd() for path in sys.path)
        for number, (name, role, share) in enumerate(jobs):
            own, its = socket.socketpair()
            own.setblocking(False)
            log = self._folder / f"lab-{number}.log"
            with its:
                child = self._brood.start(
                    [sys.executable, "-m", "coveport.testbed.loopback.worker"],
                    log=log,
                    environ=environ,
                    control=its,
                )
            worker = _Worker(name, child, log, own)
            self._workers.append(worker)
            self.logs.append(log)
            await worker.connect()
            worker.send(
                control.Job(
                    role,
                    str(file),
                    self._parts,
                    share,
                    tuple(one.address for one in self.sidecars),
                    self._clock.t0,
                    self._unix_s,
                )
            )

    async def _conduct(self) -> list[bytes]:
        day, clock = self.day, self._clock
        async with _limit(START_S, "the lab's own processes did not start in time"):
            for worker in self._workers:
                await worker.ready.wait()
        for one in self.sidecars:
            one.launch()
        for one in self.sidecars:
            await one.settled.wait()
        self._sample()
        t0 = asyncio.get_running_loop().time() + LEAD_S
        clock.begin(t0, self.event_log)
        for worker in self._workers:
            worker.send(control.Begin(t0))
        write_faults(day, self.event_log)
        conduct(day.changes, self._net, clock.day_ms, [(OF_SIDECARS, self._change)])
        await self._wait_for_end()
        await asyncio.gather(*(one.stop() for one in self.sidecars))
        async with _limit(
            EVENT_LOGS_TIMEOUT_S, "the lab's own processes did not hand their books over in time"
        ):
            for worker in self._workers:
                worker.send(control.Finish())
            booked = [await worker.booked for worker in self._workers]
        self._judge_lateness(booked)
        for worker in self._workers:
            worker.hang_up()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2.0):
                for worker in self._workers:
                    await worker.child.ended.wait()
        return [*(one.rows for one in booked), self.event_log.packed()]

    async def _wait_for_end(self) -> None:
        """Wait for the last wish and until tills want nothing more, or the tail is over."""
        day, clock = self.day, self._clock
        length_ms = day.scenario.length_s * 1000
        while (now := clock.day_ms()) < self.end_ms:
            if now >= length_ms and all(worker.done.is_set() for worker in self._workers[1:]):
                break
            if (
                self.sidecars
                and not any(one.will_run for one in self.sidecars)
                and not any(change.what == "launch" and change.at >= now for change in day.changes)
            ):
                self.notes.append(f"no sidecar was left {now / 1000:.1f} s into the day: it ended there")
                break
            if self._progress is not None:
                self._progress(min(1.0, max(0.0, now) / length_ms) if length_ms else 1.0)
            await asyncio.sleep(min(0.1, max(0.005, clock.left_s(length_ms) or 0.02)))
        if self._progress is not None:
            self._progress(1.0)
        await asyncio.sleep(day.scenario.quiet_s)

    def _change(self, change: Change) -> None:
        for one in self.sidecars:
            if change.target in (one.drawn.number, -1):
                one.change(change)

    def _moved(self, frame: control.Moved) -> None:
        for one in self.sidecars:
            if one.drawn.number == frame.sidecar:
                one.moved(frame.discovery)

    def _sample(self) -> None:
        for one in self.sidecars:
            one.sample()
        self._sampling = asyncio.get_running_loop().call_later(SAMPLE_S, self._sample)

    def _judge_lateness(self, booked: list[control.Booked]) -> None:
        for number, (worker, one) in enumerate(zip(self._workers, booked, strict=True)):
            why = []
            if number and one.p99_ms > LATE_P99_MS:
                why.append(f"1 in 100 of its moments came {one.p99_ms:.0f} ms late or later")
            if one.worst_ms > LATE_WORST_MS:
                why.append(f"it was {one.worst_ms:.0f} ms late at its worst")
            if why:
                self.late = True
                self.notes.append(f"void: the machine was too busy for {worker.name}: {'; '.join(why)}")

    def close(self) -> None:
        """Give all back that is not a process."""
        for worker in self._workers:
            worker.hang_up()
        for one in self.sidecars:
            one.close()


def shares(day: Day) -> list[tuple[int, ...]]:
    """Which sidecars' tills are played by one process, by what they ask in the busiest second."""
    asked = Counter(wish.sidecar for wish in day.wishes)
    seconds = Counter(int(wish.due // 1000) for wish in day.wishes)
    most = max(seconds.values(), default=0)
    count = max(1, min(len(day.sidecars), math.ceil(most / SHARE)))
    bins: list[tuple[int, list[int]]] = [(0, []) for _ in range(count)]
    for one in sorted(day.sidecars, key=lambda one: (-asked[one.number], one.number)):
        place = min(range(count), key=lambda place: (bins[place][0], place))
        load, numbers = bins[place]
        numbers.append(one.number)
        bins[place] = (load + asked[one.number], numbers)
    return [tuple(sorted(numbers)) for _, numbers in bins if numbers]


def check_fits(day: Day, descriptors: int) -> None:
    """GroundError where a process of the lab would need more descriptors than it may have."""
    sidecars, nodes = len(day.sidecars), len(day.nodes)
    links = min(sum(one.connections for one in day.nodes), sidecars * day.scenario.limits.descriptors)
    # For each listener one more that clogs it.
    world = 2 * nodes * sidecars + 4 * sidecars + links + OWN
    tills = max((len(share) for share in shares(day)), default=0) * day.scenario.load.connections + OWN
    if max(world, tills) > descriptors:
        raise GroundError(
            f"{nodes} nodes and {sidecars} sidecars need {max(world, tills)} descriptors in "
            f"one process, {descriptors} is the limit here"
        )


async def play(
    day: Day,
    *,
    variant: str = "",
    logs: Path | None = None,
    progress: Callable[[float], None] | None = None,
    command: Sequence[str] = (),
    parts: str = PARTS,
) -> Played:
    """Play a day; GroundError where the lab can't, asyncio.CancelledError where it is told to stop.

    `logs`: a folder that gets the logs of all processes. `progress` is told the share of the day that is
    over, 0 to 1. `command` starts a sidecar (told by LB_CONFIG, as the program is); empty: the program.
    `parts`: the module that makes the stand-ins, see `parts`. ValueError for any `variant`: here the program
    is played as it is.
    """
    if variant:
        raise ValueError("variants run on virtual ground only")
    if key := needs_simulation(day.scenario):
        raise GroundError(f"{key}: simulated ground alone can do this; leave it out, or --ground virtual")
    check_fits(day, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
    began = time.monotonic()
    with own_folder() as folder, Brood(asyncio.get_running_loop()) as brood, _ended_by_signals():
        run = _Run(day, folder, brood, command or (sys.executable, "-m", "coveport"), parts, progress)
        try:
            async with _limit(run.most_s, "the day took longer than it may"):
                event_log = await run.play()
        except OSError as problem:
            raise GroundError(f"the day could not be played: {problem}") from problem
        finally:
            run.close()
            if logs is not None:
                with contextlib.suppress(OSError):
                    _keep(run, logs)
        return Played(
            day,
            "real",
            EventLog.merged(event_log),
            run.late,
            wall_s=time.monotonic() - began,
            logs={one.drawn.number: _tail(one.log) for one in run.sidecars},
            notes=run.notes,
        )


def play_day(
    day: Day,
    *,
    variant: str = "",
    logs: Path | None = None,
    progress: Callable[[float], None] | None = None,
    command: Sequence[str] = (),
    parts: str = PARTS,
) -> Played:
    """As `play`, for callers without a loop; KeyboardInterrupt where it is told to stop."""
    try:
        return asyncio.run(
            play(day, variant=variant, logs=logs, progress=progress, command=command, parts=parts)
        )
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None


def _first(problems: BaseExceptionGroup[BaseException]) -> BaseException:
    """What came first of several; GroundError says most."""
    inner = problems.exceptions[0]
    return _first(inner) if isinstance(inner, BaseExceptionGroup) else inner


@contextlib.asynccontextmanager
async def _limit(seconds: float, text: str) -> AsyncIterator[None]:
    """GroundError with that text where what is inside takes longer."""
    try:
        async with asyncio.timeout(seconds) as limit:
            yield
    except TimeoutError:
        if limit.expired():
            raise GroundError(f"{text} ({seconds:.0f} s)") from None
        raise


@contextlib.contextmanager
def _ended_by_signals() -> Iterator[None]:
    """Let SIGTERM and SIGHUP end the run as Ctrl-C does, with all cleaned up."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    numbers = [signal.SIGTERM, signal.SIGHUP] if threading.current_thread() is threading.main_thread() else []
    before = {number: signal.getsignal(number) for number in numbers}
    for number in numbers:
        loop.add_signal_handler(number, task.cancel)
    try:
        yield
    finally:
        for number in numbers:
            loop.remove_signal_handler(number)
            signal.signal(number, before[number] or signal.SIG_DFL)


def _keep(run: _Run, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for one in run.sidecars:
        one.keep_log(folder)
    for log in run.logs:
        if log.exists() and log.stat().st_size:
            shutil.copy(log, folder)


def _tail(log: Path) -> str:
    """What a process printed, the last part of it where that is a lot."""
    if not log.exists():
        return ""
    with log.open("rb") as file:
        file.seek(max(0, log.stat().st_size - LOG_MOST))
        return file.read().decode(errors="replace")
