"""The pure half of work in hand: a record's life, its age, and what a successor does."""

from __future__ import annotations

import itertools
import random
import zlib
from math import inf
from typing import Any

import msgspec
import pytest

from coveport.balancing.interface import NEVER_RAN, Effect, Group, Outcome
from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.observed_age import LOWER_BOUND_STEPS, AgeLowerBound, AgeUpperBound
from coveport.sidecar.intent_log.record import (
    NOT_EXECUTED,
    TRANSITIONS,
    Attempt,
    ExecutionPolicy,
    FinalStatus,
    Record,
    RecoveryPoint,
)
from coveport.sidecar.intent_log.record_codec import decode, encode
from coveport.sidecar.intent_log.takeover import TakeoverAction, decide

KEYED = ExecutionPolicy(Effect.KEYED, Group.CELL, 6000.0, 3)


def record(policy: ExecutionPolicy = KEYED, **fields: Any) -> Record:
    return Record(
        id="a",
        idempotency_key="k",
        class_name="earn",
        request_digest="d",
        policy=policy,
        owner="s0#1",
        owner_token=4,
        **fields,
    )


def attempt(ended: Outcome | None = None, cell: int = 1, zone: int = 0) -> Attempt:
    return Attempt("n1", zone, cell, "s0#1", ended)


def test_the_life_of_one_that_is_served() -> None:
    one = record().with_attempt(attempt())
    one = one.with_outcome(0, Outcome.TIMEOUT).with_attempt(attempt()).with_outcome(1, Outcome.OK)
    assert (
        one.recovery_point is RecoveryPoint.ANSWERED
        and one.closed(FinalStatus.SERVED).final_status is FinalStatus.SERVED
    )


@pytest.mark.parametrize("state", RecoveryPoint)
@pytest.mark.parametrize("other", RecoveryPoint)
def test_no_way_but_those_of_the_table(state: RecoveryPoint, other: RecoveryPoint) -> None:
    one = record(recovery_point=state)
    if other in TRANSITIONS[state]:
        assert one.moved_to(other).recovery_point is other
    else:
        with pytest.raises(RecordError):
            one.moved_to(other)


@pytest.mark.parametrize("end", FinalStatus)
@pytest.mark.parametrize("outcome", [None, *Outcome])
def test_what_may_have_run_is_never_told_as_never_run(end: FinalStatus, outcome: Outcome | None) -> None:
    one = record(recovery_point=RecoveryPoint.SENDING, attempts=(attempt(outcome),))
    if end is FinalStatus.SERVED or (end in NOT_EXECUTED and outcome not in NEVER_RAN):
        with pytest.raises(RecordError):
            one.closed(end)
    else:
        assert one.closed(end).final_status is end


def test_the_first_word_on_an_attempt_counts_and_tries_are_counted_over_all_instances() -> None:
    one = record().with_attempt(attempt()).with_outcome(0, Outcome.OK)
    assert one.with_outcome(0, Outcome.RESET) == one
    two = (
        record(ExecutionPolicy(Effect.KEYED, Group.CELL, 6000.0, 1))
        .with_attempt(attempt())
        .claimed("s1#1", 9)
    )
    with pytest.raises(RecordError, match="by all instances together"):
        two.with_attempt(attempt())


def test_a_record_is_read_as_it_was_written_and_a_later_one_is_left_alone() -> None:
    one = record().with_attempt(attempt(Outcome.RESET))
    assert decode(encode(one)) == one
    body = msgspec.json.encode(msgspec.json.decode(encode(one)[8:]) | {"format": 2, "state": "dreamt"})
    with pytest.raises(RecordError, match="of format 2"):
        decode(b"%08x" % zlib.crc32(body) + body)
    data = encode(one)
    for place in range(len(data)):
        for bit in (1, 0x10, 0x80):
            with pytest.raises(RecordError, match=r"^[^\n]+$"):
                decode(data[:place] + bytes([data[place] ^ bit]) + data[place + 1 :])


# Every line of the table.

CASES = list(
    itertools.product(
        Effect,
        Group,
        [(), ("unsent",), ("out",), ("ran",), ("unsent", "out"), ("out", "out elsewhere")],
        [500.0, 0.0],
        [0.0, 5_800.0, 6_000.0, inf],
        [3, 2, 1],
        ["k", ""],
    )
)


