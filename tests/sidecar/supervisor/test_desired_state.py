"""What is to be, its steps, and all instances together."""

from __future__ import annotations

import random

import msgspec
import pytest

from coveport.sidecar.config.errors import OperatorFileError
from coveport.sidecar.config.operator_file import read
from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.desired_state import (
    DesiredState,
    DesiredStateRole,
    InstanceHealth,
    RestartPhase,
    RollingRestart,
    StaffRequest,
    asked,
    next_restart_step,
)
from coveport.sidecar.supervisor.instance_set import InstanceSet
from coveport.sidecar.supervisor.instance_state import ExitReason, Kill, Start, State
from coveport.sidecar.supervisor.peers import Peers

FLEET = Fleet(name="h", instances=4, at_once=2, a_second=2.0, hung_s=2.0, hold_s=1.0)


def well(life: str, served: float = 1.0, ended: int = 100) -> InstanceHealth:
    return InstanceHealth(life, 5.0, "", served, ended)


def test_a_restart_takes_each_life_once_and_waits_for_its_successor() -> None:
    plan, said = asked(DesiredState(3, 3), StaffRequest("1", "restart"), FLEET, 10)
    assert "3" in said and plan.restart is not None
    health = {f"h-{number}": well(f"old{number}") for number in (1, 2, 3)}
    order = []
    for _ in range(20):
        step = next_restart_step(plan, health, 1.0)
        if step is None:
            break
        plan = step[0]
        assert plan.restart is not None
        if plan.restart.phase is RestartPhase.DONE:
            break
        (name,) = [one for one in plan.restart.lives if one not in order]
        order.append(name)
        assert plan.restart.lives[name] == health[name].life
        for told in (health[name], InstanceHealth(), InstanceHealth("new", 0.5), InstanceHealth("new", -1.0)):
            health[name] = told
            assert next_restart_step(plan, health, 1.0) is None, (
                "the next one's turn comes once this one serves"
            )
        health[name] = well(f"new{name}")
    assert (
        order == ["h-1", "h-2", "h-3"]
        and plan.restart is not None
        and plan.restart.phase is RestartPhase.DONE
    )


@pytest.mark.parametrize(
    ("after", "why"),
    [(InstanceHealth("new", -1.0, "ended 3 times"), "ended 3 times"), (well("new", 0.5), "served 0.500")],
)
def test_a_restart_that_harms_halts_and_the_others_run_on(after: InstanceHealth, why: str) -> None:
    plan = DesiredState(3, 3, restart=RollingRestart(("h-1", "h-2", "h-3"), lives={"h-1": "old1"}))
    step = next_restart_step(plan, {"h-1": after, "h-2": well("old2"), "h-3": well("old3")}, 1.0)
    assert step is not None and step[0].restart is not None
    assert step[0].restart.phase is RestartPhase.HALTED and why in step[0].restart.why
    assert next_restart_step(step[0], {"h-1": after}, 1.0) is None
    resumed, _ = asked(step[0], StaffRequest("2", "resume"), FLEET, 10)
    assert resumed.restart is not None and resumed.restart.phase is RestartPhase.RUNNING
    ended, _ = asked(step[0], StaffRequest("2", "end"), FLEET, 10)
    assert ended.restart is not None and ended.restart.phase is RestartPhase.ENDED


@pytest.mark.parametrize(
    "ask",
    [
        StaffRequest("1", "scale", count=11),
        StaffRequest("1", "scale", count=-1),
        StaffRequest("1", "drain", names=("x-1",)),
        StaffRequest("1", "restart", names=("h-9",)),
        StaffRequest("1", "resume"),
        StaffRequest("1", "end"),
        StaffRequest("1", "nonsense"),
        StaffRequest("1", "restart", names=("h-2",)),
    ],
)
def test_what_can_not_be_changes_nothing(ask: StaffRequest) -> None:
    plan = DesiredState(4, 4, drained=("h-2",))
    after, said = asked(plan, ask, FLEET, 10)
    assert after == plan and said.startswith("refused")


def test_what_was_asked_is_done_once_though_its_answer_was_lost() -> None:
    seen: list[DesiredState] = []
    duty, said = DesiredStateRole(FLEET, dict, seen.append, 10), list[str]()
    first = duty.decide(0.0, None, {})
    assert first is not None
    duty.ask(StaffRequest("7", "scale", count=6), said.append)
    step = duty.decide(0.1, first.state, {})
    assert step is not None and said == []
    again = duty.decide(0.2, step.state, {})  # it was carried out, and nobody heard
    assert again is None and said == ["done"]
    duty.ask(StaffRequest("8", "scale", count=2), said.append)
    step = duty.decide(0.3, step.state, {})
    assert step is not None
    duty.did(step)
    assert len(said) == 2 and seen[-1].count == 2
    duty.ask(StaffRequest("9", "scale", count=3), said.append)
    duty.gone()
    assert said[-1].startswith("refused")


def test_a_file_that_says_another_number_counts() -> None:
    duty = DesiredStateRole(FLEET, dict, lambda plan: None, 10)
    step = duty.decide(0.0, msgspec.json.encode(DesiredState(7, 3)), {})
    assert step is not None and msgspec.json.decode(step.state, type=DesiredState).count == 4


def new_instances(count: int, seed: int = 1) -> InstanceSet:
    instances = InstanceSet(msgspec.structs.replace(FLEET, instances=count), random.Random(seed))
    instances.acquire(0.0, {})
    instances.planned(0.0, DesiredState(count, count))
    return instances


