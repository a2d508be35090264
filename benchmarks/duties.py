"""What leases and duties cost and how long a duty is without a holder.

    python benchmarks/duties.py gaps [--seeds 20]     simulated ground: kill, stall, cut, SIGTERM at each
    time to live python benchmarks/duties.py calls                 store calls an instance and a second, by
    how many there are python benchmarks/duties.py rollout               a bad file rolled out: share of the
    fleet that ever had it python benchmarks/duties.py real [--instances 5]  processes: CPU, memory, and
    time without a holder

Each prints a table; `--json` prints the figures instead.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

from coveport.testbed.fault_injection import judge
from coveport.testbed.fault_injection.real import RealTrial, Running
from coveport.testbed.fault_injection.schedules import HOLDER, Fault, Trial
from coveport.testbed.fault_injection.virtual import START_S, play

TERMS = {1.0: 0.08, 3.0: 0.2, 10.0: 0.5}  # time to live: margin, s
FAULTS = ("kill", "stall", "cut", "leave")
Row = dict[str, object]


def gap(trial: Trial, seed: int, at_s: float) -> float:
    """The longest time without a holder around a fault."""
    played = play(trial, seed)
    if played.findings:
        raise SystemExit(f"seed {seed}: {played.findings}")
    gaps = judge.gaps(played.beliefs, "drill", START_S + at_s - 1, START_S + at_s + 3 * trial.ttl_s + 2)
    return max((end - begin for begin, end in gaps), default=0.0)


def gaps(seeds: int) -> list[Row]:
    """Time without a holder, in ms."""
    rows: list[Row] = []
    for ttl, margin in TERMS.items():
        for kind in FAULTS:
            lasts = 3 * ttl if kind in ("stall", "cut") else 1.0
            found = []
            for seed in range(seeds):
                at = 5 * ttl + 0.37 * seed % ttl
                trial = Trial(
                    ttl_s=ttl, margin_s=margin, faults=(Fault(at, kind, HOLDER, lasts),), calm_s=4 * ttl + 5
                )
                found.append(gap(trial, seed, at) * 1000)
            rows.append(
                {
                    "ttl_s": ttl,
                    "fault": kind,
                    "median_ms": round(statistics.median(found)),
                    "worst_ms": round(max(found)),
                    "bound_ms": round((ttl + margin) * 1000),
                }
            )
    return rows


def calls() -> list[Row]:
    """Store calls an instance and a second over a quiet minute, holder's acts apart."""
    rows: list[Row] = []
    for instances in (5, 40, 200, 1000):
        played = play(Trial(instances=instances, drill_s=1.0, faults=(), calm_s=60.0), 1)
        idle = sum(count for name, count in played.calls.items() if not name.startswith("act"))
        rows.append(
            {
                "instances": instances,
                "calls_an_instance_s": round(idle / instances / 60, 3),
                "acts_s": round(played.calls.get("act_done", 0) / 60, 2),
            }
        )
    return rows


def rollout() -> list[Row]:
    """A bad file: share of the fleet that ever ran it, by how it is bad, in a pure world."""
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests" / "sidecar" / "singletons"))
    from test_rollout import NEW, Fleet  # type: ignore[import-not-found]

    from coveport.sidecar.singletons.rollout_plan import settings_id

    rows: list[Row] = []
    for instances in (5, 40, 200):
        for how in ("refused", "serves 0.8 of what others do"):
            fleet = Fleet(instances)
            if how == "refused":
                fleet.bad[settings_id(NEW)] = "no"
            else:
                fleet.served[settings_id(NEW)] = 0.8
            fleet.command("start", NEW)
            ever: set[str] = set()
            for _ in range(120):
                fleet.run(0.5)
                ever |= set(fleet.running(NEW))
            rows.append(
                {
                    "instances": instances,
                    "bad": how,
                    "ever_had_it": len(ever),
                    "share": round(len(ever) / instances, 3),
                    "phase": fleet.plan.phase.value,
                }
            )
    return rows


def fresh_work(told: tuple[int, int, bool]) -> tuple[float, float, int]:
    """Work that fresh nodes did in their first 10 s (ms of it), worth of the day, and cold rules broken."""
    from coveport.testbed import measures, oracle
    from coveport.testbed.catalog import find
    from coveport.testbed.discrete_event.play import play_day
    from coveport.testbed.drawing import draw
    from coveport.testbed.event_log import NodeIs, Ran
    from coveport.testbed.scenario_file import load

    copies, seed, warded = told
    day = draw(load(find("fleet-join"), [f"fleet.sidecars={copies}"]), seed)
    played = play_day(day, warded=warded)
    born = {row.node: row.born for row in played.rows if isinstance(row, NodeIs) and row.born >= 0}
    done = sum(
        1
        for row in played.rows
        if isinstance(row, Ran) and row.node in born and 0 <= row.at - born[row.node] <= 10_000
    )
    breaches = oracle.judge(played.day, played.rows, grace=oracle.Grace.virtual())
    outcome = measures.measure(played, name="join", variant="")
    return done, outcome.service, sum(one.rule == "cold" for one in breaches)


