"""The first view of all: the lowest seed that may bootstrap proposes it, and all such seeds must accept it.

A seed may bootstrap while its disk, created when the whole system started, holds no view. One that lost this
disk comes back with another and never may: the first view is made without it, if the others are a majority of
the seeds and none of them has a view. At most one bootstrap gets every acceptance that it needs:

- Two first views are proposed by majorities of the seeds, so one seed belongs to both, and it accepts one.
- A view that a seed accepted without the others counts as inactive: that seed may not bootstrap any more, and
  those that have not accepted are no majority, or see its view and wait for it.

A proposer that restarted proposes again, under a higher epoch than any that a seed promised. One whose
member lost its disk gives up: where nobody has accepted it proposes again without that seed, else a seed that
accepted starts an election, as in any view that nobody leads, and a majority of its members decides.
"""

from __future__ import annotations

from coveport.serving.replication.identity import NO_EPOCH, Epoch, MemberId, View
from coveport.serving.replication.messages import Accept, Accepted, Install, Installed, Message
from coveport.serving.replication.placement import choose_replicas
from coveport.serving.replication.replica_context import ReplicaContext


class Bootstrap:
    """The proposer's side."""

    def __init__(
        self,
        context: ReplicaContext,
        now_s: float,
        seeds: tuple[MemberId, ...],
        epoch: Epoch,
        state: bytes,
    ) -> None:
        machines = [context.machine(member, now_s) for member in seeds]
        own_machine = context.machine(context.own_id, now_s)
        replicas = choose_replicas(own_machine, machines, context.wanted_replicas(len(seeds)), ())
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
        """Take a seed's answer. One of another epoch is ignored."""
        match message:
            case Installed(epoch) if epoch == self.view.epoch and not self._is_installed():
                self._installed.add(sender)
                if self._is_installed():
                    self._send(now_s)
            case Accepted(epoch) if epoch == self.view.epoch:
                self._accepted.add(sender)
                self.is_active = self._accepted.issuperset(self.view.members)

    def has_lost_member(self) -> bool:
        """Return whether a seed that must answer never will: another disk is at its address."""
        return any(self._context.peers.is_replaced(member) for member in self.view.members)

    def tick(self, now_s: float) -> None:
        """Repeat what wasn't answered."""
        if now_s - self._last_send_s >= self._context.timings.resend_s:
            self._send(now_s)


def ready_seeds(context: ReplicaContext, seeds: tuple[str, ...], now_s: float) -> tuple[MemberId, ...] | None:
    """Return the members of the first view, ourselves first, if we may propose it; else None.

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
