"""Messages among coordinators, and between proxies and coordinators, except those of replication.

Fields are encoded by their order and type (see `dataclass_formats`), classes by their position in `MESSAGES`:
neither fields nor classes may be moved. A new field goes to the end of its message, declared with `added_in`.
A changed type, or a new field of a nested dataclass, needs a new version of the frames (see `versions`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.node import Node
from coveport.serving.model.telemetry import ProxyTelemetry
from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.messages import MESSAGES as REPLICATION_MESSAGES
from coveport.serving.wire.codec import MessageCodec
from coveport.serving.wire.dataclass_formats import cache_encodings
from coveport.serving.wire.versions import UNANNOUNCED_VERSION, added_in

cache_encodings(Node)
cache_encodings(ProxyLease)


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on every connection between coordinators, with the identity of the dialer."""

    address: str  # inner address of the sender, ip:port
    disk: str  # identity of the sender's disk
    protocol_version: int = added_in(4, UNANNOUNCED_VERSION)  # protocol version of the sender's program


@dataclass(frozen=True, slots=True)
class NodeReports:
    """Reports on nodes, forwarded by the coordinator that received them."""

    confirmation_id: int  # unless this is 0, the receiver answers with a `NodeReportsAck` of this number
    nodes: tuple[Node, ...]
    # Whether `nodes` is the sender's complete table, with its tombstones.
    is_complete_table: bool = added_in(4, default=False)


@dataclass(frozen=True, slots=True)
class NodeReportsAck:
    """The sender has applied the reports with this number to its node table."""

    confirmation_id: int
    # Epoch of the newest view that the sender has accepted: the confirmation counts only in this view.
    view: Epoch


@dataclass(frozen=True, slots=True)
class TableRequest:
    """A request for the complete node table and all leases, after a start or a stall."""


@dataclass(frozen=True, slots=True)
class LeasesRenewed:
    """Leases of proxies that were recently renewed at the sender."""

    leases: tuple[ProxyLease, ...]


@dataclass(frozen=True, slots=True)
class UpdateRequest:
    """A proxy's request for everything newer than the proxy's data; the request renews the proxy's lease."""

    lease: ProxyLease
    table_id: str  # identity of the node table to which `node_revision` belongs; empty: none
    node_revision: int
    state_sequence: int  # sequence number of the proxy's acknowledged state; -1: none
    request_number: int
    deregistered: tuple[str, ...] = ()  # incarnations known to be deregistered; sent once per connection
    protocol_version: int = added_in(4, UNANNOUNCED_VERSION)  # protocol version of the proxy's program
    telemetry: ProxyTelemetry | None = added_in(5, None)  # noqa: RUF009  # None: no changes


@dataclass(frozen=True, slots=True)
class Unsubscribe:
    """A proxy's last message on a connection: the proxy now uses a nearer coordinator.

    The proxy's lease stays valid.
    """


@dataclass(frozen=True, slots=True)
class StateChange:
    """One committed command, to be applied to the preceding state."""

    sequence: int
    command: bytes


@dataclass(frozen=True, slots=True)
class CoordinatorEndpoint:
    """Address and locality of a live coordinator."""

    address: str  # inner address, ip:port
    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class Update:
    """The answer to an `UpdateRequest`: all newer data; empty if there is none by the maximum wait.

    A proxy that gets an update without `has_quorum` requests its next update from another coordinator.
    """

    request_number: int
    has_quorum: bool  # whether the sender is in contact with a majority of the core
    knows_all_nodes: bool  # whether the sender has a report of every live node, after long enough contact
    table_id: str
    node_revision: int
    is_full_table: bool  # whether `nodes` is the complete table, not the changes since a revision
    nodes: tuple[Node, ...]
    removed: tuple[str, ...]  # incarnations that are no longer in the table
    deregistered: tuple[str, ...]  # incarnations that never return
    state_sequence: int
    state: bytes | None  # the complete acknowledged state; None: see `changes`
    changes: tuple[StateChange, ...]  # without `state`: the commands since the requested sequence number
    coordinators: tuple[CoordinatorEndpoint, ...]  # live coordinators, including the sender
    max_proxies: int  # upper bound of the number of proxies, or the number known so far; 0: unknown


@dataclass(frozen=True, slots=True)
class VersionRejected:
    """The last message on a connection: the sender can't read the received frames."""

    frame_version: int  # version that the sender reads


@dataclass(frozen=True, slots=True)
class TelemetryShared:
    """Telemetry that proxies reported to the sender: all, or changes since the sender's last such message."""

    reports: tuple[ProxyTelemetry, ...]


Message = object
MESSAGES: Final[tuple[type, ...]] = (  # the position is the number of the class on the wire
    Hello,
    NodeReports,
    NodeReportsAck,
    TableRequest,
    LeasesRenewed,
    UpdateRequest,
    Update,
    Unsubscribe,
    *REPLICATION_MESSAGES,
    VersionRejected,  # since version 4
    TelemetryShared,  # since version 5
)
CODEC: MessageCodec[Message] = MessageCodec(MESSAGES)
