"""Members of the core, epochs and views, and which of them form a quorum."""

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
    """Orders the view changes, as a ballot number does. No two candidates share one or use one twice."""

    number: int
    candidate: str  # the candidate's disk id

    def after(self, candidate: str) -> Epoch:
        """Return a higher epoch, for `candidate`."""
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
    """Who leads, who holds the state and who votes, under one epoch."""

    epoch: Epoch
    primary: MemberId
    replicas: tuple[MemberId, ...]  # the primary first; all of them hold every acknowledged change
    members: tuple[MemberId, ...]  # whose majority decides on the next view
    previous_members: tuple[MemberId, ...] = ()  # their majority counts too until this view is known active

    def quorum_groups(self, active_epoch: Epoch) -> tuple[tuple[MemberId, ...], ...]:
        """Return the groups of which each must give its majority to a next view (Raft's joint consensus).

        `active_epoch` is the epoch of a view that is known to be active. A later active view proves nothing
        about this one: this may be a branch that never became active, whose members decided on nothing.
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
