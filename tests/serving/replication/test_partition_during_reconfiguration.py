"""A coordinator is partitioned for 21 s while it joins or leaves the core, under concurrent operators."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from core_history import Verdict
from core_schedules import Schedule
from core_world import Machine, World
from test_core_faults import primary_and_view

from coveport.serving.replication.events import ShutdownRequested

PARTITION_S = 21.0
SEEDS = range(4)


def partition(world: World, machine: Machine) -> Callable[[], None]:
    """Block all links of a machine; return a function that unblocks them."""
    links = {(machine.address, peer) for peer in world.machines}
    links |= {(receiver, sender) for sender, receiver in links}
    world.blocked_links |= links
    return lambda: world.blocked_links.difference_update(links)


def join_core(schedule: Schedule, after_s: float) -> Machine:
    """Remove a member for good and start its replacement; return the replacement `after_s` later."""
    world = schedule.world
    _, view = primary_and_view(world)
    removed_machine = world.machines[world.random.choice(view.members).address]
    removed_machine.remove()
    newcomer = world.add_machine(removed_machine.locality)
    newcomer.start()
    world.run_for(after_s)
    return newcomer


def leave_core(schedule: Schedule, after_s: float) -> Machine:
    """Shut down a member that a spare could replace; return that member `after_s` later."""
    world = schedule.world
    _, view = primary_and_view(world)
    member = world.machines[world.random.choice(view.members).address]
    newcomer = world.add_machine(member.locality)
    newcomer.start()
    world.run_for(1.5)
    assert member.incarnation is not None
    member.deliver(member.incarnation, ShutdownRequested())
    world.run_for(after_s)
    return member


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.5, 1.0, 1.2, 1.5, 2.0])
@pytest.mark.parametrize("reconfigure", [join_core, leave_core])
def test_a_coordinator_partitioned_while_joining_or_leaving_catches_up(
    reconfigure: Callable[[Schedule, float], Machine], after_s: float, seed: int
) -> None:
    schedule = Schedule(9000 + seed)
    world = schedule.world
    world.loss = 0.0
    world.start_all()
    world.run_for(6.0, until=lambda: bool(world.primaries()))
    world.run_for(4.0)
    for operator in schedule.operators:
        operator.begin()
    world.run_for(0.5)
    machine = reconfigure(schedule, after_s)
    heal = partition(world, machine)
    calls_before = len(schedule.calls)
    world.run_for(PARTITION_S)
    accepted_during_partition = [
        call for call in schedule.calls[calls_before:] if call.verdict is Verdict.ACCEPTED
    ]
    assert accepted_during_partition, "the other members accept changes"
    heal()
    world.run_for(3.0)
    assert schedule._finish().violations == []
    newest = primary_and_view(world)[0].incarnation
    assert newest is not None and machine.incarnation is not None
    assert (
        machine.incarnation.replica._context.committed_log.sequence
        == newest.replica._context.committed_log.sequence
    ), "the machine has caught up"
