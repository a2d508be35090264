"""Every case of the takeover rules."""

from __future__ import annotations

import itertools
from math import inf

import msgspec
import pytest
from intent_log_builders import accepted_record, attempt

from coveport.balancing import DeduplicationScope, Effect, Outcome
from coveport.sidecar.intent_log.record import ExecutionPolicy, FinalStatus, RecoveryPoint
from coveport.sidecar.intent_log.takeover import COUNTER_SUFFIXES, TakeoverAction, decide

SEND_MS = 100.0
ATTEMPTS = {
    "not sent": attempt(Outcome.CONNECT_FAILED),
    "in flight": attempt(),
    "ran": attempt(Outcome.RESET),
    "in flight elsewhere": attempt(cell=2, zone=1),
}
CASES = list(
    itertools.product(
        Effect,
        DeduplicationScope,
        [
            (),
            ("not sent",),
            ("in flight",),
            ("ran",),
            ("not sent", "in flight"),
            ("in flight", "in flight elsewhere"),
        ],
        [500.0, 0.0],
        [0.0, 5_800.0, 6_000.0, inf],
        [3, 2, 1],
        ["k", ""],
    )
)


@pytest.mark.parametrize("effect", Effect)
def test_decide_follows_the_rules_in_every_case(effect: Effect) -> None:
    for case_effect, group, attempt_names, left_ms, age_ms, max_attempts, key in CASES:
        if case_effect is not effect or len(attempt_names) > max_attempts:
            continue
        record = msgspec.structs.replace(
            accepted_record(ExecutionPolicy(effect, group, 6000.0, max_attempts)),
            attempts=tuple(ATTEMPTS[name] for name in attempt_names),
            idempotency_key=key,
            recovery_point=RecoveryPoint.SENDING if attempt_names else RecoveryPoint.ACCEPTED,
        )
        decision = decide(record, left_ms, age_ms, SEND_MS)
        is_uncertain = any(name != "not sent" for name in attempt_names)
        may_send = left_ms > SEND_MS and len(attempt_names) < max_attempts
        if not is_uncertain:
            may_send_first = effect is not Effect.UNSAFE and may_send
            expected = TakeoverAction.SEND if may_send_first else TakeoverAction.CLOSE_NEVER_RAN
        elif effect is Effect.UNSAFE or not may_send:
            expected = TakeoverAction.CLOSE_UNKNOWN
        elif effect is Effect.SAFE:
            expected = TakeoverAction.SEND
        else:
            share_keys = "in flight elsewhere" not in attempt_names or group is DeduplicationScope.ALL
            may_retry = key and age_ms + SEND_MS < 6000.0 and share_keys
            expected = TakeoverAction.RETRY if may_retry else TakeoverAction.CLOSE_UNKNOWN
        assert decision.action is expected, (effect, group, attempt_names, left_ms, age_ms, max_attempts, key)
        assert decision.rule
        if decision.action is TakeoverAction.RETRY:
            assert decision.previous is not None
            assert decision.previous.may_have_run
            assert decision.within_ms <= 6000.0 - age_ms - SEND_MS
        # Rules that hold independently of the expected action.
        if effect is Effect.UNSAFE:
            assert decision.action not in (TakeoverAction.SEND, TakeoverAction.RETRY)
        if decision.action is TakeoverAction.CLOSE_NEVER_RAN:
            assert not record.may_have_run


def test_decide_when_a_response_is_known_keeps_it_and_leaves_closed_records_alone() -> None:
    record = accepted_record().with_attempt(attempt()).with_outcome(0, Outcome.OK)
    assert decide(record, 500.0, inf, SEND_MS).action is TakeoverAction.KEEP_RESPONSE
    closed = record.closed(FinalStatus.SERVED)
    assert decide(closed, 500.0, 0.0, SEND_MS).action is TakeoverAction.NOTHING


def test_each_action_has_its_own_counter() -> None:
    assert COUNTER_SUFFIXES.keys() == set(TakeoverAction)
    assert len(set(COUNTER_SUFFIXES.values())) == len(TakeoverAction)
