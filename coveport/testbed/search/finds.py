"""Event log -> what a search looks for, each with a signature that tells one cause from another. Pure.

A signature holds the kind of find, the rule, the class where the rule turns on it, and the shape of the
operation's history: what became of its attempts, in the order in which they were handed over (the same
several times running counts as once), how it ended for its till, and whether its sidecar was stopping,
stalled or young. No numbers, no names: the same cause on another day gives the same signature.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from itertools import groupby
from math import inf, log2

from msgspec import Struct

from coveport.testbed import event_log
from coveport.testbed.ids import first_id
from coveport.testbed.oracle.case import Attempt, Case, Operation
from coveport.testbed.oracle.grace import Grace
from coveport.testbed.outcome import Broken, Outcome
from coveport.testbed.playing import Played
from coveport.testbed.search.aftermath import GAP, LEAST, LOW_GAP, Aftermath, aftermath, is_low, ratio
from coveport.testbed.search.reach import Reach, reachable

RULE, PROCESS, HELD, NO_RETURN, DIP = "rule", "process", "held", "no-return", "dip"
"""Kinds of finds; a dip is a figure to look at, and counts as none."""

WORST = {
    "ran-twice": 9,
    "resent": 9,
    "refused": 9,
    "body": 9,
    "changed": 9,
    "answer-none": 8,
    "answer-twice": 8,
    "process": 8,
    "second-copy": 7,
    "unnamed": 7,
    "drained": 6,
    "cold": 6,
    "answer-late": 6,
}  # others: 5
OF_CLASSES = ("resent", "ran-twice", "refused")  # rules that turn on what a class may repeat
DIPS = 0.15  # a smaller share of the worth in reach is not worth a line
HISTORIES = 2000  # breaches of a day that are looked at; the rest is more of the same
YOUNG_MS, MARGIN_MS = 1000.0, 50.0

QUIET_TABLES = ("hosts", "places")  # what the list of nodes fills
QUIET = {"connections": 2, "connecting": 3, "tasks": 4, "timers": 4}
"""What a sidecar may hold in quiet: its call to discovery, and others that it has just begun."""


class Find(Struct, frozen=True):
    """Something that a day showed."""

    kind: str
    signature: str
    badness: float  # the larger, the worse
    what: str  # a sentence for people, of the first one
    at_ms: float = 0.0
    operation: str = ""
    count: int = 1  # how often on that day

    @property
    def counts(self) -> bool:
        """Whether it is more than a figure."""
        return self.kind != DIP


class Findings(Struct, frozen=True):
    """What a day showed, worst first, and how its service came back."""

    finds: list[Find]
    after: Aftermath
    reach: Reach


def finds(played: Played, outcome: Outcome) -> Findings:
    """All finds of a played and judged day, one for each signature, worst first.

    A find of kind `no-return` holds only if `stands` says so of the same day without its faults.
    """
    reach = reachable(played.day, played.rows)
    after = aftermath(played.day, played.rows, reach)
    found = [
        *_rules(played, outcome.broken),
        *_complaints(played),
        *_held(played),
        *_service(played, reach, after),
    ]
    return Findings(sorted(_merged(found), key=lambda one: (-one.badness, one.signature)), after, reach)


def stands(here: Findings, control: Played) -> bool:
    """Whether a service that stays low is the faults' doing: `control` is the day without them."""
    below = here.after.below
    if below is None:
        return False
    end = control.day.scenario.length_s * 1000
    better = reachable(control.day, control.rows)
    worths = [control.day.scenario.classes[one.cls].worth for one in control.day.wishes if one.due >= below]
    gained = better.between(below, end)[1] - here.reach.between(below, end)[1]
    gap = LOW_GAP if is_low(better, below, end) else GAP
    return ratio(better, below, end) >= ratio(here.reach, below, end) + gap and gained >= LEAST * sum(
        worths
    ) / max(1, len(worths))


def unplayed(problem: str) -> Find:
    """A day that could not be played: it raised, hung, or took its process along; `problem` in one line."""
    return Find(PROCESS, f"process: not played: {shapeless(problem.partition(':')[0])}", 85.0, problem)


