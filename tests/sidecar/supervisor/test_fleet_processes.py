"""A supervised fleet by processes of the program: killed, stopped, restarted under load, and taken over."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.sqlite import SqliteStore
from coveport.sidecar.leases.store import Done
from coveport.sidecar.supervisor import locks
from coveport.testbed.fault_injection.fleet.real import FleetTrialReal

LONG = 60.0


def run(folder: Path, count: int, work: Callable[[FleetTrialReal], Awaitable[None]], **more: Any) -> None:
    async def whole() -> None:
        async with FleetTrialReal(folder, count, **more) as one:
            one.supervise()
            await one.all_serve()
            await work(one)

    asyncio.run(asyncio.wait_for(whole(), 180.0))


async def stands_by(one: FleetTrialReal, process: subprocess.Popen[bytes]) -> None:
    """Wait until a supervisor has entered itself in the store: on a busy machine its start takes long."""
    store = SqliteStore(one.folder / "store.db", watched=False)
    try:
        end = time.monotonic() + LONG
        while time.monotonic() < end:
            read = await store.read("")
            keys = [entry.key for entry in read.entries] if isinstance(read, Done) else []
            if any(INSTANCE_PREFIX in key and f"-{process.pid}-" in key for key in keys):
                return
            await asyncio.sleep(0.1)
    finally:
        await store.close()
    raise AssertionError(f"supervisor {process.pid} never stood by")


def test_a_rolling_restart_under_load_loses_no_client(tmp_path: Path) -> None:
    async def work(one: FleetTrialReal) -> None:
        before = one.lives()
        loading = asyncio.ensure_future(one.load(30.0, 10.0))
        assert (await one.ask("restart"))["ok"]
        await one.until(lambda told: told["restart"] and told["restart"]["phase"] == "done", "the restart")
        await loading
        after = one.lives()
        assert set(after) == set(before) and not set(after.values()) & set(before.values())
        assert set(one.statuses) <= {200, 503} and 0 not in one.statuses, "each was answered"
        assert one.statuses.count(200) >= 0.95 * len(one.statuses)

    run(tmp_path, 3, work)


def test_a_supervisor_that_is_lost_or_stands_still_costs_no_instance(tmp_path: Path) -> None:
    async def work(one: FleetTrialReal) -> None:
        before = one.lives()
        first = one.supervisors[0]
        second = one.supervise("--standby")
        await stands_by(one, second)
        await asyncio.sleep(1.0)
        refused = one.supervise()
        assert await asyncio.to_thread(refused.wait, LONG) == 1, "a further one, by mistake"
        first.send_signal(signal.SIGSTOP)  # stands still, and comes back beside its successor
        told = await one.until(
            lambda told: f"-{second.pid}-" in told["supervisor"] and told["holds"], "the second"
        )
        first.send_signal(signal.SIGCONT)
        await one.all_serve()
        assert one.lives() == before and told["holds"]
        await asyncio.sleep(1.0)
        second.kill()  # the first one stands by now
        await one.until(
            lambda told: f"-{first.pid}-" in told["supervisor"] and told["holds"], "the first again"
        )
        await one.all_serve()
        assert one.lives() == before, "nobody was restarted by any of it"
        third = one.supervise("--standby")
        await stands_by(one, third)
        await asyncio.sleep(2.0)
        first.terminate()
        assert await asyncio.to_thread(first.wait, LONG) == 0
        await one.all_serve()
        assert one.lives() == before, "told to end, it hands on to the one that stands by"
        third.terminate()
        assert await asyncio.to_thread(third.wait, LONG) == 0
        assert one.lives() == {}, "the last one ends them all"

    run(tmp_path, 3, work)


def test_killed_hung_and_looping_ones(tmp_path: Path) -> None:
    async def work(one: FleetTrialReal) -> None:
        before = one.lives()
        os.kill(locks.pid_of(before["h-1"]), signal.SIGKILL)
        os.kill(locks.pid_of(before["h-2"]), signal.SIGSTOP)
        os.kill(locks.pid_of(before["h-3"]), signal.SIGTERM)
        await one.until(
            lambda told: (
                not set(one.lives().values()) & {before["h-1"], before["h-2"], before["h-3"]}
                and len(one.lives()) == 4
            ),
            "three new lives",
        )
        await one.all_serve()
        assert one.lives()["h-4"] == before["h-4"], "the one that was well was left alone"
        for port in range(one.port, one.port + 4):
            assert await one.town.ask(0, port, port) == 200

    run(tmp_path, 4, work, told={"hung_s": 1.5})


def test_a_bad_file_ends_nobody(tmp_path: Path) -> None:
    async def work(one: FleetTrialReal) -> None:
        before = one.lives()
        one.configure("{ not json")
        refused = await one.ask("restart")
        assert not refused["ok"] and "platform.json" in refused["said"]
        os.kill(locks.pid_of(before["h-1"]), signal.SIGKILL)
        told = await one.until(lambda told: told["instances"][0]["state"] == "broken", "it to be left alone")
        assert "platform.json" in told["instances"][0]["why"]
        assert {name: life for name, life in one.lives().items()} == {"h-2": before["h-2"]}
        one.configure()
        one.supervisors[0].send_signal(signal.SIGHUP)
        await one.all_serve()

    run(tmp_path, 2, work)


def test_scaled_drained_and_seen_by_staff(tmp_path: Path) -> None:
    async def work(one: FleetTrialReal) -> None:
        async def staff(*words: str) -> subprocess.CompletedProcess[str]:
            return await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "coveport", "fleet", *words, "--config", str(one.file)],
                capture_output=True,
                text=True,
                timeout=LONG,
                check=False,
            )

        assert (await staff("scale", "4")).returncode == 0
        await one.all_serve(4)
        assert (await staff("drain", "h-2")).returncode == 0
        await one.until(lambda told: len(one.lives()) == 3, "one to be down")
        assert "h-2" not in one.lives()
        assert await one.town.ask(0, one.port + 1, 1) == 0, "nobody holds the address of one that is down"
        assert (await staff("drain", "h-2", "--back")).returncode == 0
        await one.all_serve(4)
        shown = await staff("status")
        assert shown.returncode == 0 and shown.stdout.count("serving") == 4
        assert (await staff("scale", "1")).returncode == 0
        await one.all_serve(1)
        assert "fleet_start" in (await staff("logs")).stdout
        assert (await staff("drain", "h-9")).returncode == 1
        assert (await staff("status", "--json")).stdout.startswith("{")

    run(tmp_path, 2, work)


def test_forty_that_are_killed_within_a_second_under_load(tmp_path: Path) -> None:
    """Two fresh nodes and one that drains meanwhile; each node's own book says that nothing ran twice."""

    async def work(one: FleetTrialReal) -> None:
        before = one.lives()
        loading = asyncio.ensure_future(one.load(60.0, 8.0))
        await asyncio.sleep(1.0)
        born = {node.number: time.time() * 1000 for node in one.town.nodes[:2]}
        one.town.list_all(born)
        hosts = one.town.hosts(born_ms=born)
        hosts[2]["health"] = "leaving"
        one.town.discovery.tell(hosts)
        for life in before.values():
            os.kill(locks.pid_of(life), signal.SIGKILL)
        await one.all_serve()
        await loading
        assert not set(one.lives().values()) & set(before.values()) and len(one.lives()) == 40
        # Asked once all serve again, however long that took, and with time enough for a busy machine.
        late = await one.load(60.0, 1.0, LONG)
        assert len(late) == 60
        assert late.count(200) + late.count(503) == len(late), "who lives answers all that it takes"
        ids = [it.id for node in one.town.nodes for it in node.ran]
        assert len(ids) <= 3 * len(one.statuses)

    run(tmp_path, 40, work, told={"young_s": 60.0})
