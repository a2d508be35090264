"""The lab against an outside simulator: how each ranks variants of the decisions, and the calm day.

    python -m benchmarks.yardstick --simulator 'COMMAND {kind} {seed} ... {variant}' --day calm=KIND:1-8
        [--day SCENARIO=KIND:SEEDS]... [--seeds SEEDS] [--set SCENARIO:KEY=VALUE]... [--json FILE]

Run from the repository's root. COMMAND plays one day of the simulator with one variant and prints, as JSON
on standard output, an object with `worth_served` and `worth_offered` (worth answered in time, worth asked
for), `g` (the simulator's mark of the day, between 0 and 1), and `breaks` (broken rules; empty: none).
{kind} and {seed} stand for what `--day` says, {variant} for the command of the decisions: this interpreter
running `benchmarks.variant_link` with the variant's name. The simulator's days and the lab's are different
draws, so only means over seeds can be compared. On each side all variants meet the same days, so that
differences between variants are taken day by day. Two variants count as told apart where the mean
difference is above twice its standard error. Agreed is sought on the order of every pair that both sides
tell apart, and that the service of the calm day differs by less than `SOUGHT`. The lab's days are played on
virtual ground. A day that takes the simulator longer than `LIMIT_S` is ended and left out.
"""

from __future__ import annotations

import argparse
import math
import shlex
import subprocess
import sys
from itertools import combinations
from pathlib import Path
from statistics import fmean, stdev

import msgspec

from benchmarks.common import ROOT, machine, spread, table
from coveport.testbed.catalog import find
from coveport.testbed.run import play_and_judge
from coveport.testbed.scenario_file import load

LIMIT_S = 120.0  # of wall time for one day of the simulator
SOUGHT = 0.05  # by so much at most may the service of the calm day differ
CALM = "calm"
VARIANTS = ("shipped", "random-pick", "no-retries")


class Day(msgspec.Struct):
    """One day of one side."""

    seed: int
    service: float  # worth answered in time / worth asked
    mark: float  # the side's own mixture of the whole day, its worst part and its worst class
    broken: list[str] = []  # rules
    wrong: str = ""  # why there are no figures


class Said(msgspec.Struct):
    """What the simulator prints; other keys are passed over."""

    worth_served: float
    worth_offered: float
    g: float
    breaks: dict[str, object] = {}


class Side(msgspec.Struct):
    """A side's days of one scenario, by variant."""

    days: dict[str, list[Day]] = {}

    def service(self, variant: str) -> list[float]:
        """By seed, of the days on which all variants have figures."""
        return [day.service for day in self._good(variant)]

    def mark(self, variant: str) -> list[float]:
        """The same for the mark."""
        return [day.mark for day in self._good(variant)]

    def _good(self, variant: str) -> list[Day]:
        bad = {day.seed for days in self.days.values() for day in days if day.wrong}
        return [day for day in self.days[variant] if day.seed not in bad]

    def difference(self, one: str, other: str) -> tuple[float, float]:
        """Mean and standard error of what `one` serves more than `other`, day by day."""
        each = [a - b for a, b in zip(self.service(one), self.service(other), strict=True)]
        if len(each) < 2:
            return (each[0] if each else 0.0), math.inf
        return fmean(each), stdev(each) / math.sqrt(len(each))

    def ranking(self) -> list[str]:
        """The best first, by mean service."""
        return sorted(self.days, key=lambda variant: -fmean(self.service(variant) or [0.0]))


def play_outside(template: str, kind: str, seed: int, variant: str) -> Day:
    """One day of the simulator."""
    decisions = shlex.join(
        [sys.executable, "-m", "benchmarks.variant_link", *([] if variant == VARIANTS[0] else [variant])]
    )
    command = template.replace("{kind}", kind).replace("{seed}", str(seed)).replace("{variant}", decisions)
    try:
        done = subprocess.run(
            shlex.split(command), cwd=ROOT, capture_output=True, timeout=LIMIT_S, check=False
        )
        said = msgspec.json.decode(done.stdout, type=Said)
    except subprocess.TimeoutExpired:
        return Day(seed, 0.0, 0.0, wrong=f"took longer than {LIMIT_S:g} s")
    except (OSError, msgspec.DecodeError) as problem:
        return Day(seed, 0.0, 0.0, wrong=f"no figures: {problem}")
    return Day(
        seed,
        said.worth_served / said.worth_offered if said.worth_offered else 0.0,
        said.g,
        sorted(said.breaks),
    )


def play_inside(scenario: str, sets: list[str], seed: int, variant: str) -> Day:
    """One day of the lab."""
    name = "" if variant == VARIANTS[0] else variant
    _, outcome = play_and_judge(
        load(find(scenario), sets), name=scenario, seed=seed, ground="virtual", variant=name
    )
    return Day(seed, outcome.service, outcome.mark, sorted({one.rule for one in outcome.broken}))


