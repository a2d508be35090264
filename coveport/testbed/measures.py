"""Event log -> figures. Pure.

A *wish* is a first try with its client's retries; it counts if it was due from `settle_s` on. It is *served*
if a 200 came within its class's aim, counted from when its first try was due. Service is the worth of what
was served over the worth of what was asked. Wishes of the day that no till ever tried count as asked.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

import numpy as np
import numpy.typing as npt
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from coveport.testbed import event_log
from coveport.testbed.day import Span
from coveport.testbed.faults import FaultBase
from coveport.testbed.outcome import (
    CLASS,
    TEN,
    WHOLE,
    Answers,
    Attempts,
    ClassService,
    Connections,
    Expectation,
    Latency,
    Named,
    Outcome,
    SidecarFigures,
)
from coveport.testbed.playing import Played
from coveport.testbed.scenario import Scenario

Floats = npt.NDArray[np.float64]
Ints = npt.NDArray[np.int64]
Bools = npt.NDArray[np.bool_]
R = TypeVar("R", bound=event_log.Row)

KINDS = {
    "served": "a 200 within the aim",
    "late": "a 200 after the aim",
    "busy": "the last try got a busy reply (429 or 503)",
    "failed": "the last try got another status",
    "broken": "the last try's connection ended without a whole answer",
    "left": "the client went away of its own accord before its time was over",
    "none": "no answer in the client's time, or by the end of the day",
    "unreached": "the last try could not be handed to a sidecar, or none was ever made",
}
"""How a wish may end."""

ENDS = {
    "answered": "a whole 200",
    "refused": "turned away unrun: queue full, draining, over, too many connections",
    "repeat": "dropped by the node as a key it had seen, and answered",
    "error": "another status",
    "spoilt": "an answer that was spoilt or cut short",
    "given up": "the sidecar ended it before the answer was whole",
    "down": "the node died",
    "cut": "the node reset the connection",
    "bad": "the node could not take it (a form no till sent)",
    "open": "nothing by the end of the day",
}
"""How an attempt may end, as its node saw it."""

_SERVED, _LATE, _BUSY, _FAILED, _BROKEN, _LEFT, _NONE, _UNREACHED = range(len(KINDS))
_WINDOW_MS = 10_000.0
_ROLL_MS, _STEP_MS, _HOLD_MS = 3000.0, 500.0, 2000.0  # of the recovery
_AFTERMATH_MS = 5000.0  # after a fault, in which nothing counts as calm
_RECOVERED = 0.98
_THIN = 0.25  # windows with less than this part of the usual worth say nothing


class _Wishes:
    """All wishes of a day, by position: those in the event log first, then those that nobody tried."""

    def __init__(self, played: Played) -> None:
        day = played.day
        index: dict[str, int] = {}
        due: list[float] = []
        cls: list[int] = []
        sidecar: list[int] = []
        last: list[str] = []  # the try made last
        of_op: dict[str, int] = {}
        state: dict[str, int] = {}  # how a try ended, _NONE while it is open
        good_at: dict[int, float] = {}
        self.good_op: dict[int, event_log.Answered] = {}  # by wish: its first 200
        self.asked: dict[str, event_log.Asked] = {}  # operations that were handed over
        for row in played.rows:
            if isinstance(row, event_log.Asked | event_log.Unasked):
                wish = index.setdefault(row.first, len(due))
                if wish == len(due):
                    due.append(row.due)
                    cls.append(row.cls)
                    sidecar.append(row.sidecar)
                    last.append(row.op)
                due[wish] = min(due[wish], row.due)
                last[wish] = row.op
                of_op[row.op] = wish
                state[row.op] = _UNREACHED
                if isinstance(row, event_log.Asked):
                    self.asked[row.op] = row
                    state[row.op] = _NONE
            elif isinstance(row, event_log.Answered):
                found = of_op.get(row.op)
                if found is None:
                    continue
                if row.status == 200 and found not in good_at:
                    good_at[found] = row.at
                    self.good_op[found] = row
                if state[row.op] == _NONE:
                    state[row.op] = (
                        _SERVED if row.status == 200 else _BUSY if row.status in (429, 503) else _FAILED
                    )
            elif isinstance(row, event_log.Broke) and state.get(row.op) == _NONE:
                state[row.op] = _BROKEN
            elif isinstance(row, event_log.GaveUp) and row.how == "impatient" and state.get(row.op) == _NONE:
                state[row.op] = _LEFT
        for one in day.wishes:
            if one.op not in index:
                index[one.op] = len(due)
                due.append(one.due)
                cls.append(one.cls)
                sidecar.append(one.sidecar)
                last.append(one.op)
                state[one.op] = _UNREACHED
        self.of_op = of_op
        self.size = len(due)
        self.due: Floats = np.array(due, dtype=np.float64)
        self.cls: Ints = np.array(cls, dtype=np.int64)
        self.sidecar: Ints = np.array(sidecar, dtype=np.int64)
        classes = day.scenario.classes
        worths: Floats = np.array([one.worth for one in classes], dtype=np.float64)
        aims: Floats = np.array([one.aim_ms for one in classes], dtype=np.float64)
        self.worth: Floats = worths[self.cls]
        at: Floats = np.full(self.size, np.nan)
        if good_at:
            at[np.fromiter(good_at, np.int64)] = np.fromiter(good_at.values(), np.float64)
        self.took_ms: Floats = at - self.due  # until the 200; NaN for none
        got = ~np.isnan(self.took_ms)
        self.in_time: Bools = got & (self.took_ms <= aims[self.cls] + 1e-6)
        kinds: Ints = np.array([state[op] for op in last], dtype=np.int64)
        kinds[got] = _LATE
        kinds[self.in_time] = _SERVED
        self.kind = kinds
        self.counts: Bools = self.due >= day.scenario.settle_s * 1000

    def service(self, which: Bools) -> float | None:
        """Of those chosen; None where nothing was asked."""
        asked = float(self.worth[which].sum())
        return float(self.worth[which & self.in_time].sum()) / asked if asked > 0 else None


class _Worth:
    """Worth asked and served up to any moment, for windows of any place and size."""

    def __init__(self, wishes: _Wishes) -> None:
        chosen = np.flatnonzero(wishes.counts)
        order = chosen[np.argsort(wishes.due[chosen], kind="stable")]
        self.due: Floats = wishes.due[order]
        worth = wishes.worth[order]
        self._asked: Floats = np.concatenate(([0.0], np.cumsum(worth)))
        self._served: Floats = np.concatenate(([0.0], np.cumsum(worth * wishes.in_time[order])))

    def between(self, begins: Floats, ends: Floats) -> tuple[Floats, Floats]:
        """(asked, served) of what was due from `begins` on and before `ends`, window by window."""
        low, high = np.searchsorted(self.due, begins), np.searchsorted(self.due, ends)
        return self._asked[high] - self._asked[low], self._served[high] - self._served[low]


def _rows_of(rows: Iterable[Any]) -> dict[type[Any], list[Any]]:
    found: dict[type[Any], list[Any]] = {}
    for row in rows:
        found.setdefault(type(row), []).append(row)
    return found


def _of(found: dict[type[Any], list[Any]], kind: type[R]) -> list[R]:
    return found.get(kind, [])


def measure(played: Played, *, name: str = "", variant: str = "") -> Outcome:
    """The figures of a day; no rule is judged (`Outcome.break_rules`), nor is any expectation.

    `name` is what the scenario is called by, `variant` that of the sidecar.
    """
    day = played.day
    scenario = day.scenario
    wishes, found = _Wishes(played), _rows_of(played.rows)
    settle = scenario.settle_s * 1000
    notes = list(played.notes)
    service = wishes.service(wishes.counts)
    if service is None:
        notes.append("nothing was asked after the start that does not count")
    whole = service or 0.0
    worst_class = _worst_class(wishes, scenario, whole)
    worst_10s = _worst_10s(_Worth(wishes), settle, scenario.length_s * 1000, whole)
    recovery = _recoveries(played, wishes, faults(played), notes)
    operations = sum(1 for op in wishes.asked if wishes.counts[wishes.of_op[op]])
    attempts, crossings, waste = _attempts(played, wishes, found, operations)
    return Outcome(
        scenario=Named(scenario.title, name),
        seed=day.seed,
        ground=played.ground,
        variant=variant,
        kept=True,
        late=played.late,
        service=whole,
        worst_10s=worst_10s,
        worst_class=worst_class,
        mark=WHOLE * whole + CLASS * worst_class.service + TEN * worst_10s,
        latency_ms={
            one.name: _latency(wishes, wishes.counts & (wishes.cls == number))
            for number, one in enumerate(scenario.classes)
        },
        answers=Answers(
            _kinds(wishes, wishes.counts),
            {
                one.name: _kinds(wishes, wishes.counts & (wishes.cls == number))
                for number, one in enumerate(scenario.classes)
            },
        ),
        attempts=attempts,
        waste=waste,
        crossings=crossings,
        connections=_connections(_of(found, event_log.Linked), settle, operations),
        probes=sum(1 for row in _of(found, event_log.Probed) if row.at >= settle),
        discovery_calls=sum(1 for row in _of(found, event_log.Called) if row.at >= settle),
        sidecars=_sidecars(played, wishes, _of(found, event_log.Sample)),
        recovery_s=recovery,
        trace=played.trace,
        wall_s=played.wall_s,
        simulated_s=max(played.rows[-1].at / 1000 if played.rows else 0.0, scenario.length_s),
        notes=notes,
    )


def judge_expectations(outcome: Outcome, scenario: Scenario) -> list[Expectation]:
    """What the scenario expects against what came; entered in `outcome.expectations` and returned.

    Figures of 0 are not asked for. A recovery that never came is unmet; where there was no fault, it is met.
    """
    expect = scenario.expect
    judged: list[Expectation] = []

    def judge(name: str, wanted: float, got: float | None, least: bool) -> None:
        if wanted:
            met = got is not None and (got >= wanted - 1e-9 if least else got <= wanted + 1e-9)
            judged.append(Expectation(name, wanted, got, met))

    judge("service", expect.service, outcome.service, True)
    judge("worst_10s", expect.worst_10s, outcome.worst_10s, True)
    judge("worst_class", expect.worst_class, outcome.worst_class.service, True)
    took = list(outcome.recovery_s.values())
    longest = None if None in took else max((one for one in took if one is not None), default=0.0)
    judge("recovery_s", expect.recovery_s, longest, False)
    judge("attempts", expect.attempts, outcome.attempts.per_operation, False)
    judge("crossings", expect.crossings, outcome.crossings, False)
    for name, most in expect.p99_ms.items():
        latency = outcome.latency_ms.get(name)
        judge(f"p99_ms {name}", most, latency.p99 if latency else None, False)
    outcome.expectations = judged
    return judged


def faults(played: Played) -> list[Span]:
    """The day's faults as the event log has them, in order."""
    spans: dict[int, Span] = {span.number: span for span in played.day.spans}
    for row in played.rows:
        if isinstance(row, event_log.Fault):
            if row.began:
                end = spans[row.number].end if row.number in spans else row.at
                spans[row.number] = Span(row.number, row.kind, row.at, max(end, row.at), row.whom)
            elif row.number in spans:
                one = spans[row.number]
                spans[row.number] = Span(one.number, one.kind, one.begin, row.at, one.whom)
    return [spans[number] for number in sorted(spans)]


