"""How records stand in a store: keys, and the transactions that move them. Pure.

    r/ID                    the record
    o/OWNER/ID              it is open, and whose it is
    k/BUCKET/ID             it is closed; may be thrown away after that bucket of time
    u/ID                    its end is not known: kept until staff have settled it and it is exported
    l/OWNER                 its owner is leaving: it ends what it has, and hands the rest on

Every write of a record compares the revision at which its writer knows it. So whoever claims a record ends
the writing of its owner before, whatever the owner's clock or lease says.
"""

from __future__ import annotations

import hashlib
import re

import msgspec

from coveport.sidecar.intent_log.record import End, Record, RecordError, encode
from coveport.sidecar.leases.store import Compare, Delete, Field, Put, Transaction

RECORD, OPEN, KEPT, UNKNOWN, LEAVING = "r/", "o/", "k/", "u/", "l/"
BUCKET_S = 10  # closed records are thrown away by so many seconds at a time
ID_BYTES = 16
_ID = re.compile(r"[0-9a-f]{32}")


class Leaves(msgspec.Struct, frozen=True):
    """What an owner says that is leaving."""

    within_s: float  # it ends what it has in so long


def id_of(key: str, request: str) -> str:
    """A record's id: by its Idempotency-Key, where it has none by its X-Request-Id."""
    told = f"k {key}" if key else f"r {request}"
    return hashlib.blake2b(told.encode(), digest_size=ID_BYTES).hexdigest()


def digest_of(identity: str, method: str, target: str, body: bytes) -> str:
    """Of what was asked, by which it is known again; nobody reads it back out of that."""
    made = hashlib.blake2b(key=identity.encode(), digest_size=ID_BYTES)
    for part in (method.encode(), target.encode(), body):
        made.update(b"%d:" % len(part) + part)
    return made.hexdigest()


def is_id(text: str) -> bool:
    """Whether it can be one."""
    return _ID.fullmatch(text) is not None


class RecordLayout:
    """Keys and transactions under a prefix. `kept_s`: how long a closed record is kept at the least."""

    def __init__(self, prefix: str, kept_s: float) -> None:
        self.prefix = prefix
        self.kept_s = kept_s

    def record_key(self, identity: str) -> str:
        """Where a record stands."""
        return f"{self.prefix}{RECORD}{identity}"

    def open_keys(self, owner: str = "") -> str:
        """Under which the open ones of an owner stand; without one, of all."""
        return f"{self.prefix}{OPEN}{owner}/" if owner else f"{self.prefix}{OPEN}"

    def owner_and_id(self, key: str) -> tuple[str, str]:
        """Of a key under `open_keys`."""
        owner, _, identity = key[len(self.prefix) + len(OPEN) :].rpartition("/")
        return owner, identity

    def leaving_key(self, owner: str = "") -> str:
        """Where an owner says that it is leaving."""
        return f"{self.prefix}{LEAVING}{owner}"

    def kept_keys(self, bucket: int | None = None) -> str:
        """Under which closed ones of a bucket of time stand; without one, all."""
        return f"{self.prefix}{KEPT}" if bucket is None else f"{self.prefix}{KEPT}{bucket:012d}/"

    def bucket_and_id(self, key: str) -> tuple[int, str]:
        """Of a key under `kept_keys`."""
        bucket, _, identity = key[len(self.prefix) + len(KEPT) :].partition("/")
        return int(bucket), identity

    def unknown_key(self, identity: str = "") -> str:
        """Where one stands whose end is not known."""
        return f"{self.prefix}{UNKNOWN}{identity}"

    def index(self, record: Record) -> str:
        """The one key beside the record that tells what is to be done with it."""
        if record.open:
            return f"{self.prefix}{OPEN}{record.owner}/{record.id}"
        told_failed = record.end is End.FAILED and not record.may_run_again
        if record.settled is None and (record.end is End.UNKNOWN or told_failed):
            return self.unknown_key(record.id)
        bucket = int((record.closed_unix + self.kept_s) // BUCKET_S) + 1
        return f"{self.kept_keys(bucket)}{record.id}"

    def write(
        self, before: Record | None, revision: int, after: Record, more: tuple[Put | Delete, ...] = ()
    ) -> Transaction:
        """Keep it as it is now, where it stands as it did `before`, at that revision (0: nowhere)."""
        if before is not None and before.id != after.id:
            raise RecordError(f"{before.id} can't become {after.id}")
        changes: list[Put | Delete] = [Put(self.record_key(after.id), encode(after))]
        index = self.index(after)
        if before is not None and self.index(before) != index:
            changes.append(Delete(self.index(before)))
        if before is None or self.index(before) != index:
            changes.append(Put(index, b""))
        return Transaction((Compare(self.record_key(after.id), Field.MODIFIED, revision),), (*changes, *more))

    def throw_away(self, identity: str, revision: int, index: str) -> Transaction:
        """Keep it no more, where it still stands at that revision."""
        return Transaction(
            (Compare(self.record_key(identity), Field.MODIFIED, revision),),
            (Delete(self.record_key(identity)), Delete(index)),
        )
