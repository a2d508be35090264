"""A duty runner in simulated time, with a scripted replica, platform and duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any

from coveport.http1 import Request, RequestParser, write_response
from coveport.serving.configuration.commands import decode_command
from coveport.serving.configuration.state import ControlState
from coveport.serving.configuration.state_machine import apply
from coveport.serving.coordinator.duty_lease_keeper import DutyLeaseManager
from coveport.serving.coordinator.duty_runner import DutyRunner
from coveport.serving.coordinator.platform_client import PlatformClient
from coveport.serving.duties.commands import SingletonCommand
from coveport.serving.duties.duty import CallOutcome, PlatformCall
from coveport.serving.duties.lease import SingletonLease
from coveport.serving.duties.state import LeaseOwner, SingletonState
from coveport.serving.replication.events import Done, Newest, NotPrimary, Outcome
from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.state_machine import Applied
from coveport.serving.simulation.topology import ZoneDelayModel
from coveport.serving.simulation.zones import Delays
from coveport.testbed.simulated_network.network import Network
from coveport.testbed.simulated_network.wires import VirtualNet
from coveport.testbed.simulated_network.world import Process, World

PLATFORM_ADDRESS = ("10.0.0.1", 80)
OWN_HOLDER = LeaseOwner("one", "a")
OTHER_HOLDER = LeaseOwner("two", "b")
LEASE_S = 3.0
CALLS_PER_S = 10.0
TICK_S = 0.1


class ScriptedRuntime:
    """A replica whose commands and reads succeed at once while it is primary and `is_responding`."""

    def __init__(self, on_committed: Callable[[ControlState], None]) -> None:
        self._on_committed = on_committed
        self.replica = SimpleNamespace(is_primary=True, view_epoch=Epoch(1, "d"))
        self.state = ControlState()
        self.is_responding = True
        self.commands: list[SingletonCommand] = []

    async def submit(self, command: bytes) -> Outcome:
        await self._wait()
        self.commands.append(decode_command(command))  # type: ignore[arg-type]
        applied = apply(self.state, command)
        if not isinstance(applied, Applied):
            return applied
        self.state = applied.state
        self._on_committed(self.state)
        return Done(applied.result)

    async def read_newest(self) -> Outcome:
        await self._wait()
        return Newest(1, self.state) if self.replica.is_primary else NotPrimary(None)

    async def _wait(self) -> None:
        if not self.is_responding:
            await asyncio.Event().wait()


class ScriptedDuty:
    """Returns the commands and calls that a test has queued, one after the other."""

    def __init__(self) -> None:
        self.calls: list[PlatformCall] = []
        self.make_commands: list[Callable[[int], SingletonCommand]] = []  # queued; take the fencing token
        self.outcomes: list[CallOutcome] = []
        self.takeovers = 0

    def take_over(self, state: SingletonState, now_s: float) -> None:
        self.takeovers += 1

    def next_command(self, state: SingletonState, fence: int, now_s: float) -> SingletonCommand | None:
        return self.make_commands.pop(0)(fence) if self.make_commands else None

    def next_call(self, state: SingletonState, now_s: float) -> PlatformCall | None:
        return self.calls.pop(0) if self.calls else None

    def record_outcome(self, call: PlatformCall, outcome: CallOutcome, now_s: float) -> None:
        self.outcomes.append(outcome)


class Platform(asyncio.Protocol):
    """A connection of the platform: responds with `response_status`, or never where that is 0."""

    def __init__(self, world: DutyWorld) -> None:
        self._world = world
        self._parser = RequestParser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._world.connection_count += 1

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        request = self._parser.next_request()
        assert request is not None
        self._world.requests.append((self._world.time.now - self._world.started_at_s, request))
        if self._world.response_status:
            self._transport.write(write_response(self._world.response_status))

    def connection_lost(self, exc: Exception | None) -> None:
        self._world.connection_ends_s.append(self._world.time.now - self._world.started_at_s)


class DutyWorld:
    """The runner, its scripted partners and their clock; recorded times are in seconds since the start."""

    def __init__(self, state: SingletonState = SingletonState()) -> None:  # noqa: B008 - frozen
        self.time = World()
        self.started_at_s = self.time.now
        network = Network(self.time, ZoneDelayModel((), Delays(), Random(1)))  # type: ignore[arg-type]
        self.response_status = 200
        self.connection_count = 0
        self.requests: list[tuple[float, Request]] = []
        self.connection_ends_s: list[float] = []
        self.logged: list[tuple[str, dict[str, Any]]] = []
        self.all_support_duties = True  # whether all coordinators support the duties
        platform = VirtualNet(self._process("platform"), network, network.place(PLATFORM_ADDRESS[0], -1))
        listen = platform.listen(lambda: Platform(self), PLATFORM_ADDRESS, accepts_per_turn=9, backlog=9)
        platform.process.create_task(listen)
        self.process = self._process("one")
        self.net = VirtualNet(self.process, network, network.place("10.0.9.9", -1))
        self.runtime = ScriptedRuntime(lambda state: self.runner.record_committed(state))
        self.runtime.state = replace(ControlState(), singleton_state=state)
        self.duty = ScriptedDuty()
        runtime: Any = self.runtime
        log = self._log()
        lease = SingletonLease(OWN_HOLDER, LEASE_S)
        lease_manager = DutyLeaseManager(self.net, runtime, lease, lambda: self.all_support_duties, log)
        client = PlatformClient(self.net, PLATFORM_ADDRESS)
        self.runner = DutyRunner(self.net, lease_manager, client, [self.duty], CALLS_PER_S, log)
        self.runner.record_committed(self.runtime.state)
        self.process.call_soon(self._tick)

    def _process(self, name: str) -> Process:
        return Process.start(self.time, name)

    def _log(self) -> Any:
        def write(event: str, **keys: Any) -> None:
            self.logged.append((event, keys))

        return SimpleNamespace(info=write, warning=write, error=write)

    def _tick(self) -> None:
        self.runner.tick()
        self.process.call_later(TICK_S, self._tick)

    def run(self, duration_s: float) -> None:
        self.time.run(self.time.now + duration_s)

    def queue_calls(self, count: int = 1) -> None:
        """Queue this many calls of the duty."""
        self.duty.calls += [PlatformCall("/fleet", b'{"Wanted":%d}' % number) for number in range(count)]

    def events(self, name: str) -> list[dict[str, Any]]:
        return [keys for event, keys in self.logged if event == name]

    def fences(self) -> list[str | None]:
        return [request.get("coveport-fence") for _, request in self.requests]
