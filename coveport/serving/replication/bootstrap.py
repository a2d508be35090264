"""Bootstrap: the lowest seed that may bootstrap proposes the first view, and all such seeds must accept it.

A seed may bootstrap while its disk, created when the whole system started, holds no view. A seed that lost
this disk comes back with a new one and may never bootstrap: the first view is formed without it, if the other
seeds are a majority and none of them has a view. At most one bootstrap gets every acceptance that it needs:

- Each first view has a majority of the seeds as its members, so two such views share a seed, and that seed
  accepts only one of them.
- A first view that only some of its members accepted counts as inactive. The seeds that accepted it may not
  bootstrap any more; the remaining seeds are no majority, or see that view in pings and propose none.

A proposer that restarted proposes again, under a higher epoch than any that a seed promised. A proposer gives
up when a member of its view lost its disk. If no seed has accepted the view, it proposes another without that
seed. Otherwise a seed that accepted starts an election, as in any view without an active primary, and a
majority of the members decides.
"""

from __future__ import annotations

from coveport.serving.replication.identity import NO_EPOCH, Epoch, MemberId, View
from coveport.serving.replication.messages import Accept, Accepted, Install, Installed, Message
from coveport.serving.replication.placement import choose_replicas
from coveport.serving.replication.replica_context import ReplicaContext


class Bootstrap:
    """The proposer's side of a bootstrap."""

    def __init__(
        self,
        context: ReplicaContext,
        now_s: float,
        seeds: tuple[MemberId, ...],
        epoch: Epoch,
        state: bytes,
    ) -> None:
        machines = [context.machine_status(member, now_s) for member in seeds]
        own_machine = context.machine_status(context.own_id, now_s)
        replicas = choose_replicas(own_machine, machines, context.target_replicas(len(seeds)), ())
        self.view = View(epoch, context.own_id, replicas, seeds)
        self.is_active = False
        self._context = context
        self._state = state
        self._installed: set[MemberId] = set()
        self._accepted: set[MemberId] = set()
        self._last_send_s = now_s
        self._send(now_s)

    def _is_installed(self) -> bool:
        return self._installed.issuperset(self.view.replicas)

    def _send(self, now_s: float) -> None:
        self._last_send_s = now_s
        if self._is_installed():
            self._send_accepts()
        else:
            self._send_installs()

    def _send_installs(self) -> None:
        for member in self.view.replicas:
            if member not in self._installed:
                self._context.send(member, Install(self.view.epoch, 0, self._state))

    def _send_accepts(self) -> None:
        for member in self.view.members:
            if member not in self._accepted:
                self._context.send(member, Accept(self.view, is_bootstrap=True))

    def handle(self, now_s: float, sender: MemberId, message: Message) -> None:
        """Count a seed's answer; ignore an answer with another epoch."""
        match message:
            case Installed(epoch) if epoch == self.view.epoch and not self._is_installed():
                self._installed.add(sender)
                if self._is_installed():
                    self._send(now_s)
            case Accepted(epoch) if epoch == self.view.epoch:
                self._accepted.add(sender)
                self.is_active = self._accepted.issuperset(self.view.members)

    def has_lost_member(self) -> bool:
        """Return whether a seed that must answer never will, since its machine now has another disk."""
        return any(self._context.peers.is_replaced(member) for member in self.view.members)

    def tick(self, now_s: float) -> None:
        """Resend the requests that weren't answered."""
        if now_s - self._last_send_s >= self._context.timings.resend_interval_s:
            self._send(now_s)


def ready_seeds(context: ReplicaContext, seeds: tuple[str, ...], now_s: float) -> tuple[MemberId, ...] | None:
    """Return the members of the first view, this member first; None if this member may not propose the view.

    All seeds must be usable. `seeds` are inner addresses.
    """
    own_address = context.own_id.address
    if own_address not in seeds:
        return None
    members = [context.own_id]
    for address in seeds:
        if address == own_address:
            continue
        peer = context.peers.get(address)
        if peer is None or peer.identity is None or not context.is_usable(peer.identity, now_s):
            return None
        if peer.ping is None or peer.ping.view_epoch != NO_EPOCH:
            return None
        if peer.ping.may_bootstrap:
            members.append(peer.identity)
    is_majority = 2 * len(members) > len(seeds)
    is_lowest = own_address == min(member.address for member in members)
    return tuple(members) if is_majority and is_lowest else None
