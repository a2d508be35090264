"""Bootstrap, writes, reads, restarts and one fail-over, in a world without further faults."""

from __future__ import annotations

from core_world import World, change

from coveport.serving.replication.events import Done, Newest, Outcome, ReadNewest, Submit
from coveport.serving.replication.identity import Locality

THREE_LOCALITIES = [Locality("a1", "a"), Locality("b1", "b"), Locality("c1", "c")]


def bootstrapped_world(seed: int = 1, **settings: object) -> World:
    world = World(seed, THREE_LOCALITIES, **settings)  # type: ignore[arg-type]
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


def test_three_seeds_bootstrap_one_core_and_accept_a_change() -> None:
    world = bootstrapped_world()
    assert write(world, change(0, 5, "x")) == Done("done")
    assert read(world) == Newest(1, ("0|5|x",))
    world.run_for(1.0)
    for machine in world.machines.values():
        assert machine.incarnation is not None
        assert machine.incarnation.committed[-1][1] == ("0|5|x",)


def test_another_member_leads_after_the_primary_is_killed() -> None:
    world = bootstrapped_world()
    assert write(world, change(0, 5, "x")) == Done("done")
    killed_machine = world.primary()
    assert killed_machine is not None
    killed_machine.kill()
    killed_at_s = world.now_s
    world.run_for(5.0, until=lambda: bool(world.primaries()))
    assert world.now_s - killed_at_s < 2.0
    assert read(world) == Newest(1, ("0|5|x",))
    assert write(world, change(5, 9, "y")) == Done("done")


def test_all_killed_at_once_come_back_with_what_was_acknowledged() -> None:
    world = bootstrapped_world()
    assert write(world, change(0, 5, "x")) == Done("done")
    for machine in world.machines.values():
        machine.kill(power=True)
    world.run_for(0.5)
    world.start_all(first_boot=False)
    started_at_s = world.now_s
    world.run_for(5.0, until=lambda: bool(world.primaries()))
    assert world.now_s - started_at_s < 2.0
    assert read(world) == Newest(1, ("0|5|x",))


def test_a_restart_of_all_members_skips_the_startup_election_delay() -> None:
    world = bootstrapped_world()
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
            "a new primary sends the state to the members without one"
        )


def test_the_bootstrap_proposer_starts_no_election_against_its_own_view() -> None:
    for seed in range(1, 8):
        world = bootstrapped_world(seed)
        world.run_for(1.0)
        primary = world.primary()
        assert primary is not None and primary.incarnation is not None
        assert primary.incarnation.replica.describe()["epoch"] == 1


def test_a_restarted_member_does_not_replace_an_active_primary() -> None:
    for seed in range(1, 8):
        world = bootstrapped_world(seed)
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
