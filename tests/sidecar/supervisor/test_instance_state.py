"""The state machine of one instance, explored over all orders of its events."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Iterator
from functools import partial
from math import inf

import pytest

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.commands import Command, Drain, Kill, Start
from coveport.sidecar.supervisor.instance import Instance
from coveport.sidecar.supervisor.instance_state import (
    ACTIVE_STATES,
    TRANSITIONS,
    ExitReason,
    InstanceState,
)

SETTINGS = Fleet(
    name="h", loop=3, loop_s=10.0, rest_s=20.0, ready_s=2.0, stop_s=2.0, hung_s=1.0, backoff_s=0.1
)
EXITS = {exit_reason.value for exit_reason in ExitReason}
Event = Callable[[Instance, float], list[Command] | None]


def events(instance: Instance, fresh: str) -> Iterator[tuple[str, float, Event]]:
    """Yield the possible events: name, time that passes before the event, and the event."""
    yield "desire", 0.0, lambda instance, now: instance.set_desired(now, True)
    yield "undesire", 0.0, lambda instance, now: instance.set_desired(now, False)
    yield "retry", 0.0, lambda instance, now: instance.retry_now(now)
    for wait in (0.05, 3.0, 30.0):
        yield f"tick {wait}", wait, lambda instance, now: instance.tick(now)
    for incarnation in {instance.incarnation, "old"} - {""}:
        yield f"ready {incarnation}", 0.1, partial(_ready, incarnation)
        yield f"stopping {incarnation}", 0.1, partial(_stopping, incarnation)
        yield f"replace {incarnation}", 0.1, partial(_replace, incarnation)
        for exit_reason in ExitReason:
            yield f"{exit_reason.value} {incarnation}", 0.1, partial(_exit, incarnation, exit_reason)
    if instance.can_start(instance.since + 100.0) and instance.state is InstanceState.WAITING:
        yield "start", 0.0, lambda instance, now: instance.start(max(now, instance.wait_until))
    if not instance.incarnation:
        yield "adopt", 0.1, lambda instance, now: instance.adopt(now, fresh)
        if instance.state in ACTIVE_STATES:
            yield "started", 0.1, lambda instance, now: instance.on_started(now, fresh)
            yield "start failed", 0.1, lambda instance, now: instance.on_start_failed(now, "no room")
            yield "unusable", 0.1, lambda instance, now: instance.on_unusable_files(now, "bad")
    elif instance.state is InstanceState.STOPPING:
        yield (
            "dropped",
            0.0,
            lambda instance, now: instance.on_command_dropped(Drain(instance.name, instance.incarnation)),
        )
    yield "hung", 0.1, lambda instance, now: instance.kill_hung(now)


def _ready(incarnation: str, instance: Instance, now: float) -> None:
    instance.on_ready(now, incarnation)


def _stopping(incarnation: str, instance: Instance, now: float) -> None:
    instance.on_stopping(now, incarnation)


def _replace(incarnation: str, instance: Instance, now: float) -> list[Command]:
    return instance.replace(now, incarnation)


def _exit(incarnation: str, exit_reason: ExitReason, instance: Instance, now: float) -> None:
    instance.on_exit(now, incarnation, exit_reason)


def state_key(instance: Instance) -> tuple[object, ...]:
    return (
        instance.state,
        bool(instance.incarnation),
        instance.desired,
        instance._exit_is_failure,
        instance._single_attempt,
        len(instance._failure_times),
        bool(instance.replacing),
        bool(instance._dropped_drain),
    )


def test_commands_when_events_come_in_any_order_fit_the_present_incarnation() -> None:
    """No state gives a command for an incarnation other than the present one, or a start beside a process."""
    seen: dict[tuple[object, ...], Instance] = {}
    first = Instance("h-1", SETTINGS, random.Random(1))
    queue: list[tuple[Instance, float, int]] = [(first, 0.0, 0)]
    seen[state_key(first)] = first
    reached, steps = {first.state}, 0
    while queue:
        instance, at, depth = queue.pop(0)
        for name, wait, apply in events(instance, f"incarnation{steps}"):
            steps += 1
            after = copy.deepcopy(instance)
            before, state = after.incarnation, after.state
            now = at + wait
            for command in apply(after, now) or ():  # AssertionError if the table has no such transition
                if isinstance(command, Start):
                    assert not before and state is InstanceState.WAITING, name
                else:
                    assert isinstance(command, Drain | Kill), name
                    assert command.incarnation in (before, after.incarnation), name
                    assert after.state in (InstanceState.STOPPING, InstanceState.KILLING), name
            if before and after.incarnation != before:
                assert name.split(" ")[0] in EXITS and not after.incarnation, name
            assert (after.state in ACTIVE_STATES) or not after.incarnation, name
            reached.add(after.state)
            if state_key(after) not in seen and depth < 14:
                seen[state_key(after)] = after
                queue.append((after, now, depth + 1))
    assert reached == set(InstanceState) and len(seen) > 40 and steps > 1000
    for instance in seen.values():
        assert_converges(instance)


def assert_converges(start: Instance) -> None:
    """Assert that an instance in this state finally serves if it is desired, and is down if it is not."""
    for desired in (True, False):
        expected = InstanceState.SERVING if desired else InstanceState.DOWN
        instance, now = copy.deepcopy(start), 1000.0
        commands = instance.set_desired(now, desired)
        for _ in range(200):
            now += 1.0
            commands += instance.tick(now)
            if instance.incarnation and Kill(instance.name, instance.incarnation) in commands:
                instance.on_exit(now, instance.incarnation, ExitReason.CRASH)
            if not instance.incarnation and instance.state in ACTIVE_STATES - {InstanceState.SERVING}:
                instance.on_start_failed(now, "no process")
            commands = []
            if instance.can_start(now):
                commands = instance.start(now) + instance.on_started(now, f"new{now}")
            if instance.state is InstanceState.STARTING and instance.incarnation.startswith("new"):
                instance.on_ready(now, instance.incarnation)
            if instance.state is expected:
                break
        assert instance.state is expected, (state_key(start), desired, instance.state, instance.reason)


def test_transitions_lead_out_of_every_state() -> None:
    assert set(TRANSITIONS) == set(InstanceState) and all(TRANSITIONS[state] for state in InstanceState)


def serving_instance(now: float = 0.0) -> Instance:
    instance = Instance("h-1", SETTINGS, random.Random(1))
    instance.set_desired(now, True)
    instance.start(now)
    instance.on_started(now, "a")
    instance.on_ready(now, "a")
    return instance


def test_crash_loop_backs_off_longer_each_time_and_ends_in_broken() -> None:
    instance, now, waits = serving_instance(), 0.0, []
    for incarnation in ("a", "b", "c"):
        instance.on_exit(now, incarnation, ExitReason.CRASH)
        if instance.state is InstanceState.BROKEN:
            break
        waits.append(instance.wait_until - now)
        now = instance.wait_until
        instance.start(now)
        instance.on_started(now, chr(ord(incarnation) + 1))
    assert len(waits) == 2 and 0.05 <= waits[0] <= 0.1 <= waits[1] <= 0.2
    assert instance.state is InstanceState.BROKEN and "3 times" in instance.reason
    instance.tick(now + 30.0)
    instance.start(now + 30.0)
    instance.on_started(now + 30.0, "z")
    instance.on_exit(now + 31.0, "z", ExitReason.CRASH)
    assert instance.state is InstanceState.BROKEN, "one attempt after its rest, not three"


@pytest.mark.parametrize(
    ("exit_reason", "state"),
    [
        (ExitReason.CLEAN, InstanceState.WAITING),
        (ExitReason.NAME_LOCKED, InstanceState.WAITING),
        (ExitReason.UNUSABLE_FILES, InstanceState.BROKEN),
        (ExitReason.CRASH, InstanceState.WAITING),
    ],
)
def test_exit_reason_decides_the_next_state(exit_reason: ExitReason, state: InstanceState) -> None:
    instance = serving_instance()
    instance.on_exit(1.0, "a", exit_reason)
    assert instance.state is state and instance.wait_until < inf
    assert instance.is_failing is (exit_reason is ExitReason.CRASH)


def test_instance_is_killed_when_its_drain_takes_too_long_without_counting_a_failure() -> None:
    instance = serving_instance()
    assert instance.replace(1.0, "older") == []
    assert instance.replace(1.0, "a") == [Drain("h-1", "a")]
    assert instance.tick(2.0) == [] and instance.tick(3.5) == [Kill("h-1", "a")]
    instance.on_exit(3.6, "a", ExitReason.CRASH)
    assert instance.can_start(3.6) and not instance.is_failing


def test_start_when_its_command_was_dropped_is_repeated() -> None:
    """A supervisor drops commands while its lease has lapsed: no process is created for a dropped start."""
    instance = Instance("h-1", SETTINGS, random.Random(1))
    instance.set_desired(0.0, True)
    assert instance.start(1.0) == [Start("h-1")]
    now = 1.0
    while now < 1.0 + 10 * SETTINGS.ready_s and instance.state is not InstanceState.WAITING:
        now += 0.1
        instance.tick(now)
    assert instance.state is InstanceState.WAITING, f"without a process it stays {instance.state.value}"
