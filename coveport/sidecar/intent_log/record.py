"""Record of an operation: its recovery points and the transitions between them.

The module is pure: it does no I/O, and uses no clock or random source of its own.

    ACCEPTED -> SENDING -> ANSWERED -> CLOSED

CLOSED can follow every other recovery point; SENDING follows SENDING for a further attempt. The table at the
head of `record_writer` lists which state has to be durable before which action.

A record keeps the execution policy that it was accepted under: a reload of the settings does not change it.
Times are Unix seconds by the clock of the instance that wrote them. They are shown to operators and are not
compared to decide anything (see `observed_age`). A closed record is reopened only when its client repeats the
request (`replay_decision`).

A field with `msgspec.field(name=...)` is stored under that name instead of the attribute's name.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from coveport.balancing import NEVER_RAN, DeduplicationScope, Effect, Outcome, RequestClass
from coveport.sidecar.intent_log.errors import InvalidTransitionError

FORMAT = 1  # version of the stored form; records of a later version are not changed


class RecoveryPoint(Enum):
    """Progress of an operation, as recorded in the store."""

    ACCEPTED = "taken"  # the client waits for a response; nothing was sent
    SENDING = "sending"  # an attempt may be in flight
    ANSWERED = "answered"  # a node's response is known
    CLOSED = "closed"


class FinalStatus(Enum):
    """How an operation was closed."""

    SERVED = "served"
    REFUSED = "refused"  # rejected as busy: the operation did not run, and the client got that response
    FAILED = "failed"  # the client got a failure; the operation may have run
    NEVER_RAN = "never-run"  # the operation did not run, as its owner, a successor or an operator determined
    UNKNOWN = "unknown"  # the operation may have run; an operator resolves the record


TRANSITIONS: dict[RecoveryPoint, frozenset[RecoveryPoint]] = {
    RecoveryPoint.ACCEPTED: frozenset({RecoveryPoint.SENDING, RecoveryPoint.CLOSED}),
    RecoveryPoint.SENDING: frozenset({RecoveryPoint.SENDING, RecoveryPoint.ANSWERED, RecoveryPoint.CLOSED}),
    RecoveryPoint.ANSWERED: frozenset({RecoveryPoint.CLOSED}),
    RecoveryPoint.CLOSED: frozenset(),
}
# Statuses that say that the operation did not run. They are not allowed if an attempt may have run.
NOT_EXECUTED = frozenset({FinalStatus.REFUSED, FinalStatus.NEVER_RAN})


class ExecutionPolicy(msgspec.Struct, frozen=True):
    """Rules of an operation's class at the time when the operation was accepted."""

    effect: Effect
    group: DeduplicationScope
    window_ms: float  # deduplication window: how long a cell drops repeats of a key
    max_attempts: int = msgspec.field(name="most_attempts")
    deadline_ms: float = 1000.0

    @classmethod
    def of(cls, request_class: RequestClass, max_attempts: int) -> ExecutionPolicy:
        """Return the policy of a class by the present settings of the class."""
        return cls(
            request_class.effect,
            request_class.group,
            request_class.window_ms,
            max_attempts,
            request_class.deadline_ms,
        )