def is_mended(played: Played, span: Span) -> bool:
    """Whether a fault ends of itself; one with no `for_s` that lasts until the day's end does not."""
    scenario = played.day.scenario
    listed: tuple[FaultBase, ...] = scenario.faults
    return (
        span.number >= len(listed)
        or listed[span.number].for_s != 0
        or abs(span.end - scenario.length_s * 1000) > 1e-6
    )


def _worst_class(wishes: _Wishes, scenario: Scenario, whole: float) -> ClassService:
    worst = ClassService("", whole)
    for number, one in enumerate(scenario.classes):
        service = wishes.service(wishes.counts & (wishes.cls == number))
        if service is not None and (not worst.name or service < worst.service):
            worst = ClassService(one.name, service)
    return worst


def _worst_10s(worth: _Worth, begin: float, end: float, whole: float) -> float:
    if end - begin < _WINDOW_MS:
        return whole
    begins = np.append(np.arange(begin, end - _WINDOW_MS + 1e-6, 1000.0), end - _WINDOW_MS)
    asked, served = worth.between(begins, begins + _WINDOW_MS)
    enough = (asked > 0) & (asked >= _THIN * asked.mean())
    return float((served[enough] / asked[enough]).min()) if enough.any() else whole


def _recoveries(
    played: Played, wishes: _Wishes, spans: list[Span], notes: list[str]
) -> dict[str, float | None]:
    """Seconds from each fault's end (where nobody mends it, its begin) until service is back, by 0.5 s.

    Back is the first moment from which on, for 2 s, what is due within the 3 s ahead is served at 98% or
    more of the service before the fault; windows ahead see no more of the trouble than there still is.
    Windows with nothing asked prove nothing either way. The day's end cuts both short, and the last window
    begins 1 s before it.

    *Before* is the 10 s before the fault less what other faults and the 5 s after them take; if less than 1 s
    is left of it, all of the day's calm; if there is none, those 10 s as they were; if the day began with the
    fault, all served. Where faults overlap, each waits for the service as a whole, so one may be charged with
    another.
    """
    scenario = played.day.scenario
    settle, length = scenario.settle_s * 1000, scenario.length_s * 1000
    worth = _Worth(wishes)
    spans = [
        one if is_mended(played, one) else Span(one.number, one.kind, one.begin, one.begin, one.whom)
        for one in spans
    ]
    slots: Floats = np.arange(settle, length, _STEP_MS)
    slot_ends = np.minimum(slots + _STEP_MS, length)
    asked, served = worth.between(slots, slot_ends)

    def outside(others: list[Span]) -> Bools:
        free: Bools = np.ones(len(slots), dtype=np.bool_)
        for one in others:
            free &= (slot_ends <= one.begin) | (slots >= one.end + _AFTERMATH_MS)
        return free

    def level(which: Bools) -> float | None:
        total = float(asked[which].sum())
        return float(served[which].sum()) / total if total > 0 else None

    recovery: dict[str, float | None] = {}
    for span in spans:
        before = (slot_ends <= span.begin) & (slots >= span.begin - _WINDOW_MS)
        calm = before & outside([one for one in spans if one.number != span.number])
        base = level(calm) if calm.sum() * _STEP_MS >= 1000 else None
        for others in (outside(spans), before):
            base = level(others) if base is None else base
        wanted = _RECOVERED * (1.0 if base is None else base)
        key = f"{span.number} {span.kind}"
        recovery[key] = None
        begins: Floats = np.arange(max(span.end, settle), length - 1000 + 1e-6, _STEP_MS)
        if not len(begins):
            notes.append(f"fault {key} ends too close to the day's end to see a recovery")
            continue
        ahead_asked, ahead_served = worth.between(begins, np.minimum(begins + _ROLL_MS, length))
        known = ahead_asked > 0
        good = known & (ahead_served >= wanted * ahead_asked - 1e-9)
        holds = good | ~known
        steps = int(_HOLD_MS / _STEP_MS)
        for number in np.flatnonzero(good):
            if holds[number : number + steps + 1].all():
                recovery[key] = float(begins[number] - span.end) / 1000
                break
    return recovery


