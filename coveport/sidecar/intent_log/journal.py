"""Writes records in groups, and tracks whether the store is available.

Group commit: writes that are queued while a group is being written make up the next group. So a fast store
gets frequent small groups, and a slow store gets large ones. The queue is bounded in entries, bytes and age:
while it is full, new operations are rejected at once.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from coveport.sidecar.intent_log.observed_age import AgeUpperBound
from coveport.sidecar.leases.errors import StoreError
from coveport.sidecar.leases.store import Done, Outcome, Put, Refused, Store, Transaction, Unknown

MAX_QUEUED_ENTRIES = 1024
MAX_QUEUED_BYTES = 4 * 1024 * 1024
MAX_QUEUED_S = 0.1  # age of the oldest queued entry, beyond which a new write would be durable too late
GROUP_ENTRIES = 128  # etcd's default limits are 128 operations and 1.5 MB a request
GROUP_BYTES = 512 * 1024
UNAVAILABLE_AFTER = 2  # consecutive calls without a response
RECHECK_INTERVAL_S = 0.5  # interval between checks of whether an unavailable store responds again
# Interval between reads of the store's revision; the reads bound the age of peers' writes.
HEARTBEAT_INTERVAL_S = 1.0
CLOSE_TIMEOUT_S = 1.0
_HEARTBEAT_PREFIX = "pulse"  # prefix without keys: the heartbeat needs only the revision in the response


class StoreStatus(Enum):
    """Whether the store is available. The values are suffixes of log events (`record_store_*`)."""

    AVAILABLE = "available"
    UNAVAILABLE = "unavailable"
    # The store was restored to an earlier revision, or is another store: no more writes.
    REPLACED = "replaced"


@dataclass(slots=True)
class _QueuedWrite:
    build: Callable[[], Transaction | None]
    done: Callable[[Outcome], None]
    size: int  # approximate, in bytes
    queued_s: float


class Journal:
    """One instance's connection to the store of records.

    `now_s`: a monotonic clock that includes time in suspend. `store_timeout_s`: time-out of a call.
    """

    def __init__(
        self,
        store: Store,
        now_s: Callable[[], float],
        store_timeout_s: float,
        log_event: Callable[..., None],
    ) -> None:
        self._store = store
        self._now_s = now_s
        self._store_timeout_s = store_timeout_s
        self._log_event = log_event
        self._queue: deque[_QueuedWrite] = deque()
        self._queued_bytes = 0
        self._is_writing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._heartbeat: asyncio.Task[None] | None = None
        self._missed_responses = 0  # consecutive calls without a response
        self._identity = ""  # the store's identity; empty: not known yet
        self._revision = 0
        self.status = StoreStatus.AVAILABLE
        self.ages = AgeUpperBound()
        # Counters.
        self.groups = 0
        self.written = 0
        self.calls = 0
        self.bytes = 0  # size of all keys and values that the groups have put

    def start(self) -> None:
        """Start the heartbeat, which observes the store's revision; must be called in a running loop."""
        self._heartbeat = asyncio.ensure_future(self._run_heartbeat())

    @property
    def is_full(self) -> bool:
        """Whether no more writes may be queued."""
        if len(self._queue) >= MAX_QUEUED_ENTRIES or self._queued_bytes >= MAX_QUEUED_BYTES:
            return True
        return bool(self._queue) and self._now_s() - self._queue[0].queued_s > MAX_QUEUED_S

    @property
    def revision(self) -> int:
        """The latest revision that the store is known to have reached."""
        return self._revision

    @property
    def is_available(self) -> bool:
        """Whether the store responds, so that a write is likely to be durable soon."""
        return self.status is StoreStatus.AVAILABLE

    def write(
        self, build: Callable[[], Transaction | None], done: Callable[[Outcome], None], size: int
    ) -> None:
        """Queue a write.

        `build` is called when the group is written, and returns the transaction, or None if no write is
        needed any more. Unless it returned None, `done` is called once, in a later turn of the loop. `size`:
        approximate, in bytes.
        """
        self._queue.append(_QueuedWrite(build, done, size, self._now_s()))
        self._queued_bytes += size
        if not self._is_writing:
            self._is_writing = True
            # Start writing in the next iteration of the event loop, so that all writes queued in the present
            # iteration form one group.
            asyncio.get_running_loop().call_soon(self._start_writing)

    async def read(self, prefix: str) -> Done | Unknown:
        """Return the entries under a prefix."""
        outcome = await self._call(lambda: self._store.read(prefix))
        assert not isinstance(outcome, Refused)
        return outcome

    async def commit(self, transaction: Transaction) -> Outcome:
        """Commit one transaction outside the groups: a claim or a deletion, for example."""
        return await self._call(lambda: self._store.commit(transaction))

    async def close(self) -> None:
        """Wait for the queued writes, and close the store."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(OSError, StoreError, TimeoutError):
            await asyncio.wait_for(self._store.close(), CLOSE_TIMEOUT_S)

    # Groups.

    def _start_writing(self) -> None:
        task = asyncio.ensure_future(self._write_queue())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write_queue(self) -> None:
        try:
            while self._queue:
                await self._write_group()
        finally:
            self._is_writing = False

    async def _write_group(self) -> None:
        group: list[_QueuedWrite] = []
        transactions: list[Transaction] = []
        for write, transaction in self._next_group():
            group.append(write)
            transactions.append(transaction)
            self.bytes += _put_bytes(transaction)
        if not group:
            return
        self.groups += 1
        self.written += len(group)
        outcomes = await self._call_all(lambda: self._store.commit_all(transactions), len(transactions))
        for write, outcome in zip(group, outcomes, strict=True):
            write.done(outcome)

    def _next_group(self) -> list[tuple[_QueuedWrite, Transaction]]:
        """Take a group from the queue; drop entries that need no write any more."""
        group: list[tuple[_QueuedWrite, Transaction]] = []
        size = 0
        while self._queue and len(group) < GROUP_ENTRIES:
            if group and size + self._queue[0].size > GROUP_BYTES:
                break
            write = self._queue.popleft()
            self._queued_bytes -= write.size
            transaction = write.build()
            if transaction is not None:
                group.append((write, transaction))
                size += write.size
        return group

    # Calls.

    async def _call(self, call: Callable[[], Coroutine[Any, Any, Outcome]]) -> Outcome:
        async def call_one() -> list[Outcome]:
            return [await call()]

        (outcome,) = await self._call_all(call_one, 1)
        return outcome

    async def _call_all(
        self, call: Callable[[], Coroutine[Any, Any, Sequence[Outcome]]], count: int
    ) -> list[Outcome]:
        """Call the store; return its `count` outcomes, all `Unknown` if the store did not respond in time."""
        if self.status is StoreStatus.REPLACED:
            return [_replaced()] * count
        requested_s = self._now_s()
        revision = self._revision
        identity = self._identity
        self.calls += 1
        outcomes: Sequence[Outcome]
        try:
            outcomes = await asyncio.wait_for(call(), self._store_timeout_s)
        except TimeoutError:
            outcomes = [Unknown(f"no answer in {self._store_timeout_s:.2f} s")] * count
        except StoreError as error:
            outcomes = [Unknown(str(error))] * count
        return [self._checked(requested_s, revision, identity, outcome) for outcome in outcomes]

    def _checked(self, requested_s: float, revision: int, identity: str, outcome: Outcome) -> Outcome:
        """Check an outcome against the store's revision and identity as known when its call was sent."""
        if isinstance(outcome, Unknown):
            self._missed_responses += 1
            if self._missed_responses >= UNAVAILABLE_AFTER and self.is_available:
                self._set_status(StoreStatus.UNAVAILABLE, outcome.reason)
            return outcome
        if (identity and outcome.identity != identity) or outcome.revision < revision:
            # No more writes are made to a restored store, because its records of operations are out of date.
            self._set_status(
                StoreStatus.REPLACED, f"revision {outcome.revision} after {revision}, {outcome.identity}"
            )
            return _replaced()
        self._missed_responses = 0
        self._identity = outcome.identity
        self._revision = max(self._revision, outcome.revision)
        self.ages.observe(requested_s, outcome.revision)
        if self.status is StoreStatus.UNAVAILABLE:
            self._set_status(StoreStatus.AVAILABLE, "")
        return outcome

    def _set_status(self, status: StoreStatus, detail: str) -> None:
        if self.status is not status and self.status is not StoreStatus.REPLACED:
            self.status = status
            self._log_event(f"record_store_{status.value}", detail=detail)

    async def _run_heartbeat(self) -> None:
        while self.status is not StoreStatus.REPLACED:
            await self.read(_HEARTBEAT_PREFIX)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if self.is_available else RECHECK_INTERVAL_S)


def _replaced() -> Unknown:
    return Unknown("the store is not the one we knew")


def _put_bytes(transaction: Transaction) -> int:
    return sum(len(put.key) + len(put.value) for put in transaction.changes if isinstance(put, Put))
