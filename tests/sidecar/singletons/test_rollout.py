"""Roll-out's pure halves: steps, holders that take over in the middle, and what makes a plan go back."""

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


class Place:
    """A store, instances that follow, and holders that take turns; every step as the runner would take it."""

    def __init__(self, instances: int, soak_s: float = 5.0) -> None:
        self.engine = Engine()
        self.now = 0.0
        self.names = [f"s{number}" for number in range(instances)]
        self.followers = {name: RolloutFollower(name) for name in self.names}
        self.bad: dict[str, str] = {}  # settings id -> why no instance can take them
        self.served: dict[str, float] = {}  # settings id -> share served by those that run it
        self.away: set[str] = set()
        self.duty = Rollout(soak_s=soak_s)
        for name in self.names:
            self.tell(name)

    @property
    def entries(self) -> dict[str, Entry]:
        return self.engine.entries

    def put(self, key: str, value: bytes) -> None:
        self.engine.commit(self.now, Transaction((), (Put(key, value),)))

    def tell(self, name: str) -> None:
        one = self.followers[name]
        self.put(f"instance/{name}", one.status(f"{name}#1", self.served.get(one.running, 1.0), 100))

    def ask(self, action: str, settings: str = "") -> None:
        self.put(COMMAND_KEY, msgspec.json.encode(RolloutCommand(action, settings, "ana")))

    def follow(self, name: str) -> None:
        if name in self.away:
            return
        one = self.followers[name]
        settings = one.next_settings(self.entries)
        if settings is not None:
            if settings.id in self.bad:
                one.record_rejected(settings.id, self.bad[settings.id])
            else:
                one.record_applied(settings.id)
        self.tell(name)

    def leave(self, name: str) -> None:
        self.away.add(name)
        del self.engine.entries[f"instance/{name}"]

    def back(self, name: str) -> None:
        self.away.discard(name)
        self.followers[name] = RolloutFollower(name)
        self.tell(name)

    @property
    def plan(self) -> RolloutPlan:
        return msgspec.json.decode(self.entries["state/rollout"].value, type=RolloutPlan)

    def step(self, duty: Rollout | None = None, seen: Entry | None = None) -> str:
        """One decision and its transaction; `seen`: the state that it is worked out from."""
        state = seen if seen is not None else self.entries.get("state/rollout")
        step = (duty or self.duty).decide(self.now, state.value if state else None, self.entries)
        if step is None:
            return ""
        done = self.engine.commit(
            self.now,
            Transaction(
                (Compare("state/rollout", Field.MODIFIED, state.modified if state else 0),),
                (Put("state/rollout", step.state), *step.changes),
            ),
        )
        return step.description if isinstance(done, Done) else "refused"

    def run(self, seconds: float, by: float = 0.5) -> list[str]:
        last_reply = []
        for _ in range(int(seconds / by)):
            self.now += by
            last_reply.append(self.step())
            for name in self.names:
                self.follow(name)
        return [what for what in last_reply if what]

    def running(self, settings: str) -> list[str]:
        return [name for name, one in self.followers.items() if one.running == settings_id(settings)]


