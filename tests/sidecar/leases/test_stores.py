"""One suite of cases against every store, and what is particular to SQLite's."""

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
from conformance import CASES, Case, done, put

from coveport.sidecar.leases.errors import StoreError
from coveport.sidecar.leases.etcd import EtcdStore
from coveport.sidecar.leases.sqlite import SqliteStore
from coveport.sidecar.leases.store import Compare, Done, Field, Put, Refused, Store, Transaction, Unknown
from coveport.testbed.fault_injection.linear import Call, linearizable
from coveport.testbed.fault_injection.real import Engine
from coveport.testbed.fault_injection.simstore import Host, SimStore, Way
from coveport.testbed.simulated_network.world import Process, World


def named(case: Case) -> str:
    return str(getattr(case, "__name__", case))


@pytest.mark.parametrize("case", CASES, ids=named)
def test_sqlite(case: Case, tmp_path: Path) -> None:
    async def run() -> None:
        store = SqliteStore(tmp_path / "store")
        try:
            await case(store, asyncio.sleep)
        finally:
            await store.close()

    asyncio.run(run())


@pytest.mark.parametrize("case", CASES, ids=named)
def test_simulated(case: Case) -> None:
    world = World()
    host, process = Host(world), Process.start(world, "one")
    host.start()
    ended = []

    async def run() -> None:
        await case(SimStore(process, host, Way(), random.Random(1)), asyncio.sleep)
        ended.append(True)

    process.call_soon(lambda: process.create_task(run()))
    world.run(world.now + 30)
    assert ended, process.problems


@pytest.mark.parametrize("case", CASES, ids=named)
def test_stand_in(case: Case) -> None:
    engine = Engine()
    try:

        async def run() -> None:
            store = EtcdStore([f"127.0.0.1:{port}" for port in engine.members], 5.0)
            try:
                await case(store, asyncio.sleep)
            finally:
                await store.close()

        asyncio.run(run())
    finally:
        engine.stop()


def at_store(path: Path, work: Callable[[SqliteStore], Awaitable[object]], **options: object) -> Any:
    async def run() -> object:
        store = SqliteStore(path, **options)  # type: ignore[arg-type]
        try:
            return await work(store)
        finally:
            await store.close()

    return asyncio.run(run())


def test_after_a_reboot_nobody_holds_anything(tmp_path: Path) -> None:
    path = tmp_path / "store"

    async def before(store: SqliteStore) -> None:
        lease = (await done(store.grant(1000.0))).lease
        await done(store.commit(put("duty", b"me", lease)))
        await done(store.commit(put("state", b"kept")))

    async def after(store: SqliteStore) -> list[str]:
        return [one.key for one in (await done(store.read(""))).entries]

    at_store(path, before, boot=lambda: "first")
    assert at_store(path, after, boot=lambda: "first") == ["duty", "state"]
    assert at_store(path, after, boot=lambda: "second", now_s=lambda: 1.0) == ["state"]


def test_a_file_put_in_the_place_of_ours_is_another_store(tmp_path: Path) -> None:
    path, other = tmp_path / "store", tmp_path / "other"

    async def work(store: SqliteStore) -> tuple[Done, Done]:
        first = await done(store.commit(put("a", b"1")))
        at = SqliteStore(other)
        await done(at.commit(put("b", b"1")))
        await at.close()
        for end in ("-wal", "-shm"):
            (tmp_path / f"store{end}").unlink(missing_ok=True)
        os.replace(other, path)
        return first, await done(store.read(""))

    first, second = at_store(path, work)
    assert first.identity != second.identity and [one.key for one in second.entries] == ["b"]


def test_a_restored_backup_shows_by_its_revision(tmp_path: Path) -> None:
    path, backup = tmp_path / "store", tmp_path / "backup"

    async def work(store: SqliteStore) -> tuple[Done, Done]:
        await done(store.commit(put("a", b"1")))
        with sqlite3.connect(path) as source, sqlite3.connect(backup) as target:
            source.backup(target)
        later = await done(store.commit(put("a", b"2")))
        for end in ("-wal", "-shm"):
            (tmp_path / f"store{end}").unlink(missing_ok=True)
        shutil.copy(backup, tmp_path / "copy")
        os.replace(tmp_path / "copy", path)
        return later, await done(store.read(""))

    later, found = at_store(path, work)
    assert found.identity == later.identity and found.revision < later.revision


