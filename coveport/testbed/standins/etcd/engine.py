"""What a store of keys, leases and revisions does, as a pure state: time is an argument, nothing is sent.

The stand-in's members answer from it, and so does the simulated store. It keeps a book of every change with
its time, ends of leases included, which the judge reads: a witness that none of the instances writes.
"""

from __future__ import annotations

import copy
from collections.abc import Sequence
from dataclasses import dataclass, field

from coveport.sidecar.leases.errors import WatchLostError
from coveport.sidecar.leases.store import (
    Change,
    Compare,
    Delete,
    Done,
    Entry,
    Field,
    Outcome,
    Put,
    Refused,
    Transaction,
)


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    until: float


@dataclass
class Engine:
    """The store's state."""

    identity: str = "1"
    revision: int = 1
    entries: dict[str, Entry] = field(default_factory=dict)
    leases: dict[int, _Lease] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    compacted: int = 0
    book: list[tuple[float, Change]] = field(default_factory=list)  # never compacted
    last_lease: int = 0

    def pass_(self, now: float) -> None:
        """End what is over."""
        over = [one for one, lease in self.leases.items() if lease.until <= now]
        for one in over:
            self._end(now, one)

    def _end(self, now: float, lease: int) -> None:
        del self.leases[lease]
        self._change(now, [Delete(key) for key, entry in self.entries.items() if entry.lease == lease])

    def _change(self, now: float, changes: Sequence[Put | Delete]) -> None:
        next_ = self.revision + 1
        made = list[Change]()
        for one in changes:
            before = self.entries.get(one.key)
            if isinstance(one, Put):
                entry = Entry(
                    one.key, one.value, next_ if before is None else before.created, next_, one.lease
                )
                self.entries[one.key] = entry
                made.append(Change(next_, one.key, entry))
            elif before is not None:
                del self.entries[one.key]
                made.append(Change(next_, one.key, None))
        if made:
            self.revision = next_
            self.history += made
            self.book += [(now, one) for one in made]

    def read(self, now: float, prefix: str) -> Done:
        """All keys that begin so."""
        self.pass_(now)
        return Done(
            self.identity,
            self.revision,
            tuple(self.entries[key] for key in sorted(self.entries) if key.startswith(prefix)),
        )

    def holds(self, one: Compare) -> bool:
        """Whether a compare holds now."""
        entry = self.entries.get(one.key)
        if entry is None:
            return one.equals == 0
        return (entry.created if one.field is Field.CREATED else entry.modified) == one.equals

    def commit(self, now: float, transaction: Transaction) -> Outcome:
        """Carry it out, or not."""
        self.pass_(now)
        if not all(self.holds(one) for one in transaction.compares):
            return Refused(self.identity, self.revision)
        if any(
            isinstance(one, Put) and one.lease and one.lease not in self.leases for one in transaction.changes
        ):
            return Refused(self.identity, self.revision, lease_gone=True)
        self._change(now, transaction.changes)
        return Done(self.identity, self.revision)

    def grant(self, now: float, ttl_s: float) -> Done:
        """A new lease."""
        self.pass_(now)
        self.last_lease += 1
        self.leases[self.last_lease] = _Lease(ttl_s, now + ttl_s)
        return Done(self.identity, self.revision, lease=self.last_lease, ttl_s=ttl_s)

    def keep(self, now: float, lease: int) -> Outcome:
        """Renew."""
        self.pass_(now)
        one = self.leases.get(lease)
        if one is None:
            return Refused(self.identity, self.revision, lease_gone=True)
        one.until = now + one.ttl_s
        return Done(self.identity, self.revision, lease=lease, ttl_s=one.ttl_s)

    def revoke(self, now: float, lease: int) -> Outcome:
        """End a lease."""
        self.pass_(now)
        if lease not in self.leases:
            return Refused(self.identity, self.revision, lease_gone=True)
        self._end(now, lease)
        return Done(self.identity, self.revision, lease=lease)

    def left(self, now: float, lease: int) -> Outcome:
        """What a lease has left."""
        self.pass_(now)
        one = self.leases.get(lease)
        if one is None:
            return Refused(self.identity, self.revision, lease_gone=True)
        return Done(self.identity, self.revision, lease=lease, ttl_s=one.until - now)

    def prolong(self, now: float) -> None:
        """Give every lease its whole time again, as the engine's new leader does."""
        for one in self.leases.values():
            one.until = now + one.ttl_s

    def changes(self, prefix: str, after: int) -> list[Change]:
        """What came after a revision; WatchLostError where it is not kept."""
        if after < self.compacted:
            raise WatchLostError(f"compacted up to {self.compacted}")
        if after > self.revision:
            raise WatchLostError("the store went back")
        found = []
        for one in reversed(self.history):
            if one.revision <= after:
                break
            if one.key.startswith(prefix):
                found.append(one)
        return found[::-1]

    def compact(self, revision: int) -> None:
        """Forget the history up to a revision."""
        self.compacted = max(self.compacted, min(revision, self.revision))
        self.history = [one for one in self.history if one.revision > self.compacted]

    def saved(self) -> Engine:
        """A copy as it is, for a backup; the book is the witness' and is shared."""
        book, self.book = self.book, []
        twin = copy.deepcopy(self)
        self.book = twin.book = book
        return twin
