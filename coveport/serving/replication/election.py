"""Decides when a member starts an election: no primary leads, the time-out is over, a majority answers."""

from __future__ import annotations

from collections.abc import Callable

from coveport.serving.replication.identity import MemberId, View, has_majorities
from coveport.serving.replication.replica_context import ReplicaContext


def candidate_order(view: View) -> list[MemberId]:
    """Return the agreed order of candidates: the replicas, the primary first, then the other members."""
    return list(view.replicas) + [member for member in sorted(view.members) if member not in view.replicas]


class Election:
    """Watches the primary of the newest view; owns the time-outs of elections."""

    def __init__(self, context: ReplicaContext, now_s: float) -> None:
        self._context = context
        self._leaderless_since_s: float | None = None
        self._earliest_start_s = now_s
        self._all_members_required_until_s = now_s

    def require_all_members_until(self, until_s: float) -> None:
        """Start no election before `until_s` unless all members are reachable, as after a process start."""
        self._all_members_required_until_s = until_s

    def delay_election_until(self, until_s: float) -> None:
        """Start no election before `until_s`."""
        self._earliest_start_s = max(self._earliest_start_s, until_s)

    def leader_address(self, view: View | None, now_s: float) -> str:
        """Return the address of the active primary; "" unless the primary is a peer that is in contact."""
        if view is None or view.primary == self._context.own_id:
            return ""
        ping = self._context.peers.ping_of(view.primary, now_s)
        if ping is None or not ping.is_leading or ping.view_epoch < view.epoch:
            return ""
        return view.primary.address

    def reaches_majorities(self, view: View, now_s: float) -> bool:
        """Return whether this member has two-way contact with a majority of each group."""
        peers = self._context.peers
        return self._has_majorities(view, lambda member: peers.is_alive(member, now_s))

    def reaches_majorities_now(self, view: View, now_s: float) -> bool:
        """Return whether the contact with a majority of each group is fresh enough to start an election."""
        return self._has_majorities(view, lambda member: self._is_reached_now(member, now_s))

    def _has_majorities(self, view: View, is_present: Callable[[MemberId], bool]) -> bool:
        groups = view.quorum_groups(self._context.journal.durable.active_epoch)
        present = {member for group in groups for member in group if is_present(member)}
        return has_majorities(present, groups)

    def _is_reached_now(self, member: MemberId, now_s: float) -> bool:
        peers = self._context.peers
        return peers.is_alive(member, now_s) and peers.is_fresh(member, now_s)

    def must_start(self, view: View | None, now_s: float) -> bool:
        """Return whether to start an election now. Also record since when there has been no primary."""
        if view is None or self._context.own_id not in view.members or self.leader_address(view, now_s):
            self._leaderless_since_s = None
            return False
        if self._leaderless_since_s is None:
            self._leaderless_since_s = now_s
        if not self._may_start(view, now_s):
            return False
        waited_s = now_s - self._leaderless_since_s
        return waited_s >= self._timeout_s(view, now_s)

    def _may_start(self, view: View, now_s: float) -> bool:
        context = self._context
        if now_s < self._earliest_start_s or not context.is_usable(context.own_id, now_s):
            return False
        if not self.reaches_majorities_now(view, now_s):
            return False
        if now_s < self._all_members_required_until_s and not all(
            self._is_reached_now(member, now_s) for member in view.members
        ):
            return False
        return not self._is_other_in_contact_with_primary(view, now_s)

    def _is_other_in_contact_with_primary(self, view: View, now_s: float) -> bool:
        """Return whether another member has contact with an active primary.

        A partition that separates only this member from that primary is no reason for an election.
        """
        pings = (self._context.peers.ping_of(member, now_s) for member in view.members)
        return any(
            ping.primary not in ("", self._context.own_id.address) and ping.view_epoch >= view.epoch
            for ping in pings
            if ping is not None
        )

    def _timeout_s(self, view: View, now_s: float) -> float:
        """Return the election time-out, staggered so that candidates start in the agreed order.

        A primary that is alive first gets time to activate its view.
        """
        context = self._context
        order = candidate_order(view)
        candidates_ahead = sum(
            context.is_usable(member, now_s) for member in order[: order.index(context.own_id)]
        )
        is_primary_alive = view.primary != context.own_id and context.is_usable(view.primary, now_s)
        timeout_s = context.timings.candidate_stagger_s * candidates_ahead
        return timeout_s + (context.timings.activation_timeout_s if is_primary_alive else 0.0)
