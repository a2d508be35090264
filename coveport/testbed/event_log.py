"""The books of a day: what the stand-ins saw and did, row by row. Oracle and measures read only these.

Times are milliseconds since the day began. A row is written by the party that saw it, when it saw it, so rows
of different parties are in order only after sorting by `at`. Nothing in here comes from a sidecar.
"""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec
from msgspec import Struct


class Row(Struct, tag=True, array_like=True, gc=False):
    """What all rows share: when."""

    at: float


# Tills and apps.


class Asked(Row):
    """A till's machine has written the last byte of an operation to a connection that was accepted."""

    op: str  # X-Request-Id, fresh on every try
    first: str  # the id of the first try of the same wish; itself for a first try
    sidecar: int
    cls: int  # position in the scenario's classes
    key: str  # Idempotency-Key, empty for none
    due: float  # when the wish was due (for a retry: when the retry was); latency counts from here
    patience: float  # X-Deadline in ms, counted from `at`
    conn: int  # the till's connection, numbered over the whole day
    repeat: bool  # a client's retry
    digest: str  # of what must reach a node unchanged: see `digest_of_request`


class Unasked(Row):
    """An operation that could not be handed over: refused connection, or a close that crossed it."""

    op: str
    first: str
    sidecar: int
    cls: int
    due: float
    why: str  # "refused", "no connection", "crossed", "gone"


class Answered(Row):
    """The last byte of an answer has come to the till."""

    op: str
    status: int
    digest: str  # of the body
    retry_after_ms: float
    began: float  # when its first byte came


class Broke(Row):
    """A connection ended, or could not be read on, while an operation was open on it."""

    op: str
    how: str  # "end", "reset", "garbled", "stray" (bytes that nobody waited for; op is empty)
    seen: int  # bytes of an answer that had come


class GaveUp(Row):
    """The till stopped waiting and closed (or half-closed, which asks for the answer all the same)."""

    op: str
    how: str  # "late", "impatient", "half"


# Ledger nodes.


class Arrived(Row):
    """An attempt's last byte has come to a node."""

    op: str
    node: int
    sidecar: int
    attempt: int  # the node's own number for it, fresh over the whole day
    conn: int
    began: float  # when its first byte came
    handed: float  # when the sidecar handed its first byte over, where the ground can tell; else `began`
    cls: int
    key: str
    digest: str
    work_ms: float  # on a core of speed 1; what a cold node is loaded with
    took: str  # "work", "repeat" (dropped: known key), "full", "drain", "over", "bad"


class Ran(Row):
    """An attempt began to take effect. What is dropped as a repeat takes none and has no row."""

    op: str
    node: int
    cell: int
    attempt: int
    key: str


class Replied(Row):
    """A node has written the last byte of its answer to an attempt."""

    op: str
    node: int
    attempt: int
    status: int
    digest: str
    whole: bool  # False: spoilt or cut short on purpose


class Ended(Row):
    """An attempt's connection ended, seen from the node, before the answer was written whole."""

    op: str
    node: int
    attempt: int
    how: str  # "end", "reset", "down" (the node itself died), "cut" (the node reset it on purpose)


class Probed(Row):
    """A probe came to a node."""

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
    """A node's state and capacity from here on, until its next row."""

    node: int
    state: str  # "up", "down", "silent", "draining"
    born: float  # when its process started, -1: long before the day
    cores: int
    speed: float  # of each core now, troubles included
    cold_from: float  # share of its capacity at `born`; 1.0 where it is warm
    warm_ms: float  # after which it is warm; capacity grows evenly
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
    """Discovery has written word of a node to a sidecar (also the list it was started with)."""

    sidecar: int
    node: int
    state: str  # "active", "leaving", "left"
    born: float  # when the node's process started by that word, -1: long before the day


class Called(Row):
    """A sidecar's call came to discovery."""

    sidecar: int
    watch: bool


# The sidecars' processes, seen from outside.


class Life(Row):
    """What happened to a sidecar's process."""

    sidecar: int
    # "start", "ready", "unready" (given up), "reload", "term", "kill", "stall", "resume", "exit"; of staff:
    # "replace" (a second process began), "replaced" (the first ended), "lameduck", "rejoin", "yes", "no",
    # "asked" (for its figures), "info" (they came, as JSON).
    what: str
    # exit: its code; start: the generation; stall and resume: "starve" where it has only a part of a core.
    detail: str = ""


class Sample(Row):
    """What a sidecar's process holds."""

    sidecar: int
    memory_mb: float  # 0 where the ground can't tell
    descriptors: int
    cpu_s: float  # since its start; 0 where the ground can't tell


# The day.


class Fault(Row):
    """A fault began or ended; `number` is its place in the scenario's list."""

    number: int
    kind: str
    began: bool
    whom: str  # for people: "nodes 3, 7", "zone bilbao"


class Lag(Row):
    """The lab itself was late: what was due then was done so much later (real ground)."""

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


class Books:
    """Rows as they come; shared by all parties of one process."""

    __slots__ = ("rows", "write")

    def __init__(self) -> None:
        self.rows: list[Any] = []
        self.write = self.rows.append

    def packed(self) -> bytes:
        """All rows as MessagePack, for another process to merge."""
        return msgspec.msgpack.encode(self.rows)

    @staticmethod
    def merged(parts: list[bytes]) -> list[AnyRow]:
        """The rows of several processes in order of time; equal times keep the order of `parts`."""
        rows: list[AnyRow] = []
        for part in parts:
            rows.extend(msgspec.msgpack.decode(part, type=list[AnyRow]))
        rows.sort(key=lambda row: row.at)
        return rows


def digest_of_request(method: str, target: str, op: str, key: str, body: bytes) -> str:
    """Of what must pass through a sidecar unchanged."""
    told = f"{method} {target} {op} {key} {len(body)}\n".encode("latin-1", "replace") + body
    return hashlib.blake2b(told, digest_size=8).hexdigest()


def digest_of_body(body: bytes) -> str:
    """Of an answer's body."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()
