"""The durable state in memory, what of it is synced, and whether the disk is well."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from coveport.system.replication.events import Persist
from coveport.system.replication.records import DurableState, Record
from coveport.system.replication.timings import Timings

Then = Callable[[], None]
PROBE_S = 0.5  # how often a disk that refused is tried again


@dataclass(slots=True)
class Batch:
    """Records on their way to the disk, and what waits for them."""

    token: int
    since_s: float
    thens: list[Then]


class Journal:
    """Changes `durable` at once and runs what depends on it only when it is synced.

    Storage syncs in the order of the tokens. After a refusal it keeps the records and writes them with the
    next token, so that a synced token says that all before it are synced too.
    """

    def __init__(self, durable: DurableState, timings: Timings) -> None:
        self.durable = durable
        self._timings = timings
        self._records: list[Record] = []
        self._thens: list[Then] = []
        self._batches: deque[Batch] = deque()
        self._last_token = 0
        self._is_refusing = False
        self._trouble_at_s = float("-inf")
        self._probed_at_s = float("-inf")

    def write(self, record: Record) -> None:
        """Take a record into the durable state; it is synced some time later."""
        self.durable.absorb(record)
        self._records.append(record)

    def when_synced(self, then: Then) -> None:
        """Run `then` when all that was written so far is synced."""
        if not self._records and not self._batches:
            then()
        elif self._records:
            self._thens.append(then)
        else:
            self._batches[-1].thens.append(then)

    def flush(self, now_s: float) -> Persist | None:
        """What must go to the disk now."""
        is_probe_due = self._is_refusing and now_s - self._probed_at_s >= PROBE_S
        if not self._records and not is_probe_due:
            return None
        self._last_token += 1
        self._probed_at_s = now_s
        self._batches.append(Batch(self._last_token, now_s, self._thens))
        persist = Persist(self._last_token, tuple(self._records))
        self._records = []
        self._thens = []
        return persist

    def persisted(self, token: int, now_s: float) -> None:
        """All up to `token` is synced."""
        self._is_refusing = False
        while self._batches and self._batches[0].token <= token:
            batch = self._batches.popleft()
            if now_s - batch.since_s > self._timings.disk_s:
                self._trouble_at_s = now_s
            for then in batch.thens:
                then()

    def failed(self, now_s: float) -> None:
        """The disk refused; what waits goes on waiting."""
        self._is_refusing = True
        self._trouble_at_s = now_s

    def slept(self, now_s: float) -> None:
        """The process stood still: the disk isn't to blame for the time."""
        for batch in self._batches:
            batch.since_s = now_s

    def is_well(self, now_s: float) -> bool:
        """Whether the disk has been syncing in time."""
        if self._batches and now_s - self._batches[0].since_s > self._timings.disk_s:
            self._trouble_at_s = now_s
        return not self._is_refusing and now_s - self._trouble_at_s >= self._timings.disk_rest_s
