"""Judges a trial of a fleet by the host's log, the desired states in the store, and the role's holders. Pure.

Asks nothing of the supervisor's code.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from math import inf
from typing import Any

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.desired_state import DesiredState, RestartPhase
from coveport.testbed.fault_injection.fleet.host import Event, EventKind, SimInstance
from coveport.testbed.fault_injection.judge import Finding

WINDOW_S = 1.0  # over which starts are counted
TOLERANCE_S = 0.1  # clocks that differ a little, and the time that a notification takes


@dataclass(frozen=True, slots=True)
class Answered:
    """A request of the operators, and the supervisor's answer."""

    requested_at: float
    answered_at: float
    action: str
    is_done: bool
    message: str
    arguments: dict[str, Any]


@dataclass(slots=True)
class _Incarnation:
    """What the log says of one incarnation."""

    name: str
    started: float
    by: str
    found_name_locked: bool = False
    ready: float = inf
    drained: float = inf
    killed: float = inf
    ended: float = inf


Incarnations = dict[str, _Incarnation]
DatedStates = Sequence[tuple[float, DesiredState]]
Holders = Sequence[tuple[float, str]]  # who holds the role from a time on; empty if nobody does


def judge(
    events: Sequence[Event],
    states: DatedStates,
    holders: Holders,
    fleet: Fleet,
    end: float,
    running: Sequence[SimInstance],
    answers: Sequence[Answered],
) -> list[Finding]:
    """Return all violations of the rules."""
    incarnations = incarnations_of(events)
    return [
        *_duplicates(incarnations),
        *_other_supervisor(events, holders),
        *_starts(events, holders, fleet),
        *_loops(incarnations, holders, fleet),
        *_healthy(events, incarnations, fleet),
        *_steps(events, states),
        *_turns(states, incarnations),
        *_back(states, running, fleet, end),
        *_verbs(states, answers),
    ]


def incarnations_of(events: Sequence[Event]) -> Incarnations:
    """Return what happened to each incarnation."""
    incarnations: Incarnations = {}
    for event in events:
        if event.kind is EventKind.START:
            incarnations[event.incarnation] = _Incarnation(event.name, event.at, event.by)
            continue
        incarnation = incarnations[event.incarnation]
        if event.kind is EventKind.HELD:
            incarnation.found_name_locked = True
        elif event.kind is EventKind.READY:
            incarnation.ready = event.at
        elif event.kind is EventKind.DRAIN:
            incarnation.drained = min(incarnation.drained, event.at)
        elif event.kind is EventKind.KILL:
            incarnation.killed = event.at
        elif event.kind is EventKind.ENDED:
            incarnation.ended = event.at
    return incarnations


def _duplicates(incarnations: Incarnations) -> list[Finding]:
    """Check that no name has two incarnations at a time; one that found its name locked opened nothing."""
    found = []
    by_name: dict[str, list[_Incarnation]] = {}
    for incarnation in incarnations.values():
        if not incarnation.found_name_locked:
            by_name.setdefault(incarnation.name, []).append(incarnation)
    for name, same_name in by_name.items():
        same_name.sort(key=lambda incarnation: incarnation.started)
        for before, after in pairwise(same_name):
            if after.started < before.ended:
                found.append(Finding("two", after.started, f"{name} has two lives"))
    return found


def _other_supervisor(events: Sequence[Event], holders: Holders) -> list[Finding]:
    """Check that no supervisor acts on an instance while another one holds the role."""
    times = [at for at, _ in holders]
    found = []
    for event in events:
        if not event.by:
            continue
        index = bisect_right(times, event.at) - 1
        owner = holders[index][1] if index >= 0 else ""
        if owner and owner != event.by:
            message = f"{event.kind} of {event.name} by {event.by}, {owner} holds it"
            found.append(Finding("holder", event.at, message))
    return found


def _takeovers(holders: Holders, since: float, until: float) -> int:
    return sum(since <= at <= until for at, owner in holders if owner)


