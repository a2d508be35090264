"""Members of the core, epochs, views, and the quorum rules."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class MemberId:
    """A machine with one incarnation of its disk: a wiped or replaced machine is another member."""

    address: str  # ip:port of its inner port
    disk: str  # random hex, drawn when the disk was found empty


@dataclass(frozen=True, slots=True, order=True)
class Epoch:
    """A ballot number: it orders the view changes. Each epoch is used by one candidate, for one attempt."""

    number: int
    candidate: str  # the candidate's disk id

    def after(self, candidate: str) -> Epoch:
        """Return the next higher epoch, for `candidate`."""
        return Epoch(self.number + 1, candidate)


NO_EPOCH = Epoch(0, "")


@dataclass(frozen=True, slots=True)
class Locality:
    """The failure domains in which a machine runs."""

    zone: str
    region: str


UNKNOWN_LOCALITY = Locality("", "")


@dataclass(frozen=True, slots=True)
class View:
    """The primary, the replicas and the voting members under one epoch."""

    epoch: Epoch
    primary: MemberId
    replicas: tuple[MemberId, ...]  # the primary first; each replica holds every acknowledged change
    members: tuple[MemberId, ...]  # the voters; the next view needs a majority of them
    previous_members: tuple[MemberId, ...] = ()  # they vote too until this view is known to be active

    def quorum_groups(self, active_epoch: Epoch) -> tuple[tuple[MemberId, ...], ...]:
        """Return the groups of voters; the next view needs a majority of each group (Raft's joint consensus).

        `active_epoch` is the epoch of the newest view known to be active. A later active view doesn't prove
        that this view became active: this view may be a branch whose members never decided anything.
        """
        if not self.previous_members or active_epoch == self.epoch:
            return (self.members,)
        return self.members, self.previous_members


def is_majority(present: Collection[MemberId], group: Collection[MemberId]) -> bool:
    """Return whether `present` holds more than half of `group`."""
    return 2 * sum(member in present for member in group) > len(group)


def has_majorities(present: Collection[MemberId], groups: Collection[Collection[MemberId]]) -> bool:
    """Return whether `present` holds more than half of each group."""
    return all(is_majority(present, group) for group in groups)
