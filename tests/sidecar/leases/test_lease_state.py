"""The holder's beliefs: its inequality, its tables, and that no order of a small world breaks them."""

from __future__ import annotations

import random
from typing import TypeVar

import pytest

from coveport.sidecar.config.terms import BadTermsError, Terms
from coveport.sidecar.leases.effects import (
    Arrive,
    AskLease,
    Began,
    Claim,
    DropLease,
    Effect,
    Ended,
    KeepLease,
    Look,
    Release,
    Told,
)
from coveport.sidecar.leases.lease_state import LeaseState
from coveport.sidecar.leases.states import Session, State
from coveport.sidecar.leases.store import Done, Entry, Refused, Unknown

TERMS = Terms(3.0, 0.2, 0.02)


def fresh(seed: int = 1) -> LeaseState:
    return LeaseState("me", ("d",), TERMS, random.Random(seed))


T = TypeVar("T")


def only(effects: list[Effect], kind: type[T]) -> T:
    found = [one for one in effects if isinstance(one, kind)]
    assert len(found) == 1, effects
    return found[0]


def arrived(one: LeaseState, at: float = 10.0, took: float = 0.5) -> float:
    """In session, asked at `at`; the time of the last answer."""
    ask = only(one.tick(at), AskLease)
    come = only(one.answered(at + took, ask.call, Done("s", 5, lease=7, ttl_s=3.0)), Arrive)
    one.answered(at + 2 * took, come.call, Done("s", 6))
    assert one.session is Session.IN
    return at + 2 * took


def held(one: LeaseState, at: float = 10.0) -> tuple[float, int]:
    """Holding `d`; now, and its token."""
    now = arrived(one, at, 0.1)
    one.seen(now, "d", None, 6)
    claim = only(one.tick(now + 0.1), Claim)
    assert only(one.answered(now + 0.2, claim.call, Done("s", 9)), Began) == Began("d", 9)
    return now + 0.2, 9


def test_time_counts_from_before_it_asked() -> None:
    one = fresh()
    arrived(one, 10.0, 0.5)
    assert one.until == pytest.approx(10.0 + 3.0 / 1.02 - 0.2)


def test_it_is_wary_before_it_is_over_and_over_by_its_clock_alone() -> None:
    one = fresh()
    _, token = held(one)
    until = one.until
    assert one.holds(until - 0.21, "d") == token
    assert one.holds(until - 0.19, "d") == 0 and one.believes(until - 0.19, "d") == token
    assert one.believes(until, "d") == 0, "without any input"
    effects = one.tick(until)
    assert only(effects, Ended) and only(effects, DropLease)


@pytest.mark.parametrize("end", [Unknown("lost"), Refused("s", 9, lease_gone=True)])
def test_a_renewal_that_was_not_answered_prolongs_nothing(end: Unknown | Refused) -> None:
    one = fresh()
    held(one)
    until = one.until
    keep = only(one.tick(11.1), KeepLease)
    effects = one.answered(11.3, keep.call, end)
    assert one.until == until if isinstance(end, Unknown) else only(effects, Ended)


def test_a_claim_without_an_answer_is_taken_up_when_it_is_seen_and_not_before() -> None:
    one = fresh()
    now = arrived(one, 10.0, 0.1)
    one.seen(now, "d", None, 6)
    claim = only(one.tick(now + 0.1), Claim)
    assert not [e for e in one.answered(now + 0.2, claim.call, Unknown("lost")) if isinstance(e, Began)]
    assert one.holds(now + 0.3, "d") == 0
    key = Entry("d", b"me", 12, 12, 7)
    assert only(one.seen(now + 0.4, "d", key, 12), Began) == Began("d", 12)


def test_a_key_of_an_older_session_of_ours_is_not_ours() -> None:
    one = fresh()
    now = arrived(one)
    assert not one.seen(now, "d", Entry("d", b"me", 4, 4, 6), 8)
    assert one.believes(now, "d") == 0


def test_old_news_is_no_news() -> None:
    one = fresh()
    now, token = held(one)
    assert one.seen(now, "d", None, token - 1) == [] and one.holds(now, "d") == token


def test_a_store_that_went_back_ends_all_for_good() -> None:
    one = fresh()
    now, _ = held(one)
    effects = one.answered(now, 0, Unknown("x"), floor_broken="it went back")
    assert only(effects, Ended) and one.session is Session.ESTRANGED
    assert one.tick(now + 100) == [] and one.session is Session.ESTRANGED


def test_a_store_that_gives_less_time_is_not_believed() -> None:
    one = fresh()
    ask = only(one.tick(10.0), AskLease)
    effects = one.answered(10.1, ask.call, Done("s", 5, lease=7, ttl_s=2.0))
    assert only(effects, DropLease) == DropLease(7) and one.session is Session.OUT


