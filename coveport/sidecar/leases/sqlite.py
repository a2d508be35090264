"""The store for the instances of one host: a SQLite file, a thread of its own, time by the boot clock.

Every transaction first ends the leases that have expired, and only then checks its compares: whichever
instance comes first after a lease's end ends it for all.
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import AsyncIterator, Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TypeVar

from coveport.sidecar.leases import clock
from coveport.sidecar.leases.errors import WatchLostError
from coveport.sidecar.leases.sqlite_file import SqliteFile
from coveport.sidecar.leases.sqlite_tables import LeaseTables
from coveport.sidecar.leases.store import Change, Done, Outcome, Refused, Store, Transaction, Unknown

T = TypeVar("T")

LOCK_TIMEOUT_S = 1.0  # how long a call queues for the file until its outcome is unknown
# A poll for changes is a turn of the thread, and forty instances on one host pay for forty of them.
WATCH_POLL_S = 0.02  # while there were changes lately
IDLE_WATCH_POLL_S = 0.05
IDLE_AFTER_S = 0.5
ERRORS = (OSError, sqlite3.Error, TimeoutError)


@dataclass(frozen=True, slots=True)
class _Poll:
    """What a watch sees when it looks at the file."""

    data_version: int  # moves with each commit of another connection
    revision: int
    changes: Sequence[Change]


class SqliteStore(Store):
    """One instance's connection to the file. It must be closed, or its thread stays.

    `now_s` and `boot` are the clock that leases end by, the same for all instances of the host, and the id
    of the boot that it counts from. `watched` is False if nobody watches: then no history is kept.
    """

    def __init__(
        self,
        path: Path,
        *,
        now_s: Callable[[], float] = clock.boot_s,
        boot: Callable[[], str] = clock.boot_id,
        lock_timeout_s: float = LOCK_TIMEOUT_S,
        watched: bool = True,
    ) -> None:
        self._now_s = now_s
        self._thread = ThreadPoolExecutor(1, "leases")
        self._file = SqliteFile(path, boot=boot, lock_timeout_s=lock_timeout_s, keep_history=watched)

    # Calls. Each is one job of the thread.

    async def read(self, prefix: str) -> Done | Unknown:
        """Return all entries whose keys start with a prefix; expired leases are ended first."""

        def job(tables: LeaseTables, revision: int) -> Done:
            return Done(self._file.identity, revision, tuple(tables.entries(prefix)))

        outcome = await self._write(job)
        assert not isinstance(outcome, Refused)
        return outcome

    async def commit(self, transaction: Transaction) -> Outcome:
        """Carry a transaction out."""

        def job(tables: LeaseTables, revision: int) -> Outcome:
            return tables.carry_out(self._file.identity, revision, transaction)

        return await self._write(job)

    async def commit_all(self, transactions: Sequence[Transaction]) -> list[Outcome]:
        """Carry several out within one transaction of the file: after a crash they are all there or none."""

        def job(tables: LeaseTables) -> list[Outcome]:
            with self._file.writing(tables):
                revision = tables.end_expired(self._now_s())
                outcomes: list[Outcome] = []
                for transaction in transactions:
                    outcome = tables.carry_out(self._file.identity, revision, transaction)
                    revision = outcome.revision
                    outcomes.append(outcome)
                return outcomes

        try:
            return await self._in_thread(job)
        except ERRORS as error:
            return [_unknown(error)] * len(transactions)

    async def grant(self, ttl_s: float) -> Done | Unknown:
        """Return a new lease, from now."""

        def job(tables: LeaseTables, revision: int) -> Done:
            lease = tables.insert_lease(ttl_s, self._now_s() + ttl_s)
            return Done(self._file.identity, revision, lease=lease, ttl_s=ttl_s)

        outcome = await self._write(job)
        assert not isinstance(outcome, Refused)
        return outcome

    async def renew(self, lease: int) -> Outcome:
        """Renew a lease."""

        def job(tables: LeaseTables, revision: int) -> Outcome:
            ttl_s = tables.lease_ttl_s(lease)
            if ttl_s is None:
                return Refused(self._file.identity, revision, lease_gone=True)
            tables.extend_lease(lease, self._now_s() + ttl_s)
            return Done(self._file.identity, revision, lease=lease, ttl_s=ttl_s)

        return await self._write(job)

    async def revoke(self, lease: int) -> Outcome:
        """End a lease."""

        def job(tables: LeaseTables, revision: int) -> Outcome:
            revision_after = tables.end_lease(revision, lease)
            if revision_after is None:
                return Refused(self._file.identity, revision, lease_gone=True)
            return Done(self._file.identity, revision_after, lease=lease)

        return await self._write(job)

    async def time_left(self, lease: int) -> Outcome:
        """Return how long a lease lasts without a renewal."""

        def job(tables: LeaseTables, revision: int) -> Outcome:
            until_s = tables.lease_until_s(lease)
            if until_s is None:
                return Refused(self._file.identity, revision, lease_gone=True)
            return Done(self._file.identity, revision, lease=lease, ttl_s=until_s - self._now_s())

        return await self._write(job)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Sequence[Change]]:
        """Yield the changes after a revision, by polling the file."""
        seen = _Poll(-1, after, ())
        changed_at = self._now_s()
        while True:
            try:
                poll = await self._in_thread(partial(self._poll, prefix, seen))
            except ERRORS as error:
                raise WatchLostError(str(error)) from error
            seen = _Poll(poll.data_version, max(seen.revision, poll.revision), ())
            now = self._now_s()
            if poll.changes:
                changed_at = now
                yield poll.changes
            await asyncio.sleep(WATCH_POLL_S if now - changed_at < IDLE_AFTER_S else IDLE_WATCH_POLL_S)

    def _poll(self, prefix: str, seen: _Poll, tables: LeaseTables) -> _Poll:
        first_expiry_s = tables.first_expiry_s()
        if first_expiry_s is not None and first_expiry_s <= self._now_s():
            # Else a role would stay a dead holder's until some instance happens to write.
            with self._file.writing(tables):
                tables.end_expired(self._now_s())
        data_version = int(tables.connection.execute("PRAGMA data_version").fetchone()[0])
        # Our own writes do not move the data version, so the revision is compared too.
        revision = tables.revision
        if data_version == seen.data_version and revision == seen.revision:
            return _Poll(data_version, revision, ())
        return _Poll(data_version, revision, tables.changes(prefix, seen.revision, revision))

    async def close(self) -> None:
        """Close the file and end the thread."""
        await asyncio.get_running_loop().run_in_executor(self._thread, self._file.close)
        self._thread.shutdown(wait=False)

    # In the thread.

    async def _in_thread(self, job: Callable[[LeaseTables], T]) -> T:
        def run() -> T:
            return job(self._file.open())

        return await asyncio.get_running_loop().run_in_executor(self._thread, run)

    async def _write(self, job: Callable[[LeaseTables, int], Outcome]) -> Outcome:
        """Run a job in a transaction, at the revision after expired leases were ended."""

        def transaction(tables: LeaseTables) -> Outcome:
            with self._file.writing(tables):
                return job(tables, tables.end_expired(self._now_s()))

        try:
            return await self._in_thread(transaction)
        except ERRORS as error:
            return _unknown(error)


def _unknown(error: Exception) -> Unknown:
    # What failed before its commit did not happen; a commit that failed may have. Both are told as one.
    return Unknown(f"{type(error).__name__}: {error}")
