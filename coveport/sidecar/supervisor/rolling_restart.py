"""Decides the next step of a rolling restart. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from coveport.sidecar.supervisor.desired_state import Change, DesiredState, RestartPhase, RollingRestart
from coveport.sidecar.supervisor.instance_health import InstanceHealth, SuccessRate

MAX_SUCCESS_LOSS = 0.05  # below the success rate of the instances not restarted; a larger loss halts
MIN_OPERATIONS = 20  # with fewer operations success rates are not compared


def next_restart_step(
    desired: DesiredState, health: Mapping[str, InstanceHealth], min_serving_s: float
) -> Change | None:
    """Return the next step of the rolling restart; None if there is none, or it is not due yet.

    `min_serving_s`: how long a new incarnation must serve before the next instance is restarted.
    """
    restart = desired.restart
    if restart is None or restart.phase is not RestartPhase.RUNNING:
        return None
    excluded = [name for name in restart.order if name not in health or name in desired.drained]
    taken = [name for name in restart.replaced if name not in excluded]
    remaining = [name for name in restart.remaining if name not in excluded]
    new = [name for name in taken if health[name].incarnation != restart.replaced[name]]
    return (
        _halt_on_fault(desired, restart, new, health)
        or _halt_on_success_loss(desired, restart, new, health)
        or _advance(desired, restart, taken, new, remaining, health, min_serving_s)
    )


def _halt_on_fault(
    desired: DesiredState, restart: RollingRestart, new: list[str], health: Mapping[str, InstanceHealth]
) -> Change | None:
    name = next((name for name in new if health[name].fault), None)
    if name is None:
        return None
    halted = restart.with_phase(RestartPhase.HALTED, f"{name}: {health[name].fault}")
    return _change(desired, halted, f"restart halted by {name}")


def _halt_on_success_loss(
    desired: DesiredState, restart: RollingRestart, new: list[str], health: Mapping[str, InstanceHealth]
) -> Change | None:
    after = _total_success(health[name] for name in new)
    before = _total_success(
        instance_health for name, instance_health in health.items() if name not in restart.replaced
    )
    if min(after.operations, before.operations) < MIN_OPERATIONS:
        return None
    if after.fraction >= before.fraction - MAX_SUCCESS_LOSS:
        return None
    reason = f"served {after.fraction:.3f} by those restarted, {before.fraction:.3f} by the others"
    return _change(desired, restart.with_phase(RestartPhase.HALTED, reason), "restart halted")


def _advance(
    desired: DesiredState,
    restart: RollingRestart,
    taken: list[str],
    new: list[str],
    remaining: list[str],
    health: Mapping[str, InstanceHealth],
    min_serving_s: float,
) -> Change | None:
    """Restart the next instances, as many as `at_once` allows, or finish the restart."""
    in_progress = len(taken) - sum(health[name].serving_s >= min_serving_s for name in new)
    if not remaining:
        return (
            None if in_progress else _change(desired, restart.with_phase(RestartPhase.DONE), "restart done")
        )
    if in_progress >= restart.at_once:
        return None
    # Instances that do not serve now are included: they are started again in any case.
    names = remaining[: restart.at_once - in_progress]
    replaced = {**restart.replaced, **{name: health[name].incarnation for name in names}}
    return _change(
        desired, msgspec.structs.replace(restart, replaced=replaced), f"restart of {', '.join(names)}"
    )


def _change(desired: DesiredState, restart: RollingRestart, description: str) -> Change:
    return Change(msgspec.structs.replace(desired, restart=restart), description)


def _total_success(instances: Iterable[InstanceHealth]) -> SuccessRate:
    succeeded = 0.0
    operations = 0
    for instance in instances:
        succeeded += instance.success.fraction * instance.success.operations
        operations += instance.success.operations
    return SuccessRate(succeeded / operations if operations else 1.0, operations)
