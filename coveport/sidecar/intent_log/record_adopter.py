"""Continues records of another instance or an earlier generation, by the rules in `takeover`."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from dataclasses import replace
from math import inf

import msgspec

from coveport import balancing
from coveport.balancing import Effect
from coveport.sidecar.intent_log.execution import AbsentClient, Client, RecordingClient
from coveport.sidecar.intent_log.payloads import StoredResponse
from coveport.sidecar.intent_log.pending_operation import OperationStage, PendingOperation
from coveport.sidecar.intent_log.record import FinalStatus, Record, RecoveryPoint
from coveport.sidecar.intent_log.record_layout import DrainNotice
from coveport.sidecar.intent_log.record_writer import RecordWriter
from coveport.sidecar.intent_log.takeover import (
    COUNTER_SUFFIXES,
    TakeoverAction,
    TakeoverDecision,
    decide,
)
from coveport.sidecar.leases.store import Done, Entry, Unknown
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer, Operation

RETRY_DELAY_S = 0.2  # delay before a takeover that was rejected as busy is tried again
MIN_RETRY_MS = 100.0  # minimum time that must remain of a deduplication window for a retry to be made


def as_owned(record: Record, entry: Entry, incarnation: str, token: int) -> Record:
    """Return a stored record, now owned by this instance: claimed if the record is open, else reopened."""
    owned = (record.claimed if record.is_open else record.reopened)(incarnation, token)
    if not owned.attempts:
        return owned
    # The first claim stores this revision; a later write's revision would make the attempts look younger.
    first_revision = owned.first_attempt_revision or entry.modified
    return msgspec.structs.replace(owned, first_attempt_revision=first_revision)


class RecordAdopter(RecordWriter):
    """Claims records, and continues or closes each record as its recovery point allows."""

    async def refresh_drain_notice(self, incarnation: str) -> None:
        """Read whether an incarnation whose session is over is draining; note the result in `presence`."""
        outcome = await self.journal.read(self.layout.drain_key(incarnation))
        if not isinstance(outcome, Done):
            return
        if not outcome.entries:
            self.presence.end_drain(incarnation)
            return
        try:
            within_s = msgspec.json.decode(outcome.entries[0].value, type=DrainNotice).within_s
        except (msgspec.DecodeError, msgspec.ValidationError):
            within_s = 0.0
        self.presence.start_drain(incarnation, self._now_s() + within_s)

    async def claim(self, record: Record, entry: Entry, owned: Record) -> int | None:
        """Write a record as this instance's; return its new revision, None without a confirmed claim."""
        outcome = await self.journal.commit(self.layout.write(record, entry.modified, owned))
        if isinstance(outcome, Unknown):
            # The write may take effect, now or later. When this instance next reads the record as its own but
            # not pending, this instance claims the record again.
            self._count("work_claims_unknown")
            return None
        return outcome.revision if isinstance(outcome, Done) else None

    # Adoption.

    def adopt(self, owned: Record, revision: int, accepted_age_s: float) -> PendingOperation | None:
        """Continue a lost instance's record, claimed at `revision`; return None if already pending.

        `accepted_age_s`: upper bound of the time since the operation was accepted.
        """
        deadline_s = owned.policy.deadline_ms / 1000
        if not owned.may_have_run:
            # No client waits beyond the client's deadline. An operation that may have run is retried without
            # a client, for as long as its deduplication window allows.
            deadline_s = max(0.0, deadline_s - accepted_age_s)
        return self._adopt_without_client(owned, revision, self._now_s() + deadline_s)

    def _adopt_abandoned(self, owned: Record, revision: int) -> None:
        """Continue a record that was claimed for a client which has disconnected meanwhile."""
        self._adopt_without_client(owned, revision, self._now_s() + owned.policy.deadline_ms / 1000)

    def _adopt_without_client(
        self, owned: Record, revision: int, deadline_s: float
    ) -> PendingOperation | None:
        if owned.id in self._by_id:
            return None
        operation = Operation("", "", b"", owned.request_id, owned.idempotency_key or None, 0, 0.0)
        pending = PendingOperation(self._next_own_number(), operation, owned, deadline_s, is_takeover=True)
        self._by_number[pending.number] = pending
        self._set_owned(pending, owned, revision)
        self._continue(pending, None)
        return pending

    def _adopt_for_client(
        self, pending: PendingOperation, client: Client, owned: Record, revision: int
    ) -> None:
        """Continue a record that was claimed for a client which repeats its request."""
        pending.move_to(OperationStage.OWNED)
        self._set_owned(pending, owned, revision)
        self._continue(pending, client)

    def _set_owned(self, pending: PendingOperation, owned: Record, revision: int) -> None:
        """Note that a claimed record is durable at a revision."""
        pending.record = owned
        pending.durable_record = owned
        pending.revision = revision
        pending.first_attempt_revision = owned.first_attempt_revision
        pending.first_attempt_s = self._first_attempt_s(pending)
        self._by_id[owned.id] = pending

    def _next_own_number(self) -> int:
        self._last_own_number -= 1
        return self._last_own_number

    def _first_attempt_s(self, pending: PendingOperation) -> float:
        """Return a time no later than the first attempt; -inf: not known; inf: there is no attempt."""
        if not pending.record.attempts:
            return inf
        max_age_s = self.journal.ages.at_most(self._now_s(), pending.first_attempt_revision)
        return self._now_s() - max_age_s

    # Takeover decisions.

    def _continue(self, pending: PendingOperation, client: Client | None) -> None:
        """Continue the operation of a record that this instance owns, as the takeover rules decide.

        `client` is None if no client waits for the response.
        """
        now_s = self._now_s()
        decision = self._decide(pending, now_s, has_client=client is not None)
        action = decision.action
        self._count(f"work_did_{COUNTER_SUFFIXES[action]}")
        self._log_event("operation_taken_over", id=pending.record.id, action=action.value, rule=decision.rule)
        if action is TakeoverAction.RETRY:
            pending.deadline_s = min(pending.deadline_s, now_s + decision.within_ms / 1000)
        if action in (TakeoverAction.SEND, TakeoverAction.RETRY):
            self._send_again(pending, client, now_s)
        elif action is TakeoverAction.KEEP_RESPONSE:
            self._keep_response(pending, client)
        elif action is TakeoverAction.CLOSE_UNKNOWN:
            self._close(pending, client, FinalStatus.UNKNOWN, decision.rule)
        else:
            self._close(pending, client, FinalStatus.NEVER_RAN, decision.rule)

    def _decide(self, pending: PendingOperation, now_s: float, *, has_client: bool) -> TakeoverDecision:
        has_attempt = pending.first_attempt_s < inf
        age_ms = (now_s - pending.first_attempt_s) * 1000 if has_attempt else 0.0
        left_ms = (pending.deadline_s - now_s) * 1000
        send_ms = self._executor.settings.limits.connect_timeout_ms
        decision = decide(pending.record, left_ms, age_ms, send_ms)
        if has_client and decision.action is TakeoverAction.CLOSE_NEVER_RAN and left_ms > send_ms:
            return replace(
                decision, action=TakeoverAction.SEND, rule="it has not run, and a client waits for it"
            )
        return decision

    def _send_again(self, pending: PendingOperation, client: Client | None, now_s: float) -> None:
        if client is None and self._restored_operation(pending) is None:
            may_have_run = pending.record.may_have_run
            status = FinalStatus.UNKNOWN if may_have_run else FinalStatus.NEVER_RAN
            self._close(pending, client, status, "what was asked is not kept")
            return
        self._execute(pending, client, pending.earlier_attempts(now_s, self._executor.now_ms()))

    def _keep_response(self, pending: PendingOperation, client: Client | None) -> None:
        record = pending.record
        pending.close(FinalStatus.SERVED, "found answered", self._unix_s(), record.sealed_response)
        response = self.codec.decode_response(record.id, record.sealed_response)
        self._close(pending, client, FinalStatus.SERVED, "", response)

    def _restored_operation(self, pending: PendingOperation) -> Operation | None:
        """Return the operation of the recorded request; None if it is not kept or has no class now."""
        record = pending.record
        request = self.codec.decode_request(record.id, record.sealed_request)
        class_names = [request_class.name for request_class in self._executor.settings.classes]
        if request is None or record.class_name not in class_names:
            return None
        return Operation(
            request.method,
            request.target,
            request.body,
            request.request_id,
            request.idempotency_key,
            class_names.index(record.class_name),
            self._wait_ms(pending),
            content_type=request.content_type,
            accept=request.accept,
        )

    def _wait_ms(self, pending: PendingOperation) -> float:
        return max(1.0, (pending.deadline_s - self._now_s()) * 1000)

    def _execute(
        self,
        pending: PendingOperation,
        client: Client | None,
        earlier_attempts: tuple[balancing.PriorAttempt, ...],
    ) -> None:
        """Pass an owned operation to the executor, under a number that the recorder assigns."""
        restored = self._restored_operation(pending) if client is None else None
        source = restored or pending.operation
        # A copy is used, because writes and attempts that are in progress still use the previous operation.
        operation = Operation(
            source.method,
            source.target,
            source.body,
            source.id,
            source.key,
            source.cls,
            self._wait_ms(pending),
            source.repeat,
            source.cost_ms,
            source.content_type,
            source.accept,
            prior_attempts=earlier_attempts,
        )
        pending.number = self._next_own_number()
        pending.numbers.add(pending.number)
        pending.attempt_indexes = {index: index for index in range(len(earlier_attempts))}
        pending.operation = operation
        self._by_number[pending.number] = pending
        self._by_id[pending.record.id] = pending
        if client is not None:
            self._clients[pending.number] = client
        if pending.durable_record is None:
            self._schedule_write(pending)
        stand_in: Client = AbsentClient(self, pending)
        if client is not None:
            stand_in = RecordingClient(self, pending, client)
        self._executor.accept(pending.number, stand_in, operation)

    def _close(
        self,
        pending: PendingOperation,
        client: Client | None,
        status: FinalStatus,
        reason: str,
        response: StoredResponse | None = None,
    ) -> None:
        """Close an owned record without another attempt, and send a response to the client that waits."""
        if pending.record.is_open:
            pending.close(status, reason, self._unix_s())
        pending.is_answered = True
        if client is not None:
            verdict = Verdict.BUSY if status is FinalStatus.NEVER_RAN else Verdict.FAILED
            answer = None
            if status is FinalStatus.SERVED and response is not None:
                verdict = Verdict.SERVED
                answer = Answer(response.body, response.content_type)
            self._executor.answered_elsewhere(pending.record.class_name, verdict)
            client.answer(verdict, answer, 0.0)
        self._schedule_write(pending)

    # Retries of takeovers.

    def _schedule_retry(self, pending: PendingOperation) -> bool:
        """Schedule a retry of a takeover that was rejected as busy; return False if none is allowed."""
        if not self._may_retry_later(pending):
            return False
        self._loop().call_later(RETRY_DELAY_S, self._retry, pending)
        return True

    def _may_retry_later(self, pending: PendingOperation) -> bool:
        policy = pending.record.policy
        window_left_ms = 0.0
        if pending.first_attempt_s < inf:
            window_left_ms = policy.window_ms - (self._now_s() - pending.first_attempt_s) * 1000
        return (
            policy.effect is Effect.KEYED
            and pending.stage is OperationStage.OWNED
            and not pending.waiting_sends
            and window_left_ms >= MIN_RETRY_MS + RETRY_DELAY_S * 1000
            and len(pending.record.attempts) < policy.max_attempts
            and pending.record.recovery_point is RecoveryPoint.SENDING
        )

    def _retry(self, pending: PendingOperation) -> None:
        # Another instance may have claimed the record since this retry was scheduled.
        if pending.stage is OperationStage.OWNED and not pending.is_answered:
            pending.deadline_s = self._now_s() + pending.record.policy.deadline_ms / 1000
            self._continue(pending, None)

    @abstractmethod
    def answered(
        self,
        pending: PendingOperation,
        verdict: Verdict,
        answer: Answer | None,
        deliver: Callable[[], None],
    ) -> None:
        """Handle the one final response; see `execution.ResponseObserver`."""

    @abstractmethod
    def finished(self, pending: PendingOperation, complete: bool) -> None:
        """Handle the end of a streamed response; see `execution.ResponseObserver`."""
