"""Two sides of played days: which differences are beyond chance, and which one run or a few can't tell.

A side is an outcome's file, a sweep's folder, or a pattern that names several files. Days pair where both
sides have the same scenario, seed and parameters; what is compared then is the difference within each pair.
Days that share scenario and seed are averaged first, as they share what was drawn.
"""

from __future__ import annotations

import glob
import math
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from coveport.testbed.sweep import Cell, Judged

HIGHER_IS_BETTER = ("service", "worst_10s", "worst_class", "mark")


class CompareError(Exception):
    """The sides can't be compared; its text is one line."""


class Day(Struct):
    """One outcome, and the parameters that it was played with."""

    judged: Judged
    params: dict[str, str]
    file: str


class Side(Struct):
    """What is on one side."""

    name: str
    days: int  # void ones left out
    void: int
    kept: int  # days on which no rule was broken
    met: int  # days that met all expectations


class Difference(Struct):
    """One figure on both sides."""

    figure: str
    days: int  # that have it: pairs, or the fewer of both sides
    a: float  # mean
    b: float
    difference: float  # mean of B less that of A
    low: float | None = None  # of its 95% interval
    high: float | None = None
    p: float | None = None  # of chance alone giving as much
    p_holm: float | None = None  # the same, raised for the number of figures
    equal: bool = False  # on all days: nothing to test, and no part of the correction
    beyond: bool = False  # beyond chance: p_holm is 5% at most
    better: str = ""  # "A" or "B" where it is


class Comparison(Struct):
    """All figures, and what they come to."""

    a: Side
    b: Side
    paired: str  # by what: "scenario, seed and parameters", "scenario and seed", or empty: not at all
    pairs: int
    days: int  # independent ones, that share no draw: of the pairs, or of the side that has fewer
    left_out: int  # places (scenario, seed and parameters) that only one side has
    same: int  # pairs that were the same to the last byte (their traces agree)
    method: str
    differences: list[Difference]
    verdict: list[str]


# Reading.


class _File(Struct):
    """A cell of a sweep; a bare outcome has neither field."""

    cell: Cell | None = None
    outcome: msgspec.Raw = msgspec.Raw()


def _read(path: Path) -> Day:
    try:
        data = path.read_bytes()
        told = msgspec.json.decode(data, type=_File)
        judged = msgspec.json.decode(told.outcome if bytes(told.outcome) else data, type=Judged)
    except OSError as problem:
        raise CompareError(f"{path}: {problem.strerror}") from problem
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise CompareError(f"{path}: not an outcome: {problem}") from problem
    return Day(judged, told.cell.params if told.cell else {}, str(path))


def read(name: str) -> list[Day]:
    """The outcomes of a file, of a sweep's folder, or of all files that a pattern fits, in order of names.

    CompareError where there is none, or one that is no outcome.
    """
    path = Path(name)
    if path.is_dir():
        found = sorted((path / "cells").glob("[!.]*.json"))
    elif path.exists() or not glob.has_magic(name):
        found = [path]
    else:
        found = sorted(Path(one) for one in glob.glob(name, recursive=True))
    if not found:
        raise CompareError(f"{name}: no outcomes there")
    return [_read(one) for one in found]


# Pairing.

Key = tuple[Any, ...]
Values = dict[str, float]


def _full(day: Day) -> Key:
    return *_drawn(day), tuple(sorted(day.params.items()))


def _drawn(day: Day) -> Key:
    return day.judged.scenario.name or day.judged.scenario.title, day.judged.seed


def _grouped(days: Sequence[Day], key: Callable[[Day], Key]) -> dict[Key, list[Day]]:
    groups: dict[Key, list[Day]] = {}
    for day in days:
        groups.setdefault(key(day), []).append(day)
    return groups


