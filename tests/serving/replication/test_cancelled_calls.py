"""A cancelled call takes no effect later."""

from __future__ import annotations

import pytest
from core_world import Machine, World, change
from test_core_faults import THREE_LOCALITIES, bootstrapped_core, primary_and_view

from coveport.serving.replication.events import (
    CancelCall,
    Outcome,
    ReadNewest,
    Submit,
)


def primary_with_blocked_backup() -> tuple[World, Machine, list[Outcome]]:
    """Return a world whose primary has a command in flight and gets no answers from its backup."""
    world, _, _ = bootstrapped_core(THREE_LOCALITIES)
    world.run_for(1.0)
    machine, view = primary_and_view(world)
    world.blocked_links.add((view.replicas[1].address, machine.address))
    first_outcomes: list[Outcome] = []
    world.call(machine, lambda request: Submit(request, change(0, 5, "first")), first_outcomes.append)
    world.run_for(0.05)
    return world, machine, first_outcomes


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_a_cancelled_command_never_takes_effect_not_even_in_the_next_view(is_cancelled: bool) -> None:
    """Without cancellation it takes effect: the next view, without the backup, takes over the queue."""
    world, machine, _ = primary_with_blocked_backup()
    assert machine.incarnation is not None
    incarnation = machine.incarnation
    requests: list[int] = []

    def submit(request: int) -> Submit:
        requests.append(request)
        return Submit(request, change(5, 7, "second"))

    world.call(machine, submit, lambda outcome: None)
    world.run_for(0.05)
    assert incarnation.replica._leader_role.primary is not None
    assert len(incarnation.replica._leader_role.primary._queue) == 1, "the situation is reached"
    if is_cancelled:
        machine.deliver(incarnation, CancelCall(requests[0]))
    world.run_for(4.0)
    _, view = primary_and_view(world)
    assert view.epoch.number > 1, "the queue was taken over by another view"
    outcomes: list[Outcome] = []
    world.call(primary_and_view(world)[0], ReadNewest, outcomes.append)
    world.run_for(1.0)
    assert ("5|7|second" in outcomes[0].state) is not is_cancelled  # type: ignore[union-attr]


def test_a_cancelled_read_gets_no_answer() -> None:
    world, machine, _ = primary_with_blocked_backup()
    assert machine.incarnation is not None
    outcomes: list[Outcome] = []
    world.call(machine, ReadNewest, outcomes.append)
    world.run_for(0.01)
    assert world._last_request
    machine.deliver(machine.incarnation, CancelCall(world._last_request))
    world.run_for(5.0)
    assert outcomes == []