def test_starts_are_bounded_in_any_window_on_drawn_days() -> None:
    for seed in range(20):
        chance = random.Random(seed)
        instances, now, starts, lives = new_instances(30, seed), 0.0, list[float](), 0
        while now < 40.0:
            now += 0.05
            for order in instances.tick(now):
                if isinstance(order, Start):
                    starts.append(now)
                    lives += 1
                    instances.started(now, order.name, f"l{lives}")
            for one in list(instances.by_name.values()):
                if one.life and chance.random() < 0.05:
                    instances.ready(now, one.name, one.life)
                elif one.life and chance.random() < 0.01:
                    instances.ended(now, one.name, one.life, ExitReason.CRASH)
                elif one.life:
                    instances.beat(now, one.name, one.life)
            assert sum(one.state is State.STARTING for one in instances.by_name.values()) <= FLEET.at_once
        for at in starts:
            assert sum(at <= one <= at + 5.0 for one in starts) <= FLEET.a_second * 5.0 + FLEET.at_once + 1


def up(instances: InstanceSet, now: float) -> float:
    for _ in range(400):
        now += 0.1
        for order in instances.tick(now):
            assert isinstance(order, Start)
            instances.started(now, order.name, f"life {order.name}")
            instances.ready(now, order.name, f"life {order.name}")
        for one in instances.by_name.values():
            instances.beat(now, one.name, one.life)
        if all(one.state is State.SERVING for one in instances.by_name.values()):
            return now
    raise AssertionError("not up")


def kills(instances: InstanceSet, now: float, for_s: float, quiet: set[str]) -> list[tuple[float, str]]:
    found = []
    for step in range(int(for_s / 0.1)):
        at = now + step * 0.1
        found += [(at, order.name) for order in instances.tick(at) if isinstance(order, Kill)]
        for one in instances.by_name.values():
            if one.name not in quiet and one.state is State.SERVING:
                instances.beat(at, one.name, one.life)
    return found


def test_one_that_hangs_is_replaced_and_a_host_that_stands_still_is_not() -> None:
    instances = new_instances(4)
    now = up(instances, 0.0)
    assert [name for _, name in kills(instances, now, 3.0, {"h-2"})] == ["h-2"]
    instances = new_instances(4)
    now = up(instances, 0.0)
    # Their last signs do not come in step: the first to be late is not alone.
    for number, one in enumerate(instances.by_name.values()):
        one.heard_at = now - 0.2 * number
    assert kills(instances, now, 3.0, set(instances.by_name)) == []
    assert len(kills(instances, now + 3.0, 6.0, set(instances.by_name))) == 1, "much later, and one at a time"


def test_at_most_a_tenth_is_replaced_at_a_time() -> None:
    instances = new_instances(40)
    now = up(instances, 0.0)
    hung = {f"h-{number}" for number in range(1, 16)}
    found = kills(instances, now, 4.0, hung)
    assert len(found) == 4 and {name for _, name in found} <= hung


def test_a_successor_has_nothing_to_spend_and_takes_what_runs() -> None:
    instances = InstanceSet(FLEET, random.Random(1))
    instances.acquire(100.0, {"h-1": "a", "h-9": "b"})
    assert instances.tick(100.0) == []
    orders = instances.planned(100.0, DesiredState(4, 4))
    assert [getattr(order, "life", "") for order in orders] == ["b"], "the one that is not wanted ends"
    assert instances.tick(100.01) == []
    instances.ready(100.1, "h-1", "a")
    assert instances.by_name["h-1"].state is State.SERVING
    assert [order.name for order in instances.tick(100.6)] == ["h-2"]


def test_more_sharers_count_at_once_and_fewer_only_after_a_while() -> None:
    peers = Peers(3.0, least=2)
    assert peers.count(0.0) == 2 and peers.told(0.0, 1) == 2
    assert peers.told(1.0, 5) == 5 and peers.told(2.0, 4) == 5
    assert peers.count(4.9) == 5 and peers.count(5.0) == 4
    for seed in range(50):
        chance, peers, told, now = random.Random(seed), Peers(3.0), list[tuple[float, int]](), 0.0
        for _ in range(200):
            now += chance.uniform(0.0, 1.0)
            told.append((now, chance.randint(1, 9)))
            used = peers.told(*told[-1])
            stood = [
                n
                for (at, n), (until, _) in zip(told, [*told[1:], (now + 1, 0)], strict=True)
                if until > now - 3.0
            ]
            assert used == max(stood), "the most that stood at any time in the last 3 s"


def test_a_file_with_a_fleet_and_all_that_can_be_wrong_with_it(tmp_path: object) -> None:
    from pathlib import Path

    good = '[instance]\nplatform = "p.json"\n[store]\nurl = "sqlite:x"\n[fleet]\nname = "shop"\n'
    told = read(good + 'instances = 3\n[fleet.each.shop-2]\nlisten = "127.0.0.1:8000"\n', Path("."))
    assert [told.fleet.address(name) for name in told.fleet.names(3)] == [
        "127.0.0.1:9100",
        "127.0.0.1:8000",
        "127.0.0.1:9102",
    ]
    for bad, why in (
        ("instances = 1001", "instances: must be"),
        ('listen = "here"', "listen"),
        ("hung_s = 0.0", "hung_s"),
        ("[fleet.each.other-1]\nsockets = 1", "shop-NUMBER"),
        ('[fleet.each.shop-1]\nlisten = "127.0.0.1:9101"', "would listen where"),
        ("at_once = 0", "at_once"),
        ("nonsense = 1", "no such key"),
    ):
        with pytest.raises(OperatorFileError, match=why):
            read(good + bad + "\n", Path("."))
    with pytest.raises(OperatorFileError, match="names of their own"):
        read(good.replace('"p.json"', '"p.json"\nname = "x"'), Path("."))