def _latency(wishes: _Wishes, which: Bools) -> Latency:
    took = wishes.took_ms[which]
    took = took[~np.isnan(took)]
    unserved = int(which.sum()) - len(took)
    if not len(took):
        return Latency(0, unserved)
    # An answer can't come before it was due, but two machines' roundings may say so.
    micros, counts = np.unique(np.maximum(took * 1000, 1).astype(np.int64), return_counts=True)
    histogram = HdrHistogram(1, max(int(micros[-1]), 2) * 2, 3)
    for value, count in zip(micros.tolist(), counts.tolist(), strict=True):
        histogram.record_value(value, count)
    at = histogram.get_percentile_to_value_dict([50, 90, 99, 99.9])
    # A histogram's bucket may reach beyond the largest value that is in it.
    p50, p90, p99, p999 = (min(at[one], int(micros[-1])) / 1000 for one in (50, 90, 99, 99.9))
    return Latency(len(took), unserved, p50, p90, p99, p999, int(micros[-1]) / 1000)


def _kinds(wishes: _Wishes, which: Bools) -> dict[str, int]:
    counts = np.bincount(wishes.kind[which], minlength=len(KINDS))
    return dict(zip(KINDS, counts.tolist(), strict=True))


def _attempts(
    played: Played, wishes: _Wishes, found: dict[type[Any], list[Any]], operations: int
) -> tuple[Attempts, float, float]:
    """(attempts, crossings, waste)."""
    day = played.day
    settle = day.scenario.settle_s * 1000
    zone_of_node = {one.number: one.zone for one in day.nodes}
    zone_of_sidecar = {one.number: one.zone for one in day.sidecars}
    ran = {row.attempt: row.at for row in _of(found, event_log.Ran)}
    replied = {row.attempt: row for row in _of(found, event_log.Replied)}
    broke = {row.attempt: row for row in _of(found, event_log.Ended)}
    drawn = {one.number: one for one in day.nodes}
    ended = dict.fromkeys(ENDS, 0)
    total = crossed = tried = copies = 0
    done = lost = 0.0
    out: dict[str, tuple[bool, float]] = {}  # by operation: its first attempt crossed; the latest end so far
    arrivals = sorted(_of(found, event_log.Arrived), key=lambda row: row.handed)
    useful = _useful(wishes, _of(found, event_log.Replied), _of(found, event_log.Ran), arrivals)
    for row in arrivals:
        wish = wishes.of_op.get(row.op)
        if not (wishes.counts[wish] if wish is not None else row.at >= settle):
            continue
        total += 1
        reply, end = replied.get(row.attempt), broke.get(row.attempt)
        ended[_end(row, reply, end)] += 1
        node_zone, own_zone = zone_of_node[row.node], zone_of_sidecar[row.sidecar]
        way = day.cross_ms[own_zone][node_zone]
        handed = min(row.handed, row.began - way)
        # What the sidecar ended, it ended a way's time before its node saw it.
        until = (
            end.at - way * (1 + day.jitter) - 1
            if end is not None and end.how in ("end", "reset")
            else end.at
            if end is not None
            else reply.at + way
            if reply is not None
            else math.inf
        )
        crosses, latest = out.get(row.op, (node_zone != own_zone, -math.inf))
        if row.op not in out:
            tried += 1
            crossed += crosses
        elif handed < latest:
            copies += 1
        out[row.op] = (crosses, max(latest, until))
        if row.attempt in ran:
            work = row.work_ms
            if end is not None and (end.how == "down" or drawn[row.node].cancel == "all"):
                work = min(work, max(0.0, end.at - ran[row.attempt]) * drawn[row.node].speed)
            done += work
            lost += 0.0 if row.attempt in useful else work
    probing = sum(row.work_ms for row in _of(found, event_log.Probed) if row.at >= settle)
    attempts = Attempts(total, total / operations if operations else 0.0, ended, copies)
    return (
        attempts,
        crossed / tried if tried else 0.0,
        (lost + probing) / (done + probing) if done + probing > 0 else 0.0,
    )


