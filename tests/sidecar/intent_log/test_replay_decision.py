"""Decisions on repeated requests."""

from __future__ import annotations

import itertools

import msgspec
import pytest
from intent_log_builders import CLOSED_RECORDS, OPEN_RECORDS, UNSAFE, accepted_record, attempt

from coveport.sidecar.intent_log.presence import OwnerStatus
from coveport.sidecar.intent_log.record import FinalStatus, Record
from coveport.sidecar.intent_log.replay_decision import (
    ReplayAction,
    decide_replay,
    may_be_rejected_as_busy,
)


def expected_action(
    record: Record, owner: OwnerStatus, *, same_request: bool | None, has_response: bool
) -> ReplayAction:
    """Return the action by the rules, implemented independently of the code under test."""
    if same_request is not True:
        return ReplayAction.KEY_REUSED if same_request is False else ReplayAction.FAIL
    if record.is_open:
        return ReplayAction.CLAIM if owner is OwnerStatus.LOST else ReplayAction.WAIT
    if record.final_status is FinalStatus.SERVED:
        return ReplayAction.RETURN_RESPONSE if has_response else ReplayAction.FAIL
    if record.final_status in (FinalStatus.REFUSED, FinalStatus.NEVER_RAN):
        return ReplayAction.RESTART
    return ReplayAction.FAIL if record.policy is UNSAFE else ReplayAction.RETRY


@pytest.mark.parametrize("same_request", [True, False, None])
@pytest.mark.parametrize("owner", OwnerStatus)
def test_a_repeat_when_the_record_may_have_run_never_causes_a_second_run(
    same_request: bool | None, owner: OwnerStatus
) -> None:
    cases = itertools.product([*OPEN_RECORDS, *CLOSED_RECORDS], [False, True], [False, True])
    for stored, is_unsafe, has_response in cases:
        record = msgspec.structs.replace(stored, policy=UNSAFE) if is_unsafe else stored
        decision = decide_replay(record, owner, same_request=same_request, has_response=has_response)
        assert decision.rule
        expected = expected_action(record, owner, same_request=same_request, has_response=has_response)
        assert decision.action is expected
        if record.may_have_run:
            assert decision.action is not ReplayAction.RESTART


def test_a_repeat_whose_wait_timed_out_is_busy_only_where_nothing_may_have_run() -> None:
    assert may_be_rejected_as_busy(None)
    assert may_be_rejected_as_busy(accepted_record())
    assert not may_be_rejected_as_busy(accepted_record().with_attempt(attempt()))
