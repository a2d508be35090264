"""Merges what coordinators tell of nodes into what a proxy knows, and remembers who has left for good.

A coordinator may be behind: just restarted, or cut off. So of two reports on an incarnation the newer counts
whoever told it, and an incarnation that has left is never taken in again.
"""

from __future__ import annotations

from math import inf

import immutables

from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import KnownNode
from coveport.serving.wire.messages import Update

DEPARTED_MOST = 4096  # remembered
DEPARTED_TOLD_S = 60.0  # so long after it was learned, a coordinator that is asked anew is told

Nodes = immutables.Map[str, KnownNode]  # by incarnation


class NodeDirectory:
    """One proxy's memory of who has left."""

    def __init__(self) -> None:
        self._departed: dict[str, float] = {}  # incarnations, and since when it is known; the oldest first

    def merge(self, nodes: Nodes, update: Update, now_s: float) -> Nodes:
        """What is known after an update; the same object where that changed nothing."""
        for incarnation in update.deregistered:
            self._note_departed(incarnation, now_s)
            nodes = _without(nodes, incarnation)
        for node in update.nodes:
            nodes = self._with_report(nodes, node, now_s)
        for incarnation in update.removed:
            nodes = self._with_removal(nodes, incarnation, now_s)
        if update.is_full_table and update.knows_all_nodes:
            named = {node.incarnation for node in update.nodes}
            for incarnation in [one for one in nodes if one not in named]:
                nodes = nodes.delete(incarnation)
        return nodes

    def departed_lately(self, now_s: float) -> tuple[str, ...]:
        """For a coordinator that may have been restarted or cut off while these left."""
        since_s = now_s - DEPARTED_TOLD_S
        return tuple(name for name, learned_s in self._departed.items() if learned_s >= since_s)

    def _with_report(self, nodes: Nodes, node: Node, now_s: float) -> Nodes:
        if node.incarnation in self._departed:
            return nodes
        known = nodes.get(node.incarnation)
        is_same_report = known is not None and known.node.sequence == node.sequence
        if known is None or node.is_newer_than(known.node) or is_same_report:
            return nodes.set(node.incarnation, _known(node, now_s, known))
        return nodes

    def _with_removal(self, nodes: Nodes, incarnation: str, now_s: float) -> Nodes:
        known = nodes.get(incarnation)
        if known is not None and known.node.state is NodeState.DRAINING:
            self._note_departed(incarnation, now_s)  # it said that it leaves
        return _without(nodes, incarnation)

    def _note_departed(self, incarnation: str, now_s: float) -> None:
        self._departed.setdefault(incarnation, now_s)
        if len(self._departed) > DEPARTED_MOST:
            del self._departed[next(iter(self._departed))]


def _without(nodes: Nodes, incarnation: str) -> Nodes:
    return nodes.delete(incarnation) if incarnation in nodes else nodes


def _known(node: Node, now_s: float, before: KnownNode | None) -> KnownNode:
    warming_until_s = now_s + node.warm_up_left_ms / 1000 if node.warm_up_left_ms > 0 else 0.0
    shutdown_at_s = now_s + node.shutdown_in_ms / 1000 if node.shutdown_in_ms > 0 else inf
    if before is not None:
        shutdown_at_s = min(shutdown_at_s, before.shutdown_at_s)
    return KnownNode(node, now_s, warming_until_s, shutdown_at_s)
