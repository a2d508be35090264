"""The page: figures, plots and words put into the template."""

from __future__ import annotations

import functools
from importlib import resources
from typing import Any

import numpy as np
from jinja2 import Environment, StrictUndefined, Template
from markupsafe import Markup

from coveport.testbed import event_log
from coveport.testbed.day import Span
from coveport.testbed.measures import ENDS, faults, is_mended
from coveport.testbed.outcome import Outcome
from coveport.testbed.playing import Played
from coveport.testbed.report.plots import KIND_COLOURS, draw
from coveport.testbed.report.text import expectation, millis, percent, verdict
from coveport.testbed.request_table import KINDS
from coveport.testbed.time_series import Series, series

MOST_BREACHES = 200
_MOST_EVENTS = 200
_MOST_STEPS = 600  # of the plots; longer days get longer steps

GLOSSARY = {
    "aim": "The time within which an answer is worth something. It is a class's own.",
    "attempt": "One try at one ledger node (a route step), made by a sidecar for an operation.",
    "busy reply": "An answer of 429 or 503: the sidecar took nothing on, and trying again is harmless.",
    "calm": "Time without faults, and not right after one.",
    "class": "A kind of operation, with its own worth, aim and deadline.",
    "crossing": "An operation whose first attempt went to a ledger node in another zone.",
    "destination": "A ledger node, as a sidecar sees it.",
    "discovery": "The service that tells sidecars which ledger nodes there are.",
    "latency": "From when a wish was due to its answer. Waiting before the wish could be sent is part of it.",
    "mark": "0.7 of service, 0.2 of the worst class's and 0.1 of the worst 10 s, in one figure.",
    "operation": "One request of a till to its sidecar. A client's retry is an operation of its own.",
    "p50, p99": "Half, or 99%, of the answers took no longer than this.",
    "recovery": "How long after a fault's end service was back at 98% of what it had been, and stayed there.",
    "retry": "A client's own second try, after a busy reply or a failure.",
    "rule": "What no day may break: each operation answered once and in time, nothing run twice that must "
    "not be, nothing sent to nodes that drain, no cold node overwhelmed.",
    "second copy": "An attempt made while an earlier one of the same operation was still out.",
    "seed": "The number from which all chance of the day was drawn. The same seed gives the same day.",
    "service": "The worth answered in time over the worth asked: 100% is perfect.",
    "sidecar": "The program that is tested: it takes operations from a till and hands them to ledger nodes.",
    "virtual, real ground": "Simulated time and network, or real processes on this machine's own sockets.",
    "waste": "The share of the ledger nodes' work that led to no answer in time, probes included.",
    "wish": "What somebody wants of the ledger, once, however many tries it takes.",
    "worst 10 s": "The lowest service over any 10 s in a row.",
    "worth": "What an operation of a class counts. Some classes count more than others.",
    "zone": "A data centre. The way to another zone is longer.",
}


def render(played: Played, outcome: Outcome, command: str = "") -> str:
    """The whole page as text, with all it needs inside."""
    day = played.day
    step = max(1.0, float(np.ceil(day.scenario.length_s / _MOST_STEPS)))
    one, spans = series(played, step), faults(played)
    return _template().render(
        o=outcome,
        day=day,
        about=day.scenario.about,
        verdict=verdict(outcome),
        command=command,
        state="void" if outcome.late else "good" if outcome.passed else "bad",
        classes=_classes(played, outcome),
        wishes=sum(outcome.answers.all.values()),
        kinds={kind: text for kind, text in KINDS.items() if outcome.answers.all[kind]},
        all_kinds=KINDS,
        kind_colours=KIND_COLOURS,
        ends=ENDS,
        expectations=[
            (expectation(each.name, each.wanted), expectation(each.name, each.got)[2], each.met)
            for each in outcome.expectations
        ],
        faults=[_fault(played, outcome, one, span) for span in spans],
        events=_events(played),
        plots=[(how, Markup(svg)) for how, svg in draw(day, one, spans)],
        broken=outcome.broken[:MOST_BREACHES],
        glossary=GLOSSARY,
    )


@functools.cache
def _template() -> Template:
    # Guards against a name or a breach's text that is taken for markup.
    environment = Environment(
        autoescape=True, undefined=StrictUndefined, trim_blocks=True, lstrip_blocks=True
    )
    environment.filters.update(percent=percent, millis=millis)
    return environment.from_string(
        resources.files(__package__).joinpath("page.html").read_text(encoding="utf-8")
    )


def _classes(played: Played, outcome: Outcome) -> list[dict[str, Any]]:
    rows = []
    for one in played.day.scenario.classes:
        latency, answers = outcome.latency_ms[one.name], outcome.answers.by_class[one.name]
        asked = sum(answers.values())
        rows.append(
            {
                "name": one.name,
                "worth": one.worth,
                "aim": one.aim_ms,
                "asked": asked,
                "latency": latency,
                "service": answers["served"] / asked if asked else None,
                "answers": answers,
            }
        )
    return rows


def _fault(played: Played, outcome: Outcome, one: Series, span: Span) -> dict[str, Any]:
    mended = is_mended(played, span)
    during = (one.at_s * 1000 < span.end) & ((one.at_s + one.step_s) * 1000 > span.begin)
    offered = float(one.offered[during].sum()) if span.end > span.begin else 0.0
    took = outcome.recovery_s.get(f"{span.number} {span.kind}")
    if took is None:
        then = "not seen by the end of the day"
    else:
        then = "at once" if took == 0 else f"{took:.1f} s later"
    return {
        "number": span.number,
        "kind": span.kind.replace("_", " "),
        "whom": span.whom,
        "begin": span.begin / 1000,
        "end": span.end / 1000,
        "mended": mended,
        "then": then,
        "meanwhile": float(one.served[during].sum()) / offered if offered > 0 else None,
    }


def _events(played: Played) -> list[tuple[float, str]]:
    """What happened to the sidecars' processes, but for their first start: (s, sentence)."""
    words = {
        "start": "started",
        "ready": "ready",
        "reload": "told to reload",
        "term": "told to stop (SIGTERM)",
        "kill": "killed (SIGKILL)",
        "stall": "gets no CPU",
        "resume": "gets CPU again",
        "exit": "ended",
    }
    names = {one.number: one.name for one in played.day.sidecars}
    again: set[int] = set()  # those to whom something has happened
    events = []
    for row in played.rows:
        if isinstance(row, event_log.Life) and row.detail != "starve":
            if row.what not in ("start", "ready"):
                again.add(row.sidecar)
            if row.sidecar in again:
                code = f" with code {row.detail}" if row.what == "exit" and row.detail else ""
                events.append(
                    (
                        row.at / 1000,
                        f"sidecar {names.get(row.sidecar, row.sidecar)} "
                        f"{words.get(row.what, row.what)}{code}",
                    )
                )
    return events[:_MOST_EVENTS]
