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
    view_epoch: Epoch  # of the newest view that the sender accepted; NO_EPOCH: none
    active_epoch: Epoch  # of the newest view that the sender has recorded as active
    committed: int  # sequence of the sender's committed state; -1: none
    primary: str  # address of the active primary that the sender is in contact with; empty: none
    is_leading: bool  # the sender is the active primary and has two-way contact with a majority
    is_healthy: bool  # the sender's disk syncs in time
    is_shutting_down: bool
    may_bootstrap: bool  # the sender has accepted no view, and its disk dates from the system's first start
    reaches: tuple[str, ...]  # addresses of the peers with which the sender has two-way contact


@dataclass(frozen=True, slots=True)
class Prepare:
    """Sent by a candidate: request a promise to reject all lower epochs (Paxos' phase 1a)."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Promise:
    """Answer to Prepare (Paxos' phase 1b): the sender has synced its promise to reject all lower epochs."""

    epoch: Epoch
    view: View | None  # the newest view that the sender accepted
    active_epoch: Epoch
    state_epoch: Epoch  # under which the sender's state was installed; NO_EPOCH: it has no state
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
    """Sent by a candidate to a replica that answered with a Promise: request its state."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Fetched:
    """Answer to Fetch: the state; it has not changed since the promise."""

    epoch: Epoch
    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class Install:
    """Sent by a candidate to each replica of its next view: replace the receiver's state."""

    epoch: Epoch
    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class Installed:
    """Answer to Install, sent after the state is synced."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Accept:
    """Sent by a candidate, and by the primary to peers that missed it: request to store a view."""

    view: View
    is_bootstrap: bool  # the view of a bootstrap: only a member without a view accepts it


@dataclass(frozen=True, slots=True)
class Accepted:
    """Answer to Accept, sent after the view is synced."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ViewActivated:
    """The view of this epoch is active: its `previous_members` are voters no longer."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Append:
    """Sent by the primary to its backups: store the next command."""

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
    """Sent by the primary to all members before it answers a read: check that it still leads.

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
    """Sent by the primary to its backups: the commands up to `sequence`, which they hold, are committed."""

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
    """Sent by a primary that shuts down: request the receiver to lead at once (Raft's TimeoutNow)."""

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
