"""Operators' requests and the change of the desired state that each makes. Pure."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.desired_state import (
    RESTART_TRANSITIONS,
    Change,
    DesiredState,
    RestartPhase,
    RollingRestart,
    refusal,
)


class Action(StrEnum):
    """The action of a request, by its value on the control socket."""

    SCALE = "scale"
    DRAIN = "drain"
    UNDRAIN = "back"
    RESTART = "restart"
    RESUME_RESTART = "resume"
    END_RESTART = "end"


class FleetRequest(msgspec.Struct, frozen=True):
    """A request from an operator. Its `id` makes it idempotent: it is carried out once."""

    id: str
    action: str  # an Action; any other is refused
    count: int = 0
    names: tuple[str, ...] = ()
    at_once: int = 1


def apply_request(desired: DesiredState, request: FleetRequest, fleet: Fleet, max_instances: int) -> Change:
    """Return the desired state after a request; the same state if it is refused."""
    if request.action == Action.SCALE:
        return _scale(desired, request.count, fleet, max_instances)
    names = fleet.names(desired.count)
    unknown = [name for name in request.names if name not in names]
    if unknown:
        return refusal(desired, f"there is no {unknown[0]}")
    if request.action == Action.DRAIN:
        drained = tuple(sorted({*desired.drained, *request.names}))
        return Change(
            msgspec.structs.replace(desired, drained=drained), f"drained: {', '.join(request.names)}"
        )
    if request.action == Action.UNDRAIN:
        drained = tuple(name for name in desired.drained if name not in request.names)
        return Change(msgspec.structs.replace(desired, drained=drained), f"back: {', '.join(request.names)}")
    if request.action == Action.RESTART:
        return _begin_restart(desired, request.names or names, request.at_once)
    return _move_restart(desired, request.action)


def _scale(desired: DesiredState, count: int, fleet: Fleet, max_instances: int) -> Change:
    if not 0 <= count <= max_instances:
        return refusal(desired, f"0 to {max_instances} instances, not {count}")
    drained = tuple(name for name in desired.drained if name in fleet.names(count))
    return Change(
        msgspec.structs.replace(desired, count=count, drained=drained),
        f"{desired.count} instances are to be {count}",
    )


def _begin_restart(desired: DesiredState, names: tuple[str, ...], at_once: int) -> Change:
    if desired.restart is not None and desired.restart.is_open:
        return refusal(desired, "a restart is under way; end it first")
    order = tuple(name for name in names if name not in desired.drained)
    if not order:
        return refusal(desired, "there is nobody to restart")
    restart = RollingRestart(order, max(1, at_once))
    return Change(msgspec.structs.replace(desired, restart=restart), f"restart of {len(order)} begun")


def _move_restart(desired: DesiredState, action: str) -> Change:
    """Resume or end the open restart."""
    restart = desired.restart
    is_known = action in (Action.RESUME_RESTART, Action.END_RESTART)
    if not is_known or restart is None or not restart.is_open:
        return refusal(desired, f"{action}: there is no restart under way")
    phase = RestartPhase.RUNNING if action == Action.RESUME_RESTART else RestartPhase.ENDED
    if phase not in RESTART_TRANSITIONS[restart.phase]:
        return refusal(desired, f"the restart is {restart.phase.value}")
    # Steps of failed instances stay taken: those instances are started like any other without a process.
    return Change(
        msgspec.structs.replace(desired, restart=restart.with_phase(phase)), f"restart: {phase.value}"
    )
