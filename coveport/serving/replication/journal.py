"""The durable state in memory, what of it is synced, and whether the disk is well."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from coveport.serving.replication.events import Persist
from coveport.serving.replication.messages import Message
from coveport.serving.replication.outbox import Outbox
from coveport.serving.replication.records import DurableState, Record
from coveport.serving.replication.timings import Timings

PROBE_S = 0.5  # how often a disk that refused is tried again


@dataclass(frozen=True, slots=True)
class Reply:
    """A message that waits until what it tells is synced."""

    to_address: str
    message: Message


@dataclass(slots=True)
class Batch:
    """Records on their way to the disk, and what waits for them."""

    token: int
    since_s: float
    replies: list[Reply]


class Journal:
    """Changes `durable` at once and sends what depends on it only when it is synced.

    Storage syncs in the order of the tokens. After a refusal it keeps the records and writes them with the
    next token, so that a synced token says that all before it are synced too.
    """

    def __init__(self, durable: DurableState, outbox: Outbox, timings: Timings) -> None:
        self.durable = durable
        self._outbox = outbox
        self._timings = timings
        self._records: list[Record] = []
        self._replies: list[Reply] = []
        self._batches: deque[Batch] = deque()
        self._last_token = 0
        self._is_refusing = False
        self._trouble_at_s = float("-inf")
        self._probed_at_s = float("-inf")

    def write(self, record: Record) -> None:
        """Take a record into the durable state; it is synced some time later."""
        self.durable.absorb(record)
        self._records.append(record)

    def send_when_synced(self, to_address: str, message: Message) -> None:
        """Send when all that was written so far is synced."""
        if not self._records and not self._batches:
            self._outbox.send(to_address, message)
        elif self._records:
            self._replies.append(Reply(to_address, message))
        else:
            self._batches[-1].replies.append(Reply(to_address, message))

    def flush(self, now_s: float) -> Persist | None:
        """What must go to the disk now."""
        is_probe_due = self._is_refusing and now_s - self._probed_at_s >= PROBE_S
        if not self._records and not is_probe_due:
            return None
        self._last_token += 1
        self._probed_at_s = now_s
        self._batches.append(Batch(self._last_token, now_s, self._replies))
        persist = Persist(self._last_token, tuple(self._records))
        self._records = []
        self._replies = []
        return persist

    def persisted(self, token: int, now_s: float) -> None:
        """All up to `token` is synced."""
        self._is_refusing = False
        while self._batches and self._batches[0].token <= token:
            batch = self._batches.popleft()
            if now_s - batch.since_s > self._timings.disk_s:
                self._trouble_at_s = now_s
            for reply in batch.replies:
                self._outbox.send(reply.to_address, reply.message)

    def failed(self, now_s: float) -> None:
        """The disk refused; what waits goes on waiting."""
        self._is_refusing = True
        self._trouble_at_s = now_s

    def slept(self, now_s: float) -> None:
        """The process stood still: the disk isn't to blame for the time."""
        for batch in self._batches:
            batch.since_s = now_s

    def is_healthy(self, now_s: float) -> bool:
        """Whether the disk has been syncing in time."""
        if self._batches and now_s - self._batches[0].since_s > self._timings.disk_s:
            self._trouble_at_s = now_s
        return not self._is_refusing and now_s - self._trouble_at_s >= self._timings.disk_rest_s
