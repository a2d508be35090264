"""The file of a SQLite store: opens it, queues at its lock, and runs transactions.

Used by one thread alone. WAL with `synchronous=FULL`: what was reported as done survives a SIGKILL or a loss
of power. A process that is killed within a transaction leaves the state before it; one that is stopped
within a transaction holds the file until it goes on.
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

LOCK_POLL_S = (0.0005, 0.004)  # between two attempts to lock, drawn so that no two processes keep in step
PRIMARY_CODE_MASK = 0xFF  # of SQLite's extended result codes
DAMAGED_CODES = frozenset({sqlite3.SQLITE_NOTADB, sqlite3.SQLITE_CORRUPT})


class SqliteFile:
    """The store's file. `boot` returns the id of the boot that leases' times count from."""

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
        self.tables: LeaseTables | None = None  # while it is open
        self.identity = ""

    def open(self) -> LeaseTables:
        """Return the tables; opens the file if it is not open, or if another one was put in its place."""
        try:
            inode = os.stat(self._path).st_ino
        except FileNotFoundError:
            inode = 0
        if self.tables is not None and inode == self._inode:
            return self.tables
        # What we hold open after a replacement is no other process's store any more.
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
        """Run a transaction that writes: after the lock is taken, and rolled back on an exception."""
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
            raise StoreError(f"{self._path}: of format {file_format}, ours is {FORMAT}")
        if not file_format:
            if connection.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                raise StoreError(f"{self._path}: holds something that is no store of ours")
            tables.create(uuid.uuid4().hex, self._boot())

    def _end_leases_of_other_boot(self, tables: LeaseTables) -> None:
        if tables.read_property("boot") != self._boot():
            # No process lives that held a lease before the machine was started, and times of another boot
            # can't be compared.
            tables.end_all_leases()
            tables.write_property("boot", self._boot())

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Queue at a lock beside the file: SQLite's own wait for a busy file starves some processes."""
        give_up_at = time.monotonic() + self._lock_timeout_s
        while True:
            try:
                fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                if time.monotonic() > give_up_at:
                    raise TimeoutError("the store's file is busy") from None
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
