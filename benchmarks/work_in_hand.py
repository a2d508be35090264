"""What work in hand saves and what it costs.

    python -m benchmarks.work_in_hand saves [--seeds 20]   simulated: days with losses, on beside off
    python -m benchmarks.work_in_hand closes [--seeds 5]   simulated: from a loss to the last record closed
    python -m benchmarks.work_in_hand costs [--seconds 10] processes: time an operation and CPU, on beside off
    python -m benchmarks.work_in_hand gap [--seconds 10]   processes: from the fence's last look to the write
    python -m benchmarks.work_in_hand variants             how many drawn trials each broken one takes

Each prints a table; `--json` prints the figures instead.
"""

from __future__ import annotations

import argparse
import asyncio
import concurrent.futures
import json
import math
import multiprocessing
import os
import signal
import statistics
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path

from benchmarks.common import machine, table
from coveport.testbed.fault_injection.real import RealTrial, Running
from coveport.testbed.fault_injection.relay import Relay
from coveport.testbed.fault_injection.schedules import Fault, Trial
from coveport.testbed.fault_injection.search import hunt
from coveport.testbed.fault_injection.work.broken_variants import VARIANTS
from coveport.testbed.fault_injection.work.sim import WorkTrial, play

Row = dict[str, object]
DAYS = {
    "a kill every 3 s": [Fault(2.0 + 3 * at, "kill", str(at % 5), 1.0) for at in range(4)],
    "a stall of 5 s every 4 s": [Fault(2.0 + 4 * at, "stall", str(at % 5), 5.0) for at in range(3)],
    "seven in ten killed": [Fault(6.0, "half_killed", "", 3.0)],
    "no loss": [],
}


def _one(day: str, seed: int, on: bool) -> tuple[float, int, int, int]:
    trial = WorkTrial(faults=tuple(DAYS[day]), rate=40.0, record=on, calm_s=15.0)
    played = play(trial, seed)
    if on and played.findings:
        raise SystemExit(f"{day}, seed {seed}: {played.findings}")
    return played.learnt, played.twice, played.ends.get("unknown", 0), played.losses


def pool() -> concurrent.futures.ProcessPoolExecutor:
    """Workers, two cores left free."""
    return concurrent.futures.ProcessPoolExecutor(
        max(1, (os.cpu_count() or 2) - 2), mp_context=multiprocessing.get_context("spawn")
    )


def interval(figures: Iterable[float]) -> str:
    """The mean and its 95% interval, by the spread over seeds."""
    found = list(figures)
    half = 1.96 * statistics.stdev(found) / math.sqrt(len(found)) if len(found) > 1 else 0.0
    return f"{statistics.fmean(found):.4f} +- {half:.4f}"


def saves(seeds: int) -> list[Row]:
    """Share of operations whose till learns that they were served, and what ran twice or is unknown."""
    rows: list[Row] = []
    with pool() as workers:
        for day in DAYS:
            both = {
                on: list(workers.map(_one, [day] * seeds, range(seeds), [on] * seeds)) for on in (False, True)
            }
            losses = sum(one[3] for one in both[True])
            unknown = sum(one[2] for one in both[True])
            rows.append(
                {
                    "day": day,
                    "off: learnt": interval(one[0] for one in both[False]),
                    "on: learnt": interval(one[0] for one in both[True]),
                    "off: ran twice": sum(one[1] for one in both[False]),
                    "on: ran twice": sum(one[1] for one in both[True]),
                    "on: unknown a loss": round(unknown / losses, 2) if losses else "-",
                }
            )
    return rows


def _closes(instances: int, seed: int) -> tuple[float, int]:
    faults = (Fault(6.0, "half_killed", "", 30.0),)
    played = play(
        WorkTrial(
            instances=instances, faults=faults, rate=min(400.0, 10.0 * instances), over_s=8.0, calm_s=4.0
        ),
        seed,
    )
    if played.findings:
        raise SystemExit(f"{instances} instances, seed {seed}: {played.findings[:3]}")
    return played.closed_s, played.counts.get("work_taken_over", 0)


def closes(seeds: int) -> list[Row]:
    """Seven in ten killed at once: until the last record is closed."""
    rows: list[Row] = []
    with pool() as workers:
        for instances in (5, 40, 200):
            count = seeds if instances < 200 else min(seeds, 2)
            found = list(workers.map(_closes, [instances] * count, range(count)))
            rows.append(
                {
                    "instances": instances,
                    "plays": count,
                    "s, median": round(statistics.median(one[0] for one in found), 2),
                    "s, worst": round(max(one[0] for one in found), 2),
                    "taken over, mean": round(statistics.fmean(one[1] for one in found), 1),
                }
            )
    return rows


def _found_at(name: str) -> tuple[str, int, str]:
    for seed, found in hunt(range(200), 5, name, 1, True, "work"):
        if found is not None and {one.rule for one in found.findings} & set(VARIANTS[name].rules):
            return name, seed + 1, ", ".join(sorted({one.rule for one in found.findings}))
    return name, 0, "not found"


def variants() -> list[Row]:
    """How many drawn trials of five instances it takes to find each broken one."""
    with pool() as workers:
        return [
            {"variant": name, "about": VARIANTS[name].about, "trials": trials or "-", "by": by}
            for name, trials, by in workers.map(_found_at, VARIANTS)
        ]


# Processes.


def cpu_s(pid: int) -> float:
    """CPU time of a process."""
    told = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(told[11]) + int(told[12])) / os.sysconf("SC_CLK_TCK")


