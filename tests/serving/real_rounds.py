"""Runs rounds of faults on real coordinators on loopback, and checks each for linearizability.

    PYTHONPATH=tests/serving python tests/serving/real_rounds.py --seeds 1-200 --jobs 8 --json FILE

A round starts three coordinators as processes, and draws faults from its seed: one coordinator is killed,
frozen (SIGSTOP), stopped (SIGTERM) or loses its disk, or all are killed at once. Two operators submit
concurrent changes, and a third reads all the time. A round ends with a read while all processes run. Except
for the fault that kills all, only one machine is lost at a time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Final

from linearizability import Operation, Result, is_linearizable
from operator_history import operations

from coveport.net.transport import Net
from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.documents import Change
from coveport.serving.simulation.events import EventLog, Verdict
from coveport.serving.simulation.local_deployment import LocalDeployment
from coveport.serving.simulation.local_processes import LocalProcess
from coveport.serving.simulation.operator import EditionNumbers, Operator, OrderNumbers

FAULTS_S: Final = 9.0  # duration of changes, reads and faults
CATCH_UP_S: Final = 4.0  # from the restart of a machine to the next fault
BOOTSTRAP_TIMEOUT_S: Final = 90.0  # a busy host delays the processes
FINAL_READ_TIMEOUT_S: Final = 60.0  # likewise


@dataclass(slots=True)
class RoundReport:
    """The result of one round."""

    seed: int
    faults: list[str] = field(default_factory=list)
    changes: int = 0  # acknowledged
    unclear: int = 0  # changes without a clear answer
    reads: int = 0
    is_linearizable: bool = False
    was_read_back: bool = False  # the final read was answered
    tracebacks: int = 0  # in the logs of the coordinators

    @property
    def is_good(self) -> bool:
        """Whether there was no violation, and more than one change was acknowledged."""
        return self.is_linearizable and self.was_read_back and not self.tracebacks and self.changes > 1


class Round:
    """Three coordinators, two operators that submit changes, and one that reads."""

    def __init__(self, net: Net, folder: Path, seed: int) -> None:
        self._net = net
        self._folder = folder
        self._random = Random(f"round {seed}")
        self._event_log = EventLog()
        self._deployment = Deployment()
        self._machines = LocalDeployment(net, folder, self._deployment, self._event_log, seed)
        self._editions = EditionNumbers(self._random)
        numbers = OrderNumbers()
        self._operators = [
            Operator(net, self._machines.control, self._event_log, Random(f"{seed} {index}"), numbers)
            for index in range(3)
        ]
        self.report = RoundReport(seed)

    async def run(self) -> None:
        """Run the round, and fill in the report."""
        coordinators = self._machines.coordinators
        try:
            for coordinator in coordinators:
                await coordinator.start()
            await self._put_first()
            await self._inject_faults()
            answer = await self._operators[2].read(FINAL_READ_TIMEOUT_S)
            self.report.was_read_back = answer.verdict is Verdict.ACKNOWLEDGED
        finally:
            await asyncio.gather(*(coordinator.kill() for coordinator in coordinators))
        self._check(operations(self._event_log))

    async def _put_first(self) -> None:
        first = self._deployment.configuration(self._editions.next())
        answer = await self._operators[0].put(first, 0, retry_for_s=BOOTSTRAP_TIMEOUT_S)
        if answer.verdict is not Verdict.ACKNOWLEDGED:
            raise RuntimeError(
                f"round {self.report.seed}: the first configuration was not accepted: {answer}"
            )

    async def _inject_faults(self) -> None:
        """Inject faults one after another, while the operators change and read."""
        until_s = self._net.now_s() + FAULTS_S
        calls = [asyncio.create_task(self._change(operator, until_s)) for operator in self._operators[:2]]
        calls.append(asyncio.create_task(self._read(until_s)))
        while self._net.now_s() < until_s:
            await asyncio.sleep(self._random.uniform(0.1, 0.8))
            faults = (self._kill, self._freeze, self._stop, self._lose_disk, self._kill_all)
            await self._random.choice(faults)()
            await asyncio.sleep(CATCH_UP_S)
        await asyncio.gather(*calls)

    async def _change(self, operator: Operator, until_s: float) -> None:
        while self._net.now_s() < until_s:
            base = max(
                (peer.configuration for peer in self._operators),
                key=lambda configuration: configuration.edition,
            )
            edition = self._editions.next()
            change = Change(edition, routes=(self._deployment.added_route(str(edition), f"/{edition}/"),))
            await operator.patch(change, base, retry_for_s=4.0)
            await asyncio.sleep(self._random.uniform(0.0, 0.3))

    async def _read(self, until_s: float) -> None:
        while self._net.now_s() < until_s:
            await self._operators[2].read(1.0)
            await asyncio.sleep(self._random.uniform(0.0, 0.2))

    # Faults.

    def _start_fault(self, kind: str) -> LocalProcess:
        """Add a fault to the report, and return a random coordinator to inject it into."""
        self.report.faults.append(kind)
        return self._random.choice(self._machines.coordinators)

    async def _kill(self) -> None:
        victim = self._start_fault("kill")
        await victim.kill()
        await asyncio.sleep(self._random.choice((0.05, 0.5, 2.0)))
        await victim.start()

    async def _freeze(self) -> None:
        victim = self._start_fault("freeze")
        victim.suspend()
        await asyncio.sleep(self._random.choice((0.3, 0.7, 1.5, 4.0)))
        victim.resume()

    async def _stop(self) -> None:
        victim = self._start_fault("stop")
        await victim.terminate()
        await victim.start()

    async def _lose_disk(self) -> None:
        victim = self._start_fault("lose disk")
        await victim.kill()
        await asyncio.to_thread(shutil.rmtree, self._folder / f"{victim.name}.data")
        await asyncio.sleep(self._random.choice((0.05, 0.5)))
        await victim.start()

    async def _kill_all(self) -> None:
        self._start_fault("kill all")
        await asyncio.gather(*(coordinator.kill() for coordinator in self._machines.coordinators))
        for coordinator in self._machines.coordinators:
            await asyncio.sleep(self._random.uniform(0.0, 0.3))
            await coordinator.start()

    def _check(self, history: list[Operation]) -> None:
        """Fill in the report from the history and the logs."""
        report = self.report
        changes = [operation for operation in history if operation.is_change]
        report.changes = sum(change.result is Result.DONE for change in changes)
        report.unclear = sum(change.result is Result.UNKNOWN for change in changes)
        report.reads = len(history) - len(changes)
        report.is_linearizable = is_linearizable(history)
        logs = [coordinator.log_text() for coordinator in self._machines.coordinators]
        report.tracebacks = sum(text.count("Traceback") for text in logs)


async def run_round(seed: int) -> RoundReport:
    """Run one round in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="coveport-round-") as folder:
        current = Round(Net(asyncio.get_running_loop()), Path(folder), seed)
        await current.run()
        return current.report


