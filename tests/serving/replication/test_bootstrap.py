"""Bootstrap of the core with seeds that lose their disks, and cases in which no bootstrap may happen."""

from __future__ import annotations

from unittest import mock

import pytest
from core_schedules import run_schedule
from core_world import World, change
from test_core_basics import THREE_LOCALITIES, read, write

from coveport.serving.replication import bootstrap, leader_role
from coveport.serving.replication.events import Done, Newest
from coveport.serving.replication.identity import Locality, MemberId
from coveport.serving.replication.replica_context import ReplicaContext

FIVE_LOCALITIES = [*THREE_LOCALITIES, Locality("a2", "a"), Locality("b2", "b")]
BOOTSTRAP_TIMEOUT_S = 5.0
# Seconds since the start, before and after the activation of the first view.
WIPE_TIMES_S = [0.05, 0.25, 0.3, 0.35, 0.4, 0.45, 0.5, 0.55, 0.6, 0.7, 0.8, 1.0]


def bootstrap_with_wipes(
    localities: list[Locality], seed: int, wipes: dict[int, float], losses: int = 1
) -> World:
    """Return a world in which some machines lost their disks around the bootstrap.

    `wipes` maps the number of a machine to the time of its disk loss, in seconds since the start. If the core
    is to tolerate two `losses`, all three seeds are replicas of the first view.
    """
    world = World(seed, localities, tolerated_losses=losses)
    world.start_all()
    machines = list(world.machines.values())
    for machine_number, at_s in sorted(wipes.items(), key=lambda item: item[1]):
        world.run_until(at_s)
        machine = machines[machine_number]
        machine.wipe()
        world.after(0.2, machine.start)  # no longer a first boot
    world.run_for(BOOTSTRAP_TIMEOUT_S, until=lambda: bool(world.primaries()))
    return world


@pytest.mark.parametrize("machine_number", [0, 1, 2])
@pytest.mark.parametrize("at_s", WIPE_TIMES_S)
def test_a_core_is_founded_though_a_seed_lost_its_disk(machine_number: int, at_s: float) -> None:
    """Guards against a bootstrap that waits forever for a seed whose new disk may never bootstrap."""
    for localities in (THREE_LOCALITIES, FIVE_LOCALITIES):
        world = bootstrap_with_wipes(localities, 7 + machine_number, {machine_number: at_s})
        assert world.primaries()
        assert write(world, change(0, 5, "x")) == Done("done")
        world.run_for(6.0)
        assert read(world) == Newest(1, ("0|5|x",))
        members = {member.address for member in world.primaries()[0].incarnation.replica.view.members}  # type: ignore[union-attr]
        assert len(members) == 3, "the machine with the new disk, or a spare, becomes a member"


@pytest.mark.parametrize("at_s", WIPE_TIMES_S)
def test_two_seeds_with_new_disks_do_not_bootstrap_without_the_third(at_s: float) -> None:
    """One seed is no majority; an active view must date from before the wipes, with the third seed."""
    world = bootstrap_with_wipes(THREE_LOCALITIES, 3, {0: at_s, 1: at_s})
    views = [
        machine.incarnation.replica.view
        for machine in world.machines.values()
        if machine.incarnation is not None and machine.incarnation.replica.is_primary
    ]
    for view in views:
        assert view is not None
        assert any(member.address == list(world.machines)[2] for member in view.members)


def test_seeds_do_not_bootstrap_while_another_seed_has_a_view() -> None:
    """A wiped seed meets seeds that already have a view: the core goes on, with no second bootstrap."""
    world = bootstrap_with_wipes(THREE_LOCALITIES, 5, {})
    assert write(world, change(0, 5, "x")) == Done("done")
    epochs = {machine.incarnation.replica.view_epoch for machine in world.primaries() if machine.incarnation}
    machines = list(world.machines.values())
    machines[0].wipe()
    machines[0].start()
    world.run_for(6.0)
    assert read(world) == Newest(1, ("0|5|x",))
    epochs_after = {
        machine.incarnation.replica.view_epoch for machine in world.primaries() if machine.incarnation
    }
    assert min(epochs_after) >= min(epochs)


def test_a_single_seed_does_not_bootstrap_while_the_others_have_new_disks() -> None:
    """The other seeds may have belonged to a core before they lost their disks."""
    world = World(3, THREE_LOCALITIES)
    for machine_number, machine in enumerate(world.machines.values()):
        machine.start(first_boot=machine_number == 2)
    world.run_for(BOOTSTRAP_TIMEOUT_S)
    assert world.primaries() == []


def ready_seeds_without_majority(
    context: ReplicaContext, seeds: tuple[str, ...], now_s: float
) -> tuple[MemberId, ...] | None:
    """Return the ready seeds without requiring a majority (a broken variant)."""
    return bootstrap.ready_seeds(context, seeds[-1:], now_s)


@pytest.mark.parametrize("machine_number", [0, 1, 2])
@pytest.mark.parametrize("at_s", WIPE_TIMES_S)
def test_bootstrap_succeeds_though_a_replica_of_the_first_view_lost_its_disk(
    machine_number: int, at_s: float
) -> None:
    """When the core must tolerate two losses, all three seeds are replicas."""
    for seed in range(4):
        world = bootstrap_with_wipes(FIVE_LOCALITIES, seed, {machine_number: at_s}, losses=2)
        assert world.primaries(), seed
        assert write(world, change(0, 5, "x")) == Done("done")


# The schedule in which a replica loses its disk while the first state is in flight.
SEED_WITH_DISK_LOSS_DURING_INSTALL = 12


def test_a_proposer_gives_up_when_a_replica_of_its_first_view_lost_its_disk() -> None:
    assert run_schedule(SEED_WITH_DISK_LOSS_DURING_INSTALL).violations == []


def test_a_variant_whose_proposer_never_gives_up_is_caught() -> None:
    """The proposer resends to the lost disk forever, and no other seed has a view for an election."""
    with mock.patch.object(bootstrap.Bootstrap, "has_lost_member", return_value=False):
        assert run_schedule(SEED_WITH_DISK_LOSS_DURING_INSTALL).violations == [
            "no primary within 6 s of the start"
        ]


def ready_seeds_if_all_usable(
    context: ReplicaContext, seeds: tuple[str, ...], now_s: float
) -> tuple[MemberId, ...] | None:
    """Return the ready seeds only if all seeds may bootstrap (a broken variant)."""
    members = bootstrap.ready_seeds(context, seeds, now_s)
    return members if members is not None and len(members) == len(seeds) else None


def test_a_variant_that_bootstraps_without_a_majority_is_caught() -> None:
    with (
        mock.patch.object(leader_role, "ready_seeds", ready_seeds_without_majority),
        pytest.raises(AssertionError),
    ):
        test_a_single_seed_does_not_bootstrap_while_the_others_have_new_disks()


def test_a_variant_that_waits_for_all_seeds_is_caught() -> None:
    """A seed with a new disk may never bootstrap, so a proposer that requires it waits forever."""
    with mock.patch.object(leader_role, "ready_seeds", ready_seeds_if_all_usable):
        failed_wipes = [
            (machine_number, at_s)
            for machine_number in range(3)
            for at_s in WIPE_TIMES_S
            if not bootstrap_with_wipes(
                THREE_LOCALITIES, 7 + machine_number, {machine_number: at_s}
            ).primaries()
        ]
    assert failed_wipes
