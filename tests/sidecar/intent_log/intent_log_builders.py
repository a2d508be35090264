"""Records in every recovery point and status, for the tests of the intent log."""

from __future__ import annotations

from typing import Any

from coveport.balancing import DeduplicationScope, Effect, Outcome
from coveport.sidecar.intent_log.record import Attempt, ExecutionPolicy, FinalStatus, Record

KEYED = ExecutionPolicy(Effect.KEYED, DeduplicationScope.CELL, 6000.0, 3)
UNSAFE = ExecutionPolicy(Effect.UNSAFE, DeduplicationScope.ALL, 0.0, 3)


def accepted_record(policy: ExecutionPolicy = KEYED, **fields: Any) -> Record:
    """Return an open record of instance s0; its recovery point is ACCEPTED by default."""
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


def attempt(outcome: Outcome | None = None, cell: int = 1, zone: int = 0) -> Attempt:
    """Return an attempt of instance s0; without an outcome it may have run."""
    return Attempt("n1", zone, cell, "s0#1", outcome)


def closed_record(
    status: FinalStatus, policy: ExecutionPolicy = KEYED, *, may_have_run: bool = True
) -> Record:
    """Return a record that was closed 100 s after the epoch."""
    record = accepted_record(policy)
    is_served = status is FinalStatus.SERVED
    if may_have_run or is_served:
        outcome = Outcome.OK if is_served else Outcome.RESET
        record = record.with_attempt(attempt()).with_outcome(0, outcome)
    return record.closed(status, unix_s=100.0)


CLOSED_RECORDS = [
    closed_record(FinalStatus.SERVED),
    closed_record(FinalStatus.FAILED),
    closed_record(FinalStatus.UNKNOWN),
    closed_record(FinalStatus.REFUSED, may_have_run=False),
    closed_record(FinalStatus.NEVER_RAN, may_have_run=False),
]
OPEN_RECORDS = [accepted_record(), accepted_record().with_attempt(attempt())]
