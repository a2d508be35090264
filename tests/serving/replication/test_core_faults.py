"""Faults found earlier, each told by the smallest world that showed it, and changes of who takes part."""

from __future__ import annotations

from core_history import Call, Verdict
from core_operators import Operator
from core_world import Machine, World, change

from coveport.serving.replication.events import Answer, ShutdownRequested
from coveport.serving.replication.identity import Locality, View
from coveport.serving.replication.primary import Primary
from coveport.serving.replication.state_machine import Refused

THREE = [Locality("a1", "a"), Locality("b1", "b"), Locality("c1", "c")]
SIX = [*THREE, Locality("a2", "a"), Locality("b2", "b"), Locality("c2", "c")]


def founded(localities: list[Locality], losses: int = 1) -> tuple[World, Machine, View]:
    world = World(3, localities, losses, 0.035)
    world.start_all()
    world.run_for(4.0, until=lambda: bool(world.primaries()))
    return world, *leader(world)


def leader(world: World) -> tuple[Machine, View]:
    machine = world.primary()
    assert machine is not None and machine.incarnation is not None
    view = machine.incarnation.replica.view
    assert view is not None
    return machine, view


def run_until_led_anew(world: World, view: View, wait_s: float) -> None:
    def is_led_anew() -> bool:
        machine = world.primary()
        return machine is not None and leader(world)[1].epoch > view.epoch

    world.run_for(wait_s, until=is_led_anew)


def write_one(world: World) -> Call:
    calls: list[Call] = []
    operator = Operator(world, calls, "o", 0.05)
    done: list[Call] = []

    def write(call: Call) -> None:
        operator.known = call.seen
        operator.write(done.append)

    operator.read(write)
    world.run_for(8.0, until=lambda: bool(done))
    return calls[-1]


def test_a_refusal_under_one_view_is_computed_again_under_the_next() -> None:
    world, machine, view = founded(THREE)
    assert machine.incarnation is not None
    parts = machine.incarnation.replica._context
    before = Primary(parts, view)
    before.submit(1, change(5, 7, "y"))
    before.advance(world.now_s)
    parts.acceptor.state = ("0|5|x",)  # what the next view goes on from
    after = Primary(parts, view)
    after.begin(world.now_s, before, continues_own_state=False)
    after.advance(world.now_s)
    assert not after.is_idle  # it's on its way to the replicas now
    answers = [effect for effect in parts.outbox.take() if isinstance(effect, Answer)]
    assert not [answer for answer in answers if isinstance(answer.outcome, Refused)]


def test_a_primary_that_hears_nobody_holds_nobody_up() -> None:
    for seed in range(12):
        world = World(seed, THREE, 1, 0.035)
        world.start_all()
        world.run_for(3.0 + world.random.random())
        deaf, view = leader(world)
        world.blocked_links |= {(peer, deaf.address) for peer in world.machines}
        began_s = world.now_s
        run_until_led_anew(world, view, 5.0)
        assert world.now_s - began_s < 1.6, seed


def test_a_replaced_machine_gives_way_to_the_one_at_the_new_address() -> None:
    world, machine, view = founded(THREE)
    gone = next(peer for peer in world.machines.values() if peer is not machine)
    gone.remove()
    newcomer = world.add_machine(gone.locality)
    newcomer.start()
    world.run_for(6.0)
    _, view = leader(world)
    addresses = {member.address for member in view.members}
    assert addresses == {peer.address for peer in world.machines.values() if peer is not gone}
    assert write_one(world).verdict is Verdict.ACCEPTED


def test_a_wiped_member_is_taken_in_anew_at_once() -> None:
    world, machine, view = founded(THREE)
    wiped = next(peer for peer in world.machines.values() if peer is not machine)
    wiped.wipe()
    world.after(0.3, wiped.start)
    world.run_for(2.5)
    _, view = leader(world)
    assert wiped.incarnation is not None
    assert wiped.incarnation.replica.identity in view.members
    assert len(view.members) == 3


def test_the_core_grows_to_bear_two_losses() -> None:
    world, machine, _ = founded(SIX, losses=2)
    world.run_for(4.0)
    _, view = leader(world)
    assert len(view.members) == 5
    assert len(view.replicas) == 3
    localities = {peer.address: peer.locality.region for peer in world.machines.values()}
    assert {localities[member.address] for member in view.replicas} == {"a", "b", "c"}
    for lost in (machine, next(peer for peer in world.machines.values() if peer is not machine)):
        lost.wipe()
    assert write_one(world).verdict is Verdict.ACCEPTED


def test_a_spare_stays_out_while_three_bear_what_is_asked() -> None:
    world, _, _ = founded([*THREE, Locality("a2", "a")])
    world.run_for(6.0)
    assert len(leader(world)[1].members) == 3


def test_a_stopped_primary_hands_over_at_once() -> None:
    world, machine, view = founded(THREE)
    world.run_for(1.0)
    assert machine.incarnation is not None
    machine.deliver(machine.incarnation, ShutdownRequested())
    began_s = world.now_s
    run_until_led_anew(world, view, 2.0)
    assert world.now_s - began_s < 0.5
    world.run_for(3.0)
    assert leader(world)[0] is not machine


def test_a_blank_machine_alone_never_founds() -> None:
    world = World(5, THREE, 1)
    for machine in world.machines.values():
        machine.start(first_boot=False)
    world.run_for(10.0)
    assert not world.primaries()


def test_nothing_is_founded_until_all_seeds_are_there() -> None:
    world = World(5, THREE, 1)
    *early, late = world.machines.values()
    for machine in early:
        machine.start(first_boot=True)
    world.run_for(5.0)
    assert not world.primaries()
    late.start(first_boot=True)
    world.run_for(2.0)
    assert len(world.primaries()) == 1


def test_a_seed_killed_while_founding_founds_after_its_return() -> None:
    for killed_after_s in (0.05, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5):
        for index in range(3):
            world = World(7, THREE, 1, 0.035)
            for machine in world.machines.values():
                machine.start(first_boot=True)
            world.run_for(killed_after_s)
            victim = list(world.machines.values())[index]
            victim.kill(power=True)
            world.after(0.5, victim.start)
            world.run_for(6.0, until=lambda world=world: bool(world.primaries()))  # type: ignore[misc]
            assert write_one(world).verdict is Verdict.ACCEPTED, (killed_after_s, index)
