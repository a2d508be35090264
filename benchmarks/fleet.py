"""What a supervised fleet costs, and how soon it is back.

    python -m benchmarks.fleet kill [--instances 5]      from SIGKILL of one to serving; memory, wake-ups
    python -m benchmarks.fleet restart [--instances 40]  all killed at once, with and without snapshots

Processes on loopback, one play each; `--json` prints the figures instead.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.common import machine, table
from coveport.sidecar.supervisor import locks
from coveport.testbed.fault_injection.fleet.real import FleetTrialReal

Row = dict[str, object]
IDLE_S = 5.0


def memory_mb(pid: int) -> float:
    """Resident memory."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1024


def wakes(pid: int) -> int:
    """How often it has waited and been woken so far."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("voluntary")).split()[1])


async def serves(one: FleetTrialReal, at: int) -> bool:
    """Whether an instance serves an operation."""
    return (
        await one.environment.ask(at, one.port + at, 1_000_000 + time.monotonic_ns() % 1_000_000, 5.0) == 200
    )


async def kill(instances: int, plays: int) -> list[Row]:
    """From a kill until an operation is served by the next life; the till's connection waits in the queue."""
    with tempfile.TemporaryDirectory() as folder:
        async with FleetTrialReal(Path(folder), instances) as one:
            supervisor = one.supervise()
            await one.all_serve()
            await asyncio.sleep(2.0)
            pids = [locks.pid_of(incarnation) for incarnation in one.incarnations().values()]
            before = {pid: wakes(pid) for pid in (*pids, supervisor.pid)}
            await asyncio.sleep(IDLE_S)
            woken = {pid: (wakes(pid) - count) / IDLE_S for pid, count in before.items()}
            memory = statistics.fmean(map(memory_mb, pids))
            took = []
            for number in range(plays):
                at = number % instances
                os.kill(locks.pid_of(one.incarnations()[f"h-{at + 1}"]), signal.SIGKILL)
                began = time.monotonic()
                while not await serves(one, at):
                    await asyncio.sleep(0.01)
                took.append(time.monotonic() - began)
                await one.all_serve()
            return [
                {
                    "instances": instances,
                    "plays": plays,
                    "s, median": round(statistics.median(took), 2),
                    "s, worst": round(max(took), 2),
                    "MB an instance": round(memory, 1),
                    "MB supervisor": round(memory_mb(supervisor.pid), 1),
                    "wakes a second, instance": round(statistics.fmean(woken[pid] for pid in pids), 1),
                    "wakes a second, supervisor": round(woken[supervisor.pid], 1),
                }
            ]


async def restart(instances: int) -> list[Row]:
    """All killed at once: how long until all serve, and what discovery was asked for meanwhile."""
    rows: list[Row] = []
    for young_s in (0.0, 120.0):
        with tempfile.TemporaryDirectory() as folder:
            async with FleetTrialReal(
                Path(folder), instances, settings={"young_s": young_s, "loop": 50}
            ) as one:
                calls: list[float] = []
                answer = one.environment.discovery.server._respond

                async def counted(request, answer=answer, calls=calls):  # type: ignore[no-untyped-def]
                    calls.append(time.monotonic())
                    return await answer(request)

                one.environment.discovery.server._respond = counted
                one.supervise()
                await one.all_serve()
                await asyncio.sleep(7.0)  # each has kept what it knows
                began = time.monotonic()
                for incarnation in one.incarnations().values():
                    os.kill(locks.pid_of(incarnation), signal.SIGKILL)
                await asyncio.sleep(0.5)
                await one.all_serve()
                took = time.monotonic() - began
                meanwhile = [at for at in calls if began <= at <= began + took]
                peak = max((sum(at <= it < at + 1.0 for it in meanwhile) for at in meanwhile), default=0)
                rows.append(
                    {
                        "instances": instances,
                        "snapshots": "on" if young_s else "off",
                        "all serve after s": round(took, 1),
                        "discovery calls": len(meanwhile),
                        "at most in a second": peak,
                    }
                )
    return rows


def main() -> None:
    """See the head of this file."""
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=("kill", "restart"))
    parser.add_argument("--instances", type=int, default=0)
    parser.add_argument("--plays", type=int, default=10)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    where = machine()
    if arguments.what == "kill":
        rows = asyncio.run(kill(arguments.instances or 5, arguments.plays))
    else:
        rows = asyncio.run(restart(arguments.instances or 40))
    if arguments.json:
        print(json.dumps({"machine": where, "rows": rows}, indent=2))
    else:
        print(where + "\n")
        print(table(list(rows[0]), [[str(value) for value in row.values()] for row in rows]))


if __name__ == "__main__":
    main()