def _useful(
    wishes: _Wishes,
    replies: list[event_log.Replied],
    runs: list[event_log.Ran],
    arrivals: list[event_log.Arrived],
) -> set[int]:
    """The attempts whose work served a wish in time.

    For each wish it is the first whole 200 with the body that came; where that was dropped as a repeat, the
    attempt that ran for the key before.
    """
    wanted = {row.op: row.digest for wish, row in wishes.good_op.items() if wishes.in_time[wish]}
    good: dict[str, int] = {}
    for row in replies:
        if row.status == 200 and row.whole and wanted.get(row.op) == row.digest:
            good.setdefault(row.op, row.attempt)
    useful = set(good.values())
    ran_first: dict[str, int] = {}
    for run in runs:
        ran_first.setdefault(run.key, run.attempt)
    useful.update(
        ran_first[row.key]
        for row in arrivals
        if row.took == "repeat" and row.attempt in useful and row.key in ran_first
    )
    return useful


def _end(row: event_log.Arrived, reply: event_log.Replied | None, end: event_log.Ended | None) -> str:
    if reply is None:
        return "open" if end is None else "given up" if end.how in ("end", "reset") else end.how
    if row.took == "bad":
        return "bad"
    if not reply.whole:
        return "spoilt"
    if reply.status == 200:
        return "repeat" if row.took == "repeat" else "answered"
    return "refused" if row.took in ("full", "drain", "over") else "error"


