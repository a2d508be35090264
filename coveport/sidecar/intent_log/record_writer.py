"""Makes the records of pending operations durable before their attempts and responses are sent.

Theory of operation: durable first, act second. An action waits until the store has confirmed the record at
the recovery point that permits it; so a successor that reads a record can tell what cannot have happened yet.

    durable at        permits                                    a successor may conclude
    ---------------   ----------------------------------------   ---------------------------------------------
    (not stored)      nothing                                    -
    ACCEPTED          nothing; a repeat of the key finds it      it never ran
    SENDING, with     the first byte of attempt n, where         an attempt without an outcome may still run,
      attempt n         `is_send_allowed` then agrees              at any later time
    CLOSED, SERVED    UNSAFE: the response goes to the client    a repeat gets the recorded response, or a
                        (`RESPONSE_WAIT_S` at the latest)          failure where that is not kept

ANSWERED needs no write of its own: the final status mostly follows in the same turn, and is written with it.
The response of a SAFE or KEYED operation, and every rejection and failure, goes to the client at once and is
written right after. The table does not apply to operations that run unrecorded while the store is
unavailable.

Every write compares the stored revision with the revision that this instance last read or wrote. Three
outcomes are possible:

- Done: the actions that waited for this write go on.
- Refused: another instance has claimed the record, or created it first. This instance writes and sends
  nothing more of the operation; the client waits for the owner (`repeated_requests`).
- Unknown: the write may have taken effect, or may take effect later. Nothing more is written until
  `deferred_writes` has read the stored record. An attempt is sent only where no successor may conclude that
  the operation never ran (`_outcome_unknown`).

At most one write of a record is in flight; changes made meanwhile go into the next write.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from functools import partial

import msgspec

from coveport.sidecar.intent_log.deferred_writes import DeferredWrites
from coveport.sidecar.intent_log.execution import Client, Executor
from coveport.sidecar.intent_log.journal import Journal
from coveport.sidecar.intent_log.payloads import PayloadCodec
from coveport.sidecar.intent_log.pending_operation import OperationStage, PendingOperation, SendCheck
from coveport.sidecar.intent_log.presence import Presence
from coveport.sidecar.intent_log.record_layout import RecordLayout
from coveport.sidecar.intent_log.runtime import Runtime
from coveport.sidecar.intent_log.settings import RECORD_BYTES, IntentLogSettings
from coveport.sidecar.leases.store import Outcome, Refused, Transaction, Unknown


class RecordWriter(ABC):
    """Holds the tables of pending operations and writes their records."""

    def __init__(
        self,
        executor: Executor,
        journal: Journal,
        layout: RecordLayout,
        codec: PayloadCodec,
        presence: Presence,
        settings: IntentLogSettings,
        runtime: Runtime,
    ) -> None:
        self._executor = executor
        self.journal = journal
        self.layout = layout
        self.codec = codec
        self.presence = presence
        self._settings = settings
        self._runtime = runtime
        self.incarnation = runtime.incarnation
        self._now_s = runtime.now_s
        self._unix_s = runtime.unix_s
        self._count = runtime.count
        self._log_event = runtime.log_event
        self._by_number: dict[int, PendingOperation] = {}
        # By record id: operations whose records are open and owned by this instance.
        self._by_id: dict[str, PendingOperation] = {}
        self._waiters: dict[int, asyncio.Task[None]] = {}  # by number: repeats that wait for a record's owner
        self._clients: dict[int, Client] = {}  # by number; needed if another instance owns the record
        self._deferred = DeferredWrites(journal, layout, runtime)
        # Latest number that the recorder assigned; these numbers count down from -1.
        self._last_own_number = 0
        self._drain_token = 0  # while draining: the token of this instance's last session
        self._deferred_task: asyncio.Task[None] | None = None

    def has(self, record_id: str) -> bool:
        """Return whether a record is pending on this instance."""
        return record_id in self._by_id or record_id in self._deferred

    @property
    def token(self) -> int:
        """The fencing token under which this instance owns records now; 0: this instance may own none."""
        return self._drain_token or self._runtime.session_token()

    @property
    def may_write(self) -> bool:
        """Whether this instance may claim records now, and the store is available."""
        return self.journal.is_available and self.token != 0

    @staticmethod
    def _loop() -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    def _send_check(self, pending: PendingOperation) -> SendCheck:
        return lambda: pending.is_send_allowed(self._now_s())

    # Writing.

    def _schedule_write(self, pending: PendingOperation) -> None:
        """Queue a write of a changed record; during a write, `_write_done` queues the next write later."""
        is_durable = pending.record is pending.durable_record
        if pending.is_writing or pending.stage is not OperationStage.OWNED or is_durable:
            return
        pending.is_writing = True
        self.journal.write(
            partial(self._build_write, pending),
            partial(self._write_done, pending),
            RECORD_BYTES + len(pending.record.sealed_request) + len(pending.record.sealed_response),
        )

    def _build_write(self, pending: PendingOperation) -> Transaction | None:
        """Return the write of a record's present state; called when its group is written."""
        if pending.stage is not OperationStage.OWNED:
            # Another instance became the owner while the write was queued.
            pending.is_writing = False
            return None
        pending.record_in_flight = pending.record
        record = pending.record
        if pending.first_attempt_revision:
            record = msgspec.structs.replace(record, first_attempt_revision=pending.first_attempt_revision)
        return self.layout.write(pending.durable_record, pending.revision, record)

    def _write_done(self, pending: PendingOperation, outcome: Outcome) -> None:
        pending.is_writing = False
        if pending.stage is not OperationStage.OWNED:
            # The operation left the stage OWNED while the write was in flight.
            return
        if isinstance(outcome, Refused):
            self._ownership_lost(pending)
            return
        if isinstance(outcome, Unknown):
            self._outcome_unknown(pending)
            return
        self._set_durable(pending, outcome.revision)
        for step in [step for step in pending.waiting_sends if pending.is_durable(step)]:
            pending.waiting_sends.pop(step)(self._send_check(pending))
        durable = pending.durable_record
        if durable is not None and not durable.is_open:
            self._deliver_response(pending)
            self._count(f"work_{durable.status.replace('-', '_')}")
            if pending.record is durable:
                self._finish(pending)
                return
        self._schedule_write(pending)

    @staticmethod
    def _set_durable(pending: PendingOperation, revision: int) -> None:
        pending.revision = revision
        pending.durable_record = pending.record_in_flight
        durable = pending.durable_record
        if durable is not None and durable.attempts and not pending.first_attempt_revision:
            pending.first_attempt_revision = revision

    def _ownership_lost(self, pending: PendingOperation) -> None:
        """Stop writing and sending, as another instance has created or claimed the record."""
        if pending.is_answered:
            # The response comes from a node, so the response is valid whichever instance owns the record.
            self._deliver_response(pending)
            self._finish(pending)
            self._cancel_waiting_sends(pending)
            return
        pending.move_to(OperationStage.FOREIGN)
        if self._by_id.get(pending.record.id) is pending:
            del self._by_id[pending.record.id]
        self._wait_for_owner(pending)

    def _outcome_unknown(self, pending: PendingOperation) -> None:
        """Continue without a record, or send nothing: the write may have taken effect, or may still.

        Where an earlier write is stored, or this one has the state ACCEPTED, a successor may conclude that
        the operation never ran, so the operation must not be sent. A first write that contains an attempt
        permits sending: if it takes effect, the record says that the operation may have run.
        """
        self._count("work_adrift")
        pending.move_to(OperationStage.UNRECORDED)
        in_flight = pending.record_in_flight
        has_attempt = in_flight is not None and bool(in_flight.attempts)
        is_rejected = pending.record.class_name in self._settings.rejected_when_unavailable
        pending.may_send = pending.revision == 0 and has_attempt and not is_rejected
        if pending.is_answered:
            self._deliver_response(pending)
            self._finish(pending)
            self._deferred.remember(pending)
            self._cancel_waiting_sends(pending)
            return
        waiting_sends = pending.waiting_sends
        pending.waiting_sends = {}
        for resume in waiting_sends.values():
            resume(self._send_check(pending) if pending.may_send else None)

    @staticmethod
    def _cancel_waiting_sends(pending: PendingOperation) -> None:
        waiting_sends = pending.waiting_sends
        pending.waiting_sends = {}
        for resume in waiting_sends.values():
            resume(None)

    @staticmethod
    def _deliver_response(pending: PendingOperation) -> None:
        deliver = pending.deliver_response
        pending.deliver_response = None
        if deliver is not None:
            deliver()

    # The end of an operation.

    def _write_end(self, pending: PendingOperation) -> None:
        """Write the final status of an operation that is answered."""
        if pending.stage is OperationStage.UNRECORDED:
            self._finish(pending)
            self._deferred.remember(pending)
        elif self._is_unknown_to_store(pending):
            self._finish(pending)
        else:
            self._schedule_write(pending)

    @staticmethod
    def _is_unknown_to_store(pending: PendingOperation) -> bool:
        """Return whether no write of the operation was queued or made; its end then needs no write either."""
        return (
            pending.stage is OperationStage.OWNED
            and pending.durable_record is None
            and not pending.is_writing
            and not pending.record.attempts
            and not pending.waiting_sends
        )

    def _finish(self, pending: PendingOperation) -> None:
        """Remove an operation, for which this instance has nothing left to do, from the tables."""
        pending.move_to(OperationStage.DONE)
        for number in pending.numbers:
            self._by_number.pop(number, None)
            self._clients.pop(number, None)
        if self._by_id.get(pending.record.id) is pending:
            del self._by_id[pending.record.id]

    @abstractmethod
    def _wait_for_owner(self, pending: PendingOperation) -> None:
        """Withdraw an operation whose record another instance owns; its client waits for the owner."""
