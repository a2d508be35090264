"""Restart requests and the steps of a rolling restart."""

from __future__ import annotations

import pytest

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.desired_state import DesiredState, RestartPhase, RollingRestart
from coveport.sidecar.supervisor.fleet_request import FleetRequest, apply_request
from coveport.sidecar.supervisor.instance_health import InstanceHealth, SuccessRate
from coveport.sidecar.supervisor.rolling_restart import next_restart_step

FLEET = Fleet(name="h", instances=4, at_once=2, a_second=2.0, hung_s=2.0, hold_s=1.0)


def healthy(incarnation: str, success_rate: float = 1.0, operations: int = 100) -> InstanceHealth:
    return InstanceHealth(incarnation, 5.0, "", SuccessRate(success_rate, operations))


def test_restart_takes_each_incarnation_once_and_waits_for_its_successor() -> None:
    begun = apply_request(DesiredState(3, 3), FleetRequest("1", "restart"), FLEET, 10)
    desired = begun.desired
    assert "3" in begun.description and desired.restart is not None
    health = {f"h-{number}": healthy(f"old{number}") for number in (1, 2, 3)}
    order = []
    for _ in range(20):
        step = next_restart_step(desired, health, 1.0)
        if step is None:
            break
        desired = step.desired
        assert desired.restart is not None
        if desired.restart.phase is RestartPhase.DONE:
            break
        (name,) = [restarted for restarted in desired.restart.replaced if restarted not in order]
        order.append(name)
        assert desired.restart.replaced[name] == health[name].incarnation
        for not_serving_yet in (
            health[name],
            InstanceHealth(),
            InstanceHealth("new", 0.5),
            InstanceHealth("new", -1.0),
        ):
            health[name] = not_serving_yet
            assert next_restart_step(desired, health, 1.0) is None, (
                "the next restart waits until this instance serves"
            )
        health[name] = healthy(f"new{name}")
    assert order == ["h-1", "h-2", "h-3"]
    assert desired.restart is not None and desired.restart.phase is RestartPhase.DONE


@pytest.mark.parametrize(
    ("after", "reason"),
    [(InstanceHealth("new", -1.0, "ended 3 times"), "ended 3 times"), (healthy("new", 0.5), "served 0.500")],
)
def test_restart_when_the_new_incarnation_is_worse_halts_until_resumed_or_ended(
    after: InstanceHealth, reason: str
) -> None:
    restart = RollingRestart(("h-1", "h-2", "h-3"), replaced={"h-1": "old1"})
    health = {"h-1": after, "h-2": healthy("old2"), "h-3": healthy("old3")}
    halted = next_restart_step(DesiredState(3, 3, restart=restart), health, 1.0)
    assert halted is not None and halted.desired.restart is not None
    assert halted.desired.restart.phase is RestartPhase.HALTED and reason in halted.desired.restart.reason
    assert next_restart_step(halted.desired, {"h-1": after}, 1.0) is None
    resumed = apply_request(halted.desired, FleetRequest("2", "resume"), FLEET, 10).desired
    assert resumed.restart is not None and resumed.restart.phase is RestartPhase.RUNNING
    ended = apply_request(halted.desired, FleetRequest("2", "end"), FLEET, 10).desired
    assert ended.restart is not None and ended.restart.phase is RestartPhase.ENDED


@pytest.mark.parametrize(
    "request_",
    [
        FleetRequest("1", "scale", count=11),
        FleetRequest("1", "scale", count=-1),
        FleetRequest("1", "drain", names=("x-1",)),
        FleetRequest("1", "restart", names=("h-9",)),
        FleetRequest("1", "resume"),
        FleetRequest("1", "end"),
        FleetRequest("1", "nonsense"),
        FleetRequest("1", "restart", names=("h-2",)),
    ],
)
def test_request_when_impossible_is_refused_and_changes_nothing(request_: FleetRequest) -> None:
    desired = DesiredState(4, 4, drained=("h-2",))
    change = apply_request(desired, request_, FLEET, 10)
    assert change.desired == desired and change.is_refused and change.description.startswith("refused")
