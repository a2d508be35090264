"""What members of the core say to each other. Each answer repeats the epoch that it answers."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.replication.identity import Epoch, Locality, MemberId, View


@dataclass(frozen=True, slots=True)
class Ping:
    """Sent by every coordinator to every other it knows, every `Timings.ping_s`."""

    counter: int  # rises with each ping of this sender
    echo: int  # the newest counter it heard from the receiver; 0: none
    locality: Locality
    promised: Epoch
    view_epoch: Epoch  # of the newest view it accepted
    settled: Epoch
    committed: int  # sequence of its committed state; -1: has none
    primary: str  # address of the active primary it hears; empty: none
    is_leading: bool  # it is the active primary and reaches a majority
    is_well: bool  # its disk syncs in time
    is_leaving: bool  # it was told to stop
    may_found: bool  # blank, and started with the whole system
    reaches: tuple[str, ...]  # addresses of those that it hears and that hear it


@dataclass(frozen=True, slots=True)
class Prepare:
    """A candidate asks not to accept anything below its epoch any more."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Promise:
    """Synced before it is sent: the sender refuses all below `epoch` from now on."""

    epoch: Epoch
    view: View | None
    settled: Epoch
    state_epoch: Epoch  # under which its state was installed; NO_EPOCH: it has none
    state_sequence: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """Refused: `refused` is below what the sender promised."""

    refused: Epoch
    promised: Epoch


@dataclass(frozen=True, slots=True)
class Fetch:
    """A candidate asks one that promised for its state."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Fetched:
    """The state as it stood when the promise was given."""

    epoch: Epoch
    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class Install:
    """A candidate brings up a replica of its view to be."""

    epoch: Epoch
    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class Installed:
    """Synced before it is sent."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Accept:
    """A candidate, or the primary to those who missed it, asks to store a view."""

    view: View
    is_founding: bool  # the first view of all: only a blank member takes it


@dataclass(frozen=True, slots=True)
class Accepted:
    """Synced before it is sent."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Settled:
    """The view of this epoch is active: its `previous_members` no longer count."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Append:
    """The primary's next command, to its backups."""

    epoch: Epoch
    sequence: int
    command: bytes
    committed: int


@dataclass(frozen=True, slots=True)
class Appended:
    """Synced before it is sent: everything up to `sequence`."""

    epoch: Epoch
    sequence: int


@dataclass(frozen=True, slots=True)
class Confirm:
    """The primary asks whether the receiver promised anything higher by now."""

    epoch: Epoch
    round: int


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Nothing higher was promised when this was sent."""

    epoch: Epoch
    round: int


@dataclass(frozen=True, slots=True)
class Committed:
    """To backups, which hold the commands already: all up to `sequence` is acknowledged."""

    epoch: Epoch
    sequence: int


@dataclass(frozen=True, slots=True)
class Learn:
    """Committed commands that follow the receiver's committed state."""

    first: int  # sequence of the first command
    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class LearnState:
    """The whole committed state."""

    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class TakeOver:
    """A primary that leaves asks the receiver to lead at once."""

    epoch: Epoch


Message = (
    Ping
    | Prepare
    | Promise
    | Fenced
    | Fetch
    | Fetched
    | Install
    | Installed
    | Accept
    | Accepted
    | Settled
    | Append
    | Appended
    | Confirm
    | Confirmed
    | Committed
    | Learn
    | LearnState
    | TakeOver
)

MESSAGES = (
    Ping,
    Prepare,
    Promise,
    Fenced,
    Fetch,
    Fetched,
    Install,
    Installed,
    Accept,
    Accepted,
    Settled,
    Append,
    Appended,
    Confirm,
    Confirmed,
    Committed,
    Learn,
    LearnState,
    TakeOver,
)

__all__ = ["MESSAGES", "MemberId", "Message"] + [kind.__name__ for kind in MESSAGES]
