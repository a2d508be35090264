"""A member that missed a thousand changes catches up from about one snapshot, and can then lead."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from core_risk import SentBytesCounter
from core_world import ACCEPTED, SYNC_S, Machine, World, change, edition_of
from test_core_faults import THREE_LOCALITIES, bootstrapped_core, primary_and_view

from coveport.serving.replication.events import Done, Outcome, Submit
from coveport.serving.replication.state_machine import Refused

CHANGES = 1_000
CATCH_UP_S = 4.0  # the shortest catch-up time that docs/ grants a machine that is back


def submit(world: World, edition: int) -> bool:
    """Submit the change to the next edition, up to four times; return whether it was acknowledged.

    A primary whose disk rejects writes notices this at the first change, and steps down.
    """
    command = change(edition, edition + 1, "c")
    return any(submit_once(world, command) for _ in range(4))


def submit_once(world: World, command: bytes) -> bool:
    """Submit a command to the primary once; return whether it is acknowledged or already applied."""
    outcomes: list[Outcome] = []
    world.run_for(4.0, until=lambda: bool(world.primaries()))
    machine, _ = primary_and_view(world)
    world.call(machine, lambda request: Submit(request, command), outcomes.append)
    world.run_for(5.0, until=lambda: bool(outcomes))
    return bool(outcomes) and outcomes[0] in (Done("done"), Refused(ACCEPTED))


def isolate(world: World, machine: Machine) -> Callable[[], object]:
    links = {(machine.address, peer) for peer in world.machines}
    links |= {(receiver, sender) for sender, receiver in links}
    world.blocked_links |= links
    return world.blocked_links.clear


def lose_power(world: World, machine: Machine) -> Callable[[], object]:
    machine.kill(power=True)
    return machine.start


def freeze_machine(world: World, machine: Machine) -> Callable[[], object]:
    machine.freeze()
    return machine.thaw


def slow_disk(world: World, machine: Machine) -> Callable[[], object]:
    def heal() -> None:
        machine.disk.sync_s = SYNC_S

    machine.disk.sync_s = 500 * SYNC_S
    return heal


def full_disk(world: World, machine: Machine) -> Callable[[], object]:
    def heal() -> None:
        machine.disk.rejects_writes = False

    machine.disk.rejects_writes = True
    return heal


def committed_edition(machine: Machine) -> int:
    """Return the edition of a coordinator's committed state; 0 without a state."""
    assert machine.incarnation is not None
    state = machine.incarnation.replica._context.committed_log.state
    return edition_of(state) if state else 0


@pytest.mark.parametrize("role", ["primary", "backup", "witness"])
@pytest.mark.parametrize("fault", [isolate, lose_power, freeze_machine, slow_disk, full_disk])
def test_a_member_that_missed_a_thousand_changes_leads_with_all_of_them(
    fault: Callable[[World, Machine], Callable[[], object]], role: str
) -> None:
    world, _, _ = bootstrapped_core(THREE_LOCALITIES)
    world.run_for(1.0)
    _, view = primary_and_view(world)
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
    has_missed_changes = committed_edition(victim) < CHANGES - 64 if victim.incarnation else True
    assert has_missed_changes or fault in (slow_disk, full_disk), "the situation is reached"
    heal()
    sent = SentBytesCounter(world, victim.address)
    started_at_s = world.now_s
    world.run_for(CATCH_UP_S, until=lambda: committed_edition(victim) == CHANGES)
    assert committed_edition(victim) == CHANGES
    assert world.now_s - started_at_s < CATCH_UP_S - 1.0
    state_bytes = 10 * CHANGES
    assert sent.bytes < 4 * state_bytes, "catch-up costs the size of the state, not the number of changes"
    fail_over_to(world, victim)
    assert committed_edition(victim) == CHANGES
    assert submit(world, CHANGES)


def test_a_large_snapshot_that_takes_seconds_to_send_is_sent_once_by_each_peer() -> None:
    """Guards against resends every half second, which overfilled the connection so that none arrived."""
    world = World(4, [*THREE_LOCALITIES, THREE_LOCALITIES[0]], 1, 0.012)
    world.start_all()
    world.run_for(6.0)
    machine, view = primary_and_view(world)
    learner = next(
        peer
        for peer in world.machines.values()
        if peer.address not in {member.address for member in view.members}
    )
    heal = isolate(world, learner)
    world.run_for(2.0)
    outcomes: list[Outcome] = []
    value_bytes = 3_000_000
    large = change(0, 1, "v" * value_bytes)
    world.call(machine, lambda request: Submit(request, large), outcomes.append)
    world.run_for(1.0)
    assert outcomes == [Done("done")]
    world.bytes_per_s = 1.5e6
    heal()
    sent = SentBytesCounter(world, learner.address)
    world.run_for(8.0, until=lambda: committed_edition(learner) == 1)
    assert committed_edition(learner) == 1
    assert sent.bytes < (len(world.machines) - 0.5) * value_bytes


def fail_over_to(world: World, victim: Machine) -> None:
    """Stop the other machines one after the other, with time to catch up between, until the victim leads."""
    for _ in range(8):
        machine, _ = primary_and_view(world)
        if machine is victim:
            return
        peers = [peer for peer in world.machines.values() if peer not in (victim, machine)]
        for peer in peers:
            peer.kill(power=True)
        world.run_for(CATCH_UP_S)
        for peer in peers:
            peer.start()
        world.run_for(CATCH_UP_S)
        machine, _ = primary_and_view(world)
        if machine is victim:
            return
        machine.kill(power=True)
        world.run_for(CATCH_UP_S)
        machine.start()
        world.run_for(CATCH_UP_S)
    raise AssertionError("the victim never led")
