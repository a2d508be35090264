"""What a successor does with a record of a lost instance: the table of docs/design/work-in-hand.md.

Pure.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coveport.balancing.interface import Effect, Group
from coveport.sidecar.intent_log.record import Attempt, Record, State


class Do(Enum):
    """What is done."""

    SEND = "send"  # it has not run, or may run again: the module picks a node as for any other
    ASK_AGAIN = "ask again"  # the same key, at a node that drops repeats of the attempts made
    NEVER_RAN = "never-run"  # closed so
    UNKNOWN = "unknown"  # closed so, kept for staff and for who asks
    KEEP = "keep"  # its answer is known, and given to who asks
    NOTHING = "nothing"


@dataclass(frozen=True, slots=True)
class Decision:
    """What is done, why, and for a further try where and within which time."""

    do: Do
    rule: str
    group: Group = Group.ALL
    like: Attempt | None = None  # ASK_AGAIN: a node of its zone or cell, as `group` says
    within_ms: float = 0.0


def decide(record: Record, left_ms: float, age_ms: float, room_ms: float) -> Decision:
    """By state, class, window, tries and time.

    `left_ms`: of the client's time; none: it has not asked again and its deadline is over. `age_ms`: at the
    most, since the first attempt was written down; inf: not known. `room_ms`: what a try takes until its
    last byte is handed over.
    """
    rules = record.rules
    if record.state is State.CLOSED:
        return Decision(Do.NOTHING, "it is closed")
    if record.state is State.ANSWERED:
        return Decision(Do.KEEP, "one final answer: the one that a node made")
    in_time = left_ms > room_ms
    tries = len(record.attempts) < rules.most_attempts
    if not record.may_have_run:
        if rules.effect is Effect.UNSAFE:
            return Decision(Do.NEVER_RAN, "durable first: it was never sent, or was proven not to have run")
        if not in_time or not tries:
            return Decision(Do.NEVER_RAN, "durable first, and there is no time or no try left for it")
        return Decision(Do.SEND, "durable first: it has not run", within_ms=left_ms)
    if rules.effect is Effect.UNSAFE:
        return Decision(Do.UNKNOWN, "never double an effect: an attempt may have run, or may still")
    if not in_time or not tries:
        return Decision(Do.UNKNOWN, "no time or no try is left, and it may have run")
    if rules.effect is Effect.SAFE:
        return Decision(Do.SEND, "it may be repeated freely", within_ms=left_ms)
    rest_ms = rules.window_ms - age_ms - room_ms
    if not record.key or not rest_ms > 0:
        return Decision(Do.UNKNOWN, "never double an effect: its window is over, or may be")
    like = record.risky[0]
    if any(_place(one, rules.group) != _place(like, rules.group) for one in record.risky):
        return Decision(
            Do.UNKNOWN, "never double an effect: its attempts were made at nodes that do not share keys"
        )
    return Decision(
        Do.ASK_AGAIN, "repeats are dropped there, within the window", rules.group, like, min(left_ms, rest_ms)
    )


def _place(attempt: Attempt, group: Group) -> tuple[int, ...]:
    if group is Group.ALL:
        return ()
    return (attempt.zone,) if group is Group.ZONE else (attempt.zone, attempt.cell)
