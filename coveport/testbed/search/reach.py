"""What any policy could have served at each moment of a played day, and what was served. Pure.

A fluid bound. Work is taken as water: what is asked by class and step of time may be done at any time from
when it was due until its aim, by whoever has capacity, in whatever parts. Capacity is what nodes can do:
their speed with slow factors taken in, cold starts, deaths and silence, from when some sidecar knew them; a
node that keeps itself slow (a jam) counts as one that does not, as no policy need bring that about. Who
would have been served best is a linear program (worth of what is done, within capacity), which HiGHS solves
by scipy.

It is optimistic: queues, pauses, crowding, connections, errors and lost messages cost nothing, and all is
known at once. Work done behind a silence or a cut may be told once that is over, so only what outlasts
every aim is taken off. A wish counts as out of reach where its till goes away before its work can be done,
or its sidecar has no CPU or is not there all the while.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil, inf

import numpy as np
from numpy.typing import NDArray
from scipy import sparse
from scipy.optimize import linprog

from coveport.testbed import event_log
from coveport.testbed.day import Change, Day, Wish
from coveport.testbed.event_log import AnyRow
from coveport.testbed.ids import first_id

Floats = NDArray[np.float64]
Span = tuple[float, float]
Group = tuple[int, int, int]
"""Class, step in which it was due, and its sidecar's zone (0 where that does not matter)."""

STEP_S = 0.5


@dataclass(frozen=True)
class Reach:
    """Worth by step of time, of what was due in it."""

    step_ms: float
    asked: Floats
    reachable: Floats  # what capacity allowed, at the most
    served: Floats  # answered with a 200 within its aim
    capacity: Floats  # ms of standard work that could be done in it, all zones together

    @property
    def share(self) -> Floats:
        """Reachable / asked, 1 where nothing was asked."""
        return np.divide(self.reachable, self.asked, out=np.ones_like(self.asked), where=self.asked > 0)

    def between(self, begin_ms: float, end_ms: float) -> tuple[float, float]:
        """(reachable, served) of what was due from `begin_ms` on and before `end_ms`, by whole steps."""
        low, high = (max(0, round(one / self.step_ms)) for one in (begin_ms, end_ms))
        return float(self.reachable[low:high].sum()), float(self.served[low:high].sum())

    def capacity_after(self, begin_ms: float) -> float:
        """Ms of standard work a ms, on average from then on."""
        after = self.capacity[round(begin_ms / self.step_ms) :]
        return float(after.mean()) / self.step_ms if len(after) else 0.0


