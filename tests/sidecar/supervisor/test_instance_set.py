"""The instances of a host together: bounded starts, and the replacement of hung instances."""

from __future__ import annotations

import random

import msgspec

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.commands import Drain, Kill, Start
from coveport.sidecar.supervisor.desired_state import DesiredState
from coveport.sidecar.supervisor.instance_set import InstanceSet
from coveport.sidecar.supervisor.instance_state import ExitReason, InstanceState

FLEET = Fleet(name="h", instances=4, at_once=2, a_second=2.0, hung_s=2.0, hold_s=1.0)


def new_instance_set(count: int, seed: int = 1) -> InstanceSet:
    instances = InstanceSet(msgspec.structs.replace(FLEET, instances=count), random.Random(seed))
    instances.acquire(0.0, {})
    instances.apply(0.0, DesiredState(count, count))
    return instances


def run_until_serving(instances: InstanceSet, now: float) -> float:
    """Carry out all starts until every instance serves; return the time."""
    for _ in range(400):
        now += 0.1
        for command in instances.tick(now):
            assert isinstance(command, Start)
            incarnation = f"incarnation of {command.name}"
            instances.on_started(now, command.name, incarnation)
            instances.on_ready(now, command.name, incarnation)
        for instance in instances.by_name.values():
            instances.on_heartbeat(now, instance.name, instance.incarnation)
        if all(instance.state is InstanceState.SERVING for instance in instances.by_name.values()):
            return now
    raise AssertionError("not all instances serve")


def run_with_silent(
    instances: InstanceSet, now: float, duration_s: float, silent: set[str]
) -> list[tuple[float, str]]:
    """Return the time and name of each kill while the silent instances send no heartbeats."""
    killed = []
    for step in range(int(duration_s / 0.1)):
        at = now + step * 0.1
        killed += [(at, command.name) for command in instances.tick(at) if isinstance(command, Kill)]
        for instance in instances.by_name.values():
            if instance.name not in silent and instance.state is InstanceState.SERVING:
                instances.on_heartbeat(at, instance.name, instance.incarnation)
    return killed


def test_starts_are_bounded_in_any_window_with_random_events() -> None:
    for seed in range(20):
        rng = random.Random(seed)
        instances = new_instance_set(30, seed)
        now = 0.0
        starts: list[float] = []
        while now < 40.0:
            now += 0.05
            for command in instances.tick(now):
                if isinstance(command, Start):
                    starts.append(now)
                    instances.on_started(now, command.name, f"i{len(starts)}")
            for instance in list(instances.by_name.values()):
                name, incarnation = instance.name, instance.incarnation
                if incarnation and rng.random() < 0.05:
                    instances.on_ready(now, name, incarnation)
                elif incarnation and rng.random() < 0.01:
                    instances.on_exit(now, name, incarnation, ExitReason.CRASH)
                elif incarnation:
                    instances.on_heartbeat(now, name, incarnation)
            starting = [
                instance
                for instance in instances.by_name.values()
                if instance.state is InstanceState.STARTING
            ]
            assert len(starting) <= FLEET.at_once
        for at in starts:
            in_window = sum(at <= start <= at + 5.0 for start in starts)
            assert in_window <= FLEET.a_second * 5.0 + FLEET.at_once + 1


def test_hung_instance_is_replaced_but_not_those_of_a_stalled_host() -> None:
    instances = new_instance_set(4)
    now = run_until_serving(instances, 0.0)
    assert [name for _, name in run_with_silent(instances, now, 3.0, {"h-2"})] == ["h-2"]
    instances = new_instance_set(4)
    now = run_until_serving(instances, 0.0)
    # The last heartbeats before the stall do not coincide, so the instances become late one by one.
    for number, instance in enumerate(instances.by_name.values()):
        instance.last_heartbeat_at = now - 0.2 * number
    assert run_with_silent(instances, now, 3.0, set(instances.by_name)) == []
    assert len(run_with_silent(instances, now + 3.0, 6.0, set(instances.by_name))) == 1, (
        "after the longer time-out, one at a time"
    )


def test_many_hung_instances_are_replaced_a_tenth_at_a_time() -> None:
    instances = new_instance_set(40)
    now = run_until_serving(instances, 0.0)
    hung = {f"h-{number}" for number in range(1, 16)}
    killed = run_with_silent(instances, now, 4.0, hung)
    assert len(killed) == 4 and {name for _, name in killed} <= hung


def test_successor_begins_without_start_tokens_and_adopts_running_instances() -> None:
    instances = InstanceSet(FLEET, random.Random(1))
    instances.acquire(100.0, {"h-1": "a", "h-9": "b"})
    assert instances.tick(100.0) == []
    commands = instances.apply(100.0, DesiredState(4, 4))
    assert commands == [Drain("h-9", "b")], "the instance that is not desired is drained"
    assert instances.tick(100.01) == []
    instances.on_ready(100.1, "h-1", "a")
    assert instances.by_name["h-1"].state is InstanceState.SERVING
    assert [command.name for command in instances.tick(100.6)] == ["h-2"]