def _starts(events: Sequence[Event], holders: Holders, fleet: Fleet) -> list[Finding]:
    """Check that all supervisors together start no more in any window than allowed."""
    starts = [event.at for event in events if event.kind is EventKind.START]
    for number, at in enumerate(starts):
        count = sum(start <= at + WINDOW_S for start in starts[number:])
        takeovers = _takeovers(holders, at, at + WINDOW_S)
        allowed = (fleet.a_second * WINDOW_S + fleet.at_once) * 1.05 + 1
        allowed += takeovers * fleet.a_second * WINDOW_S
        if count > allowed:
            return [Finding("flood", at, f"{count} started in {WINDOW_S:g} s, {allowed:.1f} may be")]
    return []


def _loops(incarnations: Incarnations, holders: Holders, fleet: Fleet) -> list[Finding]:
    """Check that an instance in a crash loop is left alone."""
    starts_by_name: dict[str, list[float]] = {}
    for incarnation in incarnations.values():
        if incarnation.drained == inf and not incarnation.found_name_locked and incarnation.ended < inf:
            starts_by_name.setdefault(incarnation.name, []).append(incarnation.started)
    found = []
    window_s = fleet.loop_s / 2
    for name, starts in starts_by_name.items():
        starts.sort()
        for number, at in enumerate(starts):
            count = sum(start <= at + window_s for start in starts[number:])
            # Each supervisor counts anew, and there is one more attempt after a rest or a resume.
            allowed = (fleet.loop + 1) * (1 + _takeovers(holders, at - 0.5, at + window_s)) + 1
            if count > allowed:
                found.append(Finding("loop", at, f"{name} was started {count} times in {window_s:g} s"))
                break
    return found


class _Hangs:
    """When each incarnation was hung."""

    def __init__(self, events: Sequence[Event]) -> None:
        self._intervals: dict[str, list[tuple[float, float]]] = {}
        for event in events:
            if event.kind is EventKind.HUNG:
                self._intervals.setdefault(event.incarnation, []).append((event.at, event.until))

    def since(self, incarnation: str, at: float, unheard_s: float) -> float | None:
        """Return since when it has been hung without a break at a time; None if it is not.

        `unheard_s`: for how long after a hang its heartbeat may not have been received yet.
        """
        since, until = None, -inf
        for began, ended in self._intervals.get(incarnation, ()):
            if began > at:
                break
            since = began if since is None or began > until else since
            until = max(until, ended)
        return since if since is not None and at < until + unheard_s else None


def _healthy(events: Sequence[Event], incarnations: Incarnations, fleet: Fleet) -> list[Finding]:
    """Check that no healthy instance is killed, and none at once of a host that stalled altogether."""
    found = []
    hangs = _Hangs(events)
    for identity, victim in incarnations.items():
        if victim.killed == inf or _was_late(victim, fleet):
            continue
        since = hangs.since(identity, victim.killed, 0.5 * fleet.hung_s)
        if since is None or victim.killed - since <= 0.7 * fleet.hung_s:
            message = f"{victim.name} was killed, and nothing was wrong"
            found.append(Finding("healthy", victim.killed, message))
            continue
        is_early = victim.killed - since < 2.5 * fleet.hung_s
        if is_early and _is_host_stalled(incarnations, hangs, victim.killed, fleet):
            message = f"{victim.name} was killed where the whole host stood still"
            found.append(Finding("mass", victim.killed, message))
    return found


def _was_late(victim: _Incarnation, fleet: Fleet) -> bool:
    """Return whether it was killed because it did not exit, or was not ready, in time."""
    late_exit = victim.drained < inf and victim.killed - victim.drained > fleet.stop_s - TOLERANCE_S
    late_start = victim.ready == inf and victim.killed - victim.started > fleet.ready_s - TOLERANCE_S
    return late_exit or late_start


