"""The role that changes the desired state, on requests and on changes of the operator's file."""

from __future__ import annotations

import msgspec

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.desired_state import DesiredState
from coveport.sidecar.supervisor.desired_state_role import DesiredStateRole, RequestResult
from coveport.sidecar.supervisor.fleet_request import FleetRequest

FLEET = Fleet(name="h", instances=4, at_once=2, a_second=2.0, hung_s=2.0, hold_s=1.0)


def test_request_is_carried_out_once_when_the_store_s_answer_was_lost() -> None:
    reported: list[DesiredState] = []
    results: list[RequestResult] = []
    role = DesiredStateRole(FLEET, dict, reported.append, 10)
    initial = role.decide(0.0, None, {})
    assert initial is not None
    role.submit(FleetRequest("7", "scale", count=6), results.append)
    step = role.decide(0.1, initial.state, {})
    assert step is not None and results == []
    repeated = role.decide(0.2, step.state, {})  # the step was committed, but the store's answer was lost
    assert repeated is None and results == [RequestResult(True, "done")]
    role.submit(FleetRequest("8", "scale", count=2), results.append)
    step = role.decide(0.3, step.state, {})
    assert step is not None
    role.on_step_committed(step)
    assert len(results) == 2 and results[-1].is_done and reported[-1].count == 2
    role.submit(FleetRequest("9", "scale", count=3), results.append)
    role.on_role_lost()
    assert not results[-1].is_done and results[-1].message.startswith("refused")


def test_count_when_the_file_changes_follows_the_file() -> None:
    role = DesiredStateRole(FLEET, dict, lambda desired: None, 10)
    step = role.decide(0.0, msgspec.json.encode(DesiredState(7, 3)), {})
    assert step is not None and msgspec.json.decode(step.state, type=DesiredState).count == 4
