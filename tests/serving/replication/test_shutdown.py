"""A shutdown or replacement, and a second loss right after it."""

from __future__ import annotations

import pytest
from core_history import Verdict
from core_world import Machine, World
from test_core_faults import SIX, THREE, founded, leader, write_one

from coveport.serving.replication.events import (
    ShutdownRequested,
)

GRACE_PART_S = 4.0  # that a stop may wait for the view without it


def shut_down(world: World, machine: Machine) -> float:
    """SIGTERM; the process ends when it may, and stays away. How long that took."""
    incarnation = machine.incarnation
    assert incarnation is not None
    began_s = world.now_s
    machine.deliver(incarnation, ShutdownRequested())
    world.run_for(GRACE_PART_S, until=lambda: incarnation.replica.is_safe_to_stop(world.now_s))
    machine.kill()
    return world.now_s - began_s


def founded_with_spare(losses: int) -> World:
    """One machine more than there are members."""
    localities = [*THREE, THREE[0]] if losses == 1 else SIX
    world, _, _ = founded(localities, losses)
    world.run_for(6.0)
    _, view = leader(world)
    assert len(view.members) == 2 * losses + 1 < len(world.machines)
    return world


@pytest.mark.parametrize("losses", [1, 2])
@pytest.mark.parametrize("which", ["primary", "backup", "witness", "spare"])
def test_a_planned_shutdown_ends_only_when_others_have_its_replica_and_its_vote(
    losses: int, which: str
) -> None:
    world = founded_with_spare(losses)
    machine, view = leader(world)
    assert write_one(world).verdict is Verdict.ACCEPTED
    leaving = {
        "primary": machine.address,
        "backup": view.replicas[1].address,
        "witness": next((m for m in view.members if m not in view.replicas), view.members[-1]).address,
        "spare": next(a for a in world.machines if a not in {m.address for m in view.members}),
    }[which]
    took_s = shut_down(world, world.machines[leaving])
    assert took_s < 2.0, "it does not wait for the time of grace to run out"
    _, after = leader(world)
    assert leaving not in {member.address for member in (*after.replicas, *after.members)}
    assert len(after.members) == 2 * losses + 1
    # the next loss comes at the very moment at which it has ended
    for lost in after.replicas[:losses]:
        world.machines[lost.address].remove()
    assert write_one(world).verdict is Verdict.ACCEPTED


@pytest.mark.parametrize("seed", range(6))
def test_two_shutdowns_at_once_leave_a_replica(seed: int) -> None:
    world = World(seed, SIX, 2, 0.035)
    world.start_all()
    world.run_for(10.0)
    _, view = leader(world)
    incarnations = [world.machines[member.address] for member in view.replicas[:2]]
    for machine in incarnations:
        assert machine.incarnation is not None
        machine.deliver(machine.incarnation, ShutdownRequested())
    ended = [machine.incarnation for machine in incarnations]
    world.run_for(
        GRACE_PART_S,
        until=lambda: all(
            incarnation and incarnation.replica.is_safe_to_stop(world.now_s) for incarnation in ended
        ),
    )
    assert all(incarnation and incarnation.replica.is_safe_to_stop(world.now_s) for incarnation in ended)
    for machine in incarnations:
        machine.wipe()
    assert write_one(world).verdict is Verdict.ACCEPTED


def test_a_shutdown_without_a_successor_lasts_for_its_grace_period() -> None:
    """Two of three are down: no view without it can come, so it serves on until its time is over."""
    world, _, _ = founded(THREE)
    world.run_for(1.0)
    machine, _ = leader(world)
    for peer in list(world.machines.values()):
        if peer is not machine:
            peer.kill()
    assert shut_down(world, machine) >= GRACE_PART_S - 0.1


def test_a_replacement_started_first_has_the_vote_before_the_shutdown_ends() -> None:
    """Before, the vote went over after 3 s of silence; the next loss may come before that."""
    world, _, _ = founded(THREE)
    world.run_for(1.0)
    _, view = leader(world)
    old = world.machines[view.replicas[1].address]
    newcomer = world.add_machine(old.locality)
    newcomer.start()
    world.run_for(2.0)
    shut_down(world, old)
    old.remove()
    _, after = leader(world)
    assert newcomer.address in {member.address for member in after.members}
    first, *_ = [m for m in after.members if m.address != newcomer.address]
    world.machines[first.address].remove()
    assert write_one(world).verdict is Verdict.ACCEPTED
