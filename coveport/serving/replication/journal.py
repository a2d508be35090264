"""Owns the durable state: what is written, what of it is synced, and whether the disk is healthy."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from coveport.serving.replication.events import Persist
from coveport.serving.replication.messages import Message
from coveport.serving.replication.outbox import Outbox
from coveport.serving.replication.records import DurableState, Record
from coveport.serving.replication.timings import Timings

RETRY_S = 0.5  # how often an empty write tells whether a disk that failed works again


@dataclass(frozen=True, slots=True)
class PendingMessage:
    """A message that is sent once what it says is synced."""

    to_address: str
    message: Message


@dataclass(slots=True)
class PendingBatch:
    """Records on their way to the disk, and the messages that wait for them."""

    token: int
    started_at_s: float
    messages: list[PendingMessage]


class Journal:
    """Changes `durable` at once and sends what depends on it only when it is synced.

    Storage syncs in the order of the tokens. After a failure it keeps the records and writes them with the
    next token, so that a synced token proves that all before it are synced too.
    """

    def __init__(self, durable: DurableState, outbox: Outbox, timings: Timings) -> None:
        self.durable = durable
        self._outbox = outbox
        self._timings = timings
        self._records: list[Record] = []
        self._messages: list[PendingMessage] = []  # that wait for `_records`
        self._batches: deque[PendingBatch] = deque()
        self._last_token = 0
        self._is_failing = False
        self._fault_at_s = float("-inf")
        self._flushed_at_s = float("-inf")

    def write(self, record: Record) -> None:
        """Add a record to the durable state; it is synced some time later."""
        self.durable.apply_record(record)
        self._records.append(record)

    def send_when_synced(self, to_address: str, message: Message) -> None:
        """Send once all that was written so far is synced."""
        if not self._records and not self._batches:
            self._outbox.send(to_address, message)
        elif self._records:
            self._messages.append(PendingMessage(to_address, message))
        else:
            self._batches[-1].messages.append(PendingMessage(to_address, message))

    def flush(self, now_s: float) -> Persist | None:
        """Return what must be written to the disk now, if anything."""
        must_retry = self._is_failing and now_s - self._flushed_at_s >= RETRY_S
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
        """Note that all up to `token` is synced, and send what waited for it."""
        self._is_failing = False
        while self._batches and self._batches[0].token <= token:
            batch = self._batches.popleft()
            if now_s - batch.started_at_s > self._timings.disk_s:
                self._fault_at_s = now_s
            for pending in batch.messages:
                self._outbox.send(pending.to_address, pending.message)

    def failed(self, now_s: float) -> None:
        """Note that the disk failed to write; what waits for it goes on waiting."""
        self._is_failing = True
        self._fault_at_s = now_s

    def restart_timers(self, now_s: float) -> None:
        """Count the time of pending batches from now: the process was frozen, not the disk slow."""
        for batch in self._batches:
            batch.started_at_s = now_s

    def is_healthy(self, now_s: float) -> bool:
        """Return whether the disk has been syncing in time."""
        if self._batches and now_s - self._batches[0].started_at_s > self._timings.disk_s:
            self._fault_at_s = now_s
        return not self._is_failing and now_s - self._fault_at_s >= self._timings.disk_rest_s
