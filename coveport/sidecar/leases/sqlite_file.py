"""File of a SQLite store: opens it, acquires its lock, and runs transactions.

The file object is used by one thread only. With WAL and `synchronous=FULL`, a transaction that was reported
as done survives a SIGKILL or a loss of power. If a process is killed during a transaction, the file keeps the
state before the transaction. A process that is suspended during a transaction keeps the lock until the
process resumes.
"""

from __future__ import annotations

import fcntl
import os
import random
import sqlite3
import time
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from coveport.sidecar.leases.errors import StoreError
from coveport.sidecar.leases.sqlite_tables import FORMAT, LeaseTables

LOCK_POLL_S = (0.0005, 0.004)  # range of the random interval between attempts to lock
PRIMARY_CODE_MASK = 0xFF  # mask of the primary code in SQLite's extended result codes
DAMAGED_CODES = frozenset({sqlite3.SQLITE_NOTADB, sqlite3.SQLITE_CORRUPT})


class SqliteFile:
    """The file of a store. `boot` returns the id of the boot that the leases' times count from."""

    def __init__(
        self, path: Path, *, boot: Callable[[], str], lock_timeout_s: float, keep_history: bool
    ) -> None:
        self._path = path
        self._boot = boot
        self._lock_timeout_s = lock_timeout_s
        self._keep_history = keep_history
        self._inode = 0
        self._lock_descriptor = -1
        self._rng = random.Random(os.getpid() ^ time.monotonic_ns())
        self.tables: LeaseTables | None = None  # None while the file is closed
        self.identity = ""

    def open(self) -> LeaseTables:
        """Return the tables; opens the file if it is not open or was replaced by another file."""
        try:
            inode = os.stat(self._path).st_ino
        except FileNotFoundError:
            inode = 0
        if self.tables is not None and inode == self._inode:
            return self.tables
        # After a replacement, the open file is no longer the file that other processes use.
        self.close()
        self._lock_descriptor = os.open(f"{self._path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        connection = sqlite3.connect(
            self._path, timeout=self._lock_timeout_s, isolation_level=None, check_same_thread=False
        )
        try:
            tables = LeaseTables(connection, self._path, keep_history=self._keep_history)
            self._prepare(tables)
        except BaseException:
            connection.close()
            raise
        self.tables = tables
        self._inode = os.stat(self._path).st_ino
        return tables

    def close(self) -> None:
        """Close the file, if it is open."""
        if self.tables is not None:
            self.tables.connection.close()
            self.tables = None
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    @contextmanager
    def writing(self, tables: LeaseTables) -> Iterator[None]:
        """Run the block as a writing transaction under the lock; roll back on an exception."""
        with self._locked(), _transaction(tables.connection):
            yield

    def _prepare(self, tables: LeaseTables) -> None:
        try:
            with self._locked():
                tables.connection.execute("PRAGMA journal_mode=WAL")
                tables.connection.execute("PRAGMA synchronous=FULL")
                with _transaction(tables.connection):
                    self._check_format(tables)
                    self.identity = tables.read_property("identity")
                    self._end_leases_of_other_boot(tables)
        except sqlite3.DatabaseError as error:
            if getattr(error, "sqlite_errorcode", 0) & PRIMARY_CODE_MASK in DAMAGED_CODES:
                raise StoreError(f"{self._path}: {error}") from error
            raise

    def _check_format(self, tables: LeaseTables) -> None:
        connection = tables.connection
        file_format = connection.execute("PRAGMA user_version").fetchone()[0]
        if file_format > FORMAT:
            raise StoreError(
                f"{self._path}: the file has format {file_format}, this version supports {FORMAT}"
            )
        if not file_format:
            if connection.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                raise StoreError(f"{self._path}: the file is a SQLite database but not a lease store")
            tables.create(uuid.uuid4().hex, self._boot())

    def _end_leases_of_other_boot(self, tables: LeaseTables) -> None:
        if tables.read_property("boot") != self._boot():
            # No process that held a lease before the reboot is still running, and times of different boots
            # can't be compared.
            tables.end_all_leases()
            tables.write_property("boot", self._boot())

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Hold the lock file next to the store: SQLite's own busy time-out starves some processes."""
        deadline_s = time.monotonic() + self._lock_timeout_s
        while True:
            try:
                fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                if time.monotonic() > deadline_s:
                    raise TimeoutError("the store's lock file is in use by another process") from None
                time.sleep(self._rng.uniform(*LOCK_POLL_S))
        try:
            yield
        finally:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_UN)


@contextmanager
def _transaction(connection: sqlite3.Connection) -> Iterator[None]:
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
        connection.execute("COMMIT")
    except BaseException:
        if connection.in_transaction:
            connection.execute("ROLLBACK")
        raise
