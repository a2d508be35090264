"""A second loss right after a stop or a replacement; what a candidate begins from; withdrawn calls."""

from __future__ import annotations

import pytest
from core_history import Verdict
from core_world import Machine, World, change
from test_core_faults import SIX, THREE, founded, leader, write_one

from coveport.serving.replication import view_change
from coveport.serving.replication.events import (
    CancelCall,
    Outcome,
    ReadNewest,
    Received,
    ShutdownRequested,
    Submit,
)
from coveport.serving.replication.identity import Epoch, MemberId, View
from coveport.serving.replication.messages import Promise, ViewActivated
from coveport.serving.replication.records import PromisedEpochRecord
from coveport.serving.replication.view_change import ViewChangeAttempt

GRACE_PART_S = 4.0  # that a stop may wait for the view without it


def stop(world: World, machine: Machine) -> float:
    """SIGTERM; the process ends when it may, and stays away. How long that took."""
    incarnation = machine.incarnation
    assert incarnation is not None
    began_s = world.now_s
    machine.deliver(incarnation, ShutdownRequested())
    world.run_for(GRACE_PART_S, until=lambda: incarnation.replica.is_safe_to_stop(world.now_s))
    machine.kill()
    return world.now_s - began_s


def is_founded_with_spare(losses: int) -> World:
    """One machine more than there are members."""
    localities = [*THREE, THREE[0]] if losses == 1 else SIX
    world, _, _ = founded(localities, losses)
    world.run_for(6.0)
    _, view = leader(world)
    assert len(view.members) == 2 * losses + 1 < len(world.machines)
    return world


@pytest.mark.parametrize("losses", [1, 2])
@pytest.mark.parametrize("which", ["primary", "backup", "witness", "spare"])
def test_a_planned_stop_leaves_only_when_another_has_its_copy_and_its_vote(losses: int, which: str) -> None:
    world = is_founded_with_spare(losses)
    machine, view = leader(world)
    assert write_one(world).verdict is Verdict.ACCEPTED
    leaving = {
        "primary": machine.address,
        "backup": view.replicas[1].address,
        "witness": next((m for m in view.members if m not in view.replicas), view.members[-1]).address,
        "spare": next(a for a in world.machines if a not in {m.address for m in view.members}),
    }[which]
    took_s = stop(world, world.machines[leaving])
    assert took_s < 2.0, "it does not wait for the time of grace to run out"
    _, after = leader(world)
    assert leaving not in {member.address for member in (*after.replicas, *after.members)}
    assert len(after.members) == 2 * losses + 1
    # the next loss comes at the very moment at which it has ended
    for lost in after.replicas[:losses]:
        world.machines[lost.address].remove()
    assert write_one(world).verdict is Verdict.ACCEPTED


@pytest.mark.parametrize("seed", range(6))
def test_two_stops_at_once_leave_a_copy(seed: int) -> None:
    world = World(seed, SIX, 2, 0.035)
    world.start_all()
    world.run_for(10.0)
    _, view = leader(world)
    incarnations = [world.machines[member.address] for member in view.replicas[:2]]
    for machine in incarnations:
        assert machine.incarnation is not None
        machine.deliver(machine.incarnation, ShutdownRequested())
    ended = [machine.incarnation for machine in incarnations]
    world.run_for(
        GRACE_PART_S,
        until=lambda: all(
            incarnation and incarnation.replica.is_safe_to_stop(world.now_s) for incarnation in ended
        ),
    )
    assert all(incarnation and incarnation.replica.is_safe_to_stop(world.now_s) for incarnation in ended)
    for machine in incarnations:
        machine.wipe()
    assert write_one(world).verdict is Verdict.ACCEPTED


def test_a_stop_without_another_to_take_over_is_not_done_early() -> None:
    """Two of three are down: no view without it can come, so it serves on until its time is over."""
    world, _, _ = founded(THREE)
    world.run_for(1.0)
    machine, _ = leader(world)
    for peer in list(world.machines.values()):
        if peer is not machine:
            peer.kill()
    assert stop(world, machine) >= GRACE_PART_S - 0.1


