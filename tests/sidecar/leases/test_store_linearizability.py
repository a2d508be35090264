"""Linearizability of the stores, checked on histories of concurrent clients."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

from coveport.sidecar.leases.etcd import EtcdStore
from coveport.sidecar.leases.sqlite import SqliteStore
from coveport.sidecar.leases.store import Compare, Done, Field, Put, Store, Transaction, Unknown
from coveport.testbed.fault_injection.linear import Call, linearizable
from coveport.testbed.fault_injection.real import Engine


async def client(store: Store, seed: int, calls: list[Call], until: float) -> None:
    """Read and compare-and-put one key; record each outcome with its times."""
    rng = random.Random(seed)
    count = seed * 1000
    while time.monotonic() < until:
        start = time.monotonic()
        current = await store.read("register")
        if isinstance(current, Done):
            value = int(current.entries[0].value) if current.entries else None
            calls.append(Call(start, time.monotonic(), "read", value))
            count += 1
            start = time.monotonic()
            revision = current.entries[0].modified if current.entries else 0
            outcome = await store.commit(
                Transaction(
                    (Compare("register", Field.MODIFIED, revision),), (Put("register", b"%d" % count),)
                )
            )
            end = float("inf") if isinstance(outcome, Unknown) else time.monotonic()
            calls.append(Call(start, end, "swap", count, value, isinstance(outcome, Done)))
        await asyncio.sleep(rng.uniform(0.0, 0.03))


def test_sqlite_store_is_linearizable(tmp_path: Path) -> None:
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


def test_etcd_store_is_linearizable_through_elections_and_lost_answers() -> None:
    engine = Engine()

    async def faults() -> None:
        for fault, options in (
            ("lose", {"kind": "txn", "count": 2}),
            ("elect", {"member": 1}),
            ("cut", {"a": 0, "b": 1}),
            ("cut", {"a": 0, "b": 2}),
            ("lose", {"kind": "txn", "count": 1}),
            ("heal", {}),
            ("elect", {"member": 2}),
        ):
            await asyncio.sleep(0.3)
            await asyncio.to_thread(engine.do, fault, **options)

    async def run() -> list[Call]:
        calls: list[Call] = []
        names = [f"127.0.0.1:{port}" for port in engine.members]
        stores = [EtcdStore(names[first:] + names[:first], 0.3) for first in range(3)]
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
