"""The holder's beliefs: its inequality, its tables, and that no order of a small world breaks them."""

from __future__ import annotations

import random
from typing import TypeVar

import pytest

from coveport.sidecar.config.errors import LeaseTermsError
from coveport.sidecar.config.lease_terms import LeaseTerms
from coveport.sidecar.leases.effects import (
    AcquireRole,
    Effect,
    GrantLease,
    LogEvent,
    ReadRoles,
    RegisterInstance,
    ReleaseRole,
    RenewLease,
    RevokeLease,
    RoleAcquired,
    RoleLost,
    StoreCall,
)
from coveport.sidecar.leases.lease_state import LeaseState
from coveport.sidecar.leases.states import RoleState, SessionState
from coveport.sidecar.leases.store import Done, Entry, Refused, Unknown

TERMS = LeaseTerms(3.0, 0.2, 0.02)


def fresh(seed: int = 1) -> LeaseState:
    return LeaseState("me", ("d",), TERMS, random.Random(seed))


T = TypeVar("T")


def only(effects: list[Effect], kind: type[T]) -> T:
    found = [one for one in effects if isinstance(one, kind)]
    assert len(found) == 1, effects
    return found[0]


def arrived(one: LeaseState, at: float = 10.0, took: float = 0.5) -> float:
    """In session, asked at `at`; the time of the last answer."""
    ask = only(one.handle_timer(at), GrantLease)
    come = only(one.handle_outcome(at + took, ask.call, Done("s", 5, lease=7, ttl_s=3.0)), RegisterInstance)
    one.handle_outcome(at + 2 * took, come.call, Done("s", 6))
    assert one.session is SessionState.ACTIVE
    return at + 2 * took


def held(one: LeaseState, at: float = 10.0) -> tuple[float, int]:
    """Holding `d`; now, and its token."""
    now = arrived(one, at, 0.1)
    one.handle_role_key(now, "d", None, 6)
    claim = only(one.handle_timer(now + 0.1), AcquireRole)
    assert only(one.handle_outcome(now + 0.2, claim.call, Done("s", 9)), RoleAcquired) == RoleAcquired("d", 9)
    return now + 0.2, 9


def test_time_counts_from_before_it_asked() -> None:
    one = fresh()
    arrived(one, 10.0, 0.5)
    assert one.believed_until == pytest.approx(10.0 + 3.0 / 1.02 - 0.2)


def test_it_is_wary_before_it_is_over_and_over_by_its_clock_alone() -> None:
    one = fresh()
    _, token = held(one)
    believed_until = one.believed_until
    assert one.usable_token(believed_until - 0.21, "d") == token
    assert (
        one.usable_token(believed_until - 0.19, "d") == 0
        and one.believed_token(believed_until - 0.19, "d") == token
    )
    assert one.believed_token(believed_until, "d") == 0, "without any input"
    effects = one.handle_timer(believed_until)
    assert only(effects, RoleLost) and only(effects, RevokeLease)


@pytest.mark.parametrize("end", [Unknown("lost"), Refused("s", 9, lease_gone=True)])
def test_a_renewal_that_was_not_answered_prolongs_nothing(end: Unknown | Refused) -> None:
    one = fresh()
    held(one)
    believed_until = one.believed_until
    keep = only(one.handle_timer(11.1), RenewLease)
    effects = one.handle_outcome(11.3, keep.call, end)
    assert one.believed_until == believed_until if isinstance(end, Unknown) else only(effects, RoleLost)


def test_a_claim_without_an_answer_is_taken_up_when_it_is_seen_and_not_before() -> None:
    one = fresh()
    now = arrived(one, 10.0, 0.1)
    one.handle_role_key(now, "d", None, 6)
    claim = only(one.handle_timer(now + 0.1), AcquireRole)
    assert not [
        e for e in one.handle_outcome(now + 0.2, claim.call, Unknown("lost")) if isinstance(e, RoleAcquired)
    ]
    assert one.usable_token(now + 0.3, "d") == 0
    key = Entry("d", b"me", 12, 12, 7)
    assert only(one.handle_role_key(now + 0.4, "d", key, 12), RoleAcquired) == RoleAcquired("d", 12)


def test_a_key_of_an_older_session_of_ours_is_not_ours() -> None:
    one = fresh()
    now = arrived(one)
    assert not one.handle_role_key(now, "d", Entry("d", b"me", 4, 4, 6), 8)
    assert one.believed_token(now, "d") == 0


def test_old_news_is_no_news() -> None:
    one = fresh()
    now, token = held(one)
    assert one.handle_role_key(now, "d", None, token - 1) == [] and one.usable_token(now, "d") == token


def test_a_store_that_went_back_ends_all_for_good() -> None:
    one = fresh()
    now, _ = held(one)
    effects = one.handle_outcome(now, 0, Unknown("x"), store_reset="it went back")
    assert only(effects, RoleLost) and one.session is SessionState.STORE_RESET
    assert one.handle_timer(now + 100) == [] and one.session is SessionState.STORE_RESET


