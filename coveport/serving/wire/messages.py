"""Messages between our own processes, beside those of replication."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.node import Node
from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.messages import MESSAGES as REPLICATION_MESSAGES
from coveport.serving.wire.codec import MessageCodec, remembered

remembered(Node)
remembered(ProxyLease)


@dataclass(frozen=True, slots=True)
class Hello:
    """First on every connection between coordinators: who dialed."""

    address: str  # its inner address, ip:port
    disk: str  # identity of its disk


@dataclass(frozen=True, slots=True)
class NodeReports:
    """Reports on nodes, passed on by the coordinator that took them."""

    confirmation_id: int  # not 0: answer with `NodeReportsAck` of this number
    nodes: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class NodeReportsAck:
    """The reports of that number are in the sender's table."""

    confirmation_id: int
    view: Epoch  # of the newest view that the sender has accepted: it votes for that view's members alone


@dataclass(frozen=True, slots=True)
class TableRequest:
    """Asks for the whole node table and all leases (after a start or a stall)."""


@dataclass(frozen=True, slots=True)
class LeasesRenewed:
    """Leases of proxies that were renewed at the sender lately."""

    leases: tuple[ProxyLease, ...]


@dataclass(frozen=True, slots=True)
class UpdateRequest:
    """A proxy asks with the versions it has; this renews its lease."""

    lease: ProxyLease
    table_id: str  # identity of the node table that `node_revision` is of; empty: none
    node_revision: int
    state_sequence: int  # of the acknowledged state; -1: none
    request_number: int
    deregistered: tuple[str, ...] = ()  # incarnations known to be gone for good; told once a connection


@dataclass(frozen=True, slots=True)
class Unsubscribe:
    """A proxy's last word on a connection: it has gone to a nearer coordinator; its lease stays."""


@dataclass(frozen=True, slots=True)
class StateChange:
    """One committed command, to be applied to the state before it."""

    sequence: int
    command: bytes


@dataclass(frozen=True, slots=True)
class CoordinatorEndpoint:
    """Where a live coordinator stands."""

    address: str  # its inner address
    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class Update:
    """The answer: what is newer, or nothing after a while."""

    request_number: int
    has_quorum: bool  # the sender is in touch with a majority of the core; otherwise ask another
    knows_all_nodes: bool  # ... and has been long enough to know every node
    table_id: str
    node_revision: int
    is_full_table: bool
    nodes: tuple[Node, ...]
    removed: tuple[str, ...]
    deregistered: tuple[str, ...]  # incarnations that never come back
    state_sequence: int
    state: bytes | None  # the whole acknowledged state
    changes: tuple[StateChange, ...]  # or what led there from the sequence asked with
    coordinators: tuple[CoordinatorEndpoint, ...]  # those that are alive, the sender included
    max_proxies: int  # 0: not known yet


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
)
CODEC: MessageCodec[Message] = MessageCodec(MESSAGES)
