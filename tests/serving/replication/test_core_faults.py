"""Regressions, each in the smallest world that reproduces the fault, and changes of members and replicas."""

from __future__ import annotations

from core_history import Call, Verdict
from core_operators import Operator
from core_world import Machine, World, change

from coveport.serving.replication.events import Answer, ShutdownRequested
from coveport.serving.replication.identity import Locality, View
from coveport.serving.replication.primary import Primary
from coveport.serving.replication.state_machine import Refused

THREE_LOCALITIES = [Locality("a1", "a"), Locality("b1", "b"), Locality("c1", "c")]
SIX_LOCALITIES = [*THREE_LOCALITIES, Locality("a2", "a"), Locality("b2", "b"), Locality("c2", "c")]


def bootstrapped_core(localities: list[Locality], tolerated_losses: int = 1) -> tuple[World, Machine, View]:
    world = World(3, localities, tolerated_losses, 0.035)
    world.start_all()
    world.run_for(4.0, until=lambda: bool(world.primaries()))
    return world, *primary_and_view(world)


def primary_and_view(world: World) -> tuple[Machine, View]:
    machine = world.primary()
    assert machine is not None and machine.incarnation is not None
    view = machine.incarnation.replica.view
    assert view is not None
    return machine, view


def run_until_new_primary(world: World, view: View, wait_s: float) -> None:
    def has_new_primary() -> bool:
        machine = world.primary()
        return machine is not None and primary_and_view(world)[1].epoch > view.epoch

    world.run_for(wait_s, until=has_new_primary)


def read_and_write(world: World) -> Call:
    calls: list[Call] = []
    operator = Operator(world, calls, "o", 0.05)
    done: list[Call] = []

    def write(call: Call) -> None:
        operator.known_state = call.seen
        operator.write(done.append)

    operator.read(write)
    world.run_for(8.0, until=lambda: bool(done))
    return calls[-1]


def test_a_refusal_under_one_view_is_computed_again_under_the_next() -> None:
    world, machine, view = bootstrapped_core(THREE_LOCALITIES)
    assert machine.incarnation is not None
    context = machine.incarnation.replica._context
    predecessor = Primary(context, view)
    predecessor.submit(1, change(5, 7, "y"))
    predecessor.advance(world.now_s)
    context.acceptor.state = ("0|5|x",)  # the state from which the next view continues
    successor = Primary(context, view)
    successor.begin(world.now_s, predecessor, continues_own_state=False)
    successor.advance(world.now_s)
    assert not successor.is_idle  # the command is being replicated now
    answers = [effect for effect in context.outbox.take() if isinstance(effect, Answer)]
    assert not [answer for answer in answers if isinstance(answer.outcome, Refused)]


def test_a_primary_without_inbound_contact_does_not_delay_a_new_view() -> None:
    for seed in range(12):
        world = World(seed, THREE_LOCALITIES, 1, 0.035)
        world.start_all()
        world.run_for(3.0 + world.random.random())
        isolated, view = primary_and_view(world)
        world.blocked_links |= {(peer, isolated.address) for peer in world.machines}
        started_at_s = world.now_s
        run_until_new_primary(world, view, 5.0)
        assert world.now_s - started_at_s < 1.6, seed


def test_a_replaced_machine_gives_way_to_the_one_at_the_new_address() -> None:
    world, machine, view = bootstrapped_core(THREE_LOCALITIES)
    removed_machine = next(peer for peer in world.machines.values() if peer is not machine)
    removed_machine.remove()
    newcomer = world.add_machine(removed_machine.locality)
    newcomer.start()
    world.run_for(6.0)
    _, view = primary_and_view(world)
    addresses = {member.address for member in view.members}
    assert addresses == {peer.address for peer in world.machines.values() if peer is not removed_machine}
    assert read_and_write(world).verdict is Verdict.ACCEPTED


def test_a_wiped_machine_becomes_a_member_again_at_once() -> None:
    world, machine, view = bootstrapped_core(THREE_LOCALITIES)
    wiped = next(peer for peer in world.machines.values() if peer is not machine)
    wiped.wipe()
    world.after(0.3, wiped.start)
    world.run_for(2.5)
    _, view = primary_and_view(world)
    assert wiped.incarnation is not None
    assert wiped.incarnation.replica.identity in view.members
    assert len(view.members) == 3


def test_the_core_grows_to_tolerate_two_losses() -> None:
    world, machine, _ = bootstrapped_core(SIX_LOCALITIES, tolerated_losses=2)
    world.run_for(4.0)
    _, view = primary_and_view(world)
    assert len(view.members) == 5
    assert len(view.replicas) == 3
    localities = {peer.address: peer.locality.region for peer in world.machines.values()}
    assert {localities[member.address] for member in view.replicas} == {"a", "b", "c"}
    for lost in (machine, next(peer for peer in world.machines.values() if peer is not machine)):
        lost.wipe()
    assert read_and_write(world).verdict is Verdict.ACCEPTED


def test_a_spare_is_no_member_while_three_members_tolerate_enough_losses() -> None:
    world, _, _ = bootstrapped_core([*THREE_LOCALITIES, Locality("a2", "a")])
    world.run_for(6.0)
    assert len(primary_and_view(world)[1].members) == 3


def test_a_primary_that_shuts_down_transfers_leadership_at_once() -> None:
    world, machine, view = bootstrapped_core(THREE_LOCALITIES)
    world.run_for(1.0)
    assert machine.incarnation is not None
    machine.deliver(machine.incarnation, ShutdownRequested())
    started_at_s = world.now_s
    run_until_new_primary(world, view, 2.0)
    assert world.now_s - started_at_s < 0.5
    world.run_for(3.0)
    assert primary_and_view(world)[0] is not machine


def test_a_blank_machine_alone_never_founds() -> None:
    world = World(5, THREE_LOCALITIES, 1)
    for machine in world.machines.values():
        machine.start(first_boot=False)
    world.run_for(10.0)
    assert not world.primaries()


def test_nothing_is_founded_until_all_seeds_are_there() -> None:
    world = World(5, THREE_LOCALITIES, 1)
    *early_machines, late_machine = world.machines.values()
    for machine in early_machines:
        machine.start(first_boot=True)
    world.run_for(5.0)
    assert not world.primaries()
    late_machine.start(first_boot=True)
    world.run_for(2.0)
    assert len(world.primaries()) == 1


def test_bootstrap_succeeds_after_a_seed_killed_during_it_restarts() -> None:
    for killed_after_s in (0.05, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5):
        for index in range(3):
            world = World(7, THREE_LOCALITIES, 1, 0.035)
            for machine in world.machines.values():
                machine.start(first_boot=True)
            world.run_for(killed_after_s)
            victim = list(world.machines.values())[index]
            victim.kill(power=True)
            world.after(0.5, victim.start)
            world.run_for(6.0, until=lambda world=world: bool(world.primaries()))  # type: ignore[misc]
            assert read_and_write(world).verdict is Verdict.ACCEPTED, (killed_after_s, index)
