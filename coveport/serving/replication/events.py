"""Events that a replica takes, outcomes of calls, and effects that it asks for.

`Replica.handle` turns one event into effects; its caller carries them out in their order.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from coveport.serving.replication.identity import MemberId
from coveport.serving.replication.messages import Message
from coveport.serving.replication.records import Record
from coveport.serving.replication.state_machine import Refused

# -- events --


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed. Due every 50 ms or so."""


@dataclass(frozen=True, slots=True)
class Connected:
    """A connection to this coordinator has come up; earlier messages to it may be lost."""

    address: str


@dataclass(frozen=True, slots=True)
class Received:
    """A message arrived. Messages may be lost, duplicated and late."""

    sender: MemberId
    message: Message


@dataclass(frozen=True, slots=True)
class Persisted:
    """Everything up to and including the Persist effect of this token is synced."""

    token: int


@dataclass(frozen=True, slots=True)
class PersistFailed:
    """The disk failed to write; nothing of this token counts as synced."""

    token: int


@dataclass(frozen=True, slots=True)
class Submit:
    """A caller wants a command run. The answer repeats `request`."""

    request: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ReadNewest:
    """A caller wants the newest acknowledged state (a linearizable read). The answer repeats `request`."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Nobody waits for a call any more. It isn't run if it has not been started; otherwise it goes on."""

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

# -- outcomes of Submit and ReadNewest --


@dataclass(frozen=True, slots=True)
class Done:
    """The command is synced by all replicas and can't be lost any more."""

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
    """The command may have been run or not, or may yet be run."""


Outcome = Done | Refused | Newest | NotPrimary | OutcomeUnknown

# -- effects --


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message, at most once."""

    to_address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Write the records and sync, in the order of the tokens; answer with Persisted or PersistFailed."""

    token: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of a Submit or ReadNewest."""

    request: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class CommittedState:
    """A newer committed state is known here."""

    sequence: int
    state: Any
    command: bytes | None = None  # that led there from the state before, if that was known here


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """A message was rejected for a fault that no correct coordinator makes; for the log."""

    sender: str  # inner address
    problem: str


Effect = Send | Persist | Answer | CommittedState | MessageRejected
