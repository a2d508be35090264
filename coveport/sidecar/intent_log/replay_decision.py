"""Decides the response to a client that repeats a request which is recorded already. Pure.

It never causes a second run: what may have run is sent again only through `takeover.decide`, which counts the
attempts of all instances.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coveport.sidecar.intent_log.presence import OwnerStatus
from coveport.sidecar.intent_log.record import NOT_EXECUTED, FinalStatus, Record


class ReplayAction(Enum):
    """What is done with a repeated request. The values are suffixes of counters (`work_again_*`)."""

    RETURN_RESPONSE = "give"  # the recorded one
    WAIT = "wait"  # for the attempt in flight, within the request's own deadline
    CLAIM = "claim"  # its owner is lost: the record is taken over for this client
    RESTART = "anew"  # it did not run: it is accepted once more
    RETRY = "try"  # it may have run, and its class allows the same key there again
    KEY_REUSED = "other"  # rejected: the key belongs to another operation
    FAIL = "told"  # it failed, and may have run


@dataclass(frozen=True, slots=True)
class ReplayDecision:
    """What is done, and by which rule."""

    action: ReplayAction
    rule: str


def decide_replay(
    record: Record, owner: OwnerStatus, *, same_request: bool | None, has_response: bool
) -> ReplayDecision:
    """Decide by the record, its owner, and whether the request is the recorded one (None: can't be checked).

    `has_response`: the recorded response can be read.
    """
    if same_request is False:
        return ReplayDecision(ReplayAction.KEY_REUSED, "the key was used for another operation")
    if same_request is None:
        return ReplayDecision(
            ReplayAction.FAIL, "the recorded request can't be read: nothing that might be a second run"
        )
    if record.is_open:
        if owner is OwnerStatus.LOST:
            return ReplayDecision(ReplayAction.CLAIM, "its owner is lost")
        return ReplayDecision(ReplayAction.WAIT, "an attempt is in flight")
    return _decide_closed(record, has_response=has_response)


def _decide_closed(record: Record, *, has_response: bool) -> ReplayDecision:
    if record.resolution is not None and record.resolution.final_status is FinalStatus.NEVER_RAN:
        return ReplayDecision(ReplayAction.RESTART, "staff found that it never ran")
    if record.final_status is FinalStatus.SERVED:
        if has_response:
            return ReplayDecision(
                ReplayAction.RETURN_RESPONSE, "one final response: the one that a node made"
            )
        return ReplayDecision(ReplayAction.FAIL, "it was served, and its response is not kept")
    if record.final_status in NOT_EXECUTED:
        return ReplayDecision(ReplayAction.RESTART, "it never ran, and its client was notified")
    if record.resolution is None and record.may_be_retried:
        return ReplayDecision(ReplayAction.RETRY, "repeats are dropped in its cell, within the window")
    return ReplayDecision(ReplayAction.FAIL, "never double an effect: it may have run")


def may_be_rejected_as_busy(record: Record | None) -> bool:
    """Whether a repeat that waited in vain is rejected as busy (it did not run), rather than failed."""
    return record is None or not record.may_have_run
