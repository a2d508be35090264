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
    cls: int  # index of its class in the settings
    wait_ms: float  # the time that the client waits, counted from the receipt
    repeat: bool = False  # whether the client marks the operation as a retry
    cost_ms: float = 0.0  # the client's estimate of the operation's cost; 0: unknown
    content_type: tuple[str, ...] = ()
    accept: tuple[str, ...] = ()
    is_admitted: bool = True  # False: the client limit is exceeded, so the operation must be rejected
    upload: Upload | None = None  # a streamed body; `body` is empty then
    prior_attempts: tuple[PriorAttempt, ...] = ()  # attempts that other instances have made

    @property
    def runs_at_most_once(self) -> bool:
        """Whether the operation must never run twice: its class is neither safe (GET) nor keyed."""
        return self.method != "GET" and self.key is None


@dataclass(slots=True)
class Answer:
    """A ledger node's answer to an operation: the complete answer, or the head of a streamed one."""

    body: bytes
    content_type: str | None = None
    length: int | None = None  # declared body length of a streamed answer, in bytes; None: not declared
