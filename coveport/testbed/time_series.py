"""The event log of a played day as series over time, for the plots of a report. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

from coveport.testbed import event_log
from coveport.testbed.playing import Played
from coveport.testbed.request_table import (
    KINDS,
    Bools,
    Floats,
    Ints,
    RequestTable,
    rows_by_kind,
    rows_of_kind,
)


@dataclass(slots=True)
class Series:
    """A day in steps of time; the start that does not count is in it. NaN: nothing known for that step."""

    step_s: float
    at_s: Floats  # when each step begins, shape (steps,)
    classes: tuple[str, ...]
    offered: Floats  # worth asked a second, by due time
    served: Floats  # worth served a second, by due time
    service: Floats  # served / offered
    p50_ms: Floats  # (classes, steps), by due time; of requests with a 200
    p99_ms: Floats
    answers: Floats  # (kinds as in KINDS, steps): requests a second, by due time
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
    """Return a day in steps, up to the end of its load or the last row, whichever is later."""
    day = played.day
    requests, found = RequestTable(played), rows_by_kind(played.rows)
    step = step_s * 1000
    last = played.rows[-1].at if played.rows else 0.0
    steps = max(1, math.ceil(max(day.scenario.length_s * 1000, last) / step - 1e-9))

    def slot(at: Floats) -> Ints:
        return np.clip((at / step).astype(np.int64), 0, steps - 1)

    def rate(rows: Iterable[event_log.Row]) -> Floats:
        at: Floats = np.fromiter((row.at for row in rows), np.float64)
        return np.bincount(slot(at), minlength=steps) / step_s

    due = slot(requests.due)
    offered: Floats = np.bincount(due, requests.worth, steps) / step_s
    served: Floats = np.bincount(due, requests.worth * requests.in_time, steps) / step_s
    with np.errstate(invalid="ignore"):
        service = served / offered
    p50, p99 = _percentiles(requests, due, len(day.scenario.classes), steps)
    answers: Floats = np.zeros((len(KINDS), steps))
    np.add.at(answers, (requests.kind, due), 1 / step_s)

    nodes = tuple(
        sorted(
            {row.node for row in rows_of_kind(found, event_log.NodeLoad)}
            | {row.node for row in rows_of_kind(found, event_log.NodeIs)}
            | {one.number for one in day.nodes if one.born}
        )
    )
    loads, place = (
        rows_of_kind(found, event_log.NodeLoad),
        {node: number for number, node in enumerate(nodes)},
    )
    node = np.fromiter((place[row.node] for row in loads), np.int64)
    when = slot(np.fromiter((row.at for row in loads), np.float64))
    sidecars = tuple(one.number for one in day.sidecars)
    samples, seat = (
        rows_of_kind(found, event_log.Sample),
        {one: number for number, one in enumerate(sidecars)},
    )
    sidecar = np.fromiter((seat[row.sidecar] for row in samples), np.int64)
    sampled = slot(np.fromiter((row.at for row in samples), np.float64))

    def by_node(values: Iterable[float]) -> Floats:
        return _means(len(nodes), steps, node, when, np.fromiter(values, np.float64))

    def by_sidecar(values: Iterable[float]) -> Floats:
        return _means(len(sidecars), steps, sidecar, sampled, np.fromiter(values, np.float64))

    links = rows_of_kind(found, event_log.Linked)
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
        attempts=rate(rows_of_kind(found, event_log.Arrived)),
        probes=rate(rows_of_kind(found, event_log.Probed)),
        busy_replies=rate(row for row in rows_of_kind(found, event_log.Answered) if row.status in (429, 503)),
        connections=np.cumsum(changes),
        nodes=nodes,
        held=by_node(row.working + row.waiting for row in loads),
        busy=by_node(row.busy for row in loads),
        away=_away(rows_of_kind(found, event_log.NodeIs), place, steps, step),
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


def _percentiles(requests: RequestTable, due: Ints, classes: int, steps: int) -> tuple[Floats, Floats]:
    p50: Floats = np.full((classes, steps), np.nan)
    p99: Floats = np.full((classes, steps), np.nan)
    got = np.flatnonzero(~np.isnan(requests.took_ms))
    if len(got):
        group = requests.cls[got] * steps + due[got]
        order = np.argsort(group, kind="stable")
        groups, starts = np.unique(group[order], return_index=True)
        for one, took in zip(
            groups.tolist(), np.split(requests.took_ms[got][order], starts[1:]), strict=True
        ):
            p50.flat[one], p99.flat[one] = np.percentile(took, (50, 99))
    return p50, p99


def _away(rows: list[event_log.NodeIs], place: dict[int, int], steps: int, step: float) -> Bools:
    away: Bools = np.zeros((len(place), steps), dtype=np.bool_)
    for row in rows:  # in order of time: each holds until the next
        away[place[row.node], max(0, int(row.at / step)) :] = row.state in ("down", "silent")
    return away
