"""What the measurements of the data plane's decisions count, on made reports; no bench is started."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks.policy_gap import KindOfRequest, split_gap
from benchmarks.policy_rounds import (
    CLEAR_WORTH,
    LEAST_PAIRS,
    Pair,
    Play,
    interval,
    is_clear,
    parse_seeds,
    read_play,
    summary,
)
from benchmarks.policy_sites import VARIANTS, scaled

KINDS = {"long": KindOfRequest(3.0, 0.9), "short": KindOfRequest(1.0, 0.3)}
SITE = """name = "some"
services = [
  { name = "s", servers = [{ zone = "a", count = 36 }, { zone = "b", count = 12 }], speeds = [] },
]
classes = [
  { name = "long", stream = { prompt_tokens = { mean = 200.0, max = 900 },
    chain = [{ tokens = { mean = 50.0 } }] } },
]
traffic = [ { zone = "a", per_s = 60.0, clients = 4 } ]
cross_region_ms = 35.0
"""


def report(**more: Any) -> dict[str, Any]:
    classes = [
        {"name": "long", "n": 100, "late": 10, "failed": 0, "refused": 0, "worth": 0.93},
        {"name": "short", "n": 300, "late": 0, "failed": 3, "refused": 3, "worth": 0.98},
    ]
    told = {
        "G": 0.8055,
        "served": 0.955,
        "parts": [["whole day", 0.7, 0.955], ["worst windows", 0.15, 0.9], ["worst class", 0.15, 0.8]],
        "prices": [["machine-seconds", 5.0, 0.118], ["1,000 tokens of shared parts read again", 42.0, 0.0]],
        "classes": classes,
        "all": {"late": 10, "failed": 3, "refused": 3},
        "breaks": {},
    }
    return {**told, **more}


def play(worth: float, rules: tuple[str, ...] = ()) -> Play:
    return Play(worth, 0.9, 1, 2, 0, 3.0, 0.8, rules)


def test_the_lines_sum_to_the_gap() -> None:
    lines = split_gap(report(), KINDS)
    assert sum(line.lost for line in lines) == pytest.approx(1 - 0.8055, abs=1e-9)
    by_cause = {line.cause: line.lost for line in lines}
    assert by_cause["worst windows"] == pytest.approx(0.015)
    assert by_cause["whole day: long late"] == pytest.approx(0.7 * 0.07 * 300 / 600)
    assert by_cause["whole day: short failed"] == by_cause["whole day: short refused"]


def test_a_report_is_read_into_a_play() -> None:
    read = read_play(report(breaks={"TWICE": 1}))
    assert (read.worth, read.late, read.read_again, read.worst_class) == (0.8055, 10, 42.0, 0.8)
    assert read.rules == ("TWICE",)


def test_the_interval_of_pairs() -> None:
    assert interval([0.1]) == (0.1, float("-inf"), float("inf"))
    middle, low, high = interval([0.0, 0.02, 0.01])
    assert middle == pytest.approx(0.01)
    assert (low, high) == pytest.approx((0.01 - 4.30 * 0.01 / 3**0.5, 0.01 + 4.30 * 0.01 / 3**0.5))


def test_an_answer_is_clear_only_after_enough_pairs() -> None:
    gains = [0.02 + 0.001 * (number % 2) for number in range(LEAST_PAIRS)]
    assert is_clear(gains) and not is_clear(gains[:-1])
    assert is_clear([0.0] * LEAST_PAIRS), "nothing is an answer, too"
    assert not is_clear([CLEAR_WORTH * (-1) ** number * 20 for number in range(LEAST_PAIRS)])


def test_the_table_names_days_and_broken_rules() -> None:
    pairs = [Pair("after", "site", "day", seed, play(0.8), play(0.81, ("TWICE",))) for seed in (1, 2)]
    rows = summary(pairs).splitlines()
    assert "site, day" in rows[2] and "+0.0100" in rows[2]
    assert rows[-1].rstrip(" |").endswith("2")


def test_seeds_are_ranges_and_single_ones() -> None:
    assert parse_seeds("1-3,9") == [1, 2, 3, 9]


@pytest.mark.parametrize(
    ("variant", "expected"),
    [
        ("long-prompts", ["mean = 600.0", "max = 2700", "mean = 150.0", "per_s = 20.0"]),
        ("short-prompts", ["mean = 50.0", "max = 225", "mean = 12.5", "per_s = 78.0"]),
        ("slow-third", ["speeds = [1.0, 1.0, 1.6]"]),
        ("far-regions", ["cross_region_ms = 105.0", 'zone = "b", count = 6', 'zone = "a", count = 36']),
    ],
)
def test_a_variant_differs_where_it_says(variant: str, expected: list[str]) -> None:
    changed = VARIANTS[variant](SITE)
    assert changed != SITE
    for text in expected:
        assert text in changed


def test_whole_numbers_stay_whole() -> None:
    assert scaled("count = 3", r"count = ([0-9.]+)", 0.1) == "count = 1"
