"""A shutdown or replacement of a member, followed at once by the loss of another machine."""

from __future__ import annotations

import pytest
from core_history import Verdict
from core_world import Machine, World
from test_core_faults import (
    SIX_LOCALITIES,
    THREE_LOCALITIES,
    bootstrapped_core,
    primary_and_view,
    read_and_write,
)

from coveport.serving.replication.events import (
    ShutdownRequested,
)

SHUTDOWN_TIMEOUT_S = 4.0  # how long a shutdown may wait for a view without the replica


def shut_down(world: World, machine: Machine) -> float:
    """Request a shutdown, and kill the process when it may stop; return how long that took, in seconds."""
    incarnation = machine.incarnation
    assert incarnation is not None
    started_at_s = world.now_s
    machine.deliver(incarnation, ShutdownRequested())
    world.run_for(SHUTDOWN_TIMEOUT_S, until=lambda: incarnation.replica.is_safe_to_stop(world.now_s))
    machine.kill()
    return world.now_s - started_at_s


def bootstrapped_core_with_spare(losses: int) -> World:
    """Return a world with one machine more than the core has members."""
    localities = [*THREE_LOCALITIES, THREE_LOCALITIES[0]] if losses == 1 else SIX_LOCALITIES
    world, _, _ = bootstrapped_core(localities, losses)
    world.run_for(6.0)
    _, view = primary_and_view(world)
    assert len(view.members) == 2 * losses + 1 < len(world.machines)
    return world


@pytest.mark.parametrize("losses", [1, 2])
@pytest.mark.parametrize("role", ["primary", "backup", "witness", "spare"])
def test_a_planned_shutdown_ends_only_after_its_replica_and_vote_have_moved(losses: int, role: str) -> None:
    world = bootstrapped_core_with_spare(losses)
    machine, view = primary_and_view(world)
    assert read_and_write(world).verdict is Verdict.ACCEPTED
    leaving_address = {
        "primary": machine.address,
        "backup": view.replicas[1].address,
        "witness": next((m for m in view.members if m not in view.replicas), view.members[-1]).address,
        "spare": next(a for a in world.machines if a not in {m.address for m in view.members}),
    }[role]
    duration_s = shut_down(world, world.machines[leaving_address])
    assert duration_s < 2.0, "the shutdown ends before its time-out"
    _, after = primary_and_view(world)
    assert leaving_address not in {member.address for member in (*after.replicas, *after.members)}
    assert len(after.members) == 2 * losses + 1
    # The next losses occur at the moment when the shutdown has ended.
    for lost in after.replicas[:losses]:
        world.machines[lost.address].remove()
    assert read_and_write(world).verdict is Verdict.ACCEPTED


@pytest.mark.parametrize("seed", range(6))
def test_two_shutdowns_at_once_leave_a_replica(seed: int) -> None:
    world = World(seed, SIX_LOCALITIES, 2, 0.035)
    world.start_all()
    world.run_for(10.0)
    _, view = primary_and_view(world)
    leaving_machines = [world.machines[member.address] for member in view.replicas[:2]]
    for machine in leaving_machines:
        assert machine.incarnation is not None
        machine.deliver(machine.incarnation, ShutdownRequested())
    stopping_incarnations = [machine.incarnation for machine in leaving_machines]
    world.run_for(
        SHUTDOWN_TIMEOUT_S,
        until=lambda: all(
            incarnation and incarnation.replica.is_safe_to_stop(world.now_s)
            for incarnation in stopping_incarnations
        ),
    )
    assert all(
        incarnation and incarnation.replica.is_safe_to_stop(world.now_s)
        for incarnation in stopping_incarnations
    )
    for machine in leaving_machines:
        machine.wipe()
    assert read_and_write(world).verdict is Verdict.ACCEPTED


def test_a_shutdown_without_a_successor_lasts_for_its_grace_period() -> None:
    """With two of three members down, the last one can't be replaced, so it runs until the time-out."""
    world, _, _ = bootstrapped_core(THREE_LOCALITIES)
    world.run_for(1.0)
    machine, _ = primary_and_view(world)
    for peer in list(world.machines.values()):
        if peer is not machine:
            peer.kill()
    assert shut_down(world, machine) >= SHUTDOWN_TIMEOUT_S - 0.1


def test_a_replacement_started_first_has_the_vote_before_the_shutdown_ends() -> None:
    """Guards against a vote that moves only after 3 s of silence; the next loss may occur earlier."""
    world, _, _ = bootstrapped_core(THREE_LOCALITIES)
    world.run_for(1.0)
    _, view = primary_and_view(world)
    replaced_machine = world.machines[view.replicas[1].address]
    newcomer = world.add_machine(replaced_machine.locality)
    newcomer.start()
    world.run_for(2.0)
    shut_down(world, replaced_machine)
    replaced_machine.remove()
    _, after = primary_and_view(world)
    assert newcomer.address in {member.address for member in after.members}
    lost_member, *_ = [m for m in after.members if m.address != newcomer.address]
    world.machines[lost_member.address].remove()
    assert read_and_write(world).verdict is Verdict.ACCEPTED
