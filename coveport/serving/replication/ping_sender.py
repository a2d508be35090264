"""Tells the other coordinators several times a second who this one is, and how it is."""

from __future__ import annotations

from collections.abc import Iterable

from coveport.serving.replication.identity import View
from coveport.serving.replication.leader_role import LeaderRole
from coveport.serving.replication.messages import Ping
from coveport.serving.replication.peers import Peer
from coveport.serving.replication.replica_context import ReplicaContext

ANSWER_GAP_S = 0.02  # a peer that comes up is answered out of turn, but no more often than this


class PingSender:
    """Sends one member's pings."""

    def __init__(self, context: ReplicaContext, leader_role: LeaderRole) -> None:
        self._context = context
        self._leader_role = leader_role
        self._sent_at_s = float("-inf")

    def make_due(self) -> None:
        """Something has changed that the others must know at once: the next tick tells them."""
        self._sent_at_s = float("-inf")

    def tick(self, now_s: float) -> None:
        """Tell all, when it is time."""
        if now_s - self._sent_at_s >= self._context.timings.ping_s:
            self._sent_at_s = now_s
            self.send(now_s, self._context.peers)

    def answer(self, now_s: float, peer: Peer) -> None:
        """Let a peer that just came up know at once that it is heard."""
        if now_s - peer.pinged_at_s >= ANSWER_GAP_S:
            self.send(now_s, [peer])

    def send(self, now_s: float, peers: Iterable[Peer]) -> None:
        """Tell these now."""
        context = self._context
        durable = context.journal.durable
        reaches = tuple(peer.address for peer in context.peers.alive(now_s))
        is_healthy = context.journal.is_healthy(now_s)
        is_leading = is_healthy and self._leads_majorities(durable.view, now_s)
        primary = (
            context.own_id.address if is_leading else self._leader_role.election.leader(durable.view, now_s)
        )
        for peer in peers:
            peer.pinged_at_s = now_s
            ping = Ping(
                counter=int(now_s * 1000),
                echo=peer.heard_counter,
                locality=context.locality,
                promised=durable.promised,
                view_epoch=context.acceptor.view_epoch,
                active_epoch=durable.active_epoch,
                committed=context.committed_log.sequence,
                primary=primary,
                is_leading=is_leading,
                is_healthy=is_healthy,
                is_shutting_down=context.is_shutting_down,
                may_bootstrap=self._leader_role.may_bootstrap and context.acceptor.is_blank,
                reaches=reaches,
            )
            context.outbox.send(peer.address, ping)

    def _leads_majorities(self, view: View | None, now_s: float) -> bool:
        if view is None or not self._leader_role.is_active:
            return False
        return self._leader_role.election.reaches_majorities(view, now_s)
