"""What is asked of a store, and what each call may come to. No I/O here; the stores beside it do that.

A store keeps small values under keys. It has one revision, which grows by one with each transaction that
changed something; a lease has a time to live, and what is bound to it is deleted when it ends. Every call
has one of three ends, and the third is not an error: `Unknown` may have happened, and may still happen.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Entry:
    """A key as it stands."""

    key: str
    value: bytes
    created: int  # revision at which it was created: a fencing token, where the key is a duty
    modified: int  # revision of its last put
    lease: int = 0  # 0: bound to none


@dataclass(frozen=True, slots=True)
class Change:
    """What a watch tells: a put, or a delete (`entry` None)."""

    revision: int
    key: str
    entry: Entry | None


class Field(Enum):
    """What of an entry is compared; of a key that is not there both revisions are 0."""

    CREATED = "created"
    MODIFIED = "modified"


@dataclass(frozen=True, slots=True)
class Compare:
    """A transaction is carried out only where all of its compares hold."""

    key: str
    field: Field
    equals: int


@dataclass(frozen=True, slots=True)
class Put:
    """Keep this value."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Have no such key any more."""

    key: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """All of it or nothing."""

    compares: tuple[Compare, ...]
    changes: tuple[Put | Delete, ...]


@dataclass(frozen=True, slots=True)
class Done:
    """It was carried out.

    `identity`: of the store; another one means another store. `revision`: the store's when it was carried
    out. `entries`: what was read. `lease`, `ttl_s`: of a grant or a renewal.
    """

    identity: str
    revision: int
    entries: tuple[Entry, ...] = ()
    lease: int = 0
    ttl_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Refused:
    """It was not carried out and never will be: a compare did not hold, or the lease is gone."""

    identity: str
    revision: int
    lease_gone: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """No answer: it may have happened, and it may still happen."""

    why: str


Outcome = Done | Refused | Unknown


class Store(Protocol):
    """A store as one instance reaches it. StoreError: there is no use in a further call."""

    async def read(self, prefix: str) -> Done | Unknown:
        """All keys that begin so, as of one revision; never an old one."""

    async def commit(self, transaction: Transaction) -> Outcome:
        """Carry a transaction out. Never sent twice by the store itself."""

    async def commit_all(self, transactions: Sequence[Transaction]) -> list[Outcome]:
        """Carry several out, each by itself: one that is refused hinders no other. As durable as `commit`."""

    async def grant(self, ttl_s: float) -> Done | Unknown:
        """A new lease."""

    async def renew(self, lease: int) -> Outcome:
        """Renew a lease for its time to live; refused where it has ended."""

    async def revoke(self, lease: int) -> Outcome:
        """End a lease, and delete what is bound to it."""

    async def time_left(self, lease: int) -> Outcome:
        """How much time a lease has left, as `ttl_s`; refused where it has ended. Changes nothing."""

    def watch(self, prefix: str, after: int) -> AsyncIterator[Sequence[Change]]:
        """Changes later than revision `after`, in order; WatchLostError where it breaks."""

    async def close(self) -> None:
        """Let go of it."""


def fenced(key: str, token: int, *changes: Put | Delete, compares: tuple[Compare, ...] = ()) -> Transaction:
    """A transaction that holds only as long as `key` is the one that was created at revision `token`."""
    return Transaction((Compare(key, Field.CREATED, token), *compares), changes)
