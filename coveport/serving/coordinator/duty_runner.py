"""Does the duties while this coordinator holds them: commits what each wants, and calls the platform.

Each `Duty` decides what is to be done, `duty_lease_keeper` whether it may be; the tasks are here. The tenure
is asked for again after each await, and once more right before the bytes of a call go.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Any, Final

from coveport.net.transport import Net
from coveport.serving.configuration.state import ControlState
from coveport.serving.coordinator.duty_lease_keeper import DutyLeaseKeeper, Tenure
from coveport.serving.coordinator.platform_client import CallResult, Credentials, PlatformClient
from coveport.serving.duties.duty import CallOutcome, Duty, PlatformCall
from coveport.serving.duties.state import DutyState
from coveport.serving.log import EventLogger

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
    """Owns the tasks of the duties, and when the platform was called last."""

    def __init__(
        self,
        net: Net,
        keeper: DutyLeaseKeeper,
        client: PlatformClient,
        duties: Sequence[Duty],
        calls_per_s: float,
        log: EventLogger,
    ) -> None:
        """Create a runner; `calls_per_s`: that the platform takes."""
        self._net = net
        self._keeper = keeper
        self._client = client
        self._duties = tuple(duties)
        self._call_interval_s = 1.0 / calls_per_s
        self._log = log
        self._state = DutyState()
        self._taken_over: Tenure | None = None  # the newest tenure of which the duties know
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
        if self._keeper.is_step_due():
            self._start(TaskKey(TaskKind.LEASE), self._keeper.advance)
        if self._tenure() is not None:
            for position in range(len(self._duties)):
                self._start(TaskKey(TaskKind.COMMANDS, position), partial(self._commit, position))
                self._start(TaskKey(TaskKind.CALLS, position), partial(self._make_calls, position))

    def record_committed(self, state: ControlState) -> None:
        """Take a newer committed state."""
        self._state = state.duties

    def record_stall(self) -> None:
        """Trust nothing from before a stall."""
        self._keeper.record_stall()

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
        state = self._state
        return {
            "phase": self._keeper.phase.value,
            "holder": state.holder.name if state.holder else "",
            "fence": state.fence,
            "lease_left_s": round(self._keeper.left_s(), 2),
            "last_call": self._describe_last_call(),
            "unsent_reports": len(state.unsent_reports),
            "last_fixed_window": state.last_fixed_window,
            "fleet_orders": [
                {"service": order.service, "zone": order.zone, "wanted": order.wanted}
                for order in state.fleet_orders
            ],
        }

    def _describe_last_call(self) -> dict[str, Any] | None:
        call = self._last_call
        if call is None:
            return None
        ago_s = round(self._net.now_s() - call.ended_at_s, 2)
        return {"path": call.path, "outcome": call.outcome.value, "ago_s": ago_s}

    # -- tenure and tasks --

    def _tenure(self) -> Tenure | None:
        """Return the tenure under which a duty may act right now, once all duties know of it."""
        if self._is_stopping:
            return None
        tenure = self._keeper.current_tenure()
        if tenure is not None and tenure != self._taken_over:
            self._taken_over = tenure
            for duty in self._duties:
                duty.take_over(self._state, self._net.now_s())
        return tenure

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

    # -- duties --

    async def _commit(self, position: int) -> None:
        """Commit what a duty wants, also while a call of it is under way."""
        duty = self._duties[position]
        async with self._commit_locks[position]:
            while not self._is_paused(position) and (tenure := self._tenure()) is not None:
                command = duty.next_command(self._state, tenure.fence, self._net.now_s())
                if command is None:
                    return
                if not await self._keeper.submit(command):
                    self._paused_until_s[position] = self._net.now_s() + RETRY_PAUSE_S

    def _is_paused(self, position: int) -> bool:
        return self._net.now_s() < self._paused_until_s[position]

    async def _make_calls(self, position: int) -> None:
        """Make the calls that are due for a duty, each after the commands before it."""
        duty = self._duties[position]
        while True:
            await self._commit(position)
            tenure = self._tenure()
            if tenure is None or self._is_paused(position):
                return
            call = duty.next_call(self._state, self._net.now_s())
            if call is None:
                return
            result = await self._make_call(call, tenure)
            duty.record_outcome(call, result.outcome, self._net.now_s())

    async def _make_call(self, call: PlatformCall, tenure: Tenure) -> CallResult:
        await self._wait_for_turn()
        result = await self._post(call, tenure)
        self._last_call = LastCall(call.path, result.outcome, self._net.now_s())
        if result.outcome is not CallOutcome.ACCEPTED:
            self._log.warning(
                "platform_call_failed", path=call.path, outcome=result.outcome.value, detail=result.detail
            )
        if result.outcome is CallOutcome.FENCED:
            self._keeper.record_refusal(tenure.fence)
        return result

    async def _wait_for_turn(self) -> None:
        """Keep calls apart by the platform's rate."""
        now_s = self._net.now_s()
        turn_s = max(now_s, self._next_call_at_s)
        self._next_call_at_s = turn_s + self._call_interval_s
        if turn_s > now_s:
            await asyncio.sleep(turn_s - now_s)

    async def _post(self, call: PlatformCall, tenure: Tenure) -> CallResult:
        """Make a call, and give it up where the tenure ends before it does."""

        def may_send() -> bool:
            return self._tenure() == tenure

        credentials = Credentials(tenure.holder, tenure.fence)
        post = self._net.loop.create_task(self._client.post(call, credentials, may_send))
        try:
            while not post.done() and self._keeper.current_tenure() == tenure:
                await asyncio.wait({post}, timeout=self._keeper.left_s())
        finally:
            post.cancel()
        if post.done() and not post.cancelled():
            return post.result()
        return CallResult(CallOutcome.UNKNOWN, "the lease ended")
