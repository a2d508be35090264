"""One scale run: start all processes, measure without faults, with changes, faults and outages; end all."""

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

READY_TIMEOUT_S = 60.0
IN_FORCE_TIMEOUT_S = 8.0  # target for a configuration change
PUT_TIMEOUT_S = 30.0
CALM_FRACTION, DAY_FRACTION = 0.3, 0.35  # fractions of the run's duration
CHANGES, CLOSINGS = 4, 4
STOPPED_S = 3.0  # duration for which a zone or region is stopped
RESTART_DELAY_S = 2.0  # delay until a lost machine is started again
WARM_UP_S = 3.0
ATTEMPT_TIMEOUT_S, RETRY_INTERVAL_S = 0.5, 0.02  # for changes sent until a new primary accepts one
TAKEOVER_TIMEOUT_S = 15.0
PRIMARY_RESTART_DELAY_S = 1.0
AGREEMENT_TIMEOUT_S = 8.0  # after the end of the last outage
IF_MATCH, JSON_TYPE = "If-Match", ("Content-Type", "application/json")


class RunNotStartedError(Exception):
    """The core did not accept the first configuration, so there is nothing to measure."""


class ScaleRun:
    """One run at one size."""

    def __init__(
        self,
        net: Net,
        machines: Machines,
        seconds: float,
        rng: Random,
        report_progress: Callable[[str], None],
    ) -> None:
        self._net = net
        self._machines = machines
        self._seconds = seconds
        self._size: ScaleSize = machines.size
        self._rng = rng
        self._report_progress = report_progress
        self._edition = 0
        self._problems: list[str] = []
        self._faults = FaultCounts()
        self._max_memory_mb = 0.0

    async def run(self) -> ScaleResult:
        """Run all phases and return the result; end the processes in any case."""
        try:
            return await self._run_phases()
        finally:
            await self._machines.end()

    async def _run_phases(self) -> ScaleResult:
        self._report_progress("starting")
        await self._machines.start()
        ready_s = await self._begin()
        self._report_progress(f"ready after {ready_s:.1f} s; calm")
        calm = await self._window(self._seconds * CALM_FRACTION, asyncio.sleep)
        self._report_progress("changes and closing nodes")
        in_force, acknowledged, missing = await self._changes()
        closing, closing_missing = await self._closings()
        self._report_progress("a day of faults")
        day = await self._window(self._seconds * DAY_FRACTION, self._inject_faults)
        self._report_progress("a zone stops, the primary is killed, a region stops")
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
            memory_mb=self._max_memory_mb,
            machine_load=machine_load(),
            problems=tuple(self._problems),
        )

    # Start.

    async def _begin(self) -> float:
        started_s = self._net.now_s()
        for worker in self._machines.node_workers:
            worker.send_command({"do": "start"})
        client = CoreClient(self._net, self._control())
        first = HttpRequest("PUT", Path.CONFIG, ((IF_MATCH, "0"), JSON_TYPE), first_configuration(self._size))
        response = await client.send(first, PUT_TIMEOUT_S)
        if not isinstance(response, CoreResponse) or not response.is_success:
            raise RunNotStartedError(f"the first configuration was not taken: {response}")
        self._edition = 1
        for worker in self._machines.proxy_workers:
            worker.send_command({"do": "start"})
        if not await self._proxies_agree(READY_TIMEOUT_S):
            self._problems.append("not all proxies were ready in time")
        return self._net.now_s() - started_s

    async def _proxies_agree(self, within_s: float) -> bool:
        """Wait until all hollow proxies have the newest edition and exactly all nodes; return whether so."""
        deadline_s = self._net.now_s() + within_s
        while self._net.now_s() < deadline_s:
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

    async def _window(self, seconds: float, action: Callable[[float], Any]) -> WindowRates:
        before: Reading = await self._machines.read()
        await action(seconds)
        after = await self._machines.read()
        self._max_memory_mb = max(self._max_memory_mb, self._machines.resident_mb())
        proxies = self._size.proxies + self._size.real_proxies
        return window_rates(before, after, self._size.proxies, proxies)

    # Changes.

    def _change(self) -> HttpRequest:
        edition = self._edition + 1
        body = change_of_edition(edition, self._size)
        return HttpRequest("PATCH", Path.CONFIG, ((IF_MATCH, str(self._edition)), JSON_TYPE), body)

    async def _changes(self) -> tuple[list[float], list[float], int]:
        """Return the delays until changes were in force and acknowledged, and the missing observations."""
        client = CoreClient(self._net, self._control())
        in_force: list[float] = []
        acknowledged: list[float] = []
        missing = 0
        started_s: float | None = None  # time at which the present change was first sent
        for _ in range(CHANGES):
            started_s = self._net.now_s() if started_s is None else started_s
            response = await client.send(self._change(), IN_FORCE_TIMEOUT_S)
            if not isinstance(response, CoreResponse) or not response.is_success:
                self._problems.append(f"a change was not taken: {response}")
                continue
            self._edition += 1
            acknowledged.append(self._net.now_s() - started_s)
            remaining_s = started_s + IN_FORCE_TIMEOUT_S - self._net.now_s()
            seen = await self._machines.observations.wait_for(
                "edition", str(self._edition), self._size.proxies, remaining_s
            )
            in_force += [at_s - started_s for at_s in seen.values()]
            missing += self._size.proxies - len(seen)
            started_s = None
        return in_force, acknowledged, missing

    async def _closings(self) -> tuple[list[float], int]:
        """Return the delays until proxies observed closing nodes, and the number of missing observations."""
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
                proxy_worker.send_command({"do": "watch", "incarnations": [incarnation]})
            worker.send_command({"do": "restart", "numbers": [number], "cold_s": WARM_UP_S})
            acknowledged = await self._machines.observations.wait_for("acknowledged", incarnation, 1, 5.0)
            if not acknowledged:
                self._problems.append("a closing node was not acknowledged")
                continue
            (acknowledged_s,) = acknowledged.values()
            seen = await self._machines.observations.wait_for("closing", incarnation, self._size.proxies, 3.0)
            delays += [max(0.0, at_s - acknowledged_s) for at_s in seen.values()]
            missing += self._size.proxies - len(seen)
        return delays, missing

    # Faults.

    async def _inject_faults(self, seconds: float) -> None:
        workers = [*self._machines.proxy_workers, *self._machines.node_workers]
        proxy_worker_count = len(self._machines.proxy_workers)
        plan = plan_day([worker.size for worker in workers], proxy_worker_count, self._rng)
        started_s = self._net.now_s()
        tasks = []
        for fault in plan:
            await asyncio.sleep(max(0.0, started_s + fault.at * seconds - self._net.now_s()))
            worker, is_proxy = workers[fault.worker], fault.worker < proxy_worker_count
            if fault.kind == "lose":
                tasks.append(asyncio.create_task(self._lose(worker, fault.numbers, is_proxy)))
            else:
                worker.send_command(
                    {"do": "restart", "numbers": fault.numbers, "cold_s": WARM_UP_S, "after_s": 0.5}
                )
        for task in tasks:
            await task
        await asyncio.sleep(max(0.0, started_s + seconds - self._net.now_s()))
        losses = [fault for fault in plan if fault.kind == "lose"]
        self._faults = replace(
            self._faults,
            losses=sum(len(fault.numbers) == 1 for fault in losses),
            restarts=len(plan) - len(losses),
            rack=max(len(fault.numbers) for fault in losses),
        )

    async def _lose(self, worker: Worker, numbers: tuple[int, ...], is_proxy: bool) -> None:
        worker.send_command({"do": "lose", "numbers": numbers})
        await asyncio.sleep(RESTART_DELAY_S)
        if is_proxy:
            worker.send_command({"do": "restart", "numbers": numbers, "after_s": 0.0})
        else:
            worker.send_command({"do": "back", "numbers": numbers, "cold_s": WARM_UP_S})

    async def _stop_zones(self, zones: set[str]) -> None:
        """Stop all processes of the zones for STOPPED_S, which makes them unreachable."""
        coordinators = [self._machines.coordinators[n] for n in self._machines.coordinators_in(zones)]
        stopped: list[RoleProcess | Worker] = [*coordinators, *self._machines.workers_in(zones)]
        for process in stopped:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(STOPPED_S)
        for process in stopped:
            process.send_signal(signal.SIGCONT)

    async def _kill_primary(self) -> list[float]:
        """Return the time from the primary's kill to the next acknowledged change; empty if none."""
        primary = await self._primary()
        if primary is None:
            self._problems.append("no primary was found")
            return []
        await self._machines.coordinators[primary].kill()
        self._faults = replace(self._faults, primary_kills=1)
        started_s = self._net.now_s()
        restart = asyncio.create_task(self._restart_coordinator(primary))
        other_addresses = [address for number, address in enumerate(self._control()) if number != primary]
        is_accepted = await self._retry_until_accepted(
            self._change(), other_addresses, started_s + TAKEOVER_TIMEOUT_S
        )
        took_s = self._net.now_s() - started_s
        await restart
        if not is_accepted:
            self._problems.append("no change was acknowledged after the primary was killed")
            return []
        self._edition += 1
        return [took_s]

    async def _restart_coordinator(self, number: int) -> None:
        await asyncio.sleep(PRIMARY_RESTART_DELAY_S)
        await self._machines.coordinators[number].start()

    async def _primary(self) -> int | None:
        for number in range(self._size.coordinators):
            status = await self._machines.status(number)
            if status is not None and status["core"]["role"] == "primary":
                return number
        return None

    async def _retry_until_accepted(
        self, call: HttpRequest, addresses: list[Address], deadline_s: float
    ) -> bool:
        turn = 0
        while self._net.now_s() < deadline_s:
            if await self._is_accepted(addresses[turn % len(addresses)], call):
                return True
            turn += 1
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def _is_accepted(self, address: Address, call: HttpRequest) -> bool:
        response = await send_request(self._net, address, call, ATTEMPT_TIMEOUT_S)
        if not isinstance(response, RequestFailure) and response.status == 307:
            location = response.headers["location"][0].removeprefix("http://").partition("/")[0]
            response = await send_request(self._net, parse_address(location), call, ATTEMPT_TIMEOUT_S)
        return not isinstance(response, RequestFailure) and response.status == 200

    async def _wait_for_agreement(self) -> None:
        if not await self._proxies_agree(AGREEMENT_TIMEOUT_S):
            counts = [count for count in await self._proxy_counts() if count is not None]
            editions = {edition for count in counts for edition in count["editions"]}
            nodes = {number for count in counts for number in count["nodes"]}
            self._problems.append(
                f"proxies differ {AGREEMENT_TIMEOUT_S:g} s after the last outage: "
                f"editions {sorted(editions)} of {self._edition}, nodes {sorted(nodes)} of {self._size.nodes}"
            )
        self._max_memory_mb = max(self._max_memory_mb, self._machines.resident_mb())
