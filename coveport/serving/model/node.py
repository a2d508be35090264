"""A node (a model server) as its heartbeats describe it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class NodeState(Enum):
    """Whether a node takes new requests."""

    ACCEPTING = "accepting"
    DRAINING = "closing"  # serves what it has, takes nothing new; never undone within an incarnation
    DEREGISTERED = "gone"  # said goodbye, or was silent for too long


@dataclass(frozen=True, slots=True)
class Node:
    """One incarnation of a node."""

    incarnation: str  # its InstanceId: new at every start
    sequence: int  # of the heartbeat that said this; the highest wins
    service: str
    address: str  # ip:port
    zone: str
    region: str
    slots: int  # requests that it runs at once
    state: NodeState
    warm_up_left_ms: float = 0.0  # how much longer it is cold, counted from when this was received
    shutdown_in_ms: float = 0.0  # 0: not told; else it is gone after that, whatever it runs

    def is_newer_than(self, other: Node) -> bool:
        """Whether this replaces what `other`, of the same incarnation, says."""
        order = (NodeState.ACCEPTING, NodeState.DRAINING, NodeState.DEREGISTERED)
        rank, other_rank = order.index(self.state), order.index(other.state)
        return rank > other_rank or (rank == other_rank and self.sequence > other.sequence)


DEREGISTRATION_SEQUENCE = 1 << 60  # newer than every heartbeat


def deregistration(incarnation: str, remembered_ms: float = 0.0) -> Node:
    """The report that an incarnation has left for good; 0: remember it for as long as any."""
    return Node(
        incarnation,
        DEREGISTRATION_SEQUENCE,
        "",
        "",
        "",
        "",
        0,
        NodeState.DEREGISTERED,
        shutdown_in_ms=remembered_ms,
    )
