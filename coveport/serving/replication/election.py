"""When a member should try to lead: nobody leads, its turn has come, and a majority is in reach."""

from __future__ import annotations

from coveport.serving.replication.identity import MemberId, View, has_majorities
from coveport.serving.replication.replica_context import ReplicaContext


def order_of(view: View) -> list[MemberId]:
    """The agreed order: replicas, the primary first, then the other members."""
    return list(view.replicas) + [member for member in sorted(view.members) if member not in view.replicas]


class Election:
    """Watches the primary of the newest view."""

    def __init__(self, context: ReplicaContext, now_s: float) -> None:
        self._context = context
        self._leaderless_since_s: float | None = None
        self._not_before_s = now_s
        self._listening_until_s = now_s

    def listen(self, until_s: float) -> None:
        """Until then make an attempt only when every member was heard: the process has just started."""
        self._listening_until_s = until_s

    def hold_off(self, until_s: float) -> None:
        """Start no attempt before that."""
        self._not_before_s = max(self._not_before_s, until_s)

    def leader(self, view: View | None, now_s: float) -> str:
        """Address of the active primary that we hear; empty: none."""
        if view is None or view.primary == self._context.own_id:
            return ""
        ping = self._context.peers.ping_of(view.primary, now_s)
        if ping is None or not ping.is_leading or ping.view_epoch < view.epoch:
            return ""
        return view.primary.address

    def reaches_majorities(self, view: View, now_s: float) -> bool:
        """Whether we have two-way contact with a majority of each group."""
        groups = view.groups(self._context.journal.durable.active_epoch)
        alive = {
            member for group in groups for member in group if self._context.peers.is_alive(member, now_s)
        }
        return has_majorities(alive, groups)

    def hears_majorities_now(self, view: View, now_s: float) -> bool:
        """Whether an attempt started now would be answered."""
        groups = view.groups(self._context.journal.durable.active_epoch)
        fresh = {member for group in groups for member in group if self._is_heard_now(member, now_s)}
        return has_majorities(fresh, groups)

    def _is_heard_now(self, member: MemberId, now_s: float) -> bool:
        peers = self._context.peers
        return peers.is_alive(member, now_s) and peers.is_fresh(member, now_s)

    def is_called(self, view: View | None, now_s: float) -> bool:
        """Whether to start an attempt now."""
        if view is None or self._context.own_id not in view.members or self.leader(view, now_s):
            self._leaderless_since_s = None
            return False
        if self._leaderless_since_s is None:
            self._leaderless_since_s = now_s
        if not self._may_stand(view, now_s):
            return False
        waited_s = now_s - self._leaderless_since_s
        return waited_s >= self._wait_s(view, now_s)

    def _may_stand(self, view: View, now_s: float) -> bool:
        context = self._context
        if now_s < self._not_before_s or not context.is_usable(context.own_id, now_s):
            return False
        if not self.hears_majorities_now(view, now_s):
            return False
        if now_s < self._listening_until_s and not all(
            self._is_heard_now(member, now_s) for member in view.members
        ):
            return False
        return not self._is_led_for_others(view, now_s)

    def _is_led_for_others(self, view: View, now_s: float) -> bool:
        """Whether another member hears an active primary: a cut between that one and us is no reason."""
        pings = (self._context.peers.ping_of(member, now_s) for member in view.members)
        return any(
            ping.primary not in ("", self._context.own_id.address) and ping.view_epoch >= view.epoch
            for ping in pings
            if ping is not None
        )

    def _wait_s(self, view: View, now_s: float) -> float:
        """First the agreed order's first; a primary that is alive gets time to begin."""
        context = self._context
        order = order_of(view)
        ahead = 0
        for member in order[: order.index(context.own_id)]:
            ahead += context.is_usable(member, now_s)
        is_primary_alive = view.primary != context.own_id and context.is_usable(view.primary, now_s)
        wait_s = context.timings.stagger_s * ahead
        return wait_s + (context.timings.settle_s if is_primary_alive else 0.0)
