"""What a client is told who asks again for what is recorded already. Pure.

It never brings a second run about: what may have run is sent again only by way of `takeover.decide`, with all
attempts of all instances counted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coveport.sidecar.intent_log.record import UNRUN, End, Record


class Then(Enum):
    """What is done with who asks again."""

    GIVE = "give"  # the answer that is recorded
    WAIT = "wait"  # for the try under way, within one's own deadline
    CLAIM = "claim"  # its owner is lost: it is taken over, for who asks
    ANEW = "anew"  # it never ran: it is taken once more
    TRY = "try"  # it may have run, and its class allows the same key there again
    OTHER = "other"  # the key is another operation's: refused
    TOLD = "told"  # that it failed, and may have run


class Owner(Enum):
    """What is known of a record's owner."""

    OURS = "ours"
    THERE = "there"
    LEAVING = "leaving"  # it ends what it has
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Told:
    """What is done, and why."""

    then: Then
    rule: str


def decide_again(record: Record, owner: Owner, same: bool | None, kept: bool) -> Told:
    """By the record's state, its owner, and whether what is asked is the `same` (None: can't be told).

    `kept`: its answer can be read.
    """
    if same is False:
        return Told(Then.OTHER, "the key was used for another operation")
    if same is None:
        return Told(Then.TOLD, "what was asked can't be read: nothing is done that might be a second run")
    if record.open:
        if owner is Owner.LOST:
            return Told(Then.CLAIM, "its owner is lost")
        return Told(Then.WAIT, "a try is under way")
    if record.settled is not None and record.settled.end is End.NEVER_RAN:
        return Told(Then.ANEW, "staff found that it never ran")
    if record.end is End.SERVED:
        if kept:
            return Told(Then.GIVE, "one final answer: the one that a node made")
        return Told(Then.TOLD, "it was served, and its answer is not kept")
    if record.end in UNRUN:
        return Told(Then.ANEW, "it never ran, and its client was told so")
    if record.settled is None and record.may_run_again:
        return Told(Then.TRY, "repeats are dropped in its cell, within the window")
    return Told(Then.TOLD, "never double an effect: it may have run")


def told_late(record: Record | None) -> bool:
    """Whether who waited in vain is told busy (it never ran), not failed (it may have)."""
    return record is None or not record.may_have_run
