"""Sends this coordinator's pings, which carry its status, to every peer several times a second."""

from __future__ import annotations

from collections.abc import Iterable

from coveport.serving.replication.leader_role import LeaderRole
from coveport.serving.replication.messages import Ping
from coveport.serving.replication.peers import MS_PER_S, Peer
from coveport.serving.replication.replica_context import ReplicaContext

MIN_ANSWER_INTERVAL_S = 0.02  # minimum between extra pings to a peer that becomes alive


class PingSender:
    """The schedule and the content of the pings."""

    def __init__(self, context: ReplicaContext, leader_role: LeaderRole) -> None:
        self._context = context
        self._leader_role = leader_role
        self._last_send_s = float("-inf")

    def expedite(self) -> None:
        """Ping all peers at the next tick, since this coordinator's status has changed."""
        self._last_send_s = float("-inf")

    def tick(self, now_s: float) -> None:
        """Ping all peers if `ping_interval_s` has passed."""
        if now_s - self._last_send_s >= self._context.timings.ping_interval_s:
            self._last_send_s = now_s
            self.send(now_s, self._context.peers)

    def answer(self, now_s: float, peer: Peer) -> None:
        """Ping a peer that has just become alive, so that it finds at once that contact is two-way."""
        if now_s - peer.last_ping_at_s >= MIN_ANSWER_INTERVAL_S:
            self.send(now_s, [peer])

    def send(self, now_s: float, peers: Iterable[Peer]) -> None:
        """Ping `peers` now."""
        context = self._context
        durable = context.journal.durable
        reaches = tuple(peer.address for peer in context.peers.alive(now_s))
        is_healthy = context.journal.is_healthy(now_s)
        is_leading = is_healthy and self._leader_role.leads_majorities(now_s)
        other_primary = self._leader_role.election.leader_address(durable.view, now_s)
        for peer in peers:
            peer.last_ping_at_s = now_s
            ping = Ping(
                counter=int(now_s * MS_PER_S),
                echo=peer.last_counter,
                locality=context.locality,
                promised=durable.promised,
                view_epoch=context.acceptor.view_epoch,
                active_epoch=durable.active_epoch,
                committed=context.committed_log.sequence,
                primary=context.own_id.address if is_leading else other_primary,
                is_leading=is_leading,
                is_healthy=is_healthy,
                is_shutting_down=context.is_shutting_down,
                may_bootstrap=self._leader_role.may_bootstrap and context.acceptor.has_no_view,
                reaches=reaches,
            )
            context.outbox.send(peer.address, ping)
