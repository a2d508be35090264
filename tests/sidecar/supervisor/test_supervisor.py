"""A supervisor whose lease lapses between two orders: what it drops is ordered again, or is no longer due."""

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
from coveport.sidecar.supervisor.instance_state import ExitReason, State
from coveport.sidecar.supervisor.process_control import ProcessControl
from coveport.sidecar.supervisor.supervisor import TICK_S, Supervisor

DUTY, TOKEN, LONG = "fleet@h", 7, 30.0
FLEET = Fleet(name="h", instances=2, at_once=2, a_second=1e9)  # both in one turn


class LapsingClient:
    """Holds the duty, but for as long as its lease has lapsed."""

    def __init__(self) -> None:
        self.name, self.instances, self.entries = "v", dict[str, bytes](), dict[str, Entry]()
        self.lapsed = False
        self.plan = DesiredState(2, 2)
        self.on_acquired: Callable[[str, int], None] = lambda duty, token: None
        self.on_lost: Callable[[str, int, str], None] = lambda duty, token, why: None

    def start(self) -> None:
        """The duty is ours at once."""
        self.on_acquired(DUTY, TOKEN)

    async def close(self) -> None:
        """Nothing to hand on."""

    def usable_token(self, duty: str) -> int:
        """The token."""
        return 0 if self.lapsed else TOKEN

    async def read(self, prefix: str) -> Done:
        """The plan as it stands."""
        key = STATE_PREFIX + DUTY
        return Done("store", 1, (Entry(key, msgspec.json.encode(self.plan), 1, 1, 0),))


class LapsingProcessControl:
    """Whatever is done takes so long that the lease lapses."""

    def __init__(self, lease_client: LapsingClient) -> None:
        self.ended: Callable[[str, str, ExitReason], None] = lambda name, life, how: None
        self.lease_client = lease_client
        self.done: list[str] = []

    def _do(self, what: str) -> None:
        assert not self.lease_client.lapsed, f"{what} without a lease"
        self.done.append(what)
        self.lease_client.lapsed = True

    def found(self) -> dict[str, str]:
        """Nobody else's."""
        return {}

    def start(self, name: str) -> str:
        """A life."""
        self._do(f"start {name}")
        return f"life of {name}"

    def drain(self, life: str) -> None:
        """Told."""
        self._do(f"drain {life}")

    def kill(self, life: str) -> None:
        """Ended."""
        self._do(f"kill {life}")

    def close_listener(self, name: str) -> None:
        """Nothing is held."""

    def incarnation_of(self, pid: int) -> tuple[str, str]:
        """Nobody speaks."""
        return "", ""

    def release(self) -> None:
        """Nothing is watched."""


def run(
    work: Callable[[Supervisor, LapsingClient, LapsingProcessControl], Coroutine[Any, Any, None]],
) -> None:
    """Play it with a supervisor that has ordered both starts and carried out the first one."""

    async def whole() -> None:
        lease_client = LapsingClient()
        processes = LapsingProcessControl(lease_client)
        told = OperatorFile(
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
            told,
            cast(LeaseClient, lease_client),
            cast(ProcessControl, processes),
            now_s=time.monotonic,
            chance=random.Random(1),
            say=lambda event, **fields: None,
            check=lambda: "",
        )
        supervisor.start()
        await until(lambda: bool(processes.done))
        await asyncio.sleep(3 * TICK_S)
        assert processes.done == ["start h-1"], "the second is dropped, and not tried without a lease"
        assert supervisor.instances.by_name["h-2"].state is State.STARTING
        await work(supervisor, lease_client, processes)
        supervisor._runner.stop()
        await supervisor.leave()

    asyncio.run(whole())


async def until(what: Callable[[], bool]) -> None:
    end = time.monotonic() + LONG
    while not what():
        assert time.monotonic() < end
        await asyncio.sleep(TICK_S / 5)


def test_a_dropped_start_is_ordered_again_once_the_lease_is_renewed() -> None:
    async def work(
        supervisor: Supervisor, lease_client: LapsingClient, processes: LapsingProcessControl
    ) -> None:
        lease_client.lapsed = False
        await until(lambda: len(processes.done) > 1)
        lease_client.lapsed = False
        await asyncio.sleep(3 * TICK_S)
        assert processes.done == ["start h-1", "start h-2"], "each once"
        assert not any(one.failing for one in supervisor.instances.by_name.values()), (
            "it is no failure of theirs"
        )

    run(work)


def test_a_dropped_start_is_not_made_up_for_after_another_took_over() -> None:
    async def work(
        supervisor: Supervisor, lease_client: LapsingClient, processes: LapsingProcessControl
    ) -> None:
        lease_client.on_lost(DUTY, TOKEN, "lapsed")
        lease_client.lapsed = False
        await asyncio.sleep(3 * TICK_S)
        assert processes.done == ["start h-1"] and not supervisor.instances.by_name

    run(work)


def test_a_dropped_start_that_is_not_wanted_any_more_is_left() -> None:
    async def work(
        supervisor: Supervisor, lease_client: LapsingClient, processes: LapsingProcessControl
    ) -> None:
        supervisor.instances.planned(time.monotonic(), DesiredState(1, 1))
        supervisor._runner.stop()
        lease_client.lapsed = False
        await asyncio.sleep(3 * TICK_S)
        assert processes.done == ["start h-1"] and supervisor.instances.by_name["h-2"].state is State.DOWN

    run(work)


def test_a_dropped_drain_is_told_again_and_is_no_kill() -> None:
    async def work(
        supervisor: Supervisor, lease_client: LapsingClient, processes: LapsingProcessControl
    ) -> None:
        lease_client.lapsed = False
        await until(lambda: len(processes.done) > 1)
        supervisor._runner.stop()
        lease_client.lapsed = False
        supervisor._planned(DesiredState(0, 0))
        await asyncio.sleep(3 * TICK_S)
        assert processes.done[2:] == ["drain life of h-1"], "the second is dropped"
        lease_client.lapsed = False
        await until(lambda: len(processes.done) > 3)
        lease_client.lapsed = False
        await asyncio.sleep(3 * TICK_S)
        assert processes.done[2:] == ["drain life of h-1", "drain life of h-2"], "each once"

    run(work)
