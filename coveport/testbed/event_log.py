"""Record a day: what the stand-ins observed and did, row by row. Oracle and measures read nothing else.

Times are milliseconds since the day began. A row is written by the party that observed it, when it did, so
rows of different parties are in order only after sorting by `at`. No row comes from a sidecar.
"""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec
from msgspec import Struct

DIGEST_BYTES = 8  # enough to tell the bodies of one day apart


class Row(Struct, tag=True, array_like=True, gc=False):
    """Hold what all rows share: when it happened."""

    at: float


# Clients.


class Asked(Row):
    """A client has written the last byte of an operation to an accepted connection."""

    op: str  # X-Request-Id, new for each attempt of the client
    first: str  # the id of the first attempt of the same operation; its own for a first attempt
    sidecar: int
    cls: int  # index into the scenario's classes
    key: str  # Idempotency-Key, empty for none
    due: float  # when the operation was due, or this retry of it; latency counts from here
    patience: float  # X-Deadline in ms, counted from `at`
    conn: int  # the client's connection, numbered over the whole day
    repeat: bool  # a client's retry
    digest: str  # of what must reach a node unchanged: see `digest_of_request`


class Unasked(Row):
    """An operation could not be sent: its connection was refused, or closed at the same time."""

    op: str
    first: str
    sidecar: int
    cls: int
    due: float
    why: str  # "refused", "no connection", "crossed", "gone"


class Answered(Row):
    """The last byte of a response has arrived at the client."""

    op: str
    status: int
    digest: str  # of the body
    retry_after_ms: float
    began: float  # when its first byte arrived


class Broke(Row):
    """A connection ended, or its bytes could not be parsed, while an operation was pending on it."""

    op: str
    how: str  # "end", "reset", "garbled", "stray" (bytes outside any response; op is empty)
    seen: int  # bytes of a response that had arrived


class GaveUp(Row):
    """A client stopped waiting and closed; a half-close still asks for the response."""

    op: str
    how: str  # "late", "impatient", "half"


# Ledger nodes.


class Arrived(Row):
    """The last byte of an attempt has arrived at a node."""

    op: str
    node: int
    sidecar: int
    attempt: int  # numbered by the node, unique over the whole day
    conn: int
    began: float  # when its first byte arrived
    handed: float  # when the sidecar sent its first byte, where the backend knows; else `began`
    cls: int
    key: str
    digest: str
    work_ms: float  # on a core of speed 1; the limits of slow start count it
    took: str  # "work", "repeat" (dropped: known key), "full", "drain", "over", "bad"


class Ran(Row):
    """An attempt began to take effect. A dropped duplicate takes none and has no row."""

    op: str
    node: int
    cell: int
    attempt: int
    key: str


class Replied(Row):
    """A node has written the last byte of its response to an attempt."""

    op: str
    node: int
    attempt: int
    status: int
    digest: str
    whole: bool  # False: corrupted or truncated on purpose


class Ended(Row):
    """The connection of an attempt ended at the node before the response was written completely."""

    op: str
    node: int
    attempt: int
    how: str  # "end", "reset", "down" (the node itself died), "cut" (the node reset it on purpose)


class Probed(Row):
    """A health check arrived at a node."""

    node: int
    sidecar: int
    work_ms: float


class Linked(Row):
    """A connection to a node came up (`up`) or ended."""

    node: int
    sidecar: int
    conn: int
    up: bool


class NodeIs(Row):
    """The state and capacity of a node until its next row."""

    node: int
    state: str  # "up", "down", "silent", "draining"
    born: float  # when its process started, -1: long before the day
    cores: int
    speed: float  # of each core now, with faults applied
    cold_from: float  # share of its capacity at `born`; 1.0 without slow start
    warm_ms: float  # length of the slow start; capacity grows linearly
    zone: int
    cell: int


class NodeLoad(Row):
    """A sample of a node, for the plots."""

    node: int
    working: int
    waiting: int
    busy: float  # share of its cores since the last sample
    conns: int


# Discovery.


class Told(Row):
    """Discovery has written an update of a node to a sidecar (also the list it was started with)."""

    sidecar: int
    node: int
    state: str  # "active", "leaving", "left"
    born: float  # when the node's process started by that update, -1: long before the day


class Called(Row):
    """A call of a sidecar arrived at discovery."""

    sidecar: int
    watch: bool


# The sidecars' processes, seen from outside.


class Life(Row):
    """Something happened to the process of a sidecar."""

    sidecar: int
    # "start", "ready", "unready" (given up), "reload", "term", "kill", "stall", "resume", "exit"; of staff:
    # "replace" (a second process began), "replaced" (the first ended), "lameduck", "rejoin", "yes", "no",
    # "asked" (for its figures), "info" (they came, as JSON).
    what: str
    # exit: its code; start: the generation; stall and resume: "starve" where it has only a part of a core.
    detail: str = ""


class Sample(Row):
    """A sample of the resources of a sidecar's process."""

    sidecar: int
    memory_mb: float  # 0 where the backend doesn't know
    descriptors: int
    cpu_s: float  # since its start; 0 where the backend doesn't know


# The day.


class Fault(Row):
    """A fault began or ended; `number` is its index in the scenario's list."""

    number: int
    kind: str
    began: bool
    whom: str  # for people: "nodes 3, 7", "zone bilbao"


class Lag(Row):
    """The testbed itself was late by so much (real backend only)."""

    who: str
    late_ms: float


AnyRow = (
    Asked
    | Unasked
    | Answered
    | Broke
    | GaveUp
    | Arrived
    | Ran
    | Replied
    | Ended
    | Probed
    | Linked
    | NodeIs
    | NodeLoad
    | Told
    | Called
    | Life
    | Sample
    | Fault
    | Lag
)


class EventLog:
    """Collect rows as they are written; shared by all parties of one process."""

    __slots__ = ("rows", "write")

    def __init__(self) -> None:
        self.rows: list[Any] = []
        self.write = self.rows.append

    def packed(self) -> bytes:
        """Return all rows as MessagePack, for another process to merge."""
        return msgspec.msgpack.encode(self.rows)

    @staticmethod
    def merged(parts: list[bytes]) -> list[AnyRow]:
        """Return the rows of several processes in order of time; equal times keep the order of `parts`."""
        rows: list[AnyRow] = []
        for part in parts:
            rows.extend(msgspec.msgpack.decode(part, type=list[AnyRow]))
        rows.sort(key=lambda row: row.at)
        return rows


def digest_of_request(method: str, target: str, op: str, key: str, body: bytes) -> str:
    """Return a digest of what must pass through a sidecar unchanged."""
    content = f"{method} {target} {op} {key} {len(body)}\n".encode("latin-1", "replace") + body
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def digest_of_body(body: bytes) -> str:
    """Return a digest of the body of a response."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