@pytest.mark.parametrize("instances", [1, 3, 10, 25])
def test_a_good_one_reaches_all_a_tenth_at_a_time(instances: int) -> None:
    place = Place(instances)
    place.ask("start", NEW)
    before = 0
    for _ in range(300):
        place.run(0.5)
        now = len(place.running(NEW))
        assert now - before <= max(1, -(-instances // 10)), "never two tenths at once"
        before = now
    assert place.plan.phase is RolloutPhase.DONE and len(place.running(NEW)) == instances


def test_the_steps_wait_for_each_other_and_hold() -> None:
    place = Place(10)
    place.ask("start", NEW)
    assert place.run(4) == [f"started: {settings_id(NEW)} in 10 steps", "step 1"]
    assert place.run(3) == ["step 2"]


def test_one_that_can_t_be_taken_goes_back_after_the_first_tenth() -> None:
    place = Place(20)
    place.bad[settings_id(NEW)] = "classes must name at least one class"
    place.ask("start", NEW)
    last_reply = place.run(20)
    assert (
        place.plan.phase is RolloutPhase.ROLLED_BACK
        and "can't take it" in place.plan.reason
        and "step 2" not in last_reply
    )
    assert place.running(NEW) == []


def test_one_that_harms_goes_back_at_once_from_all_that_have_it() -> None:
    place = Place(20)
    place.ask("start", NEW)
    place.run(12)
    had = len(place.running(NEW))
    assert 2 <= had <= 6
    place.served[settings_id(NEW)] = 0.8
    place.run(2)
    assert (
        place.plan.phase is RolloutPhase.ROLLED_BACK
        and "served" in place.plan.reason
        and place.running(NEW) == []
    )


def test_a_share_of_few_operations_says_nothing() -> None:
    assert combined_success([InstanceStatus(success_ratio=0.0, operations=0)]) == (1.0, 0)
    place = Place(10)
    place.ask("start", NEW)
    place.run(2)
    for name in place.names:
        value = msgspec.json.encode(
            InstanceStatus(running=place.followers[name].running, success_ratio=0.2, operations=1)
        )
        place.put(f"instance/{name}", value)
    assert "goes back" not in place.step()


def test_pause_resume_abort_and_what_is_refused() -> None:
    place = Place(10)
    place.ask("pause")
    assert place.step() == "refused" and "no roll-out" in place.plan.last_reply
    place.ask("start", NEW)
    place.run(3)
    place.ask("pause")
    place.run(60)
    assert place.plan.phase is RolloutPhase.PAUSED and len(place.running(NEW)) == 1
    place.ask("start", OLD)
    place.run(1)
    assert "refused" in place.plan.last_reply and place.plan.new_settings == settings_id(NEW)
    place.ask("resume")
    place.run(10)
    assert len(place.running(NEW)) > 1
    place.ask("abort")
    place.run(3)
    assert (
        place.plan.phase.value == "undone" and place.running(NEW) == [] and COMMAND_KEY not in place.entries
    )


def test_after_one_that_went_through_the_next_goes_back_to_it() -> None:
    place = Place(5)
    place.ask("start", OLD)
    place.run(60)
    assert len(place.running(OLD)) == 5
    place.ask("start", NEW)
    place.run(3)
    place.ask("abort")
    place.run(3)
    assert len(place.running(OLD)) == 5


def test_an_instance_that_was_away_catches_up_by_itself() -> None:
    place = Place(10)
    place.ask("start", NEW)
    place.run(1)
    place.leave("s3")
    place.leave("s4")
    place.run(100)
    assert place.plan.phase is RolloutPhase.DONE and len(place.running(NEW)) == 8
    place.back("s3")
    place.names.append("s99")
    place.followers["s99"] = RolloutFollower("s99")
    place.run(1)
    assert {"s3", "s99"} <= set(place.running(NEW)), "a new one too"


def test_one_that_is_there_and_does_not_take_it_ends_the_plan() -> None:
    place = Place(10)
    place.ask("start", NEW)
    place.step()
    place.step()
    (first,) = place.plan.updated_instances
    place.away.add(first)  # its session lives, and nothing comes of it
    place.run(40)
    assert place.plan.phase is RolloutPhase.ROLLED_BACK and first in place.plan.reason


@pytest.mark.parametrize("seed", range(60))
def test_no_step_is_done_twice_whoever_takes_over_in_its_middle(seed: int) -> None:
    """Two holders with states of any age: what the store lets through is what one holder would have done."""
    chance, place = random.Random(seed), Place(10)
    holders = [Rollout(soak_s=1.0), Rollout(soak_s=1.0)]
    seen: list[Entry | None] = [None, None]
    place.ask("start", NEW)
    last_reply: list[str] = []
    for _ in range(400):
        place.now += chance.uniform(0, 0.5)
        who = chance.randrange(2)
        if chance.random() < 0.7:
            seen[who] = place.entries.get("state/rollout")
        if seen[who] is not None or "state/rollout" not in place.entries:
            last_reply.append(place.step(holders[who], seen[who]))
        if chance.random() < 0.1 and len(place.away) < 5:
            gone = chance.choice([name for name in place.names if name not in place.away])
            place.leave(gone)
        elif chance.random() < 0.1 and place.away:
            place.back(chance.choice(sorted(place.away)))
        place.follow(chance.choice(place.names))
    taken = [what for what in last_reply if what.startswith("step ")]
    assert taken == [f"step {number + 1}" for number in range(len(taken))]


@pytest.mark.parametrize("phase", RolloutPhase)
def test_no_way_but_those_of_the_table(phase: RolloutPhase) -> None:
    plan = RolloutPlan("n", "o", (), phase)
    for other in RolloutPhase:
        if other in PHASE_TRANSITIONS[phase]:
            assert plan.with_phase(other).phase is other
        else:
            with pytest.raises(AssertionError):
                plan.with_phase(other)


def test_many_go_back_in_transactions_that_an_engine_takes() -> None:
    duty, names = Rollout(), tuple(f"s{number}" for number in range(250))
    plan, counts = RolloutPlan("n", "o", (names,), RolloutPhase.ROLLING_BACK, steps_done=1), []
    while plan.phase is RolloutPhase.ROLLING_BACK:
        step = duty.decide(0.0, msgspec.json.encode(plan), {})
        assert step is not None
        plan = msgspec.json.decode(step.state, type=RolloutPlan)
        counts.append(len(step.changes))
    assert counts == [MAX_PUTS_PER_STEP, MAX_PUTS_PER_STEP, 50, 0]


def test_a_word_that_is_older_or_garbled_is_not_taken() -> None:
    one = RolloutFollower("s0")
    entries = {
        "settings/x": Entry("settings/x", b"{}", 1, 1),
        DESIRED_BY_DEFAULT_KEY: Entry(DESIRED_BY_DEFAULT_KEY, b'{"settings": "x"}', 5, 5),
    }
    assert one.next_settings(entries) == DesiredSettings("x", "{}")
    one.record_applied("x")
    entries["want/s0"] = Entry("want/s0", b'{"settings": ""}', 4, 4)
    assert one.next_settings(entries) is None
    entries["want/s0"] = Entry("want/s0", b"?", 6, 6)
    assert one.next_settings(entries) is None
    entries["want/s0"] = Entry("want/s0", b'{"settings": ""}', 4, 7)
    assert one.next_settings(entries) == DesiredSettings("", None), "back to its own file"


@pytest.mark.parametrize("count", range(0, 41))
def test_steps_hold_every_instance_once(count: int) -> None:
    names = [f"s{number}" for number in range(count)]
    steps = plan_steps(names)
    assert sorted(name for step in steps for name in step) == sorted(names) and len(steps) <= 10
    assert json.loads(json.dumps(plan_steps(reversed(names)))) == json.loads(json.dumps(steps))
