"""Rules on what a till gets: exactly one final answer, in time, at once, and with a node's own body. Pure."""

from __future__ import annotations

from math import inf

from coveport.testbed.event_log import Answered, Asked
from coveport.testbed.network_model import asking_ms
from coveport.testbed.oracle.case import Attempt, Case, Operation
from coveport.testbed.oracle.lives import Generation

LONG = 65536  # bytes of an answer above which its first bytes count

STOP_TAKING_MS = 700.0
"""After SIGTERM: what is asked later is lost where SIGKILL finds it unanswered."""


_ROUNDING_MS = 1.0  # how much too early a till that waits to the last may go, by its timer's rounding


def judge_answers(case: Case) -> None:
    """`answer-none`, `answer-late`, `answer-twice`, `answer-held`, `body`."""
    for operation in case.operations.values():
        for again in operation.answers[1:]:
            case.breach(
                "answer-twice",
                again.at,
                operation.op,
                f"A second answer ({again.status}) came at {again.at:.1f} ms; the first "
                f"({operation.answers[0].status}) at {operation.answers[0].at:.1f} ms.",
            )
        _read_and_closed(case, operation)
        asked = operation.owed
        if asked is None:
            continue
        if operation.answers:
            answer = operation.answers[0]
            _late(case, operation, asked, answer)
            _body(case, operation, asked, answer)
        elif _none(case, operation, asked):
            continue  # what was held back here is part of that
        _held(case, operation, asked)
    for stray in case.strays:
        case.breach(
            "answer-twice",
            stray.at,
            "",
            f"{stray.seen} bytes that no operation waited for came to a till at {stray.at:.1f} ms.",
        )


def _read_and_closed(case: Case, operation: Operation) -> None:
    """What a close has crossed is asked again and nobody owes it, unless the sidecar had read it."""
    for asked, unasked in operation.crossed:
        life = case.lives.at(asked.sidecar, asked.at)
        if life is None or (_died_by(case, life, unasked.at) and not life.stopped):
            continue
        for attempt in operation.attempts:
            if asked.at <= attempt.row.handed <= unasked.at:
                case.breach(
                    "answer-none",
                    unasked.at,
                    operation.op,
                    f"{case.sidecar(asked.sidecar)} ended the connection at {unasked.at:.1f} ms "
                    f"without an answer, and had sent the operation to "
                    f"{case.node(attempt.row.node)} at {attempt.row.handed:.1f} ms.",
                )
                break


def _limit(case: Case, asked: Asked) -> float:
    """By when the final answer is due.

    What is asked while a process has no CPU lies there unread, and nothing tells it for how long.
    """
    read = case.lives.due(asked.sidecar, asked.at)
    limit = read + asked.patience + case.rules.answer_slack_ms + case.grace.extra_ms
    return case.lives.due(asked.sidecar, limit) + asking_ms(case.day, asked.cls)


def _late(case: Case, operation: Operation, asked: Asked, answer: Answered) -> None:
    limit = _limit(case, asked)
    if _came(case, asked, answer) > limit:
        case.breach(
            "answer-late",
            answer.at,
            operation.op,
            f"{case.sidecar(asked.sidecar)} answered {answer.status} at {answer.at:.1f} ms, "
            f"{answer.at - limit:.1f} ms after the last moment; asked at {asked.at:.1f} ms, with "
            f"{asked.patience:.1f} ms to wait.",
        )


def _came(case: Case, asked: Asked, answer: Answered) -> float:
    """When an answer counts as given: a long one with its first bytes, the rest is its reader's time."""
    size = case.day.scenario.classes[asked.cls].answer
    return answer.began if (max(size) if isinstance(size, tuple) else size) > LONG else answer.at


def _body(case: Case, operation: Operation, asked: Asked, answer: Answered) -> None:
    if answer.status != 200:
        return
    for attempt in operation.attempts:
        replied = attempt.replied
        if (
            replied is not None
            and replied.whole
            and replied.status == 200
            and replied.at <= answer.at
            and replied.digest == answer.digest
        ):
            return
    nodes = ", ".join(case.node(attempt.row.node) for attempt in operation.attempts) or "no node at all"
    case.breach(
        "body",
        answer.at,
        operation.op,
        f"{case.sidecar(asked.sidecar)} passed on a 200 at {answer.at:.1f} ms whose body was made "
        f"for it by none of the nodes it went to ({nodes}).",
    )


