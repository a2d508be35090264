"""Votes, copies and states of those that are no members, or are too old, count for nothing."""

from __future__ import annotations

import pytest
from core_history import Verdict
from core_world import Machine, World, change
from test_core_faults import THREE, founded, leader, write_one

from coveport.serving.replication.events import MessageRejected, Outcome, ReadNewest, Received, Submit
from coveport.serving.replication.identity import Epoch, MemberId, View
from coveport.serving.replication.messages import (
    Accepted,
    Append,
    Appended,
    CatchUpSnapshot,
    Confirmed,
    Install,
    Installed,
    Message,
    Promise,
)


def alone() -> tuple[World, Machine, View, list[Outcome]]:
    """A primary that no other can answer, asked to change and to read."""
    world, machine, view = founded(THREE)
    world.run_for(1.0)
    machine, view = leader(world)
    for peer in world.machines:
        world.blocked_links |= {(machine.address, peer), (peer, machine.address)}
    outcomes: list[Outcome] = []
    world.call(machine, lambda request: Submit(request, change(0, 5, "x")), outcomes.append)
    world.call(machine, ReadNewest, outcomes.append)
    world.run_for(0.1)
    return world, machine, view, outcomes


def tell(machine: Machine, sender: MemberId, message: Message) -> None:
    assert machine.incarnation is not None
    machine.deliver(machine.incarnation, Received(sender, message))


STRANGER = MemberId("10.0.0.77:7300", "another disk")


@pytest.mark.parametrize("who", ["stranger", "other disk at a member's address", "itself once more"])
def test_a_copy_or_confirmation_of_no_member_counts_for_nothing(who: str) -> None:
    world, machine, view, outcomes = alone()
    backup = view.replicas[1]
    senders = {
        "stranger": STRANGER,
        "other disk at a member's address": MemberId(backup.address, "another disk"),
        "itself once more": view.primary,
    }
    for round_number in range(1, 4):
        tell(machine, senders[who], Confirmed(view.epoch, round_number))
    tell(machine, senders[who], Appended(view.epoch, 1))
    world.run_for(0.1)
    assert outcomes == []


def test_an_answer_of_another_epoch_counts_for_nothing() -> None:
    world, machine, view, outcomes = alone()
    backup = view.replicas[1]
    for epoch in (Epoch(view.epoch.number - 1, view.epoch.candidate), Epoch(view.epoch.number, "another")):
        tell(machine, backup, Appended(epoch, 1))
        for round_number in range(1, 4):
            tell(machine, backup, Confirmed(epoch, round_number))
    world.run_for(0.1)
    assert outcomes == []


def test_promises_and_acceptances_of_strangers_bring_no_view_up() -> None:
    world, machine, view, _ = alone()
    world.run_for(1.5)
    assert machine.incarnation is not None
    member = machine.incarnation.replica
    attempt = member._leader_role.attempt
    epoch = attempt.epoch if attempt is not None else Epoch(view.epoch.number + 1, view.primary.disk)
    for sender in (STRANGER, MemberId(view.replicas[1].address, "another disk")):
        tell(machine, sender, Promise(epoch, view, view.epoch, view.epoch, 99))
        tell(machine, sender, Installed(epoch))
        tell(machine, sender, Accepted(epoch))
    world.run_for(0.05)
    assert member.view is not None
    assert member.view.epoch == view.epoch


@pytest.mark.parametrize("kind", ["append", "install"])
def test_a_backup_takes_nothing_below_its_promise(kind: str) -> None:
    world, _, view = founded(THREE)
    world.run_for(1.0)
    _, view = leader(world)
    backup = world.machines[view.replicas[1].address]
    assert backup.incarnation is not None
    before = backup.incarnation.replica._context.journal.durable
    held = (before.state_epoch, before.sequence, before.snapshot)
    old = Epoch(0, "a former primary")
    message: Message = Append(old, before.sequence + 1, change(0, 9, "old"), 0)
    if kind == "install":
        message = Install(old, 50, b"0|1|old")
    tell(backup, STRANGER, message)
    world.run_for(0.2)
    after = backup.incarnation.replica._context.journal.durable
    assert (after.state_epoch, after.sequence, after.snapshot) == held


UNREADABLE = b"\xff\xfe"


def test_a_state_that_cannot_be_read_is_not_installed_and_people_are_told() -> None:
    world, _, _ = founded(THREE)
    world.run_for(1.0)
    _, view = leader(world)
    witness = next(member for member in view.members if member not in view.replicas)
    incarnation = world.machines[witness.address].incarnation
    assert incarnation is not None
    before = incarnation.replica._context.journal.durable.state_epoch
    later = Epoch(view.epoch.number + 1, "d")
    effects = incarnation.replica.handle(world.now_s, Received(view.primary, Install(later, 5, UNREADABLE)))
    assert [type(effect) for effect in effects] == [MessageRejected], "nothing is written, nothing answered"
    assert incarnation.replica._context.journal.durable.state_epoch == before
    effects = incarnation.replica.handle(world.now_s, Received(view.primary, CatchUpSnapshot(99, UNREADABLE)))
    assert [type(effect) for effect in effects] == [MessageRejected]
    assert incarnation.replica._context.committed_log.sequence < 99


def test_nobody_leads_with_a_state_that_cannot_be_read_and_another_copy_is_used() -> None:
    world, machine, view = founded(THREE)
    world.run_for(1.0)
    machine, view = leader(world)
    assert write_one(world).verdict is Verdict.ACCEPTED
    backup = world.machines[view.replicas[1].address]
    assert backup.incarnation is not None and machine.incarnation is not None
    taken = machine.incarnation.committed[-1][1]
    durable = backup.incarnation.replica._context.journal.durable
    durable.snapshot, durable.commands = UNREADABLE, [b""] * (durable.sequence - durable.snapshot_sequence)
    backup.incarnation.replica._context.acceptor.encoded_state = lambda: UNREADABLE  # type: ignore[method-assign]
    machine.kill(power=True)
    world.run_for(4.0)
    assert world.primaries() == [], "the only copy that is there can't be read"
    machine.start()
    world.run_for(4.0, until=lambda: bool(world.primaries()))
    leading, _ = leader(world)
    assert leading.incarnation is not None
    assert leading.incarnation.committed[-1][1][: len(taken)] == taken


def test_one_that_knows_no_view_confirms_nothing() -> None:
    """A replaced machine that was cut off at once counted itself a majority of nobody."""
    world, machine, view = founded(THREE)
    blank = world.add_machine(THREE[0])
    for peer in list(world.machines):
        world.blocked_links |= {(peer, blank.address), (blank.address, peer)}
    blank.start()
    world.run_for(1.0)
    assert blank.incarnation is not None and machine.incarnation is not None
    assert blank.incarnation.replica.view is None
    peers = [member for member in view.members]
    assert not blank.incarnation.replica.is_majority(peers)
    assert machine.incarnation.replica.is_majority(peers[1:])
    strangers = [
        MemberId(member.address, "a new disk") for member in peers if member.address != machine.address
    ]
    assert not machine.incarnation.replica.is_majority(strangers), "a wiped machine is another member"
