"""Messages between replicas. Each answer repeats the epoch of its request.

A message is encoded as its fields in their order (`wire/codec.py`): a field may be renamed, never moved or
retyped. The position of a class in `MESSAGES` is its number on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.replication.identity import Epoch, Locality, View


@dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat with the sender's status; each coordinator pings each peer every `ping_interval_s`."""

    counter: int  # the sender's clock in milliseconds
    echo: int  # newest `counter` that the sender received from the receiver; 0: none
    locality: Locality
    promised: Epoch  # the sender rejects all lower epochs
    view_epoch: Epoch  # epoch of the newest view that the sender accepted; NO_EPOCH: none
    active_epoch: Epoch  # epoch of the newest view that the sender has recorded as active
    committed: int  # sequence of the sender's committed state; -1: none
    primary: str  # address of the active primary that the sender is in contact with; empty: none
    is_leading: bool  # whether the sender is the active primary and has two-way contact with a majority
    is_healthy: bool  # whether the sender's disk syncs in time
    is_shutting_down: bool
    may_bootstrap: bool  # whether the sender has no view, and a disk created at the system's first start
    reaches: tuple[str, ...]  # addresses of the peers with which the sender has two-way contact


@dataclass(frozen=True, slots=True)
class Prepare:
    """Request of a candidate for a promise to reject all lower epochs (Paxos' phase 1a)."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Promise:
    """Answer to Prepare (Paxos' phase 1b): the sender has synced its promise to reject all lower epochs."""

    epoch: Epoch
    view: View | None  # the newest view that the sender accepted
    active_epoch: Epoch
    state_epoch: Epoch  # epoch in which the sender's state was installed; NO_EPOCH: the sender has no state
    state_sequence: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """Answer to a request whose epoch, `refused`, is below the sender's promise.

    The requests are Prepare, Fetch, Install, Accept, Append and Confirm; see `Acceptor`.
    """

    refused: Epoch
    promised: Epoch


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request of a candidate for the state of a replica that answered with a Promise."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Fetched:
    """Answer to Fetch: the sender's state, which has not changed since the sender's promise."""

    epoch: Epoch
    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class Install:
    """Request of a candidate to each replica of its next view to replace the replica's state."""

    epoch: Epoch
    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class Installed:
    """Answer to Install, sent after the state is synced."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Accept:
    """Request to store a view. Sent by a candidate, and by the primary to peers that lack the view."""

    view: View
    is_bootstrap: bool  # whether this is the view of a bootstrap, which only a member without a view accepts


@dataclass(frozen=True, slots=True)
class Accepted:
    """Answer to Accept, sent after the view is synced."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ViewActivated:
    """The view of this epoch is active: the view's `previous_members` are no longer voters."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Append:
    """Request of the primary to its backups to store the next command."""

    epoch: Epoch
    sequence: int
    command: bytes
    committed: int  # sequence up to which all commands are committed


@dataclass(frozen=True, slots=True)
class Appended:
    """Answer to Append, sent after all commands up to `sequence` are synced."""

    epoch: Epoch
    sequence: int


@dataclass(frozen=True, slots=True)
class Confirm:
    """Sent by the primary to all members before an answer to a read, to check that this primary still leads.

    Members that promised a higher epoch answer with Fenced. Raft's ReadIndex checks a majority likewise.
    """

    epoch: Epoch
    number: int


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Answer to Confirm: the sender had promised no higher epoch when it sent this."""

    epoch: Epoch
    number: int


@dataclass(frozen=True, slots=True)
class Committed:
    """Sent by the primary to its backups: the commands up to `sequence`, which they have, are committed."""

    epoch: Epoch
    sequence: int


@dataclass(frozen=True, slots=True)
class CatchUpCommands:
    """Committed commands that the receiver lacks."""

    first: int  # sequence of the first command
    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class CatchUpSnapshot:
    """A complete committed state, for a receiver that lacks more commands than the sender keeps."""

    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Request of a primary that shuts down to the receiver to lead at once (Raft's TimeoutNow)."""

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

# Sorted by their numbers on the wire.
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
