"""A supervisor whose lease lapses between two commands: a dropped command is repeated if it is still due."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, cast

import msgspec

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.config.operator_sections import (
    Fleet,
    InstanceSection,
    IntentLogSection,
    LeaseSection,
    LogSection,
    SingletonSection,
    StoreSection,
)
from coveport.sidecar.leases.keys import STATE_PREFIX
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.store import Done, Entry
from coveport.sidecar.supervisor.desired_state import DesiredState
from coveport.sidecar.supervisor.instance_state import InstanceState
from coveport.sidecar.supervisor.process_control import OnExit, ProcessControl
from coveport.sidecar.supervisor.supervisor import TICK_S, Supervisor

ROLE = "fleet@h"
TOKEN = 7
TIMEOUT_S = 30.0
FLEET = Fleet(name="h", instances=2, at_once=2, a_second=1e9)  # both are started in one tick


class LapsingClient:
    """Lease client that holds the role, except while its lease has lapsed."""

    def __init__(self) -> None:
        self.name, self.instances, self.entries = "v", dict[str, bytes](), dict[str, Entry]()
        self.lapsed = False
        self.desired = DesiredState(2, 2)
        self.on_acquired: Callable[[str, int], None] = lambda role, token: None
        self.on_lost: Callable[[str, int, str], None] = lambda role, token, reason: None

    def start(self) -> None:
        """Acquire the role at once."""
        self.on_acquired(ROLE, TOKEN)

    async def close(self) -> None:
        """Do nothing."""

    def usable_token(self, role: str) -> int:
        """Return the token while the lease is valid."""
        return 0 if self.lapsed else TOKEN

    async def read(self, prefix: str) -> Done:
        """Return the desired state."""
        key = STATE_PREFIX + ROLE
        return Done("store", 1, (Entry(key, msgspec.json.encode(self.desired), 1, 1, 0),))


class LapsingProcessControl:
    """Process control whose lease lapses during each call."""

    def __init__(self, lease_client: LapsingClient) -> None:
        self.on_exit: OnExit = lambda name, incarnation, reason: None
        self.lease_client = lease_client
        self.calls: list[str] = []

    def _record(self, call: str) -> None:
        assert not self.lease_client.lapsed, f"{call} without a lease"
        self.calls.append(call)
        self.lease_client.lapsed = True

    def find_running(self) -> dict[str, str]:
        """Return no processes."""
        return {}

    def start(self, name: str) -> str:
        """Return an incarnation."""
        self._record(f"start {name}")
        return f"incarnation of {name}"

    def drain(self, incarnation: str) -> None:
        """Record the call."""
        self._record(f"drain {incarnation}")

    def kill(self, incarnation: str) -> None:
        """Record the call."""
        self._record(f"kill {incarnation}")

    def close_listener(self, name: str) -> None:
        """Do nothing: there is no listener."""

    def identify(self, pid: int) -> None:
        """Return None: no process is watched."""

    def stop_watching(self) -> None:
        """Do nothing: no process is watched."""


def run(
    scenario: Callable[[Supervisor, LapsingClient, LapsingProcessControl], Coroutine[Any, Any, None]],
) -> None:
    """Run a scenario with a supervisor that commanded two starts and carried out only the first."""

    async def run_scenario() -> None:
        lease_client = LapsingClient()
        processes = LapsingProcessControl(lease_client)
        operator_file = OperatorFile(
            InstanceSection("p.json"),
            StoreSection("sqlite:x"),
            LeaseSection(),
            SingletonSection(),
            LogSection(),
            IntentLogSection(),
            FLEET,
            Path("."),
        )
        supervisor = Supervisor(
            operator_file,
            cast(LeaseClient, lease_client),
            cast(ProcessControl, processes),
            now_s=time.monotonic,
            rng=random.Random(1),
            log=lambda event, **fields: None,
            check_files=lambda: "",
        )
        supervisor.start()
        await until(lambda: bool(processes.calls))
        await asyncio.sleep(3 * TICK_S)
        assert processes.calls == ["start h-1"], "the second start is dropped while the lease has lapsed"
        assert supervisor.instances.by_name["h-2"].state is InstanceState.STARTING
        await scenario(supervisor, lease_client, processes)
        supervisor._runner.stop()
        await supervisor.leave()

    asyncio.run(run_scenario())


async def until(is_reached: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not is_reached():
        assert time.monotonic() < deadline
        await asyncio.sleep(TICK_S / 5)


def test_dropped_start_when_the_lease_is_renewed_is_commanded_again() -> None:
    async def scenario(
        supervisor: Supervisor, lease_client: LapsingClient, processes: LapsingProcessControl
    ) -> None:
        lease_client.lapsed = False
        await until(lambda: len(processes.calls) > 1)
        lease_client.lapsed = False
        await asyncio.sleep(3 * TICK_S)
        assert processes.calls == ["start h-1", "start h-2"], "each command is carried out once"
        assert not any(instance.is_failing for instance in supervisor.instances.by_name.values()), (
            "a dropped start is not a failure of the instance"
        )

    run(scenario)


def test_dropped_start_when_another_supervisor_takes_over_is_forgotten() -> None:
    async def scenario(
        supervisor: Supervisor, lease_client: LapsingClient, processes: LapsingProcessControl
    ) -> None:
        lease_client.on_lost(ROLE, TOKEN, "lapsed")
        lease_client.lapsed = False
        await asyncio.sleep(3 * TICK_S)
        assert processes.calls == ["start h-1"] and not supervisor.instances.by_name

    run(scenario)


def test_dropped_start_when_it_is_not_desired_any_more_is_forgotten() -> None:
    async def scenario(
        supervisor: Supervisor, lease_client: LapsingClient, processes: LapsingProcessControl
    ) -> None:
        supervisor.instances.apply(time.monotonic(), DesiredState(1, 1))
        supervisor._runner.stop()
        lease_client.lapsed = False
        await asyncio.sleep(3 * TICK_S)
        assert (
            processes.calls == ["start h-1"]
            and supervisor.instances.by_name["h-2"].state is InstanceState.DOWN
        )

    run(scenario)


def test_dropped_drain_when_the_lease_is_renewed_is_commanded_again_and_no_kill() -> None:
    async def scenario(
        supervisor: Supervisor, lease_client: LapsingClient, processes: LapsingProcessControl
    ) -> None:
        lease_client.lapsed = False
        await until(lambda: len(processes.calls) > 1)
        supervisor._runner.stop()
        lease_client.lapsed = False
        supervisor._on_desired_state(DesiredState(0, 0))
        await asyncio.sleep(3 * TICK_S)
        assert processes.calls[2:] == ["drain incarnation of h-1"], "the second drain is dropped"
        lease_client.lapsed = False
        await until(lambda: len(processes.calls) > 3)
        lease_client.lapsed = False
        await asyncio.sleep(3 * TICK_S)
        assert processes.calls[2:] == ["drain incarnation of h-1", "drain incarnation of h-2"], (
            "each command is carried out once"
        )

    run(scenario)