def test_a_replacement_that_came_first_has_the_vote_before_the_old_one_ends() -> None:
    """Before, the vote went over after 3 s of silence; the next loss may come before that."""
    world, _, _ = founded(THREE)
    world.run_for(1.0)
    _, view = leader(world)
    old = world.machines[view.replicas[1].address]
    newcomer = world.add_machine(old.locality)
    newcomer.start()
    world.run_for(2.0)
    stop(world, old)
    old.remove()
    _, after = leader(world)
    assert newcomer.address in {member.address for member in after.members}
    first, *_ = [m for m in after.members if m.address != newcomer.address]
    world.machines[first.address].remove()
    assert write_one(world).verdict is Verdict.ACCEPTED


# -- what a candidate begins from --

E4, E5, E6 = Epoch(4, "d1"), Epoch(5, "d2"), Epoch(6, "d3")
IDS = [MemberId(f"10.0.0.{number}:7300", f"d{number}") for number in range(1, 6)]
FIVE_WITH_TWO_REPLICAS = View(E5, IDS[1], (IDS[1], IDS[2]), tuple(IDS))


def sources(newest: View, promises: dict[MemberId, Promise]) -> list[MemberId]:
    """Whom an attempt of epoch 9 would begin from."""
    attempt = ViewChangeAttempt.__new__(ViewChangeAttempt)
    attempt._newest, attempt._promises, attempt._unreadable = newest, promises, set()
    return attempt._sources()


def promise(state_epoch: Epoch, sequence: int) -> Promise:
    return Promise(Epoch(9, "d5"), FIVE_WITH_TWO_REPLICAS, E5, state_epoch, sequence)


def test_one_that_installed_a_views_state_but_is_no_replica_of_it_is_no_source() -> None:
    """It was given up as slow before the view was proposed; with five members and two replicas three of
    those that are left may be without a replica, and it alone would look like one.
    """
    given_up = promise(E5, 10)
    assert sources(FIVE_WITH_TWO_REPLICAS, {IDS[0]: given_up, IDS[3]: promise(E4, 3)}) == []
    assert sources(FIVE_WITH_TWO_REPLICAS, {IDS[0]: given_up, IDS[2]: promise(E5, 12)}) == [IDS[2]]


def test_a_state_of_a_later_attempt_that_died_is_a_source_and_an_older_one_is_not() -> None:
    assert sources(FIVE_WITH_TWO_REPLICAS, {IDS[0]: promise(E6, 12), IDS[3]: promise(E4, 99)}) == [IDS[0]]


def led_without_a_slow_backup() -> tuple[World, Machine, tuple[str, ...]]:
    """Five members that ask for two copies; the backup installs the next view's state too late to be in it.

    Then a change is acknowledged by that view, and both of its replicas lose power: no disk is lost.
    """
    world = World(5, [*THREE, *THREE[:2]], 1, 0.012, seed_count=5)
    world.start_all()
    world.run_for(5.0, until=lambda: bool(world.primaries()))
    world.run_for(2.0)
    machine, view = leader(world)
    assert (len(view.members), len(view.replicas)) == (5, 2)
    slow = world.machines[view.replicas[1].address]
    slow.disk.hangs_until_s = world.now_s + 0.7
    assert machine.incarnation is not None
    machine.incarnation.replica._leader_role.outvoted_since_s = world.now_s - 1.0
    world.run_for(0.1)
    world.run_for(3.0, until=lambda: bool(world.primaries()))
    machine, after = leader(world)
    assert slow.address not in {member.address for member in after.replicas}
    assert after.epoch > view.epoch
    assert write_one(world).verdict is Verdict.ACCEPTED
    assert machine.incarnation is not None
    taken = machine.incarnation.committed[-1][1]
    assert slow.incarnation is not None
    assert slow.incarnation.replica._context.journal.durable.state_epoch == after.epoch, (
        "the situation is reached"
    )
    assert len(taken) == 1
    for member in after.replicas:
        world.machines[member.address].kill(power=True)
    return world, slow, taken


def test_a_backup_given_up_while_a_view_came_up_does_not_lead_with_old_state() -> None:
    world, _, taken = led_without_a_slow_backup()
    world.run_for(6.0)
    assert world.primaries() == [], "nobody that is left holds the change"
    for machine in world.machines.values():
        machine.start()
    world.run_for(4.0, until=lambda: bool(world.primaries()))
    machine, _ = leader(world)
    assert machine.incarnation is not None
    assert machine.incarnation.committed[-1][1][:1] == taken