def _connections(rows: list[event_log.Linked], settle: float, operations: int) -> Connections:
    opened = sum(1 for row in rows if row.up and row.at >= settle)
    now = peak = 0
    for row in rows:
        now += 1 if row.up else -1
        peak = max(peak, now)
    return Connections(opened, opened / operations if operations else 0.0, peak)


def _sidecars(played: Played, wishes: _Wishes, samples: list[event_log.Sample]) -> list[SidecarFigures]:
    memory: dict[int, float] = {}
    descriptors: dict[int, int] = {}
    ended: dict[int, float] = {}  # CPU of processes that are no more
    cpu: dict[int, float] = {}
    for row in samples:
        memory[row.sidecar] = max(memory.get(row.sidecar, 0.0), row.memory_mb)
        descriptors[row.sidecar] = max(descriptors.get(row.sidecar, 0), row.descriptors)
        if row.cpu_s < cpu.get(row.sidecar, 0.0):  # a new process counts from 0
            ended[row.sidecar] = ended.get(row.sidecar, 0.0) + cpu[row.sidecar]
        cpu[row.sidecar] = row.cpu_s
    figures = []
    for one in played.day.sidecars:
        which = wishes.counts & (wishes.sidecar == one.number)
        figures.append(
            SidecarFigures(
                one.number,
                one.name,
                int(which.sum()),
                wishes.service(which),
                memory.get(one.number, 0.0),
                descriptors.get(one.number, 0),
                ended.get(one.number, 0.0) + cpu.get(one.number, 0.0),
            )
        )
    return figures


