"""The checker accepts linearizable histories and rejects others; simulated days are linearizable."""

from __future__ import annotations

import pytest
from linearizability import Operation, Result, is_linearizable
from operator_history import operations

from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.operator import Operator
from coveport.serving.simulation.world import SimulatedDeployment


def change(
    began_s: float, ended_s: float, base: int, version: int, result: Result = Result.DONE
) -> Operation:
    return Operation(began_s, ended_s, result, version, f"c{version}", base)


def read(began_s: float, ended_s: float, version: int) -> Operation:
    return Operation(began_s, ended_s, Result.DONE, version, f"c{version}" if version else "")


LINEARIZABLE = {
    "no operation": (),
    "operations one after the other": (change(0, 1, 0, 1), read(2, 3, 1), change(4, 5, 1, 2), read(6, 7, 2)),
    "one of two concurrent changes is applied": (
        change(0, 1, 0, 1),
        change(2, 4, 1, 2),
        change(2, 4, 1, 3, Result.CONFLICT),
        read(5, 6, 2),
    ),
    "an unclear change was applied": (change(0, 1, 0, 1, Result.UNKNOWN), read(5, 6, 1)),
    "an unclear change was not applied": (change(0, 1, 0, 1, Result.UNKNOWN), read(5, 6, 0)),
    "an unclear change was applied late": (
        change(0, 1, 0, 1, Result.UNKNOWN),
        read(5, 6, 0),
        read(7, 8, 1),
    ),
    "reads during a change return either version": (
        change(0, 9, 0, 1),
        read(1, 2, 0),
        read(3, 4, 1),
        read(5, 6, 1),
    ),
}
NOT_LINEARIZABLE = {
    "an acknowledged change is lost": (change(0, 1, 0, 1), read(2, 3, 0)),
    "an older version is read after a newer one": (change(0, 9, 0, 1), read(1, 2, 1), read(3, 4, 0)),
    "two changes of one version are both applied": (
        change(0, 1, 0, 1),
        change(2, 4, 1, 2),
        change(2, 4, 1, 3),
    ),
    "a rejected change was applied": (
        change(0, 1, 0, 1),
        change(2, 4, 1, 2, Result.CONFLICT),
        read(5, 6, 2),
    ),
    "a change of the newest version was rejected": (
        change(0, 1, 0, 1),
        change(2, 3, 1, 2, Result.CONFLICT),
    ),
    "a change is read before it was sent": (read(0, 1, 1), change(2, 3, 0, 1)),
    "a version is read that was never sent": (change(0, 1, 0, 1), read(2, 3, 7)),
    "a version is read with other content": (
        change(0, 1, 0, 1),
        Operation(2, 3, Result.DONE, 1, "another"),
    ),
    "a change lowers the version": (change(0, 1, 0, 5), change(2, 3, 5, 4)),
    "an unclear change was applied twice": (
        change(0, 1, 0, 1, Result.UNKNOWN),
        read(2, 3, 1),
        change(4, 5, 1, 2),
        read(6, 7, 1),
    ),
}


@pytest.mark.parametrize("name", LINEARIZABLE)
def test_a_linearizable_history_is_accepted(name: str) -> None:
    assert is_linearizable(LINEARIZABLE[name])


@pytest.mark.parametrize("name", NOT_LINEARIZABLE)
def test_a_history_that_is_not_linearizable_is_rejected(name: str) -> None:
    assert not is_linearizable(NOT_LINEARIZABLE[name])


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
@pytest.mark.parametrize("fault", ["kill", "power", "wipe", "freeze", "cut", "all"])
def test_a_day_of_racing_operators_and_readers_is_linearizable(fault: str, seed: int) -> None:
    day = SimulatedDeployment(Deployment(), seed)
    faults = FaultInjector(day)
    victim = day.coordinators[seed % len(day.coordinators)]
    match fault:
        case "kill":
            faults.kill(2.1, victim, for_s=2.0)
        case "power":
            faults.lose_power(2.1, victim, 2.0)
        case "wipe":
            faults.lose_power(2.1, victim, 2.0, wipe=True)
        case "freeze":
            faults.freeze(2.1, victim, 4.0)
        case "cut":
            faults.isolate(2.1, [victim], 4.0, from_machines=day.coordinators)
        case "all":
            for machine in day.coordinators:
                faults.kill(2.1, machine, for_s=0.7)
    for number in range(6):
        faults.race(1.5 + 0.6 * number)
    reader: Operator = day.make_operator(2)
    for number in range(24):
        day.at(1.0 + 0.25 * number, lambda: day.run_operator(reader, lambda: reader.read(1.5)))
    result = day.play(12.0)
    history = operations(result.event_log)
    assert sum(operation.is_change and operation.result is Result.DONE for operation in history) >= 4
    assert sum(not operation.is_change for operation in history) >= 10
    assert is_linearizable(history)
