"""What a core member is told, and what it wants done."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from coveport.serving.replication.identity import MemberId
from coveport.serving.replication.messages import Message
from coveport.serving.replication.records import Record


@dataclass(frozen=True, slots=True)
class Applied:
    """A command was taken: the state after it and what its caller is told."""

    state: Any
    result: Any


@dataclass(frozen=True, slots=True)
class Refused:
    """A command isn't taken, for a reason that its caller is told. Also the outcome of a Submit."""

    result: Any


Apply = Callable[[Any, bytes], "Applied | Refused"]  # must depend on nothing but its arguments


class UnreadableStateError(Exception):
    """Bytes that hold no state, or not the one that was encoded."""


@dataclass(frozen=True, slots=True)
class StateMachine:
    """How states are changed and turned into bytes; `decode` raises UnreadableStateError."""

    apply: Apply
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; to be told every 50 ms or so."""


@dataclass(frozen=True, slots=True)
class Connected:
    """Messages to this coordinator arrive from now on."""

    address: str


@dataclass(frozen=True, slots=True)
class Received:
    """A message arrived. Messages may be lost, doubled and late."""

    sender: MemberId
    message: Message


@dataclass(frozen=True, slots=True)
class Persisted:
    """Everything up to and including the Persist effect of this token is synced."""

    token: int


@dataclass(frozen=True, slots=True)
class PersistFailed:
    """The disk refused; nothing of this token counts as synced."""

    token: int


@dataclass(frozen=True, slots=True)
class Submit:
    """A caller wants a command run. `request` is repeated in the answer."""

    request: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ReadNewest:
    """A caller wants the newest acknowledged state."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Nobody waits for a call any more. What wasn't started is never run; what was started goes on."""

    request: int


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process is about to stop: others should lead and hold the state."""


Event = (
    Tick
    | Connected
    | Received
    | Persisted
    | PersistFailed
    | Submit
    | ReadNewest
    | CancelCall
    | ShutdownRequested
)


@dataclass(frozen=True, slots=True)
class Done:
    """The command is acknowledged by all replicas; it can't be lost any more."""

    result: Any


@dataclass(frozen=True, slots=True)
class Newest:
    """The newest acknowledged state."""

    sequence: int
    state: Any


@dataclass(frozen=True, slots=True)
class NotPrimary:
    """Nothing was done; ask `primary` (inner address; None: not known)."""

    primary: str | None


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """It may have been done or not, or may yet be."""


Outcome = Done | Refused | Newest | NotPrimary | OutcomeUnknown


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message, as well as it goes."""

    to_address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Write the records and sync, in the order of the tokens; then tell Persisted or PersistFailed."""

    token: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a Submit or ReadNewest."""

    request: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class CommittedState:
    """A newer committed state is known here."""

    sequence: int
    state: Any
    command: bytes | None = None  # led there from the state before, if that was known here


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """A message was refused for a fault that no sound coordinator makes; for the log."""

    sender: str  # inner address
    problem: str


Effect = Send | Persist | Answer | CommittedState | MessageRejected
