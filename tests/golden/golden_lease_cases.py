"""A store of leases in a SQLite file, written with a fixed clock, boot and identity."""

from __future__ import annotations

import sqlite3
import uuid
from contextlib import closing
from pathlib import Path
from typing import TypeVar
from unittest import mock

from coveport.sidecar.leases.sqlite import SqliteStore
from coveport.sidecar.leases.store import Compare, Delete, Done, Entry, Field, Put, Transaction

T = TypeVar("T")

IDENTITY = "0123456789abcdef0123456789abcdef"
BOOT = "boot-1"
NOW_S = 1000.0

ENTRIES = (
    Entry("duty/warden", b"holder-1", 2, 4, 1),
    Entry("r/0123", b"\x00value\xff", 3, 3, 0),
    Entry("r/größe", b"", 3, 3, 0),
)
REVISION = 6
TABLES = ("about", "entries", "leases", "history")


def store_at(path: Path, now_s: float = NOW_S, boot: str = BOOT) -> SqliteStore:
    """A store whose clock stands still."""
    return SqliteStore(path, now_s=lambda: now_s, boot=lambda: boot)


def done(outcome: T | Done) -> Done:
    """The outcome of a call that must have been carried out."""
    assert isinstance(outcome, Done), outcome
    return outcome


async def write_leases(path: Path) -> None:
    """Two leases, three entries, one that was deleted, one that went with its lease."""
    with mock.patch("uuid.uuid4", return_value=uuid.UUID(IDENTITY)):
        store = store_at(path)
        first = done(await store.grant(15.0)).lease
        second = done(await store.grant(0.5)).lease
    duty = "duty/warden"
    await _commit(store, Put(duty, b"holder-0", first), compare=Compare(duty, Field.CREATED, 0))
    await _commit(store, Put("r/0123", b"\x00value\xff"), Put("r/größe", b""), Put("r/gone", b"x"))
    await _commit(store, Put(duty, b"holder-1", first), compare=Compare(duty, Field.MODIFIED, 2))
    await _commit(store, Delete("r/gone"), Put("instance/2", b"two", second))
    done(await store.revoke(second))
    done(await store.grant(7.25))
    await store.close()


async def _commit(store: SqliteStore, *changes: Put | Delete, compare: Compare | None = None) -> None:
    done(await store.commit(Transaction((compare,) if compare else (), changes)))


def dump(path: Path) -> str:
    """The file's tables as text: SQLite's version and its pages don't matter."""
    with closing(sqlite3.connect(path)) as base:
        (version,) = base.execute("PRAGMA user_version").fetchone()
        schema = base.execute("SELECT sql FROM sqlite_master WHERE sql NOT NULL AND name NOT LIKE 'sqlite_%'")
        lines = [f"user_version {version}", *(row[0] for row in schema)]
        for table in TABLES:
            lines += [f"{table} {row!r}" for row in base.execute(f"SELECT * FROM {table}")]
    return "\n".join(lines) + "\n"
