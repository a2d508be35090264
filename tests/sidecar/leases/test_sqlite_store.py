"""SQLite store: reboots, replaced and damaged files, locks, crashes, full disks."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import sqlite3
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from store_conformance import done, put

from coveport.sidecar.leases.errors import StoreError
from coveport.sidecar.leases.sqlite import SqliteStore
from coveport.sidecar.leases.store import Done, Refused, Unknown


def run_with_store(path: Path, work: Callable[[SqliteStore], Awaitable[object]], **options: object) -> Any:
    async def run() -> object:
        store = SqliteStore(path, **options)  # type: ignore[arg-type]
        try:
            return await work(store)
        finally:
            await store.close()

    return asyncio.run(run())


def test_reboot_ends_all_leases(tmp_path: Path) -> None:
    path = tmp_path / "store"

    async def before(store: SqliteStore) -> None:
        lease = (await done(store.grant(1000.0))).lease
        await done(store.commit(put("duty", b"me", lease)))
        await done(store.commit(put("state", b"kept")))

    async def after(store: SqliteStore) -> list[str]:
        return [entry.key for entry in (await done(store.read(""))).entries]

    run_with_store(path, before, boot=lambda: "first")
    assert run_with_store(path, after, boot=lambda: "first") == ["duty", "state"]
    assert run_with_store(path, after, boot=lambda: "second", now_s=lambda: 1.0) == ["state"]


def test_replaced_file_shows_another_identity(tmp_path: Path) -> None:
    path, replacement_path = tmp_path / "store", tmp_path / "other"

    async def work(store: SqliteStore) -> tuple[Done, Done]:
        first = await done(store.commit(put("a", b"1")))
        replacement = SqliteStore(replacement_path)
        await done(replacement.commit(put("b", b"1")))
        await replacement.close()
        for suffix in ("-wal", "-shm"):
            (tmp_path / f"store{suffix}").unlink(missing_ok=True)
        os.replace(replacement_path, path)
        return first, await done(store.read(""))

    first, second = run_with_store(path, work)
    assert first.identity != second.identity and [entry.key for entry in second.entries] == ["b"]


def test_restored_backup_shows_a_lower_revision(tmp_path: Path) -> None:
    path, backup = tmp_path / "store", tmp_path / "backup"

    async def work(store: SqliteStore) -> tuple[Done, Done]:
        await done(store.commit(put("a", b"1")))
        with sqlite3.connect(path) as source, sqlite3.connect(backup) as target:
            source.backup(target)
        later = await done(store.commit(put("a", b"2")))
        for suffix in ("-wal", "-shm"):
            (tmp_path / f"store{suffix}").unlink(missing_ok=True)
        shutil.copy(backup, tmp_path / "copy")
        os.replace(tmp_path / "copy", path)
        return later, await done(store.read(""))

    later, restored = run_with_store(path, work)
    assert restored.identity == later.identity and restored.revision < later.revision


@pytest.mark.parametrize("contents", ["later", "noise", "other", "half"])
def test_invalid_file_raises_a_one_line_error(tmp_path: Path, contents: str) -> None:
    path = tmp_path / "store"
    if contents == "noise":
        path.write_bytes(random.Random(1).randbytes(9000))
    elif contents == "half":
        run_with_store(path, lambda store: store.read(""))
        with sqlite3.connect(path) as connection:
            connection.execute("DELETE FROM about WHERE name = 'identity'")
    else:
        with sqlite3.connect(path) as connection:
            connection.execute("CREATE TABLE mine (name TEXT)")
            connection.execute(f"PRAGMA user_version={99 if contents == 'later' else 0}")
    with pytest.raises(StoreError) as error:
        run_with_store(path, lambda store: store.read(""))
    assert "\n" not in str(error.value) and str(path) in str(error.value)


def test_locked_file_gives_unknown_until_it_is_released(tmp_path: Path) -> None:
    path = tmp_path / "store"

    async def work(store: SqliteStore) -> tuple[object, object]:
        await done(store.commit(put("a", b"1")))
        locker = sqlite3.connect(path, isolation_level=None)
        locker.execute("BEGIN IMMEDIATE")
        while_locked = await store.commit(put("a", b"2"))
        locker.execute("ROLLBACK")
        locker.close()
        return while_locked, await store.commit(put("a", b"3"))

    while_locked, after = run_with_store(path, work, lock_timeout_s=0.2)
    assert isinstance(while_locked, Unknown) and isinstance(after, Done)


WRITER = """
import asyncio, sys
from pathlib import Path
from coveport.sidecar.leases.sqlite import SqliteStore
from coveport.sidecar.leases.store import *

