"""One change of the data plane's decisions against the tree before it, on the same days with the same seeds.

    python -m benchmarks.policy_rounds BENCH BEFORE AFTER [AFTER ...] --site SITE [...] --day DAY [...] \
        --seeds 1-5 [--jobs 6] [--json FILE] [--why TEXT]

BENCH is the program that plays deployments; BEFORE and AFTER are checkouts. Each pair is the same day with
the same seed, played as a small twin without processor time, so that two plays of one tree differ by nothing.
Printed per site and day, and over all of them: the mean difference of the day's worth, its interval of 95 in
100 (Student's t over the pairs), the worst pair, late and failed requests, tokens read again, and every rule
that broke. It stops early once the interval over all pairs is clear (`is_clear`), after `LEAST_PAIRS`.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from math import sqrt
from pathlib import Path
from statistics import mean, stdev
from typing import Any

from benchmarks.common import table

LEAST_PAIRS = 10
"""Pairs before which a clear answer is not believed."""
CLEAR_WORTH = 0.005
"""An interval that lies beyond this, or within it on both sides, is clear."""
PLAY_S = 600.0
"""A play that takes longer is given up."""
STUDENT_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13)
"""Two-sided 95 in 100 points of Student's t for 1, 2, ... degrees of freedom."""
STUDENT_95_MANY = 2.05
"""... and for more."""


@dataclass(frozen=True)
class Play:
    """What one play of one tree came to."""

    worth: float  # after prices
    served: float  # part of the owed worth that was earned
    late: int
    failed: int
    refused: int
    read_again: float  # thousands of tokens of shared parts
    worst_class: float
    rules: tuple[str, ...]


@dataclass(frozen=True)
class Pair:
    """The same day with the same seed on both trees."""

    tree: str  # the name of the checkout that was played against the one before
    site: str
    day: str
    seed: int
    before: Play
    after: Play

    @property
    def gain(self) -> float:
        """How much more the day is worth afterwards."""
        return self.after.worth - self.before.worth


def read_play(report: dict[str, Any]) -> Play:
    """The figures of a report that the bench has written."""
    prices = {name: count for name, count, _ in report["prices"]}
    parts = {name: value for name, _, value in report["parts"]}
    told = report["all"]
    return Play(
        worth=report["G"],
        served=report["served"],
        late=told["late"],
        failed=told["failed"],
        refused=told["refused"],
        read_again=prices.get("1,000 tokens of shared parts read again", 0.0),
        worst_class=parts.get("worst class", 0.0),
        rules=tuple(sorted(report["breaks"])),
    )


def interval(gains: Sequence[float]) -> tuple[float, float, float]:
    """Mean and the ends of its interval; an unbounded one for a single pair."""
    middle = mean(gains)
    if len(gains) < 2:
        return middle, float("-inf"), float("inf")
    freedom = len(gains) - 1
    factor = STUDENT_95[freedom - 1] if freedom <= len(STUDENT_95) else STUDENT_95_MANY
    width = factor * stdev(gains) / sqrt(len(gains))
    return middle, middle - width, middle + width


def is_clear(gains: Sequence[float]) -> bool:
    """Whether more pairs would not change what is concluded."""
    if len(gains) < LEAST_PAIRS:
        return False
    _, low, high = interval(gains)
    return low > CLEAR_WORTH or high < -CLEAR_WORTH or (low > -CLEAR_WORTH and high < CLEAR_WORTH)


def parse_seeds(text: str) -> list[int]:
    """`1-5` or `1,4,9`."""
    seeds: list[int] = []
    for piece in text.split(","):
        first, _, last = piece.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


