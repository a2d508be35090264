"""A member that was replaced during a partition does not lead afterwards."""

from __future__ import annotations

import pytest
from core_history import Verdict
from core_world import Machine, World
from test_core_faults import THREE_LOCALITIES, primary_and_view, read_and_write

from coveport.serving.replication.identity import Epoch, View
from coveport.serving.replication.records import PromisedEpochRecord
from coveport.serving.replication.view_change import ViewChangeAttempt


def world_with_former_member(seed: int) -> tuple[World, Machine, View]:
    """Return a world with a former member that was replaced while it was partitioned.

    When the partition heals, all other machines are killed. The former member's old backup restarts first, so
    that the former member reaches a majority of its old view.
    """
    world = World(seed, [*THREE_LOCALITIES, THREE_LOCALITIES[0]], 1, 0.012)
    world.start_all()
    world.run_for(6.0, until=lambda: bool(world.primaries()))
    world.run_for(2.0)
    _, view = primary_and_view(world)
    former_member = world.machines[view.primary.address]
    links = {(former_member.address, peer) for peer in world.machines}
    links |= {(receiver, sender) for sender, receiver in links}
    world.blocked_links |= links
    world.run_for(6.0)
    _, after = primary_and_view(world)
    assert former_member.incarnation is not None
    assert former_member.incarnation.replica.identity not in after.members, "it was replaced"
    assert former_member.incarnation.replica.view == view, "it has not received the newer view"
    for machine in world.machines.values():
        if machine is not former_member:
            machine.kill()
    world.blocked_links.clear()
    world.machines[view.replicas[1].address].start()
    world.run_for(0.7)
    for machine in world.machines.values():
        machine.start()
    return world, former_member, after


def active_view(machine: Machine) -> View | None:
    """Return the view in which a machine acts as the active primary; None if it doesn't."""
    role = machine.incarnation.replica._leader_role if machine.incarnation else None
    return role.primary.view if role and role.primary and role.is_active else None


@pytest.mark.parametrize("seed", range(4))
def test_a_former_member_that_finds_newer_members_does_not_lead(seed: int) -> None:
    """Guards against a former member that leads, once for 0.7 s, in a view with a replica that is no member.

    No later candidate would fetch from that replica the commands that the view acknowledged.
    """
    world, former_member, before = world_with_former_member(seed)
    until_s = world.now_s + 4.0
    while world.now_s < until_s:
        world.run_for(0.01)
        views = [view for machine in world.machines.values() if (view := active_view(machine))]
        for view in views:
            assert view.epoch <= before.epoch or set(view.replicas) <= set(view.members), world.now_s
    assert former_member.incarnation is not None
    promised = [
        epoch
        for epoch in promised_epochs(former_member)
        if epoch.candidate == former_member.incarnation.replica.identity.disk
    ]
    assert any(epoch > before.epoch for epoch in promised), "the situation is reached: it became a candidate"
    assert read_and_write(world).verdict is Verdict.ACCEPTED


def promised_epochs(machine: Machine) -> list[Epoch]:
    """Return all epochs that a machine's disk has ever promised."""
    return [record.epoch for record in machine.disk.records if isinstance(record, PromisedEpochRecord)]


def test_a_variant_in_which_a_former_member_leads_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ViewChangeAttempt, "_may_lead_after", lambda self, view: True)
    with pytest.raises(AssertionError):
        test_a_former_member_that_finds_newer_members_does_not_lead(0)
