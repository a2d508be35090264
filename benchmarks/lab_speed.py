"""How fast simulated days play, and what memory they take, from 6 sidecars to 2000.

    python -m benchmarks.lab_speed [--size NAME]... [--seed N] [--runs N] [--json FILE]
    python -m benchmarks.lab_speed --profile NAME [--rows N]

Run from the repository's root. Each day is played in a fresh process, `--runs` times, and the quickest run
is shown: whatever else the machine does can only add to it. Drawing, judging and measuring are timed apart
from the play. `ratio` is simulated over wall seconds of the play alone, `of CPU` the same over CPU seconds
(the lab has one thread, so on an idle machine the two agree). Memory is the most that was resident, in MiB.
With `--profile` one day is played under cProfile, and the functions that take the most time of their own
are listed, those of the lab and those of the program apart. A run that takes longer than `LIMIT_S` is
ended.
"""

from __future__ import annotations

import argparse
import cProfile
import pstats
import resource
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from benchmarks.common import ROOT, child, machine, table
from coveport.testbed import measures, oracle
from coveport.testbed.catalog import find
from coveport.testbed.drawing import draw
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import load
from coveport.testbed.simulated_network.play import play_day

LIMIT_S = 300.0  # of wall time for one run


@dataclass(frozen=True)
class Size:
    """A day to play: the calm scenario with these settings laid over it."""

    sets: tuple[str, ...]
    wanted: float  # simulated over wall seconds; 0: none named
    about: str


def _fleet(sidecars: int, nodes: int, length_s: int) -> tuple[str, ...]:
    return f"fleet.sidecars={sidecars}", f"fleet.nodes={nodes}", f"length_s={length_s}"


# Each sidecar of the shipped calm day asks for 0.35 / 6 of what 10 single-core nodes can do.
_PER_SIDECAR = 0.35 * 10 / 6

SIZES = {
    "6x10": Size((*_fleet(6, 10, 30), "load.level=0.35"), 100, "calm, as shipped at level 0.35"),
    "40x17": Size(
        (
            *_fleet(40, 17, 30),
            f"load.level={_PER_SIDECAR * 40 / (17 * 4):.4f}",
            *(f"fleet.kinds.{kind}.cores=4" for kind in range(2)),
        ),
        20,
        "calm, as much a sidecar as at 6x10; nodes of 4 cores carry it",
    ),
    "40x17-level": Size(
        (*_fleet(40, 17, 30), "load.level=0.35"), 20, "calm, level 0.35 of single-core nodes"
    ),
    "500x50": Size((*_fleet(500, 50, 10), "load.rate=100"), 2, "quiet: 0.2 operations a second a sidecar"),
    "2000x200": Size((*_fleet(2000, 200, 5), "load.rate=400"), 0, "quiet: 0.2 operations a second a sidecar"),
}


class Timed(msgspec.Struct):
    """What one run took. Times in seconds, memory in MiB."""

    size: str
    seed: int
    simulated_s: float  # from the day's beginning to its last row
    draw_s: float
    play_s: float
    play_cpu_s: float
    judge_s: float
    measure_s: float
    memory_played_mib: float  # the most that was resident up to the end of the play
    memory_mib: float  # the same up to the end of all
    wishes: int
    rows: int
    trace: str
    broken: list[str]  # rules
    service: float
    notes: list[str]

    @property
    def ratio(self) -> float:
        """Simulated over wall seconds of the play."""
        return self.simulated_s / self.play_s


def scenario_of(size: str) -> Scenario:
    """The scenario of one of `SIZES`."""
    return load(find("calm"), SIZES[size].sets)


def time_one(size: str, seed: int) -> Timed:
    """Draw, play, judge and measure one day in this process."""
    scenario, clock, cpu = scenario_of(size), time.perf_counter, time.process_time
    began = clock()
    day = draw(scenario, seed)
    drawn, drawn_cpu = clock(), cpu()
    played = play_day(day)
    done, done_cpu, memory = clock(), cpu(), _memory_mib()
    breaches = oracle.judge(day, played.rows, grace=oracle.Grace.virtual())
    judged = clock()
    outcome = measures.measure(played)
    ended = clock()
    return Timed(
        size,
        seed,
        outcome.simulated_s,
        drawn - began,
        done - drawn,
        done_cpu - drawn_cpu,
        judged - done,
        ended - judged,
        memory,
        _memory_mib(),
        len(day.wishes),
        len(played.rows),
        played.trace,
        sorted({one.rule for one in breaches}),
        outcome.service,
        played.notes,
    )


