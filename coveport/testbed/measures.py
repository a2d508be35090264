"""Event log -> figures. Pure.

A *request* is a first try with its client's retries; it counts if it was due from `settle_s` on. It is
*served* if a 200 came within its class's aim, counted from when its first try was due. Service is the worth
of what was served over the worth of what was asked. Requests of the day that no client ever tried count as
asked.
"""

from __future__ import annotations

import math
from typing import Any

import numpy as np
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
from coveport.testbed.request_table import (
    KINDS,
    Bools,
    Floats,
    RequestTable,
    WorthIndex,
    rows_by_kind,
    rows_of_kind,
)
from coveport.testbed.scenario import Scenario

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

_WINDOW_MS = 10_000.0
_ROLL_MS, _STEP_MS, _HOLD_MS = 3000.0, 500.0, 2000.0  # of the recovery
_AFTERMATH_MS = 5000.0  # after a fault, in which nothing counts as calm
_RECOVERED = 0.98
_THIN = 0.25  # windows with less than this part of the usual worth say nothing


def measure(played: Played, *, name: str = "", variant: str = "") -> Outcome:
    """The figures of a day; no rule is judged (`Outcome.break_rules`), nor is any expectation.

    `name` is what the scenario is called by, `variant` that of the sidecar.
    """
    day = played.day
    scenario = day.scenario
    requests, found = RequestTable(played), rows_by_kind(played.rows)
    settle = scenario.settle_s * 1000
    notes = list(played.notes)
    service = requests.service(requests.counts)
    if service is None:
        notes.append("nothing was asked after the start that does not count")
    whole = service or 0.0
    worst_class = _worst_class(requests, scenario, whole)
    worst_10s = _worst_10s(WorthIndex(requests), settle, scenario.length_s * 1000, whole)
    recovery = _recoveries(played, requests, faults(played), notes)
    operations = sum(1 for op in requests.asked if requests.counts[requests.of_op[op]])
    attempts, crossings, waste = _attempts(played, requests, found, operations)
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
            one.name: _latency(requests, requests.counts & (requests.cls == number))
            for number, one in enumerate(scenario.classes)
        },
        answers=Answers(
            _kinds(requests, requests.counts),
            {
                one.name: _kinds(requests, requests.counts & (requests.cls == number))
                for number, one in enumerate(scenario.classes)
            },
        ),
        attempts=attempts,
        waste=waste,
        crossings=crossings,
        connections=_connections(rows_of_kind(found, event_log.Linked), settle, operations),
        probes=sum(1 for row in rows_of_kind(found, event_log.Probed) if row.at >= settle),
        discovery_calls=sum(1 for row in rows_of_kind(found, event_log.Called) if row.at >= settle),
        sidecars=_sidecars(played, requests, rows_of_kind(found, event_log.Sample)),
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


def _worst_class(requests: RequestTable, scenario: Scenario, whole: float) -> ClassService:
    worst = ClassService("", whole)
    for number, one in enumerate(scenario.classes):
        service = requests.service(requests.counts & (requests.cls == number))
        if service is not None and (not worst.name or service < worst.service):
            worst = ClassService(one.name, service)
    return worst


def _worst_10s(worth: WorthIndex, begin: float, end: float, whole: float) -> float:
    if end - begin < _WINDOW_MS:
        return whole
    begins = np.append(np.arange(begin, end - _WINDOW_MS + 1e-6, 1000.0), end - _WINDOW_MS)
    asked, served = worth.between(begins, begins + _WINDOW_MS)
    enough = (asked > 0) & (asked >= _THIN * asked.mean())
    return float((served[enough] / asked[enough]).min()) if enough.any() else whole


def _recoveries(
    played: Played, requests: RequestTable, spans: list[Span], notes: list[str]
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
    worth = WorthIndex(requests)
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


def _latency(requests: RequestTable, which: Bools) -> Latency:
    took = requests.took_ms[which]
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


def _kinds(requests: RequestTable, which: Bools) -> dict[str, int]:
    counts = np.bincount(requests.kind[which], minlength=len(KINDS))
    return dict(zip(KINDS, counts.tolist(), strict=True))


def _attempts(
    played: Played, requests: RequestTable, found: dict[type[Any], list[Any]], operations: int
) -> tuple[Attempts, float, float]:
    """(attempts, crossings, waste)."""
    day = played.day
    settle = day.scenario.settle_s * 1000
    zone_of_node = {one.number: one.zone for one in day.nodes}
    zone_of_sidecar = {one.number: one.zone for one in day.sidecars}
    ran = {row.attempt: row.at for row in rows_of_kind(found, event_log.Ran)}
    replied = {row.attempt: row for row in rows_of_kind(found, event_log.Replied)}
    broke = {row.attempt: row for row in rows_of_kind(found, event_log.Ended)}
    drawn = {one.number: one for one in day.nodes}
    ended = dict.fromkeys(ENDS, 0)
    total = crossed = tried = copies = 0
    done = lost = 0.0
    out: dict[str, tuple[bool, float]] = {}  # by operation: its first attempt crossed; the latest end so far
    arrivals = sorted(rows_of_kind(found, event_log.Arrived), key=lambda row: row.handed)
    useful = _useful(
        requests, rows_of_kind(found, event_log.Replied), rows_of_kind(found, event_log.Ran), arrivals
    )
    for row in arrivals:
        request = requests.of_op.get(row.op)
        if not (requests.counts[request] if request is not None else row.at >= settle):
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
    probing = sum(row.work_ms for row in rows_of_kind(found, event_log.Probed) if row.at >= settle)
    attempts = Attempts(total, total / operations if operations else 0.0, ended, copies)
    return (
        attempts,
        crossed / tried if tried else 0.0,
        (lost + probing) / (done + probing) if done + probing > 0 else 0.0,
    )


def _useful(
    requests: RequestTable,
    replies: list[event_log.Replied],
    runs: list[event_log.Ran],
    arrivals: list[event_log.Arrived],
) -> set[int]:
    """The attempts whose work served a request in time.

    For each request it is the first whole 200 with the body that came; where that was dropped as a repeat,
    the attempt that ran for the key before.
    """
    wanted = {row.op: row.digest for request, row in requests.good_op.items() if requests.in_time[request]}
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


def _sidecars(
    played: Played, requests: RequestTable, samples: list[event_log.Sample]
) -> list[SidecarFigures]:
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
        which = requests.counts & (requests.sidecar == one.number)
        figures.append(
            SidecarFigures(
                one.number,
                one.name,
                int(which.sum()),
                requests.service(which),
                memory.get(one.number, 0.0),
                descriptors.get(one.number, 0),
                ended.get(one.number, 0.0) + cpu.get(one.number, 0.0),
            )
        )
    return figures