def _pairs(a: Sequence[Day], b: Sequence[Day]) -> tuple[str, list[tuple[list[Day], list[Day]]], int]:
    """What they pair by, the pairs (each side may have played a day several times), and who has no partner.

    Nothing where fewer than half of the smaller side have a partner.
    """
    ways = [("scenario, seed and parameters", _full)]
    if all(len({_full(day)[2:] for day in days}) == 1 for days in (a, b)):
        ways.append(("scenario and seed", _drawn))
    for words, key in ways:
        first, second = _grouped(a, key), _grouped(b, key)
        pairs = [(days, second[one]) for one, days in first.items() if one in second]
        if pairs and 2 * len(pairs) >= min(len(first), len(second)):
            return words, pairs, len(first) + len(second) - 2 * len(pairs)
    return "", [], 0


def _averaged(several: Sequence[Values]) -> Values:
    """The mean of each figure over those that have it."""
    names = dict.fromkeys(name for values in several for name in values)
    return {name: _mean([values[name] for values in several if name in values]) for name in names}


def _by_draw(rows: Sequence[tuple[Key, Values]]) -> list[Values]:
    """One set of figures for each drawn day."""
    groups: dict[Key, list[Values]] = {}
    for key, values in rows:
        groups.setdefault(key, []).append(values)
    return [_averaged(several) for several in groups.values()]


def _mean(values: Sequence[float]) -> float:
    return math.fsum(values) / len(values)


# Comparing.


def compare(
    a: Sequence[Day], b: Sequence[Day], names: tuple[str, str] = ("A", "B"), resamples: int = 10_000
) -> Comparison:
    """Compare two sides; CompareError where one has no day that counts, or mixes variants or grounds.

    `resamples`: of each interval and test; the same days give the same comparison.
    """
    from coveport.testbed import intervals

    sides, live = [], []
    for letter, name, days in zip("AB", names, (a, b), strict=True):
        counting = [day for day in days if not day.judged.late]
        if not counting:
            raise CompareError(f"{letter} ({name}): all its outcomes are void, the machine ran late")
        mixed = dict.fromkeys(f"{day.judged.variant or 'base'} {day.judged.ground}" for day in counting)
        if len(mixed) > 1:
            raise CompareError(
                f"{letter} ({name}) mixes variants or grounds ({', '.join(mixed)}): "
                "name one of them by a pattern"
            )
        sides.append(
            Side(
                name,
                len(counting),
                len(days) - len(counting),
                kept=sum(day.judged.lawful for day in counting),
                met=sum(day.judged.met for day in counting),
            )
        )
        live.append(counting)
    paired, pairs, left_out = _pairs(*live)
    if paired:
        rows = []
        for pair in pairs:
            one, other = (_averaged([day.judged.figures() for day in days]) for days in pair)
            # Guards against a figure that one of a pair lacks: it would be averaged over unlike days.
            shared = [name for name in one if name in other]
            rows.append(
                (
                    _drawn(pair[0][0]),
                    {name: one[name] for name in shared},
                    {name: other[name] for name in shared},
                )
            )
        first = _by_draw([(key, one) for key, one, _ in rows])
        second = _by_draw([(key, other) for key, _, other in rows])
    else:
        first, second = (_by_draw([(_drawn(day), day.judged.figures()) for day in days]) for days in live)
    differences = _differences(first, second, bool(paired), resamples)
    tested = _tested(differences)
    for told, raised in zip(tested, intervals.holm([one.p or 0.0 for one in tested]), strict=True):
        told.p_holm = raised
        told.beyond = raised <= 1.0 - intervals.LEVEL
        if told.beyond:
            told.better = "B" if (told.difference > 0) == (told.figure in HIGHER_IS_BETTER) else "A"
    comparison = Comparison(
        sides[0],
        sides[1],
        paired,
        len(pairs),
        min(len(first), len(second)),
        left_out,
        sum(len({day.judged.trace for day in [*one, *other]} - {""}) == 1 for one, other in pairs),
        f"95% BCa bootstrap intervals of the mean difference ({resamples:,} resamples, fixed seed); "
        f"beyond chance: permutation test, Holm's correction over {len(tested)} figures, 5% in all",
        differences,
        [],
    )
    comparison.verdict = _verdict(comparison, len(first), len(second))
    return comparison


