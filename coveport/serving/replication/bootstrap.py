"""The first view of all: the lowest of the seeds proposes it, and every seed must accept it.

A member that has a view accepts no bootstrap view, so two bootstraps can't both have all seeds. A proposer
that restarted proposes again, under a higher epoch than any that a seed promised.
"""

from __future__ import annotations

from coveport.serving.replication.identity import Epoch, MemberId, View
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

    def tick(self, now_s: float) -> None:
        """Repeat what wasn't answered."""
        if now_s - self._last_send_s >= self._context.timings.resend_s:
            self._send(now_s)


def ready_seeds(context: ReplicaContext, seeds: tuple[str, ...], now_s: float) -> tuple[MemberId, ...] | None:
    """Return the members at the seeds' addresses, ourselves first, if we may propose the first view.

    Only the lowest seed proposes, and only when all others are usable and may bootstrap too; else None.
    """
    own_address = context.own_id.address
    if own_address not in seeds or own_address != min(seeds):
        return None
    members = [context.own_id]
    for address in seeds:
        if address == own_address:
            continue
        peer = context.peers.get(address)
        if peer is None or peer.identity is None or not context.is_usable(peer.identity, now_s):
            return None
        if peer.ping is None or not peer.ping.may_bootstrap:
            return None
        members.append(peer.identity)
    return tuple(members)