def seeds_of(text: str) -> list[int]:
    """From "1-3,7" the numbers 1, 2, 3 and 7; ValueError for anything else."""
    found: list[int] = []
    for part in text.split(","):
        low, _, high = part.partition("-")
        found += range(int(low), int(high or low) + 1)
    return found


def judge(scenario: str, lab: Side, outside: Side) -> tuple[list[list[str]], list[str]]:
    """Rows of the table of pairs, and what speaks against agreement."""
    rows, against = list[list[str]](), list[str]()
    for one, other in combinations(VARIANTS, 2):
        (ours, our_error), (theirs, their_error) = lab.difference(one, other), outside.difference(one, other)
        is_distinguished = abs(ours) > 2 * our_error, abs(theirs) > 2 * their_error
        verdict = "alike" if ours * theirs > 0 else "unlike"
        if not all(is_distinguished):
            blind = [
                side for side, tells in zip(("lab", "simulator"), is_distinguished, strict=True) if not tells
            ]
            verdict = f"not told apart by {' or '.join(blind)}"
        elif verdict == "unlike":
            against.append(
                f"{scenario}: the lab has {one} {ours:+.3f} against {other}, the simulator {theirs:+.3f}"
            )
        rows.append(
            [
                scenario,
                f"{one} - {other}",
                f"{ours:+.3f} ± {our_error:.3f}",
                f"{theirs:+.3f} ± {their_error:.3f}",
                verdict,
            ]
        )
    return rows, against


def main() -> int:
    """Compare; 1 where the two sides don't agree, or a rule was broken."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--simulator", required=True, help="its command, see above")
    parser.add_argument(
        "--day",
        action="append",
        required=True,
        metavar="SCENARIO=KIND:SEEDS",
        help="a scenario of the lab, and the simulator's days that are like it",
    )
    parser.add_argument("--seeds", default="1-8", help="the lab's (default 1-8)")
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="SCENARIO:KEY=VALUE",
        help="laid over a scenario of the lab",
    )
    parser.add_argument("--json", type=Path, help="where to keep the figures")
    arguments = parser.parse_args()
    print(machine(), flush=True)
    sides: dict[str, tuple[Side, Side]] = {}
    for text in arguments.day:
        scenario, _, there = text.partition("=")
        kind, _, seeds = there.rpartition(":")
        sets = [one.partition(":")[2] for one in arguments.set if one.partition(":")[0] == scenario]
        lab = Side(
            {
                variant: [play_inside(scenario, sets, seed, variant) for seed in seeds_of(arguments.seeds)]
                for variant in VARIANTS
            }
        )
        outside = Side(
            {
                variant: [play_outside(arguments.simulator, kind, seed, variant) for seed in seeds_of(seeds)]
                for variant in VARIANTS
            }
        )
        sides[scenario] = lab, outside
        print(f"{scenario}: played", file=sys.stderr, flush=True)
    problems: list[str] = []
    figures, pairs = list[list[str]](), list[list[str]]()
    for scenario, both in sides.items():
        for variant in VARIANTS:
            figures.append(
                [
                    scenario,
                    variant,
                    *(
                        cell
                        for side in both
                        for cell in (
                            spread(side.service(variant)),
                            f"{fmean(side.mark(variant) or [0.0]):.3f}",
                            f"{side.ranking().index(variant) + 1}",
                        )
                    ),
                ]
            )
            for name, side in zip(("lab", "simulator"), both, strict=True):
                problems += [
                    f"{scenario} {day.seed}, {variant}, {name}: {what}"
                    for day in side.days[variant]
                    for what in (day.wrong, *(f"broken rule {rule}" for rule in day.broken))
                    if what
                ]
        rows, against = judge(scenario, *both)
        pairs += rows
        problems += against
    print(
        table(
            ("scenario", "variant", "lab: service", "mark", "rank", "simulator: service", "mark", "rank"),
            figures,
        )
    )
    print()
    print(table(("scenario", "difference in service", "lab", "simulator", "order"), pairs))
    print()
    if CALM in sides:
        ours, theirs = (fmean(side.service(VARIANTS[0]) or [0.0]) for side in sides[CALM])
        print(
            f"service of the calm day: lab {ours:.3f}, simulator {theirs:.3f}, "
            f"{abs(ours - theirs):.3f} apart (sought: under {SOUGHT:g})"
        )
        if abs(ours - theirs) >= SOUGHT:
            problems.append("the calm day differs")
    print("\n".join(problems))
    if arguments.json:
        arguments.json.write_bytes(msgspec.json.format(msgspec.json.encode(sides), indent=2) + b"\n")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
