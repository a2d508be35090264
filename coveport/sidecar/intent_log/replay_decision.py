"""Decides the response to a client that repeats a request which is already recorded.

The module is pure: it does no I/O, and uses no clock or random source of its own.

The decision never causes a second run by itself: an operation that may have run is sent again only through
`takeover.decide`, which counts the attempts of all instances.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coveport.sidecar.intent_log.presence import OwnerStatus
from coveport.sidecar.intent_log.record import NOT_EXECUTED, FinalStatus, Record


class ReplayAction(Enum):
    """Action for a repeated request. The values are suffixes of counters (`work_again_*`)."""

    RETURN_RESPONSE = "give"  # the recorded response is sent
    WAIT = "wait"  # the client waits for the attempt in flight, until the client's own deadline
    CLAIM = "claim"  # the owner is lost: the record is taken over for this client
    RESTART = "anew"  # the operation did not run and is accepted again
    RETRY = "try"  # the operation may have run, and its class allows another attempt with the same key
    KEY_REUSED = "other"  # rejected: the key belongs to another operation
    FAIL = "told"  # a failure is sent: the operation may have run


@dataclass(frozen=True, slots=True)
class ReplayDecision:
    """Action for a repeated request, and the rule that led to it."""

    action: ReplayAction
    rule: str


def decide_replay(
    record: Record, owner: OwnerStatus, *, same_request: bool | None, has_response: bool
) -> ReplayDecision:
    """Decide by the record, its owner's status, and whether the request is the recorded request.

    `same_request`: None if the requests can't be compared. `has_response`: the recorded response can be read.
    """
    if same_request is False:
        return ReplayDecision(ReplayAction.KEY_REUSED, "the key was used for another operation")
    if same_request is None:
        return ReplayDecision(
            ReplayAction.FAIL, "the recorded request can't be read: a new attempt might be a second run"
        )
    if record.is_open:
        if owner is OwnerStatus.LOST:
            return ReplayDecision(ReplayAction.CLAIM, "its owner is lost")
        return ReplayDecision(ReplayAction.WAIT, "an attempt is in flight")
    return _decide_closed(record, has_response=has_response)


def _decide_closed(record: Record, *, has_response: bool) -> ReplayDecision:
    if record.resolution is not None and record.resolution.final_status is FinalStatus.NEVER_RAN:
        return ReplayDecision(ReplayAction.RESTART, "an operator found that it never ran")
    if record.final_status is FinalStatus.SERVED:
        if has_response:
            return ReplayDecision(
                ReplayAction.RETURN_RESPONSE, "there is one final response, the one from the node"
            )
        return ReplayDecision(ReplayAction.FAIL, "it was served, and its response is not kept")
    if record.final_status in NOT_EXECUTED:
        return ReplayDecision(ReplayAction.RESTART, "it never ran, and its client was notified")
    if record.resolution is None and record.may_be_retried:
        return ReplayDecision(ReplayAction.RETRY, "repeats are dropped in its cell, within the window")
    return ReplayDecision(ReplayAction.FAIL, "it may have run: another attempt might double its effect")


def may_be_rejected_as_busy(record: Record | None) -> bool:
    """Return whether a repeat whose wait timed out is rejected as busy, not as failed.

    Busy means that the operation did not run.
    """
    return record is None or not record.may_have_run
