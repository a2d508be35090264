"""Votes, acknowledgements and states from non-members or from old epochs are ignored."""

from __future__ import annotations

import pytest
from core_history import Verdict
from core_world import Machine, World, change
from test_core_faults import THREE_LOCALITIES, bootstrapped_core, primary_and_view, read_and_write

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


def isolated_primary() -> tuple[World, Machine, View, list[Outcome]]:
    """Return a world with an isolated primary that has a command and a read pending."""
    world, machine, view = bootstrapped_core(THREE_LOCALITIES)
    world.run_for(1.0)
    machine, view = primary_and_view(world)
    for peer in world.machines:
        world.blocked_links |= {(machine.address, peer), (peer, machine.address)}
    outcomes: list[Outcome] = []
    world.call(machine, lambda request: Submit(request, change(0, 5, "x")), outcomes.append)
    world.call(machine, ReadNewest, outcomes.append)
    world.run_for(0.1)
    return world, machine, view, outcomes


def deliver_message(machine: Machine, sender: MemberId, message: Message) -> None:
    assert machine.incarnation is not None
    machine.deliver(machine.incarnation, Received(sender, message))


NON_MEMBER = MemberId("10.0.0.77:7300", "another disk")


@pytest.mark.parametrize(
    "sender_kind", ["non-member", "other disk at a member's address", "the primary itself"]
)
def test_acknowledgements_and_confirmations_of_non_members_are_ignored(sender_kind: str) -> None:
    world, machine, view, outcomes = isolated_primary()
    backup = view.replicas[1]
    senders = {
        "non-member": NON_MEMBER,
        "other disk at a member's address": MemberId(backup.address, "another disk"),
        "the primary itself": view.primary,
    }
    for round_number in range(1, 4):
        deliver_message(machine, senders[sender_kind], Confirmed(view.epoch, round_number))
    deliver_message(machine, senders[sender_kind], Appended(view.epoch, 1))
    world.run_for(0.1)
    assert outcomes == []


def test_answers_with_another_epoch_are_ignored() -> None:
    world, machine, view, outcomes = isolated_primary()
    backup = view.replicas[1]
    for epoch in (Epoch(view.epoch.number - 1, view.epoch.candidate), Epoch(view.epoch.number, "another")):
        deliver_message(machine, backup, Appended(epoch, 1))
        for round_number in range(1, 4):
            deliver_message(machine, backup, Confirmed(epoch, round_number))
    world.run_for(0.1)
    assert outcomes == []


def test_promises_and_acceptances_of_non_members_activate_no_view() -> None:
    world, machine, view, _ = isolated_primary()
    world.run_for(1.5)
    assert machine.incarnation is not None
    member = machine.incarnation.replica
    attempt = member._leader_role.attempt
    epoch = attempt.epoch if attempt is not None else Epoch(view.epoch.number + 1, view.primary.disk)
    for sender in (NON_MEMBER, MemberId(view.replicas[1].address, "another disk")):
        deliver_message(machine, sender, Promise(epoch, view, view.epoch, view.epoch, 99))
        deliver_message(machine, sender, Installed(epoch))
        deliver_message(machine, sender, Accepted(epoch))
    world.run_for(0.05)
    assert member.view is not None
    assert member.view.epoch == view.epoch


@pytest.mark.parametrize("kind", ["append", "install"])
def test_a_backup_rejects_requests_below_its_promise(kind: str) -> None:
    world, _, view = bootstrapped_core(THREE_LOCALITIES)
    world.run_for(1.0)
    _, view = primary_and_view(world)
    backup = world.machines[view.replicas[1].address]
    assert backup.incarnation is not None
    before = backup.incarnation.replica._context.journal.durable
    durable_before = (before.state_epoch, before.sequence, before.snapshot)
    old = Epoch(0, "a former primary")
    message: Message = Append(old, before.sequence + 1, change(0, 9, "old"), 0)
    if kind == "install":
        message = Install(old, 50, b"0|1|old")
    deliver_message(backup, NON_MEMBER, message)
    world.run_for(0.2)
    after = backup.incarnation.replica._context.journal.durable
    assert (after.state_epoch, after.sequence, after.snapshot) == durable_before


UNREADABLE = b"\xff\xfe"


def test_a_state_that_cannot_be_decoded_is_not_installed_but_reported() -> None:
    world, _, _ = bootstrapped_core(THREE_LOCALITIES)
    world.run_for(1.0)
    _, view = primary_and_view(world)
    witness = next(member for member in view.members if member not in view.replicas)
    incarnation = world.machines[witness.address].incarnation
    assert incarnation is not None
    before = incarnation.replica._context.journal.durable.state_epoch
    later = Epoch(view.epoch.number + 1, "d")
    effects = incarnation.replica.handle(world.now_s, Received(view.primary, Install(later, 5, UNREADABLE)))
    assert [type(effect) for effect in effects] == [MessageRejected], (
        "no record is written, no answer is sent"
    )
    assert incarnation.replica._context.journal.durable.state_epoch == before
    effects = incarnation.replica.handle(world.now_s, Received(view.primary, CatchUpSnapshot(99, UNREADABLE)))
    assert [type(effect) for effect in effects] == [MessageRejected]
    assert incarnation.replica._context.committed_log.sequence < 99


def test_no_member_leads_with_an_undecodable_state_and_another_replica_is_used() -> None:
    world, machine, view = bootstrapped_core(THREE_LOCALITIES)
    world.run_for(1.0)
    machine, view = primary_and_view(world)
    assert read_and_write(world).verdict is Verdict.ACCEPTED
    backup = world.machines[view.replicas[1].address]
    assert backup.incarnation is not None and machine.incarnation is not None
    acknowledged_state = machine.incarnation.committed[-1][1]
    durable = backup.incarnation.replica._context.journal.durable
    durable.snapshot, durable.commands = UNREADABLE, [b""] * (durable.sequence - durable.snapshot_sequence)
    backup.incarnation.replica._context.acceptor.encoded_state = lambda: UNREADABLE  # type: ignore[method-assign]
    machine.kill(power=True)
    world.run_for(4.0)
    assert world.primaries() == [], "the only replica that is left has an undecodable state"
    machine.start()
    world.run_for(4.0, until=lambda: bool(world.primaries()))
    new_primary, _ = primary_and_view(world)
    assert new_primary.incarnation is not None
    assert new_primary.incarnation.committed[-1][1][: len(acknowledged_state)] == acknowledged_state


def test_a_coordinator_without_a_view_never_counts_as_a_majority() -> None:
    """Guards against a new machine, isolated since its start, that counts as a majority of no members."""
    world, machine, view = bootstrapped_core(THREE_LOCALITIES)
    new_machine = world.add_machine(THREE_LOCALITIES[0])
    for peer in list(world.machines):
        world.blocked_links |= {(peer, new_machine.address), (new_machine.address, peer)}
    new_machine.start()
    world.run_for(1.0)
    assert new_machine.incarnation is not None and machine.incarnation is not None
    assert new_machine.incarnation.replica.view is None
    peers = [member for member in view.members]
    assert not new_machine.incarnation.replica.is_majority(peers)
    assert machine.incarnation.replica.is_majority(peers[1:])
    replaced_members = [
        MemberId(member.address, "a new disk") for member in peers if member.address != machine.address
    ]
    assert not machine.incarnation.replica.is_majority(replaced_members), (
        "a wiped machine is a different member"
    )
