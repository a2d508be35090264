"""Keeps the peers and the local committed log up to date with the commands that the primary has committed."""

from __future__ import annotations

from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.leader_role import LeaderRole
from coveport.serving.replication.messages import Accept, Ping, ViewActivated
from coveport.serving.replication.peers import Peer
from coveport.serving.replication.replica_context import ReplicaContext


class CatchUp:
    """Sends a peer the view and the committed state that its pings show to be missing."""

    def __init__(self, context: ReplicaContext, leader_role: LeaderRole) -> None:
        self._context = context
        self._leader_role = leader_role

    def on_ping(self, now_s: float, peer: Peer, ping: Ping) -> None:
        """Send a peer the view and the state that it lacks, at most every `catch_up_interval_s`.

        The active primary serves all peers; other coordinators serve peers without contact with a primary.
        """
        context = self._context
        if now_s - peer.last_catch_up_at_s < context.timings.catch_up_interval_s:
            return
        was_behind = self._send_missing_view(peer, ping)
        is_responsible = self._leader_role.is_active or not ping.primary
        if is_responsible and ping.committed < context.committed_log.sequence:
            was_behind |= context.committed_log.catch_up(now_s, peer, ping.committed)
        if was_behind:
            peer.last_catch_up_at_s = now_s

    def _send_missing_view(self, peer: Peer, ping: Ping) -> bool:
        """As the active primary, send a view or activation that a peer lacks; return whether one was sent."""
        primary = self._leader_role.primary
        if primary is None or primary.is_paused:
            return False
        view = primary.view
        if ping.view_epoch >= view.epoch and ping.active_epoch >= view.epoch:
            return False
        if ping.view_epoch < view.epoch:
            self._context.outbox.send(peer.address, Accept(view, is_bootstrap=False))
        self._context.outbox.send(peer.address, ViewActivated(view.epoch))
        return True

    def commit_own_state(self, epoch: Epoch, committed: int) -> None:
        """Add this replica's state to the committed log, if the primary of `epoch` has committed it."""
        acceptor = self._context.acceptor
        durable = acceptor.durable
        if durable.state_epoch == epoch and durable.sequence == committed:
            command = durable.commands[-1] if durable.commands else None
            self._context.committed_log.advance(committed, acceptor.state, command)
