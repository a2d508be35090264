"""One operation that an instance executes and records: its stages, and the check before each send. Pure.

What is written and when is the matter of `record_writer`.
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

# A repeat isn't sent so close to the end of its window: its bytes still have to get to the socket.
WINDOW_MARGIN_MS = 20.0


class OperationStage(Enum):
    """Whose an operation's record is, as far as this instance knows."""

    OWNED = "owned"  # this instance's
    FOREIGN = "foreign"  # another's, or of an earlier generation: its client waits, or is gone
    UNRECORDED = "unrecorded"  # the store didn't respond: it goes on without a record, or not at all
    DONE = "done"  # answered, and what there was to write is written


STAGE_TRANSITIONS: dict[OperationStage, frozenset[OperationStage]] = {
    OperationStage.OWNED: frozenset({OperationStage.FOREIGN, OperationStage.UNRECORDED, OperationStage.DONE}),
    OperationStage.FOREIGN: frozenset({OperationStage.OWNED, OperationStage.DONE}),
    OperationStage.UNRECORDED: frozenset({OperationStage.DONE}),
    OperationStage.DONE: frozenset(),
}

SendCheck = Callable[[], bool]
"""Whether bytes may still be sent; called right before the first one."""

ResumeSend = Callable[[SendCheck | None], None]
"""Sends a route step under a send check; None: the step must not be sent."""


@dataclass(slots=True, eq=False)
class PendingOperation:
    """State of an operation from its acceptance to the durable end of its record.

    Times are seconds by a monotonic clock that runs through sleep.
    """

    number: int  # by which the executor knows it
    operation: Operation
    record: Record  # as it should be
    deadline_s: float  # its client's
    stage: OperationStage = OperationStage.OWNED
    durable_record: Record | None = None  # as it stands in the store, as far as known; None: nowhere
    record_in_flight: Record | None = None  # as the latest write has it
    revision: int = 0  # of `durable_record`
    first_attempt_revision: int = 0  # at which its first attempt was stored
    first_attempt_s: float = inf  # no later than the first attempt that may have run was sent
    is_writing: bool = False
    may_send: bool = True  # UNRECORDED: whether it may be sent all the same
    is_takeover: bool = False  # executed for its own sake: no client of this instance waits for it
    attempt_indexes: dict[int, int] = field(default_factory=dict)  # in the record, by route step
    waiting_sends: dict[int, ResumeSend] = field(default_factory=dict)  # route steps not durable yet
    numbers: set[int] = field(default_factory=set)  # all by which the executor has known it
    is_answered: bool = False  # its client has its response, or is gone
    deliver_response: Callable[[], None] | None = None  # a response that waits to be durable

    def __post_init__(self) -> None:
        self.numbers.add(self.number)

    def move_to(self, stage: OperationStage) -> None:
        """Go on to a stage that the table allows."""
        if stage not in STAGE_TRANSITIONS[self.stage]:
            raise AssertionError(f"no way from {self.stage} to {stage}")
        self.stage = stage

    def is_durable(self, step: int) -> bool:
        """Whether the attempt of a route step stands in the store."""
        if self.durable_record is None:
            return False
        return self.attempt_indexes[step] < len(self.durable_record.attempts)

    def is_send_allowed(self, now_s: float) -> bool:
        """Whether bytes of an attempt may still be sent.

        Guards against an owner that was suspended: its client's deadline is over, or the window within which
        a cell drops the repeat of what a successor may have sent meanwhile.
        """
        is_unrecorded = self.stage is OperationStage.UNRECORDED and self.may_send
        if self.stage is not OperationStage.OWNED and not is_unrecorded:
            return False
        if now_s >= self.deadline_s:
            return False
        policy = self.record.policy
        # The attempt about to be sent is one of them.
        is_first = len(self.record.uncertain_attempts) < 2
        if policy.effect is not Effect.KEYED or is_first:
            return True
        return (now_s - self.first_attempt_s) * 1000 < policy.window_ms - WINDOW_MARGIN_MS

    def begin_attempt(self, step: int, attempt: Attempt, now_s: float) -> None:
        """Add the attempt of a route step; RecordError where the policy allows no more."""
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
        """Close its record; the first status stands."""
        if self.record.recovery_point is not RecoveryPoint.CLOSED:
            record = msgspec.structs.replace(self.record, sealed_response=sealed_response)
            self.record = record.closed(status, reason, unix_s)

    def final_status(self, *, served: bool, busy: bool) -> tuple[FinalStatus, str]:
        """Return status and reason with which its record is closed, by the response its client gets."""
        has_response = self.record.recovery_point is RecoveryPoint.ANSWERED
        if has_response:
            return FinalStatus.SERVED, "" if served else "its client was told that it failed"
        if not self.record.may_have_run:
            return (FinalStatus.REFUSED, "") if busy else (FinalStatus.NEVER_RAN, "told failed")
        if self.is_takeover:
            return FinalStatus.UNKNOWN, "taken over, and no answer came"
        return FinalStatus.FAILED, "told busy" if busy else ""

    def earlier_attempts(self, now_s: float, now_ms: float) -> tuple[balancing.PriorAttempt, ...]:
        """Return its attempts as the balancer is given them, at `now_ms` of the balancer's clock."""
        age_ms = max(0.0, now_s - self.first_attempt_s) * 1000 if self.first_attempt_s < inf else 0.0
        first_attempt_ms = now_ms - age_ms
        return tuple(
            balancing.PriorAttempt(attempt.zone, attempt.cell, first_attempt_ms, attempt.may_have_run)
            for attempt in self.record.attempts
        )
