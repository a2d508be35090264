"""A node (a model server), as its heartbeats describe it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final


class NodeState(Enum):
    """Whether a node accepts new requests. The values are those on the wire between our processes."""

    ACCEPTING = "accepting"
    DRAINING = "closing"  # finishes the requests it has; never undone within an incarnation
    DEREGISTERED = "gone"  # never comes back


_STATE_ORDER: Final = (NodeState.ACCEPTING, NodeState.DRAINING, NodeState.DEREGISTERED)  # never goes back


@dataclass(frozen=True, slots=True)
class Node:
    """One incarnation of a node: one start of its process.

    It is sent within messages, which are encoded by the order of fields: none may be moved or retyped.
    """

    incarnation: str  # InstanceId on the wire: new at every start
    sequence: int  # of the heartbeat with this report; the highest wins
    service: str
    address: str  # ip:port
    zone: str
    region: str
    slots: int  # requests that it runs concurrently
    state: NodeState
    # Both times count from when the report was received, as clocks differ between machines.
    warm_up_left_ms: float = 0.0  # until it has warmed up; 0: it has
    shutdown_in_ms: float = 0.0  # until it ends, whatever it still runs; 0: not announced

    def is_newer_than(self, other: Node) -> bool:
        """Return whether this report replaces another of the same incarnation."""
        rank = _STATE_ORDER.index(self.state)
        other_rank = _STATE_ORDER.index(other.state)
        return rank > other_rank or (rank == other_rank and self.sequence > other.sequence)


DEREGISTRATION_SEQUENCE: Final = 1 << 60  # above that of every heartbeat


def deregistration(incarnation: str, remembered_ms: float = 0.0) -> Node:
    """Return the report that an incarnation is gone for good.

    `remembered_ms`: for how long its tombstone is still kept; 0: the longest.
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
        shutdown_in_ms=remembered_ms,
    )