async def main():
    store = SqliteStore(Path(sys.argv[1]))
    while True:
        current = await store.read("n/")
        count = int(current.entries[0].value) if current.entries else 0
        revision = current.entries[0].modified if current.entries else 0
        puts = tuple(Put(f"n/{key}", b"%d" % (count + 1)) for key in "abc")
        outcome = await store.commit(Transaction((Compare("n/a", Field.MODIFIED, revision),), puts))
        if isinstance(outcome, Done):
            print(count + 1, flush=True)

asyncio.run(main())
"""


def test_killed_process_keeps_reported_transactions_and_leaves_no_partial_one(tmp_path: Path) -> None:
    path = tmp_path / "store"
    rng = random.Random(7)
    reported = 0
    for _ in range(6):
        with subprocess.Popen(
            [sys.executable, "-c", WRITER, str(path)], stdout=subprocess.PIPE, text=True
        ) as process:
            assert process.stdout is not None
            first_line = process.stdout.readline()
            time.sleep(rng.uniform(0.0, 0.05))
            process.send_signal(signal.SIGKILL)
            lines = (first_line + process.stdout.read()).split()
        reported = max(reported, int(lines[-1]))

        async def read_values(store: SqliteStore) -> set[bytes]:
            return {entry.value for entry in (await done(store.read("n/"))).entries}

        values = run_with_store(path, read_values)
        assert isinstance(values, set) and len(values) == 1, "all three keys of a transaction or none"
        stored = int(next(iter(values)))
        assert stored in (reported, reported + 1), (
            "no reported transaction is lost; one unreported transaction may be stored"
        )
        reported = stored


def test_concurrent_processes_lose_no_count(tmp_path: Path) -> None:
    path = tmp_path / "store"
    processes = [
        subprocess.Popen([sys.executable, "-c", WRITER, str(path)], stdout=subprocess.PIPE, text=True)
        for _ in range(4)
    ]
    reported: list[int] = []
    try:
        for process in processes:
            assert process.stdout is not None
            reported.append(int(process.stdout.readline()))
        time.sleep(0.5)
    finally:
        for process in processes:
            process.kill()
    for process in processes:
        assert process.stdout is not None
        reported += [int(line) for line in process.stdout.read().split()]
        process.stdout.close()
        process.wait()
    assert len(reported) == len(set(reported)), "no count was reported twice"


def test_refusal_gives_the_revision(tmp_path: Path) -> None:
    async def work(store: SqliteStore) -> None:
        first = await done(store.commit(put("a", b"1")))
        refused = await store.commit(put("a", b"2", created=0))
        assert isinstance(refused, Refused) and refused.revision == first.revision

    run_with_store(tmp_path / "store", work)


def test_store_whose_thread_is_blocked_blocks_no_other_store(tmp_path: Path) -> None:
    async def run() -> float:
        blocked = SqliteStore(tmp_path / "store")
        free = SqliteStore(tmp_path / "store")
        await done(free.commit(put("a", b"1")))
        blocked._thread.submit(time.sleep, 1.5)
        start = time.monotonic()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(blocked.read(""), 0.3)
        await done(free.commit(put("a", b"2")))
        took_s = time.monotonic() - start
        await blocked.close()
        await free.close()
        return took_s

    assert asyncio.run(run()) < 1.4, "neither the event loop nor the other store was blocked"


def test_full_disk_gives_unknown_and_loses_nothing(tmp_path: Path) -> None:
    async def work(store: SqliteStore) -> None:
        await done(store.commit(put("a", b"1")))
        tables = store._file.tables
        assert tables is not None
        pages = tables.connection.execute("PRAGMA page_count").fetchone()[0]
        tables.connection.execute(f"PRAGMA max_page_count={pages}")
        full = await store.commit(put("b", random.Random(1).randbytes(200_000)))
        assert isinstance(full, Unknown) and "full" in full.reason
        tables.connection.execute("PRAGMA max_page_count=100000")
        assert [entry.key for entry in (await done(store.read(""))).entries] == ["a"]
        await done(store.commit(put("b", b"2")))

    run_with_store(tmp_path / "store", work)
