"""A leases file that was written before is read, goes on, and is written with the same tables."""

from __future__ import annotations

import asyncio
import sqlite3
from contextlib import closing
from pathlib import Path

from golden_files import read_file
from golden_lease_cases import ENTRIES, IDENTITY, NOW_S, REVISION, done, dump, store_at, write_leases

from coveport.sidecar.leases.store import Change, Compare, Entry, Field, Put, Refused, Transaction


def golden_file(folder: Path) -> Path:
    """A copy of the golden file."""
    path = folder / "leases.sqlite"
    path.write_bytes(read_file("leases/leases.sqlite"))
    return path


def test_its_entries_and_leases_are_read_as_before(tmp_path: Path) -> None:
    async def read() -> None:
        store = store_at(golden_file(tmp_path), NOW_S + 5.0)
        found = done(await store.read(""))
        assert (found.identity, found.revision, found.entries) == (IDENTITY, REVISION, ENTRIES)
        assert done(await store.read("r/")).entries == ENTRIES[1:]
        assert done(await store.time_left(1)).ttl_s == 10.0
        assert done(await store.time_left(3)).ttl_s == 2.25
        assert await store.time_left(2) == Refused(IDENTITY, REVISION, lease_gone=True)
        await store.close()

    asyncio.run(read())


def test_its_history_is_told_as_before(tmp_path: Path) -> None:
    async def watch() -> None:
        store = store_at(golden_file(tmp_path))
        changes = await anext(store.watch("", 3))
        await store.close()
        assert list(changes) == [
            Change(4, "duty/warden", ENTRIES[0]),
            Change(5, "instance/2", Entry("instance/2", b"two", 5, 5, 2)),
            Change(5, "r/gone", None),
            Change(6, "instance/2", None),
        ]

    asyncio.run(watch())


def test_it_goes_on_from_where_it_was(tmp_path: Path) -> None:
    async def go_on() -> None:
        store = store_at(golden_file(tmp_path))
        assert done(await store.grant(1.0)).lease == 4
        put = Put("duty/warden", b"holder-2", 1)
        late = Transaction((Compare("duty/warden", Field.MODIFIED, 2),), (put,))
        assert await store.commit(late) == Refused(IDENTITY, REVISION)
        fenced = Transaction((Compare("duty/warden", Field.CREATED, 2),), (put,))
        assert done(await store.commit(fenced)).revision == REVISION + 1
        await store.close()

    asyncio.run(go_on())


def test_its_leases_end_with_their_time_and_with_the_boot(tmp_path: Path) -> None:
    async def entries(now_s: float, boot: str) -> tuple[Entry, ...]:
        store = store_at(golden_file(tmp_path), now_s, boot)
        found = done(await store.read(""))
        await store.close()
        return found.entries

    assert asyncio.run(entries(NOW_S + 14.9, "boot-1")) == ENTRIES
    assert asyncio.run(entries(NOW_S + 15.0, "boot-1")) == ENTRIES[1:]
    assert asyncio.run(entries(NOW_S, "boot-2")) == ENTRIES[1:]


def test_it_is_written_with_the_same_tables(tmp_path: Path) -> None:
    asyncio.run(write_leases(tmp_path / "leases.sqlite"))
    expected = read_file("leases/tables.txt").decode()
    assert dump(tmp_path / "leases.sqlite") == expected
    assert dump(golden_file(tmp_path)) == expected


def test_it_is_a_file_that_the_store_finished(tmp_path: Path) -> None:
    path = golden_file(tmp_path)
    with closing(sqlite3.connect(path)) as base:
        assert base.execute("PRAGMA integrity_check").fetchone() == ("ok",)
        assert base.execute("PRAGMA journal_mode").fetchone() == ("wal",)