def _differences(first: list[Values], second: list[Values], paired: bool, resamples: int) -> list[Difference]:
    """Of all figures that both sides have; paired: equal places are pairs, and have equal figures."""
    from coveport.testbed import intervals

    found = []
    for name in dict.fromkeys(name for values in first for name in values):
        a, b = ([values[name] for values in side if name in values] for side in (first, second))
        if not b:
            continue
        told = Difference(name, min(len(a), len(b)), _mean(a), _mean(b), _mean(b) - _mean(a))
        found.append(told)
        if told.days < 2:
            continue
        if a == b if paired else len({*a, *b}) == 1:
            told.equal, told.p, told.low, told.high = True, 1.0, 0.0, 0.0
            continue
        if paired:
            gaps = [other - one for one, other in zip(a, b, strict=True)]
            told.p, bounds = intervals.p_of_pairs(gaps, resamples), intervals.interval(gaps, resamples)
        else:
            told.p = intervals.p_of_gap(a, b, resamples)
            bounds = intervals.interval_of_gap(a, b, resamples)
        if bounds:
            told.low, told.high = bounds
    return found


def _tested(differences: Sequence[Difference]) -> list[Difference]:
    """Those that share the level; what is equal on all days can't be called different, and takes no part."""
    return [one for one in differences if one.p is not None and not one.equal]


def signed(value: float) -> str:
    """A difference in four digits, with its sign."""
    return f"{value:+.4g}"


def _verdict(told: Comparison, days_a: int, days_b: int) -> list[str]:
    """What it comes to, in words; a line each."""
    from coveport.testbed import intervals

    words = []
    for letter, side in (("A", told.a), ("B", told.b)):
        if side.kept < side.days:
            words.append(
                f"{letter} broke rules on {side.days - side.kept} of {side.days} days: "
                "that is no matter of chance, and comes before all figures."
            )
        if side.void:
            words.append(f"{letter}: void days left out, as the machine ran late: {side.void}.")
    if told.left_out:
        words.append(f"Days left out, as only one side has them: {told.left_out}.")
    tested = _tested(told.differences)
    if told.pairs and told.same == told.pairs:
        return [*words, "All pairs are the same to the last byte: the sides do not differ on these days."]
    if min(days_a, days_b) < 2:
        return [
            *words,
            "One run of each can't tell: the differences shown may be chance alone. "
            "Play more seeds (coveport lab sweep --seeds 1-20).",
        ]
    if not tested:
        return [*words, "All figures are equal on all days."]
    beyond = [one for one in tested if one.beyond]
    for letter, other in (("B", "A"), ("A", "B")):
        won = [
            f"{one.figure} ({signed(one.difference)}{_between(one)})"
            for one in beyond
            if one.better == letter
        ]
        if won:
            words.append(f"{letter} is better than {other} beyond chance in: {', '.join(won)} (B less A).")
    if not beyond:
        words.append(f"No difference beyond chance in any of {len(tested)} figures.")
        service = next((one for one in tested if one.figure == "service" and one.low is not None), None)
        if service is not None:
            words.append(
                f"That does not prove them equal: service may differ by anything"
                f"{_between(service).removeprefix(',')}."
            )
    elif len(beyond) < len(tested):
        words.append(f"The other {len(tested) - len(beyond)} figures: nothing beyond chance.")
    least = intervals.smallest_p(told.days) if told.paired else intervals.smallest_p_of_gap(days_a, days_b)
    if least * len(tested) > 1.0 - intervals.LEVEL:
        words.append(
            f"{told.days} days are too few to call any of {len(tested)} figures beyond chance, "
            f"however large: {intervals.pairs_needed(len(tested))} pairs are needed."
        )
    return words


def _between(one: Difference) -> str:
    if one.low is None or one.high is None:
        return ""
    return f", from {signed(one.low)} to {signed(one.high)}"
