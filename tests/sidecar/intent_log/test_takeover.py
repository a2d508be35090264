"""The pure half of work in hand: a record's life, its age, and what a successor does."""

from __future__ import annotations

import itertools
import random
import zlib
from math import inf

import msgspec
import pytest

from coveport.balancing.interface import NEVER_RAN, Effect, Group, Outcome
from coveport.sidecar.intent_log.observed_age import NOTES, Ages, Known
from coveport.sidecar.intent_log.record import (
    MOVES,
    UNRUN,
    Attempt,
    End,
    Record,
    RecordError,
    Rules,
    State,
    decode,
    encode,
)
from coveport.sidecar.intent_log.takeover import Do, decide

KEYED = Rules(Effect.KEYED, Group.CELL, 6000.0, 3)


def record(rules: Rules = KEYED, **more: object) -> Record:
    return Record(id="a", key="k", cls="earn", digest="d", rules=rules, owner="s0#1", token=4, **more)  # type: ignore[arg-type]


def attempt(ended: Outcome | None = None, cell: int = 1, zone: int = 0) -> Attempt:
    return Attempt("n1", zone, cell, "s0#1", ended)


def test_the_life_of_one_that_is_served() -> None:
    one = record().sending(attempt())
    one = one.ended(0, Outcome.TIMEOUT).sending(attempt()).ended(1, Outcome.OK)
    assert one.state is State.ANSWERED and one.closed(End.SERVED).end is End.SERVED


@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("other", State)
def test_no_way_but_those_of_the_table(state: State, other: State) -> None:
    one = record(state=state)
    if other in MOVES[state]:
        assert one.to(other).state is other
    else:
        with pytest.raises(RecordError):
            one.to(other)


@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("outcome", [None, *Outcome])
def test_what_may_have_run_is_never_told_as_never_run(end: End, outcome: Outcome | None) -> None:
    one = record(state=State.SENDING, attempts=(attempt(outcome),))
    if end is End.SERVED or (end in UNRUN and outcome not in NEVER_RAN):
        with pytest.raises(RecordError):
            one.closed(end)
    else:
        assert one.closed(end).end is end


def test_the_first_word_on_an_attempt_counts_and_tries_are_counted_over_all_instances() -> None:
    one = record().sending(attempt()).ended(0, Outcome.OK)
    assert one.ended(0, Outcome.RESET) == one
    two = record(Rules(Effect.KEYED, Group.CELL, 6000.0, 1)).sending(attempt()).claimed("s1#1", 9)
    with pytest.raises(RecordError, match="by all instances together"):
        two.sending(attempt())


def test_a_record_is_read_as_it_was_written_and_a_later_one_is_left_alone() -> None:
    one = record().sending(attempt(Outcome.RESET))
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
            record(Rules(effect, group, 6000.0, most)),
            attempts=attempts,
            key=key,
            state=State.SENDING if made else State.TAKEN,
        )
        found = decide(one, left, age, 100.0)
        risky = any(word != "unsent" for word in made)
        try_left = left > 100.0 and len(made) < most
        if not risky:
            wanted = Do.SEND if effect is not Effect.UNSAFE and try_left else Do.NEVER_RAN
        elif effect is Effect.UNSAFE or not try_left:
            wanted = Do.UNKNOWN
        elif effect is Effect.SAFE:
            wanted = Do.SEND
        else:
            together = "out elsewhere" not in made or group is Group.ALL
            wanted = Do.ASK_AGAIN if key and age + 100.0 < 6000.0 and together else Do.UNKNOWN
        assert found.do is wanted, (effect, group, made, left, age, most, key)
        assert found.rule
        if found.do is Do.ASK_AGAIN:
            assert (
                found.like is not None and found.like.may_have_run and found.within_ms <= 6000.0 - age - 100.0
            )
        # The rules themselves, whatever the table says.
        if effect is Effect.UNSAFE:
            assert found.do not in (Do.SEND, Do.ASK_AGAIN)
        if found.do is Do.NEVER_RAN:
            assert not one.may_have_run


def test_what_is_answered_is_kept_and_what_is_closed_left() -> None:
    one = record().sending(attempt()).ended(0, Outcome.OK)
    assert decide(one, 500.0, inf, 100.0).do is Do.KEEP
    assert decide(one.closed(End.SERVED), 500.0, 0.0, 100.0).do is Do.NOTHING


# Ages.


def test_nothing_is_known_of_what_was_there_before_us() -> None:
    ages = Ages()
    assert ages.at_most(10.0, 5) == inf
    ages.told(1.0, 5)
    assert ages.at_most(10.0, 5) == inf and ages.at_most(10.0, 6) == 9.0


@pytest.mark.parametrize("seed", range(50))
def test_no_age_is_told_too_low(seed: int) -> None:
    """Answers overtake each other, the clock has any pace: the true age is never above the bound."""
    chance = random.Random(seed)
    ages, now, revision, written, pace = Ages(64), 0.0, 1, {1: 0.0}, chance.uniform(0.5, 2.0)
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
            ages.told(one[1] * pace, one[2])
        probe = chance.choice(list(written))
        assert ages.at_most(now * pace, probe) >= (now - written[probe]) * pace - 1e-9


def test_nothing_is_known_to_be_older_than_it_is() -> None:
    """And in the end all is known to be old enough, however long it goes on."""
    for seed in range(30):
        chance = random.Random(seed)
        span = chance.choice((0.5, 20.0, 600.0))
        known, now, revision, written = Known(span), 100.0, 5, {5: 90.0}
        for _ in range(400):
            now += chance.uniform(0.0, span / 50)
            if chance.random() < 0.5:
                revision += 1
                written[revision] = now
            if chance.random() < 0.4:
                known.note(
                    now,
                    chance.choice((revision, max(5, revision - 3)))
                    if not known._noted
                    else max(known._noted[-1][1], revision - chance.choice((0, 0, 3))),
                )
            probe = chance.choice(list(written))
            assert known.at_least(now, probe) <= now - written[probe] + 1e-9
        for _ in range(3):
            known.note(now, revision)
            now += span
        assert known.at_least(now, revision) >= span and known.at_least(now, 5) >= span
        assert len(known._noted) <= NOTES + 3
    assert Known(10.0).at_least(99.0, 1) == 0.0
