"""An operation and the answer to it, as all protocols have them in common."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.balancing import PriorAttempt
from coveport.sidecar.reducer.streams import Upload


@dataclass(slots=True)
class Operation:
    """What a client asked for, checked. What is passed on to a ledger node is passed on unchanged."""

    method: str
    target: str  # path and query
    body: bytes
    id: str
    key: str | None
    cls: int  # position in the settings' classes
    wait_ms: float  # how long the client waits, from now on
    repeat: bool = False  # the client says that it tries again
    cost_ms: float = 0.0  # what the client thinks it costs; 0: not known
    content_type: tuple[str, ...] = ()
    accept: tuple[str, ...] = ()
    room: bool = True  # False: there are more clients than we can hold
    upload: Upload | None = None  # its body, where that is long; `body` is empty then
    before: tuple[PriorAttempt, ...] = ()  # attempts that were made for it already, by whomever


@dataclass(slots=True)
class Answer:
    """An answer that a ledger node made for an operation: all of it, or the beginning of a long one."""

    body: bytes
    content_type: str | None = None
    length: int | None = None  # of a long one, in bytes, where it was declared
