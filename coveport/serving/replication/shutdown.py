"""Decides when the process of a replica may stop without reducing the core's fault tolerance."""

from __future__ import annotations

from coveport.serving.replication.identity import View
from coveport.serving.replication.replica_context import ReplicaContext


def is_safe_to_stop(context: ReplicaContext, now_s: float) -> bool:
    """Return whether no view needs this replica's state, and no usable spare could take over its vote."""
    durable = context.journal.durable
    view = durable.view
    if view is None:
        return True
    if context.own_id in view.replicas or durable.active_epoch < view.epoch:
        return False
    return context.own_id not in view.members or not _has_spare(context, view, now_s)


def _has_spare(context: ReplicaContext, view: View, now_s: float) -> bool:
    """Return whether a usable coordinator outside the view could replace this coordinator as a member."""
    candidates = [peer.identity for peer in context.peers.alive(now_s) if peer.identity is not None]
    return any(
        candidate not in view.members and context.is_usable(candidate, now_s) for candidate in candidates
    )
