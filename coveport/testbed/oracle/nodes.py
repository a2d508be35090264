"""Rules on the nodes that a sidecar sends to: named to it, not draining, and not overrun while cold. Pure."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from itertools import accumulate
from math import inf

from coveport.testbed.event_log import NodeIs, Told
from coveport.testbed.oracle.case import Case
from coveport.testbed.oracle.lives import Generation


def judge_nodes(case: Case) -> None:
    """`drained`, `unnamed`, `cold`."""
    outs = {pair: _outs(case, *pair, told) for pair, told in case.told.items()}
    for row in [attempt.row for attempts in case.arrived.values() for attempt in attempts]:
        told = case.told.get((row.sidecar, row.node))
        if told is None or told[0].at > row.at:
            case.breach(
                "unnamed",
                row.at,
                row.op,
                f"{case.sidecar(row.sidecar)} sent {case.node(row.node)} something that came at "
                f"{row.at:.1f} ms; discovery had not named that node to it.",
            )
            continue
        for out in outs[row.sidecar, row.node]:
            if out.limit < row.handed < out.until:
                handed = case.handed(row)
                if handed > case.lives.due(row.sidecar, out.limit):
                    case.breach(
                        "drained",
                        handed,
                        row.op,
                        f"{case.sidecar(row.sidecar)} sent {case.node(row.node)} something new at "
                        f"{handed:.1f} ms, {handed - out.told.at:.1f} ms after it was told that the "
                        f"node is {out.told.state}.",
                    )
    for node, rows in case.nodes.items():
        _judge_cold(case, node, rows)


@dataclass(slots=True, frozen=True)
class _Out:
    """A time in which a sidecar knew a node as draining or gone."""

    told: Told
    limit: float  # until when it may send
    until: float  # it was told otherwise, or its process ended


def _outs(case: Case, sidecar: int, node: int, told: list[Told]) -> list[_Out]:
    """What one process was told counts for that process; its first word counts until one takes it back."""
    outs: list[_Out] = []
    first: Told | None = None
    generation = -1

    def over(until: float) -> None:
        if first is not None:
            limit = first.at + case.rules.drain_grace_ms + case.grace.extra_ms
            outs.append(_Out(first, limit, until))

    for row in told:
        now = case.lives.number(sidecar, row.at)
        if now != generation:
            over(row.at)
            first, generation = None, now
        if row.state == "active":
            over(row.at)
            first = None
        elif first is None:
            first = row
    if first is not None:
        lives = case.lives.of.get(sidecar, [])
        over(lives[generation].end if generation < len(lives) else inf)
    return outs


@dataclass(slots=True, frozen=True)
class _Load:
    at: float
    work_ms: float
    sidecar: int
    told: bool  # whether its sidecar had been told of the start


def _judge_cold(case: Case, node: int, rows: list[NodeIs]) -> None:
    starts: dict[float, list[NodeIs]] = {}
    for row in rows:
        if row.born >= 0 and row.state != "down" and row.cold_from < 1:
            starts.setdefault(row.born, []).append(row)
    for born, states in starts.items():
        died = next((row.at for row in rows if row.state == "down" and row.at > born), inf)
        _judge_start(case, node, states, min(died, born + states[0].warm_ms))


def _judge_start(case: Case, node: int, states: list[NodeIs], until: float) -> None:
    """The budget over any window of `fall_ms` while the node is cold.

    It is enough to look at windows that end with an attempt: capacity grows, and what troubles the node later
    is not held against what was sent before. A window does not reach back before the start, so that a short
    burst just after it has a whole window's budget, by what the node was about to do.
    """
    born, fall_ms, factor = states[0].born, case.rules.fall_ms, case.rules.overload_factor
    loads = _loads(case, node, born, until)
    times = [load.at for load in loads]
    work = [0.0, *accumulate(load.work_ms for load in loads)]
    told = [0.0, *accumulate(load.work_ms if load.told else 0.0 for load in loads)]
    for last, at in enumerate(times, 1):
        begin = max(born, at - fall_ms)
        first = bisect_left(times, begin)
        sent, by_told = work[last] - work[first], told[last] - told[first]
        budget = factor * _capacity([row for row in states if row.at <= at], begin, begin + fall_ms)
        if sent <= budget * (1 + case.grace.cold_share) or 3 * by_told < 2 * sent:
            continue
        if sent <= budget + max(load.work_ms for load in loads[first:last]):
            continue
        by: dict[int, float] = {}
        for load in loads[first:last]:
            by[load.sidecar] = by.get(load.sidecar, 0.0) + load.work_ms
        whose = ", ".join(f"{case.sidecar(one)} {share:.0f}" for one, share in sorted(by.items()))
        case.breach(
            "cold",
            at,
            "",
            f"{case.node(node)}, started at {born:.1f} ms, was sent {sent:.0f} ms of work from "
            f"{begin:.1f} to {at:.1f} ms ({whose}); its budget for {fall_ms:.0f} ms was "
            f"{budget:.0f}, and {100 * by_told / sent:.0f}% came from sidecars that had been told of "
            f"its start.",
        )
        return


def _loads(case: Case, node: int, born: float, until: float) -> list[_Load]:
    """The work that came to a node after its start, in order of time, turned away or not."""
    sidecars = {one.number: _told_of_start(case, one.number, node, born) for one in case.day.sidecars}
    loads = []
    for row in [attempt.row for attempt in case.arrived.get(node, ())]:
        if born <= row.at <= until:
            told = _was_told(case, sidecars.get(row.sidecar, []), row.sidecar, row.handed)
            loads.append(_Load(row.at, row.work_ms, row.sidecar, told))
    for probe in case.probed.get(node, ()):
        if born <= probe.at <= until:
            told = _was_told(case, sidecars.get(probe.sidecar, []), probe.sidecar, probe.at)
            loads.append(_Load(probe.at, probe.work_ms, probe.sidecar, told))
    loads.sort(key=lambda load: load.at)
    return loads


def _told_of_start(case: Case, sidecar: int, node: int, born: float) -> list[float]:
    """When a sidecar was told of a start, or is deemed told, by one process or another."""
    told = [
        row.at
        for row in case.told.get((sidecar, node), ())
        if row.state == "active" and row.born >= born - case.grace.born_ms
    ]
    late_ms = max((one.value for one in case.day.changes if one.what == "discovery-late"), default=0.0)
    seen = born + case.day.add_ms + late_ms
    for life in case.lives.of.get(sidecar) or [Generation()]:
        deemed = max(seen, life.begin) + case.grace.deemed_ms
        if deemed < life.end:
            told.append(deemed)
    return sorted(told)


def _was_told(case: Case, told: list[float], sidecar: int, at: float) -> bool:
    """Whether the process that sent something at `at` had been told by then."""
    number = bisect_right(told, at) - 1
    return number >= 0 and case.lives.number(sidecar, told[number]) == case.lives.number(sidecar, at)


def _capacity(states: list[NodeIs], begin: float, end: float) -> float:
    """What a node can do between two times, in ms of standard work; its last state holds on."""
    done = 0.0
    for number, row in enumerate(states):
        low = max(begin, row.at) if number else begin
        high = min(end, states[number + 1].at) if number + 1 < len(states) else end
        if low < high:
            done += row.cores * row.speed * (_warmth(row, high) - _warmth(row, low))
    return done


def _warmth(row: NodeIs, at: float) -> float:
    """The share of its capacity that a node has, summed from its start to `at`."""
    age = at - row.born
    if row.warm_ms <= 0:
        return age
    cold = min(age, row.warm_ms)
    return row.cold_from * cold + (1 - row.cold_from) * cold * cold / (2 * row.warm_ms) + (age - cold)
