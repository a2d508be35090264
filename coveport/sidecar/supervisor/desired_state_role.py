"""The singleton role that changes the desired state on requests, file changes and rolling restarts. Pure.

Every change is a step of the role (`sidecar.singletons.singleton`): one transaction that compares the fencing
token and the revision of the state.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.leases.store import Entry
from coveport.sidecar.singletons.singleton import Step
from coveport.sidecar.supervisor.desired_state import Change, DesiredState
from coveport.sidecar.supervisor.fleet_request import FleetRequest, apply_request
from coveport.sidecar.supervisor.instance_health import InstanceHealth
from coveport.sidecar.supervisor.rolling_restart import next_restart_step

ROLE_NAME_PREFIX = "fleet@"  # followed by the fleet's name


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The result of a request: its change was stored, or it was refused."""

    is_done: bool
    message: str  # shown to the operator


OnDone = Callable[[RequestResult], None]


class DesiredStateRole:
    """Decides the changes of the desired state while this supervisor holds the role.

    `health` returns the health of the instances by name. `on_desired_state` is called with
    each state that was read from the store or committed to it.
    """

    def __init__(
        self,
        fleet: Fleet,
        health: Callable[[], Mapping[str, InstanceHealth]],
        on_desired_state: Callable[[DesiredState], None],
        max_instances: int,
        interval_s: float = 0.1,
    ) -> None:
        self.name = ROLE_NAME_PREFIX + fleet.name
        self.interval_s = interval_s
        self.fleet = fleet
        self._health = health
        self._on_desired_state = on_desired_state
        self._max_instances = max_instances
        self._requests: deque[tuple[FleetRequest, OnDone]] = deque()

    def submit(self, request: FleetRequest, on_done: OnDone) -> None:
        """Queue a request; `on_done` is called once its change is stored, or it is refused."""
        self._requests.append((request, on_done))

    def on_role_lost(self) -> None:
        """Refuse all queued requests: another supervisor holds the role."""
        while self._requests:
            self._complete_request(RequestResult(False, "refused: another supervisor holds the duty by now"))

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """Return the next change of the desired state; None if nothing is due."""
        if state is None:
            count = self.fleet.instances
            return _step(Change(DesiredState(count, count), "initial desired state"))
        desired = msgspec.json.decode(state, type=DesiredState)
        self._on_desired_state(desired)
        change = (
            self._follow_file(desired)
            or self._next_request(desired)
            or next_restart_step(desired, self._health(), self.fleet.hold_s)
        )
        return None if change is None else _step(change)

    def _follow_file(self, desired: DesiredState) -> Change | None:
        """Apply a count that was changed in the file; it applies until the next request to scale."""
        count = self.fleet.instances
        if desired.count_in_file == count:
            return None
        changed = msgspec.structs.replace(desired, count_in_file=count, count=count)
        return Change(changed, f"the file says {count}")

    def _next_request(self, desired: DesiredState) -> Change | None:
        """Return the change of the first queued request that changes the state; complete those before it."""
        while self._requests:
            request, _ = self._requests[0]
            if desired.last_request_id == request.id:
                # Its step was committed, and the store's answer was lost.
                self._complete_request(RequestResult(True, "done"))
                continue
            change = apply_request(desired, request, self.fleet, self._max_instances)
            if change.desired == desired:
                self._complete_request(RequestResult(not change.is_refused, change.description))
                continue
            committed = msgspec.structs.replace(change.desired, last_request_id=request.id)
            return Change(committed, change.description)
        return None

    def on_step_committed(self, step: Step) -> None:
        """Complete the request that this step carried out, and pass the new state on."""
        desired = msgspec.json.decode(step.state, type=DesiredState)
        if self._requests and desired.last_request_id == self._requests[0][0].id:
            self._complete_request(RequestResult(True, step.description))
        self._on_desired_state(desired)

    def _complete_request(self, result: RequestResult) -> None:
        _, on_done = self._requests.popleft()
        on_done(result)


def _step(change: Change) -> Step:
    return Step(msgspec.json.encode(change.desired), change.description)
