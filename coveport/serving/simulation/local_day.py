"""A short day on loopback: real coordinator and proxy processes, emulated nodes and clients in this one."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Final

from coveport.net.transport import Net
from coveport.serving.simulation.deployment import OBJECTIVES, Deployment
from coveport.serving.simulation.documents import Change
from coveport.serving.simulation.events import (
    AttemptEnded,
    AttemptStarted,
    Ending,
    EventLog,
    FaultBegan,
    FaultEnded,
    Verdict,
)
from coveport.serving.simulation.figures import KindFigures, figures
from coveport.serving.simulation.history import Breach
from coveport.serving.simulation.judge import judge
from coveport.serving.simulation.local_deployment import LocalDeployment
from coveport.serving.simulation.local_processes import LocalProcess
from coveport.serving.simulation.operator import EditionNumbers, Operator, OrderAnswer, OrderNumbers
from coveport.serving.simulation.traffic import drive

DEFAULT_SECONDS: Final = 20.0
READY_WITHIN_S: Final = 30.0
SETTLE_S: Final = 4.0  # after the traffic, for streams still running
PROGRESS_S: Final = 2.0  # interval of the progress lines
RESTART_S: Final = 0.5  # between the end of a process and its next start
FIRST_PUT_RETRY_S: Final = 0.2  # until the coordinators have formed a quorum
READY_POLL_S: Final = 0.1
BROKEN: Final = 1  # exit code

Say = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class LocalDayResult:
    """The result of a day."""

    ready: bool  # whether all proxies became ready in time
    breaches: tuple[Breach, ...]
    kinds: dict[str, KindFigures]
    event_log: EventLog

    @property
    def exit_code(self) -> int:
        """Return 0 if the proxies were ready, requests were served and no rule was broken."""
        served = any(kind.served for kind in self.kinds.values())
        return 0 if self.ready and served and not self.breaches else BROKEN


class LocalDay:
    """The deployment and the steps of one day; subclasses override the steps."""

    def __init__(self, net: Net, folder: Path, seconds: float, seed: int, say: Say) -> None:
        """Create the deployment; `seconds`: length of the traffic. `say` receives each line of progress."""
        self._net = net
        self._seconds = seconds
        self._say = say
        self._deployment = Deployment()
        self._seed = seed
        self.event_log = EventLog()
        self._began_s = net.now_s()
        self._last_fault_number = 0
        self._editions = EditionNumbers(Random(f"editions {seed}"))
        self._machines = LocalDeployment(net, folder, self._deployment, self.event_log, seed)
        self._operator = Operator(
            net, self._machines.control, self.event_log, Random(f"operator {seed}"), OrderNumbers()
        )
        self._tasks: set[asyncio.Task[None]] = set()

    # The day.

    async def play(self) -> LocalDayResult:
        """Start the deployment, run the traffic and the steps, and judge the event log."""
        try:
            await self._start_all()
            ready = await self._wait_until_ready()
            if ready:
                await self._play_traffic()
            return self._result(ready)
        finally:
            for task in self._tasks:
                task.cancel()
            for server, _ in self._machines.nodes:
                server.end(planned=True)
            await asyncio.gather(
                *(process.kill() for process in (*self._machines.coordinators, *self._machines.proxies))
            )

    async def _start_all(self) -> None:
        self._report("starting three coordinators, three proxies and five nodes")
        for coordinator in self._machines.coordinators:
            await coordinator.start()
        for index in range(len(self._machines.proxies)):
            await self._machines.start_proxy(index)
        for zone_number, count in enumerate(self._deployment.nodes):
            for number in range(count):
                await self._machines.start_node(zone_number, number)
        self._spawn(self._put_first())

    async def _put_first(self) -> None:
        first = self._deployment.configuration(self._editions.next())
        while True:
            answer = await self._operator.put(first, 0)
            if answer.verdict is Verdict.ACKNOWLEDGED:
                break
            await asyncio.sleep(FIRST_PUT_RETRY_S)
        self._report(f"configuration {first.edition} is taken")

    async def _wait_until_ready(self) -> bool:
        until_s = self._net.now_s() + READY_WITHIN_S
        waiting = set(range(len(self._machines.proxies)))
        while waiting and self._net.now_s() < until_s:
            waiting = {index for index in waiting if not await self._machines.is_ready(index)}
            await asyncio.sleep(READY_POLL_S)
        if not waiting:
            self._report("all proxies are ready")
            return True
        for index in sorted(waiting):
            self._report(f"{self._machines.proxies[index].name} is not ready; the end of its log:")
            for line in self._machines.proxies[index].last_lines():
                self._say(f"    {line}")
        return False

    async def _play_traffic(self) -> None:
        began_s = self._net.now_s()
        until_s = began_s + self._seconds
        traffic = self._spawn(self._send_requests(until_s))
        self._spawn(self._report_progress(until_s))
        for fraction, step in self._plan():
            await asyncio.sleep(max(0.0, began_s + fraction * self._seconds - self._net.now_s()))
            self._spawn(step())
        await asyncio.wait([traffic], timeout=self._seconds + SETTLE_S)
        await self._operator.read(4.0)

    def _plan(self) -> list[tuple[float, Callable[[], Awaitable[None]]]]:
        """Return the steps, each with the fraction of the day after which it begins."""
        return [
            (0.15, self._change),
            (0.30, self._evacuate),
            (0.45, self._crash_node),
            (0.60, self._kill_coordinator),
            (0.65, self._change),
            (0.75, self._close_node),
            (0.80, self._stop_proxy),
        ]

    async def _send_requests(self, until_s: float) -> None:
        deployment = self._deployment
        workloads = []
        for zone, count in zip(deployment.zones, deployment.clients, strict=True):
            for number in range(count):
                client = self._machines.client(zone, number)
                for kind, rate in deployment.rates:
                    client_rate = rate / sum(deployment.clients)
                    rng = Random(f"{zone.name} {number} {kind.name} {self._seed}")
                    workloads.append(drive(self._net, client, kind, client_rate, until_s, rng))
        await asyncio.gather(*workloads)

    # Steps.

    async def _change(self) -> None:
        edition = self._editions.next()
        route = self._deployment.added_route(str(edition), f"/added-{edition}/")
        change = Change(edition, routes=(route,))
        await self._order(
            f"configuration {edition}", self._operator.patch(change, self._operator.configuration)
        )

    async def _evacuate(self) -> None:
        zone = self._deployment.zones[1].name
        await self._order(f"evacuation of {zone}", self._operator.evacuate(zone))
        await asyncio.sleep(0.25 * self._seconds)
        await self._order(f"taking back {zone}", self._operator.take_back(zone))

    async def _order(self, subject: str, call: Awaitable[OrderAnswer]) -> None:
        began_s = self._net.now_s()
        answer = await call
        took_ms = (self._net.now_s() - began_s) * 1000
        self._report(f"{subject}: {answer.verdict.value} after {took_ms:.0f} ms")

    async def _crash_node(self) -> None:
        server, _ = self._machines.nodes[0]
        self._report(f"node {server.incarnation} crashes")
        server.end(planned=False)
        await asyncio.sleep(0.15 * self._seconds)
        restarted = await self._machines.start_node(0, 0, incarnation=1)
        self._report(f"... and is back, cold, as {restarted.incarnation}")

    async def _close_node(self) -> None:
        server, registration = self._machines.nodes[1]
        self._report(f"node {server.incarnation} says that it closes")
        await registration.leave(self._deployment.bounds.drain_ms / 1000)
        self._report(f"... and has left: {server.incarnation}")

    async def _kill_coordinator(self) -> None:
        coordinator = self._machines.coordinators[0]
        number = self._begin("kill", coordinator, core=True)
        await coordinator.kill()
        self._report(f"{coordinator.name} is killed")
        await asyncio.sleep(RESTART_S)
        await coordinator.start()
        self._end(number)

    async def _stop_proxy(self) -> None:
        proxy = self._machines.proxies[-1]
        number = self._begin("term", proxy, planned=True)
        self._report(f"{proxy.name} is told to stop")
        in_time = await proxy.terminate()
        self._report(f"... and has ended with {proxy.exit_code}" + ("" if in_time else ", too late"))
        await asyncio.sleep(RESTART_S)
        await self._machines.start_proxy(len(self._machines.proxies) - 1)
        self._end(number)

    def _begin(self, kind: str, process: LocalProcess, *, core: bool = False, planned: bool = False) -> int:
        self._last_fault_number += 1
        now = self._net.now_s()
        core_machines = (process.name,) if core else ()
        self.event_log.write(
            FaultBegan(now, self._last_fault_number, kind, (process.name,), core, planned, core_machines)
        )
        return self._last_fault_number

    def _end(self, number: int) -> None:
        self.event_log.write(FaultEnded(self._net.now_s(), number))

    # Progress and result.

    async def _report_progress(self, until_s: float) -> None:
        while self._net.now_s() < until_s:
            await asyncio.sleep(PROGRESS_S)
            requests = len({line.request for line in self.event_log.of(AttemptStarted)})
            served = sum(
                line.ending is Ending.COMPLETE and line.status == 200
                for line in self.event_log.of(AttemptEnded)
            )
            self._report(f"{requests} requests asked, {served} served")

    def _report(self, text: str) -> None:
        self._say(f"{self._net.now_s() - self._began_s:6.1f} s  {text}")

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        assert isinstance(task, asyncio.Task)
        self._tasks.add(task)
        return task

    def _result(self, ready: bool) -> LocalDayResult:
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                self._report(f"a step failed: {task.exception()!r}")
        breaches = tuple(judge(self.event_log, self._deployment.bounds))
        return LocalDayResult(ready, breaches, figures(self.event_log, OBJECTIVES), self.event_log)


def summary(result: LocalDayResult) -> list[str]:
    """Return the result of a day as lines of text."""
    if not result.ready:
        return ["", f"not played: the proxies were not ready within {READY_WITHIN_S:.0f} s"]
    lines = [
        "",
        f"{'kind':<10}{'asked':>7}{'served':>8}{'in time':>9}{'first event, ms: median, 95%':>32}",
    ]
    for kind, kind_figures in result.kinds.items():
        median, late, _ = kind_figures.first_event_ms
        lines.append(
            f"{kind:<10}{kind_figures.requests:>7}{kind_figures.served:>8}"
            f"{kind_figures.in_time:>9}{median:>24.0f}{late:>8.0f}"
        )
    lines += [f"rule broken: {breach}" for breach in result.breaches[:20]]
    if not result.breaches:
        lines.append("no rule was broken")
    return lines


async def play(folder: Path, seconds: float, seed: int, say: Say) -> LocalDayResult:
    """Play a day; settings, logs and data are kept in `folder`."""
    return await LocalDay(Net(asyncio.get_running_loop()), folder, seconds, seed, say).play()


def run(seconds: float = DEFAULT_SECONDS, folder: str | None = None, seed: int = 1) -> int:
    """Play a short day on loopback and print it; 0 where no rule broke.

    Parameters
    ----------
    seconds
        How long clients ask.
    folder
        Where settings, logs and data are kept; without it they are gone at the end.
    seed
        Of what clients ask and when.

    """
    if folder is not None:
        Path(folder).mkdir(parents=True, exist_ok=True)
        return _run(Path(folder), seconds, seed)
    with tempfile.TemporaryDirectory(prefix="coveport-try-") as made:
        return _run(Path(made), seconds, seed)


def _run(folder: Path, seconds: float, seed: int) -> int:
    result = asyncio.run(play(folder, seconds, seed, lambda line: print(line, flush=True)))
    print("\n".join(summary(result)))
    return result.exit_code
