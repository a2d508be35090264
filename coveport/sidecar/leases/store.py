"""What a lease store can be asked for, and the three outcomes of a call. No I/O: each store has a module.

A store keeps small values under keys. It has one revision, which grows by one with each transaction that
changed something. A lease has a time to live; the keys that are bound to it are deleted when it ends. Each
call is done, refused or unknown, and the last is not an error: it may have happened, and may still happen.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Entry:
    """A key as it stands."""

    key: str
    value: bytes
    created: int  # revision at which it was created: the fencing token, if the key is a role's
    modified: int  # revision of its last put
    lease: int = 0  # 0: bound to none


@dataclass(frozen=True, slots=True)
class Change:
    """A change that a watch shows: a put, or a delete (`entry` None)."""

    revision: int
    key: str
    entry: Entry | None


class Field(Enum):
    """Which revision of an entry is compared; both are 0 for a key that does not exist."""

    CREATED = "created"
    MODIFIED = "modified"


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition: a transaction is carried out only if all of its compares hold."""

    key: str
    field: Field
    equals: int


@dataclass(frozen=True, slots=True)
class Put:
    """Set a key's value, and bind it to a lease (0: to none)."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete a key, if it exists."""

    key: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are carried out together or not at all."""

    compares: tuple[Compare, ...]
    changes: tuple[Put | Delete, ...]


@dataclass(frozen=True, slots=True)
class Done:
    """The call was carried out.

    `identity` is the store's: another one means another store. `revision` is the store's when the call was
    carried out. `entries` are those of a read; `lease` and `ttl_s` those of a grant, renewal or query.
    """

    kind: ClassVar[str] = "Done"  # as logs and, in lower case, counters have it

    identity: str
    revision: int
    entries: tuple[Entry, ...] = ()
    lease: int = 0
    ttl_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Refused:
    """The call was not carried out and never will be: a compare did not hold, or the lease has ended."""

    kind: ClassVar[str] = "Refused"

    identity: str
    revision: int
    lease_gone: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """The call was not answered: it may have happened, and may still happen."""

    kind: ClassVar[str] = "Unknown"

    reason: str


Outcome = Done | Refused | Unknown


class Store(ABC):
    """A store as one instance reaches it.

    A call that fails on its way is Unknown. StoreError is raised if no further call can succeed.
    """

    @abstractmethod
    async def read(self, prefix: str) -> Done | Unknown:
        """Return all entries whose keys start with a prefix, as of one revision; never an old one."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Outcome:
        """Carry a transaction out. The store itself never sends it twice."""

    @abstractmethod
    async def commit_all(self, transactions: Sequence[Transaction]) -> list[Outcome]:
        """Carry several out, each by itself: a refused one does not stop the rest. As durable as `commit`."""

    @abstractmethod
    async def grant(self, ttl_s: float) -> Done | Unknown:
        """Return a new lease."""

    @abstractmethod
    async def renew(self, lease: int) -> Outcome:
        """Renew a lease for its time to live; refused if it has ended."""

    @abstractmethod
    async def revoke(self, lease: int) -> Outcome:
        """End a lease, and delete the keys that are bound to it."""

    @abstractmethod
    async def time_left(self, lease: int) -> Outcome:
        """Return how long a lease lasts without a renewal, as `ttl_s`; refused if it has ended."""

    @abstractmethod
    def watch(self, prefix: str, after: int) -> AsyncIterator[Sequence[Change]]:
        """Yield the changes later than revision `after`, in order; WatchLostError if that breaks off."""

    @abstractmethod
    async def close(self) -> None:
        """Release what the store holds open."""


def create(key: str, value: bytes, lease: int = 0) -> Transaction:
    """Return a transaction that creates a key, and is refused if it exists."""
    return Transaction((Compare(key, Field.CREATED, 0),), (Put(key, value, lease),))


def fenced(key: str, token: int, *changes: Put | Delete, compares: tuple[Compare, ...] = ()) -> Transaction:
    """Return a transaction that is refused unless `key` is the one that was created at revision `token`."""
    return Transaction((Compare(key, Field.CREATED, token), *compares), changes)
