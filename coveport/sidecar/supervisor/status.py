"""The status that `coveport fleet status` shows: the JSON object that the control socket sends. Pure."""

from __future__ import annotations

from typing import Any

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.desired_state import RollingRestart
from coveport.sidecar.supervisor.instance import Instance
from coveport.sidecar.supervisor.instance_set import InstanceSet


def fleet_status(
    fleet: Fleet, instances: InstanceSet, *, now: float, supervisor: str, holds_role: bool, token: int
) -> dict[str, Any]:
    """Return the status of a fleet in the view of one supervisor."""
    desired = instances.desired
    health = instances.health(now)
    in_order = sorted(instances.by_name.items(), key=lambda item: fleet.number(item[0]))
    return {
        "fleet": fleet.name,
        "supervisor": supervisor,
        "holds": holds_role,
        "token": token,
        "count": None if desired is None else desired.count,
        "restart": None if desired is None or desired.restart is None else _restart_status(desired.restart),
        "instances": [
            _instance_status(fleet, instance, health[name].success.fraction, now)
            for name, instance in in_order
        ],
    }


def _restart_status(restart: RollingRestart) -> dict[str, Any]:
    return {
        "phase": restart.phase.value,
        "why": restart.reason,
        "taken": len(restart.replaced),
        "of": len(restart.order),
    }


def _instance_status(fleet: Fleet, instance: Instance, success_rate: float, now: float) -> dict[str, Any]:
    return {
        "name": instance.name,
        "state": instance.state.value,
        "address": fleet.address(instance.name),
        "pid": int(instance.incarnation.partition(".")[0] or 0),
        "life": instance.incarnation,
        "for_s": round(now - instance.since, 1),
        "why": instance.reason,
        "wanted": instance.desired,
        "ended": instance.exits,
        "served": round(success_rate, 4),
    }
