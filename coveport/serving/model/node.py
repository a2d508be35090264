"""A node (a model server), as its heartbeats describe it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final


class NodeState(Enum):
    """Whether a node accepts new requests. The values are sent between the system's processes."""

    ACCEPTING = "accepting"
    DRAINING = "closing"  # the node finishes its requests; the incarnation never accepts requests again
    DEREGISTERED = "gone"  # the final state of an incarnation


# A state is never followed by an earlier one.
_STATE_ORDER: Final = (NodeState.ACCEPTING, NodeState.DRAINING, NodeState.DEREGISTERED)


@dataclass(frozen=True, slots=True)
class Node:
    """One incarnation of a node: one start of its process.

    Messages contain nodes, and encode fields by their order: no field may be moved or change its type.
    """

    incarnation: str  # InstanceId on the wire: new at every start
    sequence: int  # sequence number of the heartbeat with this report; the highest wins
    service: str
    address: str  # ip:port
    zone: str
    region: str
    slots: int  # requests that the node runs concurrently
    state: NodeState
    # Both times start at the receipt of the report, because clocks differ between machines.
    warm_up_left_ms: float = 0.0  # remaining warm-up time; 0: the node has warmed up
    shutdown_in_ms: float = 0.0  # time until the node ends, even with requests running; 0: not announced

    def is_newer_than(self, other: Node) -> bool:
        """Return whether this report replaces the other report on the same incarnation."""
        rank = _STATE_ORDER.index(self.state)
        other_rank = _STATE_ORDER.index(other.state)
        return rank > other_rank or (rank == other_rank and self.sequence > other.sequence)


DEREGISTRATION_SEQUENCE: Final = 1 << 60  # higher than the sequence number of any heartbeat


def deregistration(incarnation: str, tombstone_left_ms: float = 0.0) -> Node:
    """Return the report that an incarnation is deregistered.

    `tombstone_left_ms` is the remaining retention of its tombstone; 0: the full retention.
    """
    return Node(
        incarnation=incarnation,
        sequence=DEREGISTRATION_SEQUENCE,
        service="",
        address="",
        zone="",
        region="",
        slots=0,
        state=NodeState.DEREGISTERED,
        shutdown_in_ms=tombstone_left_ms,
    )
