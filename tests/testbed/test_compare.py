"""What is beyond chance, and what is not."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import msgspec
import outcomes
import pytest

from coveport.testbed import compare, intervals, sweep
from coveport.testbed.compare import CompareError, Comparison, Day


def day(seed: int, service: float, params: dict[str, str] | None = None, **more: Any) -> Day:
    told = outcomes.outcome(seed, service, **{"recovery_s": {}, "latency_ms": {}, **more})
    return Day(msgspec.convert(told, sweep.Judged), params or {}, "")


def noisy(draw: random.Random, gain: float = 0.0, seeds: range = range(8)) -> list[Day]:
    """Service differs much between seeds, and by `gain` and a little noise between sides."""
    return [
        day(
            seed,
            random.Random(f"day {seed}").uniform(0.6, 0.9) + gain + draw.gauss(0, 0.004),
            waste=draw.gauss(0.1, 0.01),
        )
        for seed in seeds
    ]


def found(told: Comparison) -> list[tuple[str, str]]:
    return [(one.figure, one.better) for one in told.differences if one.beyond]


def test_a_difference_is_found_in_pairs_though_days_are_unlike() -> None:
    draw, seeds = random.Random(2), range(12)
    told = compare.compare(noisy(draw, 0, seeds), noisy(draw, 0.01, seeds))
    assert told.paired == "scenario, seed and parameters" and found(told) == [("service", "B")]
    assert 0 < (told.differences[0].low or 0) < 0.01 < (told.differences[0].high or 0) < 0.02
    assert told.verdict[0].startswith("B is better than A beyond chance in: service (+0.0")
    assert "Holm's correction over 2 figures" in told.method
    assert found(compare.compare(noisy(draw, 0, seeds), noisy(draw, -0.01, seeds))) == [("service", "A")]


def test_chance_is_called_a_difference_in_a_twentieth_of_cases_at_most() -> None:
    draw = random.Random("none")

    def called(seeds: range, times: int) -> int:
        return sum(
            bool(found(compare.compare(noisy(draw), noisy(draw, seeds=seeds), resamples=500)))
            for _ in range(times)
        )

    assert called(range(8), 100) <= 8  # pairs
    assert called(range(100, 108), 60) <= 6  # no pairs
    sides = noisy(draw), noisy(draw)
    told = compare.compare(*sides)
    assert told == compare.compare(*sides)
    assert told.verdict[0] == "No difference beyond chance in any of 2 figures."
    assert "service may differ by anything from" in told.verdict[1]


def test_intervals_hold_the_truth_as_often_as_they_say() -> None:
    draw = random.Random("coverage")
    samples = [[draw.expovariate(1.0) for _ in range(20)] for _ in range(200)]
    bounds = [intervals.interval(values, resamples=500) for values in samples]
    held = sum(one is not None and one[0] <= 1.0 <= one[1] for one in bounds)
    assert 176 <= held <= 196  # of 200; skewed values give a bit less than 95%


def test_one_run_cannot_tell_and_few_days_are_too_few() -> None:
    told = compare.compare([day(1, 0.9)], [day(1, 0.5)])
    assert len(told.verdict) == 1 and told.verdict[0].startswith("One run of each can't tell")
    assert told.differences[0].difference == pytest.approx(-0.4)
    assert told.differences[0].low is told.differences[0].p is None and not found(told)
    few = compare.compare([day(seed, 0.5) for seed in range(5)], [day(seed, 0.9) for seed in range(5)])
    assert few.verdict[-1].endswith("any of 1 figures beyond chance, however large: 6 pairs are needed.")
    assert intervals.smallest_p(6) <= 0.05 < intervals.smallest_p(5) and intervals.pairs_needed(2) == 7


def test_days_of_one_draw_count_once() -> None:
    a, b = (
        [day(seed, service, {"level": level}) for seed in range(6) for level in levels]
        for service, levels in ((0.5, ("1", "2", "3")), (0.6, ("1", "2")))
    )
    told = compare.compare(a, b)
    assert (told.pairs, told.days, told.left_out) == (12, 6, 6)
    other = compare.compare(a[::3], b[1::2])
    assert (other.paired, other.pairs) == ("scenario and seed", 6)


def test_rules_come_first_and_void_days_do_not_count() -> None:
    a = [day(seed, 0.5) for seed in range(9)]
    told = compare.compare(a, [day(0, 0.6, **outcomes.BROKEN), day(1, 0.6, late=True), *a[2:]])
    assert told.verdict[0].startswith("B broke rules on 1 of 8 days") and told.pairs == 8
    assert compare.compare(a, a).verdict[0].startswith("All pairs are the same to the last byte")
    alike = compare.compare(a, [day(seed, 0.5, trace="x") for seed in range(9)])
    assert alike.verdict == ["All figures are equal on all days."] and alike.differences[0].equal
    with pytest.raises(CompareError, match="all its outcomes are void"):
        compare.compare(a, [day(1, 0.5, late=True)])
    with pytest.raises(CompareError, match=r"mixes variants or grounds \(x virtual, y virtual\)"):
        compare.compare(a, [day(1, 0.5, variant="x"), day(1, 0.6, variant="y")])


def test_a_figure_that_one_of_a_pair_lacks_is_left_out_of_that_pair() -> None:
    a = [day(seed, 0.5, waste=0.1 if seed else None) for seed in range(3)]
    told = compare.compare(a, [day(seed, 0.6) for seed in range(3)])
    assert [(one.figure, one.days) for one in told.differences] == [("service", 3), ("waste", 2)]


def test_files_folders_and_patterns_are_read(tmp_path: Path) -> None:
    cells = tmp_path / "cells"
    cells.mkdir()
    cell = {"cell": {"params": {"k": "v"}, "variant": "", "seed": 4}, "outcome": outcomes.outcome(4)}
    for name, text in (("a", json.dumps(outcomes.outcome(3))), ("b", json.dumps(cell)), (".c", "half")):
        (cells / f"{name}.json").write_text(text)
    told = compare.read(str(tmp_path))
    assert [(one.judged.seed, one.params) for one in told] == [(3, {}), (4, {"k": "v"})]
    assert compare.read(str(cells / "[ab].json")) == told
    for name, text in (("none", "No such file"), ("z*", "no outcomes there"), (".c.json", "not an outcome")):
        with pytest.raises(CompareError, match=rf"^[^\n]*{text}[^\n]*$"):
            compare.read(str(cells / name))


def test_holm() -> None:
    assert intervals.holm([0.01, 0.04, 0.03]) == pytest.approx([0.03, 0.06, 0.06])
