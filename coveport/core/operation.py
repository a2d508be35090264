"""An operation and the answer to it, as all protocols have them in common."""

from __future__ import annotations

from dataclasses import dataclass


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


@dataclass(slots=True)
class Answer:
    """A whole answer that a ledger node made for an operation."""

    body: bytes
    content_type: str | None = None