async def _load(one: RealTrial, rate: float, seconds: float) -> list[float]:
    """Ask at a steady rate, instances in turn; the times of what was served, s."""
    asks = []
    began = time.monotonic()
    count = int(rate * seconds)
    for number in range(count):
        await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
        at = number % len(one.instances)
        cls = "redeem" if number % 2 else "earn"
        asks.append(
            asyncio.ensure_future(
                one.tills.ask(at, one.instances[at].port, cls, f"{rate}-{number}", keyed=True)
            )
        )
    return [it.took_s for it in [await it for it in asks] if it.status == 200]


def figures(one: Running) -> dict[str, int]:
    """What it counts of records, so far."""
    log = one.folder / "log"
    asked = log.stat().st_size
    one.signal(signal.SIGUSR1)
    end = time.monotonic() + 5
    while b"counters" not in (said := log.read_bytes()[asked:]) or not said.endswith(b"\n"):
        if time.monotonic() > end:
            raise SystemExit(f"{one.name} tells no figures")
        time.sleep(0.01)
    told = json.loads(said[said.index(b"counters") + len("counters ") :].splitlines()[0])
    return {name: int(value) for name, value in told.items() if name.startswith("work_")}


async def _cost(kind: str, rate: float, seconds: float, on: bool, delay_s: float) -> Row:
    with tempfile.TemporaryDirectory() as folder:
        work = {} if on else {"record": []}
        async with RealTrial(Path(folder), Trial(instances=4), store=kind, nodes=4, work=work) as one:
            await (one.all_recording(30) if on else one.all_in(30))
            for instance in one.instances:
                for relay in instance.relays:
                    assert isinstance(relay, Relay)
                    relay.back.delay_s = delay_s
            await _load(one, rate, 1.0)
            first = [figures(it) for it in one.instances]
            before = [cpu_s(it.process.pid) for it in one.instances if it.process]
            took = sorted(await _load(one, rate, seconds))
            after = [cpu_s(it.process.pid) for it in one.instances if it.process]
            last = [figures(it) for it in one.instances]
            rss = [
                int(
                    next(
                        line
                        for line in Path(f"/proc/{it.process.pid}/status").read_text().splitlines()
                        if line.startswith("VmRSS")
                    ).split()[1]
                )
                / 1024
                for it in one.instances
                if it.process
            ]
    served = max(1, len(took))

    def a_second(name: str) -> float:
        return sum(b.get(name, 0) - a.get(name, 0) for a, b in zip(first, last, strict=True)) / seconds

    return {
        "store": kind + (f" + {delay_s * 1000:g} ms" if kind == "etcd" else ""),
        "a second": rate,
        "records": "on" if on else "off",
        "served": f"{len(took)} of {int(rate * seconds)}",
        "p50 ms": round(took[served // 2] * 1000, 1) if took else "-",
        "p99 ms": round(took[int(served * 0.99)] * 1000, 1) if took else "-",
        "CPU ms an operation": round(
            sum(b - a for a, b in zip(before, after, strict=True)) / served * 1000, 2
        ),
        "MB an instance": round(statistics.fmean(rss), 1),
        "writes a second": round(a_second("work_writes")),
        "groups a second": round(a_second("work_groups")),
        "store calls a second": round(a_second("work_store_calls")),
        "kB a second": round(a_second("work_bytes") / 1000),
    }


def costs(seconds: float) -> list[Row]:
    """Time an operation and CPU, on beside off, in one run."""
    rows = []
    for rate in (70.0, 320.0, 1000.0):
        for on in (False, True):
            rows.append(asyncio.run(_cost("sqlite", rate, seconds, on, 0.0)))
    for delay in (0.001, 0.005, 0.02):
        rows.append(asyncio.run(_cost("etcd", 70.0, seconds, True, delay)))
    return rows


class _Watched(RealTrial):
    """Instances that write down how long it is from the fence to the socket."""

    def _program(self, one: Running) -> tuple[str, ...]:
        return "-m", "benchmarks.fence_gap", str(one.folder / "gap.json")


async def _gap(rate: float, seconds: float) -> list[Row]:
    with tempfile.TemporaryDirectory() as folder:
        async with _Watched(Path(folder), Trial(instances=4), nodes=4, work={}) as one:
            await one.all_recording(30)
            await _load(one, rate, seconds)
            for it in one.instances:
                await one.leave(it)
            told = [json.loads((it.folder / "gap.json").read_text()) for it in one.instances]
    return [
        {"a second": rate, "instance": number}
        | {name if name == "count" else f"{name} us": value for name, value in row.items()}
        for number, row in enumerate(told)
    ]


def gap(seconds: float) -> list[Row]:
    """From the fence's last look to the write, by instance."""
    return [row for rate in (70.0, 320.0) for row in asyncio.run(_gap(rate, seconds))]


def main() -> None:
    """See the head of this file."""
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=("saves", "closes", "costs", "gap", "variants"))
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    where = machine()
    rows = {
        "saves": lambda: saves(told.seeds),
        "closes": lambda: closes(told.seeds),
        "costs": lambda: costs(told.seconds),
        "gap": lambda: gap(told.seconds),
        "variants": variants,
    }[told.what]()
    if told.json:
        print(json.dumps({"machine": where, "rows": rows}, indent=2))
    else:
        print(where + "\n")
        print(table(list(rows[0]), [[str(value) for value in row.values()] for row in rows]))


if __name__ == "__main__":
    main()