class Attempt(msgspec.Struct, frozen=True):
    """One attempt; the attempt is durable before its first byte is sent."""

    node: str  # address of the node
    zone: int
    cell: int
    incarnation: str = msgspec.field(name="by")  # incarnation of the instance that made the attempt
    outcome: Outcome | None = msgspec.field(name="ended", default=None)  # None: not known
    recorded_unix_s: float = msgspec.field(name="unix", default=0.0)

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt may have run: true unless its outcome proves that the attempt did not run."""
        return self.outcome is None or self.outcome not in NEVER_RAN


class ManualResolution(msgspec.Struct, frozen=True):
    """An operator's resolution of an operation whose outcome was not known."""

    final_status: FinalStatus = msgspec.field(name="end")  # SERVED or NEVER_RAN
    resolved_by: str = msgspec.field(name="by")
    reason: str = msgspec.field(name="why")
    resolved_unix_s: float = msgspec.field(name="unix", default=0.0)


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Stored record of one operation; immutable: each change returns a new record."""

    format: int = FORMAT
    id: str
    idempotency_key: str = msgspec.field(name="key")  # Idempotency-Key; empty: the request has none
    class_name: str = msgspec.field(name="cls")
    # Digest of method, target and body, by which another request under the same key is rejected. Empty if
    # `sealed_request` is kept.
    request_digest: str = msgspec.field(name="digest")
    policy: ExecutionPolicy = msgspec.field(name="rules")
    owner: str  # incarnation of the owning instance
    owner_token: int = msgspec.field(name="token")  # revision at which the owner's session key was created
    recovery_point: RecoveryPoint = msgspec.field(name="state", default=RecoveryPoint.ACCEPTED)
    attempts: tuple[Attempt, ...] = ()
    final_status: FinalStatus | None = msgspec.field(name="end", default=None)
    reason: str = msgspec.field(name="why", default="")
    sealed_request: bytes = msgspec.field(name="request", default=b"")  # encrypted request; empty: not kept
    # Encrypted response; empty: none, or not kept.
    sealed_response: bytes = msgspec.field(name="answer", default=b"")
    # Revision at which the first of `attempts` was stored; 0: the revision of this record itself.
    first_attempt_revision: int = msgspec.field(name="since", default=0)
    # Number of times that the operation was accepted.
    generation: int = msgspec.field(name="lives", default=1)
    previous_owners: tuple[str, ...] = msgspec.field(name="owners", default=())
    request_id: str = msgspec.field(name="asked", default="")  # X-Request-Id of the latest request
    accepted_unix_s: float = msgspec.field(name="unix", default=0.0)
    closed_unix_s: float = msgspec.field(name="closed_unix", default=0.0)
    resolution: ManualResolution | None = msgspec.field(name="settled", default=None)

    def moved_to(self, point: RecoveryPoint) -> Record:
        """Return the record at another recovery point.

        Raise InvalidTransitionError if the table has no such transition.
        """
        if point not in TRANSITIONS[self.recovery_point]:
            raise InvalidTransitionError(
                f"{self.id}: no transition from {self.recovery_point.value} to {point.value}"
            )
        return msgspec.structs.replace(self, recovery_point=point)

    def with_attempt(self, attempt: Attempt) -> Record:
        """Return the record with a further attempt.

        Raise InvalidTransitionError if the policy allows no more.
        """
        if len(self.attempts) >= self.policy.max_attempts:
            raise InvalidTransitionError(
                f"{self.id}: {len(self.attempts)} attempts were made, by all instances together"
            )
        sending = self.moved_to(RecoveryPoint.SENDING)
        return msgspec.structs.replace(sending, attempts=(*self.attempts, attempt))

    def with_outcome(self, index: int, outcome: Outcome) -> Record:
        """Return the record with an attempt's outcome; an outcome that is already known is kept.

        A response can't be revoked, so a later outcome of the same attempt is ignored.
        """
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
        """Return the closed record; raise InvalidTransitionError if its attempts contradict the status."""
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
        """Return the record under a new owner; raise InvalidTransitionError if the record is closed."""
        if self.recovery_point is RecoveryPoint.CLOSED:
            raise InvalidTransitionError(f"{self.id}: it is closed")
        return msgspec.structs.replace(
            self,
            owner=incarnation,
            owner_token=token,
            previous_owners=(*self.previous_owners, self.owner),
        )

    def reopened(self, incarnation: str, token: int) -> Record:
        """Return a closed record as its next generation, for a client that repeats the request.

        An operation that did not run starts again without attempts. An operation that may have run keeps its
        attempts: these count towards the limit, and restrict the operation to their cell and window. Raise
        InvalidTransitionError if the record is open or the operation may not run again.
        """
        not_executed = self.final_status in NOT_EXECUTED or (
            self.resolution is not None and self.resolution.final_status is FinalStatus.NEVER_RAN
        )
        if self.recovery_point is not RecoveryPoint.CLOSED or not (not_executed or self.may_be_retried):
            raise InvalidTransitionError(f"{self.id}: can't be accepted again")
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
        """Return the record with an operator's resolution in addition to its final status.

        Raise InvalidTransitionError if its outcome is known, it was resolved before, or the resolution is
        not SERVED or NEVER_RAN with a name and a reason.
        """
        if self.final_status is not FinalStatus.UNKNOWN and self.final_status is not FinalStatus.FAILED:
            raise InvalidTransitionError(f"{self.id}: there is nothing to settle: it is {self.status}")
        if self.resolution is not None:
            raise InvalidTransitionError(
                f"{self.id}: already settled as {self.resolution.final_status.value} by "
                f"{self.resolution.resolved_by}"
            )
        is_resolving = status in (FinalStatus.SERVED, FinalStatus.NEVER_RAN)
        if not is_resolving or not resolved_by.strip() or not reason.strip():
            raise InvalidTransitionError(
                f"{self.id}: can be settled only as served or never-run, with a name and a reason"
            )
        resolution = ManualResolution(status, resolved_by, reason, unix_s)
        return msgspec.structs.replace(self, resolution=resolution)

    @property
    def status(self) -> str:
        """The final status as one word, or the recovery point while the record is open."""
        return self.final_status.value if self.final_status is not None else self.recovery_point.value

    @property
    def is_open(self) -> bool:
        """Whether an instance still has to finish the operation."""
        return self.recovery_point is not RecoveryPoint.CLOSED

    @property
    def may_be_retried(self) -> bool:
        """Whether an operation that failed or is unknown may be sent again under its class's rules."""
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