# Series, for the plots.


@dataclass(slots=True)
class Series:
    """A day in steps of time; the start that does not count is in it. NaN: nothing known for that step."""

    step_s: float
    at_s: Floats  # when each step begins, shape (steps,)
    classes: tuple[str, ...]
    offered: Floats  # worth asked a second, by due time
    served: Floats  # worth served a second, by due time
    service: Floats  # served / offered
    p50_ms: Floats  # (classes, steps), by due time; of wishes with a 200
    p99_ms: Floats
    answers: Floats  # (kinds as in KINDS, steps): wishes a second, by due time
    attempts: Floats  # a second, as they came to the nodes
    probes: Floats  # a second
    busy_replies: Floats  # a second, as they came to the tills
    connections: Floats  # open at the end of the step, sidecars to nodes
    nodes: tuple[int, ...]  # numbers of those that have a row below
    held: Floats  # (nodes, steps): working and waiting, mean of the samples
    busy: Floats  # (nodes, steps): share of the cores
    away: Bools  # (nodes, steps): down or silent at the end of the step
    sidecars: tuple[int, ...]
    memory_mb: Floats  # (sidecars, steps)
    descriptors: Floats  # (sidecars, steps)


def series(played: Played, step_s: float = 1.0) -> Series:
    """A day in steps, up to the end of its load or the last row, whichever is later."""
    day = played.day
    wishes, found = _Wishes(played), _rows_of(played.rows)
    step = step_s * 1000
    last = played.rows[-1].at if played.rows else 0.0
    steps = max(1, math.ceil(max(day.scenario.length_s * 1000, last) / step - 1e-9))

    def slot(at: Floats) -> Ints:
        return np.clip((at / step).astype(np.int64), 0, steps - 1)

    def rate(rows: Iterable[event_log.Row]) -> Floats:
        at: Floats = np.fromiter((row.at for row in rows), np.float64)
        return np.bincount(slot(at), minlength=steps) / step_s

    due = slot(wishes.due)
    offered: Floats = np.bincount(due, wishes.worth, steps) / step_s
    served: Floats = np.bincount(due, wishes.worth * wishes.in_time, steps) / step_s
    with np.errstate(invalid="ignore"):
        service = served / offered
    p50, p99 = _percentiles(wishes, due, len(day.scenario.classes), steps)
    answers: Floats = np.zeros((len(KINDS), steps))
    np.add.at(answers, (wishes.kind, due), 1 / step_s)

    nodes = tuple(
        sorted(
            {row.node for row in _of(found, event_log.NodeLoad)}
            | {row.node for row in _of(found, event_log.NodeIs)}
            | {one.number for one in day.nodes if one.born}
        )
    )
    loads, place = _of(found, event_log.NodeLoad), {node: number for number, node in enumerate(nodes)}
    node = np.fromiter((place[row.node] for row in loads), np.int64)
    when = slot(np.fromiter((row.at for row in loads), np.float64))
    sidecars = tuple(one.number for one in day.sidecars)
    samples, seat = _of(found, event_log.Sample), {one: number for number, one in enumerate(sidecars)}
    sidecar = np.fromiter((seat[row.sidecar] for row in samples), np.int64)
    sampled = slot(np.fromiter((row.at for row in samples), np.float64))

    def by_node(values: Iterable[float]) -> Floats:
        return _means(len(nodes), steps, node, when, np.fromiter(values, np.float64))

    def by_sidecar(values: Iterable[float]) -> Floats:
        return _means(len(sidecars), steps, sidecar, sampled, np.fromiter(values, np.float64))

    links = _of(found, event_log.Linked)
    changes = np.bincount(
        slot(np.fromiter((row.at for row in links), np.float64)),
        np.fromiter((1.0 if row.up else -1.0 for row in links), np.float64),
        steps,
    )
    return Series(
        step_s=step_s,
        at_s=np.arange(steps, dtype=np.float64) * step_s,
        classes=tuple(one.name for one in day.scenario.classes),
        offered=offered,
        served=served,
        service=service,
        p50_ms=p50,
        p99_ms=p99,
        answers=answers,
        attempts=rate(_of(found, event_log.Arrived)),
        probes=rate(_of(found, event_log.Probed)),
        busy_replies=rate(row for row in _of(found, event_log.Answered) if row.status in (429, 503)),
        connections=np.cumsum(changes),
        nodes=nodes,
        held=by_node(row.working + row.waiting for row in loads),
        busy=by_node(row.busy for row in loads),
        away=_away(_of(found, event_log.NodeIs), place, steps, step),
        sidecars=sidecars,
        memory_mb=by_sidecar(row.memory_mb for row in samples),
        descriptors=by_sidecar(row.descriptors for row in samples),
    )


