"""Does the duties while this coordinator holds them: keeps the lease, commits commands, calls the platform.

`duties.lease` decides when this run may act, each `Duty` what is to be done; here are time and I/O. What may
have changed during an await is looked at again after it: leadership before the lease is used, the lease
before a call.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Any, Final

from coveport.net.transport import Net
from coveport.serving.configuration.commands import encode_command
from coveport.serving.configuration.state import ControlState
from coveport.serving.coordinator.platform_client import CallResult, Credentials, PlatformClient
from coveport.serving.coordinator.replica_runtime import ReplicaRuntime
from coveport.serving.duties.commands import AcquireDuties, DutyCommand
from coveport.serving.duties.duty import CallOutcome, Duty, PlatformCall
from coveport.serving.duties.lease import DutyLease, LeaseStep
from coveport.serving.duties.state import NO_FENCE, DutyState
from coveport.serving.log import EventLogger
from coveport.serving.replication.events import Done, Newest, Outcome, OutcomeUnknown
from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.state_machine import Refused

COMMAND_TIMEOUT_S: Final = 4.0  # of a command without an outcome, as of operators' commands
RETRY_PAUSE_S: Final = 0.5  # after a command that did not succeed


@dataclass(frozen=True, slots=True)
class LastCall:
    """The newest call to the platform, for the operators' status call."""

    path: str
    outcome: CallOutcome
    ended_at_s: float


class TaskKind(Enum):
    """What a task does."""

    LEASE = "lease"
    COMMANDS = "commands"
    CALLS = "calls"


@dataclass(frozen=True, slots=True)
class TaskKey:
    """One task of a key runs at a time."""

    kind: TaskKind
    position: int = 0  # of the duty