@pytest.mark.parametrize("effect", Effect)
def test_the_table_line_by_line(effect: Effect) -> None:
    for kind, group, made, left, age, most, key in CASES:
        if kind is not effect or len(made) > most:
            continue
        attempts = tuple(
            {
                "unsent": attempt(Outcome.CONNECT_FAILED),
                "out": attempt(),
                "ran": attempt(Outcome.RESET),
                "out elsewhere": attempt(cell=2, zone=1),
            }[one]
            for one in made
        )
        one = msgspec.structs.replace(
            record(ExecutionPolicy(effect, group, 6000.0, most)),
            attempts=attempts,
            idempotency_key=key,
            recovery_point=RecoveryPoint.SENDING if made else RecoveryPoint.ACCEPTED,
        )
        found = decide(one, left, age, 100.0)
        risky = any(word != "unsent" for word in made)
        try_left = left > 100.0 and len(made) < most
        if not risky:
            wanted = (
                TakeoverAction.SEND
                if effect is not Effect.UNSAFE and try_left
                else TakeoverAction.CLOSE_NEVER_RAN
            )
        elif effect is Effect.UNSAFE or not try_left:
            wanted = TakeoverAction.CLOSE_UNKNOWN
        elif effect is Effect.SAFE:
            wanted = TakeoverAction.SEND
        else:
            together = "out elsewhere" not in made or group is Group.ALL
            wanted = (
                TakeoverAction.RETRY
                if key and age + 100.0 < 6000.0 and together
                else TakeoverAction.CLOSE_UNKNOWN
            )
        assert found.action is wanted, (effect, group, made, left, age, most, key)
        assert found.rule
        if found.action is TakeoverAction.RETRY:
            assert (
                found.previous is not None
                and found.previous.may_have_run
                and found.within_ms <= 6000.0 - age - 100.0
            )
        # The rules themselves, whatever the table says.
        if effect is Effect.UNSAFE:
            assert found.action not in (TakeoverAction.SEND, TakeoverAction.RETRY)
        if found.action is TakeoverAction.CLOSE_NEVER_RAN:
            assert not one.may_have_run


def test_what_is_answered_is_kept_and_what_is_closed_left() -> None:
    one = record().with_attempt(attempt()).with_outcome(0, Outcome.OK)
    assert decide(one, 500.0, inf, 100.0).action is TakeoverAction.KEEP_RESPONSE
    assert decide(one.closed(FinalStatus.SERVED), 500.0, 0.0, 100.0).action is TakeoverAction.NOTHING


# Ages.


def test_nothing_is_known_of_what_was_there_before_us() -> None:
    ages = AgeUpperBound()
    assert ages.at_most(10.0, 5) == inf
    ages.observe(1.0, 5)
    assert ages.at_most(10.0, 5) == inf and ages.at_most(10.0, 6) == 9.0


@pytest.mark.parametrize("seed", range(50))
def test_no_age_is_told_too_low(seed: int) -> None:
    """Answers overtake each other, the clock has any pace: the true age is never above the bound."""
    chance = random.Random(seed)
    ages, now, revision, written, pace = AgeUpperBound(64), 0.0, 1, {1: 0.0}, chance.uniform(0.5, 2.0)
    out: list[tuple[float, float, int]] = []  # when its answer comes, when it was sent, what it tells
    for _ in range(400):
        now += chance.expovariate(10)
        if chance.random() < 0.5:
            revision += 1
            written[revision] = now
        if chance.random() < 0.5:
            out.append((now + chance.expovariate(2), now, revision))
        for one in sorted(one for one in out if one[0] <= now):
            out.remove(one)
            ages.observe(one[1] * pace, one[2])
        probe = chance.choice(list(written))
        assert ages.at_most(now * pace, probe) >= (now - written[probe]) * pace - 1e-9


def test_nothing_is_known_to_be_older_than_it_is() -> None:
    """And in the end all is known to be old enough, however long it goes on."""
    for seed in range(30):
        chance = random.Random(seed)
        span = chance.choice((0.5, 20.0, 600.0))
        known, now, revision, written = AgeLowerBound(span), 100.0, 5, {5: 90.0}
        for _ in range(400):
            now += chance.uniform(0.0, span / 50)
            if chance.random() < 0.5:
                revision += 1
                written[revision] = now
            if chance.random() < 0.4:
                known.observe(
                    now,
                    chance.choice((revision, max(5, revision - 3)))
                    if not known._observations
                    else max(known._observations[-1][1], revision - chance.choice((0, 0, 3))),
                )
            probe = chance.choice(list(written))
            assert known.at_least(now, probe) <= now - written[probe] + 1e-9
        for _ in range(3):
            known.observe(now, revision)
            now += span
        assert known.at_least(now, revision) >= span and known.at_least(now, 5) >= span
        assert len(known._observations) <= LOWER_BOUND_STEPS + 3
    assert AgeLowerBound(10.0).at_least(99.0, 1) == 0.0