def _merged(found: Iterable[Find]) -> list[Find]:
    by: dict[str, list[Find]] = {}
    for one in found:
        by.setdefault(one.signature, []).append(one)
    merged = []
    for those in by.values():
        first, count = min(those, key=lambda one: one.at_ms), sum(one.count for one in those)
        merged.append(
            Find(
                first.kind,
                first.signature,
                round(first.badness + min(9.0, log2(count)), 2),
                first.what,
                first.at_ms,
                first.operation,
                count,
            )
        )
    return merged


# Rules.


def _rules(played: Played, broken: list[Broken]) -> Iterator[Find]:
    if not broken:
        return
    case = Case(played.day, played.rows, Grace.virtual() if played.ground == "virtual" else Grace.real())
    for one in broken[:HISTORIES]:
        signature = f"rule {one.rule}: {_shape(case, one)}"
        yield Find(RULE, signature, 10.0 * WORST.get(one.rule, 5), one.what, one.at_ms, one.operation)


def _shape(case: Case, one: Broken) -> str:
    operation = case.operations.get(one.operation)
    if one.rule == "cold":
        return "several sidecars" if len(re.findall(r"sidecar \d", one.what)) > 1 else "one sidecar"
    if operation is None:
        return shapeless(one.what)
    cls = case.class_of(operation)
    words: list[str] = [cls.repeats] if cls is not None and one.rule in OF_CLASSES else []
    if one.rule == "changed":
        words.append(shapeless(one.what.rpartition(": ")[2]).rstrip("."))
    return "; ".join([*words, *history(case, operation, one.at_ms)])


def history(case: Case, operation: Operation, at_ms: float) -> list[str]:
    """What became of an operation, in words; `at_ms` is the moment at issue."""
    words = ["crossed"] if operation.crossed else []
    attempts = sorted(operation.attempts, key=lambda one: one.row.handed)
    words += [
        f"{word}, again" if len(list(those)) > 1 else word
        for word, those in groupby(_fate(one) for one in attempts)
    ] or ["no attempt"]
    words.append(_end(operation))
    if operation.asked is not None:
        words += _process(case, operation.asked.sidecar, operation.asked.at, at_ms)
    return words


def _fate(attempt: Attempt) -> str:
    """What became of one attempt, as its node saw it."""
    replied, ended, took = attempt.replied, attempt.ended, attempt.row.took
    if took in ("full", "drain", "over"):
        return "turned away"
    end = (
        f"answered {replied.status}"
        if replied is not None and replied.whole
        else "spoilt"
        if replied is not None
        else f"ended ({ended.how})"
        if ended is not None
        else "open"
    )
    ran = "ran, " if attempt.ran else "" if took == "work" else f"{took}, "
    return ran + end


def _end(operation: Operation) -> str:
    if operation.answers:
        again = ", answered again" if len(operation.answers) > 1 else ""
        return f"told {operation.answers[0].status}{again}"
    if operation.broke is not None:
        return f"broken off ({operation.broke.how}{', after some bytes' if operation.broke.seen else ''})"
    if operation.gave_up is not None:
        return f"given up ({operation.gave_up.how})"
    return f"not asked ({operation.unasked.why})" if operation.unasked is not None else "told nothing"


def _process(case: Case, sidecar: int, begin: float, until: float) -> list[str]:
    """How the sidecar stood between two moments."""
    life = case.lives.at(sidecar, begin)
    if life is None:
        return ["no sidecar"]
    words = []
    if life.term <= until + MARGIN_MS:
        words.append("stopping")
    if case.lives.due(sidecar, begin) > begin or case.lives.due(sidecar, until) > until:
        words.append("stalled")
    if -inf < life.ready and life.begin > 0 and begin < life.ready + YOUNG_MS:
        words.append("young")
    return words


def shapeless(text: str) -> str:
    """A text without its numbers, ids, addresses and names in brackets behind a number."""
    text = re.sub(r"0x[0-9a-f]+|\b(?=[a-z]*\d)[0-9a-f]{8,}\b", "#", text)
    text = re.sub(r"\d+(?:[.:]\d+)*", "#", text)
    return re.sub(r"# \([\w.#-]+\)", "#", text)


# Processes.

