"""A member misses a thousand changes, comes back, and must lead: with all of them, for one state sent."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from core_risk import Sent
from core_world import ACCEPTED, SYNC_S, Machine, World, change, edition_of
from test_core_faults import THREE, founded, leader

from coveport.serving.replication.events import Done, Outcome, Submit
from coveport.serving.replication.state_machine import Refused

CHANGES = 1_000
CATCH_UP_S = 4.0  # the least that the pages give a machine that is back


def submit(world: World, edition: int) -> bool:
    """Have the primary bring the next edition into force, again while that is unclear; whether it did.

    One whose disk refuses notices that at the first change, and hands over.
    """
    command = change(edition, edition + 1, "c")
    return any(is_taken(world, command) for _ in range(4))


def is_taken(world: World, command: bytes) -> bool:
    """Ask the primary once."""
    outcomes: list[Outcome] = []
    world.run_for(4.0, until=lambda: bool(world.primaries()))
    machine, _ = leader(world)
    world.call(machine, lambda request: Submit(request, command), outcomes.append)
    world.run_for(5.0, until=lambda: bool(outcomes))
    return bool(outcomes) and outcomes[0] in (Done("done"), Refused(ACCEPTED))


def partition_fully(world: World, machine: Machine) -> Callable[[], object]:
    links = {(machine.address, peer) for peer in world.machines}
    links |= {(receiver, sender) for sender, receiver in links}
    world.blocked_links |= links
    return world.blocked_links.clear


def down(world: World, machine: Machine) -> Callable[[], object]:
    machine.kill(power=True)
    return machine.start


def frozen(world: World, machine: Machine) -> Callable[[], object]:
    machine.freeze()
    return machine.thaw


def slow_disk(world: World, machine: Machine) -> Callable[[], object]:
    def heal() -> None:
        machine.disk.sync_s = SYNC_S

    machine.disk.sync_s = 500 * SYNC_S
    return heal


def full_disk(world: World, machine: Machine) -> Callable[[], object]:
    def heal() -> None:
        machine.disk.refuses = False

    machine.disk.refuses = True
    return heal


def newest_known_to(machine: Machine) -> int:
    """The edition that a coordinator takes for committed."""
    assert machine.incarnation is not None
    state = machine.incarnation.replica._context.committed_log.state
    return edition_of(state) if state else 0


@pytest.mark.parametrize("role", ["primary", "backup", "witness"])
@pytest.mark.parametrize("fault", [partition_fully, down, frozen, slow_disk, full_disk])
def test_a_member_that_missed_a_thousand_changes_leads_with_all_of_them(
    fault: Callable[[World, Machine], Callable[[], object]], role: str
) -> None:
    world, _, _ = founded(THREE)
    world.run_for(1.0)
    _, view = leader(world)
    witness = next(member for member in view.members if member not in view.replicas)
    victim = world.machines[
        {"primary": view.primary, "backup": view.replicas[1], "witness": witness}[role].address
    ]
    heal = fault(world, victim)
    world.run_for(4.0)
    edition = 0
    while edition < CHANGES:
        assert submit(world, edition), edition
        edition += 1
    has_missed = newest_known_to(victim) < CHANGES - 64 if victim.incarnation else True
    assert has_missed or fault in (slow_disk, full_disk), "the situation is reached"
    heal()
    sent = Sent(world, victim.address)
    began_s = world.now_s
    world.run_for(CATCH_UP_S, until=lambda: newest_known_to(victim) == CHANGES)
    assert newest_known_to(victim) == CHANGES
    assert world.now_s - began_s < CATCH_UP_S - 1.0
    state_bytes = 10 * CHANGES
    assert sent.bytes < 4 * state_bytes, "it costs the size of the state, not the number of changes"
    make_it_lead(world, victim)
    assert newest_known_to(victim) == CHANGES
    assert submit(world, CHANGES)


def test_a_large_state_that_takes_seconds_on_its_way_is_sent_once_by_each_that_has_it() -> None:
    """Sent again every half second it filled the connection, which was dropped, and never arrived."""
    world = World(4, [*THREE, THREE[0]], 1, 0.012)
    world.start_all()
    world.run_for(6.0)
    machine, view = leader(world)
    learner = next(
        peer
        for peer in world.machines.values()
        if peer.address not in {member.address for member in view.members}
    )
    heal = partition_fully(world, learner)
    world.run_for(2.0)
    outcomes: list[Outcome] = []
    size = 3_000_000
    large = change(0, 1, "v" * size)
    world.call(machine, lambda request: Submit(request, large), outcomes.append)
    world.run_for(1.0)
    assert outcomes == [Done("done")]
    world.bytes_per_s = 1.5e6
    heal()
    sent = Sent(world, learner.address)
    world.run_for(8.0, until=lambda: newest_known_to(learner) == 1)
    assert newest_known_to(learner) == 1
    assert sent.bytes < (len(world.machines) - 0.5) * size


def make_it_lead(world: World, victim: Machine) -> None:
    """The others fail one after the other, each given its time, until the victim leads."""
    for _ in range(8):
        machine, _ = leader(world)
        if machine is victim:
            return
        peers = [peer for peer in world.machines.values() if peer not in (victim, machine)]
        for peer in peers:
            peer.kill(power=True)
        world.run_for(CATCH_UP_S)
        for peer in peers:
            peer.start()
        world.run_for(CATCH_UP_S)
        machine, _ = leader(world)
        if machine is victim:
            return
        machine.kill(power=True)
        world.run_for(CATCH_UP_S)
        machine.start()
        world.run_for(CATCH_UP_S)
    raise AssertionError("it never led")
