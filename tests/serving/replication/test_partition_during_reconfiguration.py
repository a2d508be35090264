"""A coordinator is cut off for twenty seconds just as it is taken in or leaves, while operators go on."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from core_history import Verdict
from core_schedules import Schedule
from core_world import Machine, World
from test_core_faults import leader

from coveport.serving.replication.events import ShutdownRequested

CUT_S = 21.0
SEEDS = range(4)


def partition(world: World, machine: Machine) -> Callable[[], None]:
    """Nothing passes between it and any other; what ends that."""
    links = {(machine.address, peer) for peer in world.machines}
    links |= {(receiver, sender) for sender, receiver in links}
    world.blocked_links |= links
    return lambda: world.blocked_links.difference_update(links)


def taken_in(schedule: Schedule, after_s: float) -> Machine:
    """A member is gone for good; its successor comes, and is cut off so long after its start."""
    world = schedule.world
    _, view = leader(world)
    victim = world.machines[world.random.choice(view.members).address]
    victim.remove()
    newcomer = world.add_machine(victim.locality)
    newcomer.start()
    world.run_for(after_s)
    return newcomer


def leaving(schedule: Schedule, after_s: float) -> Machine:
    """A member was told to stop so long ago; another could take its place."""
    world = schedule.world
    _, view = leader(world)
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
@pytest.mark.parametrize("role", [taken_in, leaving])
def test_cut_off_as_it_comes_or_goes(
    role: Callable[[Schedule, float], Machine], after_s: float, seed: int
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
    machine = role(schedule, after_s)
    heal = partition(world, machine)
    acknowledged = len(schedule.calls)
    world.run_for(CUT_S)
    while_cut = [call for call in schedule.calls[acknowledged:] if call.verdict is Verdict.ACCEPTED]
    assert while_cut, "the others go on"
    heal()
    world.run_for(3.0)
    assert schedule._finish().violations == []
    newest = leader(world)[0].incarnation
    assert newest is not None and machine.incarnation is not None
    assert (
        machine.incarnation.replica._context.committed_log.sequence
        == newest.replica._context.committed_log.sequence
    ), "it caught up"
