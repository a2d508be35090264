"""Keys and transactions by which records are kept in a store. Pure.

    r/ID                    the record
    o/OWNER/ID              index: open, and whose it is
    k/BUCKET/ID             index: closed; may be deleted after that bucket of time
    u/ID                    index: outcome unknown; kept until staff have resolved and exported it
    l/OWNER                 drain notice: the owner finishes its operations and leaves the rest to others

Every write of a record compares the revision at which its writer knows it. So a claim ends the previous
owner's writing, whatever that owner's clock or lease says.
"""

from __future__ import annotations

import hashlib
import re

import msgspec

from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.record import FinalStatus, Record
from coveport.sidecar.intent_log.record_codec import encode
from coveport.sidecar.leases.store import Compare, Delete, Field, Put, Transaction

RECORD = "r/"
OPEN = "o/"
RETAINED = "k/"
UNKNOWN = "u/"
DRAINING = "l/"
BUCKET_S = 10  # closed records are indexed, and deleted, by intervals of so many seconds
ID_BYTES = 16
_ID = re.compile(r"[0-9a-f]{32}")


class DrainNotice(msgspec.Struct, frozen=True):
    """What an owner stores when it begins to shut down."""

    within_s: float  # it finishes its operations within this time


def id_of(idempotency_key: str, request_id: str) -> str:
    """Return a record's id: made of its Idempotency-Key, or of its X-Request-Id where it has no key."""
    source = f"k {idempotency_key}" if idempotency_key else f"r {request_id}"
    return hashlib.blake2b(source.encode(), digest_size=ID_BYTES).hexdigest()


def digest_of(record_id: str, method: str, target: str, body: bytes) -> str:
    """Return a keyed digest of a request, by which a repeat is recognized without keeping the request."""
    digest = hashlib.blake2b(key=record_id.encode(), digest_size=ID_BYTES)
    for field in (method.encode(), target.encode(), body):
        digest.update(b"%d:" % len(field) + field)
    return digest.hexdigest()


def is_id(text: str) -> bool:
    """Whether a text has the form of a record's id."""
    return _ID.fullmatch(text) is not None


class RecordLayout:
    """Keys and transactions under a prefix.

    `retention_s`: how long a closed record is kept at the least.
    """

    def __init__(self, prefix: str, retention_s: float) -> None:
        self.prefix = prefix
        self.retention_s = retention_s

    def record_key(self, record_id: str) -> str:
        """Return the key of a record; for an empty id the prefix of all."""
        return f"{self.prefix}{RECORD}{record_id}"

    def open_prefix(self, owner: str = "") -> str:
        """Return the prefix of the index of open records: of an owner, or of all."""
        return f"{self.prefix}{OPEN}{owner}/" if owner else f"{self.prefix}{OPEN}"

    def owner_and_id(self, key: str) -> tuple[str, str]:
        """Return owner and record id of a key under `open_prefix`."""
        owner, _, record_id = key[len(self.prefix) + len(OPEN) :].rpartition("/")
        return owner, record_id

    def drain_key(self, owner: str) -> str:
        """Return the key of an owner's drain notice."""
        return f"{self.prefix}{DRAINING}{owner}"

    def retained_prefix(self, bucket: int | None = None) -> str:
        """Return the prefix of the index of closed records: of a bucket of time, or of all."""
        return f"{self.prefix}{RETAINED}" if bucket is None else f"{self.prefix}{RETAINED}{bucket:012d}/"

    def bucket_and_id(self, key: str) -> tuple[int, str]:
        """Return bucket and record id of a key under `retained_prefix`."""
        bucket, _, record_id = key[len(self.prefix) + len(RETAINED) :].partition("/")
        return int(bucket), record_id

    def unknown_key(self, record_id: str = "") -> str:
        """Return the index key of a record whose outcome is unknown; for an empty id the prefix of all."""
        return f"{self.prefix}{UNKNOWN}{record_id}"

    def index_key(self, record: Record) -> str:
        """Return the one index key that says what is still to be done with a record."""
        if record.is_open:
            return f"{self.open_prefix(record.owner)}{record.id}"
        is_final_failure = record.final_status is FinalStatus.FAILED and not record.may_be_retried
        is_uncertain = record.final_status is FinalStatus.UNKNOWN or is_final_failure
        if record.resolution is None and is_uncertain:
            return self.unknown_key(record.id)
        bucket = int((record.closed_unix_s + self.retention_s) // BUCKET_S) + 1
        return f"{self.retained_prefix(bucket)}{record.id}"

    def write(self, before: Record | None, revision: int, after: Record) -> Transaction:
        """Return the write of `after` over `before`, which stands at `revision` (None and 0: nowhere).

        Raises RecordError where the two differ in their id.
        """
        if before is not None and before.id != after.id:
            raise RecordError(f"{before.id} can't become {after.id}")
        changes: list[Put | Delete] = [Put(self.record_key(after.id), encode(after))]
        index = self.index_key(after)
        if before is not None and self.index_key(before) != index:
            changes.append(Delete(self.index_key(before)))
        if before is None or self.index_key(before) != index:
            changes.append(Put(index, b""))
        return Transaction((Compare(self.record_key(after.id), Field.MODIFIED, revision),), tuple(changes))

    def deletion(self, record_id: str, revision: int, index: str) -> Transaction:
        """Return the deletion of a record and its index key, where it still stands at that revision."""
        return Transaction(
            (Compare(self.record_key(record_id), Field.MODIFIED, revision),),
            (Delete(self.record_key(record_id)), Delete(index)),
        )
