"""Levels and the less busy of two: what the sidecar and any other program that forwards requests share."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from coveport.balancing import DeduplicationScope, Effect, Endpoint, RequestClass, Rules
from coveport.balancing.locality import first_usable_level, less_busy_of_two

DRAWS = 4000


def test_the_first_level_with_a_usable_candidate_is_taken_whole() -> None:
    levels = [[], [1, 3], [5, 6], [8]]
    assert first_usable_level(levels, lambda number: number % 2 == 0) is levels[2]
    assert first_usable_level(levels, lambda number: number > 8) == ()
    assert first_usable_level([], bool) == ()


def test_no_level_behind_the_first_usable_one_is_looked_at() -> None:
    asked: list[int] = []

    def is_usable(number: int) -> bool:
        asked.append(number)
        return number == 2

    first_usable_level([[1], [2, 3], [4]], is_usable)
    assert asked == [1, 2]


@pytest.mark.parametrize("order", ["ab", "ba"])
def test_of_two_given_the_less_busy_is_taken_and_of_equals_the_first(order: str) -> None:
    assert less_busy_of_two(order, {"a": 2, "b": 1}, None) == "b"
    assert less_busy_of_two(order, {"b": 1}, None) == "a", "one that is not named has none in flight"
    assert less_busy_of_two(order, {}, None) == order[0]
    assert less_busy_of_two(order[:1], {}, None) == order[0]


def test_two_of_many_are_drawn_evenly_and_the_busiest_never_taken() -> None:
    chance = random.Random(1)
    taken = Counter(less_busy_of_two("abcd", {"a": 9}, chance) for _ in range(DRAWS))
    assert set(taken) == set("bcd")
    assert all(DRAWS / 3 * 0.9 < count < DRAWS / 3 * 1.1 for count in taken.values()), taken


def test_equals_of_two_that_are_drawn_fall_at_random() -> None:
    chance = random.Random(2)
    taken = Counter(less_busy_of_two("ab", {"a": 3, "b": 3}, chance) for _ in range(DRAWS))
    assert all(DRAWS * 0.45 < count < DRAWS * 0.55 for count in taken.values()) and len(taken) == 2, taken


def test_a_tie_break_is_asked_for_equals_alone_and_may_have_no_preference() -> None:
    asked: list[tuple[int, int]] = []

    def lower(one: int, other: int) -> int | None:
        asked.append((one, other))
        return min(one, other) if one + other < 10 else None

    assert less_busy_of_two((1, 0), {}, None, lower) == 0, "a candidate may be falsy"
    assert less_busy_of_two((9, 8), {}, None, lower) == 9
    assert less_busy_of_two((1, 0), {0: 1}, None, lower) == 1
    assert asked == [(1, 0), (9, 8)]


def test_one_candidate_is_taken_without_a_draw() -> None:
    chance = random.Random(3)
    assert less_busy_of_two([7], {7: 100}, chance) == 7


@pytest.mark.parametrize(
    ("group", "covered"),
    [(DeduplicationScope.ALL, "abc"), (DeduplicationScope.ZONE, "ab"), (DeduplicationScope.CELL, "a")],
)
def test_what_a_group_covers(group: DeduplicationScope, covered: str) -> None:
    home = Endpoint(0, zone=1, cell=4)
    places = {"a": (1, 4), "b": (1, 5), "c": (2, 4)}
    others = {name: Endpoint(1, zone=zone, cell=cell) for name, (zone, cell) in places.items()}
    assert {name for name, other in others.items() if group.covers(home, other)} == set(covered)


def test_a_cold_host_warms_in_a_straight_line() -> None:
    rules = Rules(cold_from=0.2, warm_after_ms=1000.0)
    shares = [rules.capacity_fraction(age) for age in (-5.0, 0.0, 500.0, 1000.0)]
    assert shares == pytest.approx([0.2, 0.2, 0.6, 1.0])


def test_what_may_be_repeated_at_any_host() -> None:
    harmless = {
        (effect, group)
        for effect in Effect
        for group in DeduplicationScope
        if RequestClass(effect=effect, group=group).is_repeatable_anywhere
    }
    assert harmless == {(Effect.SAFE, group) for group in DeduplicationScope} | {
        (Effect.KEYED, DeduplicationScope.ALL)
    }
