"""An operation and its answer, independent of the protocol."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.balancing import PriorAttempt
from coveport.sidecar.reducer.streams import Upload


@dataclass(slots=True)
class Operation:
    """A client's operation, validated; it is forwarded to a ledger node unchanged."""

    method: str
    target: str  # path and query
    body: bytes
    id: str
    key: str | None
    cls: int  # position in the settings' classes
    wait_ms: float  # how long the client waits, from now on
    repeat: bool = False  # the client marks it as a retry
    cost_ms: float = 0.0  # the client's estimate; 0: unknown
    content_type: tuple[str, ...] = ()
    accept: tuple[str, ...] = ()
    is_admitted: bool = True  # False: beyond the capacity for clients, to be rejected
    upload: Upload | None = None  # its body, where that is long; `body` is empty then
    prior_attempts: tuple[PriorAttempt, ...] = ()  # attempts that other instances made already


@dataclass(slots=True)
class Answer:
    """A ledger node's answer to an operation: complete, or the head of a long one."""

    body: bytes
    content_type: str | None = None
    length: int | None = None  # of a long one, in bytes, where it was declared
