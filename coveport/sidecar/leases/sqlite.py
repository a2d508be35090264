"""The store of the instances of one host: a SQLite file, a thread of our own, time by the boot clock.

Every transaction that writes queues at a lock beside the file, takes away the leases that are over by now,
and only then looks at its compares, so whoever comes first after a lease's end ends it for all. WAL with
`synchronous=FULL`: what was told as done is there after a SIGKILL or a loss of power. A process that is
killed in the middle leaves the state before; one that is stopped in the middle holds the file until it goes
on.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import random
import sqlite3
import time
import uuid
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

from coveport.sidecar.leases import clock
from coveport.sidecar.leases.errors import StoreError, WatchLostError
from coveport.sidecar.leases.store import (
    Change,
    Compare,
    Delete,
    Done,
    Entry,
    Field,
    Outcome,
    Put,
    Refused,
    Transaction,
    Unknown,
)

T = TypeVar("T")

FORMAT = 1  # of the file; one of a later format is refused
HISTORY = 4096  # revisions that a watch can look back
LOCK_S = 1.0  # how long a call queues before the file until its end is unknown
LOCK_STEPS_S = (0.0005, 0.004)  # between two looks at the lock, drawn so that none comes in step
WATCH_S, IDLE_WATCH_S = 0.02, 0.05  # between two looks for changes, while there were some lately and else:
LATELY_S = 0.5  # a look is a turn of the thread, and forty instances on one host pay for forty of them

SCHEMA = """
CREATE TABLE IF NOT EXISTS about (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS entries (key TEXT PRIMARY KEY, value BLOB NOT NULL, created INTEGER NOT NULL,
    modified INTEGER NOT NULL, lease INTEGER NOT NULL) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS bound ON entries (lease) WHERE lease != 0;
CREATE TABLE IF NOT EXISTS leases (id INTEGER PRIMARY KEY AUTOINCREMENT, ttl_s REAL NOT NULL, until_s REAL
NOT NULL); CREATE INDEX IF NOT EXISTS ends ON leases (until_s); CREATE TABLE IF NOT EXISTS history (revision
INTEGER NOT NULL, key TEXT NOT NULL, value BLOB, created INTEGER NOT NULL,
    lease INTEGER NOT NULL, PRIMARY KEY (revision, key)) WITHOUT ROWID;
"""


class SqliteStore:
    """One instance's way to the file. Close it, or its thread stays.

    `now_s`, `boot`: the clock that leases end by, the same for all instances of the host, and what it
    counts from.
    """

    def __init__(
        self,
        path: Path,
        *,
        now_s: Callable[[], float] = clock.boot_s,
        boot: Callable[[], str] = clock.boot_id,
        lock_s: float = LOCK_S,
        watched: bool = True,
    ) -> None:
        """`watched`: False where nobody asks for changes, so that no book of them is kept."""
        self._path = path
        self._now_s = now_s
        self._boot = boot
        self._lock_s = lock_s
        self._watched = watched
        self._thread = ThreadPoolExecutor(1, "leases")
        self._base: sqlite3.Connection | None = None
        self._inode = 0
        self._lock_file = -1
        self._identity = ""
        self._chance = random.Random(os.getpid() ^ time.monotonic_ns())

    # Calls. Each is one job of the thread.

    async def read(self, prefix: str) -> Done | Unknown:
        """All keys that begin so; leases that are over by the clock are ended first."""

        def job(base: sqlite3.Connection) -> Done:
            with self._writing(base):
                revision = self._reap(base)
                return Done(self._identity, revision, tuple(self._entries(base, prefix)))

        outcome = await self._run(job)
        assert not isinstance(outcome, Refused)
        return outcome

    async def commit(self, transaction: Transaction) -> Outcome:
        """Carry it out, or not."""

        def job(base: sqlite3.Connection) -> Outcome:
            with self._writing(base):
                return self._one(base, self._reap(base), transaction)

        return await self._run(job)

    async def commit_all(self, transactions: Sequence[Transaction]) -> list[Outcome]:
        """Carry several out under one commit of the file: they are all there after it, or none is."""

        def job(base: sqlite3.Connection) -> list[Outcome]:
            done: list[Outcome] = []
            with self._writing(base):
                revision = self._reap(base)
                for one in transactions:
                    done.append(self._one(base, revision, one))
                    revision = max(revision, getattr(done[-1], "revision", 0))
            return done

        try:
            return await self._job(job)
        except (OSError, sqlite3.Error, TimeoutError) as problem:
            return [Unknown(f"{type(problem).__name__}: {problem}")] * len(transactions)

    def _one(self, base: sqlite3.Connection, revision: int, transaction: Transaction) -> Done | Refused:
        if not all(self._holds(base, one) for one in transaction.compares):
            return Refused(self._identity, revision)
        bound = {one.lease for one in transaction.changes if isinstance(one, Put) and one.lease}
        if any(not base.execute("SELECT 1 FROM leases WHERE id = ?", (one,)).fetchone() for one in bound):
            return Refused(self._identity, revision, lease_gone=True)
        return Done(self._identity, self._change(base, revision, transaction.changes))

    async def grant(self, ttl_s: float) -> Done | Unknown:
        """A new lease, from now."""

        def job(base: sqlite3.Connection) -> Done:
            with self._writing(base):
                revision = self._reap(base)
                lease = base.execute(
                    "INSERT INTO leases (ttl_s, until_s) VALUES (?, ?)", (ttl_s, self._now_s() + ttl_s)
                ).lastrowid
                assert lease is not None
                return Done(self._identity, revision, lease=lease, ttl_s=ttl_s)

        outcome = await self._run(job)
        assert not isinstance(outcome, Refused)
        return outcome

    async def renew(self, lease: int) -> Outcome:
        """Renew it."""

        def job(base: sqlite3.Connection) -> Outcome:
            with self._writing(base):
                revision = self._reap(base)
                row = base.execute("SELECT ttl_s FROM leases WHERE id = ?", (lease,)).fetchone()
                if row is None:
                    return Refused(self._identity, revision, lease_gone=True)
                base.execute("UPDATE leases SET until_s = ? WHERE id = ?", (self._now_s() + row[0], lease))
                return Done(self._identity, revision, lease=lease, ttl_s=row[0])

        return await self._run(job)

    async def revoke(self, lease: int) -> Outcome:
        """End it."""

        def job(base: sqlite3.Connection) -> Outcome:
            with self._writing(base):
                revision = self._reap(base)
                if not base.execute("DELETE FROM leases WHERE id = ?", (lease,)).rowcount:
                    return Refused(self._identity, revision, lease_gone=True)
                return Done(self._identity, self._unbind(base, revision, [lease]), lease=lease)

        return await self._run(job)

    async def time_left(self, lease: int) -> Outcome:
        """What a lease has left."""

        def job(base: sqlite3.Connection) -> Outcome:
            with self._writing(base):
                revision = self._reap(base)
                row = base.execute("SELECT until_s FROM leases WHERE id = ?", (lease,)).fetchone()
                if row is None:
                    return Refused(self._identity, revision, lease_gone=True)
                return Done(self._identity, revision, lease=lease, ttl_s=row[0] - self._now_s())

        return await self._run(job)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Sequence[Change]]:
        """Changes after a revision, by looking at the file."""
        seen, version, changed_at = after, -1, self._now_s()

        def job(base: sqlite3.Connection) -> tuple[int, int, list[Change]]:
            first = base.execute("SELECT min(until_s) FROM leases").fetchone()[0]
            if first is not None and first <= self._now_s():
                # Else a duty would stay a dead holder's until somebody happens to write.
                with self._writing(base):
                    self._reap(base)
            now_version = int(base.execute("PRAGMA data_version").fetchone()[0])
            # Our own writes do not move data_version, so the revision is looked at too.
            revision = int(self._about(base, "revision"))
            if now_version == version and revision == seen:
                return now_version, revision, []
            return now_version, revision, self._changes(base, prefix, seen, revision)

        while True:
            try:
                version, revision, changes = await self._job(job)
            except (OSError, sqlite3.Error, TimeoutError) as problem:
                raise WatchLostError(str(problem)) from problem
            seen = max(seen, revision)
            now = self._now_s()
            if changes:
                changed_at = now
                yield changes
            await asyncio.sleep(WATCH_S if now - changed_at < LATELY_S else IDLE_WATCH_S)

    async def close(self) -> None:
        """Close the file and end the thread."""
        await asyncio.get_running_loop().run_in_executor(self._thread, self._shut)
        self._thread.shutdown(wait=False)

    # In the thread.

    async def _job(self, job: Callable[[sqlite3.Connection], T]) -> T:
        def run() -> T:
            return job(self._open())

        return await asyncio.get_running_loop().run_in_executor(self._thread, run)

    async def _run(self, job: Callable[[sqlite3.Connection], Outcome]) -> Outcome:
        try:
            return await self._job(job)
        except (OSError, sqlite3.Error, TimeoutError) as problem:
            # What failed before its commit did not happen; a commit that failed may have. Told as one.
            return Unknown(f"{type(problem).__name__}: {problem}")

    def _shut(self) -> None:
        if self._base is not None:
            self._base.close()
            self._base = None
        if self._lock_file >= 0:
            os.close(self._lock_file)
            self._lock_file = -1

    def _open(self) -> sqlite3.Connection:
        try:
            inode = os.stat(self._path).st_ino
        except FileNotFoundError:
            inode = 0
        if self._base is not None and inode == self._inode:
            return self._base
        # Guards against a file that was put in the place of ours: what we hold open is nobody else's any
        # more.
        self._shut()
        if self._lock_file < 0:
            self._lock_file = os.open(f"{self._path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        base = sqlite3.connect(
            self._path, timeout=self._lock_s, isolation_level=None, check_same_thread=False
        )
        try:
            self._begin(base)
        except BaseException:
            base.close()
            raise
        self._base, self._inode = base, os.stat(self._path).st_ino
        return base

    def _begin(self, base: sqlite3.Connection) -> None:
        try:
            with self._queued():
                base.execute("PRAGMA journal_mode=WAL")
                base.execute("PRAGMA synchronous=FULL")
                with self._written(base):
                    base_format = base.execute("PRAGMA user_version").fetchone()[0]
                    if base_format > FORMAT:
                        raise StoreError(f"{self._path}: of format {base_format}, ours is {FORMAT}")
                    if not base_format:
                        if base.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                            raise StoreError(f"{self._path}: holds something that is no store of ours")
                        for line in SCHEMA.split(";"):
                            base.execute(line)
                        base.executemany(
                            "INSERT INTO about VALUES (?, ?)",
                            (
                                ("identity", uuid.uuid4().hex),
                                ("revision", "1"),
                                ("boot", self._boot()),
                                ("compacted", "0"),
                            ),
                        )
                        base.execute(f"PRAGMA user_version={FORMAT}")
                    self._identity = self._about(base, "identity")
                    if self._about(base, "boot") != self._boot():
                        # Nobody lives who held anything before the machine was started, and times of another
                        # boot say nothing.
                        gone = [row[0] for row in base.execute("SELECT id FROM leases")]
                        base.execute("DELETE FROM leases")
                        self._unbind(base, int(self._about(base, "revision")), gone)
                        self._tell(base, "boot", self._boot())
        except sqlite3.DatabaseError as problem:
            if "not a database" in str(problem) or "malformed" in str(problem):
                raise StoreError(f"{self._path}: {problem}") from problem
            raise

    @contextmanager
    def _queued(self) -> Iterator[None]:
        """Come before the file one after the other: SQLite's own wait for a busy file lets some starve."""
        give_up = time.monotonic() + self._lock_s
        while True:
            try:
                fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                if time.monotonic() > give_up:
                    raise TimeoutError("the store's file is busy") from None
                time.sleep(self._chance.uniform(*LOCK_STEPS_S))
        try:
            yield
        finally:
            fcntl.flock(self._lock_file, fcntl.LOCK_UN)

    @contextmanager
    def _written(self, base: sqlite3.Connection) -> Iterator[None]:
        base.execute("BEGIN IMMEDIATE")
        try:
            yield
            base.execute("COMMIT")
        except BaseException:
            if base.in_transaction:
                base.execute("ROLLBACK")
            raise

    @contextmanager
    def _writing(self, base: sqlite3.Connection) -> Iterator[None]:
        with self._queued(), self._written(base):
            yield

    def _about(self, base: sqlite3.Connection, name: str) -> str:
        row = base.execute("SELECT value FROM about WHERE name = ?", (name,)).fetchone()
        if row is None:
            raise StoreError(f"{self._path}: half written: nothing is said of its {name}")
        return str(row[0])

    def _tell(self, base: sqlite3.Connection, name: str, value: str) -> None:
        base.execute("UPDATE about SET value = ? WHERE name = ?", (value, name))

    def _reap(self, base: sqlite3.Connection) -> int:
        """End the leases that are over; the revision after it."""
        revision = int(self._about(base, "revision"))
        over = [row[0] for row in base.execute("SELECT id FROM leases WHERE until_s <= ?", (self._now_s(),))]
        if not over:
            return revision
        base.executemany("DELETE FROM leases WHERE id = ?", [(one,) for one in over])
        return self._unbind(base, revision, over)

    def _unbind(self, base: sqlite3.Connection, revision: int, leases: Sequence[int]) -> int:
        keys = [
            row[0]
            for lease in leases
            for row in base.execute("SELECT key FROM entries WHERE lease = ?", (lease,))
        ]
        return self._change(base, revision, [Delete(key) for key in keys])

    def _change(self, base: sqlite3.Connection, revision: int, changes: Sequence[Put | Delete]) -> int:
        """Carry changes out under the next revision; where they change nothing, there is none."""
        next_ = revision + 1
        changed = False
        for one in changes:
            row = base.execute("SELECT created FROM entries WHERE key = ?", (one.key,)).fetchone()
            if isinstance(one, Put):
                created = next_ if row is None else row[0]
                base.execute(
                    "INSERT OR REPLACE INTO entries VALUES (?, ?, ?, ?, ?)",
                    (one.key, one.value, created, next_, one.lease),
                )
                if self._watched:
                    base.execute(
                        "INSERT OR REPLACE INTO history VALUES (?, ?, ?, ?, ?)",
                        (next_, one.key, one.value, created, one.lease),
                    )
                changed = True
            elif row is not None:
                base.execute("DELETE FROM entries WHERE key = ?", (one.key,))
                if self._watched:
                    base.execute("INSERT OR REPLACE INTO history VALUES (?, ?, NULL, 0, 0)", (next_, one.key))
                changed = True
        if not changed:
            return revision
        self._tell(base, "revision", str(next_))
        if not next_ % (HISTORY // 8):
            base.execute("DELETE FROM history WHERE revision <= ?", (next_ - HISTORY,))
            self._tell(base, "compacted", str(max(0, next_ - HISTORY)))
        return next_

    def _holds(self, base: sqlite3.Connection, one: Compare) -> bool:
        column = "created" if one.field is Field.CREATED else "modified"
        row = base.execute(f"SELECT {column} FROM entries WHERE key = ?", (one.key,)).fetchone()
        return int(row[0] if row else 0) == one.equals

    def _entries(self, base: sqlite3.Connection, prefix: str) -> Iterator[Entry]:
        rows = base.execute(
            "SELECT key, value, created, modified, lease FROM entries WHERE key >= ? ORDER BY key", (prefix,)
        )
        for row in rows:
            if not row[0].startswith(prefix):
                break
            yield Entry(*row)

    def _changes(self, base: sqlite3.Connection, prefix: str, after: int, revision: int) -> list[Change]:
        if revision < after:
            raise WatchLostError(f"the store went back from {after} to {revision}")
        if after < int(self._about(base, "compacted")):
            raise WatchLostError(f"what came after {after} is not kept any more")
        rows = base.execute(
            "SELECT revision, key, value, created, lease FROM history "
            "WHERE revision > ? AND revision <= ? ORDER BY revision, key",
            (after, revision),
        )
        return [
            Change(at, key, None if value is None else Entry(key, value, created, at, lease))
            for at, key, value, created, lease in rows
            if key.startswith(prefix)
        ]
