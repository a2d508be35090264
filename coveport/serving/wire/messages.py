"""Messages among coordinators, and between proxies and coordinators, beside those of replication.

Fields are encoded by their order and type (see `dataclass_formats`), classes by their position in `MESSAGES`:
neither may be moved. A new field goes to the end of its message, declared with `added_in`; another type, or a
new field of a nested dataclass, needs a new version of the frames (see `versions`).
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
    """The first message on every connection between coordinators: the identity of the one that dialed."""

    address: str  # its inner address, ip:port
    disk: str  # identity of its disk
    protocol_version: int = added_in(4, UNANNOUNCED_VERSION)  # of the program that dialed


@dataclass(frozen=True, slots=True)
class NodeReports:
    """Reports on nodes, forwarded by the coordinator that received them."""

    confirmation_id: int  # not 0: answer with a `NodeReportsAck` of this number
    nodes: tuple[Node, ...]
    is_complete_table: bool = added_in(
        4, default=False
    )  # `nodes` is all that the sender lists, tombstones too


@dataclass(frozen=True, slots=True)
class NodeReportsAck:
    """The sender has stored the reports of that number in its node table."""

    confirmation_id: int
    view: Epoch  # of the newest view that the sender has accepted: it votes for that view's members alone


@dataclass(frozen=True, slots=True)
class TableRequest:
    """Asks for the whole node table and all leases, after a start or a stall."""


@dataclass(frozen=True, slots=True)
class LeasesRenewed:
    """Leases of proxies that were renewed at the sender lately."""

    leases: tuple[ProxyLease, ...]


@dataclass(frozen=True, slots=True)
class UpdateRequest:
    """A proxy's request for everything newer than the versions it has; it renews the proxy's lease."""

    lease: ProxyLease
    table_id: str  # identity of the node table that `node_revision` is of; empty: none
    node_revision: int
    state_sequence: int  # of the acknowledged state; -1: none
    request_number: int
    deregistered: tuple[str, ...] = ()  # incarnations known to be gone for good; sent once a connection
    protocol_version: int = added_in(4, UNANNOUNCED_VERSION)  # of the proxy's program
    telemetry: ProxyTelemetry | None = added_in(5, None)  # noqa: RUF009  # None: nothing new


@dataclass(frozen=True, slots=True)
class Unsubscribe:
    """A proxy's last message on a connection: it has gone to a nearer coordinator, its lease stays."""


@dataclass(frozen=True, slots=True)
class StateChange:
    """One committed command, to be applied to the state before it."""

    sequence: int
    command: bytes


@dataclass(frozen=True, slots=True)
class CoordinatorEndpoint:
    """Address and locality of a live coordinator."""

    address: str  # its inner address, ip:port
    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class Update:
    """The answer to an `UpdateRequest`: what is newer, or nothing once the request has waited for a while."""

    request_number: int
    has_quorum: bool  # the sender is in touch with a majority of the core; otherwise ask another
    knows_all_nodes: bool  # ... and has been for long enough that every live node has reported
    table_id: str
    node_revision: int
    is_full_table: bool  # `nodes` is the whole table; otherwise what changed since the revision asked with
    nodes: tuple[Node, ...]
    removed: tuple[str, ...]  # incarnations that are no longer in the table
    deregistered: tuple[str, ...]  # incarnations that never come back
    state_sequence: int
    state: bytes | None  # the whole acknowledged state ...
    changes: tuple[StateChange, ...]  # ... or what led there from the sequence asked with
    coordinators: tuple[CoordinatorEndpoint, ...]  # those that are alive, the sender included
    max_proxies: int  # upper bound of the number of proxies, or of those known by now; 0: not known yet


@dataclass(frozen=True, slots=True)
class VersionRejected:
    """The last message on a connection: the sender can't read the frames that it got."""

    frame_version: int  # that the sender reads


@dataclass(frozen=True, slots=True)
class TelemetryShared:
    """What proxies have reported to the sender, or what has changed of it since its last such message."""

    reports: tuple[ProxyTelemetry, ...]


Message = object
MESSAGES: Final[tuple[type, ...]] = (  # the order gives each kind its number on the wire
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