def test_a_store_that_gives_less_time_is_not_believed() -> None:
    one = fresh()
    ask = only(one.handle_timer(10.0), GrantLease)
    effects = one.handle_outcome(10.1, ask.call, Done("s", 5, lease=7, ttl_s=2.0))
    assert only(effects, RevokeLease) == RevokeLease(7) and one.session is SessionState.DISCONNECTED


def test_a_name_that_is_taken_keeps_the_later_one_out() -> None:
    one = fresh()
    ask = only(one.handle_timer(10.0), GrantLease)
    come = only(one.handle_outcome(10.1, ask.call, Done("s", 5, lease=7, ttl_s=3.0)), RegisterInstance)
    effects = one.handle_outcome(10.2, come.call, Refused("s", 6))
    assert only(effects, LogEvent) and one.session is SessionState.DISCONNECTED and one.next_timer() >= 11.2


def test_who_is_useless_keeps_off_longer_each_time() -> None:
    one = fresh()
    now, _ = held(one)
    rest_count = []
    for _ in range(3):
        release = only(one.set_unhealthy(now, "no node"), ReleaseRole)
        one.handle_outcome(now + 0.01, release.call, Done("s", 20))
        one.set_unhealthy(now + 0.02, "")
        one.handle_role_key(now + 0.02, "d", None, 20)
        rest_count.append(one.roles["d"].acquire_at - now)
        one.roles["d"].state, one.roles["d"].token = RoleState.HELD, 9  # as if it had come to it again
    assert rest_count[0] >= 2 * TERMS.ttl_s and rest_count[2] > rest_count[1] > rest_count[0]


def test_a_late_input_after_a_stall_keeps_it_from_contending() -> None:
    one = fresh()
    now = arrived(one, 10.0, 0.1)
    one.next_timer()
    effects = one.handle_role_key(now + 2.0, "d", None, 8)
    assert only(effects, LogEvent) == LogEvent(
        "process_stalled", effects[0].detail if isinstance(effects[0], LogEvent) else ""
    )
    assert one.roles["d"].acquire_at >= now + 2.0 + TERMS.ttl_s


def test_leaving_ends_the_session_in_one_call() -> None:
    one = fresh()
    now, token = held(one)
    effects = one.close(now)
    assert only(effects, RoleLost).token == token
    assert only(effects, RevokeLease) == RevokeLease(7) and one.close(now) == []


@pytest.mark.parametrize(
    "terms", [LeaseTerms(1, 0.4, 0.02), LeaseTerms(0, 0.1), LeaseTerms(3, 0.0), LeaseTerms(3, 0.2, 1.0)]
)
def test_terms_under_which_nothing_could_be_held_are_refused(terms: LeaseTerms) -> None:
    with pytest.raises(LeaseTermsError):
        terms.check()


@pytest.mark.parametrize("seed", range(40))
def test_whatever_comes_no_holding_outlives_what_the_store_promised(seed: int) -> None:
    """Random answers in random order; the store's side of each lease is counted beside it."""
    rng = random.Random(seed)
    one, now, revision = fresh(seed), 10.0, 10
    promised = {}  # lease -> store time at which it ends, at the soonest
    out: list[GrantLease | RenewLease | RegisterInstance | AcquireRole | ReleaseRole | ReadRoles] = []
    asked: dict[int, float] = {}
    for _ in range(400):
        now += rng.expovariate(4)
        item = rng.random()
        if out and item < 0.6:
            call = out.pop(rng.randrange(len(out)))
            revision += 1
            number = call.call
            end: Done | Refused | Unknown = Unknown("lost")
            if rng.random() < 0.7:
                end = (
                    Done("s", revision, lease=revision, ttl_s=3.0)
                    if rng.random() < 0.8
                    else Refused("s", revision, lease_gone=rng.random() < 0.5)
                )
            if isinstance(end, Done) and isinstance(call, GrantLease | RenewLease):
                promised[end.lease if isinstance(call, GrantLease) else call.lease] = (
                    asked[number] + 3.0 / 1.02
                )
            came = one.handle_outcome(now, number, end)
        elif item < 0.8:
            entry = Entry("d", rng.choice([b"me", b"you"]), revision, revision, one.lease)
            came = one.handle_role_key(now, "d", rng.choice([None, entry]), revision)
        else:
            came = one.handle_timer(now)
        for effect in came:
            if isinstance(effect, StoreCall):
                out.append(effect)
                asked[effect.call] = now
        if one.believed_token(now, "d"):
            assert now < promised[one.lease] - TERMS.margin_s + 1e-9
        if one.usable_token(now, "d"):
            assert now < promised[one.lease] - 2 * TERMS.margin_s + 1e-9


def test_who_is_far_from_the_store_contends_for_nothing_and_keeps_what_it_has() -> None:
    one = fresh()
    _, token = held(one)
    keep = only(one.handle_timer(11.1), RenewLease)
    assert only(one.handle_outcome(11.9, keep.call, Done("s", 12, ttl_s=3.0)), LogEvent).event == "store_slow"
    assert one.usable_token(11.9, "d") == token
    one.step_down(11.9, "d", "staff")
    one.handle_role_key(12.0, "d", None, 15)
    assert one.roles["d"].acquire_at >= 11.9 + TERMS.ttl_s
