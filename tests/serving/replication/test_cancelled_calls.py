"""A call that nobody waits for any more takes no effect later."""

from __future__ import annotations

import pytest
from core_world import Machine, World, change
from test_core_faults import THREE, founded, leader

from coveport.serving.replication.events import (
    CancelCall,
    Outcome,
    ReadNewest,
    Submit,
)


def behind_a_stuck_command() -> tuple[World, Machine, list[Outcome]]:
    """A primary whose backup doesn't answer, with one command in flight."""
    world, _, _ = founded(THREE)
    world.run_for(1.0)
    machine, view = leader(world)
    world.blocked_links.add((view.replicas[1].address, machine.address))
    first: list[Outcome] = []
    world.call(machine, lambda request: Submit(request, change(0, 5, "first")), first.append)
    world.run_for(0.05)
    return world, machine, first


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_a_cancelled_command_never_takes_effect_also_in_the_next_view(is_cancelled: bool) -> None:
    """Without the withdrawal it does: the queue goes over into the view that leaves the backup out."""
    world, machine, _ = behind_a_stuck_command()
    assert machine.incarnation is not None
    incarnation = machine.incarnation
    numbers: list[int] = []

    def submit(request: int) -> Submit:
        numbers.append(request)
        return Submit(request, change(5, 7, "second"))

    world.call(machine, submit, lambda outcome: None)
    world.run_for(0.05)
    assert incarnation.replica._leader_role.primary is not None
    assert len(incarnation.replica._leader_role.primary._queue) == 1, "the situation is reached"
    if is_cancelled:
        machine.deliver(incarnation, CancelCall(numbers[0]))
    world.run_for(4.0)
    _, view = leader(world)
    assert view.epoch.number > 1, "the queue went over into another view"
    seen: list[Outcome] = []
    world.call(leader(world)[0], ReadNewest, seen.append)
    world.run_for(1.0)
    assert ("5|7|second" in seen[0].state) is not is_cancelled  # type: ignore[union-attr]


def test_a_cancelled_read_is_answered_to_nobody() -> None:
    world, machine, _ = behind_a_stuck_command()
    assert machine.incarnation is not None
    seen: list[Outcome] = []
    world.call(machine, ReadNewest, seen.append)
    world.run_for(0.01)
    assert world._request
    machine.deliver(machine.incarnation, CancelCall(world._request))
    world.run_for(5.0)
    assert seen == []