def test_a_name_that_is_taken_keeps_the_later_one_out() -> None:
    one = fresh()
    ask = only(one.tick(10.0), AskLease)
    come = only(one.answered(10.1, ask.call, Done("s", 5, lease=7, ttl_s=3.0)), Arrive)
    effects = one.answered(10.2, come.call, Refused("s", 6))
    assert only(effects, Told) and one.session is Session.OUT and one.next_at() >= 11.2


def test_who_is_useless_keeps_off_longer_each_time() -> None:
    one = fresh()
    now, _ = held(one)
    rests = []
    for _ in range(3):
        release = only(one.unwell(now, "no node"), Release)
        one.answered(now + 0.01, release.call, Done("s", 20))
        one.unwell(now + 0.02, "")
        one.seen(now + 0.02, "d", None, 20)
        rests.append(one.duties["d"].due - now)
        one.duties["d"].state, one.duties["d"].token = State.HELD, 9  # as if it had come to it again
    assert rests[0] >= 2 * TERMS.ttl_s and rests[2] > rests[1] > rests[0]


def test_a_late_input_after_a_stall_keeps_it_from_contending() -> None:
    one = fresh()
    now = arrived(one, 10.0, 0.1)
    one.next_at()
    effects = one.seen(now + 2.0, "d", None, 8)
    assert only(effects, Told) == Told("stalled", effects[0].detail if isinstance(effects[0], Told) else "")
    assert one.duties["d"].due >= now + 2.0 + TERMS.ttl_s


def test_leaving_ends_the_session_in_one_call() -> None:
    one = fresh()
    now, token = held(one)
    effects = one.leave(now)
    assert only(effects, Ended).token == token
    assert only(effects, DropLease) == DropLease(7) and one.leave(now) == []


@pytest.mark.parametrize("terms", [Terms(1, 0.4, 0.02), Terms(0, 0.1), Terms(3, 0.0), Terms(3, 0.2, 1.0)])
def test_terms_under_which_nothing_could_be_held_are_refused(terms: Terms) -> None:
    with pytest.raises(BadTermsError):
        terms.check()


@pytest.mark.parametrize("seed", range(40))
def test_whatever_comes_no_holding_outlives_what_the_store_promised(seed: int) -> None:
    """Random answers in random order; the store's side of each lease is counted beside it."""
    chance = random.Random(seed)
    one, now, revision = fresh(seed), 10.0, 10
    promised = {}  # lease -> store time at which it ends, at the soonest
    out: list[AskLease | KeepLease | Arrive | Claim | Release | Look] = []
    asked: dict[int, float] = {}
    for _ in range(400):
        now += chance.expovariate(4)
        item = chance.random()
        if out and item < 0.6:
            call = out.pop(chance.randrange(len(out)))
            revision += 1
            number = call.call
            end: Done | Refused | Unknown = Unknown("lost")
            if chance.random() < 0.7:
                end = (
                    Done("s", revision, lease=revision, ttl_s=3.0)
                    if chance.random() < 0.8
                    else Refused("s", revision, lease_gone=chance.random() < 0.5)
                )
            if isinstance(end, Done) and isinstance(call, AskLease | KeepLease):
                promised[end.lease if isinstance(call, AskLease) else call.lease] = asked[number] + 3.0 / 1.02
            came = one.answered(now, number, end)
        elif item < 0.8:
            entry = Entry("d", chance.choice([b"me", b"you"]), revision, revision, one.lease)
            came = one.seen(now, "d", chance.choice([None, entry]), revision)
        else:
            came = one.tick(now)
        for effect in came:
            if isinstance(effect, AskLease | KeepLease | Arrive | Claim | Release | Look):
                out.append(effect)
                asked[effect.call] = now
        if one.believes(now, "d"):
            assert now < promised[one.lease] - TERMS.margin_s + 1e-9
        if one.holds(now, "d"):
            assert now < promised[one.lease] - 2 * TERMS.margin_s + 1e-9


def test_who_is_far_from_the_store_contends_for_nothing_and_keeps_what_it_has() -> None:
    one = fresh()
    _, token = held(one)
    keep = only(one.tick(11.1), KeepLease)
    assert only(one.answered(11.9, keep.call, Done("s", 12, ttl_s=3.0)), Told).event == "far"
    assert one.holds(11.9, "d") == token
    one.yield_(11.9, "d", "staff")
    one.seen(12.0, "d", None, 15)
    assert one.duties["d"].due >= 11.9 + TERMS.ttl_s
