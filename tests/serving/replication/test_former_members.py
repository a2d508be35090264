"""A member that was replaced while it was partitioned does not lead."""

from __future__ import annotations

import pytest
from core_history import Verdict
from core_world import Machine, World
from test_core_faults import THREE, leader, write_one

from coveport.serving.replication.identity import Epoch, View
from coveport.serving.replication.records import PromisedEpochRecord
from coveport.serving.replication.view_change import ViewChangeAttempt


def find_former_member(seed: int) -> tuple[World, Machine, View]:
    """A member was cut off and its place was taken; as its cut heals all others are killed.

    The one that it knows as its backup is back first, so that it finds a majority of its old view.
    """
    world = World(seed, [*THREE, THREE[0]], 1, 0.012)
    world.start_all()
    world.run_for(6.0, until=lambda: bool(world.primaries()))
    world.run_for(2.0)
    _, view = leader(world)
    former = world.machines[view.primary.address]
    links = {(former.address, peer) for peer in world.machines}
    links |= {(receiver, sender) for sender, receiver in links}
    world.blocked_links |= links
    world.run_for(6.0)
    _, after = leader(world)
    assert former.incarnation is not None
    assert former.incarnation.replica.identity not in after.members, "its place was taken"
    assert former.incarnation.replica.view == view, "and it has not heard of that"
    for machine in world.machines.values():
        if machine is not former:
            machine.kill()
    world.blocked_links.clear()
    world.machines[view.replicas[1].address].start()
    world.run_for(0.7)
    for machine in world.machines.values():
        machine.start()
    return world, former, after


def active_view(machine: Machine) -> View | None:
    """The view that it leads, as far as it knows."""
    leading = machine.incarnation.replica._leader_role if machine.incarnation else None
    return leading.primary.view if leading and leading.primary and leading.is_active else None


@pytest.mark.parametrize("seed", range(4))
def test_a_former_member_that_finds_newer_members_leaves_leading_to_them(seed: int) -> None:
    """Main let it lead for 0.7 s: a copy of what it acknowledged was at one that no candidate asks."""
    world, former, before = find_former_member(seed)
    until_s = world.now_s + 4.0
    while world.now_s < until_s:
        world.run_for(0.01)
        views = [view for machine in world.machines.values() if (view := active_view(machine))]
        for view in views:
            assert view.epoch <= before.epoch or set(view.replicas) <= set(view.members), world.now_s
    assert former.incarnation is not None
    promised = [
        epoch for epoch in promises_of(former) if epoch.candidate == former.incarnation.replica.identity.disk
    ]
    assert any(epoch > before.epoch for epoch in promised), "the situation is reached: it tried"
    assert write_one(world).verdict is Verdict.ACCEPTED


def promises_of(machine: Machine) -> list[Epoch]:
    """All that its disk has ever promised."""
    return [record.epoch for record in machine.disk.records if isinstance(record, PromisedEpochRecord)]


def test_a_former_member_that_leads_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ViewChangeAttempt, "_may_lead_after", lambda self, view: True)
    with pytest.raises(AssertionError):
        test_a_former_member_that_finds_newer_members_leaves_leading_to_them(0)
