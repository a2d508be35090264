"""Rules on what a sidecar sends for an operation: unchanged, as often and as long as its class allows. Pure.

What may have run. A sidecar must take an attempt as one that may have run from the moment it is handed over,
until it reads that it has not (503 or 504 with `X-Not-Run`). So an attempt counts against a later one, or
against a busy reply, unless that word can have come before. What never came to a node whole is in no book and
counts for nothing: it has not run.

When it was sent. Where the ground tells when an attempt was handed over, that is when it was sent. Where it
can't, it was sent somewhere between what the network allows at the earliest and its coming; each rule takes
the end of that span at which the sidecar is in the right.
"""

from __future__ import annotations

from math import inf

from coveport.testbed.oracle.case import Attempt, Case, Operation
from coveport.testbed.schema import Class

BUSY = (429, 503)


def judge_attempts(case: Case) -> None:
    """`changed`, `resent`, `ran-twice`, `refused`, `second-copy`, `attempts`, `after-end`, `cancel-lost`."""
    tries: dict[str, list[Operation]] = {}  # of wishes of which more than one may count
    refused: set[str] = set()
    for operation in case.operations.values():
        if not operation.attempts:
            continue
        _changed(case, operation)
        cls = case.class_of(operation)
        if cls is None:
            continue
        sent = [attempt for attempt in operation.attempts if attempt.row.took != "bad"]
        if len(sent) > 1:
            sent.sort(key=_handed)
            _too_many(case, operation, sent)
            _resent(case, operation, cls, sent)
            if not case.rules.second_copies:
                _second_copy(case, operation, sent)
        if cls.repeats != "safe":
            _ran_twice(case, operation, cls, sent)
            if _refused(case, operation, cls, sent):
                refused.add(operation.op)
            if operation.asked is not None:
                tries.setdefault(operation.asked.first, []).append(operation)
        end = operation.end
        if end < inf and operation.asked is not None:
            for attempt in sent:
                _after_end(case, operation, operation.asked.sidecar, end, attempt)
                _cancel_lost(case, operation, end, attempt)
    for those in tries.values():
        if len(those) > 1:
            _ran_again(case, those, refused)


def _handed(attempt: Attempt) -> float:
    return attempt.row.handed


def _changed(case: Case, operation: Operation) -> None:
    for attempt in operation.attempts:
        row, asked = attempt.row, operation.asked
        if asked is None:
            why = "" if operation.unasked is not None else "no till asked it"
        elif row.sidecar != asked.sidecar:
            why = f"it was asked of {case.sidecar(asked.sidecar)}"
        elif row.key != asked.key:
            why = "its key differs from what the till sent"
        elif row.digest != asked.digest:
            why = "method, path, id or body differ from what the till sent"
        else:
            why = ""
        if not why and row.took == "bad":
            why = "the node could not take it"
        if why:
            case.breach(
                "changed",
                row.at,
                operation.op,
                f"{case.sidecar(row.sidecar)} sent {case.node(row.node)} something that came at "
                f"{row.at:.1f} ms: {why}.",
            )


def _too_many(case: Case, operation: Operation, sent: list[Attempt]) -> None:
    for number, attempt in enumerate(sent[case.rules.most_tries :], case.rules.most_tries + 1):
        row = attempt.row
        case.breach(
            "attempts",
            row.at,
            operation.op,
            f"{case.sidecar(row.sidecar)} sent attempt {number} to {case.node(row.node)}, where it "
            f"came at {row.at:.1f} ms; {case.rules.most_tries} are allowed.",
        )


def _same_group(case: Case, cls: Class, one: Attempt, other: Attempt) -> bool:
    if cls.scope == "all":
        return True
    here, there = case.drawn[one.row.node], case.drawn[other.row.node]
    return here.zone == there.zone if cls.scope == "zone" else here.cell == there.cell


def _forbidden(case: Case, cls: Class, earlier: Attempt, later: Attempt) -> str:
    """Why `later` may not follow `earlier`; empty where it may."""
    if cls.repeats == "safe" or case.unrun_known(earlier) <= later.row.handed:
        return ""
    if cls.repeats == "never":
        return f"{cls.name} is never repeated"
    if not _same_group(case, cls, earlier, later):
        return f"the two remember no keys together ({cls.name}: by {cls.scope})"
    late = case.handed(later.row) - earlier.row.handed - cls.window_ms
    if late > case.grace.extra_ms:
        return f"keys are remembered for {cls.window_ms:.0f} ms, and it came {late:.1f} ms after that"
    return ""


def _resent(case: Case, operation: Operation, cls: Class, sent: list[Attempt]) -> None:
    for number, later in enumerate(sent[1:], 1):
        for earlier in sent[:number]:
            why = _forbidden(case, cls, earlier, later)
            if why:
                case.breach(
                    "resent",
                    later.row.handed,
                    operation.op,
                    f"{case.sidecar(later.row.sidecar)} sent {case.node(later.row.node)} an attempt "
                    f"at {later.row.handed:.1f} ms, while that of {earlier.row.handed:.1f} ms at "
                    f"{case.node(earlier.row.node)} may have run: {why}.",
                )
                break


