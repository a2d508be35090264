"""Values that duties and instances keep in the store as JSON, whose names are those of the fields."""

from __future__ import annotations

import msgspec

from coveport.sidecar.intent_log.record_layout import DrainNotice
from coveport.sidecar.singletons import health_checking, rollout_plan, slow_start_messages
from coveport.sidecar.supervisor import desired_state as fleet

VALUES: dict[str, msgspec.Struct] = {
    "fleet plan, plain": fleet.DesiredState(3, 4),
    "fleet plan, halted restart": fleet.DesiredState(
        3,
        4,
        ("instance-2",),
        fleet.RollingRestart(
            ("instance-1", "instance-3"), 2, {"instance-1": "42.7.b"}, fleet.RestartPhase.HALTED, "worse"
        ),
        "ask-9",
    ),
    "rollout plan": rollout_plan.RolloutPlan(
        "new",
        "old",
        (("a", "b"), ("c",)),
        rollout_plan.RolloutPhase.ROLLING_BACK,
        1,
        2,
        "worse",
        "staff",
        "x",
    ),
    "rollout, how an instance fares": rollout_plan.InstanceStatus(
        "life-1", "new", "other", "no such zone", 0.75, 30
    ),
    "rollout, what staff ask": rollout_plan.RolloutCommand("start", '{"zone": 1}', "staff"),
    "node as it was seen": health_checking.HealthCheckResult("life-1", 1_700_000_000.5, True, 2.25, 7),
    "wish of an instance": slow_start_messages.CapacityRequest(
        "life-1", 5.5, 20.25, 0.125, {"node-1": (2, 3.5)}
    ),
    "grant": slow_start_messages.CapacityGrant("life-1", 5.5, 6, {"node-1": 4}),
    "books": slow_start_messages.CoordinatorState(
        "life-2", 6, {"node-1": [slow_start_messages.OutstandingGrant(1.5, 2)]}, {"life-1": 5.5}
    ),
    "leaving": DrainNotice(2.5),
}
PHASES = {
    "fleet": {phase.value for phase in fleet.RestartPhase},
    "rollout": {phase.value for phase in rollout_plan.RolloutPhase},
}