def warden(seeds: int) -> list[Row]:
    """Fresh nodes' operations with a warden beside without, the same days, paired."""
    from concurrent.futures import ProcessPoolExecutor

    rows: list[Row] = []
    with ProcessPoolExecutor() as pool:
        for copies in (40, 200):
            on = list(pool.map(fresh_work, [(copies, seed, True) for seed in range(seeds)]))
            off = list(pool.map(fresh_work, [(copies, seed, False) for seed in range(seeds)]))
            ratios = [a[0] / b[0] for a, b in zip(on, off, strict=True) if b[0]]
            worth = [a[1] - b[1] for a, b in zip(on, off, strict=True)]
            half = [1.96 * statistics.stdev(line) / len(line) ** 0.5 for line in (ratios, worth)]
            rows.append(
                {
                    "copies": copies,
                    "fresh_work_on/off": f"{statistics.mean(ratios):.3f} ± {half[0]:.3f}",
                    "service_on-off": f"{statistics.mean(worth):+.4f} ± {half[1]:.4f}",
                    "cold_broken_on": sum(one[2] for one in on),
                    "cold_broken_off": sum(one[2] for one in off),
                }
            )
    return rows


def used(one: Running) -> tuple[float, float]:
    """CPU in s, and memory in MiB, of an instance's process."""
    assert one.process is not None
    fields = Path(f"/proc/{one.process.pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    status = Path(f"/proc/{one.process.pid}/status").read_text()
    return cpu, int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1]) / 1024


async def real_at(instances: int, store: str) -> Row:
    """A fleet with nothing to serve: what keeping its session costs, then a SIGTERM and a kill."""
    with tempfile.TemporaryDirectory() as folder:
        async with RealTrial(Path(folder), Trial(instances=instances), store=store) as one:
            holder = await one.held("drill", 30)
            await asyncio.sleep(2)
            idle = [each for each in one.instances if each is not holder]
            before = [used(each)[0] for each in idle]
            began = time.monotonic()
            await asyncio.sleep(10)
            took = time.monotonic() - began
            cpu = [100 * (used(each)[0] - old) / took for each, old in zip(idle, before, strict=True)]
            memory = [used(each)[1] for each in idle]
            ends: dict[str, float] = {}
            for how in ("leave", "kill"):
                holder = await one.held("drill", 30)
                if how == "leave":
                    await one.leave(holder)
                else:
                    one.kill(holder)
                await one.held("drill", 30, besides=holder)
                await asyncio.sleep(0.5)
                records = list(one.histories().of("role_acquired"))
                last = records[-1].at
                histories = one.histories()
                held = judge.beliefs(histories, one.deaths_of(histories), last + 0.1)
                found = judge.gaps(held, "drill", records[0].at, last)
                ends[how] = 1000 * (found[-1][1] - found[-1][0]) if found else 0.0
            return {
                "instances": instances,
                "store": store,
                "cpu_percent_idle": round(statistics.median(cpu), 2),
                "memory_mib": round(statistics.median(memory), 1),
                "sigterm_ms": round(ends["leave"]),
                "kill_ms": round(ends["kill"]),
            }


def main() -> int:
    """The command line."""
    reader = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    reader.add_argument("what", choices=("gaps", "calls", "rollout", "warden", "real"))
    reader.add_argument("--seeds", type=int, default=20)
    reader.add_argument("--instances", type=int, default=5)
    reader.add_argument("--json", action="store_true")
    told = reader.parse_args()
    if told.what == "real":
        rows = [asyncio.run(real_at(told.instances, store)) for store in ("sqlite", "etcd")]
    else:
        rows = {
            "gaps": lambda: gaps(told.seeds),
            "calls": calls,
            "rollout": rollout,
            "warden": lambda: warden(told.seeds),
        }[told.what]()
    if told.json:
        print(json.dumps(rows, indent=2))
        return 0
    print("| " + " | ".join(rows[0]) + " |")
    print("|" + " --- |" * len(rows[0]))
    for row in rows:
        print("| " + " | ".join(str(value) for value in row.values()) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
