"""Conformance suite for each store: SQLite, the etcd stand-in, and the simulated store."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest
from store_conformance import CASES, Case

from coveport.sidecar.leases.etcd import EtcdStore
from coveport.sidecar.leases.sqlite import SqliteStore
from coveport.testbed.fault_injection.real import Engine
from coveport.testbed.fault_injection.simstore import Host, SimStore, Way
from coveport.testbed.simulated_network.world import Process, World


def case_name(case: Case) -> str:
    return str(getattr(case, "__name__", case))


@pytest.mark.parametrize("case", CASES, ids=case_name)
def test_sqlite_store_conforms(case: Case, tmp_path: Path) -> None:
    async def run() -> None:
        store = SqliteStore(tmp_path / "store")
        try:
            await case(store, asyncio.sleep)
        finally:
            await store.close()

    asyncio.run(run())


@pytest.mark.parametrize("case", CASES, ids=case_name)
def test_simulated_store_conforms(case: Case) -> None:
    world = World()
    host, process = Host(world), Process.start(world, "one")
    host.start()
    finished = []

    async def run() -> None:
        await case(SimStore(process, host, Way(), random.Random(1)), asyncio.sleep)
        finished.append(True)

    process.call_soon(lambda: process.create_task(run()))
    world.run(world.now + 30)
    assert finished, process.problems


@pytest.mark.parametrize("case", CASES, ids=case_name)
def test_etcd_store_conforms(case: Case) -> None:
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
