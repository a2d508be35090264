"""One operation that an instance executes and records: its stages, and the check before each send.

The module is pure: it does no I/O, and uses no clock or random source of its own.

`record_writer` decides what is written and when.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

import msgspec

from coveport import balancing
from coveport.balancing import Effect, Outcome
from coveport.sidecar.intent_log.record import Attempt, FinalStatus, Record, RecoveryPoint
from coveport.sidecar.reducer.operation import Operation

# No repeat of an attempt is sent this close to the end of the deduplication window, because the bytes still
# have to reach the socket.
WINDOW_MARGIN_MS = 20.0


class OperationStage(Enum):
    """Ownership of an operation's record, as far as this instance can tell."""

    OWNED = "owned"  # this instance owns the record
    # Another instance or an earlier generation owns the record; the client waits or has left.
    FOREIGN = "foreign"
    # The store didn't respond: the operation goes on without a record, or is not sent.
    UNRECORDED = "unrecorded"
    DONE = "done"  # the operation is answered, and this instance has nothing left to write


STAGE_TRANSITIONS: dict[OperationStage, frozenset[OperationStage]] = {
    OperationStage.OWNED: frozenset({OperationStage.FOREIGN, OperationStage.UNRECORDED, OperationStage.DONE}),
    OperationStage.FOREIGN: frozenset({OperationStage.OWNED, OperationStage.DONE}),
    OperationStage.UNRECORDED: frozenset({OperationStage.DONE}),
    OperationStage.DONE: frozenset(),
}

SendCheck = Callable[[], bool]
"""Returns whether bytes may still be sent; called right before the first byte."""

ResumeSend = Callable[[SendCheck | None], None]
"""Sends a route step under a send check; None: the step must not be sent."""


@dataclass(slots=True, eq=False)
class PendingOperation:
    """State of an operation from its acceptance to the durable end of its record.

    Times are seconds by a monotonic clock that includes time in suspend.
    """

    number: int  # present number of the operation at the executor
    operation: Operation
    record: Record  # latest state of the record; newer than the stored state until written
    deadline_s: float  # deadline of the operation's client
    stage: OperationStage = OperationStage.OWNED
    durable_record: Record | None = None  # latest state that the store confirmed; None: not stored
    record_in_flight: Record | None = None  # state in the latest write
    revision: int = 0  # revision of `durable_record`
    first_attempt_revision: int = 0  # revision at which the first attempt was stored
    # Lower bound of the time at which the first attempt that may have run was sent.
    first_attempt_s: float = inf
    is_writing: bool = False
    may_send: bool = True  # in stage UNRECORDED: whether the operation may be sent without a record
    # Whether the operation was taken over, so that no client of this instance waits for it.
    is_takeover: bool = False
    attempt_indexes: dict[int, int] = field(default_factory=dict)  # index in `record.attempts`, by route step
    # By route step: sends whose attempt is not durable yet.
    waiting_sends: dict[int, ResumeSend] = field(default_factory=dict)
    # All numbers of the operation at the executor, present and past.
    numbers: set[int] = field(default_factory=set)
    is_answered: bool = False  # whether the client has got its response or has disconnected
    # Function that sends the response that waits until the record is durable.
    deliver_response: Callable[[], None] | None = None

    def __post_init__(self) -> None:
        self.numbers.add(self.number)

    def move_to(self, stage: OperationStage) -> None:
        """Change to another stage; raise AssertionError if the table does not allow the change."""
        if stage not in STAGE_TRANSITIONS[self.stage]:
            raise AssertionError(f"no transition from {self.stage} to {stage}")
        self.stage = stage

    def is_durable(self, step: int) -> bool:
        """Return whether the attempt of a route step is durable in the store."""
        if self.durable_record is None:
            return False
        return self.attempt_indexes[step] < len(self.durable_record.attempts)

    def is_send_allowed(self, now_s: float) -> bool:
        """Return whether bytes of an attempt may still be sent.

        The check prevents sends after this instance was suspended: meanwhile the client's deadline may have
        passed, or the window within which a cell drops repeats of an attempt that a successor may have sent.
        """
        is_unrecorded = self.stage is OperationStage.UNRECORDED and self.may_send
        if self.stage is not OperationStage.OWNED and not is_unrecorded:
            return False
        if now_s >= self.deadline_s:
            return False
        policy = self.record.policy
        # The attempt that is about to be sent is among the uncertain attempts.
        is_first = len(self.record.uncertain_attempts) < 2
        if policy.effect is not Effect.KEYED or is_first:
            return True
        return (now_s - self.first_attempt_s) * 1000 < policy.window_ms - WINDOW_MARGIN_MS

    def begin_attempt(self, step: int, attempt: Attempt, now_s: float) -> None:
        """Add the attempt of a route step; raise RecordError if the policy allows no more."""
        if not self.record.may_have_run:
            self.first_attempt_s = now_s
        self.record = self.record.with_attempt(attempt)
        self.attempt_indexes[step] = len(self.record.attempts) - 1

    def end_attempt(self, step: int, outcome: Outcome) -> None:
        """Note the outcome of a route step."""
        index = self.attempt_indexes.get(step)
        if index is not None:
            self.record = self.record.with_outcome(index, outcome)

    def close(self, status: FinalStatus, reason: str, unix_s: float, sealed_response: bytes = b"") -> None:
        """Close the operation's record; do nothing if the record is closed already."""
        if self.record.recovery_point is not RecoveryPoint.CLOSED:
            record = msgspec.structs.replace(self.record, sealed_response=sealed_response)
            self.record = record.closed(status, reason, unix_s)

    def final_status(self, *, served: bool, busy: bool) -> tuple[FinalStatus, str]:
        """Return the status and reason for closing the record, by the response that the client gets."""
        has_response = self.record.recovery_point is RecoveryPoint.ANSWERED
        if has_response:
            return FinalStatus.SERVED, "" if served else "its client was told that it failed"
        if not self.record.may_have_run:
            return (FinalStatus.REFUSED, "") if busy else (FinalStatus.NEVER_RAN, "told failed")
        if self.is_takeover:
            return FinalStatus.UNKNOWN, "taken over, and no answer came"
        return FinalStatus.FAILED, "told busy" if busy else ""

    def earlier_attempts(self, now_s: float, now_ms: float) -> tuple[balancing.PriorAttempt, ...]:
        """Return the operation's attempts in the balancer's form; `now_ms`: now, by the balancer's clock."""
        age_ms = max(0.0, now_s - self.first_attempt_s) * 1000 if self.first_attempt_s < inf else 0.0
        first_attempt_ms = now_ms - age_ms
        return tuple(
            balancing.PriorAttempt(attempt.zone, attempt.cell, first_attempt_ms, attempt.may_have_run)
            for attempt in self.record.attempts
        )