def _memory_mib() -> float:
    most = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return most / (1 << 20 if sys.platform == "darwin" else 1 << 10)


def best_of(size: str, seed: int, runs: int) -> tuple[Timed | None, list[str]]:
    """The run whose play was the quickest, and what went wrong."""
    best: Timed | None = None
    problems: list[str] = []
    for _ in range(runs):
        one = child("benchmarks.lab_speed", ["--one", size, "--seed", str(seed)], LIMIT_S, Timed)
        if isinstance(one, str):
            problems.append(f"{size}: {one}")
            break
        if best is not None and one.trace != best.trace:
            problems.append(f"{size}: two runs of one seed differ")
        if best is None or one.play_s < best.play_s:
            best = one
    if best is not None:
        problems += [f"{size}: broken rule {rule}" for rule in best.broken]
        problems += [f"{size}: {note}" for note in best.notes]
    return best, problems


def shown(one: Timed) -> list[str]:
    """A row of the table."""
    wanted = SIZES[one.size].wanted
    return [
        one.size,
        f"{one.wishes}",
        f"{one.simulated_s:.1f}",
        f"{one.draw_s:.2f}",
        f"{one.play_s:.2f}",
        f"{one.judge_s:.2f}",
        f"{one.measure_s:.2f}",
        f"{one.ratio:.1f}",
        f"{one.simulated_s / one.play_cpu_s:.1f}",
        f"{wanted:g}" if wanted else "any",
        f"{one.memory_played_mib:.0f}",
        f"{one.memory_mib:.0f}",
    ]


HEAD = (
    "sidecars x nodes",
    "operations",
    "simulated s",
    "draw s",
    "play s",
    "judge s",
    "measure s",
    "ratio",
    "of CPU",
    "sought",
    "MiB played",
    "MiB in all",
)


def profile(size: str, seed: int, rows: int) -> None:
    """Play one day under cProfile and list who takes the most time of its own."""
    day = draw(scenario_of(size), seed)
    profiler = cProfile.Profile()
    profiler.enable()
    play_day(day)
    profiler.disable()
    stats = pstats.Stats(profiler).stats  # type: ignore[attr-defined]  # typeshed leaves it out
    total = sum(one[2] for one in stats.values())
    parts: dict[str, list[tuple[float, float, int, str]]] = {"the lab": [], "the program": [], "others": []}
    for (file, line, name), (_, calls, own, cumulative, _) in stats.items():
        try:
            where = Path(file).relative_to(ROOT).as_posix()
        except ValueError:
            where = Path(file).name
        part = (
            "the lab"
            if where.startswith("coveport/testbed/")
            else "the program"
            if where.startswith("coveport/")
            else "others"
        )
        parts[part].append((own, cumulative, calls, f"{where}:{line} {name}" if line else name))
    for part, entries in parts.items():
        entries.sort(reverse=True)
        print(f"\n{part}: {100 * sum(one[0] for one in entries) / total:.0f}% of the time\n")
        print(
            table(
                ("function", "own %", "with callees %", "calls"),
                [
                    [name, f"{100 * own / total:.1f}", f"{100 * cumulative / total:.1f}", f"{calls}"]
                    for own, cumulative, calls, name in entries[:rows]
                ],
            )
        )


def main() -> int:
    """Measure; 1 where a run failed, broke a rule, or was slower than sought."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--size", action="append", choices=SIZES, help="may be repeated; default all")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=3, help="of which the quickest counts (default 3)")
    parser.add_argument("--json", type=Path, help="where to keep the figures")
    parser.add_argument("--profile", choices=SIZES, help="play this one under cProfile instead")
    parser.add_argument("--rows", type=int, default=15, help="of each table of the profile")
    parser.add_argument("--one", choices=SIZES, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.one:
        print(msgspec.json.encode(time_one(arguments.one, arguments.seed)).decode())
        return 0
    print(machine(), flush=True)
    if arguments.profile:
        profile(arguments.profile, arguments.seed, arguments.rows)
        return 0
    figures, problems = list[Timed](), list[str]()
    for size in arguments.size or SIZES:
        best, wrong = best_of(size, arguments.seed, arguments.runs)
        problems += wrong
        if best is not None:
            figures.append(best)
    print(table(HEAD, [shown(one) for one in figures]))
    problems += [
        f"{one.size}: {one.ratio:.1f} times real time, sought {SIZES[one.size].wanted:g}"
        for one in figures
        if one.ratio < SIZES[one.size].wanted
    ]
    print("\n".join(problems))
    if arguments.json:
        arguments.json.write_bytes(msgspec.json.format(msgspec.json.encode(figures), indent=2) + b"\n")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