def _none(case: Case, operation: Operation, asked: Asked) -> bool:
    """Judge an operation without an answer; True where that broke the rule.

    What is owed: all that was written whole to a connection that the sidecar's machine had accepted, while
    its process lived. What a kill or a crash finds is not judged here. At a planned stop all that was taken
    must be answered: what an exit finds is lost, and of what SIGKILL finds that which came more than 0.7 s
    after SIGTERM. (What came before that may have longer to wait than SIGKILL leaves.)
    """
    life = case.lives.at(asked.sidecar, asked.at)
    if life is None:
        return False
    limit = _limit(case, asked)
    broke, left = operation.broke, operation.gave_up.at if operation.gave_up else inf
    who = case.sidecar(asked.sidecar)
    harsh_ms = case.reach.harsh_ms
    if broke is not None and not broke.seen and broke.at < asked.at + 2 * (case.day.client_ms + harsh_ms):
        return False  # it ended before the operation can have come to the sidecar
    if broke is not None and not _died_by(case, life, broke.at):
        if broke.seen and _cut_short(case, operation, broke.at):
            return False
        how = {"end": "ended the connection", "reset": "reset the connection"}.get(
            broke.how, "sent what can't be read"
        )
        case.breach(
            "answer-none",
            broke.at,
            operation.op,
            f"{who} {how} at {broke.at:.1f} ms after {broke.seen} bytes of an answer, with the "
            f"operation open since {asked.at:.1f} ms.",
        )
        return True
    if life.end < limit:
        if left <= life.end:
            return False
        if life.stopped:
            if life.end < asked.at + case.day.client_ms + harsh_ms:
                return False
            found = "exited"
        elif asked.at > life.term + STOP_TAKING_MS + case.grace.extra_ms:
            found = "was still taking operations and was killed"
        else:
            return False
        case.breach(
            "answer-none",
            life.end,
            operation.op,
            f"{who} {found} at {life.end:.1f} ms with the operation open since {asked.at:.1f} ms; "
            f"SIGTERM had come at {life.term:.1f} ms.",
        )
        return True
    if left < limit - _ROUNDING_MS or case.end < limit:
        return False
    case.breach(
        "answer-none",
        limit,
        operation.op,
        f"{who} had given no final answer by {limit:.1f} ms; asked at {asked.at:.1f} ms, with "
        f"{asked.patience:.1f} ms to wait.",
    )
    return True


def _died_by(case: Case, life: Generation, at: float) -> bool:
    """Whether the process was dead by then; an exit is entered only once somebody has seen it."""
    return life.end <= at + (case.grace.death_ms if life.how == "exit" else case.grace.early_ms)


def _cut_short(case: Case, operation: Operation, at: float) -> bool:
    """Whether an answer that broke off may have been cut short before it came to the sidecar.

    It has then failed, but it is not lost: its till can tell that it is not whole. Where all attempts had
    been answered whole, nothing but the sidecar can have broken it off.
    """
    for attempt in operation.attempts:
        row, replied = attempt.row, attempt.replied
        if (
            replied is None
            or not replied.whole
            or case.reach.by(row.node, row.sidecar, replied.at) > at
            or case.reach.died(row.node, replied.at, at)
        ):
            return True
    return False


def _held(case: Case, operation: Operation, asked: Asked) -> None:
    """What is known must be passed on: a node's 200, and that nothing more may be tried."""
    settled = min(
        _came(case, asked, operation.answers[0]) if operation.answers else inf,
        operation.gave_up.at if operation.gave_up else inf,
    )
    if settled == inf:
        return
    on_the_way = case.reach.client_ms + case.grace.passing_ms
    held = [
        (known + on_the_way, attempt)
        for attempt in operation.attempts
        if (known := _served_known(case, asked, attempt, settled - on_the_way)) is not None
    ]
    why = "its 200"
    if not held and not (operation.answers and operation.answers[0].status == 200):
        known = _hopeless_known(case, operation, asked, settled - on_the_way)
        if known is not None:
            held = [(known + on_the_way, operation.attempts[-1])]
            why = "the end of the last attempt allowed"
    if not held:
        return
    limit, attempt = min(held, key=lambda pair: pair[0])
    limit = case.lives.due(asked.sidecar, limit) + asking_ms(case.day, asked.cls)
    if settled > limit:
        case.breach(
            "answer-held",
            settled,
            operation.op,
            f"{case.sidecar(asked.sidecar)} owed its till {why} from {case.node(attempt.row.node)} "
            f"by {limit:.1f} ms; the till heard nothing until {settled:.1f} ms.",
        )


def _served_known(case: Case, asked: Asked, attempt: Attempt, before: float) -> float | None:
    """By when an attempt's whole 200 must have come to its sidecar; None: not by `before`, or perhaps never.

    A sidecar that had given the attempt up closed its connection, and that close may have crossed the answer.
    The node saw the connection end soon after its answer then, and nothing is held against anybody.
    """
    replied, row = attempt.replied, attempt.row
    if replied is None or replied.at >= before or replied.status != 200 or not replied.whole:
        return None
    reach, size = case.reach, case.day.scenario.classes[asked.cls].answer
    known = reach.by(row.node, row.sidecar, replied.at) + reach.trips_ms(
        row.node, row.sidecar, replied.at, int(max(size) if isinstance(size, tuple) else size)
    )
    crossed = attempt.closed <= reach.by(row.node, row.sidecar, known) + case.grace.early_ms
    return None if crossed or reach.died(row.node, replied.at, known) else known


def _hopeless_known(case: Case, operation: Operation, asked: Asked, before: float) -> float | None:
    """By when a sidecar must know that nothing more may be tried; None: not by `before`, or perhaps never.

    That is so where as many attempts as allowed have come to nodes, or where one of a class that never
    repeats may have run, and all of them are over.
    """
    attempts, reach = operation.attempts, case.reach
    never = case.day.scenario.classes[asked.cls].repeats == "never"
    if len(attempts) < case.rules.most_tries and not (
        never and any(case.unrun_known(attempt) == inf for attempt in attempts)
    ):
        return None
    known = 0.0
    for attempt in attempts:
        row, replied, ended = attempt.row, attempt.replied, attempt.ended
        if replied is not None and replied.whole:
            over = replied.at
        elif replied is not None:
            over = attempt.closed  # guards against an answer that never ends, which tells nothing
        else:
            over = ended.at if ended is not None else inf
        if over >= before:
            return None
        came = reach.by(row.node, row.sidecar, over)
        silent = came > over + reach.most_ms(row.node, row.sidecar, over)
        if (silent or replied is not None) and reach.died(row.node, over, came):
            return None  # its answer, or the reset that its death brings, may have been lost
        known = max(known, came)
    return known
