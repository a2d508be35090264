"""Record of an operation: its recovery points and the transitions between them. Pure.

    ACCEPTED -> SENDING -> ANSWERED -> CLOSED

CLOSED follows from every recovery point; SENDING follows SENDING for a further attempt. The table at the head
of `record_writer` says what has to be durable before which act.

A record keeps the execution policy that it was accepted under: a reload of the settings does not change it.
Times are Unix seconds by the clock of whoever wrote them, for people alone; nothing is decided by comparing
them (see `observed_age`). A closed record is reopened only when its client repeats the request
(`replay_decision`).

Names under which a field is stored differ from its attribute where `msgspec.field(name=...)` says so.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from coveport.balancing import NEVER_RAN, DeduplicationScope, Effect, Outcome, RequestClass
from coveport.sidecar.intent_log.errors import InvalidTransitionError

FORMAT = 1  # version of the stored form; a record of a later one is left alone


class RecoveryPoint(Enum):
    """How far an operation has come, as far as the store knows."""

    ACCEPTED = "taken"  # a response is owed; nothing was sent
    SENDING = "sending"  # an attempt may be in flight
    ANSWERED = "answered"  # a node's response is known
    CLOSED = "closed"


class FinalStatus(Enum):
    """How an operation was closed."""

    SERVED = "served"
    REFUSED = "refused"  # rejected as busy: it did not run, and the client was notified
    FAILED = "failed"  # the client was notified of a failure; it may have run
    NEVER_RAN = "never-run"  # found by a successor, or resolved by staff
    UNKNOWN = "unknown"  # may have run; staff resolve it


TRANSITIONS: dict[RecoveryPoint, frozenset[RecoveryPoint]] = {
    RecoveryPoint.ACCEPTED: frozenset({RecoveryPoint.SENDING, RecoveryPoint.CLOSED}),
    RecoveryPoint.SENDING: frozenset({RecoveryPoint.SENDING, RecoveryPoint.ANSWERED, RecoveryPoint.CLOSED}),
    RecoveryPoint.ANSWERED: frozenset({RecoveryPoint.CLOSED}),
    RecoveryPoint.CLOSED: frozenset(),
}
# Statuses that claim it did not run: false where an attempt may have.
NOT_EXECUTED = frozenset({FinalStatus.REFUSED, FinalStatus.NEVER_RAN})


class ExecutionPolicy(msgspec.Struct, frozen=True):
    """What an operation's class allowed when it was accepted."""

    effect: Effect
    group: DeduplicationScope
    window_ms: float  # for how long a cell drops repeats of a key
    max_attempts: int = msgspec.field(name="most_attempts")
    deadline_ms: float = 1000.0

    @classmethod
    def of(cls, request_class: RequestClass, max_attempts: int) -> ExecutionPolicy:
        """Return the policy of a class as it is configured now."""
        return cls(
            request_class.effect,
            request_class.group,
            request_class.window_ms,
            max_attempts,
            request_class.deadline_ms,
        )


class Attempt(msgspec.Struct, frozen=True):
    """One attempt; durable before its first byte is sent."""

    node: str  # address
    zone: int
    cell: int
    incarnation: str = msgspec.field(name="by")  # of the instance that made it
    outcome: Outcome | None = msgspec.field(name="ended", default=None)  # None: not known
    recorded_unix_s: float = msgspec.field(name="unix", default=0.0)

    @property
    def may_have_run(self) -> bool:
        """Whether no outcome proves that it did not run."""
        return self.outcome is None or self.outcome not in NEVER_RAN