async def run_rounds(
    seeds: range, jobs: int, on_report: Callable[[RoundReport], object]
) -> list[RoundReport]:
    """Run one round for each seed, `jobs` at a time; `on_report` gets each report."""
    remaining_seeds = iter(seeds)
    reports: list[RoundReport] = []

    async def work() -> None:
        for seed in remaining_seeds:
            report = await run_round(seed)
            reports.append(report)
            on_report(report)

    workers: list[Awaitable[None]] = [work() for _ in range(jobs)]
    await asyncio.gather(*workers)
    return reports


def main() -> int:
    """Run rounds and print their totals; return 1 if a round was not good."""
    parser = argparse.ArgumentParser(description="Faults on real coordinators, checked for linearizability")
    parser.add_argument("--seeds", default="1-10")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")

    def print_bad_round(report: RoundReport) -> None:
        if not report.is_good:
            print(f"NOT GOOD: {report}", flush=True)

    seeds = range(int(first), int(last or first) + 1)
    reports = asyncio.run(run_rounds(seeds, arguments.jobs, print_bad_round))
    faults = Counter(fault for report in reports for fault in report.faults)
    total = {
        "rounds": len(reports),
        "good": sum(report.is_good for report in reports),
        "changes": sum(report.changes for report in reports),
        "unclear": sum(report.unclear for report in reports),
        "reads": sum(report.reads for report in reports),
        "faults": dict(sorted(faults.items())),
    }
    print(json.dumps(total))
    if arguments.json:
        arguments.json.write_text(json.dumps(total, indent=2), encoding="utf-8")
    return 0 if total["good"] == total["rounds"] else 1


if __name__ == "__main__":
    sys.exit(main())
