"""A supervised fleet of real processes that are killed, stopped, restarted under load, and taken over."""

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

TIMEOUT_S = 60.0


def run(
    folder: Path, count: int, scenario: Callable[[FleetTrialReal], Awaitable[None]], **options: Any
) -> None:
    async def run_scenario() -> None:
        async with FleetTrialReal(folder, count, **options) as fleet:
            fleet.supervise()
            await fleet.all_serve()
            await scenario(fleet)

    asyncio.run(asyncio.wait_for(run_scenario(), 180.0))


async def wait_until_standing_by(fleet: FleetTrialReal, process: subprocess.Popen[bytes]) -> None:
    """Wait until a supervisor is registered in the store, which takes long on a busy machine."""
    store = SqliteStore(fleet.folder / "store.db", watched=False)
    try:
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            read = await store.read("")
            keys = [entry.key for entry in read.entries] if isinstance(read, Done) else []
            if any(INSTANCE_PREFIX in key and f"-{process.pid}-" in key for key in keys):
                return
            await asyncio.sleep(0.1)
    finally:
        await store.close()
    raise AssertionError(f"supervisor {process.pid} did not register in the store")


def test_rolling_restart_under_load_loses_no_request(tmp_path: Path) -> None:
    async def scenario(fleet: FleetTrialReal) -> None:
        before = fleet.incarnations()
        load_task = asyncio.ensure_future(fleet.load(30.0, 10.0))
        assert (await fleet.ask("restart"))["ok"]
        await fleet.until(
            lambda status: status["restart"] and status["restart"]["phase"] == "done", "the restart"
        )
        await load_task
        after = fleet.incarnations()
        assert set(after) == set(before) and not set(after.values()) & set(before.values())
        assert set(fleet.statuses) <= {200, 503} and 0 not in fleet.statuses, "each request is answered"
        assert fleet.statuses.count(200) >= 0.95 * len(fleet.statuses)

    run(tmp_path, 3, scenario)


def test_no_instance_is_restarted_when_supervisors_are_killed_or_stopped(tmp_path: Path) -> None:
    async def scenario(fleet: FleetTrialReal) -> None:
        before = fleet.incarnations()
        first = fleet.supervisors[0]
        second = fleet.supervise("--standby")
        await wait_until_standing_by(fleet, second)
        await asyncio.sleep(1.0)
        refused = fleet.supervise()
        assert await asyncio.to_thread(refused.wait, TIMEOUT_S) == 1, (
            "without --standby a second supervisor exits"
        )
        first.send_signal(
            signal.SIGSTOP
        )  # it stops for a while, and continues when its successor holds the role
        status = await fleet.until(
            lambda status: f"-{second.pid}-" in status["supervisor"] and status["holds"], "the second"
        )
        first.send_signal(signal.SIGCONT)
        await fleet.all_serve()
        assert fleet.incarnations() == before and status["holds"]
        await asyncio.sleep(1.0)
        second.kill()  # the first supervisor stands by now
        await fleet.until(
            lambda status: f"-{first.pid}-" in status["supervisor"] and status["holds"], "the first again"
        )
        await fleet.all_serve()
        assert fleet.incarnations() == before, "no takeover restarted an instance"
        third = fleet.supervise("--standby")
        await wait_until_standing_by(fleet, third)
        await asyncio.sleep(2.0)
        first.terminate()
        assert await asyncio.to_thread(first.wait, TIMEOUT_S) == 0
        await fleet.all_serve()
        assert fleet.incarnations() == before, "after SIGTERM the standby supervisor takes over"
        third.terminate()
        assert await asyncio.to_thread(third.wait, TIMEOUT_S) == 0
        assert fleet.incarnations() == {}, "the last supervisor stops all instances"

    run(tmp_path, 3, scenario)


