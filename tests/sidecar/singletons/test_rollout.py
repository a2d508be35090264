"""Tests of the roll-out: its steps, takeovers by another holder of its role, and causes of a roll-back."""

from __future__ import annotations

import json
import random

import msgspec
import pytest

from coveport.sidecar.leases.store import Compare, Done, Entry, Field, Put, Transaction
from coveport.sidecar.singletons.rollout import MAX_PUTS_PER_STEP, Rollout
from coveport.sidecar.singletons.rollout_follower import DesiredSettings, RolloutFollower
from coveport.sidecar.singletons.rollout_plan import (
    COMMAND_KEY,
    DESIRED_BY_DEFAULT_KEY,
    PHASE_TRANSITIONS,
    InstanceStatus,
    RolloutCommand,
    RolloutPhase,
    RolloutPlan,
    combined_success,
    plan_steps,
    settings_id,
)
from coveport.testbed.standins.etcd.engine import Engine

NEW, OLD = '{"a": 2}', '{"a": 1}'


class Fleet:
    """A store, instances that follow a roll-out, and role holders; steps are committed as by the runner."""

    def __init__(self, instances: int, soak_s: float = 5.0) -> None:
        self.engine = Engine()
        self.now = 0.0
        self.names = [f"s{number}" for number in range(instances)]
        self.followers = {name: RolloutFollower(name) for name in self.names}
        self.reject_reasons: dict[str, str] = {}  # reason for which instances reject settings, by settings id
        self.success_ratios: dict[str, float] = {}  # success ratio of instances, by id of their settings
        self.away: set[str] = set()
        self.role = Rollout(soak_s=soak_s)
        for name in self.names:
            self.publish_status(name)

    @property
    def entries(self) -> dict[str, Entry]:
        return self.engine.entries

    def put(self, key: str, value: bytes) -> None:
        self.engine.commit(self.now, Transaction((), (Put(key, value),)))

    def publish_status(self, name: str) -> None:
        follower = self.followers[name]
        self.put(
            f"instance/{name}",
            follower.status(f"{name}#1", self.success_ratios.get(follower.running, 1.0), 100),
        )

    def command(self, action: str, settings: str = "") -> None:
        self.put(COMMAND_KEY, msgspec.json.encode(RolloutCommand(action, settings, "ana")))

    def follow(self, name: str) -> None:
        if name in self.away:
            return
        follower = self.followers[name]
        settings = follower.next_settings(self.entries)
        if settings is not None:
            if settings.id in self.reject_reasons:
                follower.record_rejected(settings.id, self.reject_reasons[settings.id])
            else:
                follower.record_applied(settings.id)
        self.publish_status(name)

    def leave(self, name: str) -> None:
        self.away.add(name)
        del self.engine.entries[f"instance/{name}"]

    def return_with_new_follower(self, name: str) -> None:
        self.away.discard(name)
        self.followers[name] = RolloutFollower(name)
        self.publish_status(name)

    @property
    def plan(self) -> RolloutPlan:
        return msgspec.json.decode(self.entries["state/rollout"].value, type=RolloutPlan)

    def step(self, role: Rollout | None = None, seen: Entry | None = None) -> str:
        """Make one decision and commit its step; `seen`: the state that the decision is based on."""
        state = seen if seen is not None else self.entries.get("state/rollout")
        step = (role or self.role).decide(self.now, state.value if state else None, self.entries)
        if step is None:
            return ""
        outcome = self.engine.commit(
            self.now,
            Transaction(
                (Compare("state/rollout", Field.MODIFIED, state.modified if state else 0),),
                (Put("state/rollout", step.state), *step.changes),
            ),
        )
        return step.description if isinstance(outcome, Done) else "refused"

    def run(self, seconds: float, interval_s: float = 0.5) -> list[str]:
        descriptions = []
        for _ in range(int(seconds / interval_s)):
            self.now += interval_s
            descriptions.append(self.step())
            for name in self.names:
                self.follow(name)
        return [description for description in descriptions if description]

    def running(self, settings: str) -> list[str]:
        return [
            name for name, follower in self.followers.items() if follower.running == settings_id(settings)
        ]


