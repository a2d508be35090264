"""One scale run: start all, measure calm, changes, a day of faults, and outages; then end all."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from coveport.net.address import Address, parse_address
from coveport.net.transport import Net
from coveport.serving.cli.core_client import CoreClient, CoreResponse
from coveport.serving.scale.faults import plan_day
from coveport.serving.scale.load import change_of_edition, first_configuration
from coveport.serving.scale.machines import Machines
from coveport.serving.scale.measures import Reading, WindowRates, summarize, window_rates
from coveport.serving.scale.meters import machine_load
from coveport.serving.scale.processes import RoleProcess, Worker
from coveport.serving.scale.results import FaultCounts, ScaleResult
from coveport.serving.scale.sizes import ZONES, ScaleSize
from coveport.serving.web.http_client import HttpRequest, RequestFailure, send_request
from coveport.serving.wire.names import Path

READY_WITHIN_S = 60.0
IN_FORCE_WITHIN_S = 8.0  # the bound for a change
PUT_WITHIN_S = 30.0
CALM, DAY = 0.3, 0.35  # shares of the duration
CHANGES, CLOSINGS = 4, 4
STOPPED_S = 3.0  # how long a zone or region stands still
BACK_AFTER_S = 2.0  # a lost machine comes back
COLD_S = 3.0
ATTEMPT_TIMEOUT_S, RETRY_INTERVAL_S = 0.5, 0.02  # while a primary is awaited
TAKEOVER_WITHIN_S = 15.0
STAYS_KILLED_S = 1.0
AGREED_WITHIN_S = 8.0  # after the last outage
IF_MATCH, JSON_TYPE = "If-Match", ("Content-Type", "application/json")


class NotBegunError(Exception):
    """The core took no configuration: there is nothing to measure."""


class ScaleRun:
    """One run at one size."""

    def __init__(
        self, net: Net, machines: Machines, seconds: float, rng: Random, tell: Callable[[str], None]
    ) -> None:
        self._net = net
        self._machines = machines
        self._seconds = seconds
        self._size: ScaleSize = machines.size
        self._rng = rng
        self._tell = tell
        self._edition = 0
        self._problems: list[str] = []
        self._faults = FaultCounts()
        self._most_mb = 0.0

    async def play(self) -> ScaleResult:
        """Play the run; end its processes in any case."""
        try:
            return await self._play()
        finally:
            await self._machines.end()

    async def _play(self) -> ScaleResult:
        self._tell("starting")
        await self._machines.start()
        ready_s = await self._begin()
        self._tell(f"ready after {ready_s:.1f} s; calm")
        calm = await self._window(self._seconds * CALM, asyncio.sleep)
        self._tell("changes and closing nodes")
        in_force, acknowledged, missing = await self._changes()
        closing, closing_missing = await self._closings()
        self._tell("a day of faults")
        day = await self._window(self._seconds * DAY, self._play_day)
        self._tell("a zone stops, the primary is killed, a region stops")
        await self._stop_zones({ZONES[-1].name})
        self._faults = replace(self._faults, zone_stops=1)
        takeover = await self._kill_primary()
        await self._stop_zones({zone.name for zone in ZONES if zone.region == ZONES[-1].region})
        self._faults = replace(self._faults, region_stops=1)
        await self._wait_for_agreement()
        return ScaleResult(
            size=self._size,
            ready_s=ready_s,
            calm=calm,
            day=day,
            change=summarize(in_force, missing),
            change_acknowledged=summarize(acknowledged),
            closing=summarize(closing, closing_missing),
            takeover=summarize(takeover, 1 - len(takeover)),
            faults=self._faults,
            memory_mb=self._most_mb,
            machine_load=machine_load(),
            problems=tuple(self._problems),
        )

    # Beginning.

    async def _begin(self) -> float:
        began_s = self._net.now_s()
        for worker in self._machines.node_workers:
            worker.say({"do": "start"})
        client = CoreClient(self._net, self._control())
        first = HttpRequest("PUT", Path.CONFIG, ((IF_MATCH, "0"), JSON_TYPE), first_configuration(self._size))
        answer = await client.send(first, PUT_WITHIN_S)
        if not isinstance(answer, CoreResponse) or not answer.is_success:
            raise NotBegunError(f"the first configuration was not taken: {answer}")
        self._edition = 1
        for worker in self._machines.proxy_workers:
            worker.say({"do": "start"})
        if not await self._agreed(READY_WITHIN_S):
            self._problems.append("not all proxies were ready in time")
        return self._net.now_s() - began_s

    async def _agreed(self, within_s: float) -> bool:
        """Wait until every hollow proxy has the newest edition and knows every node, no more and no fewer."""
        until_s = self._net.now_s() + within_s
        while self._net.now_s() < until_s:
            counts = await self._proxy_counts()
            if all(count is not None and self._is_complete(count) for count in counts):
                return True
            await asyncio.sleep(0.1)
        return False

    def _is_complete(self, count: dict[str, Any]) -> bool:
        return set(count["editions"]) <= {self._edition} and set(count["nodes"]) <= {self._size.nodes}

    async def _proxy_counts(self) -> list[dict[str, Any] | None]:
        return await asyncio.gather(*(worker.count() for worker in self._machines.proxy_workers))

    def _control(self) -> list[Address]:
        return [self._machines.control(number) for number in range(self._size.coordinators)]

    # Windows.

    async def _window(self, seconds: float, play: Callable[[float], Any]) -> WindowRates:
        before: Reading = await self._machines.read()
        await play(seconds)
        after = await self._machines.read()
        self._most_mb = max(self._most_mb, self._machines.resident_mb())
        proxies = self._size.proxies + self._size.real_proxies
        return window_rates(before, after, self._size.proxies, proxies)

    # Changes.

    def _change(self) -> HttpRequest:
        edition = self._edition + 1
        body = change_of_edition(edition, self._size)
        return HttpRequest("PATCH", Path.CONFIG, ((IF_MATCH, str(self._edition)), JSON_TYPE), body)

    async def _changes(self) -> tuple[list[float], list[float], int]:
        """How late each change was in force and acknowledged, and how many proxies missed one."""
        client = CoreClient(self._net, self._control())
        in_force: list[float] = []
        acknowledged: list[float] = []
        missing = 0
        began_s: float | None = None  # when this change was first sent
        for _ in range(CHANGES):
            began_s = self._net.now_s() if began_s is None else began_s
            answer = await client.send(self._change(), IN_FORCE_WITHIN_S)
            if not isinstance(answer, CoreResponse) or not answer.is_success:
                self._problems.append(f"a change was not taken: {answer}")
                continue
            self._edition += 1
            acknowledged.append(self._net.now_s() - began_s)
            left_s = began_s + IN_FORCE_WITHIN_S - self._net.now_s()
            seen = await self._machines.sightings.wait_for(
                "edition", str(self._edition), self._size.proxies, left_s
            )
            in_force += [at_s - began_s for at_s in seen.values()]
            missing += self._size.proxies - len(seen)
            began_s = None
        return in_force, acknowledged, missing

    async def _closings(self) -> tuple[list[float], int]:
        """How late each proxy knew of closing nodes, and how many did not."""
        delays: list[float] = []
        missing = 0
        for turn in range(CLOSINGS):
            worker = self._machines.node_workers[turn % len(self._machines.node_workers)]
            count = await worker.count()
            if count is None:
                continue
            number = self._rng.randrange(worker.size)
            incarnation = count["incarnations"][number]
            for proxy_worker in self._machines.proxy_workers:
                proxy_worker.say({"do": "watch", "incarnations": [incarnation]})
            worker.say({"do": "restart", "numbers": [number], "cold_s": COLD_S})
            acknowledged = await self._machines.sightings.wait_for("acknowledged", incarnation, 1, 5.0)
            if not acknowledged:
                self._problems.append("a closing node was not acknowledged")
                continue
            (acknowledged_s,) = acknowledged.values()
            seen = await self._machines.sightings.wait_for("closing", incarnation, self._size.proxies, 3.0)
            delays += [max(0.0, at_s - acknowledged_s) for at_s in seen.values()]
            missing += self._size.proxies - len(seen)
        return delays, missing

    # Faults.

    async def _play_day(self, seconds: float) -> None:
        workers = [*self._machines.proxy_workers, *self._machines.node_workers]
        proxy_workers = len(self._machines.proxy_workers)
        plan = plan_day([worker.size for worker in workers], proxy_workers, self._rng)
        began_s = self._net.now_s()
        tasks = []
        for strike in plan:
            await asyncio.sleep(max(0.0, began_s + strike.at * seconds - self._net.now_s()))
            worker, is_proxy = workers[strike.worker], strike.worker < proxy_workers
            if strike.kind == "lose":
                tasks.append(asyncio.create_task(self._lose(worker, strike.numbers, is_proxy)))
            else:
                worker.say({"do": "restart", "numbers": strike.numbers, "cold_s": COLD_S, "after_s": 0.5})
        for task in tasks:
            await task
        await asyncio.sleep(max(0.0, began_s + seconds - self._net.now_s()))
        lost = [strike for strike in plan if strike.kind == "lose"]
        self._faults = replace(
            self._faults,
            losses=sum(len(strike.numbers) == 1 for strike in lost),
            restarts=len(plan) - len(lost),
            rack=max(len(strike.numbers) for strike in lost),
        )

    async def _lose(self, worker: Worker, numbers: tuple[int, ...], is_proxy: bool) -> None:
        worker.say({"do": "lose", "numbers": numbers})
        await asyncio.sleep(BACK_AFTER_S)
        if is_proxy:
            worker.say({"do": "restart", "numbers": numbers, "after_s": 0.0})
        else:
            worker.say({"do": "back", "numbers": numbers, "cold_s": COLD_S})

    async def _stop_zones(self, zones: set[str]) -> None:
        """All processes of some zones stand still for a while, as if nobody could reach them."""
        coordinators = [self._machines.coordinators[n] for n in self._machines.coordinators_in(zones)]
        stopped: list[RoleProcess | Worker] = [*coordinators, *self._machines.workers_in(zones)]
        for process in stopped:
            process.send(signal.SIGSTOP)
        await asyncio.sleep(STOPPED_S)
        for process in stopped:
            process.send(signal.SIGCONT)

    async def _kill_primary(self) -> list[float]:
        """How long after the primary's kill the next change was acknowledged; empty: it was not."""
        primary = await self._primary()
        if primary is None:
            self._problems.append("no primary was found")
            return []
        await self._machines.coordinators[primary].kill()
        self._faults = replace(self._faults, primary_kills=1)
        began_s = self._net.now_s()
        restart = asyncio.create_task(self._restart_coordinator(primary))
        others = [address for number, address in enumerate(self._control()) if number != primary]
        is_taken = await self._retry_until_accepted(self._change(), others, began_s + TAKEOVER_WITHIN_S)
        took_s = self._net.now_s() - began_s
        await restart
        if not is_taken:
            self._problems.append("no change was acknowledged after the primary was killed")
            return []
        self._edition += 1
        return [took_s]

    async def _restart_coordinator(self, number: int) -> None:
        await asyncio.sleep(STAYS_KILLED_S)
        await self._machines.coordinators[number].start()

    async def _primary(self) -> int | None:
        for number in range(self._size.coordinators):
            status = await self._machines.status(number)
            if status is not None and status["core"]["role"] == "primary":
                return number
        return None

    async def _retry_until_accepted(
        self, call: HttpRequest, addresses: list[Address], until_s: float
    ) -> bool:
        turn = 0
        while self._net.now_s() < until_s:
            if await self._is_accepted(addresses[turn % len(addresses)], call):
                return True
            turn += 1
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def _is_accepted(self, address: Address, call: HttpRequest) -> bool:
        answer = await send_request(self._net, address, call, ATTEMPT_TIMEOUT_S)
        if not isinstance(answer, RequestFailure) and answer.status == 307:
            location = answer.headers["location"][0].removeprefix("http://").partition("/")[0]
            answer = await send_request(self._net, parse_address(location), call, ATTEMPT_TIMEOUT_S)
        return not isinstance(answer, RequestFailure) and answer.status == 200

    async def _wait_for_agreement(self) -> None:
        if not await self._agreed(AGREED_WITHIN_S):
            counts = [count for count in await self._proxy_counts() if count is not None]
            editions = {edition for count in counts for edition in count["editions"]}
            nodes = {number for count in counts for number in count["nodes"]}
            self._problems.append(
                f"proxies differ {AGREED_WITHIN_S:g} s after the last outage: editions {sorted(editions)} of "
                f"{self._edition}, nodes {sorted(nodes)} of {self._size.nodes}"
            )
        self._most_mb = max(self._most_mb, self._machines.resident_mb())
