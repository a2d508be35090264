"""Merges coordinators' reports on nodes into a proxy's node table, and keeps tombstones.

A coordinator may lag behind after a restart or while it is partitioned off. Therefore the newer of two
reports on an incarnation wins, regardless of the coordinator that sent it, and an incarnation that was
deregistered is never added again.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from math import inf

import immutables

from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import KnownNode
from coveport.serving.wire.messages import Update

MAX_TOMBSTONES = 4096  # bounds memory: the oldest are dropped
TOMBSTONE_REPORT_S = 60.0  # age up to which a tombstone is sent in the first request to a coordinator

Nodes = immutables.Map[str, KnownNode]  # by incarnation


class NodeDirectory:
    """The tombstones of one proxy, and the rules by which it merges reports."""

    def __init__(self) -> None:
        self._tombstoned_at_s: dict[str, float] = {}  # by deregistered incarnation, oldest first

    def merge(self, nodes: Nodes, update: Update, now_s: float) -> Nodes:
        """Return the nodes after an update; the same object where the update changes nothing."""
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
        """Return the incarnations with recent tombstones, for a coordinator that may lack them."""
        since_s = now_s - TOMBSTONE_REPORT_S
        return tuple(name for name, tombstoned_s in self._tombstoned_at_s.items() if tombstoned_s >= since_s)

    def _with_report(self, nodes: Nodes, node: Node, now_s: float) -> Nodes:
        if node.incarnation in self._tombstoned_at_s:
            return nodes
        known = nodes.get(node.incarnation)
        is_same_report = known is not None and known.node.sequence == node.sequence
        if known is None or node.is_newer_than(known.node) or is_same_report:
            return nodes.set(node.incarnation, _known_node(node, now_s, known))
        return nodes

    def _with_removal(self, nodes: Nodes, incarnation: str, now_s: float) -> Nodes:
        known = nodes.get(incarnation)
        if known is not None and known.node.state is NodeState.DRAINING:
            self._add_tombstone(incarnation, now_s)  # a draining incarnation never accepts again
        return _without(nodes, incarnation)

    def _add_tombstone(self, incarnation: str, now_s: float) -> None:
        self._tombstoned_at_s.setdefault(incarnation, now_s)
        if len(self._tombstoned_at_s) > MAX_TOMBSTONES:
            del self._tombstoned_at_s[next(iter(self._tombstoned_at_s))]


def _without(nodes: Nodes, incarnation: str) -> Nodes:
    return nodes.delete(incarnation) if incarnation in nodes else nodes


def _known_node(node: Node, now_s: float, previous: KnownNode | None) -> KnownNode:
    """Convert the remaining times of a report to times on this process' clock."""
    warming_until_s = now_s + node.warm_up_left_ms / 1000 if node.warm_up_left_ms > 0 else 0.0
    shutdown_at_s = now_s + node.shutdown_in_ms / 1000 if node.shutdown_in_ms > 0 else inf
    if previous is not None:
        shutdown_at_s = min(shutdown_at_s, previous.shutdown_at_s)
    return KnownNode(node, now_s, warming_until_s, shutdown_at_s)
