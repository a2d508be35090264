"""Answers clients whose request is already recorded, by this instance, a peer or an earlier generation."""

from __future__ import annotations

import asyncio

import msgspec

from coveport import balancing
from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.execution import Client
from coveport.sidecar.intent_log.payloads import StoredRequest
from coveport.sidecar.intent_log.pending_operation import OperationStage, PendingOperation
from coveport.sidecar.intent_log.presence import OwnerStatus
from coveport.sidecar.intent_log.record import ExecutionPolicy, Record
from coveport.sidecar.intent_log.record_adopter import RecordAdopter, as_owned
from coveport.sidecar.intent_log.record_codec import decode
from coveport.sidecar.intent_log.record_layout import digest_of
from coveport.sidecar.intent_log.replay_decision import (
    ReplayAction,
    decide_replay,
    may_be_rejected_as_busy,
)
from coveport.sidecar.leases.store import Done, Entry
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer, Operation

POLL_INTERVAL_S = (0.015, 0.03)  # bounds of the random time between two reads of an awaited record
DEADLINE_MARGIN_S = 0.03  # time before its deadline at which a client's wait ends without a result


class RepeatedRequests(RecordAdopter):
    """Makes a client wait for its record's owner, and takes the record over if the owner is lost.

    The client's pending operation is FOREIGN meanwhile. After every `await` the operation may be DONE,
    because the client may have disconnected, so each `await` is followed by a check of the stage.
    """

    def _wait_for_owner(self, pending: PendingOperation) -> None:
        if pending.stage is not OperationStage.FOREIGN:
            return
        self._executor.withdraw(pending.number)
        client = self._clients.get(pending.number)
        if pending.is_takeover or client is None:
            self._finish(pending)
            return
        number = pending.number
        task = asyncio.ensure_future(self._wait(pending, client))
        self._waiters[number] = task
        task.add_done_callback(lambda _: self._waiters.pop(number, None))

    async def _wait(self, pending: PendingOperation, client: Client) -> None:
        """Poll the record until the client can be answered, or its deadline is near."""
        record: Record | None = pending.record if pending.revision else None
        while self._may_wait(pending):
            own = self._deferred.get(pending.record.id) or self._by_id.get(pending.record.id)
            if own is not None:
                # The stored record is not acted on, because the stored state may be older than the state at
                # this instance, and the operation could then be executed a second time.
                record = own.record
                await self._wait_for_next_poll()
                continue
            outcome = await self.journal.read(self.layout.record_key(pending.record.id))
            if pending.stage is not OperationStage.FOREIGN:
                return
            if isinstance(outcome, Done):
                record = await self._act_on_stored(pending, client, outcome)
                if record is None:
                    return
            await self._wait_for_next_poll()
        if pending.stage is OperationStage.FOREIGN:
            self._count("work_told_late")
            is_busy = may_be_rejected_as_busy(record)
            self._answer_client(pending, client, Verdict.BUSY if is_busy else Verdict.FAILED)

    async def _act_on_stored(self, pending: PendingOperation, client: Client, stored: Done) -> Record | None:
        """Act on the stored record; return the record if the wait goes on, None if the wait is over."""
        if not stored.entries:
            self._accept_anew(pending, client)
            return None
        try:
            record = decode(stored.entries[0].value)
        except RecordError as error:
            self._log_event("record_unreadable", id=pending.record.id, why=str(error))
            self._answer_client(pending, client, Verdict.FAILED)
            return None
        is_over = await self._answer_if_decided(pending, client, record, stored.entries[0])
        return None if is_over else record

    def _may_wait(self, pending: PendingOperation) -> bool:
        is_in_time = self._now_s() < pending.deadline_s - DEADLINE_MARGIN_S
        return pending.stage is OperationStage.FOREIGN and is_in_time

    async def _wait_for_next_poll(self) -> None:
        await asyncio.sleep(self._runtime.rng.uniform(*POLL_INTERVAL_S))

    async def _answer_if_decided(
        self, pending: PendingOperation, client: Client, record: Record, entry: Entry
    ) -> bool:
        """Act on a stored record; return whether the wait is over."""
        response = self.codec.decode_response(record.id, record.sealed_response)
        has_response = response is not None
        decision = decide_replay(
            record,
            self._owner_status(record),
            same_request=self._is_same_request(pending, record),
            has_response=has_response,
        )
        if decision.action is ReplayAction.CLAIM and record.owner != self.incarnation:
            # The drain notice is read again, so that no record is claimed from an owner that is draining and
            # about to finish the operation.
            await self.refresh_drain_notice(record.owner)
            decision = decide_replay(
                record, self._owner_status(record), same_request=True, has_response=has_response
            )
        if decision.action is ReplayAction.WAIT or pending.stage is not OperationStage.FOREIGN:
            return decision.action is not ReplayAction.WAIT
        self._count(f"work_again_{decision.action.value}")
        if decision.action is ReplayAction.RETURN_RESPONSE:
            assert response is not None
            answer = Answer(response.body, response.content_type)
            self._answer_client(pending, client, Verdict.SERVED, answer)
            return True
        if decision.action is ReplayAction.KEY_REUSED:
            self._answer_client(pending, client, Verdict.DUPLICATE)
            return True
        if decision.action is ReplayAction.FAIL:
            self._answer_client(pending, client, Verdict.FAILED)
            return True
        return await self._claim_for_client(pending, client, record, entry)

    async def _claim_for_client(
        self, pending: PendingOperation, client: Client, record: Record, entry: Entry
    ) -> bool:
        """Claim a record and continue the operation for the client; return whether both steps were done."""
        owned = as_owned(record, entry, self.incarnation, self.token)
        owned = msgspec.structs.replace(owned, request_id=pending.operation.id)
        revision = await self.claim(record, entry, owned) if self.token else None
        if revision is None:
            return False
        if pending.stage is not OperationStage.FOREIGN:
            # The client disconnected while the claim was written.
            self._adopt_abandoned(owned, revision)
            return False
        self._adopt_for_client(pending, client, owned, revision)
        return True

    def _owner_status(self, record: Record) -> OwnerStatus:
        if record.owner != self.incarnation:
            return self.presence.status_of(self._now_s(), record.owner)
        # The record is owned by this instance but not pending: a claim whose response was lost left the
        # record so.
        return OwnerStatus.SELF if self.has(record.id) else OwnerStatus.LOST

    def _is_same_request(self, pending: PendingOperation, record: Record) -> bool | None:
        """Return whether a client repeats the recorded request; None if the requests can't be compared."""
        operation = pending.operation
        if record.request_digest:
            digest = digest_of(record.id, operation.method, operation.target, operation.body)
            return record.request_digest == digest
        request = self.codec.decode_request(record.id, record.sealed_request)
        if request is None:
            return None
        recorded = (request.method, request.target, request.body)
        return recorded == (operation.method, operation.target, operation.body)

    def _answer_client(
        self, pending: PendingOperation, client: Client, verdict: Verdict, answer: Answer | None = None
    ) -> None:
        """Send a waiting client its response, without the executor."""
        if pending.is_answered or pending.stage is not OperationStage.FOREIGN:
            return
        pending.is_answered = True
        self._finish(pending)
        limits = self._executor.settings.limits
        retry_after_ms = 0.0
        if verdict is Verdict.BUSY and limits.retry_after:
            retry_after_ms = min(pending.record.policy.deadline_ms, limits.max_retry_after_ms)
        self._executor.answered_elsewhere(pending.record.class_name, verdict)
        client.answer(verdict, answer, retry_after_ms)

    def _accept_anew(self, pending: PendingOperation, client: Client) -> None:
        """Accept an operation whose record was deleted meanwhile, as a new one."""
        pending.move_to(OperationStage.OWNED)
        pending.durable_record = None
        pending.revision = 0
        pending.first_attempt_revision = 0
        request_class = self._executor.settings.classes[pending.operation.cls]
        pending.record = self._new_record(pending.record.id, request_class, pending.operation)
        self._execute(pending, client, ())

    def _new_record(
        self, record_id: str, request_class: balancing.RequestClass, operation: Operation
    ) -> Record:
        """Return the first record of an operation that is accepted now."""
        sealed = self.codec.encode_request(record_id, _stored_request(operation))
        digest = ""
        if not sealed:
            digest = digest_of(record_id, operation.method, operation.target, operation.body)
        return Record(
            id=record_id,
            idempotency_key=operation.key or "",
            class_name=request_class.name,
            request_digest=digest,
            policy=ExecutionPolicy.of(request_class, self._executor.settings.limits.max_attempts),
            owner=self.incarnation,
            owner_token=self.token,
            sealed_request=sealed,
            request_id=operation.id,
            accepted_unix_s=self._unix_s(),
        )


def _stored_request(operation: Operation) -> StoredRequest:
    return StoredRequest(
        operation.method,
        operation.target,
        operation.body,
        operation.id,
        operation.key,
        operation.content_type,
        operation.accept,
    )
