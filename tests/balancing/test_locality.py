"""Levels and the power of two choices, which all programs that forward requests share."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from coveport.balancing import DeduplicationScope, Effect, Endpoint, RequestClass, Rules
from coveport.balancing.locality import first_usable_level, less_busy_of_two

DRAWS = 4000


def test_the_whole_first_level_with_a_usable_candidate_is_returned() -> None:
    levels = [[], [1, 3], [5, 6], [8]]
    assert first_usable_level(levels, lambda number: number % 2 == 0) is levels[2]
    assert first_usable_level(levels, lambda number: number > 8) == ()
    assert first_usable_level([], bool) == ()


def test_no_level_after_the_first_usable_one_is_checked() -> None:
    checked: list[int] = []

    def is_usable(number: int) -> bool:
        checked.append(number)
        return number == 2

    first_usable_level([[1], [2, 3], [4]], is_usable)
    assert checked == [1, 2]


@pytest.mark.parametrize("order", ["ab", "ba"])
def test_the_less_busy_of_two_given_candidates_is_taken_and_the_first_on_a_tie(order: str) -> None:
    assert less_busy_of_two(order, {"a": 2, "b": 1}, None) == "b"
    assert less_busy_of_two(order, {"b": 1}, None) == "a", "a candidate without an entry has none in flight"
    assert less_busy_of_two(order, {}, None) == order[0]
    assert less_busy_of_two(order[:1], {}, None) == order[0]


def test_candidates_are_drawn_evenly_and_the_busiest_is_never_taken() -> None:
    rng = random.Random(1)
    taken = Counter(less_busy_of_two("abcd", {"a": 9}, rng) for _ in range(DRAWS))
    assert set(taken) == set("bcd")
    assert all(DRAWS / 3 * 0.9 < count < DRAWS / 3 * 1.1 for count in taken.values()), taken


def test_ties_of_drawn_candidates_are_broken_at_random() -> None:
    rng = random.Random(2)
    taken = Counter(less_busy_of_two("ab", {"a": 3, "b": 3}, rng) for _ in range(DRAWS))
    assert all(DRAWS * 0.45 < count < DRAWS * 0.55 for count in taken.values()) and len(taken) == 2, taken


def test_a_tie_break_is_called_only_for_ties_and_may_have_no_preference() -> None:
    compared: list[tuple[int, int]] = []

    def lower(first: int, second: int) -> int | None:
        compared.append((first, second))
        return min(first, second) if first + second < 10 else None

    assert less_busy_of_two((1, 0), {}, None, lower) == 0, "a candidate may be falsy"
    assert less_busy_of_two((9, 8), {}, None, lower) == 9
    assert less_busy_of_two((1, 0), {0: 1}, None, lower) == 1
    assert compared == [(1, 0), (9, 8)]


def test_one_candidate_is_taken_without_a_draw() -> None:
    rng = random.Random(3)
    assert less_busy_of_two([7], {7: 100}, rng) == 7


@pytest.mark.parametrize(
    ("group", "covered"),
    [(DeduplicationScope.ALL, "abc"), (DeduplicationScope.ZONE, "ab"), (DeduplicationScope.CELL, "a")],
)
def test_the_hosts_that_a_group_covers(group: DeduplicationScope, covered: str) -> None:
    host = Endpoint(0, zone=1, cell=4)
    localities = {"a": (1, 4), "b": (1, 5), "c": (2, 4)}
    others = {name: Endpoint(1, zone=zone, cell=cell) for name, (zone, cell) in localities.items()}
    assert {name for name, other in others.items() if group.covers(host, other)} == set(covered)


def test_the_capacity_of_a_host_grows_linearly_during_slow_start() -> None:
    rules = Rules(cold_from=0.2, warm_after_ms=1000.0)
    fractions = [rules.capacity_fraction(age) for age in (-5.0, 0.0, 500.0, 1000.0)]
    assert fractions == pytest.approx([0.2, 0.2, 0.6, 1.0])


def test_classes_that_may_be_repeated_at_any_host() -> None:
    repeatable = {
        (effect, group)
        for effect in Effect
        for group in DeduplicationScope
        if RequestClass(effect=effect, group=group).is_repeatable_anywhere
    }
    assert repeatable == {(Effect.SAFE, group) for group in DeduplicationScope} | {
        (Effect.KEYED, DeduplicationScope.ALL)
    }
