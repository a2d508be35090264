"""Messages between replicas. Each answer repeats the epoch of what it answers.

A message is encoded as its fields in their order (`wire/codec.py`): a field may be renamed, never moved or
retyped, and `MESSAGES` gives each kind its number on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.replication.identity import Epoch, Locality, View


@dataclass(frozen=True, slots=True)
class Ping:
    """Health check and summary of the sender; every coordinator sends one to each peer every `ping_s`."""

    counter: int  # the sender's clock in milliseconds; rises with each ping
    echo: int  # newest counter that the sender received from the receiver; 0: none
    locality: Locality
    promised: Epoch  # the sender rejects all lower epochs
    view_epoch: Epoch  # of the newest view that it accepted
    active_epoch: Epoch  # of the newest view that it knows to be active
    committed: int  # sequence of its committed state; -1: it has none
    primary: str  # address of the active primary that it is in contact with; empty: none
    is_leading: bool  # it is the active primary and has two-way contact with a majority
    is_healthy: bool  # its disk syncs in time
    is_shutting_down: bool
    may_bootstrap: bool  # it has accepted no view, and was started with the whole system
    reaches: tuple[str, ...]  # addresses of the peers with which it has two-way contact


@dataclass(frozen=True, slots=True)
class Prepare:
    """Sent by a candidate: ask the receiver to reject everything below its epoch (Paxos' phase 1a)."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Promise:
    """Answer to Prepare (Paxos' phase 1b): the sender rejects all below `epoch`. Sent once that is synced."""

    epoch: Epoch
    view: View | None  # the newest that the sender accepted
    active_epoch: Epoch
    state_epoch: Epoch  # under which its state was installed; NO_EPOCH: it has none
    state_sequence: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """Answer to a request whose epoch, `refused`, is below the one that the sender promised.

    Requests are Prepare, Fetch, Install, Accept, Append and Confirm; see `Acceptor`.
    """

    refused: Epoch
    promised: Epoch


@dataclass(frozen=True, slots=True)
class Fetch:
    """Sent by a candidate to a replica that promised: ask for its state."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Fetched:
    """Answer to Fetch: the state as it was when the promise was given."""

    epoch: Epoch
    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class Install:
    """Sent by a candidate: replace the state of a replica of the view that it prepares."""

    epoch: Epoch
    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class Installed:
    """Answer to Install, sent once the state is synced."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Accept:
    """Ask the receiver to store a view. Sent by a candidate, and by the primary to those who missed it."""

    view: View
    is_bootstrap: bool  # the first view of all: only a member without a view accepts it


@dataclass(frozen=True, slots=True)
class Accepted:
    """Answer to Accept, sent once the view is synced."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ViewActivated:
    """The view of this epoch is active: its `previous_members` no longer count."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Append:
    """Sent by the primary to its backups: the next command."""

    epoch: Epoch
    sequence: int
    command: bytes
    committed: int  # sequence up to which all commands are committed


@dataclass(frozen=True, slots=True)
class Appended:
    """Answer to Append, sent once everything up to `sequence` is synced."""

    epoch: Epoch
    sequence: int


@dataclass(frozen=True, slots=True)
class Confirm:
    """Sent by the primary to all members before it answers a read: ask whether a higher epoch was promised.

    Raft's ReadIndex asks a majority for the same reason.
    """

    epoch: Epoch
    number: int


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Answer to Confirm: the sender had promised nothing higher when it sent this."""

    epoch: Epoch
    number: int


@dataclass(frozen=True, slots=True)
class Committed:
    """Sent by the primary to backups, which hold the commands already: all up to `sequence` are committed."""

    epoch: Epoch
    sequence: int


@dataclass(frozen=True, slots=True)
class CatchUpCommands:
    """Committed commands that follow the receiver's committed state."""

    first: int  # sequence of the first command
    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class CatchUpSnapshot:
    """A complete committed state, for a receiver that is too far behind for single commands."""

    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Sent by a primary that shuts down: ask the receiver to lead at once (Raft's TimeoutNow)."""

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
    | ViewActivated
    | Append
    | Appended
    | Confirm
    | Confirmed
    | Committed
    | CatchUpCommands
    | CatchUpSnapshot
    | TransferLeadership
)

# In the order of their numbers on the wire.
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
    ViewActivated,
    Append,
    Appended,
    Confirm,
    Confirmed,
    Committed,
    CatchUpCommands,
    CatchUpSnapshot,
    TransferLeadership,
)
