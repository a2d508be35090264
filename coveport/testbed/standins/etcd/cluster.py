"""Three members and who may answer what: leader, majority, elections, leases, old reads. Pure.

What is played is what a client can tell: a proposal needs a way to a leader that reaches a majority. One
that reaches a leader without a majority stays in its log and may be carried out later, or be dropped by the
next election, and its client hears nothing of either. The log itself is one engine for all.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from coveport.sidecar.leases.store import Entry, Outcome
from coveport.testbed.standins.etcd.engine import Engine

ELECTION_S = 0.4  # a leader that has no majority for so long is voted out


@dataclass
class Member:
    """One member."""

    number: int
    alive: bool = True
    stalled_until: float = 0.0
    entries: dict[str, Entry] = field(default_factory=dict)  # as it has applied them
    revision: int = 1
    applied: int = 0  # of the engine's book


@dataclass
class Proposal:
    """What waits in a leader's log."""

    term: int
    deed: Callable[[float], Outcome]
    done: Callable[[Outcome], None]


class Cluster:
    """The members and their log."""

    def __init__(self, members: int = 3, identity: str = "77") -> None:
        self.engine = Engine(identity)
        self.members = [Member(number) for number in range(members)]
        self.leader: int | None = 0
        self.term = 2
        self.cut: set[tuple[int, int]] = set()  # from, to
        self._log: list[Proposal] = []
        self._lost_since: float | None = None
        self.saved: Engine | None = None

    def up(self, number: int, now: float) -> bool:
        """Whether a member does anything now."""
        one = self.members[number]
        return one.alive and one.stalled_until <= now

    def linked(self, one: int, other: int, now: float) -> bool:
        """Whether two members hear each other."""
        return one == other or (
            self.up(one, now)
            and self.up(other, now)
            and (one, other) not in self.cut
            and (other, one) not in self.cut
        )

    def majority(self, number: int, now: float) -> bool:
        """Whether a member reaches more than half, itself among them."""
        return self.up(number, now) and 2 * sum(
            self.linked(number, other.number, now) for other in self.members
        ) > len(self.members)

    def has_leader(self, number: int, now: float) -> bool:
        """Whether a member knows a leader that can decide."""
        return (
            self.leader is not None
            and self.linked(number, self.leader, now)
            and self.up(number, now)
            and self.majority(self.leader, now)
        )

    def tick(self, now: float) -> None:
        """Elections, the ends of leases, what waits in the log, and what members apply."""
        if self.leader is not None and self.majority(self.leader, now):
            self._lost_since = None
            waiting, self._log = self._log, []
            for proposal in waiting:
                if proposal.term == self.term:
                    proposal.done(proposal.deed(now))
            self.engine.pass_(now)
        else:
            if self._lost_since is None:
                self._lost_since = now
            if now - self._lost_since >= ELECTION_S:
                self.elect(
                    next((one.number for one in self.members if self.majority(one.number, now)), None), now
                )
        for one in self.members:
            if self.has_leader(one.number, now):
                self._apply(one)

    def elect(self, number: int | None, now: float) -> None:
        """Another leader: what only the old one had in its log is gone, leases get their whole time."""
        self.leader = number
        if number is not None:
            self.term += 1
            self._log = [one for one in self._log if one.term == self.term]
            self._lost_since = None
            self.engine.prolong(now)

    def propose(
        self, number: int, now: float, deed: Callable[[float], Outcome], done: Callable[[Outcome], None]
    ) -> None:
        """Have it carried out by way of a member: now, later, or never."""
        if self.leader is None or not self.linked(number, self.leader, now):
            return
        if self.majority(self.leader, now):
            done(deed(now))
            self.tick(now)
        else:
            self._log.append(Proposal(self.term, deed, done))

    def _apply(self, one: Member) -> None:
        for _, change in self.engine.book[one.applied :]:
            if change.entry is None:
                one.entries.pop(change.key, None)
            else:
                one.entries[change.key] = change.entry
            one.revision = change.revision
        one.applied = len(self.engine.book)

    # Backups.

    def save(self) -> None:
        """Take a backup."""
        self.saved = self.engine.saved()

    def restore(self) -> None:
        """Put the backup in the place of what is there: revisions go back."""
        if self.saved is not None:
            book = self.engine.book
            self.engine, self.saved = self.saved, None
            self.engine.book = book
