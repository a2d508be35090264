"""Founding, writing, reading and one hand-over, each in a calm world."""

from __future__ import annotations

from core_world import World, change

from coveport.serving.replication.events import Done, Newest, Outcome, ReadNewest, Submit
from coveport.serving.replication.identity import Locality

THREE = [Locality("a1", "a"), Locality("b1", "b"), Locality("c1", "c")]


def founded(seed: int = 1, **settings: object) -> World:
    world = World(seed, THREE, **settings)  # type: ignore[arg-type]
    world.start_all()
    world.run_for(4.0, until=lambda: bool(world.primaries()))
    assert world.primaries()
    return world


def write(world: World, command: bytes, wait_s: float = 3.0) -> Outcome | None:
    outcomes: list[Outcome] = []
    machine = world.primary()
    assert machine is not None
    world.call(machine, lambda request: Submit(request, command), outcomes.append)
    world.run_for(wait_s, until=lambda: bool(outcomes))
    return outcomes[0] if outcomes else None


def read(world: World) -> Outcome | None:
    outcomes: list[Outcome] = []
    machine = world.primary()
    assert machine is not None
    world.call(machine, ReadNewest, outcomes.append)
    world.run_for(3.0, until=lambda: bool(outcomes))
    return outcomes[0] if outcomes else None


def test_three_seeds_found_one_core_and_take_a_change() -> None:
    world = founded()
    assert write(world, change(0, 5, "x")) == Done("done")
    assert read(world) == Newest(1, ("0|5|x",))
    world.run_for(1.0)
    for machine in world.machines.values():
        assert machine.incarnation is not None
        assert machine.incarnation.committed[-1][1] == ("0|5|x",)


def test_another_leads_after_the_primary_is_killed() -> None:
    world = founded()
    assert write(world, change(0, 5, "x")) == Done("done")
    lost = world.primary()
    assert lost is not None
    lost.kill()
    killed_at_s = world.now_s
    world.run_for(5.0, until=lambda: bool(world.primaries()))
    assert world.now_s - killed_at_s < 2.0
    assert read(world) == Newest(1, ("0|5|x",))
    assert write(world, change(5, 9, "y")) == Done("done")


def test_all_killed_at_once_come_back_with_what_was_acknowledged() -> None:
    world = founded()
    assert write(world, change(0, 5, "x")) == Done("done")
    for machine in world.machines.values():
        machine.kill(power=True)
    world.run_for(0.5)
    world.start_all(first_boot=False)
    started_at_s = world.now_s
    world.run_for(5.0, until=lambda: bool(world.primaries()))
    assert world.now_s - started_at_s < 2.0
    assert read(world) == Newest(1, ("0|5|x",))


def test_members_that_all_started_anew_do_not_wait_to_listen() -> None:
    world = founded()
    assert write(world, change(0, 5, "x")) == Done("done")
    for machine in world.machines.values():
        machine.kill()
    world.run_for(0.5)
    world.start_all(first_boot=False)
    started_at_s = world.now_s
    world.run_for(5.0, until=lambda: bool(world.primaries()))
    assert world.now_s - started_at_s < 0.45
    world.run_for(0.1)
    for machine in world.machines.values():
        assert machine.incarnation is not None
        assert machine.incarnation.committed[-1][1] == ("0|5|x",), (
            "a new primary teaches those without a state"
        )


def test_a_founder_does_not_stand_against_its_own_founding() -> None:
    for seed in range(1, 8):
        world = founded(seed)
        world.run_for(1.0)
        primary = world.primary()
        assert primary is not None and primary.incarnation is not None
        assert primary.incarnation.replica.describe()["epoch"] == 1


def test_one_that_starts_anew_beside_a_primary_leaves_it_in_place() -> None:
    for seed in range(1, 8):
        world = founded(seed)
        primary = world.primary()
        assert primary is not None
        peers = [machine for machine in world.machines.values() if machine is not primary]
        for machine in peers:
            machine.kill()
            world.run_for(0.1)
            machine.start()
            world.run_for(1.5)
        assert world.primary() is primary
        assert primary.incarnation is not None
        assert primary.incarnation.replica.describe()["epoch"] == 1