def _is_host_stalled(incarnations: Incarnations, hangs: _Hangs, at: float, fleet: Fleet) -> bool:
    serving = [
        identity
        for identity, incarnation in incarnations.items()
        if incarnation.ready < at < incarnation.ended
    ]
    # Those that hung only just now are no reason to doubt what was seen of the victim.
    hung = [
        identity
        for identity in serving
        if (since := hangs.since(identity, at, 0.0)) is not None and at - since > 0.4 * fleet.hung_s
    ]
    return len(hung) > max(2, 0.6 * len(serving))


def _steps(events: Sequence[Event], states: DatedStates) -> list[Finding]:
    """Check that a drained instance was not desired, or named by a restart's step stored before."""
    found = []
    times = [at for at, _ in states]
    for event in events:
        if event.kind is not EventKind.DRAIN or not event.by:
            continue
        index = bisect_right(times, event.at) - 1
        # A state that was just replaced may have been the one that the supervisor saw.
        seen = [state for _, state in states[max(0, index - 1) : index + 1]]
        if any(event.name not in _desired_names(state) for state in seen):
            continue
        if any(
            state.restart is not None and state.restart.replaced.get(event.name) == event.incarnation
            for _, state in states[: index + 1]
        ):
            continue
        found.append(Finding("step", event.at, f"{event.name} was told to end, and no step names that life"))
    return found


def _desired_names(state: DesiredState) -> set[str]:
    return {f"host-{number}" for number in range(1, state.count + 1)} - set(state.drained)


def _turns(states: DatedStates, incarnations: Incarnations) -> list[Finding]:
    """Check that a restart takes the next instances only once those before serve."""
    found = []
    before: DesiredState | None = None
    for at, state in states:
        restart = state.restart
        if restart is None:
            before = state
            continue
        taken = set(restart.replaced)
        taken_before = (
            set(before.restart.replaced)
            if before is not None and before.restart is not None and before.restart.order == restart.order
            else set()
        )
        new = taken - taken_before if len(taken) >= len(taken_before) else taken
        if new and restart.phase is RestartPhase.RUNNING and len(taken) > len(new):
            down = [
                name
                for name in taken - new
                if name in _desired_names(state) and not _serves(incarnations, name, at)
            ]
            if len(down) + len(new) > restart.at_once:
                found.append(Finding("turns", at, f"{sorted(new)} while {sorted(down)} did not serve"))
        elif len(new) > restart.at_once:
            found.append(Finding("turns", at, f"{len(new)} at once, {restart.at_once} may be"))
        before = state
    return found


def _serves(incarnations: Incarnations, name: str, at: float) -> bool:
    return any(
        incarnation.name == name and incarnation.ready <= at < incarnation.ended
        for incarnation in incarnations.values()
    )


def _back(states: DatedStates, running: Sequence[SimInstance], fleet: Fleet, end: float) -> list[Finding]:
    """Check that in the end all desired instances serve, and no other runs."""
    if not states:
        return [Finding("back", end, "nobody ever planned anything")]
    desired = _desired_names(states[-1][1])
    staying = [instance for instance in running if instance.draining_since == inf]
    serving = {instance.name for instance in staying if instance.is_ready and instance.frozen_until <= end}
    found = [Finding("back", end, f"{name} does not serve") for name in sorted(desired - serving)]
    found += [
        Finding("back", end, f"{name} is there and not wanted")
        for name in sorted({instance.name for instance in staying} - desired)
    ]
    restart = states[-1][1].restart
    if restart is not None and restart.phase is RestartPhase.RUNNING:
        message = f"a restart is at {len(restart.replaced)} of {len(restart.order)}"
        found.append(Finding("back", end, message))
    return found


def _verbs(states: DatedStates, answers: Sequence[Answered]) -> list[Finding]:
    """Check that what was answered as done stood in the store by then."""
    found = []
    for answer in answers:
        if not answer.is_done or answer.action != "scale":
            continue
        count = answer.arguments["count"]
        if not any(state.count == count for at, state in states if at <= answer.answered_at):
            message = f"{answer.action} was told as done, and never stood"
            found.append(Finding("verb", answer.answered_at, message))
    return found
