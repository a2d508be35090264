"""Lease store for the instances of one host: a SQLite file.

The file is accessed by a thread of its own, and leases expire by the boot clock.

Every transaction first ends the leases that have expired, and only then checks its compares: the first
instance that writes after a lease's expiry ends it for all instances.
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

LOCK_TIMEOUT_S = 1.0  # time-out for the lock of the file, after which the outcome is unknown
# Each poll for changes costs CPU time in every instance, and there may be forty instances on one host.
WATCH_POLL_S = 0.02  # poll interval after recent changes
IDLE_WATCH_POLL_S = 0.05  # poll interval otherwise
IDLE_AFTER_S = 0.5  # time without a change after which the longer interval applies
CALL_ERRORS = (OSError, sqlite3.Error, TimeoutError)


@dataclass(frozen=True, slots=True)
class _Poll:
    """Result of a watch's poll of the file."""

    data_version: int  # SQLite's counter, which changes with each commit of another connection
    revision: int
    changes: Sequence[Change]


class SqliteStore(Store):
    """The connection of one instance to the file. The connection must be closed to end its thread.

    `now_s` is the clock of lease expiry, the same for all instances of the host, and `boot` returns the id of
    the boot that it counts from. Without `watched`, no history is kept and `watch` yields no changes.
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

    # Calls. Each call runs as one job in the thread.

    async def read(self, prefix: str) -> Done | Unknown:
        """Return all entries whose keys start with a prefix; expired leases are ended first."""

        def job(tables: LeaseTables, revision: int) -> Done:
            return Done(self._file.identity, revision, tuple(tables.entries(prefix)))

        outcome = await self._write(job)
        assert not isinstance(outcome, Refused)
        return outcome

    async def commit(self, transaction: Transaction) -> Outcome:
        """Carry out a transaction."""

        def job(tables: LeaseTables, revision: int) -> Outcome:
            return tables.carry_out(self._file.identity, revision, transaction)

        return await self._write(job)

    async def commit_all(self, transactions: Sequence[Transaction]) -> list[Outcome]:
        """Carry out several transactions within one SQLite transaction: a crash loses all or none of them."""

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
        except CALL_ERRORS as error:
            return [_unknown(error)] * len(transactions)

    async def grant(self, ttl_s: float) -> Done | Unknown:
        """Return a new lease, whose time to live starts now."""

        def job(tables: LeaseTables, revision: int) -> Done:
            lease = tables.insert_lease(ttl_s, self._now_s() + ttl_s)
            return Done(self._file.identity, revision, lease=lease, ttl_s=ttl_s)

        outcome = await self._write(job)
        assert not isinstance(outcome, Refused)
        return outcome

    async def renew(self, lease: int) -> Outcome:
        """Renew a lease by its time to live; the outcome is Refused if the lease has ended."""

        def job(tables: LeaseTables, revision: int) -> Outcome:
            ttl_s = tables.lease_ttl_s(lease)
            if ttl_s is None:
                return Refused(self._file.identity, revision, lease_gone=True)
            tables.extend_lease(lease, self._now_s() + ttl_s)
            return Done(self._file.identity, revision, lease=lease, ttl_s=ttl_s)

        return await self._write(job)

    async def revoke(self, lease: int) -> Outcome:
        """Revoke a lease, which deletes the keys that are bound to it."""

        def job(tables: LeaseTables, revision: int) -> Outcome:
            revision_after = tables.end_lease(revision, lease)
            if revision_after is None:
                return Refused(self._file.identity, revision, lease_gone=True)
            return Done(self._file.identity, revision_after, lease=lease)

        return await self._write(job)

    async def time_left(self, lease: int) -> Outcome:
        """Return the remaining time of a lease."""

        def job(tables: LeaseTables, revision: int) -> Outcome:
            until_s = tables.lease_until_s(lease)
            if until_s is None:
                return Refused(self._file.identity, revision, lease_gone=True)
            return Done(self._file.identity, revision, lease=lease, ttl_s=until_s - self._now_s())

        return await self._write(job)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Sequence[Change]]:
        """Yield the changes after a revision, by polling the file."""
        last_poll = _Poll(-1, after, ())
        changed_at = self._now_s()
        while True:
            try:
                poll = await self._in_thread(partial(self._poll, prefix, last_poll))
            except CALL_ERRORS as error:
                raise WatchLostError(str(error)) from error
            last_poll = _Poll(poll.data_version, max(last_poll.revision, poll.revision), ())
            now = self._now_s()
            if poll.changes:
                changed_at = now
                yield poll.changes
            await asyncio.sleep(WATCH_POLL_S if now - changed_at < IDLE_AFTER_S else IDLE_WATCH_POLL_S)

    def _poll(self, prefix: str, last_poll: _Poll, tables: LeaseTables) -> _Poll:
        first_expiry_s = tables.first_expiry_s()
        if first_expiry_s is not None and first_expiry_s <= self._now_s():
            # Without this write, a stopped holder would keep its role until another instance writes.
            with self._file.writing(tables):
                tables.end_expired(self._now_s())
        data_version = int(tables.connection.execute("PRAGMA data_version").fetchone()[0])
        # Writes of this connection do not change the data version, so the revision is compared too.
        revision = tables.revision
        if data_version == last_poll.data_version and revision == last_poll.revision:
            return _Poll(data_version, revision, ())
        return _Poll(data_version, revision, tables.changes(prefix, last_poll.revision, revision))

    async def close(self) -> None:
        """Close the file and end the thread."""
        await asyncio.get_running_loop().run_in_executor(self._thread, self._file.close)
        self._thread.shutdown(wait=False)

    # Execution in the thread.

    async def _in_thread(self, job: Callable[[LeaseTables], T]) -> T:
        def run() -> T:
            return job(self._file.open())

        return await asyncio.get_running_loop().run_in_executor(self._thread, run)

    async def _write(self, job: Callable[[LeaseTables, int], Outcome]) -> Outcome:
        """Run a job in a transaction, after the expired leases were ended; the job gets the new revision."""

        def transaction(tables: LeaseTables) -> Outcome:
            with self._file.writing(tables):
                return job(tables, tables.end_expired(self._now_s()))

        try:
            return await self._in_thread(transaction)
        except CALL_ERRORS as error:
            return _unknown(error)


def _unknown(error: Exception) -> Unknown:
    # A failure before the commit had no effect; a failed commit may have had an effect. The two are not
    # distinguished.
    return Unknown(f"{type(error).__name__}: {error}")
