"""Keys and transactions by which records are kept in a store.

The module is pure: it does no I/O, and uses no clock or random source of its own.

    r/ID                    the record
    o/OWNER/ID              index: open records by owner
    k/BUCKET/ID             index: closed records by the time interval after which they may be deleted
    u/ID                    index: records whose outcome is unknown, until an operator has resolved
                            and exported them
    l/OWNER                 drain notice: the owner finishes its operations and leaves the rest to its peers

Every write of a record compares the stored revision with the revision that the writer last read or wrote. So
after a claim, the writes of the previous owner are refused, whatever its clock or lease says.
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
BUCKET_S = 10  # length of the time intervals by which closed records are indexed and deleted
ID_BYTES = 16
_ID = re.compile(r"[0-9a-f]{32}")


class DrainNotice(msgspec.Struct, frozen=True):
    """Notice that an owner stores when it begins to shut down."""

    within_s: float  # time within which the owner finishes its operations


def id_of(idempotency_key: str, request_id: str) -> str:
    """Return a record's id: a hash of its Idempotency-Key, or of its X-Request-Id if there is no key."""
    source = f"k {idempotency_key}" if idempotency_key else f"r {request_id}"
    return hashlib.blake2b(source.encode(), digest_size=ID_BYTES).hexdigest()


def digest_of(record_id: str, method: str, target: str, body: bytes) -> str:
    """Return a keyed digest of a request, by which a repeat is recognized without keeping the request."""
    digest = hashlib.blake2b(key=record_id.encode(), digest_size=ID_BYTES)
    for field in (method.encode(), target.encode(), body):
        digest.update(b"%d:" % len(field) + field)
    return digest.hexdigest()


def is_id(text: str) -> bool:
    """Return whether a text has the form of a record's id."""
    return _ID.fullmatch(text) is not None


class RecordLayout:
    """Keys and transactions under a prefix.

    `retention_s`: least time for which a closed record is kept.
    """

    def __init__(self, prefix: str, retention_s: float) -> None:
        self.prefix = prefix
        self.retention_s = retention_s

    def record_key(self, record_id: str) -> str:
        """Return the key of a record; for an empty id, the prefix of all records."""
        return f"{self.prefix}{RECORD}{record_id}"

    def open_prefix(self, owner: str = "") -> str:
        """Return the index prefix of an owner's open records; for an empty owner, of all open records."""
        return f"{self.prefix}{OPEN}{owner}/" if owner else f"{self.prefix}{OPEN}"

    def owner_and_id(self, key: str) -> tuple[str, str]:
        """Return the owner and record id in a key under `open_prefix`."""
        owner, _, record_id = key[len(self.prefix) + len(OPEN) :].rpartition("/")
        return owner, record_id

    def drain_key(self, owner: str) -> str:
        """Return the key of an owner's drain notice."""
        return f"{self.prefix}{DRAINING}{owner}"

    def retained_prefix(self, bucket: int | None = None) -> str:
        """Return the index prefix of a bucket's closed records; for None, of all closed records."""
        return f"{self.prefix}{RETAINED}" if bucket is None else f"{self.prefix}{RETAINED}{bucket:012d}/"

    def bucket_and_id(self, key: str) -> tuple[int, str]:
        """Return the bucket and record id in a key under `retained_prefix`."""
        bucket, _, record_id = key[len(self.prefix) + len(RETAINED) :].partition("/")
        return int(bucket), record_id

    def unknown_key(self, record_id: str = "") -> str:
        """Return the index key of a record whose outcome is unknown; for an empty id, the prefix of all."""
        return f"{self.prefix}{UNKNOWN}{record_id}"

    def index_key(self, record: Record) -> str:
        """Return a record's one index key: that of an open, an unknown or a retained record."""
        if record.is_open:
            return f"{self.open_prefix(record.owner)}{record.id}"
        is_final_failure = record.final_status is FinalStatus.FAILED and not record.may_be_retried
        is_uncertain = record.final_status is FinalStatus.UNKNOWN or is_final_failure
        if record.resolution is None and is_uncertain:
            return self.unknown_key(record.id)
        bucket = int((record.closed_unix_s + self.retention_s) // BUCKET_S) + 1
        return f"{self.retained_prefix(bucket)}{record.id}"

    def write(self, before: Record | None, revision: int, after: Record) -> Transaction:
        """Return the write that replaces `before`, stored at `revision` (None and 0: not stored), by `after`.

        Raise RecordError if the two records differ in their id.
        """
        if before is not None and before.id != after.id:
            raise RecordError(f"record {before.id} can't be replaced by record {after.id}")
        changes: list[Put | Delete] = [Put(self.record_key(after.id), encode(after))]
        index = self.index_key(after)
        if before is not None and self.index_key(before) != index:
            changes.append(Delete(self.index_key(before)))
        if before is None or self.index_key(before) != index:
            changes.append(Put(index, b""))
        return Transaction((Compare(self.record_key(after.id), Field.MODIFIED, revision),), tuple(changes))

    def deletion(self, record_id: str, revision: int, index: str) -> Transaction:
        """Return the deletion of a record and its index key, which takes effect only at that revision."""
        return Transaction(
            (Compare(self.record_key(record_id), Field.MODIFIED, revision),),
            (Delete(self.record_key(record_id)), Delete(index)),
        )
