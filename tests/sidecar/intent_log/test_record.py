"""Recovery points of a record, its permitted final statuses, and its generations."""

from __future__ import annotations

import pytest
from intent_log_builders import KEYED, UNSAFE, accepted_record, attempt, closed_record

from coveport.balancing import NEVER_RAN, DeduplicationScope, Effect, Outcome
from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.presence import OwnerStatus
from coveport.sidecar.intent_log.record import (
    NOT_EXECUTED,
    TRANSITIONS,
    ExecutionPolicy,
    FinalStatus,
    ManualResolution,
    RecoveryPoint,
)
from coveport.sidecar.intent_log.replay_decision import ReplayAction, decide_replay


def test_a_served_operation_when_retried_passes_every_recovery_point() -> None:
    record = accepted_record().with_attempt(attempt()).with_outcome(0, Outcome.TIMEOUT)
    record = record.with_attempt(attempt()).with_outcome(1, Outcome.OK)
    assert record.recovery_point is RecoveryPoint.ANSWERED
    assert record.closed(FinalStatus.SERVED).final_status is FinalStatus.SERVED


@pytest.mark.parametrize("point", RecoveryPoint)
@pytest.mark.parametrize("next_point", RecoveryPoint)
def test_a_transition_that_the_table_lacks_is_rejected(
    point: RecoveryPoint, next_point: RecoveryPoint
) -> None:
    record = accepted_record(recovery_point=point)
    if next_point in TRANSITIONS[point]:
        assert record.moved_to(next_point).recovery_point is next_point
    else:
        with pytest.raises(RecordError):
            record.moved_to(next_point)


@pytest.mark.parametrize("status", FinalStatus)
@pytest.mark.parametrize("outcome", [None, *Outcome])
def test_a_record_when_an_attempt_may_have_run_can_t_be_closed_as_not_executed(
    status: FinalStatus, outcome: Outcome | None
) -> None:
    record = accepted_record(recovery_point=RecoveryPoint.SENDING, attempts=(attempt(outcome),))
    if status is FinalStatus.SERVED or (status in NOT_EXECUTED and outcome not in NEVER_RAN):
        with pytest.raises(RecordError):
            record.closed(status)
    else:
        assert record.closed(status).final_status is status


def test_a_second_outcome_of_an_attempt_changes_nothing() -> None:
    record = accepted_record().with_attempt(attempt()).with_outcome(0, Outcome.OK)
    assert record.with_outcome(0, Outcome.RESET) == record


def test_attempts_when_the_owner_changes_are_counted_over_all_instances() -> None:
    policy = ExecutionPolicy(Effect.KEYED, DeduplicationScope.CELL, 6000.0, 1)
    record = accepted_record(policy).with_attempt(attempt()).claimed("s1#1", 9)
    with pytest.raises(RecordError, match="by all instances together"):
        record.with_attempt(attempt())


def test_a_reopened_record_when_it_may_have_run_keeps_its_attempts() -> None:
    record = closed_record(FinalStatus.FAILED).reopened("s1#1", 9)
    assert record.recovery_point is RecoveryPoint.SENDING
    assert len(record.attempts) == 1
    assert record.generation == 2
    assert record.previous_owners == ("s0#1",)
    assert record.owner == "s1#1"
    for not_reopenable in (
        closed_record(FinalStatus.FAILED, UNSAFE),
        closed_record(FinalStatus.SERVED),
        accepted_record(),
    ):
        with pytest.raises(RecordError):
            not_reopenable.reopened("s1#1", 9)


@pytest.mark.parametrize("policy", [UNSAFE, KEYED], ids=["unsafe", "keyed"])
def test_an_operator_s_resolution_decides_on_repeats(policy: ExecutionPolicy) -> None:
    unknown = closed_record(FinalStatus.UNKNOWN, policy)
    assert unknown.may_have_run
    served = unknown.resolved(FinalStatus.SERVED, "ana", "ledger")
    never_ran = unknown.resolved(FinalStatus.NEVER_RAN, "ana", "ledger")
    decision_when_served = decide_replay(served, OwnerStatus.LOST, same_request=True, has_response=False)
    decision_when_never_ran = decide_replay(
        never_ran, OwnerStatus.LOST, same_request=True, has_response=False
    )
    assert decision_when_served.action is ReplayAction.FAIL
    assert decision_when_never_ran.action is ReplayAction.RESTART
    assert never_ran.reopened("s1#1", 5).attempts == ()
    with pytest.raises(RecordError):
        served.reopened("s1#1", 5)
    for record, status, resolved_by, reason in (
        (served, FinalStatus.NEVER_RAN, "eva", "no"),
        (unknown, FinalStatus.SERVED, " ", "x"),
        (unknown, FinalStatus.SERVED, "ana", ""),
        (unknown, FinalStatus.FAILED, "ana", "x"),
        (closed_record(FinalStatus.SERVED), FinalStatus.NEVER_RAN, "ana", "x"),
    ):
        with pytest.raises(RecordError):
            record.resolved(status, resolved_by, reason)


def test_a_resolution_contains_the_operator_s_arguments() -> None:
    record = closed_record(FinalStatus.UNKNOWN).resolved(FinalStatus.SERVED, "a", "b", 4.0)
    assert record.resolution == ManualResolution(FinalStatus.SERVED, "a", "b", 4.0)
