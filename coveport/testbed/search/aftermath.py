"""Whether the service came back once the last fault was over. Pure.

Service is held against what was in reach (`reach`), window by window, from the moment at which nothing is
wrong any more and what the nodes still held then can have been worked off. Some days are served below their
reach all along (a fleet asked for more than it can do queues, crowds and wastes). So what stays low is no
find by itself: it is one if the same day without its faults is served better in the same time.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

import msgspec

from coveport.testbed import event_log
from coveport.testbed.day import Day
from coveport.testbed.event_log import AnyRow
from coveport.testbed.fault_schedule import DrawnFault, draw_fault
from coveport.testbed.faults import Drain, Whom
from coveport.testbed.fleet import draw_nodes
from coveport.testbed.scenario import Scenario
from coveport.testbed.search.reach import Reach

WINDOW_MS = 3000.0  # of the service after the last fault
BACK = 0.9  # of what was in reach: the service is back ...
HOLD_MS = 2000.0  # ... once all windows that begin in this time say so
STAYS_MS = 5000.0  # low for so long until the end: it does not come back
MOST_LEVEL = 0.85  # of the capacity; who is asked for more falls behind for that alone
NEWS_MS = 2000.0  # on top: for what is known to travel, and trials to be made
GAP = 0.1  # by which the same day without faults must be served better, as a share of its reach,
LOW_GAP = 0.25  # where that is low as well,
LEAST = 10  # and by so many wishes of middling worth: a few more or less are chance


@dataclass(frozen=True)
class Aftermath:
    """What came after the last fault. Times in ms of the day."""

    quiet: float  # the last trouble is over
    judged: float  # what was held then can have been worked off
    seen: bool  # there was time to see whether the service came back
    back_s: float | None  # from `quiet` until it did, by steps of the reach; None: not by the day's end
    below: float | None  # since when it stays low until the day's end, where that is long enough
    short: float  # share of the worth in reach, from the first fault on, that was not served


def troubles_of(day: Scenario, seed: int) -> list[DrawnFault]:
    """Its faults as the seed has them; the end of one that nobody mends is where it is fully there."""
    nodes = draw_nodes(day, seed)
    found = []
    for number in range(len(day.faults)):
        one = draw_fault(day, seed, number, nodes)
        if not is_mended(day, one):
            one.end = one.begin + (one.fault.gone_s * 1000 if isinstance(one.fault, Drain) else 0.0)
        found.append(one)
    return found


def is_mended(day: Scenario, one: DrawnFault) -> bool:
    """Whether a fault ends of itself before the day does."""
    return bool(one.length) or abs(one.end - day.length_s * 1000) > 1e-6


def without_faults(day: Scenario, seed: int) -> Scenario:
    """The same day with nothing going wrong on the way: what nobody mends is there from the beginning."""
    nodes = draw_nodes(day, seed)
    kept = []
    for number, fault in enumerate(day.faults):
        one = draw_fault(day, seed, number, nodes)
        if is_mended(day, one):
            continue
        changes: dict[str, object] = {"at_s": 0.0}
        if one.targets and hasattr(fault, "whom"):
            changes["whom"] = Whom(numbers=one.targets)  # the same ones, whatever its place in the list
        kept.append(msgspec.structs.replace(fault, **changes))
    return msgspec.structs.replace(day, faults=tuple(kept))


def quiet_from(day: Day, rows: Sequence[AnyRow]) -> float:
    """When the last trouble was over: faults ended, and back who was to come back, in ms of the day."""
    end = day.scenario.length_s * 1000
    latest = max([one.end for one in troubles_of(day.scenario, day.seed)], default=0.0)
    states: dict[int, str] = {}
    for row in rows:
        if row.at >= end:
            continue
        if isinstance(row, event_log.Life) and row.what in ("start", "ready", "resume"):
            latest = max(latest, row.at)
        elif isinstance(row, event_log.NodeIs):
            if row.state == "up" and states.get(row.node, "up") != "up":
                latest = max(latest, row.at)
            states[row.node] = row.state
    return min(latest, end)


def aftermath(day: Day, rows: Sequence[AnyRow], reach: Reach) -> Aftermath:
    """How the service came back, or did not."""
    end = day.scenario.length_s * 1000
    quiet = quiet_from(day, rows)
    asked = sum(wish.work_ms for wish in day.wishes if wish.due >= quiet) / max(end - quiet, 1.0)
    capacity = reach.capacity_after(quiet)
    queued = _queued_ms(day, rows, quiet)
    judged = quiet + NEWS_MS + max(_drain_ms(day, rows, quiet), queued / max(capacity - asked, 1e-9))
    first = min([span.begin for span in day.spans], default=0.0)
    due, served = reach.between(first, end)
    step = reach.step_ms
    begin = -(-quiet // step) * step
    low: list[tuple[float, bool]] = []  # by window: where it begins, and whether it was below
    while begin <= end - WINDOW_MS:
        low.append((begin, is_low(reach, begin, begin + WINDOW_MS)))
        begin += step
    back = next(
        (
            at
            for number, (at, _) in enumerate(low)
            if not any(bad for other, bad in low[number:] if other <= at + HOLD_MS)
        ),
        None,
    )
    below = inf
    for at, bad in reversed(low):
        if not bad or at < judged:
            break
        below = at
    if asked > MOST_LEVEL * capacity:
        below = inf
    return Aftermath(
        quiet,
        judged,
        bool(low),
        None if back is None else (back - low[0][0]) / 1000,
        below if end - below >= STAYS_MS and is_low(reach, below, end) else None,
        max(0.0, 1 - served / due) if due > 0 else 0.0,
    )


def ratio(reach: Reach, begin: float, end: float) -> float:
    """Served over what was in reach, 1 where nothing was."""
    due, served = reach.between(begin, end)
    return served / due if due > 1e-9 else 1.0


def is_low(reach: Reach, begin: float, end: float) -> bool:
    """Whether less was served than counts as back."""
    return ratio(reach, begin, end) < BACK


def _queued_ms(day: Day, rows: Sequence[AnyRow], quiet: float) -> float:
    """Work that tills had not found a connection for by `quiet`, in ms: no sidecar has heard of it yet."""
    tried: set[str] = set()
    for row in rows:
        if row.at > quiet:
            break
        if isinstance(row, event_log.Asked | event_log.Unasked):
            tried.add(row.first)
    return sum(wish.work_ms for wish in day.wishes if wish.due <= quiet and wish.op not in tried)


def _drain_ms(day: Day, rows: Sequence[AnyRow], quiet: float) -> float:
    """How long nodes may need for what had come to them by `quiet`, wanted by anybody or not.

    What runs is run to its end by most nodes, whoever has given it up.
    """
    works: dict[int, float] = {}  # of attempts that wait
    backlog: dict[int, tuple[float, float]] = {}  # by node: when, and how much work had begun and was left
    speeds: dict[int, float] = {}

    def left(node: int, at: float) -> float:
        since, work = backlog.get(node, (at, 0.0))
        return max(0.0, work - (at - since) * speeds.get(node, 0.0))

    for row in rows:
        if row.at > quiet:
            break
        if isinstance(row, event_log.Arrived) and row.took == "work":
            works[row.attempt] = row.work_ms
        elif isinstance(row, event_log.Ran):
            backlog[row.node] = row.at, left(row.node, row.at) + works.pop(row.attempt, 0.0)
        elif isinstance(row, event_log.Ended):
            works.pop(row.attempt, None)
        elif isinstance(row, event_log.NodeIs):
            backlog[row.node] = row.at, 0.0 if row.state == "down" else left(row.node, row.at)
            speeds[row.node] = row.cores * row.speed
    return max((left(node, quiet) / speeds[node] for node in backlog), default=0.0)
