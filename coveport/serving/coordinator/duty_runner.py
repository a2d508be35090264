"""Performs the duties while this coordinator holds them: commits their commands and calls the platform.

Each `SingletonTask` decides which command or call is next, and `duty_lease_keeper` whether this command or
call may be made; this module runs the asyncio tasks. The tenure is checked again after each await, and right
before the bytes of a call are sent.
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
from coveport.serving.coordinator.duty_lease_keeper import DutyLeaseManager, Tenure
from coveport.serving.coordinator.platform_client import CallResult, Credentials, PlatformClient
from coveport.serving.duties.duty import CallOutcome, PlatformCall, SingletonTask
from coveport.serving.duties.state import SingletonState
from coveport.serving.log import EventLogger

RETRY_PAUSE_S: Final = 0.5  # wait before the next command of a duty whose last command was not committed


@dataclass(frozen=True, slots=True)
class LastCall:
    """The newest call to the platform, for the operators' status call."""

    path: str
    outcome: CallOutcome
    ended_at_s: float


class TaskKind(Enum):
    """The work that a task does."""

    LEASE = "lease"
    COMMANDS = "commands"
    CALLS = "calls"


@dataclass(frozen=True, slots=True)
class TaskKey:
    """Identifies a task; at most one task with a key runs at a time."""

    kind: TaskKind
    duty_index: int = 0  # index among the duties; 0 for the lease