@pytest.mark.parametrize("what", ["later", "noise", "other", "half"])
def test_a_file_that_is_no_store_of_ours_is_said_in_one_line(tmp_path: Path, what: str) -> None:
    path = tmp_path / "store"
    if what == "noise":
        path.write_bytes(random.Random(1).randbytes(9000))
    elif what == "half":
        at_store(path, lambda store: store.read(""))
        with sqlite3.connect(path) as base:
            base.execute("DELETE FROM about WHERE name = 'identity'")
    else:
        with sqlite3.connect(path) as base:
            base.execute("CREATE TABLE mine (name TEXT)")
            base.execute(f"PRAGMA user_version={99 if what == 'later' else 0}")
    with pytest.raises(StoreError) as problem:
        at_store(path, lambda store: store.read(""))
    assert "\n" not in str(problem.value) and str(path) in str(problem.value)


def test_a_file_that_somebody_holds_ends_unknown_and_is_there_again_after(tmp_path: Path) -> None:
    path = tmp_path / "store"

    async def work(store: SqliteStore) -> tuple[object, object]:
        await done(store.commit(put("a", b"1")))
        holder = sqlite3.connect(path, isolation_level=None)
        holder.execute("BEGIN IMMEDIATE")
        held = await store.commit(put("a", b"2"))
        holder.execute("ROLLBACK")
        holder.close()
        return held, await store.commit(put("a", b"3"))

    held, after = at_store(path, work, lock_timeout_s=0.2)
    assert isinstance(held, Unknown) and isinstance(after, Done)


WRITER = """
import asyncio, sys
from pathlib import Path
from coveport.sidecar.leases.sqlite import SqliteStore
from coveport.sidecar.leases.store import *

async def main():
    store = SqliteStore(Path(sys.argv[1]))
    while True:
        found = await store.read("n/")
        count = int(found.entries[0].value) if found.entries else 0
        at = found.entries[0].modified if found.entries else 0
        put = tuple(Put(f"n/{one}", b"%d" % (count + 1)) for one in "abc")
        done = await store.commit(Transaction((Compare("n/a", Field.MODIFIED, at),), put))
        if isinstance(done, Done):
            print(count + 1, flush=True)

asyncio.run(main())
"""


def test_killed_at_any_moment_it_keeps_what_was_told_and_nothing_by_halves(tmp_path: Path) -> None:
    path, chance, told = tmp_path / "store", random.Random(7), 0
    for _ in range(6):
        with subprocess.Popen(
            [sys.executable, "-c", WRITER, str(path)], stdout=subprocess.PIPE, text=True
        ) as one:
            assert one.stdout is not None
            first = one.stdout.readline()
            time.sleep(chance.uniform(0.0, 0.05))
            one.send_signal(signal.SIGKILL)
            lines = (first + one.stdout.read()).split()
        told = max(told, int(lines[-1]))

        async def look(store: SqliteStore) -> set[bytes]:
            return {one.value for one in (await done(store.read("n/"))).entries}

        values = at_store(path, look)
        assert isinstance(values, set) and len(values) == 1, "all three keys of a transaction or none"
        kept = int(next(iter(values)))
        assert kept in (told, told + 1), "what was told is there; one more may be, whose answer was lost"
        told = kept


def test_several_processes_never_lose_a_count(tmp_path: Path) -> None:
    path = tmp_path / "store"
    crowd = [
        subprocess.Popen([sys.executable, "-c", WRITER, str(path)], stdout=subprocess.PIPE, text=True)
        for _ in range(4)
    ]
    told: list[int] = []
    try:
        for one in crowd:
            assert one.stdout is not None
            told.append(int(one.stdout.readline()))
        time.sleep(0.5)
    finally:
        for one in crowd:
            one.kill()
    for one in crowd:
        assert one.stdout is not None
        told += [int(line) for line in one.stdout.read().split()]
        one.stdout.close()
        one.wait()
    assert len(told) == len(set(told)), "no count was told twice"