def _ran_twice(case: Case, operation: Operation, cls: Class, sent: list[Attempt]) -> None:
    """Two effects of one operation.

    Never: whatever led to it. Keyed: a second effect is legal only where each attempt was and the window had
    passed when the later ran, as it was long on its way or waited long at its node. Where nodes of one group
    run what they should have dropped, the lab itself has failed; it shows here and not in `resent`.
    """
    ran = sorted(((row, attempt) for attempt in sent for row in attempt.ran), key=lambda pair: pair[0].at)
    for row, later in ran[1:]:
        first, earlier = ran[0]
        if (
            cls.repeats == "keyed"
            and row.at >= earlier.row.handed + cls.window_ms
            and not _forbidden(case, cls, earlier, later)
        ):
            continue
        case.breach(
            "ran-twice",
            row.at,
            operation.op,
            f"{cls.name} took effect at {case.node(first.node)} at {first.at:.1f} ms and again at "
            f"{case.node(row.node)} at {row.at:.1f} ms, sent by {case.sidecar(later.row.sidecar)}.",
        )


def _ran_again(case: Case, tries: list[Operation], refused: set[str]) -> None:
    """Two effects of two tries of one wish.

    A client tries what is not safe again where a busy reply told it that this does no harm (or where nobody
    is left to answer: a killed sidecar is not to blame). So the sidecar that was wrong in its busy reply has
    doubled the effect, be the later try sent to the same group or not: it can't know of the earlier one. A
    keyed class that all nodes remember is the client's own matter.
    """
    for operation in tries:
        if operation.op not in refused:
            continue
        first = min(
            (row for attempt in operation.attempts for row in attempt.ran),
            key=lambda row: row.at,
            default=None,
        )
        if first is None:
            continue
        for other in tries:
            if other.asked is None or other.asked.at < operation.answers[0].at:
                continue
            for attempt in other.attempts:
                for row in attempt.ran:
                    case.breach(
                        "ran-twice",
                        row.at,
                        other.op,
                        f"It took effect at {case.node(row.node)} at {row.at:.1f} ms; its earlier "
                        f"try {operation.op}, called harmless to repeat, had done so at "
                        f"{case.node(first.node)} at {first.at:.1f} ms.",
                    )


def _refused(case: Case, operation: Operation, cls: Class, sent: list[Attempt]) -> bool:
    if (
        not operation.answers
        or operation.answers[0].status not in BUSY
        or (cls.repeats == "keyed" and cls.scope == "all")
    ):
        return False
    answer = operation.answers[0]
    for attempt in sent:
        row = attempt.row
        if case.handed(row) <= answer.at and case.unrun_known(attempt) > answer.at:
            case.breach(
                "refused",
                answer.at,
                operation.op,
                f"{case.sidecar(row.sidecar)} answered {answer.status} at {answer.at:.1f} ms, while "
                f"the attempt at {case.node(row.node)} of {row.handed:.1f} ms may have run.",
            )
            return True
    return False


def _second_copy(case: Case, operation: Operation, sent: list[Attempt]) -> None:
    for number, later in enumerate(sent[1:], 1):
        for earlier in sent[:number]:
            until = _out_until(case, earlier)
            if later.row.handed < until:
                case.breach(
                    "second-copy",
                    later.row.handed,
                    operation.op,
                    f"{case.sidecar(later.row.sidecar)} sent {case.node(later.row.node)} a copy at "
                    f"{later.row.handed:.1f} ms, while the attempt of {earlier.row.handed:.1f} ms at "
                    f"{case.node(earlier.row.node)} was out.",
                )
                break


def _out_until(case: Case, attempt: Attempt) -> float:
    """When an attempt was no longer out for its sidecar, at the earliest that the event log allows."""
    row, replied, ended, reach = attempt.row, attempt.replied, attempt.ended, case.reach
    until = inf
    if replied is not None and replied.whole:
        until = replied.at + reach.base_ms(row.node, row.sidecar) - case.grace.early_ms
    if ended is not None:
        until = min(
            until,
            ended.at
            if ended.how in ("down", "cut")
            else reach.since(row.node, row.sidecar, ended.at) - case.grace.early_ms,
        )
    if attempt.closed < inf:
        until = min(until, reach.since(row.node, row.sidecar, attempt.closed) - case.grace.early_ms)
    return until


def _after_end(case: Case, operation: Operation, sidecar: int, end: float, attempt: Attempt) -> None:
    row = attempt.row
    limit = end + case.reach.client_ms + case.grace.after_end_ms
    if row.handed <= limit or case.handed(row) <= case.lives.due(sidecar, limit):
        return
    case.breach(
        "after-end",
        row.handed,
        operation.op,
        f"{case.sidecar(row.sidecar)} sent {case.node(row.node)} an attempt at {row.handed:.1f} ms; "
        f"the operation was over for its till at {end:.1f} ms.",
    )


def _cancel_lost(case: Case, operation: Operation, end: float, attempt: Attempt) -> None:
    row, reach = attempt.row, case.reach
    over = attempt.over_at
    known = end + reach.client_ms
    if over <= max(known, row.at) + case.grace.cancel_ms:
        return
    life = case.lives.at(row.sidecar, row.handed)
    sent = case.lives.due(row.sidecar, known + case.grace.cancel_ms)
    if life is None or life.end <= sent:
        return  # its connections end with it
    limit = max(reach.by(row.node, row.sidecar, sent), row.at + case.grace.cancel_ms)
    limit += case.drawn[row.node].pause_ms  # a node that rests sees a close later
    if min(over, reach.closed_by_death(row.node, row.at), case.end) <= limit:
        return
    how = "was still out at the books' end" if over == inf else f"was out until {over:.1f} ms"
    case.breach(
        "cancel-lost",
        limit,
        operation.op,
        f"The attempt of {case.sidecar(row.sidecar)} at {case.node(row.node)}, which came at "
        f"{row.at:.1f} ms, {how}; the operation was over for its till at {end:.1f} ms.",
    )
