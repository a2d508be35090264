"""How exactly the lab's tills ask on real sockets: lateness of each operation behind the time it was due.

    python -m benchmarks.load_accuracy [--rate N]... [--seconds S] [--seed N] [--json FILE]

Run from the repository's root. For each rate a day is played on real ground, with real sidecars in front of
fast nodes (work of 1 ms, no pauses), so that whatever is late is the lab or the machine. Lateness is from
when a wish was due to when the last byte of its first try had been handed to its connection; first tries
alone count, those due within the first second too, those never asked not. Percentiles are exact. Beside it
stand the lateness of the loops of the lab's own processes, as the lab judges it, and the median and p99 of
the answers. A day takes its length and a few seconds more, and is ended by the lab where it takes too long.
"""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path

import msgspec
import numpy as np

from benchmarks.common import machine, table
from coveport.testbed import event_log
from coveport.testbed.measures import measure
from coveport.testbed.oracle import Grace
from coveport.testbed.oracle import judge as judge_rules
from coveport.testbed.run import play
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import parse

SOUGHT_P99_MS = 5.0

FAST = """
title = "Fast nodes"
settle_s = 0

[load]
retries = { most = 0 }

[fleet]
sidecars = 6
nodes = 30
kinds = [{ name = "fast", speed = 1, pause_ms = 0, error_rate = 0 }]

[[classes]]
name = "balance"
share = 0.45
work_ms = 1
dist = "fixed"
repeats = "safe"
aim_ms = 1000
deadline_ms = 4000

[[classes]]
name = "earn"
share = 0.28
work_ms = 1
dist = "fixed"
repeats = "keyed"
aim_ms = 1200
deadline_ms = 3000

[[classes]]
name = "redeem"
share = 0.27
work_ms = 1
dist = "fixed"
repeats = "never"
aim_ms = 2500
deadline_ms = 6000
"""


class Accuracy(msgspec.Struct):
    """What one day showed; times in ms."""

    rate: float  # operations a second that were wanted
    asked: int
    unasked: int
    p50: float
    p99: float
    p999: float
    most: float
    answer_p50: float
    answer_p99: float
    void: bool  # the lab itself says that it ran late
    broken: dict[str, int]  # rules
    notes: list[str]


def scenario_of(rate: float, seconds: float) -> Scenario:
    """The day for a rate, in operations a second over all sidecars."""
    return parse(FAST, "fast nodes", (f"load.rate={rate}", f"length_s={seconds}"))


def measure_one(rate: float, seconds: float, seed: int) -> Accuracy:
    """Play a day and look at its tills' books."""
    played = play(scenario_of(rate, seconds), seed=seed, ground="real")
    late = np.array(
        [row.at - row.due for row in played.rows if isinstance(row, event_log.Asked) and not row.repeat]
    )
    unasked = sum(isinstance(row, event_log.Unasked) for row in played.rows)
    broken: dict[str, int] = {}
    for one in judge_rules(played.day, played.rows, grace=Grace.real()):
        broken[one.rule] = broken.get(one.rule, 0) + 1
    asked = {row.op: row.due for row in played.rows if isinstance(row, event_log.Asked)}
    took = np.array([row.at - asked[row.op] for row in played.rows if isinstance(row, event_log.Answered)])
    p50, p99, p999, most = (float(one) for one in np.quantile(late, (0.5, 0.99, 0.999, 1)))
    answer_p50, answer_p99 = (float(one) for one in np.quantile(took, (0.5, 0.99)))
    return Accuracy(
        rate,
        len(late),
        unasked,
        p50,
        p99,
        p999,
        most,
        answer_p50,
        answer_p99,
        played.late,
        broken,
        measure(played).notes,
    )


def main() -> int:
    """Measure; 1 where p99 is above what is sought, or the day is void or broke a rule."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--rate", type=float, action="append", help="operations a second (default 500, 1000)")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, help="where to keep the figures")
    arguments = parser.parse_args()
    print(machine(), flush=True)
    figures = []
    for rate in arguments.rate or (500.0, 1000.0):
        figures.append(measure_one(rate, arguments.seconds, arguments.seed))
    print(
        table(
            (
                "operations/s",
                "asked",
                "unasked",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "max ms",
                "answers p50 ms",
                "answers p99 ms",
                "void",
            ),
            [
                [
                    f"{one.rate:g}",
                    f"{one.asked}",
                    f"{one.unasked}",
                    f"{one.p50:.2f}",
                    f"{one.p99:.2f}",
                    f"{one.p999:.2f}",
                    f"{one.most:.2f}",
                    f"{one.answer_p50:.2f}",
                    f"{one.answer_p99:.2f}",
                    "yes" if one.void else "no",
                ]
                for one in figures
            ],
        )
    )
    for one in figures:
        for rule, count in one.broken.items():
            print(f"{one.rate:g}/s: broken rule {rule}, {count} times")
        for note in one.notes:
            print(f"{one.rate:g}/s: {note}")
    print(f"load on the machine at the end: {os.getloadavg()[0]:.1f}")
    if arguments.json:
        arguments.json.write_bytes(msgspec.json.format(msgspec.json.encode(figures), indent=2) + b"\n")
    return 1 if any(one.p99 > SOUGHT_P99_MS or one.void or one.broken for one in figures) else 0


if __name__ == "__main__":
    sys.exit(main())