@pytest.mark.parametrize("instances", [1, 3, 10, 25])
def test_good_settings_are_rolled_out_a_tenth_at_a_time(instances: int) -> None:
    fleet = Fleet(instances)
    fleet.command("start", NEW)
    before = 0
    for _ in range(300):
        fleet.run(0.5)
        now = len(fleet.running(NEW))
        assert now - before <= max(1, -(-instances // 10)), "at most one step at a time"
        before = now
    assert fleet.plan.phase is RolloutPhase.DONE and len(fleet.running(NEW)) == instances


def test_each_step_waits_until_the_last_has_soaked() -> None:
    fleet = Fleet(10)
    fleet.command("start", NEW)
    assert fleet.run(4) == [f"started: {settings_id(NEW)} in 10 steps", "step 1"]
    assert fleet.run(3) == ["step 2"]


def test_rejected_settings_roll_back_after_the_first_tenth() -> None:
    fleet = Fleet(20)
    fleet.reject_reasons[settings_id(NEW)] = "classes must name at least one class"
    fleet.command("start", NEW)
    descriptions = fleet.run(20)
    assert (
        fleet.plan.phase is RolloutPhase.ROLLED_BACK
        and "can't take it" in fleet.plan.reason
        and "step 2" not in descriptions
    )
    assert fleet.running(NEW) == []


def test_harmful_settings_roll_back_at_once_on_all_updated_instances() -> None:
    fleet = Fleet(20)
    fleet.command("start", NEW)
    fleet.run(12)
    updated = len(fleet.running(NEW))
    assert 2 <= updated <= 6
    fleet.success_ratios[settings_id(NEW)] = 0.8
    fleet.run(2)
    assert (
        fleet.plan.phase is RolloutPhase.ROLLED_BACK
        and "served" in fleet.plan.reason
        and fleet.running(NEW) == []
    )


def test_success_ratio_of_few_operations_is_not_compared() -> None:
    assert combined_success([InstanceStatus(success_ratio=0.0, operations=0)]) == (1.0, 0)
    fleet = Fleet(10)
    fleet.command("start", NEW)
    fleet.run(2)
    for name in fleet.names:
        value = msgspec.json.encode(
            InstanceStatus(running=fleet.followers[name].running, success_ratio=0.2, operations=1)
        )
        fleet.put(f"instance/{name}", value)
    assert "goes back" not in fleet.step()


def test_commands_are_accepted_or_refused_by_phase() -> None:
    fleet = Fleet(10)
    fleet.command("pause")
    assert fleet.step() == "refused" and "no roll-out" in fleet.plan.last_reply
    fleet.command("start", NEW)
    fleet.run(3)
    fleet.command("pause")
    fleet.run(60)
    assert fleet.plan.phase is RolloutPhase.PAUSED and len(fleet.running(NEW)) == 1
    fleet.command("start", OLD)
    fleet.run(1)
    assert "refused" in fleet.plan.last_reply and fleet.plan.new_settings == settings_id(NEW)
    fleet.command("resume")
    fleet.run(10)
    assert len(fleet.running(NEW)) > 1
    fleet.command("abort")
    fleet.run(3)
    assert (
        fleet.plan.phase.value == "undone" and fleet.running(NEW) == [] and COMMAND_KEY not in fleet.entries
    )


def test_abort_rolls_back_to_the_last_finished_rollout() -> None:
    fleet = Fleet(5)
    fleet.command("start", OLD)
    fleet.run(60)
    assert len(fleet.running(OLD)) == 5
    fleet.command("start", NEW)
    fleet.run(3)
    fleet.command("abort")
    fleet.run(3)
    assert len(fleet.running(OLD)) == 5


def test_returning_instance_applies_the_settings_by_itself() -> None:
    fleet = Fleet(10)
    fleet.command("start", NEW)
    fleet.run(1)
    fleet.leave("s3")
    fleet.leave("s4")
    fleet.run(100)
    assert fleet.plan.phase is RolloutPhase.DONE and len(fleet.running(NEW)) == 8
    fleet.return_with_new_follower("s3")
    fleet.names.append("s99")
    fleet.followers["s99"] = RolloutFollower("s99")
    fleet.run(1)
    assert {"s3", "s99"} <= set(fleet.running(NEW)), "a new instance applies them too"


def test_registered_instance_that_does_not_apply_the_settings_causes_a_rollback() -> None:
    fleet = Fleet(10)
    fleet.command("start", NEW)
    fleet.step()
    fleet.step()
    (first,) = fleet.plan.updated_instances
    fleet.away.add(first)  # its session continues, but it does not apply the settings
    fleet.run(40)
    assert fleet.plan.phase is RolloutPhase.ROLLED_BACK and first in fleet.plan.reason


@pytest.mark.parametrize("seed", range(60))
def test_no_step_is_done_twice_by_concurrent_holders(seed: int) -> None:
    """Two holders decide on outdated states; the store accepts only the steps that one holder would make."""
    rng = random.Random(seed)
    fleet = Fleet(10)
    holders = [Rollout(soak_s=1.0), Rollout(soak_s=1.0)]
    seen: list[Entry | None] = [None, None]
    fleet.command("start", NEW)
    descriptions: list[str] = []
    for _ in range(400):
        fleet.now += rng.uniform(0, 0.5)
        holder = rng.randrange(2)
        if rng.random() < 0.7:
            seen[holder] = fleet.entries.get("state/rollout")
        if seen[holder] is not None or "state/rollout" not in fleet.entries:
            descriptions.append(fleet.step(holders[holder], seen[holder]))
        if rng.random() < 0.1 and len(fleet.away) < 5:
            leaving = rng.choice([name for name in fleet.names if name not in fleet.away])
            fleet.leave(leaving)
        elif rng.random() < 0.1 and fleet.away:
            fleet.return_with_new_follower(rng.choice(sorted(fleet.away)))
        fleet.follow(rng.choice(fleet.names))
    steps = [description for description in descriptions if description.startswith("step ")]
    assert steps == [f"step {number + 1}" for number in range(len(steps))]


@pytest.mark.parametrize("phase", RolloutPhase)
def test_plan_allows_only_transitions_of_the_table(phase: RolloutPhase) -> None:
    plan = RolloutPlan("n", "o", (), phase)
    for next_phase in RolloutPhase:
        if next_phase in PHASE_TRANSITIONS[phase]:
            assert plan.with_phase(next_phase).phase is next_phase
        else:
            with pytest.raises(AssertionError):
                plan.with_phase(next_phase)


def test_rollback_of_many_instances_stays_within_the_transaction_limit_of_etcd() -> None:
    role, names = Rollout(), tuple(f"s{number}" for number in range(250))
    plan, counts = RolloutPlan("n", "o", (names,), RolloutPhase.ROLLING_BACK, steps_done=1), []
    while plan.phase is RolloutPhase.ROLLING_BACK:
        step = role.decide(0.0, msgspec.json.encode(plan), {})
        assert step is not None
        plan = msgspec.json.decode(step.state, type=RolloutPlan)
        counts.append(len(step.changes))
    assert counts == [MAX_PUTS_PER_STEP, MAX_PUTS_PER_STEP, 50, 0]


def test_older_or_garbled_key_is_not_followed() -> None:
    follower = RolloutFollower("s0")
    entries = {
        "settings/x": Entry("settings/x", b"{}", 1, 1),
        DESIRED_BY_DEFAULT_KEY: Entry(DESIRED_BY_DEFAULT_KEY, b'{"settings": "x"}', 5, 5),
    }
    assert follower.next_settings(entries) == DesiredSettings("x", "{}")
    follower.record_applied("x")
    entries["want/s0"] = Entry("want/s0", b'{"settings": ""}', 4, 4)
    assert follower.next_settings(entries) is None
    entries["want/s0"] = Entry("want/s0", b"?", 6, 6)
    assert follower.next_settings(entries) is None
    entries["want/s0"] = Entry("want/s0", b'{"settings": ""}', 4, 7)
    assert follower.next_settings(entries) == DesiredSettings("", None), (
        "the instance returns to its own file"
    )


@pytest.mark.parametrize("count", range(0, 41))
def test_steps_contain_every_instance_once(count: int) -> None:
    names = [f"s{number}" for number in range(count)]
    steps = plan_steps(names)
    assert sorted(name for step in steps for name in step) == sorted(names) and len(steps) <= 10
    assert json.loads(json.dumps(plan_steps(reversed(names)))) == json.loads(json.dumps(steps))