def test_instances_when_killed_stopped_or_terminated_are_replaced(tmp_path: Path) -> None:
    async def scenario(fleet: FleetTrialReal) -> None:
        before = fleet.incarnations()
        os.kill(locks.pid_of(before["h-1"]), signal.SIGKILL)
        os.kill(locks.pid_of(before["h-2"]), signal.SIGSTOP)
        os.kill(locks.pid_of(before["h-3"]), signal.SIGTERM)
        await fleet.until(
            lambda status: (
                not set(fleet.incarnations().values()) & {before["h-1"], before["h-2"], before["h-3"]}
                and len(fleet.incarnations()) == 4
            ),
            "three new incarnations",
        )
        await fleet.all_serve()
        assert fleet.incarnations()["h-4"] == before["h-4"], "the healthy instance was not restarted"
        for port in range(fleet.port, fleet.port + 4):
            assert await fleet.environment.ask(0, port, port) == 200

    run(tmp_path, 4, scenario, settings={"hung_s": 1.5})


def test_unusable_files_stop_no_running_instance(tmp_path: Path) -> None:
    async def scenario(fleet: FleetTrialReal) -> None:
        before = fleet.incarnations()
        fleet.configure("{ not json")
        refused = await fleet.ask("restart")
        assert not refused["ok"] and "platform.json" in refused["said"]
        os.kill(locks.pid_of(before["h-1"]), signal.SIGKILL)
        status = await fleet.until(
            lambda status: status["instances"][0]["state"] == "broken", "the first instance to be broken"
        )
        assert "platform.json" in status["instances"][0]["why"]
        assert fleet.incarnations() == {"h-2": before["h-2"]}
        fleet.configure()
        fleet.supervisors[0].send_signal(signal.SIGHUP)
        await fleet.all_serve()

    run(tmp_path, 2, scenario)


def test_operator_commands_scale_drain_and_show_the_fleet(tmp_path: Path) -> None:
    async def scenario(fleet: FleetTrialReal) -> None:
        async def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
            return await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "coveport", "fleet", *arguments, "--config", str(fleet.file)],
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )

        assert (await run_command("scale", "4")).returncode == 0
        await fleet.all_serve(4)
        assert (await run_command("drain", "h-2")).returncode == 0
        await fleet.until(lambda status: len(fleet.incarnations()) == 3, "one instance to be down")
        assert "h-2" not in fleet.incarnations()
        assert await fleet.environment.ask(0, fleet.port + 1, 1) == 0, (
            "the address of a drained instance refuses connections"
        )
        assert (await run_command("drain", "h-2", "--back")).returncode == 0
        await fleet.all_serve(4)
        status = await run_command("status")
        assert status.returncode == 0 and status.stdout.count("serving") == 4
        assert (await run_command("scale", "1")).returncode == 0
        await fleet.all_serve(1)
        assert "instance_started" in (await run_command("logs")).stdout
        assert (await run_command("drain", "h-9")).returncode == 1
        assert (await run_command("status", "--json")).stdout.startswith("{")

    run(tmp_path, 2, scenario)


def test_forty_that_are_killed_within_a_second_under_load(tmp_path: Path) -> None:
    """Meanwhile two nodes are in slow start and one drains; the nodes' logs bound the number of attempts."""

    async def scenario(fleet: FleetTrialReal) -> None:
        before = fleet.incarnations()
        load_task = asyncio.ensure_future(fleet.load(60.0, 8.0))
        await asyncio.sleep(1.0)
        started_ms = {node.number: time.time() * 1000 for node in fleet.environment.nodes[:2]}
        fleet.environment.list_all(started_ms)
        hosts = fleet.environment.hosts(born_ms=started_ms)
        hosts[2]["health"] = "leaving"
        fleet.environment.discovery.tell(hosts)
        for incarnation in before.values():
            os.kill(locks.pid_of(incarnation), signal.SIGKILL)
        await fleet.all_serve()
        await load_task
        assert (
            not set(fleet.incarnations().values()) & set(before.values()) and len(fleet.incarnations()) == 40
        )
        # Sent after all instances serve again, with a time-out that is long enough for a busy machine.
        later_statuses = await fleet.load(60.0, 1.0, TIMEOUT_S)
        assert len(later_statuses) == 60
        assert later_statuses.count(200) + later_statuses.count(503) == len(later_statuses), (
            "each request is answered"
        )
        ids = [operation.id for node in fleet.environment.nodes for operation in node.ran]
        assert len(ids) <= 3 * len(fleet.statuses)

    run(tmp_path, 40, scenario, settings={"young_s": 60.0})