def first_that_promised(self: ViewChangeAttempt) -> list[MemberId]:
    """The variant that takes whoever installed under the view's epoch for a replica: as it was on main."""
    return [m for m, given in self._promises.items() if given.state_epoch >= self._newest.epoch]


def test_taking_any_state_of_the_views_epoch_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(view_change.ViewChangeAttempt, "_sources", first_that_promised)
    with pytest.raises(AssertionError):
        test_one_that_installed_a_views_state_but_is_no_replica_of_it_is_no_source()
    world, _, taken = led_without_a_slow_backup()
    world.run_for(6.0)
    leading = leader(world)[0].incarnation
    assert leading is not None
    assert leading.replica._context.acceptor.state[:1] != taken, "an acknowledged change is lost"


# -- which members decide --


def test_a_view_is_settled_by_word_of_itself_alone() -> None:
    """A later view that is active may descend from the members before, not from this one."""
    branch = View(E5, IDS[1], (IDS[1], IDS[2]), (IDS[1], IDS[2], IDS[3]), (IDS[0], IDS[1], IDS[2]))
    assert branch.quorum_groups(E5) == (branch.members,)
    assert branch.quorum_groups(E4) == (branch.members, branch.previous_members)
    assert branch.quorum_groups(E6) == (branch.members, branch.previous_members)


def test_that_a_view_is_active_is_not_noted_by_one_that_has_not_accepted_it() -> None:
    world, machine, view = founded(THREE)
    world.run_for(1.0)
    machine, view = leader(world)
    peer = world.machines[view.replicas[1].address]
    assert peer.incarnation is not None
    active_epoch = peer.incarnation.replica._context.journal.durable.active_epoch
    later = Epoch(view.epoch.number + 1, "another candidate")
    peer.deliver(peer.incarnation, Received(machine.incarnation.replica.identity, ViewActivated(later)))  # type: ignore[union-attr]
    assert peer.incarnation.replica._context.journal.durable.active_epoch == active_epoch == view.epoch


# -- calls that nobody waits for --


def behind_a_stuck_command() -> tuple[World, Machine, list[Outcome]]:
    """A primary whose backup doesn't answer, with one command in flight."""
    world, _, _ = founded(THREE)
    world.run_for(1.0)
    machine, view = leader(world)
    world.blocked_links.add((view.replicas[1].address, machine.address))
    first: list[Outcome] = []
    world.call(machine, lambda request: Submit(request, change(0, 5, "first")), first.append)
    world.run_for(0.05)
    return world, machine, first


@pytest.mark.parametrize("is_withdrawn", [False, True])
def test_a_withdrawn_command_never_takes_effect_also_in_the_next_view(is_withdrawn: bool) -> None:
    """Without the withdrawal it does: the queue goes over into the view that leaves the backup out."""
    world, machine, _ = behind_a_stuck_command()
    assert machine.incarnation is not None
    incarnation = machine.incarnation
    numbers: list[int] = []

    def submit(request: int) -> Submit:
        numbers.append(request)
        return Submit(request, change(5, 7, "second"))

    world.call(machine, submit, lambda outcome: None)
    world.run_for(0.05)
    assert incarnation.replica._leader_role.primary is not None
    assert len(incarnation.replica._leader_role.primary._queue) == 1, "the situation is reached"
    if is_withdrawn:
        machine.deliver(incarnation, CancelCall(numbers[0]))
    world.run_for(4.0)
    _, view = leader(world)
    assert view.epoch.number > 1, "the queue went over into another view"
    seen: list[Outcome] = []
    world.call(leader(world)[0], ReadNewest, seen.append)
    world.run_for(1.0)
    assert ("5|7|second" in seen[0].state) is not is_withdrawn  # type: ignore[union-attr]


def test_a_withdrawn_read_is_answered_to_nobody() -> None:
    world, machine, _ = behind_a_stuck_command()
    assert machine.incarnation is not None
    seen: list[Outcome] = []
    world.call(machine, ReadNewest, seen.append)
    world.run_for(0.01)
    assert world._request
    machine.deliver(machine.incarnation, CancelCall(world._request))
    world.run_for(5.0)
    assert seen == []


# -- who may lead --


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
