"""Stages of a pending operation, and the check before each send."""

from __future__ import annotations

from typing import Any

import pytest
from intent_log_builders import accepted_record, attempt

from coveport.balancing import Outcome
from coveport.sidecar.intent_log.pending_operation import (
    STAGE_TRANSITIONS,
    OperationStage,
    PendingOperation,
)
from coveport.sidecar.reducer.operation import Operation


def pending_operation(deadline_s: float, **fields: Any) -> PendingOperation:
    """Return the pending operation of an accepted record."""
    operation = Operation("POST", "/earn", b"", "t1", "k", 0, 1000.0)
    return PendingOperation(1, operation, accepted_record(), deadline_s, **fields)


@pytest.mark.parametrize("stage", OperationStage)
@pytest.mark.parametrize("next_stage", OperationStage)
def test_a_stage_transition_that_the_table_lacks_is_rejected(
    stage: OperationStage, next_stage: OperationStage
) -> None:
    pending = pending_operation(10.0, stage=stage)
    if next_stage in STAGE_TRANSITIONS[stage]:
        pending.move_to(next_stage)
        assert pending.stage is next_stage
    else:
        with pytest.raises(AssertionError):
            pending.move_to(next_stage)


def test_a_send_when_the_owner_was_suspended_is_not_allowed() -> None:
    pending = pending_operation(1.0)
    pending.begin_attempt(0, attempt(), 0.1)
    assert pending.is_send_allowed(0.9)
    assert not pending.is_send_allowed(1.0), "the client's deadline has passed"
    pending.deadline_s = 100.0
    assert pending.is_send_allowed(50.0), "the window applies to repeats only"
    pending.end_attempt(0, Outcome.TIMEOUT)
    pending.begin_attempt(1, attempt(), 5.0)
    assert pending.is_send_allowed(6.07)
    assert not pending.is_send_allowed(6.09), "a cell drops repeats only within the window"
    pending.move_to(OperationStage.FOREIGN)
    assert not pending.is_send_allowed(5.0)


def test_a_send_when_unrecorded_is_allowed_only_with_may_send() -> None:
    pending = pending_operation(1.0, stage=OperationStage.UNRECORDED)
    assert pending.is_send_allowed(0.5)
    pending.may_send = False
    assert not pending.is_send_allowed(0.5)