class Player:
    """Plays days, so many at once."""

    def __init__(self, bench: Path, jobs: int, why: str, more: Sequence[str]) -> None:
        self._bench = bench
        self._why = why
        self._more = more
        self._places = asyncio.Semaphore(jobs)

    async def play(self, tree: Path, site: Path, day: str, seed: int) -> Play | str:
        """One play; one line on why there is none."""
        with tempfile.TemporaryDirectory() as folder:
            report = Path(folder) / "report.json"
            command = [
                str(self._bench),
                "run",
                str(site),
                day,
                "--seed",
                str(seed),
                "--small",
                "--no-cpu",
                "--report",
                str(report),
                "--why",
                self._why,
                *self._more,
            ]
            async with self._places:
                process = await asyncio.create_subprocess_exec(
                    *command, cwd=tree, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
                )
                try:
                    said, _ = await asyncio.wait_for(process.communicate(), PLAY_S)
                except TimeoutError:
                    process.terminate()
                    await process.wait()
                    return f"took longer than {PLAY_S:g} s"
            if not report.exists():
                return said.decode(errors="replace").strip()[-300:] or "no report"
            return read_play(json.loads(report.read_text()))

    async def pairs(
        self, before: Path, afters: Sequence[Path], site: Path, day: str, seed: int
    ) -> list[Pair | str]:
        """All trees on one day, each against the one before."""
        one, *others = await asyncio.gather(*(self.play(tree, site, day, seed) for tree in (before, *afters)))
        found: list[Pair | str] = []
        for after, other in zip(afters, others, strict=True):
            if isinstance(one, str) or isinstance(other, str):
                problem = one if isinstance(one, str) else other
                found.append(f"{after.name} {site.stem} {day} {seed}: {problem}")
            else:
                found.append(Pair(after.name, site.stem, day, seed, one, other))
        return found


def row(name: str, pairs: Sequence[Pair]) -> tuple[str, ...]:
    """A line of the table."""
    middle, low, high = interval([pair.gain for pair in pairs])

    def both(figure: str, digits: int) -> str:
        trees = ("before", "after")
        values = [mean(getattr(getattr(pair, tree), figure) for pair in pairs) for tree in trees]
        return " / ".join(f"{value:.{digits}f}" for value in values)

    broken = sum(bool(pair.after.rules) for pair in pairs)
    return (
        name,
        str(len(pairs)),
        both("worth", 3),
        f"{middle:+.4f}",
        f"{low:+.4f} to {high:+.4f}",
        f"{min(pair.gain for pair in pairs):+.3f}",
        both("late", 1),
        both("failed", 1),
        both("refused", 1),
        both("read_again", 0),
        both("worst_class", 3),
        str(broken),
    )


HEAD = (
    "site, day",
    "pairs",
    "worth",
    "gain",
    "interval",
    "worst pair",
    "late",
    "failed",
    "refused",
    "1,000 read again",
    "worst class",
    "broken",
)


def summary(pairs: Sequence[Pair]) -> str:
    """The table over days and over all."""
    days = sorted({(pair.site, pair.day) for pair in pairs})
    rows = [
        row(f"{site}, {day}", [pair for pair in pairs if (pair.site, pair.day) == (site, day)])
        for site, day in days
    ]
    return table(HEAD, [*rows, row("all", pairs)])


async def measure(given: argparse.Namespace) -> tuple[list[Pair], list[str]]:
    """Play seed by seed until the answer is clear."""
    player = Player(given.bench, given.jobs, given.why, given.option)
    pairs: list[Pair] = []
    problems: list[str] = []
    turns = [(site, day, seed) for seed in given.seeds for site in given.site for day in given.day]
    for at in range(0, len(turns), given.jobs):
        asked = (player.pairs(given.before, given.after, *turn) for turn in turns[at : at + given.jobs])
        for found in await asyncio.gather(*asked):
            pairs += [one for one in found if isinstance(one, Pair)]
            problems += [one for one in found if isinstance(one, str)]
        if not given.all and all(is_clear(gains_of(pairs, tree.name)) for tree in given.after):
            break
    return pairs, problems


def gains_of(pairs: Sequence[Pair], tree: str) -> list[float]:
    """What one tree has gained so far."""
    return [pair.gain for pair in pairs if pair.tree == tree]


def main() -> int:
    """Play, print, keep; exit 1 where a play failed or a rule broke afterwards."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("bench", type=Path)
    parser.add_argument("before", type=Path)
    parser.add_argument("after", type=Path, nargs="+")
    parser.add_argument("--site", type=Path, action="append", required=True)
    parser.add_argument("--day", action="append", required=True)
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-5"))
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--all", action="store_true", help="don't stop early")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--why", default="trial: a round of policy, small twins without processor time")
    parser.add_argument("--option", action="append", default=[], help="a further option for the bench")
    given = parser.parse_args()
    pairs, problems = asyncio.run(measure(given))
    for tree in dict.fromkeys(pair.tree for pair in pairs):
        print(f"\n{tree}\n\n{summary([pair for pair in pairs if pair.tree == tree])}")
    for problem in problems:
        print(f"not played: {problem}")
    if given.json:
        given.json.write_text(json.dumps([asdict(pair) for pair in pairs], indent=1))
    return int(bool(problems) or not pairs or any(pair.after.rules for pair in pairs))


if __name__ == "__main__":
    sys.exit(main())
