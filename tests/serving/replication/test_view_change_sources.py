"""The state from which a candidate continues, and the view that counts as active."""

from __future__ import annotations

import pytest
from core_history import Verdict
from core_world import Machine, World
from test_core_faults import THREE_LOCALITIES, bootstrapped_core, primary_and_view, read_and_write

from coveport.serving.replication import view_change
from coveport.serving.replication.events import (
    Received,
)
from coveport.serving.replication.identity import Epoch, MemberId, View
from coveport.serving.replication.messages import Promise, ViewActivated
from coveport.serving.replication.view_change import ViewChangeAttempt

E4, E5, E6 = Epoch(4, "d1"), Epoch(5, "d2"), Epoch(6, "d3")
IDS = [MemberId(f"10.0.0.{number}:7300", f"d{number}") for number in range(1, 6)]
FIVE_WITH_TWO_REPLICAS = View(E5, IDS[1], (IDS[1], IDS[2]), tuple(IDS))


def sources(newest: View, promises: dict[MemberId, Promise]) -> list[MemberId]:
    """Return the members from which an attempt with epoch 9 may fetch the state."""
    attempt = ViewChangeAttempt.__new__(ViewChangeAttempt)
    attempt._newest, attempt._promises, attempt._unreadable = newest, promises, set()
    return attempt._sources()


def promise(state_epoch: Epoch, sequence: int) -> Promise:
    return Promise(Epoch(9, "d5"), FIVE_WITH_TWO_REPLICAS, E5, state_epoch, sequence)


def test_a_member_that_installed_a_views_state_but_is_no_replica_of_it_is_no_source() -> None:
    """The member was replaced as slow before the view was proposed.

    With five members and two replicas, a majority of three may contain no replica of the view; only this
    member would then look like a replica.
    """
    given_up = promise(E5, 10)
    assert sources(FIVE_WITH_TWO_REPLICAS, {IDS[0]: given_up, IDS[3]: promise(E4, 3)}) == []
    assert sources(FIVE_WITH_TWO_REPLICAS, {IDS[0]: given_up, IDS[2]: promise(E5, 12)}) == [IDS[2]]


def test_a_state_of_a_later_failed_attempt_is_a_source_and_an_older_state_is_not() -> None:
    assert sources(FIVE_WITH_TWO_REPLICAS, {IDS[0]: promise(E6, 12), IDS[3]: promise(E4, 99)}) == [IDS[0]]


def core_that_excluded_a_slow_backup() -> tuple[World, Machine, tuple[str, ...]]:
    """Return a world whose slow backup installed the state of a view that excludes it.

    Of five members two are replicas. The backup synced the state of the new view too late to be a replica
    of the new view. Then the primary of the new view acknowledged a change, and both replicas of the new
    view lost power, without a loss of their disks.
    """
    world = World(5, [*THREE_LOCALITIES, *THREE_LOCALITIES[:2]], 1, 0.012, seed_count=5)
    world.start_all()
    world.run_for(5.0, until=lambda: bool(world.primaries()))
    world.run_for(2.0)
    machine, view = primary_and_view(world)
    assert (len(view.members), len(view.replicas)) == (5, 2)
    slow_machine = world.machines[view.replicas[1].address]
    slow_machine.disk.hangs_until_s = world.now_s + 0.7
    assert machine.incarnation is not None
    machine.incarnation.replica._leader_role.higher_promise_since_s = world.now_s - 1.0
    world.run_for(0.1)
    world.run_for(3.0, until=lambda: bool(world.primaries()))
    machine, after = primary_and_view(world)
    assert slow_machine.address not in {member.address for member in after.replicas}
    assert after.epoch > view.epoch
    assert read_and_write(world).verdict is Verdict.ACCEPTED
    assert machine.incarnation is not None
    acknowledged_state = machine.incarnation.committed[-1][1]
    assert slow_machine.incarnation is not None
    assert slow_machine.incarnation.replica._context.journal.durable.state_epoch == after.epoch, (
        "the situation is reached"
    )
    assert len(acknowledged_state) == 1
    for member in after.replicas:
        world.machines[member.address].kill(power=True)
    return world, slow_machine, acknowledged_state


def test_a_backup_excluded_during_a_view_change_does_not_lead_with_an_old_state() -> None:
    world, _, acknowledged_state = core_that_excluded_a_slow_backup()
    world.run_for(6.0)
    assert world.primaries() == [], "no remaining member holds the change"
    for machine in world.machines.values():
        machine.start()
    world.run_for(4.0, until=lambda: bool(world.primaries()))
    machine, _ = primary_and_view(world)
    assert machine.incarnation is not None
    assert machine.incarnation.committed[-1][1][:1] == acknowledged_state


def sources_by_epoch_alone(self: ViewChangeAttempt) -> list[MemberId]:
    """Accept any member that installed a state under the view's epoch (an earlier fault, as a variant)."""
    return [
        m for m, given_promise in self._promises.items() if given_promise.state_epoch >= self._newest.epoch
    ]


def test_a_variant_that_accepts_any_state_of_the_views_epoch_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(view_change.ViewChangeAttempt, "_sources", sources_by_epoch_alone)
    with pytest.raises(AssertionError):
        test_a_member_that_installed_a_views_state_but_is_no_replica_of_it_is_no_source()
    world, _, acknowledged_state = core_that_excluded_a_slow_backup()
    world.run_for(6.0)
    new_primary = primary_and_view(world)[0].incarnation
    assert new_primary is not None
    assert new_primary.replica._context.acceptor.state[:1] != acknowledged_state, (
        "an acknowledged change is lost"
    )


def test_a_view_counts_as_active_only_by_its_own_epoch() -> None:
    """A later active view may descend from the previous members instead of this view."""
    branch = View(E5, IDS[1], (IDS[1], IDS[2]), (IDS[1], IDS[2], IDS[3]), (IDS[0], IDS[1], IDS[2]))
    assert branch.quorum_groups(E5) == (branch.members,)
    assert branch.quorum_groups(E4) == (branch.members, branch.previous_members)
    assert branch.quorum_groups(E6) == (branch.members, branch.previous_members)


def test_view_activated_is_ignored_by_a_member_that_has_not_accepted_that_view() -> None:
    world, machine, view = bootstrapped_core(THREE_LOCALITIES)
    world.run_for(1.0)
    machine, view = primary_and_view(world)
    peer = world.machines[view.replicas[1].address]
    assert peer.incarnation is not None
    active_epoch = peer.incarnation.replica._context.journal.durable.active_epoch
    later = Epoch(view.epoch.number + 1, "another candidate")
    peer.deliver(peer.incarnation, Received(machine.incarnation.replica.identity, ViewActivated(later)))  # type: ignore[union-attr]
    assert peer.incarnation.replica._context.journal.durable.active_epoch == active_epoch == view.epoch
