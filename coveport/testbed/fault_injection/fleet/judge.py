"""Judges a trial of a fleet by the host's book, the plans in the store, and who held the duty. Pure.

Nothing of the supervisor's code is asked.
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
from coveport.testbed.fault_injection.fleet.host import Event, SimLife
from coveport.testbed.fault_injection.judge import Finding

WINDOW_S = 1.0  # over which starts are counted
EDGE_S = 0.1  # clocks that part by a little, and the time that a word takes


@dataclass(frozen=True, slots=True)
class Said:
    """What staff asked of a supervisor, and were told."""

    at: float
    told: float
    do: str
    ok: bool
    said: str
    words: dict[str, Any]


@dataclass(slots=True)
class _Life:
    """What the book tells of one life."""

    name: str
    started: float
    by: str
    held: bool = False
    ready: float = inf
    drained: float = inf
    killed: float = inf
    killed_by: str = ""
    ended: float = inf


def lives_of(book: Sequence[Event]) -> dict[str, _Life]:
    """Each life's own story."""
    found: dict[str, _Life] = {}
    for one in book:
        if one.what == "start":
            found[one.life] = _Life(one.name, one.at, one.by)
            continue
        life = found[one.life]
        if one.what == "held":
            life.held = True
        elif one.what == "ready":
            life.ready = one.at
        elif one.what == "drain":
            life.drained = min(life.drained, one.at)
        elif one.what == "kill":
            life.killed, life.killed_by = one.at, one.by
        elif one.what == "ended":
            life.ended = one.at
    return found


def judge(
    book: Sequence[Event],
    plans: Sequence[tuple[float, DesiredState]],
    holders: Sequence[tuple[float, str]],
    fleet: Fleet,
    end: float,
    left: Sequence[SimLife],
    said: Sequence[Said],
) -> list[Finding]:
    """All that is wrong."""
    lives = lives_of(book)
    return [
        *_two(lives),
        *_holder(book, holders),
        *_starts(book, holders, fleet),
        *_loops(lives, holders, fleet),
        *_healthy(book, lives, fleet),
        *_steps(book, plans),
        *_turns(plans, lives),
        *_back(plans, left, fleet, end),
        *_verbs(plans, said),
    ]


def _two(lives: dict[str, _Life]) -> list[Finding]:
    """No name has two lives at a time; one that ends as its name is held opened nothing."""
    found = []
    by: dict[str, list[_Life]] = {}
    for one in lives.values():
        if not one.held:
            by.setdefault(one.name, []).append(one)
    for name, line in by.items():
        line.sort(key=lambda one: one.started)
        for before, after in pairwise(line):
            if after.started < before.ended:
                found.append(Finding("two", after.started, f"{name} has two lives"))
    return found


def _holder(book: Sequence[Event], holders: Sequence[tuple[float, str]]) -> list[Finding]:
    """Nothing is done to an instance by a supervisor while another one holds the duty."""
    times = [at for at, _ in holders]
    found = []
    for one in book:
        if not one.by:
            continue
        at = bisect_right(times, one.at) - 1
        who = holders[at][1] if at >= 0 else ""
        if who and who != one.by:
            found.append(Finding("holder", one.at, f"{one.what} of {one.name} by {one.by}, {who} holds it"))
    return found


def _changes(holders: Sequence[tuple[float, str]], since: float, until: float) -> int:
    return sum(since <= at <= until for at, who in holders if who)


def _starts(book: Sequence[Event], holders: Sequence[tuple[float, str]], fleet: Fleet) -> list[Finding]:
    """No more are started in any window than may be, by all supervisors together."""
    starts = [one.at for one in book if one.what == "start"]
    for number, at in enumerate(starts):
        window = [one for one in starts[number:] if one <= at + WINDOW_S]
        changes = _changes(holders, at, at + WINDOW_S)
        most = (fleet.a_second * WINDOW_S + fleet.at_once) * 1.05 + 1 + changes * fleet.a_second * WINDOW_S
        if len(window) > most:
            return [Finding("flood", at, f"{len(window)} started in {WINDOW_S:g} s, {most:.1f} may be")]
    return []


def _loops(lives: dict[str, _Life], holders: Sequence[tuple[float, str]], fleet: Fleet) -> list[Finding]:
    """One that ends by itself again and again is left alone."""
    by: dict[str, list[_Life]] = {}
    for one in lives.values():
        if one.drained == inf and not one.held and one.ended < inf:
            by.setdefault(one.name, []).append(one)
    found = []
    for name, line in by.items():
        starts = sorted(one.started for one in line)
        for number, at in enumerate(starts):
            count = sum(one <= at + fleet.loop_s / 2 for one in starts[number:])
            # Each supervisor counts anew, and one is tried anew after its rest and when staff resume.
            most = (fleet.loop + 1) * (1 + _changes(holders, at - 0.5, at + fleet.loop_s / 2)) + 1
            if count > most:
                what = f"{name} was started {count} times in {fleet.loop_s / 2:g} s"
                found.append(Finding("loop", at, what))
                break
    return found