def _means(rows: int, steps: int, row: Ints, when: Ints, values: Floats) -> Floats:
    flat = row * steps + when
    counts = np.bincount(flat, minlength=rows * steps)
    with np.errstate(invalid="ignore"):
        means: Floats = np.bincount(flat, values, rows * steps) / counts
    return means.reshape(rows, steps)


def _percentiles(wishes: _Wishes, due: Ints, classes: int, steps: int) -> tuple[Floats, Floats]:
    p50: Floats = np.full((classes, steps), np.nan)
    p99: Floats = np.full((classes, steps), np.nan)
    got = np.flatnonzero(~np.isnan(wishes.took_ms))
    if len(got):
        group = wishes.cls[got] * steps + due[got]
        order = np.argsort(group, kind="stable")
        groups, starts = np.unique(group[order], return_index=True)
        for one, took in zip(groups.tolist(), np.split(wishes.took_ms[got][order], starts[1:]), strict=True):
            p50.flat[one], p99.flat[one] = np.percentile(took, (50, 99))
    return p50, p99


def _away(rows: list[event_log.NodeIs], place: dict[int, int], steps: int, step: float) -> Bools:
    away: Bools = np.zeros((len(place), steps), dtype=np.bool_)
    for row in rows:  # in order of time: each holds until the next
        away[place[row.node], max(0, int(row.at / step)) :] = row.state in ("down", "silent")
    return away