def test_refusals_tell_the_revision(tmp_path: Path) -> None:
    async def work(store: SqliteStore) -> None:
        first = await done(store.commit(put("a", b"1")))
        refused = await store.commit(put("a", b"2", created=0))
        assert isinstance(refused, Refused) and refused.revision == first.revision

    at_store(tmp_path / "store", work)


# Whether what several saw of a store could have come from one that does one thing after the other.


async def client(store: Store, seed: int, calls: list[Call], until: float) -> None:
    """Reads and compare-and-puts of one key; what each came to, with its times."""
    chance, count = random.Random(seed), seed * 1000
    while time.monotonic() < until:
        start = time.monotonic()
        found = await store.read("register")
        if isinstance(found, Done):
            value = int(found.entries[0].value) if found.entries else None
            calls.append(Call(start, time.monotonic(), "read", value))
            count += 1
            start = time.monotonic()
            at = found.entries[0].modified if found.entries else 0
            done = await store.commit(
                Transaction((Compare("register", Field.MODIFIED, at),), (Put("register", b"%d" % count),))
            )
            end = float("inf") if isinstance(done, Unknown) else time.monotonic()
            calls.append(Call(start, end, "swap", count, value, isinstance(done, Done)))
        await asyncio.sleep(chance.uniform(0.0, 0.03))


def test_sqlite_is_linearizable(tmp_path: Path) -> None:
    async def run() -> list[Call]:
        calls: list[Call] = []
        stores = [SqliteStore(tmp_path / "store") for _ in range(4)]
        await asyncio.gather(
            *(client(store, seed + 1, calls, time.monotonic() + 1.0) for seed, store in enumerate(stores))
        )
        for store in stores:
            await store.close()
        return calls

    calls = asyncio.run(run())
    assert len(calls) > 10 and linearizable(calls)


def test_the_stand_in_is_linearizable_through_elections_and_lost_answers() -> None:
    engine = Engine()

    async def faults() -> None:
        for what, more in (
            ("lose", {"kind": "txn", "count": 2}),
            ("elect", {"member": 1}),
            ("cut", {"a": 0, "b": 1}),
            ("cut", {"a": 0, "b": 2}),
            ("lose", {"kind": "txn", "count": 1}),
            ("heal", {}),
            ("elect", {"member": 2}),
        ):
            await asyncio.sleep(0.3)
            await asyncio.to_thread(engine.do, what, **more)

    async def run() -> list[Call]:
        calls: list[Call] = []
        names = [f"127.0.0.1:{port}" for port in engine.members]
        stores = [EtcdStore(names[one:] + names[:one], 0.3) for one in range(3)]
        await asyncio.gather(
            faults(),
            *(client(store, seed + 1, calls, time.monotonic() + 3.0) for seed, store in enumerate(stores)),
        )
        for store in stores:
            await store.close()
        return calls

    try:
        calls = asyncio.run(run())
    finally:
        engine.stop()
    assert len(calls) > 10 and linearizable(calls)


def test_a_store_whose_thread_stands_still_ends_unknown_and_holds_up_nobody_else(tmp_path: Path) -> None:
    async def run() -> tuple[object, float]:
        one, other = SqliteStore(tmp_path / "store"), SqliteStore(tmp_path / "store")
        await done(other.commit(put("a", b"1")))
        one._thread.submit(time.sleep, 1.5)
        began = time.monotonic()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(one.read(""), 0.3)
        await done(other.commit(put("a", b"2")))
        took = time.monotonic() - began
        await one.close()
        await other.close()
        return None, took

    assert asyncio.run(run())[1] < 1.4, "the loop went on, and so did the other"


def test_a_full_disk_ends_unknown_and_loses_nothing(tmp_path: Path) -> None:
    async def work(store: SqliteStore) -> None:
        await done(store.commit(put("a", b"1")))
        tables = store._file.tables
        assert tables is not None
        pages = tables.connection.execute("PRAGMA page_count").fetchone()[0]
        tables.connection.execute(f"PRAGMA max_page_count={pages}")
        full = await store.commit(put("b", random.Random(1).randbytes(200_000)))
        assert isinstance(full, Unknown) and "full" in full.why
        tables.connection.execute("PRAGMA max_page_count=100000")
        assert [one.key for one in (await done(store.read(""))).entries] == ["a"]
        await done(store.commit(put("b", b"2")))

    at_store(tmp_path / "store", work)
