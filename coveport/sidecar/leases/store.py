"""Interface of a lease store, and the three outcomes of a call. Each implementation has its own module.

A store keeps small values under keys. It has one revision, which grows by one with each transaction that
has an effect. A lease has a time to live; the keys that are bound to a lease are deleted when the lease ends.
A call is done, refused or unknown. Unknown is not an error: the call may have been carried out, or may still
be carried out.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its current value."""

    key: str
    value: bytes
    created: int  # revision at which the key was created; the fencing token of a role's key
    modified: int  # revision of the last put of the key
    lease: int = 0  # 0: not bound to a lease


@dataclass(frozen=True, slots=True)
class Change:
    """A change that a watch yields: a put, or a delete if `entry` is None."""

    revision: int
    key: str
    entry: Entry | None


class Field(Enum):
    """The revision of an entry that a compare reads; 0 for a key that does not exist."""

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
    """Set a key's value, and bind the key to a lease (0: to no lease)."""

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

    `identity` identifies the store: a different one means a different store. `revision` is the store's
    revision when the call was carried out. `entries` are set by a read, `lease` and `ttl_s` by a grant, a
    renewal or a query of a lease.
    """

    kind: ClassVar[str] = "Done"  # name of the outcome in logs and, in lower case, in counters

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
    """The call got no answer: the call may have been carried out, or may still be carried out."""

    kind: ClassVar[str] = "Unknown"

    reason: str


Outcome = Done | Refused | Unknown


class Store(ABC):
    """The connection of one instance to a store.

    A call that fails in transit has the outcome Unknown. StoreError means that no further call can succeed.
    """

    @abstractmethod
    async def read(self, prefix: str) -> Done | Unknown:
        """Return all entries whose keys start with a prefix, all at the current revision."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Outcome:
        """Carry out a transaction. An implementation never sends a transaction twice."""

    @abstractmethod
    async def commit_all(self, transactions: Sequence[Transaction]) -> list[Outcome]:
        """Carry out several independent transactions, even if some are refused.

        The transactions are as durable as by `commit`.
        """

    @abstractmethod
    async def grant(self, ttl_s: float) -> Done | Unknown:
        """Return a new lease."""

    @abstractmethod
    async def renew(self, lease: int) -> Outcome:
        """Renew a lease by its time to live; the outcome is Refused if the lease has ended."""

    @abstractmethod
    async def revoke(self, lease: int) -> Outcome:
        """Revoke a lease, and delete the keys that are bound to it."""

    @abstractmethod
    async def time_left(self, lease: int) -> Outcome:
        """Return the remaining time of a lease as `ttl_s`; the outcome is Refused if the lease has ended."""

    @abstractmethod
    def watch(self, prefix: str, after: int) -> AsyncIterator[Sequence[Change]]:
        """Yield the changes later than revision `after`, in order; WatchLostError if the watch fails."""

    @abstractmethod
    async def close(self) -> None:
        """Release the connections, files and threads of the store."""


def create(key: str, value: bytes, lease: int = 0) -> Transaction:
    """Return a transaction that creates a key, and is refused if the key exists."""
    return Transaction((Compare(key, Field.CREATED, 0),), (Put(key, value, lease),))


def fenced(key: str, token: int, *changes: Put | Delete, compares: tuple[Compare, ...] = ()) -> Transaction:
    """Return a transaction that is refused unless `key` was created at revision `token`."""
    return Transaction((Compare(key, Field.CREATED, token), *compares), changes)
