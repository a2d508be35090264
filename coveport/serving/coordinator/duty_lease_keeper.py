"""Manages the lease of the duties: acquires and confirms it, and commits commands under its fencing token.

`duties.lease` decides; this module adds the clock and the replica. After each await it observes again whether
this coordinator is the primary, before it uses the lease.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from coveport.net.transport import Net
from coveport.serving.configuration.commands import encode_command
from coveport.serving.configuration.state import ControlState
from coveport.serving.coordinator.replica_runtime import ReplicaRuntime
from coveport.serving.duties.commands import AcquireDuties, SingletonCommand
from coveport.serving.duties.lease import LeasePhase, LeaseStep, SingletonLease
from coveport.serving.log import EventLogger
from coveport.serving.replication.events import Done, Newest, Outcome, OutcomeUnknown
from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.state_machine import Refused

COMMAND_TIMEOUT_S: Final = 4.0  # wait for the outcome of a command; the same as for operators' commands


@dataclass(frozen=True, slots=True)
class Tenure:
    """An uninterrupted period during which this coordinator process holds the duties."""

    number: int  # increases with each tenure of this process
    holder: str  # name of this coordinator in calls to the platform
    fence: int  # fencing token of the lease


class DutyLeaseManager:
    """Owns the lease of this coordinator process."""

    def __init__(
        self,
        net: Net,
        runtime: ReplicaRuntime,
        lease: SingletonLease,
        may_submit: Callable[[], bool],
        log: EventLogger,
    ) -> None:
        """Create a manager without the lease.

        `may_submit`: whether all coordinators support the duties' commands.
        """
        self._net = net
        self._runtime = runtime
        self._lease = lease
        self._may_submit = may_submit
        self._log = log
        self._led_view: Epoch | None = None  # view that this coordinator leads; None: not the primary
        self._tenure: Tenure | None = None
        self._tenure_count = 0

    # -- queries --

    @property
    def phase(self) -> LeasePhase:
        """The phase of this coordinator in acquiring and holding the lease."""
        return self._lease.phase(self._net.now_s())

    def left_s(self) -> float:
        """Return for how many seconds from now a call may continue."""
        return self._lease.left_s(self._net.now_s())

    def current_tenure(self) -> Tenure | None:
        """Return the tenure under which a call may begin now; None where no call may begin."""
        self._observe()
        return self._tenure

    def is_step_due(self) -> bool:
        """Return whether `advance` has a step to do."""
        self._observe()
        return self._lease.next_step(self._net.now_s()) is not LeaseStep.WAIT and self._may_submit()

    # -- inputs --

    def record_stall(self) -> None:
        """Void confirmations from before a stall: further calls begin only after a new confirmation."""
        self._lease = self._lease.invalidate(self._net.now_s())
        self._end_tenure("stalled")

    def record_rejected_fence(self, fence: int) -> None:
        """Give up the lease under a fencing token that the platform has rejected."""
        self._lease = self._lease.reject_token(fence, self._net.now_s())
        self._end_tenure("the platform refused the fence")

    async def advance(self) -> None:
        """Confirm or acquire the lease, if that is due."""
        self._observe()
        match self._lease.next_step(self._net.now_s()):
            case LeaseStep.CONFIRM:
                await self._confirm()
            case LeaseStep.ACQUIRE:
                await self._acquire()
            case LeaseStep.WAIT:
                pass

    async def submit(self, command: SingletonCommand) -> bool:
        """Commit a command; return False where it was refused or its outcome is unknown."""
        if not self._may_submit():
            return False
        outcome = await self._outcome_of(command)
        if isinstance(outcome, Refused):
            reason = outcome.result.reason.name.lower()
            self._log.warning("duty_command_refused", command=type(command).__name__, reason=reason)
            self._lease = self._lease.record_acquisition_end()  # the state that was read is out of date
        return isinstance(outcome, Done)

    # -- leadership and tenure --

    def _observe(self) -> None:
        """Update lease and tenure by whether this coordinator is the primary, and in which view."""
        replica = self._runtime.replica
        view = replica.view_epoch if replica.is_primary else None
        now_s = self._net.now_s()
        if view != self._led_view:
            self._led_view = view
            self._lease = self._lease.stop_leading() if view is None else self._lease.start_leading(now_s)
        if not self._lease.may_act(now_s):
            self._end_tenure("no longer primary" if view is None else "not confirmed")
        elif self._tenure is None or self._tenure.fence != self._lease.held_token:
            self._begin_tenure()

    def _begin_tenure(self) -> None:
        self._tenure_count += 1
        self._tenure = Tenure(self._tenure_count, self._lease.own_identity.name, self._lease.held_token)
        self._log.info("duties_acquired", holder=self._tenure.holder, fence=self._tenure.fence)

    def _end_tenure(self, reason: str) -> None:
        if self._tenure is not None:
            self._log.warning("duties_lost", fence=self._tenure.fence, reason=reason)
            self._tenure = None

    # -- the replica --

    async def _confirm(self) -> None:
        requested_at_s = self._net.now_s()
        self._lease = self._lease.record_request(requested_at_s)
        outcome = await self._runtime.read_newest()
        self._observe()
        if isinstance(outcome, Newest):
            state: ControlState = outcome.state
            self._lease = self._lease.confirm(requested_at_s, state.singleton_state)

    async def _acquire(self) -> None:
        confirmed_state = self._lease.confirmed_state
        assert confirmed_state is not None  # without a confirmed state the next step would be CONFIRM
        await self.submit(AcquireDuties(self._lease.own_identity, confirmed_state.fencing_token))
        self._lease = self._lease.record_acquisition_end()

    async def _outcome_of(self, command: SingletonCommand) -> Outcome:
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                return await self._runtime.submit(encode_command(command))
        except TimeoutError:
            return OutcomeUnknown()
