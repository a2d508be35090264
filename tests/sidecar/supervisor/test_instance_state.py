"""One instance's lifecycle, by all orders of what can happen to it."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Iterator
from functools import partial
from math import inf

import pytest

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.instance_state import (
    ACTIVE_STATES,
    TRANSITIONS,
    Command,
    Drain,
    ExitReason,
    Instance,
    Kill,
    Start,
    State,
)

TERMS = Fleet(name="h", loop=3, loop_s=10.0, rest_s=20.0, ready_s=2.0, stop_s=2.0, hung_s=1.0, backoff_s=0.1)
Event = Callable[[Instance, float], list[Command] | None]


def events(one: Instance, fresh: str) -> Iterator[tuple[str, float, Event]]:
    """What can happen now: a name, how much time passes before it, and the deed."""
    yield "want", 0.0, lambda it, now: it.want(now, True)
    yield "unwant", 0.0, lambda it, now: it.want(now, False)
    yield "retry", 0.0, lambda it, now: it.retry(now)
    for wait in (0.05, 3.0, 30.0):
        yield f"tick {wait}", wait, lambda it, now: it.tick(now)
    for life in {one.life, "old"} - {""}:
        yield f"ready {life}", 0.1, partial(_ready, life)
        yield f"stopping {life}", 0.1, partial(_stopping, life)
        yield f"replace {life}", 0.1, partial(_replace, life)
        for how in ExitReason:
            yield f"{how.value} {life}", 0.1, partial(_ended, life, how)
    if one.can_start(one.since + 100.0) and one.state is State.WAITING:
        yield "start", 0.0, lambda it, now: it.start(max(now, it.wait_until))
    if not one.life:
        yield "found", 0.1, lambda it, now: it.found(now, fresh)
        if one.state in ACTIVE_STATES:
            yield "started", 0.1, lambda it, now: it.started(now, fresh)
            yield "could not", 0.1, lambda it, now: it.on_start_failed(now, "no room")
            yield "unusable", 0.1, lambda it, now: it.unusable(now, "bad")
    elif one.state is State.STOPPING:
        yield "dropped", 0.0, lambda it, now: it.dropped(Drain(it.name, it.life))
    yield "hung", 0.1, lambda it, now: it.hung(now)


def _ready(life: str, one: Instance, now: float) -> None:
    one.ready(now, life)


def _stopping(life: str, one: Instance, now: float) -> None:
    one.stopping(now, life)


def _replace(life: str, one: Instance, now: float) -> list[Command]:
    return one.replace(now, life)


def _ended(life: str, how: ExitReason, one: Instance, now: float) -> None:
    one.ended(now, life, how)


def key(one: Instance) -> tuple[object, ...]:
    return (
        one.state,
        bool(one.life),
        one.wanted,
        one._failed,
        one._trying,
        len(one._failures),
        bool(one.replacing),
        bool(one._untold),
    )


def test_all_orders_of_events() -> None:
    """From no state an order for a life that is not the present one, or a start while one lives."""
    seen: dict[tuple[object, ...], Instance] = {}
    first = Instance("h-1", TERMS, random.Random(1))
    front: list[tuple[Instance, float, int]] = [(first, 0.0, 0)]
    seen[key(first)] = first
    reached, steps = {first.state}, 0
    while front:
        one, at, depth = front.pop(0)
        for name, wait, deed in events(one, f"life{steps}"):
            steps += 1
            after = copy.deepcopy(one)
            before, state = after.life, after.state
            now = at + wait
            for order in deed(after, now) or ():  # an AssertionError where the table has no such way
                if isinstance(order, Start):
                    assert not before and state is State.WAITING, name
                else:
                    assert isinstance(order, Drain | Kill) and order.life in (before, after.life), name
                    assert after.state in (State.STOPPING, State.KILLING), name
            if before and after.life != before:
                assert name.split(" ")[0] in {how.value for how in ExitReason} and not after.life, name
            assert (after.state in ACTIVE_STATES) or not after.life, name
            reached.add(after.state)
            if key(after) not in seen and depth < 14:
                seen[key(after)] = after
                front.append((after, now, depth + 1))
    assert reached == set(State) and len(seen) > 40 and steps > 1000
    for one in seen.values():
        comes_to_an_end(one)


def comes_to_an_end(one: Instance) -> None:
    """From there it is started again where it is wanted, and is gone in the end where it is not."""
    for wanted in (True, False):
        it, now = copy.deepcopy(one), 1000.0
        orders = it.want(now, wanted)
        for _ in range(200):
            now += 1.0
            orders += it.tick(now)
            if any(isinstance(order, Kill) and order.life == it.life for order in orders) and it.life:
                it.ended(now, it.life, ExitReason.CRASH)
            if not it.life and it.state in (State.STARTING, State.STOPPING, State.KILLING):
                it.on_start_failed(now, "never came")
            orders = it.start(now) + it.started(now, f"new{now}") if it.can_start(now) else []
            if it.state is State.STARTING and it.life.startswith("new"):
                it.ready(now, it.life)
            if it.state is (State.SERVING if wanted else State.DOWN):
                break
        assert it.state is (State.SERVING if wanted else State.DOWN), (key(one), wanted, it.state, it.why)


def test_the_table_has_a_way_out_of_everything() -> None:
    assert set(TRANSITIONS) == set(State) and all(TRANSITIONS[state] for state in State)


def serving(now: float = 0.0) -> Instance:
    one = Instance("h-1", TERMS, random.Random(1))
    one.want(now, True)
    one.start(now)
    one.started(now, "a")
    one.ready(now, "a")
    return one


def test_it_waits_longer_each_time_and_is_left_alone_in_the_end() -> None:
    one, now, waits = serving(), 0.0, []
    for life in ("a", "b", "c"):
        one.ended(now, life, ExitReason.CRASH)
        if one.state is State.BROKEN:
            break
        waits.append(one.wait_until - now)
        now = one.wait_until
        one.start(now)
        one.started(now, chr(ord(life) + 1))
    assert len(waits) == 2 and 0.05 <= waits[0] <= 0.1 <= waits[1] <= 0.2
    assert one.state is State.BROKEN and "3 times" in one.why
    one.tick(now + 30.0)
    one.start(now + 30.0)
    one.started(now + 30.0, "z")
    one.ended(now + 31.0, "z", ExitReason.CRASH)
    assert one.state is State.BROKEN, "one try after its rest, not three"


@pytest.mark.parametrize(
    ("how", "state"),
    [
        (ExitReason.CLEAN, State.WAITING),
        (ExitReason.HELD, State.WAITING),
        (ExitReason.UNUSABLE, State.BROKEN),
        (ExitReason.CRASH, State.WAITING),
    ],
)
def test_how_it_ended_says_what_follows(how: ExitReason, state: State) -> None:
    one = serving()
    one.ended(1.0, "a", how)
    assert one.state is state and one.wait_until < inf
    assert one.failing is (how is ExitReason.CRASH)


def test_a_planned_end_is_no_failure_and_a_late_one_is_killed() -> None:
    one = serving()
    assert one.replace(1.0, "older") == []
    assert one.replace(1.0, "a") == [Drain("h-1", "a")]
    assert one.tick(2.0) == [] and one.tick(3.5) == [Kill("h-1", "a")]
    one.ended(3.6, "a", ExitReason.CRASH)
    assert one.can_start(3.6) and not one.failing


def test_a_start_that_nobody_carried_out_is_tried_again() -> None:
    """The supervisor drops orders while its lease has lapsed for a moment: no process ever comes to be."""
    one = Instance("h-1", TERMS, random.Random(1))
    one.want(0.0, True)
    assert one.start(1.0) == [Start("h-1")]
    now = 1.0
    while now < 1.0 + 10 * TERMS.ready_s and one.state is not State.WAITING:
        now += 0.1
        one.tick(now)
    assert one.state is State.WAITING, f"without a process it is {one.state.value} for ever"
