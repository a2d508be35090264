"""Decides how a successor continues a lost instance's record.

The module is pure: it does no I/O, and uses no clock or random source of its own.

The rules are listed in docs/design/work-in-hand.md ("What a successor does").
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coveport.balancing import DeduplicationScope, Effect
from coveport.sidecar.intent_log.record import Attempt, Record, RecoveryPoint


class TakeoverAction(Enum):
    """Action of a successor. The values appear in log lines (`operation_taken_over`)."""

    # The operation has not run, or may be repeated: the balancer picks a node as for any other operation.
    SEND = "send"
    # The operation is sent with the same key to a node that drops repeats of the earlier attempts.
    RETRY = "retry"
    CLOSE_NEVER_RAN = "never-run"
    CLOSE_UNKNOWN = "unknown"  # the record is kept for operators, and for a client that repeats the request
    KEEP_RESPONSE = "keep response"  # a client that repeats the request gets the recorded response
    NOTHING = "nothing"


# Suffixes of the actions' counters (`work_did_*`).
COUNTER_SUFFIXES: dict[TakeoverAction, str] = {
    TakeoverAction.SEND: "send",
    TakeoverAction.RETRY: "ask_again",
    TakeoverAction.CLOSE_NEVER_RAN: "never_ran",
    TakeoverAction.CLOSE_UNKNOWN: "unknown",
    TakeoverAction.KEEP_RESPONSE: "keep",
    TakeoverAction.NOTHING: "nothing",
}


@dataclass(frozen=True, slots=True)
class TakeoverDecision:
    """Action of a successor, the rule that led to it, and the limits of a new attempt."""

    action: TakeoverAction
    rule: str
    group: DeduplicationScope = DeduplicationScope.ALL
    previous: Attempt | None = None  # for RETRY: earlier attempt whose zone or cell is used, as `group` says
    within_ms: float = 0.0  # for SEND and RETRY: time within which the attempt has to be sent


def decide(record: Record, left_ms: float, age_ms: float, send_ms: float) -> TakeoverDecision:
    """Decide by recovery point, class, window, attempts and time.

    `left_ms`: time until the client's deadline; 0 or less: the deadline has passed, and the client has not
    repeated the request. `age_ms`: upper bound of the time since the first attempt was stored; inf: not
    known. `send_ms`: time that an attempt takes until its last byte is sent.
    """
    if record.recovery_point is RecoveryPoint.CLOSED:
        return TakeoverDecision(TakeoverAction.NOTHING, "it is closed")
    if record.recovery_point is RecoveryPoint.ANSWERED:
        return TakeoverDecision(TakeoverAction.KEEP_RESPONSE, "one final answer: the one that a node made")
    if not record.may_have_run:
        return _decide_not_executed(record, left_ms, send_ms)
    return _decide_uncertain(record, left_ms, age_ms, send_ms)


def _may_send(record: Record, left_ms: float, send_ms: float) -> bool:
    return left_ms > send_ms and len(record.attempts) < record.policy.max_attempts


def _decide_not_executed(record: Record, left_ms: float, send_ms: float) -> TakeoverDecision:
    if record.policy.effect is Effect.UNSAFE:
        return TakeoverDecision(
            TakeoverAction.CLOSE_NEVER_RAN,
            "durable first: it was never sent, or was proven not to have run",
        )
    if not _may_send(record, left_ms, send_ms):
        return TakeoverDecision(
            TakeoverAction.CLOSE_NEVER_RAN, "durable first, and there is no time or no try left for it"
        )
    return TakeoverDecision(TakeoverAction.SEND, "durable first: it has not run", within_ms=left_ms)


def _decide_uncertain(record: Record, left_ms: float, age_ms: float, send_ms: float) -> TakeoverDecision:
    policy = record.policy
    if policy.effect is Effect.UNSAFE:
        return TakeoverDecision(
            TakeoverAction.CLOSE_UNKNOWN, "never double an effect: an attempt may have run, or may still"
        )
    if not _may_send(record, left_ms, send_ms):
        return TakeoverDecision(
            TakeoverAction.CLOSE_UNKNOWN, "no time or no try is left, and it may have run"
        )
    if policy.effect is Effect.SAFE:
        return TakeoverDecision(TakeoverAction.SEND, "it may be repeated freely", within_ms=left_ms)
    window_left_ms = policy.window_ms - age_ms - send_ms
    if not record.idempotency_key or not window_left_ms > 0:
        return TakeoverDecision(
            TakeoverAction.CLOSE_UNKNOWN, "never double an effect: its window is over, or may be"
        )
    uncertain = record.uncertain_attempts
    if len({_key_domain(attempt, policy.group) for attempt in uncertain}) > 1:
        return TakeoverDecision(
            TakeoverAction.CLOSE_UNKNOWN,
            "never double an effect: its attempts were made at nodes that do not share keys",
        )
    return TakeoverDecision(
        TakeoverAction.RETRY,
        "repeats are dropped there, within the window",
        policy.group,
        uncertain[0],
        min(left_ms, window_left_ms),
    )


def _key_domain(attempt: Attempt, group: DeduplicationScope) -> tuple[int, ...]:
    """Return an identifier of the group of nodes that share deduplication keys with an attempt's node."""
    if group is DeduplicationScope.ALL:
        return ()
    return (attempt.zone,) if group is DeduplicationScope.ZONE else (attempt.zone, attempt.cell)
