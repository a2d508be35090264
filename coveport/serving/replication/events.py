"""Events that a replica handles, outcomes of calls, and effects that it returns.

`Replica.handle` turns one event into effects; its caller carries out the effects in their order.
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
    """The clock event, about every 50 ms."""


@dataclass(frozen=True, slots=True)
class Connected:
    """A connection to the coordinator at `address` was established; earlier messages to it may be lost."""

    address: str


@dataclass(frozen=True, slots=True)
class Received:
    """A message arrived. Messages may be lost, duplicated and delayed."""

    sender: MemberId
    message: Message


@dataclass(frozen=True, slots=True)
class Persisted:
    """All records of the Persist effect with this token, and of all earlier effects, are synced."""

    token: int


@dataclass(frozen=True, slots=True)
class PersistFailed:
    """The disk failed to write; no record of the Persist effect with this token counts as synced."""

    token: int


@dataclass(frozen=True, slots=True)
class Submit:
    """A caller submits a command. The answer repeats `request`."""

    request: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ReadNewest:
    """A caller reads the newest acknowledged state (a linearizable read). The answer repeats `request`."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelCall:
    """The caller of `request` has gone. A call that hasn't started is dropped; a started call continues."""

    request: int


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process is about to stop: its roles should move to other coordinators."""


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
    """The command is committed: all replicas of the view have synced it."""

    result: Any


@dataclass(frozen=True, slots=True)
class Newest:
    """The newest acknowledged state."""

    sequence: int
    state: Any


@dataclass(frozen=True, slots=True)
class NotPrimary:
    """The call had no effect here; the caller should send it to `primary`."""

    primary: str | None  # inner address; None: unknown


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The command may or may not have been applied, or may still be applied later."""


Outcome = Done | Refused | Newest | NotPrimary | OutcomeUnknown

# -- effects --


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message, with at-most-once delivery."""

    to_address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Write and sync the records, in the order of the tokens; answer with Persisted or PersistFailed."""

    token: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of a Submit or ReadNewest."""

    request: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class CommittedState:
    """A newer committed state is available at this coordinator."""

    sequence: int
    state: Any
    command: bytes | None = None  # the command that turned state `sequence - 1` into this; None: unknown


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """A message was rejected for a fault that a correct coordinator never makes; the caller logs this."""

    sender: str  # inner address
    problem: str


Effect = Send | Persist | Answer | CommittedState | MessageRejected