class DutyRunner:
    """Owns the asyncio tasks of the duties, and the time of the last call to the platform."""

    def __init__(
        self,
        net: Net,
        lease_manager: DutyLeaseManager,
        client: PlatformClient,
        duties: Sequence[SingletonTask],
        calls_per_s: float,
        log: EventLogger,
    ) -> None:
        """Create a runner; `calls_per_s`: the platform's limit on the rate of calls."""
        self._net = net
        self._lease_manager = lease_manager
        self._client = client
        self._duties = tuple(duties)
        self._call_interval_s = 1.0 / calls_per_s
        self._log = log
        self._state = SingletonState()
        self._notified_tenure: Tenure | None = None  # newest tenure for which the duties took over
        self._next_call_at_s = 0.0
        self._paused_until_s = [0.0] * len(self._duties)  # when each duty's pause ends, by index of the duty
        self._commit_locks = [asyncio.Lock() for _ in self._duties]
        self._tasks: dict[TaskKey, asyncio.Task[None]] = {}
        self._last_call: LastCall | None = None
        self._is_stopping = False

    # -- inputs --

    def tick(self) -> None:
        """Start the tasks that are due; to be called several times a second."""
        if self._is_stopping or not self._duties:
            return
        if self._lease_manager.is_step_due():
            self._start(TaskKey(TaskKind.LEASE), self._lease_manager.advance)
        if self._tenure() is not None:
            for duty_index in range(len(self._duties)):
                self._start(TaskKey(TaskKind.COMMANDS, duty_index), partial(self._commit, duty_index))
                self._start(TaskKey(TaskKind.CALLS, duty_index), partial(self._make_calls, duty_index))

    def record_committed(self, state: ControlState) -> None:
        """Replace the state of the duties by the state in a newer committed state."""
        self._state = state.singleton_state

    def record_stall(self) -> None:
        """Void confirmations of the lease from before a stall."""
        self._lease_manager.record_stall()

    def stop(self) -> None:
        """Start no further call; calls in flight may still complete."""
        self._is_stopping = True

    def close(self) -> None:
        """Cancel the tasks that are still running."""
        self._is_stopping = True
        for task in self._tasks.values():
            task.cancel()

    # -- outputs --

    def describe(self) -> dict[str, Any]:
        """Return the duties' part of the status call, as JSON-compatible values; empty without duties."""
        if not self._duties:
            return {}
        state = self._state
        return {
            "phase": self._lease_manager.phase.value,
            "holder": state.owner.name if state.owner else "",
            "fence": state.fencing_token,
            "lease_left_s": round(self._lease_manager.left_s(), 2),
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
        """Return the tenure under which a duty may act now; in a new tenure, the duties first take over."""
        if self._is_stopping:
            return None
        tenure = self._lease_manager.current_tenure()
        if tenure is not None and tenure != self._notified_tenure:
            self._notified_tenure = tenure
            for duty in self._duties:
                duty.take_over(self._state, self._net.now_s())
        return tenure

    def _start(self, key: TaskKey, create_coroutine: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start a task, unless the previous task with this key is still running."""
        if key not in self._tasks:
            task = self._net.loop.create_task(create_coroutine())
            self._tasks[key] = task
            task.add_done_callback(lambda ended_task: self._end(key, ended_task))

    def _end(self, key: TaskKey, ended_task: asyncio.Task[None]) -> None:
        del self._tasks[key]
        if not ended_task.cancelled() and (error := ended_task.exception()) is not None:
            self._net.loop.call_exception_handler({"message": "a task of a duty failed", "exception": error})

    # -- duties --

    async def _commit(self, duty_index: int) -> None:
        """Commit the commands of a duty, also while a call of this duty is in flight."""
        duty = self._duties[duty_index]
        async with self._commit_locks[duty_index]:
            while not self._is_paused(duty_index) and (tenure := self._tenure()) is not None:
                command = duty.next_command(self._state, tenure.fence, self._net.now_s())
                if command is None:
                    return
                if not await self._lease_manager.submit(command):
                    self._paused_until_s[duty_index] = self._net.now_s() + RETRY_PAUSE_S

    def _is_paused(self, duty_index: int) -> bool:
        return self._net.now_s() < self._paused_until_s[duty_index]

    async def _make_calls(self, duty_index: int) -> None:
        """Make the calls that are due for a duty; commit its commands before each call."""
        duty = self._duties[duty_index]
        while True:
            await self._commit(duty_index)
            tenure = self._tenure()
            if tenure is None or self._is_paused(duty_index):
                return
            call = duty.next_call(self._state, self._net.now_s())
            if call is None:
                return
            result = await self._make_call(call, tenure)
            duty.record_outcome(call, result.outcome, self._net.now_s())

    async def _make_call(self, call: PlatformCall, tenure: Tenure) -> CallResult:
        await self._wait_for_rate_limit()
        result = await self._post(call, tenure)
        self._last_call = LastCall(call.path, result.outcome, self._net.now_s())
        if result.outcome is not CallOutcome.ACCEPTED:
            self._log.warning(
                "platform_call_failed", path=call.path, outcome=result.outcome.value, detail=result.detail
            )
        if result.outcome is CallOutcome.FENCED:
            self._lease_manager.record_rejected_fence(tenure.fence)
        return result

    async def _wait_for_rate_limit(self) -> None:
        """Wait until the platform's rate limit allows the next call."""
        now_s = self._net.now_s()
        allowed_at_s = max(now_s, self._next_call_at_s)
        self._next_call_at_s = allowed_at_s + self._call_interval_s
        if allowed_at_s > now_s:
            await asyncio.sleep(allowed_at_s - now_s)

    async def _post(self, call: PlatformCall, tenure: Tenure) -> CallResult:
        """Make a call, and cancel the call if the tenure ends before the response."""

        def may_send() -> bool:
            return self._tenure() == tenure

        credentials = Credentials(tenure.holder, tenure.fence)
        post = self._net.loop.create_task(self._client.post(call, credentials, may_send))
        try:
            while not post.done() and self._lease_manager.current_tenure() == tenure:
                await asyncio.wait({post}, timeout=self._lease_manager.left_s())
        finally:
            post.cancel()
        if post.done() and not post.cancelled():
            return post.result()
        return CallResult(CallOutcome.UNKNOWN, "the lease ended")
