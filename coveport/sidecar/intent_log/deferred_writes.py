"""Keeps operations that ended while the store did not respond, and writes their records afterwards.

The records are written once the store responds again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.journal import Journal
from coveport.sidecar.intent_log.pending_operation import PendingOperation
from coveport.sidecar.intent_log.record import FinalStatus, Record
from coveport.sidecar.intent_log.record_codec import decode
from coveport.sidecar.intent_log.record_layout import RecordLayout
from coveport.sidecar.intent_log.runtime import Runtime
from coveport.sidecar.leases.store import Done, Entry

MAX_REMEMBERED = 4096  # maximum number of remembered operations
RETRY_INTERVAL_S = 0.5
RETRY_JITTER = (0.8, 1.2)  # bounds of the random factor of the interval
# First revision of every store; there is no upper bound of the age of a write at this revision.
FIRST_REVISION = 1


class DeferredWrites:
    """Answered operations whose final status is not durable yet, by the ids of their records."""

    def __init__(self, journal: Journal, layout: RecordLayout, runtime: Runtime) -> None:
        self._journal = journal
        self._layout = layout
        self._runtime = runtime
        self._pending: dict[str, PendingOperation] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, record_id: str) -> bool:
        return record_id in self._pending

    def get(self, record_id: str) -> PendingOperation | None:
        """Return the operation of a record, None if no operation of the record is remembered."""
        return self._pending.get(record_id)

    def remember(self, pending: PendingOperation) -> None:
        """Remember an answered operation to write its final status later; drop the oldest above the limit."""
        self._pending[pending.record.id] = pending
        if len(self._pending) > MAX_REMEMBERED:
            # The dropped operation's record in the store, if there is one, says that it may have run.
            del self._pending[next(iter(self._pending))]
            self._runtime.count("work_forgotten")

    async def run(self, has_session: Callable[[], bool]) -> None:
        """Write the remembered operations while a session and the store are available; never return."""
        is_recording = False
        while True:
            if is_recording is not (has_session() and self._journal.is_available):
                is_recording = not is_recording
                self._runtime.log_event("recording" if is_recording else "not_recording")
            await asyncio.sleep(RETRY_INTERVAL_S * self._runtime.rng.uniform(*RETRY_JITTER))
            for record_id, pending in list(self._pending.items()):
                if not self._journal.is_available or not has_session():
                    break
                # Another operation may have been remembered under the same id during this write.
                if await self.write(pending) and self._pending.get(record_id) is pending:
                    del self._pending[record_id]

    async def write(self, pending: PendingOperation) -> bool:
        """Write the final status of an operation; return False if the write must be tried again."""
        record = pending.record
        stored = await self._journal.read(self._layout.record_key(record.id))
        if not isinstance(stored, Done):
            return False
        before: Record | None = None
        revision = 0
        if stored.entries:
            before = _unfinished_record(stored.entries[0], record)
            if before is None:
                return True
            revision = stored.entries[0].modified
        elif pending.revision:
            return True  # the record was stored earlier and has been deleted since
        outcome = await self._journal.commit(self._layout.write(before, revision, self._closed(pending)))
        if isinstance(outcome, Done):
            self._runtime.count("work_written_late")
        return isinstance(outcome, Done)

    def _closed(self, pending: PendingOperation) -> Record:
        record = pending.record
        if record.is_open:
            status = FinalStatus.FAILED if record.may_have_run else FinalStatus.NEVER_RAN
            record = record.closed(status, "not answered", self._runtime.unix_s())
        if record.attempts:
            # If the age of the attempts is not known, their deduplication window counts as over.
            first_revision = pending.first_attempt_revision or FIRST_REVISION
            record = msgspec.structs.replace(record, first_attempt_revision=first_revision)
        return record


def _unfinished_record(entry: Entry, record: Record) -> Record | None:
    """Return the stored record that `record` completes.

    Return None if the stored record can't be read, is closed, or belongs to another owner, generation or
    request by now.
    """
    try:
        stored = decode(entry.value)
    except RecordError:
        return None
    return stored if stored.is_open and _version(stored) == _version(record) else None


def _version(record: Record) -> tuple[str, tuple[str, ...], int, str]:
    return record.owner, record.previous_owners, record.generation, record.request_id
