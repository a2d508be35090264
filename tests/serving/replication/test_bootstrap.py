"""The first view of all: seeds whose disk is lost before or while it is made, and what must never happen."""

from __future__ import annotations

from unittest import mock

import pytest
from core_schedules import run_schedule
from core_world import World, change
from test_core_basics import THREE, read, write

from coveport.serving.replication import bootstrap, leader_role
from coveport.serving.replication.events import Done, Newest
from coveport.serving.replication.identity import Locality, MemberId
from coveport.serving.replication.replica_context import ReplicaContext

FIVE = [*THREE, Locality("a2", "a"), Locality("b2", "b")]
FOUND_WITHIN_S = 5.0
STEPS_S = [0.05, 0.25, 0.3, 0.35, 0.4, 0.45, 0.5, 0.55, 0.6, 0.7, 0.8, 1.0]  # around the first view


def found_after_wipes(places: list[Locality], seed: int, wipes: dict[int, float], losses: int = 1) -> World:
    """Return a world in which the disks of some machines (by number) were lost so long after the start.

    `losses`: of machines that are tolerated; with two all three seeds are replicas of the first view.
    """
    world = World(seed, places, tolerated_losses=losses)
    world.start_all()
    machines = list(world.machines.values())
    for number, at_s in sorted(wipes.items(), key=lambda item: item[1]):
        world.run_until(at_s)
        machine = machines[number]
        machine.wipe()
        world.after(0.2, machine.start)  # not the first boot any more
    world.run_for(FOUND_WITHIN_S, until=lambda: bool(world.primaries()))
    return world


@pytest.mark.parametrize("number", [0, 1, 2])
@pytest.mark.parametrize("at_s", STEPS_S)
def test_a_core_is_founded_though_a_seed_lost_its_disk(number: int, at_s: float) -> None:
    """Before, the others waited for ever for a seed that may never bootstrap again."""
    for places in (THREE, FIVE):
        world = found_after_wipes(places, 7 + number, {number: at_s})
        assert world.primaries()
        assert write(world, change(0, 5, "x")) == Done("done")
        world.run_for(6.0)
        assert read(world) == Newest(1, ("0|5|x",))
        members = {member.address for member in world.primaries()[0].incarnation.replica.view.members}  # type: ignore[union-attr]
        assert len(members) == 3, "the machine with a new disk is taken in, or a spare in its stead"


@pytest.mark.parametrize("at_s", STEPS_S)
def test_two_seeds_with_new_disks_found_no_core_of_their_own(at_s: float) -> None:
    """One seed is no majority; where a core was founded before, it must be the one that goes on."""
    world = found_after_wipes(THREE, 3, {0: at_s, 1: at_s})
    views = [
        machine.incarnation.replica.view
        for machine in world.machines.values()
        if machine.incarnation is not None and machine.incarnation.replica.is_primary
    ]
    for view in views:
        assert view is not None
        assert any(member.address == list(world.machines)[2] for member in view.members)


def test_seeds_of_a_first_boot_do_not_found_beside_one_that_knows_a_view() -> None:
    """All seeds are there, and one already belongs to a core: the others are no majority without it."""
    world = found_after_wipes(THREE, 5, {})
    assert write(world, change(0, 5, "x")) == Done("done")
    epochs = {machine.incarnation.replica.view_epoch for machine in world.primaries() if machine.incarnation}
    machines = list(world.machines.values())
    machines[0].wipe()
    machines[0].start()
    world.run_for(6.0)
    assert read(world) == Newest(1, ("0|5|x",))
    after = {machine.incarnation.replica.view_epoch for machine in world.primaries() if machine.incarnation}
    assert min(after) >= min(epochs)


def test_a_seed_alone_founds_nothing_while_the_others_have_new_disks() -> None:
    """They may have belonged to a core that it has not heard of."""
    world = World(3, THREE)
    for number, machine in enumerate(world.machines.values()):
        machine.start(first_boot=number == 2)
    world.run_for(FOUND_WITHIN_S)
    assert world.primaries() == []


def without_majority(
    context: ReplicaContext, seeds: tuple[str, ...], now_s: float
) -> tuple[MemberId, ...] | None:
    """Return whoever may bootstrap, however few."""
    return bootstrap.ready_seeds(context, seeds[-1:], now_s)


@pytest.mark.parametrize("number", [0, 1, 2])
@pytest.mark.parametrize("at_s", STEPS_S)
def test_a_core_is_founded_though_a_replica_of_the_first_view_lost_its_disk(number: int, at_s: float) -> None:
    """With two losses to be tolerated all three seeds are replicas."""
    for seed in range(4):
        world = found_after_wipes(FIVE, seed, {number: at_s}, losses=2)
        assert world.primaries(), seed
        assert write(world, change(0, 5, "x")) == Done("done")


INSTALLS_ON_A_LOST_DISK = 12  # the schedule that loses a replica's disk while the first state is on its way


def test_a_proposer_gives_up_when_a_replica_of_its_first_view_lost_its_disk() -> None:
    assert run_schedule(INSTALLS_ON_A_LOST_DISK).violations == []


def test_a_variant_whose_proposer_never_gives_up_is_caught() -> None:
    """It asks the lost disk for ever, and nobody else has a view to start an election in."""
    with mock.patch.object(bootstrap.Bootstrap, "has_lost_member", return_value=False):
        assert run_schedule(INSTALLS_ON_A_LOST_DISK).violations == ["never founded"]


def with_all_seeds(
    context: ReplicaContext, seeds: tuple[str, ...], now_s: float
) -> tuple[MemberId, ...] | None:
    """Return the seeds only where all of them may bootstrap."""
    members = bootstrap.ready_seeds(context, seeds, now_s)
    return members if members is not None and len(members) == len(seeds) else None


def test_a_variant_that_founds_without_a_majority_is_caught() -> None:
    with mock.patch.object(leader_role, "ready_seeds", without_majority), pytest.raises(AssertionError):
        test_a_seed_alone_founds_nothing_while_the_others_have_new_disks()


def test_a_variant_that_waits_for_all_seeds_is_caught() -> None:
    """As it was: one that has a new disk may never bootstrap, and was waited for."""
    with mock.patch.object(leader_role, "ready_seeds", with_all_seeds):
        never_founded = [
            (number, at_s)
            for number in range(3)
            for at_s in STEPS_S
            if not found_after_wipes(THREE, 7 + number, {number: at_s}).primaries()
        ]
    assert never_founded