_LINE = re.compile(r"^ *-?\d+\.\d{3} coveport: ", re.MULTILINE)
_FRAME = re.compile(r'File "[^"]*?coveport/([^"]*)", line \d+, in (\w+)')


def _complaints(played: Played) -> Iterator[Find]:
    """What sidecars log as a fault, and what their loops or the lab itself could not deal with."""
    for sidecar, text in sorted(played.logs.items()):
        for said in _LINE.split(text):
            if said.startswith(("fault:", "unexpected:")):
                yield Find(PROCESS, f"process: {_cause(said)}", 75.0, f"sidecar {sidecar}: {_last(said)}")
    for note in played.notes:
        yield Find(PROCESS, f"process: note: {shapeless(note)[:200]}", 75.0, note[:400])


def _cause(said: str) -> str:
    """A log line's kind, its exception, and where in the program that came from."""
    kind, _, rest = said.strip().partition(": ")
    frames = _FRAME.findall(rest)
    if frames:
        return f"{kind}: {_last(said).partition(':')[0]} in {frames[-1][0]} {frames[-1][1]}"
    return f"{kind}: {shapeless(' '.join(rest.split()))[:160]}"


def _last(said: str) -> str:
    lines = [line for line in re.sub(r" \(\d+ like it left out\)", "", said).splitlines() if line.strip()]
    return " ".join(lines[-1].split())[:300]


def _held(played: Played) -> Iterator[Find]:
    """What a sidecar still held after a quiet end."""
    held: Mapping[int, Mapping[str, int]] = getattr(played, "held", {})
    if getattr(played.day.scenario, "quiet_s", 0.0) <= 0:
        return
    for sidecar, tables in sorted(held.items()):
        for name, count in tables.items():
            if name not in QUIET_TABLES and count > QUIET.get(name, 0):
                yield Find(HELD, f"held: {name}", 45.0, f"sidecar {sidecar} held {count} {name} in quiet")


# Service.


def _service(played: Played, reach: Reach, after: Aftermath) -> Iterator[Find]:
    end = played.day.scenario.length_s * 1000
    if after.below is not None:
        share = ratio(reach, after.below, end)
        yield Find(
            NO_RETURN,
            f"no-return: {_how_most_end(played, after.below)}",
            40.0 + 20 * (1 - share),
            f"From {after.below / 1000:.1f} s to the day's end {share:.0%} of what was in reach was "
            f"served; the last trouble was over at {after.quiet / 1000:.1f} s.",
            after.below,
        )
    if after.short >= DIPS:
        yield Find(
            DIP,
            "dip",
            10 * after.short,
            f"{after.short:.0%} of the worth in reach from the first fault on was not served.",
        )


def _how_most_end(played: Played, begin: float) -> str:
    """How most of the worth that is due from then on and not served ends."""
    classes = played.day.scenario.classes
    wishes = {one.op: one for one in played.day.wishes if one.due >= begin}
    ends = dict.fromkeys(wishes, "unreached")
    served: set[str] = set()
    for row in played.rows:
        if not isinstance(
            row, event_log.Asked | event_log.Unasked | event_log.Answered | event_log.Broke | event_log.GaveUp
        ):
            continue
        first = first_id(row.op)
        if first not in wishes:
            continue
        if isinstance(row, event_log.Asked):
            ends[first] = "unanswered"
        elif isinstance(row, event_log.Unasked):
            ends[first] = "unreached"
        elif isinstance(row, event_log.Answered):
            if row.status == 200:
                served.add(first)
            ends[first] = "late" if row.status == 200 else "busy" if row.status in (429, 503) else "failed"
            if row.status == 200 and row.at <= wishes[first].due + classes[wishes[first].cls].aim_ms + 1e-6:
                ends[first] = "served"
        elif isinstance(row, event_log.Broke):
            ends[first] = "broken"
        elif first not in served and row.how != "half":
            ends[first] = "left" if row.how == "impatient" else "unanswered"
    worth: Counter[str] = Counter()
    for op, how in ends.items():
        if how != "served":
            worth[how] += int(1000 * classes[wishes[op].cls].worth)
    return worth.most_common(1)[0][0] if worth else "nothing"
