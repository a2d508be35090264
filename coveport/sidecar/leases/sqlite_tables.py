"""Tables of a SQLite store: keys, leases, and the change history from which watches are served.

Every method runs within a transaction of the caller, in the store's thread.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator, Sequence
from pathlib import Path

from coveport.sidecar.leases.errors import StoreError, WatchLostError
from coveport.sidecar.leases.store import (
    Change,
    Compare,
    Delete,
    Done,
    Entry,
    Field,
    Put,
    Refused,
    Transaction,
)

FORMAT = 1  # file format, stored as `user_version`; a later format is rejected
HISTORY_REVISIONS = 4096  # number of revisions that the history keeps for watches
COMPACT_EVERY_REVISIONS = HISTORY_REVISIONS // 8  # interval of the history's compaction

# SQLite stores these statements in the file, including white space, so they must not be reformatted.
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


class LeaseTables:
    """The tables of one open file. `keep_history`: whether changes are recorded for watches."""

    def __init__(self, connection: sqlite3.Connection, path: Path, *, keep_history: bool) -> None:
        self.connection = connection
        self._path = path
        self._keep_history = keep_history

    # Properties of the store.

    def create(self, identity: str, boot: str) -> None:
        """Create the tables in an empty file, and set the store's properties."""
        for statement in SCHEMA.split(";"):
            self.connection.execute(statement)
        self.connection.executemany(
            "INSERT INTO about VALUES (?, ?)",
            (("identity", identity), ("revision", "1"), ("boot", boot), ("compacted", "0")),
        )
        self.connection.execute(f"PRAGMA user_version={FORMAT}")

    def read_property(self, name: str) -> str:
        """Return a property of the store; raise StoreError if the property is missing."""
        row = self.connection.execute("SELECT value FROM about WHERE name = ?", (name,)).fetchone()
        if row is None:
            raise StoreError(f"{self._path}: incomplete store: property {name} is missing")
        return str(row[0])

    def write_property(self, name: str, value: str) -> None:
        """Set a property of the store."""
        self.connection.execute("UPDATE about SET value = ? WHERE name = ?", (value, name))

    @property
    def revision(self) -> int:
        """The store's revision."""
        return int(self.read_property("revision"))

    # Leases.

    def insert_lease(self, ttl_s: float, until_s: float) -> int:
        """Return the id of a new lease."""
        lease = self.connection.execute(
            "INSERT INTO leases (ttl_s, until_s) VALUES (?, ?)", (ttl_s, until_s)
        ).lastrowid
        assert lease is not None
        return lease

    def lease_ttl_s(self, lease: int) -> float | None:
        """Return a lease's time to live; None if the lease has ended."""
        row = self.connection.execute("SELECT ttl_s FROM leases WHERE id = ?", (lease,)).fetchone()
        return None if row is None else float(row[0])

    def lease_until_s(self, lease: int) -> float | None:
        """Return the expiry time of a lease, by the store's clock; None if the lease has ended."""
        row = self.connection.execute("SELECT until_s FROM leases WHERE id = ?", (lease,)).fetchone()
        return None if row is None else float(row[0])

    def extend_lease(self, lease: int, until_s: float) -> None:
        """Set the expiry time of a lease."""
        self.connection.execute("UPDATE leases SET until_s = ? WHERE id = ?", (until_s, lease))

    def first_expiry_s(self) -> float | None:
        """Return the earliest expiry time of all leases; None if there is no lease."""
        first: float | None = self.connection.execute("SELECT min(until_s) FROM leases").fetchone()[0]
        return first

    def end_expired(self, now_s: float) -> int:
        """End the leases that have expired; return the resulting revision."""
        rows = self.connection.execute("SELECT id FROM leases WHERE until_s <= ?", (now_s,))
        return self._end_leases(self.revision, [row[0] for row in rows])

    def end_all_leases(self) -> None:
        """End all leases."""
        rows = self.connection.execute("SELECT id FROM leases")
        self._end_leases(self.revision, [row[0] for row in rows])

    def end_lease(self, revision: int, lease: int) -> int | None:
        """End a lease at a revision; return the resulting revision; None if the lease had already ended."""
        if self.lease_ttl_s(lease) is None:
            return None
        return self._end_leases(revision, [lease])

    def _end_leases(self, revision: int, leases: Sequence[int]) -> int:
        if not leases:
            return revision
        self.connection.executemany("DELETE FROM leases WHERE id = ?", [(lease,) for lease in leases])
        deletions = [
            Delete(row[0])
            for lease in leases
            for row in self.connection.execute("SELECT key FROM entries WHERE lease = ?", (lease,))
        ]
        return self._apply(revision, deletions)

    # Keys.

    def carry_out(self, identity: str, revision: int, transaction: Transaction) -> Done | Refused:
        """Carry out a transaction at a revision, if its compares hold and its leases have not ended."""
        if not all(map(self._compare_holds, transaction.compares)):
            return Refused(identity, revision)
        leases = {change.lease for change in transaction.changes if isinstance(change, Put) and change.lease}
        if any(self.lease_ttl_s(lease) is None for lease in leases):
            return Refused(identity, revision, lease_gone=True)
        return Done(identity, self._apply(revision, transaction.changes))

    def _compare_holds(self, compare: Compare) -> bool:
        column = "created" if compare.field is Field.CREATED else "modified"
        row = self.connection.execute(
            f"SELECT {column} FROM entries WHERE key = ?", (compare.key,)
        ).fetchone()
        return int(row[0] if row else 0) == compare.equals

    def _apply(self, revision: int, changes: Sequence[Put | Delete]) -> int:
        """Apply changes at the next revision; return the new revision, or `revision` if nothing changed."""
        next_revision = revision + 1
        # The results are a list, so that every change is applied even if an earlier change had an effect.
        changed = [self._apply_one(next_revision, change) for change in changes]
        if not any(changed):
            return revision
        self.write_property("revision", str(next_revision))
        if next_revision % COMPACT_EVERY_REVISIONS == 0:
            self._compact(next_revision - HISTORY_REVISIONS)
        return next_revision

    def _apply_one(self, revision: int, change: Put | Delete) -> bool:
        row = self.connection.execute("SELECT created FROM entries WHERE key = ?", (change.key,)).fetchone()
        if isinstance(change, Delete):
            if row is None:
                return False
            self.connection.execute("DELETE FROM entries WHERE key = ?", (change.key,))
            self._record(revision, change.key, None, 0, 0)
            return True
        created = revision if row is None else row[0]
        self.connection.execute(
            "INSERT OR REPLACE INTO entries VALUES (?, ?, ?, ?, ?)",
            (change.key, change.value, created, revision, change.lease),
        )
        self._record(revision, change.key, change.value, created, change.lease)
        return True

    def _record(self, revision: int, key: str, value: bytes | None, created: int, lease: int) -> None:
        if self._keep_history:
            self.connection.execute(
                "INSERT OR REPLACE INTO history VALUES (?, ?, ?, ?, ?)",
                (revision, key, value, created, lease),
            )

    def _compact(self, up_to: int) -> None:
        self.connection.execute("DELETE FROM history WHERE revision <= ?", (up_to,))
        self.write_property("compacted", str(max(0, up_to)))

    def entries(self, prefix: str) -> Iterator[Entry]:
        """Yield the entries whose keys start with a prefix, ordered by key."""
        rows = self.connection.execute(
            "SELECT key, value, created, modified, lease FROM entries WHERE key >= ? ORDER BY key", (prefix,)
        )
        for row in rows:
            if not row[0].startswith(prefix):
                break
            yield Entry(*row)

    def changes(self, prefix: str, after: int, revision: int) -> list[Change]:
        """Return the changes after `after` up to `revision`; WatchLostError if the history is incomplete."""
        if revision < after:
            raise WatchLostError(f"the store's revision went back from {after} to {revision}")
        if after < int(self.read_property("compacted")):
            raise WatchLostError(f"the history after revision {after} has been compacted")
        rows = self.connection.execute(
            "SELECT revision, key, value, created, lease FROM history "
            "WHERE revision > ? AND revision <= ? ORDER BY revision, key",
            (after, revision),
        )
        return [
            Change(at, key, None if value is None else Entry(key, value, created, at, lease))
            for at, key, value, created, lease in rows
            if key.startswith(prefix)
        ]
