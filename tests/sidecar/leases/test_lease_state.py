"""Lease state: its inequality and its transitions, also under random orders of outcomes."""

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


def new_state(seed: int = 1) -> LeaseState:
    return LeaseState("me", ("d",), TERMS, random.Random(seed))


T = TypeVar("T")


def only(effects: list[Effect], kind: type[T]) -> T:
    matching = [effect for effect in effects if isinstance(effect, kind)]
    assert len(matching) == 1, effects
    return matching[0]


def establish_session(state: LeaseState, at: float = 10.0, took_s: float = 0.5) -> float:
    """Establish a session with a lease requested at `at`; return the time of the last outcome."""
    grant = only(state.handle_timer(at), GrantLease)
    register = only(
        state.handle_outcome(at + took_s, grant.call, Done("s", 5, lease=7, ttl_s=3.0)), RegisterInstance
    )
    state.handle_outcome(at + 2 * took_s, register.call, Done("s", 6))
    assert state.session is SessionState.ACTIVE
    return at + 2 * took_s


def hold_role(state: LeaseState, at: float = 10.0) -> tuple[float, int]:
    """Acquire role `d`; return the time and the fencing token."""
    now = establish_session(state, at, 0.1)
    state.handle_role_key(now, "d", None, 6)
    acquire = only(state.handle_timer(now + 0.1), AcquireRole)
    assert only(state.handle_outcome(now + 0.2, acquire.call, Done("s", 9)), RoleAcquired) == RoleAcquired(
        "d", 9
    )
    return now + 0.2, 9


def test_validity_counts_from_before_the_grant_was_sent() -> None:
    state = new_state()
    establish_session(state, 10.0, 0.5)
    assert state.session_valid_until == pytest.approx(10.0 + 3.0 / 1.02 - 0.2)


def test_session_expires_by_the_clock_after_a_margin_without_new_work() -> None:
    state = new_state()
    _, token = hold_role(state)
    session_valid_until = state.session_valid_until
    assert state.usable_token(session_valid_until - 0.21, "d") == token
    assert (
        state.usable_token(session_valid_until - 0.19, "d") == 0
        and state.valid_token(session_valid_until - 0.19, "d") == token
    )
    assert state.valid_token(session_valid_until, "d") == 0, "expires without any input"
    effects = state.handle_timer(session_valid_until)
    assert only(effects, RoleLost) and only(effects, RevokeLease)


@pytest.mark.parametrize("outcome", [Unknown("lost"), Refused("s", 9, lease_gone=True)])
def test_renewal_without_an_answer_extends_nothing(outcome: Unknown | Refused) -> None:
    state = new_state()
    hold_role(state)
    session_valid_until = state.session_valid_until
    renewal = only(state.handle_timer(11.1), RenewLease)
    effects = state.handle_outcome(11.3, renewal.call, outcome)
    assert (
        state.session_valid_until == session_valid_until
        if isinstance(outcome, Unknown)
        else only(effects, RoleLost)
    )


def test_role_of_an_unknown_acquisition_is_held_once_its_key_is_read() -> None:
    state = new_state()
    now = establish_session(state, 10.0, 0.1)
    state.handle_role_key(now, "d", None, 6)
    acquire = only(state.handle_timer(now + 0.1), AcquireRole)
    assert not [
        effect
        for effect in state.handle_outcome(now + 0.2, acquire.call, Unknown("lost"))
        if isinstance(effect, RoleAcquired)
    ]
    assert state.usable_token(now + 0.3, "d") == 0
    key = Entry("d", b"me", 12, 12, 7)
    assert only(state.handle_role_key(now + 0.4, "d", key, 12), RoleAcquired) == RoleAcquired("d", 12)


def test_key_of_an_older_session_is_not_adopted() -> None:
    state = new_state()
    now = establish_session(state)
    assert not state.handle_role_key(now, "d", Entry("d", b"me", 4, 4, 6), 8)
    assert state.valid_token(now, "d") == 0


def test_key_of_an_older_revision_is_ignored() -> None:
    state = new_state()
    now, token = hold_role(state)
    assert state.handle_role_key(now, "d", None, token - 1) == [] and state.usable_token(now, "d") == token


def test_store_reset_ends_the_session_for_good() -> None:
    state = new_state()
    now, _ = hold_role(state)
    effects = state.handle_outcome(now, 0, Unknown("x"), store_reset="lower revision")
    assert only(effects, RoleLost) and state.session is SessionState.STORE_RESET
    assert state.handle_timer(now + 100) == [] and state.session is SessionState.STORE_RESET


def test_lease_shorter_than_requested_is_revoked() -> None:
    state = new_state()
    grant = only(state.handle_timer(10.0), GrantLease)
    effects = state.handle_outcome(10.1, grant.call, Done("s", 5, lease=7, ttl_s=2.0))
    assert only(effects, RevokeLease) == RevokeLease(7) and state.session is SessionState.DISCONNECTED


