"""Merges the reports of coordinators on nodes into what a proxy knows, with tombstones of those that left.

A coordinator may be behind: just restarted, or partitioned off. So of two reports on an incarnation the newer
counts whichever coordinator sent it, and an incarnation that was deregistered is never added again. Pure.
"""

from __future__ import annotations

from math import inf

import immutables

from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import KnownNode
from coveport.serving.wire.messages import Update

MAX_TOMBSTONES = 4096  # bounds memory; the oldest are dropped; not measured
TOMBSTONE_REPORT_S = 60.0  # in which a coordinator that is asked anew is sent a tombstone; not measured

Nodes = immutables.Map[str, KnownNode]  # by incarnation


class NodeDirectory:
    """One proxy's tombstones."""

    def __init__(self) -> None:
        self._learned_at_s: dict[str, float] = {}  # by deregistered incarnation; the oldest first

    def merge(self, nodes: Nodes, update: Update, now_s: float) -> Nodes:
        """Return the nodes known after an update; the same object where that changed nothing."""
        for incarnation in update.deregistered:
            self._add_tombstone(incarnation, now_s)
            nodes = _without(nodes, incarnation)
        for node in update.nodes:
            nodes = self._with_report(nodes, node, now_s)
        for incarnation in update.removed:
            nodes = self._with_removal(nodes, incarnation, now_s)
        if update.is_full_table and update.knows_all_nodes:
            reported = {node.incarnation for node in update.nodes}
            for incarnation in [name for name in nodes if name not in reported]:
                nodes = nodes.delete(incarnation)
        return nodes

    def recently_deregistered(self, now_s: float) -> tuple[str, ...]:
        """Return recent tombstones, for a coordinator that may have missed them."""
        since_s = now_s - TOMBSTONE_REPORT_S
        return tuple(name for name, learned_s in self._learned_at_s.items() if learned_s >= since_s)

    def _with_report(self, nodes: Nodes, node: Node, now_s: float) -> Nodes:
        if node.incarnation in self._learned_at_s:
            return nodes
        known = nodes.get(node.incarnation)
        is_same_report = known is not None and known.node.sequence == node.sequence
        if known is None or node.is_newer_than(known.node) or is_same_report:
            return nodes.set(node.incarnation, _known_node(node, now_s, known))
        return nodes

    def _with_removal(self, nodes: Nodes, incarnation: str, now_s: float) -> Nodes:
        known = nodes.get(incarnation)
        if known is not None and known.node.state is NodeState.DRAINING:
            self._add_tombstone(incarnation, now_s)  # it was draining, so it does not come back
        return _without(nodes, incarnation)

    def _add_tombstone(self, incarnation: str, now_s: float) -> None:
        self._learned_at_s.setdefault(incarnation, now_s)
        if len(self._learned_at_s) > MAX_TOMBSTONES:
            del self._learned_at_s[next(iter(self._learned_at_s))]


def _without(nodes: Nodes, incarnation: str) -> Nodes:
    return nodes.delete(incarnation) if incarnation in nodes else nodes


def _known_node(node: Node, now_s: float, before: KnownNode | None) -> KnownNode:
    """Return the node with its remaining times as times on this process' clock."""
    warming_until_s = now_s + node.warm_up_left_ms / 1000 if node.warm_up_left_ms > 0 else 0.0
    shutdown_at_s = now_s + node.shutdown_in_ms / 1000 if node.shutdown_in_ms > 0 else inf
    if before is not None:
        shutdown_at_s = min(shutdown_at_s, before.shutdown_at_s)
    return KnownNode(node, now_s, warming_until_s, shutdown_at_s)