def _healthy(book: Sequence[Event], lives: dict[str, _Life], fleet: Fleet) -> list[Finding]:
    """Nobody is killed that was well; and of a host that stood still as a whole nobody at once."""
    found = []
    hung: dict[str, list[tuple[float, float]]] = {}
    for one in book:
        if one.what == "hung":
            hung.setdefault(one.life, []).append((one.at, one.until))

    def stands(life: str, at: float, heard_s: float) -> float | None:
        """Since when it has stood still without a break, at that time; None: it does not.

        `heard_s`: so long after it goes on it may not have been heard yet.
        """
        since, until = None, -inf
        for began, over in hung.get(life, ()):
            if began > at:
                break
            since = began if since is None or began > until else since
            until = max(until, over)
        return since if since is not None and at < until + heard_s else None

    for life, it in lives.items():
        if it.killed == inf:
            continue
        since = stands(life, it.killed, 0.5 * fleet.hung_s)
        late_to_end = it.drained < inf and it.killed - it.drained > fleet.stop_s - EDGE_S
        late_to_start = it.ready == inf and it.killed - it.started > fleet.ready_s - EDGE_S
        long_hung = since is not None and it.killed - since > 0.7 * fleet.hung_s
        if late_to_end or late_to_start:
            continue
        if not long_hung or since is None:
            found.append(Finding("healthy", it.killed, f"{it.name} was killed, and nothing was wrong"))
            continue
        there = [other for other, one_ in lives.items() if one_.ready < it.killed < one_.ended]
        # Those that came to stand still only just now are no reason to doubt what was seen of it.
        still = [
            other
            for other in there
            if (began := stands(other, it.killed, 0.0)) is not None and it.killed - began > 0.4 * fleet.hung_s
        ]
        if len(still) > max(2, 0.6 * len(there)) and it.killed - since < 2.5 * fleet.hung_s:
            found.append(Finding("mass", it.killed, f"{it.name} was killed where the whole host stood still"))
    return found


def _steps(book: Sequence[Event], plans: Sequence[tuple[float, DesiredState]]) -> list[Finding]:
    """Who is told to end was to: unwanted, or named by a step of a restart that stood in the store before."""
    found = []
    times = [at for at, _ in plans]
    for one in book:
        if one.what != "drain" or not one.by:
            continue
        at = bisect_right(times, one.at) - 1
        # A plan that was just replaced may have been the one that was seen.
        seen = [plan for _, plan in plans[max(0, at - 1) : at + 1]]
        if any(one.name not in _names(plan) for plan in seen):
            continue
        if any(
            plan.restart is not None and plan.restart.lives.get(one.name) == one.life
            for _, plan in plans[: at + 1]
        ):
            continue
        found.append(Finding("step", one.at, f"{one.name} was told to end, and no step names that life"))
    return found


def _names(plan: DesiredState) -> set[str]:
    return {f"host-{number}" for number in range(1, plan.count + 1)} - set(plan.drained)


def _turns(plans: Sequence[tuple[float, DesiredState]], lives: dict[str, _Life]) -> list[Finding]:
    """A restart takes the next ones only once those before serve."""
    found = []
    before: DesiredState | None = None
    for at, plan in plans:
        restart = plan.restart
        if restart is None:
            before = plan
            continue
        taken = set(restart.lives)
        old = (
            set(before.restart.lives)
            if before is not None and before.restart is not None and (before.restart.order == restart.order)
            else set()
        )
        new = taken - old if len(taken) >= len(old) else taken
        if new and restart.phase is RestartPhase.RUNNING and len(taken) > len(new):
            down = [
                name
                for name in taken - new
                if name in _names(plan)
                and not any(one.name == name and one.ready <= at < one.ended for one in lives.values())
            ]
            if len(down) + len(new) > restart.at_once:
                found.append(Finding("turns", at, f"{sorted(new)} while {sorted(down)} did not serve"))
        elif len(new) > restart.at_once:
            found.append(Finding("turns", at, f"{len(new)} at once, {restart.at_once} may be"))
        before = plan
    return found


def _back(
    plans: Sequence[tuple[float, DesiredState]], left: Sequence[SimLife], fleet: Fleet, end: float
) -> list[Finding]:
    """In the end all that are to be there serve, and nobody else does."""
    if not plans:
        return [Finding("back", end, "nobody ever planned anything")]
    wanted = _names(plans[-1][1])
    there = {one.name for one in left if one.ready and one.draining == inf and one.frozen <= end}
    found = [Finding("back", end, f"{name} does not serve") for name in sorted(wanted - there)]
    found += [
        Finding("back", end, f"{name} is there and not wanted")
        for name in sorted({one.name for one in left if one.draining == inf} - wanted)
    ]
    restart = plans[-1][1].restart
    if restart is not None and restart.phase is RestartPhase.RUNNING:
        found.append(Finding("back", end, f"a restart is at {len(restart.lives)} of {len(restart.order)}"))
    return found


def _verbs(plans: Sequence[tuple[float, DesiredState]], said: Sequence[Said]) -> list[Finding]:
    """What staff were told to be done stood in the store by then."""
    found = []
    for one in said:
        if (
            one.ok
            and one.do == "scale"
            and not any(plan.count == one.words["count"] for at, plan in plans if at <= one.told)
        ):
            found.append(Finding("verb", one.told, f"{one.do} was told as done, and never stood"))
    return found