def test_later_process_of_a_duplicate_name_gets_no_session() -> None:
    state = new_state()
    grant = only(state.handle_timer(10.0), GrantLease)
    register = only(
        state.handle_outcome(10.1, grant.call, Done("s", 5, lease=7, ttl_s=3.0)), RegisterInstance
    )
    effects = state.handle_outcome(10.2, register.call, Refused("s", 6))
    assert (
        only(effects, LogEvent) and state.session is SessionState.DISCONNECTED and state.next_timer() >= 11.2
    )


def test_unhealthy_instance_rests_longer_each_time() -> None:
    state = new_state()
    now, _ = hold_role(state)
    waits = []
    for _ in range(3):
        release = only(state.set_unhealthy(now, "no node"), ReleaseRole)
        state.handle_outcome(now + 0.01, release.call, Done("s", 20))
        state.set_unhealthy(now + 0.02, "")
        state.handle_role_key(now + 0.02, "d", None, 20)
        waits.append(state.roles["d"].acquire_at - now)
        # As if it had acquired the role again.
        state.roles["d"].state, state.roles["d"].token = RoleState.HELD, 9
    assert waits[0] >= 2 * TERMS.ttl_s and waits[2] > waits[1] > waits[0]


def test_late_input_after_a_stall_delays_contention() -> None:
    state = new_state()
    now = establish_session(state, 10.0, 0.1)
    state.next_timer()
    effects = state.handle_role_key(now + 2.0, "d", None, 8)
    assert only(effects, LogEvent) == LogEvent(
        "process_stalled", effects[0].detail if isinstance(effects[0], LogEvent) else ""
    )
    assert state.roles["d"].acquire_at >= now + 2.0 + TERMS.ttl_s


def test_close_revokes_the_lease_once() -> None:
    state = new_state()
    now, token = hold_role(state)
    effects = state.close(now)
    assert only(effects, RoleLost).token == token
    assert only(effects, RevokeLease) == RevokeLease(7) and state.close(now) == []


@pytest.mark.parametrize(
    "terms", [LeaseTerms(1, 0.4, 0.02), LeaseTerms(0, 0.1), LeaseTerms(3, 0.0), LeaseTerms(3, 0.2, 1.0)]
)
def test_terms_that_prevent_renewals_are_rejected(terms: LeaseTerms) -> None:
    with pytest.raises(LeaseTermsError):
        terms.check()


@pytest.mark.parametrize("seed", range(40))
def test_no_role_outlives_its_lease_under_random_outcomes(seed: int) -> None:
    """Outcomes arrive in random order; the end of each lease in the store is computed independently."""
    rng = random.Random(seed)
    state, now, revision = new_state(seed), 10.0, 10
    earliest_end = {}  # earliest end in the store, by lease
    in_flight: list[GrantLease | RenewLease | RegisterInstance | AcquireRole | ReleaseRole | ReadRoles] = []
    sent_at: dict[int, float] = {}
    for _ in range(400):
        now += rng.expovariate(4)
        choice = rng.random()
        if in_flight and choice < 0.6:
            call = in_flight.pop(rng.randrange(len(in_flight)))
            revision += 1
            number = call.call
            outcome: Done | Refused | Unknown = Unknown("lost")
            if rng.random() < 0.7:
                outcome = (
                    Done("s", revision, lease=revision, ttl_s=3.0)
                    if rng.random() < 0.8
                    else Refused("s", revision, lease_gone=rng.random() < 0.5)
                )
            if isinstance(outcome, Done) and isinstance(call, GrantLease | RenewLease):
                earliest_end[outcome.lease if isinstance(call, GrantLease) else call.lease] = (
                    sent_at[number] + 3.0 / 1.02
                )
            effects = state.handle_outcome(now, number, outcome)
        elif choice < 0.8:
            entry = Entry("d", rng.choice([b"me", b"you"]), revision, revision, state.lease)
            effects = state.handle_role_key(now, "d", rng.choice([None, entry]), revision)
        else:
            effects = state.handle_timer(now)
        for effect in effects:
            if isinstance(effect, StoreCall):
                in_flight.append(effect)
                sent_at[effect.call] = now
        if state.valid_token(now, "d"):
            assert now < earliest_end[state.lease] - TERMS.margin_s + 1e-9
        if state.usable_token(now, "d"):
            assert now < earliest_end[state.lease] - 2 * TERMS.margin_s + 1e-9


def test_slow_store_delays_contention_and_keeps_held_roles() -> None:
    state = new_state()
    _, token = hold_role(state)
    renewal = only(state.handle_timer(11.1), RenewLease)
    assert (
        only(state.handle_outcome(11.9, renewal.call, Done("s", 12, ttl_s=3.0)), LogEvent).event
        == "store_slow"
    )
    assert state.usable_token(11.9, "d") == token
    state.step_down(11.9, "d", "staff")
    state.handle_role_key(12.0, "d", None, 15)
    assert state.roles["d"].acquire_at >= 11.9 + TERMS.ttl_s