def reachable(day: Day, rows: Sequence[AnyRow], step_s: float = STEP_S) -> Reach:
    """The bound and the service, step by step from the day's beginning to its last arrival."""
    step, classes = step_s * 1000, day.scenario.classes
    longest = max(one.aim_ms for one in classes)
    steps = ceil(day.scenario.length_s * 1000 / step)
    slots = steps + ceil(longest / step) + 1
    aims = [ceil(one.aim_ms / step) for one in classes]
    cut = _cuts(day, longest, slots, step)
    capacity, fastest = _capacity(day, rows, step, slots, longest)
    zone_of = {one.number: one.zone for one in day.sidecars}
    shut = _shut(rows)

    asked, served = np.zeros(steps), np.zeros(steps)
    offered: dict[Group, tuple[float, float]] = {}  # (work, worth)
    by_op: dict[str, Wish] = {}
    for wish in day.wishes:
        cls, at = classes[wish.cls], min(int(wish.due // step), steps - 1)
        asked[at] += cls.worth
        by_op[wish.op] = wish
        until = wish.due + (cls.aim_ms if wish.leaves_ms < 0 else min(cls.aim_ms, wish.leaves_ms))
        # A later try begins anew, unless its key tells that the work is done or under way.
        once = cls.aim_ms if cls.repeats == "keyed" and wish.tries > 1 else cls.deadline_ms * wish.try_share
        speed = float(fastest[at : at + aims[wish.cls] + 1].max())
        if (
            wish.half
            or wish.work_ms > speed * min(until - wish.due, once)
            or any(begin <= wish.due and until <= end for begin, end in shut.get(wish.sidecar, ()))
        ):
            continue
        near_cut = cut[:, at : at + aims[wish.cls] + 1].any()
        group = wish.cls, at, zone_of[wish.sidecar] if near_cut else 0
        work, worth = offered.get(group, (0.0, 0.0))
        offered[group] = work + wish.work_ms, worth + cls.worth
    good: set[str] = set()
    for row in rows:
        if isinstance(row, event_log.Answered) and row.status == 200:
            first = first_id(row.op)
            done = by_op.get(first)
            if done is None or first in good:
                continue
            if row.at <= done.due + classes[done.cls].aim_ms + 1e-6:
                good.add(first)
                served[min(int(done.due // step), steps - 1)] += classes[done.cls].worth
    return Reach(
        step, asked, _best(offered, capacity, cut, aims, steps), served, capacity.sum(axis=0)[:steps]
    )


def _best(
    offered: dict[Group, tuple[float, float]],
    capacity: Floats,
    cut: NDArray[np.bool_],
    aims: list[int],
    steps: int,
) -> Floats:
    """Worth done by step of its due time, for the greatest worth in all."""
    done = np.zeros(steps)
    zones, slots = capacity.shape
    whole = capacity.sum(axis=0)
    groups = list(offered)
    gains: list[float] = []
    rows_of: list[int] = []
    pools: list[int] = []
    for number, (cls, at, zone) in enumerate(groups):
        work, worth = offered[cls, at, zone]
        for slot in range(at, min(slots, at + aims[cls] + 1)):
            # While a zone is cut off it has its own capacity, and all others theirs together.
            apart = cut[:, slot]
            pool = (zone if apart[zone] else zones) if apart.any() else zones + 1
            room = (
                (capacity[zone, slot] if apart[zone] else capacity[~apart, slot].sum())
                if apart.any()
                else whole[slot]
            )
            if room > 0:
                gains.append(worth / work)
                rows_of.append(number)
                pools.append(len(groups) + pool * slots + slot)
    if not gains:
        return done
    limits = np.concatenate(
        [
            [offered[one][0] for one in groups],
            capacity.ravel(),
            np.where(cut, 0.0, capacity).sum(axis=0),
            whole,
        ]
    )
    count = len(gains)
    taken = sparse.csr_matrix(
        (np.ones(2 * count), (rows_of + pools, [*range(count)] * 2)), shape=(len(limits), count)
    )
    found = linprog(-np.array(gains), A_ub=taken, b_ub=limits, method="highs")
    assert found.status == 0, found.message
    worths: Floats = np.array(gains) * found.x
    np.add.at(done, [groups[number][1] for number in rows_of], worths)
    return done


def _capacity(
    day: Day, rows: Sequence[AnyRow], step: float, slots: int, longest: float
) -> tuple[Floats, Floats]:
    """Ms of standard work that can be done by zone and step; and in a ms by the fastest core, by step."""
    states: dict[int, list[event_log.NodeIs]] = {}
    told: dict[int, list[event_log.Told]] = {}
    for row in rows:
        if isinstance(row, event_log.NodeIs):
            states.setdefault(row.node, []).append(row)
        elif isinstance(row, event_log.Told):
            told.setdefault(row.node, []).append(row)
    total, fastest = np.zeros((len(day.scenario.fleet.zones), slots)), np.zeros(slots)
    # The middle of each tenth of a step is looked at.
    moments: Floats = (np.arange(10 * slots) + 0.5) * step / 10
    for node in day.nodes:
        those = states.get(node.number, [])
        named = _named(told.get(node.number, []))
        speeds = np.zeros(len(moments))
        for number, row in enumerate(those):
            begin = row.at if number else -inf
            end = those[number + 1].at if number + 1 < len(those) else inf
            if row.state == "down":
                continue
            if row.state == "silent":
                begin = max(begin, end - longest)
            inside = (moments >= begin) & (moments < end)
            warmth = np.ones(int(inside.sum()))
            if row.born >= 0 and row.warm_ms > 0:
                age = np.clip((moments[inside] - row.born) / row.warm_ms, 0.0, 1.0)
                warmth = row.cold_from + (1 - row.cold_from) * age
            speed = row.speed
            slower = day.scenario.fleet.jam.slower
            if node.jam_at > 0 and _unjammed(day, node.number, node.speed, row.at) > speed * (1 + slower) / 2:
                speed *= slower
            speeds[inside] = speed * warmth
        known = np.zeros(len(moments), dtype=np.bool_)
        for begin, end in named:
            known |= (moments >= begin) & (moments < end + longest)
        speeds[~known] = 0.0
        by_step = speeds.reshape(slots, 10)
        fastest = np.maximum(fastest, by_step.max(axis=1))
        total[node.zone] += node.cores * by_step.mean(axis=1) * step
    return total, fastest


def _unjammed(day: Day, node: int, speed: float, at: float) -> float:
    """The speed of a core with all slow factors of that moment, and without a jam."""
    slow: dict[int, float] = {}
    for change in day.changes:
        if change.at <= at and change.what == "slow" and change.target in (-1, node):
            if change.on:
                slow[change.fault] = change.value
            else:
                slow.pop(change.fault, None)
    for factor in slow.values():
        speed /= factor
    return speed


def _named(told: list[event_log.Told]) -> list[Span]:
    """When at least one sidecar had a node as active."""
    spans: list[Span] = []
    since: dict[int, float] = {}
    for row in told:
        if row.state == "active":
            since.setdefault(row.sidecar, row.at)
        elif row.sidecar in since:
            spans.append((since.pop(row.sidecar), row.at))
    return spans + [(begin, inf) for begin in since.values()]


def _shut(rows: Sequence[AnyRow]) -> dict[int, list[Span]]:
    """By sidecar: when its process was not there, or had no CPU."""
    spans: dict[int, list[Span]] = {}
    out: dict[int, float] = {}
    for row in rows:
        if isinstance(row, event_log.Life):
            if row.what in ("kill", "exit", "stall"):
                out.setdefault(row.sidecar, row.at)
            elif row.what in ("start", "resume") and row.sidecar in out:
                spans.setdefault(row.sidecar, []).append((out.pop(row.sidecar), row.at))
    for sidecar, begin in out.items():
        spans.setdefault(sidecar, []).append((begin, inf))
    return spans


def _cuts(day: Day, longest: float, slots: int, step: float) -> NDArray[np.bool_]:
    """By zone and step: whether it is cut off, and nothing done meanwhile could be told in time."""
    cut = np.zeros((len(day.scenario.fleet.zones), slots), dtype=np.bool_)
    begun: dict[int, Change] = {}

    def over(change: Change, until: float) -> None:
        cut[change.target, ceil(change.at / step) : max(0, int(min(until, slots * step) // step))] = True

    for change in day.changes:
        if change.what == "cut" and change.on:
            begun[change.fault] = change
        elif change.what == "cut" and change.fault in begun:
            over(begun.pop(change.fault), change.at - longest)
    for change in begun.values():
        over(change, inf)
    return cut