class DutyRunner:
    """Owns the lease of this run, and the tasks that act under it."""

    def __init__(
        self,
        net: Net,
        runtime: ReplicaRuntime,
        client: PlatformClient,
        lease: DutyLease,
        duties: Sequence[Duty],
        calls_per_s: float,
        may_submit: Callable[[], bool],
        log: EventLogger,
    ) -> None:
        """Create a runner that follows.

        `calls_per_s`: that the platform takes. `may_submit`: whether all coordinators read the commands.
        """
        self._net = net
        self._runtime = runtime
        self._client = client
        self._lease = lease
        self._duties = tuple(duties)
        self._call_interval_s = 1.0 / calls_per_s
        self._may_submit = may_submit
        self._log = log
        self._state = DutyState()
        self._view: Epoch | None = None  # that is led; None: as a follower
        self._served_fence = NO_FENCE  # under which the duties have been taken over; NO_FENCE: none
        self._next_call_at_s = 0.0
        self._paused_until_s = [0.0] * len(self._duties)  # by position of the duty
        self._commit_locks = [asyncio.Lock() for _ in self._duties]
        self._tasks: dict[TaskKey, asyncio.Task[None]] = {}
        self._last_call: LastCall | None = None
        self._is_stopping = False

    # -- inputs --

    def tick(self) -> None:
        """Look at time and leadership, and start what is due; to be called several times a second."""
        if self._is_stopping or not self._duties:
            return
        self._observe()
        if self._lease.next_step(self._now_s()) is not LeaseStep.WAIT and self._may_submit():
            self._start(TaskKey(TaskKind.LEASE), self._advance_lease)
        if self._served_fence != NO_FENCE:
            for position in range(len(self._duties)):
                self._start(TaskKey(TaskKind.COMMANDS, position), partial(self._commit, position))
                self._start(TaskKey(TaskKind.CALLS, position), partial(self._make_calls, position))

    def record_committed(self, state: ControlState) -> None:
        """Take a newer committed state."""
        self._state = state.duties

    def record_stall(self) -> None:
        """Trust nothing from before a stall: this run acts again once it is confirmed anew."""
        self._lease = self._lease.void(self._now_s())
        self._lay_down("stalled")

    def stop(self) -> None:
        """Make no further call; those that are under way may still end."""
        self._is_stopping = True

    def close(self) -> None:
        """Give up what is under way."""
        self._is_stopping = True
        for task in self._tasks.values():
            task.cancel()

    # -- outputs --

    def describe(self) -> dict[str, Any]:
        """Return what operators want to know, as JSON-compatible values; nothing without duties."""
        if not self._duties:
            return {}
        now_s = self._now_s()
        last_call = self._last_call
        return {
            "phase": self._lease.phase(now_s).value,
            "holder": self._state.holder.name if self._state.holder else "",
            "fence": self._state.fence,
            "lease_left_s": round(self._lease.left_s(now_s), 2),
            "last_call": None
            if last_call is None
            else {
                "path": last_call.path,
                "outcome": last_call.outcome.value,
                "ago_s": round(now_s - last_call.ended_at_s, 2),
            },
            "unsent_reports": len(self._state.unsent_reports),
            "last_fixed_window": self._state.last_fixed_window,
            "fleet_orders": [
                {"service": order.service, "zone": order.zone, "wanted": order.wanted}
                for order in self._state.fleet_orders
            ],
        }

    # -- leadership and lease --

    def _now_s(self) -> float:
        return self._net.now_s()

    def _observe(self) -> None:
        """Find out whether this coordinator leads, under which view, and whether it may act."""
        replica = self._runtime.replica
        view = replica.view_epoch if replica.is_primary else None
        if view != self._view:
            self._view = view
            now_s = self._now_s()
            self._lease = self._lease.lose() if view is None else self._lease.lead(now_s)
        if not self._lease.may_act(self._now_s()):
            self._lay_down("no longer primary" if view is None else "not confirmed")
        elif self._served_fence != self._lease.held_fence:
            self._take_over()

    def _take_over(self) -> None:
        self._served_fence = self._lease.held_fence
        self._log.info("duties_acquired", holder=self._lease.own.name, fence=self._served_fence)
        for duty in self._duties:
            duty.take_over(self._state, self._now_s())

    def _lay_down(self, reason: str) -> None:
        if self._served_fence != NO_FENCE:
            self._log.warning("duties_lost", fence=self._served_fence, reason=reason)
            self._served_fence = NO_FENCE

    def _may_act(self) -> bool:
        """Whether a call may begin now, under the fence that the duties have been taken over with."""
        if self._is_stopping:
            return False
        self._observe()
        return self._served_fence != NO_FENCE

    async def _advance_lease(self) -> None:
        self._observe()
        match self._lease.next_step(self._now_s()):
            case LeaseStep.CONFIRM:
                await self._confirm()
            case LeaseStep.ACQUIRE:
                await self._acquire()
            case LeaseStep.WAIT:
                pass

    async def _confirm(self) -> None:
        asked_at_s = self._now_s()
        self._lease = self._lease.ask(asked_at_s)
        outcome = await self._runtime.read_newest()
        self._observe()
        if isinstance(outcome, Newest):
            state: ControlState = outcome.state
            self._lease = self._lease.confirm(asked_at_s, state.duties)
            self._observe()

    async def _acquire(self) -> None:
        read = self._lease.read
        assert read is not None  # or the step would have been to confirm
        await self._submit(AcquireDuties(self._lease.own, read.fence))
        self._lease = self._lease.acquired()

    async def _submit(self, command: DutyCommand) -> bool:
        """Commit a command; return whether that is certain."""
        outcome = await self._outcome_of(command)
        if isinstance(outcome, Refused):
            reason = outcome.result.reason.name.lower()
            self._log.warning("duty_command_refused", command=type(command).__name__, reason=reason)
            self._lease = self._lease.acquired()  # what was read no longer holds
        return isinstance(outcome, Done)

    async def _outcome_of(self, command: DutyCommand) -> Outcome:
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                return await self._runtime.submit(encode_command(command))
        except TimeoutError:
            return OutcomeUnknown()

    # -- duties --

    def _start(self, key: TaskKey, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start a task, unless the one before it is still at work."""
        if key not in self._tasks:
            task = self._net.loop.create_task(work())
            self._tasks[key] = task
            task.add_done_callback(lambda ended: self._end(key, ended))

    def _end(self, key: TaskKey, ended: asyncio.Task[None]) -> None:
        del self._tasks[key]
        if not ended.cancelled() and (error := ended.exception()) is not None:
            self._net.loop.call_exception_handler({"message": "a duty failed", "exception": error})

    async def _commit(self, position: int) -> None:
        """Commit what a duty wants, also while a call of it is under way."""
        duty = self._duties[position]
        async with self._commit_locks[position]:
            while self._may_act() and self._now_s() >= self._paused_until_s[position]:
                command = duty.next_command(self._state, self._served_fence, self._now_s())
                if command is None:
                    return
                if not self._may_submit() or not await self._submit(command):
                    self._paused_until_s[position] = self._now_s() + RETRY_PAUSE_S

    async def _make_calls(self, position: int) -> None:
        """Make the calls that are due for a duty, each after the commands before it."""
        duty = self._duties[position]
        while self._may_act():
            await self._commit(position)
            if not self._may_act() or self._now_s() < self._paused_until_s[position]:
                return
            call = duty.next_call(self._state, self._now_s())
            if call is None:
                return
            await self._make_call(duty, call)

    async def _make_call(self, duty: Duty, call: PlatformCall) -> None:
        fence = self._served_fence
        await self._wait_for_turn()
        result = await self._post(call, fence)
        now_s = self._now_s()
        self._last_call = LastCall(call.path, result.outcome, now_s)
        if result.outcome is not CallOutcome.ACCEPTED:
            self._log.warning(
                "platform_call_failed", path=call.path, outcome=result.outcome.value, detail=result.detail
            )
        if result.outcome is CallOutcome.FENCED:
            self._lease = self._lease.refuse(fence, now_s)
            self._lay_down("the platform refused the fence")
        duty.record_outcome(call, result.outcome, now_s)

    async def _wait_for_turn(self) -> None:
        """Keep calls apart by the platform's rate."""
        now_s = self._now_s()
        turn_s = max(now_s, self._next_call_at_s)
        self._next_call_at_s = turn_s + self._call_interval_s
        if turn_s > now_s:
            await asyncio.sleep(turn_s - now_s)

    async def _post(self, call: PlatformCall, fence: int) -> CallResult:
        """Make a call under a fence, and give it up where the lease ends before it does."""

        def may_send() -> bool:
            return self._may_act() and self._served_fence == fence

        credentials = Credentials(self._lease.own.name, fence)
        post = self._net.loop.create_task(self._client.post(call, credentials, may_send))
        try:
            while not post.done() and may_send():
                await asyncio.wait({post}, timeout=self._lease.left_s(self._now_s()))
        finally:
            post.cancel()
        if post.done() and not post.cancelled():
            return post.result()
        return CallResult(CallOutcome.UNKNOWN, "the lease ended")