class ManualResolution(msgspec.Struct, frozen=True):
    """What staff found out about an operation whose outcome was not known."""

    final_status: FinalStatus = msgspec.field(name="end")  # SERVED or NEVER_RAN
    resolved_by: str = msgspec.field(name="by")
    reason: str = msgspec.field(name="why")
    resolved_unix_s: float = msgspec.field(name="unix", default=0.0)


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Stored record of one operation; every change returns a new one."""

    format: int = FORMAT
    id: str
    idempotency_key: str = msgspec.field(name="key")  # Idempotency-Key; empty: none
    class_name: str = msgspec.field(name="cls")
    # Of method, target and body: another request under the same key is refused; empty: see `sealed_request`.
    request_digest: str = msgspec.field(name="digest")
    policy: ExecutionPolicy = msgspec.field(name="rules")
    owner: str  # incarnation
    owner_token: int = msgspec.field(name="token")  # revision at which the owner's session key was created
    recovery_point: RecoveryPoint = msgspec.field(name="state", default=RecoveryPoint.ACCEPTED)
    attempts: tuple[Attempt, ...] = ()
    final_status: FinalStatus | None = msgspec.field(name="end", default=None)
    reason: str = msgspec.field(name="why", default="")
    sealed_request: bytes = msgspec.field(name="request", default=b"")  # empty: not kept
    sealed_response: bytes = msgspec.field(name="answer", default=b"")  # empty: none, or not kept
    # Revision at which the first of `attempts` was stored; 0: that of this write.
    first_attempt_revision: int = msgspec.field(name="since", default=0)
    generation: int = msgspec.field(name="lives", default=1)  # how often it was accepted
    previous_owners: tuple[str, ...] = msgspec.field(name="owners", default=())
    request_id: str = msgspec.field(name="asked", default="")  # X-Request-Id of the latest request for it
    accepted_unix_s: float = msgspec.field(name="unix", default=0.0)
    closed_unix_s: float = msgspec.field(name="closed_unix", default=0.0)
    resolution: ManualResolution | None = msgspec.field(name="settled", default=None)

    def moved_to(self, point: RecoveryPoint) -> Record:
        """Return it at another recovery point; InvalidTransitionError where the table has no such way."""
        if point not in TRANSITIONS[self.recovery_point]:
            raise InvalidTransitionError(
                f"{self.id}: no way from {self.recovery_point.value} to {point.value}"
            )
        return msgspec.structs.replace(self, recovery_point=point)

    def with_attempt(self, attempt: Attempt) -> Record:
        """Return it with a further attempt; InvalidTransitionError where the policy allows no more."""
        if len(self.attempts) >= self.policy.max_attempts:
            raise InvalidTransitionError(
                f"{self.id}: {len(self.attempts)} attempts were made, by all instances together"
            )
        sending = self.moved_to(RecoveryPoint.SENDING)
        return msgspec.structs.replace(sending, attempts=(*self.attempts, attempt))

    def with_outcome(self, index: int, outcome: Outcome) -> Record:
        """Return it with the outcome of an attempt; the first stands: a response can't be revoked."""
        attempt = self.attempts[index]
        if self.recovery_point is RecoveryPoint.CLOSED or attempt.outcome is not None:
            return self
        finished = msgspec.structs.replace(attempt, outcome=outcome)
        attempts = (*self.attempts[:index], finished, *self.attempts[index + 1 :])
        record = msgspec.structs.replace(self, attempts=attempts)
        if outcome is Outcome.OK and self.recovery_point is RecoveryPoint.SENDING:
            return record.moved_to(RecoveryPoint.ANSWERED)
        return record

    def closed(self, status: FinalStatus, reason: str = "", unix_s: float = 0.0) -> Record:
        """Return it closed; InvalidTransitionError for a status that its attempts contradict."""
        if status in NOT_EXECUTED and self.may_have_run:
            raise InvalidTransitionError(
                f"{self.id}: can't be closed as {status.value}: an attempt may have run"
            )
        if (status is FinalStatus.SERVED) is not (self.recovery_point is RecoveryPoint.ANSWERED):
            raise InvalidTransitionError(
                f"{self.id}: can't be closed as {status.value} from {self.recovery_point.value}"
            )
        return msgspec.structs.replace(
            self.moved_to(RecoveryPoint.CLOSED),
            final_status=status,
            reason=reason,
            closed_unix_s=unix_s,
        )

    def claimed(self, incarnation: str, token: int) -> Record:
        """Return it under a new owner; InvalidTransitionError where it is closed."""
        if self.recovery_point is RecoveryPoint.CLOSED:
            raise InvalidTransitionError(f"{self.id}: it is closed")
        return msgspec.structs.replace(
            self,
            owner=incarnation,
            owner_token=token,
            previous_owners=(*self.previous_owners, self.owner),
        )

    def reopened(self, incarnation: str, token: int) -> Record:
        """Return a closed one as its next generation, for a client that repeats the request.

        What did not run begins anew. What may have run keeps its attempts: they count, and restrict it to
        their cell and window. Raises InvalidTransitionError where it is open or may not run again.
        """
        not_executed = self.final_status in NOT_EXECUTED or (
            self.resolution is not None and self.resolution.final_status is FinalStatus.NEVER_RAN
        )
        if self.recovery_point is not RecoveryPoint.CLOSED or not (not_executed or self.may_be_retried):
            raise InvalidTransitionError(f"{self.id}: can't be taken again")
        return msgspec.structs.replace(
            self,
            owner=incarnation,
            owner_token=token,
            recovery_point=RecoveryPoint.ACCEPTED if not_executed else RecoveryPoint.SENDING,
            attempts=() if not_executed else self.attempts,
            first_attempt_revision=0 if not_executed else self.first_attempt_revision,
            final_status=None,
            reason="",
            resolution=None,
            generation=self.generation + 1,
            previous_owners=(*self.previous_owners, self.owner),
            closed_unix_s=0.0,
        )

    def resolved(self, status: FinalStatus, resolved_by: str, reason: str, unix_s: float = 0.0) -> Record:
        """Return it with staff's resolution beside its final status.

        Raises InvalidTransitionError where its outcome is known, it was resolved before, or the resolution is
        not SERVED or NEVER_RAN with a name and a reason.
        """
        if self.final_status is not FinalStatus.UNKNOWN and self.final_status is not FinalStatus.FAILED:
            raise InvalidTransitionError(f"{self.id}: there is nothing to settle: it is {self.status}")
        if self.resolution is not None:
            raise InvalidTransitionError(
                f"{self.id}: settled as {self.resolution.final_status.value} by "
                f"{self.resolution.resolved_by} already"
            )
        is_resolving = status in (FinalStatus.SERVED, FinalStatus.NEVER_RAN)
        if not is_resolving or not resolved_by.strip() or not reason.strip():
            raise InvalidTransitionError(
                f"{self.id}: settled as served or never-run, with a name and a reason"
            )
        resolution = ManualResolution(status, resolved_by, reason, unix_s)
        return msgspec.structs.replace(self, resolution=resolution)

    @property
    def status(self) -> str:
        """The final status, or the recovery point while it is open, as one word."""
        return self.final_status.value if self.final_status is not None else self.recovery_point.value

    @property
    def is_open(self) -> bool:
        """Whether an instance still has to finish it."""
        return self.recovery_point is not RecoveryPoint.CLOSED

    @property
    def may_be_retried(self) -> bool:
        """Whether its class allows an operation that may have run to be sent again."""
        is_unresolved = (
            self.final_status in (FinalStatus.FAILED, FinalStatus.UNKNOWN) and self.resolution is None
        )
        return is_unresolved and self.policy.effect is not Effect.UNSAFE

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def uncertain_attempts(self) -> tuple[Attempt, ...]:
        """The attempts that may have run."""
        return tuple(attempt for attempt in self.attempts if attempt.may_have_run)
