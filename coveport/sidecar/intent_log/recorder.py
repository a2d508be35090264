"""Records operations before they can run; the recorder stands between the clients and the executor.

The decisions are made in pure modules: `record`, `pending_operation`, `replay_decision`, `takeover`. The
table at the head of `record_writer` lists which state has to be durable before which action.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from coveport.balancing import Effect, Outcome
from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.execution import Client, RecordingClient
from coveport.sidecar.intent_log.payloads import StoredResponse
from coveport.sidecar.intent_log.pending_operation import OperationStage, PendingOperation, ResumeSend
from coveport.sidecar.intent_log.record import Attempt, FinalStatus
from coveport.sidecar.intent_log.record_layout import DrainNotice, id_of
from coveport.sidecar.intent_log.repeated_requests import RepeatedRequests
from coveport.sidecar.leases.store import Delete, Put, Transaction
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer, Operation

# Maximum time for which the response of an unsafe operation waits for its record to be durable.
RESPONSE_WAIT_S = 0.05
MAX_WAITERS = 2000  # maximum number of repeated requests that wait for a record's owner
_CLIENT_GONE = "its client went away"


class Recorder(RepeatedRequests):
    """Records one instance's operations; must be used in a running loop from `start` on.

    Implements `coveport.sidecar.operation_interfaces.OperationRecorder` for the executor and
    `execution.ResponseObserver` for the clients that it passes to the executor.
    """

    def start(self) -> None:
        """Start the store's heartbeat and the deferred writes."""
        self.journal.start()
        self._deferred_task = asyncio.ensure_future(self._deferred.run(lambda: self.token != 0))

    async def drain(self, within_s: float) -> None:
        """Announce the shutdown to peers: this instance finishes its operations within `within_s`."""
        # The token is kept, because the session is released before the last operations are finished.
        self._drain_token = self._runtime.session_token()
        if self._drain_token:
            notice = msgspec.json.encode(DrainNotice(within_s))
            put = Put(self.layout.drain_key(self.incarnation), notice)
            await self.journal.commit(Transaction((), (put,)))

    async def close(self) -> None:
        """Leave the operations that are still open to the other instances, and close the store."""
        if self._deferred_task is not None:
            self._deferred_task.cancel()
        for task in list(self._waiters.values()):
            task.cancel()
        if self._drain_token:
            delete = Delete(self.layout.drain_key(self.incarnation))
            await self.journal.commit(Transaction((), (delete,)))
        await self.journal.close()

    @property
    def tables(self) -> dict[str, int]:
        """The number of entries of each table, by the name of its metric."""
        return {
            "work": len(self._by_number),
            "work_open": len(self._by_id),
            "work_later": len(self._deferred),
            "work_waiting": len(self._waiters),
        }

    # Events of the executor.

    def accept(self, number: int, client: Client, operation: Operation) -> Client | None:
        """Accept an operation; return the client for the response, None if the recorder responds."""
        if number in self._by_number or not operation.is_admitted:
            return client
        request_class = self._executor.settings.classes[operation.cls]
        if not self._may_record(operation, request_class.name):
            return client
        record_id = self._record_id(number, operation)
        deadline_s = self._now_s() + operation.wait_ms / 1000
        record = self._new_record(record_id, request_class, operation)
        pending = PendingOperation(number, operation, record, deadline_s)
        self._by_number[number] = pending
        self._clients[number] = client
        if self.has(record_id):
            # A repeat of an operation that is pending on this instance waits; no attempt is made for the
            # repeat.
            pending.move_to(OperationStage.FOREIGN)
            self._loop().call_soon(self._wait_for_owner, pending)
            return None
        self._by_id[record_id] = pending
        self._schedule_write(pending)
        return RecordingClient(self, pending, client)

    def _may_record(self, operation: Operation, class_name: str) -> bool:
        """Return whether an operation is recorded; clear its `is_admitted` if it must be rejected."""
        if class_name not in self._settings.recorded_classes:
            return False
        if operation.upload is not None:
            self._count("work_long")
            return False
        if not self.may_write:
            self._count("work_unrecorded")
            if class_name in self._settings.rejected_when_unavailable:
                operation.is_admitted = False
            return False
        if self.journal.is_full or len(self._waiters) >= MAX_WAITERS:
            self._count("work_no_room")
            # The operation is rejected at once, because it would miss its deadline after the wait.
            operation.is_admitted = False
            return False
        return True

    def _record_id(self, number: int, operation: Operation) -> str:
        if operation.key is None and not self._settings.by_request_id:
            # No client can repeat the request, so the id need not follow from it; only operators look up this
            # id.
            return id_of("", f"{operation.id} {self.incarnation} {number}")
        return id_of(operation.key or "", operation.id)

    def send(self, number: int, step: int, destination: int, resume: ResumeSend) -> bool:
        """Return True if a route step may be sent at once; else call `resume` once, in a later turn."""
        pending = self._by_number.get(number)
        if pending is None:
            return True
        may_begin = pending.stage in (OperationStage.OWNED, OperationStage.UNRECORDED) and pending.may_send
        if not may_begin or not self._begin_attempt(pending, step, destination):
            self._loop().call_soon(resume, None)
            return False
        if pending.stage is OperationStage.UNRECORDED:
            self._loop().call_soon(resume, self._send_check(pending))
            return False
        pending.waiting_sends[step] = resume
        self._schedule_write(pending)
        return False

    def _begin_attempt(self, pending: PendingOperation, step: int, destination: int) -> bool:
        """Add an attempt; return False if all instances together have made the allowed number."""
        node, zone, cell = self._executor.location_of(destination)
        attempt = Attempt(node, zone, cell, self.incarnation, recorded_unix_s=self._unix_s())
        try:
            pending.begin_attempt(step, attempt, self._now_s())
        except RecordError:
            return False
        return True

    def attempt_ended(self, number: int, step: int, outcome: Outcome) -> None:
        """Note the outcome of a route step."""
        pending = self._by_number.get(number)
        if pending is None:
            return
        pending.waiting_sends.pop(step, None)
        pending.end_attempt(step, outcome)
        if not pending.is_answered and outcome is not Outcome.OK:
            self._schedule_write(pending)

    def client_gone(self, number: int) -> None:
        """Note that an operation's client has disconnected."""
        pending = self._by_number.get(number)
        if pending is None:
            return
        self._clients.pop(number, None)
        if number != pending.number:
            # The operation is executed under a number that the recorder assigned, and goes on without the
            # client.
            pending.is_takeover = True
            return
        if pending.is_answered:
            return
        if pending.stage is OperationStage.FOREIGN:
            self._finish(pending)
            return
        pending.is_answered = True
        pending.deliver_response = None
        status, reason = pending.final_status(served=False, busy=False)
        if status is FinalStatus.SERVED:
            reason = _CLIENT_GONE
        pending.close(status, reason or _CLIENT_GONE, self._unix_s())
        self._write_end(pending)

    # Responses.

    def answered(
        self,
        pending: PendingOperation,
        verdict: Verdict,
        answer: Answer | None,
        deliver: Callable[[], None],
    ) -> None:
        """Record the one final response, and send it to the client as soon as the class allows."""
        if pending.is_answered or pending.stage is OperationStage.FOREIGN:
            return
        served = verdict is Verdict.SERVED
        if pending.is_takeover and not served and self._schedule_retry(pending):
            return
        pending.is_answered = True
        status, reason = pending.final_status(served=served, busy=verdict is Verdict.BUSY)
        sealed = b""
        if served and answer is not None:
            response = StoredResponse(answer.body, answer.content_type)
            sealed = self.codec.encode_response(pending.record.id, response)
        pending.close(status, reason, self._unix_s(), sealed)
        is_unsafe = pending.record.policy.effect is Effect.UNSAFE
        if pending.stage is OperationStage.OWNED and served and is_unsafe:
            self._deliver_when_durable(pending, deliver)
        else:
            deliver()
        self._write_end(pending)

    def _deliver_when_durable(self, pending: PendingOperation, deliver: Callable[[], None]) -> None:
        # A repeat at another instance must get the same response, which can't be fetched from the node again.
        # The wait ends at the client's deadline, because a later response is of no use.
        pending.deliver_response = deliver
        wait_s = min(RESPONSE_WAIT_S, pending.deadline_s - self._now_s())
        self._loop().call_later(max(0.0, wait_s), self._deliver_unwritten, pending)

    def _deliver_unwritten(self, pending: PendingOperation) -> None:
        if pending.deliver_response is not None:
            self._count("work_answers_unwritten")
            self._deliver_response(pending)

    def finished(self, pending: PendingOperation, complete: bool) -> None:
        """Record the end of a streamed response; the response itself is not kept."""
        if pending.is_answered:
            return
        pending.is_answered = True
        status, reason = pending.final_status(served=complete, busy=False)
        pending.close(status, reason or "its answer was too long to keep", self._unix_s())
        self._write_end(pending)
