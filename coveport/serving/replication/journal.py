"""Owns the durable state: the written records, which of them are synced, and the health of the disk."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from coveport.serving.replication.events import Persist
from coveport.serving.replication.messages import Message
from coveport.serving.replication.outbox import Outbox
from coveport.serving.replication.records import DurableState, Record
from coveport.serving.replication.timings import Timings

RETRY_INTERVAL_S = 0.5  # interval of the empty writes that probe the disk after a failed write


@dataclass(frozen=True, slots=True)
class PendingMessage:
    """A message that is sent after the records that it depends on are synced."""

    to_address: str
    message: Message


@dataclass(slots=True)
class PendingBatch:
    """One Persist effect in flight, and the messages to send after it is synced."""

    token: int
    started_at_s: float
    messages: list[PendingMessage]


class Journal:
    """Changes `durable` at once, and sends messages that depend on a change only after it is synced.

    The storage syncs in the order of the tokens. After a failure the storage keeps the records, and writes
    them with the next token, so that a synced token proves that all earlier tokens are synced too.
    """

    def __init__(self, durable: DurableState, outbox: Outbox, timings: Timings) -> None:
        self.durable = durable
        self._outbox = outbox
        self._timings = timings
        self._records: list[Record] = []
        self._messages: list[PendingMessage] = []  # messages to send after `_records` are synced
        self._batches: deque[PendingBatch] = deque()
        self._last_token = 0
        self._is_failing = False
        self._last_fault_at_s = float("-inf")
        self._flushed_at_s = float("-inf")

    def write(self, record: Record) -> None:
        """Add a record to the durable state; the next flush writes it."""
        self.durable.apply_record(record)
        self._records.append(record)

    def send_when_synced(self, to_address: str, message: Message) -> None:
        """Send a message after all records written so far are synced."""
        if not self._records and not self._batches:
            self._outbox.send(to_address, message)
        elif self._records:
            self._messages.append(PendingMessage(to_address, message))
        else:
            self._batches[-1].messages.append(PendingMessage(to_address, message))

    def flush(self, now_s: float) -> Persist | None:
        """Return the Persist effect that is needed now; None if there is nothing to write."""
        must_retry = self._is_failing and now_s - self._flushed_at_s >= RETRY_INTERVAL_S
        if not self._records and not must_retry:
            return None
        self._last_token += 1
        self._flushed_at_s = now_s
        self._batches.append(PendingBatch(self._last_token, now_s, self._messages))
        persist = Persist(self._last_token, tuple(self._records))
        self._records = []
        self._messages = []
        return persist

    def persisted(self, token: int, now_s: float) -> None:
        """Mark the batches up to `token` as synced, and send their messages."""
        self._is_failing = False
        while self._batches and self._batches[0].token <= token:
            batch = self._batches.popleft()
            if now_s - batch.started_at_s > self._timings.sync_timeout_s:
                self._last_fault_at_s = now_s
            for pending in batch.messages:
                self._outbox.send(pending.to_address, pending.message)

    def failed(self, now_s: float) -> None:
        """Mark the disk as failing; pending messages stay pending."""
        self._is_failing = True
        self._last_fault_at_s = now_s

    def restart_timers(self, now_s: float) -> None:
        """Restart the timers of the pending batches: the process was frozen, the disk wasn't slow."""
        for batch in self._batches:
            batch.started_at_s = now_s

    def is_healthy(self, now_s: float) -> bool:
        """Return whether the disk works and has had no late or failed sync for `disk_recovery_s`."""
        if self._batches and now_s - self._batches[0].started_at_s > self._timings.sync_timeout_s:
            self._last_fault_at_s = now_s
        return not self._is_failing and now_s - self._last_fault_at_s >= self._timings.disk_recovery_s
