"""The first view of all: the lowest of the seeds proposes it, and every seed must take it.

A member that isn't blank takes no founding view, so that two foundings can't both have all seeds. A founder
that forgot proposes anew under a higher epoch than any that a seed promised.
"""

from __future__ import annotations

from coveport.serving.replication.identity import Epoch, MemberId, View
from coveport.serving.replication.messages import Accept, Accepted, Install, Installed, Message
from coveport.serving.replication.placement import choose_replicas
from coveport.serving.replication.replica_context import ReplicaContext


class Bootstrap:
    """The founder's side."""

    def __init__(
        self, context: ReplicaContext, now_s: float, seeds: tuple[MemberId, ...], epoch: Epoch, state: bytes
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
        self._sent_at_s = now_s
        self._send(now_s)

    @property
    def seeds(self) -> tuple[MemberId, ...]:
        """The members to be."""
        return self.view.members

    def _is_installed(self) -> bool:
        return self._installed.issuperset(self.view.replicas)

    def _send(self, now_s: float) -> None:
        self._sent_at_s = now_s
        if not self._is_installed():
            for member in self.view.replicas:
                if member not in self._installed:
                    self._context.send(member, Install(self.view.epoch, 0, self._state))
            return
        for member in self.view.members:
            if member not in self._accepted:
                self._context.send(member, Accept(self.view, is_bootstrap=True))

    def handle(self, now_s: float, sender: MemberId, message: Message) -> None:
        """Take a seed's answer."""
        if isinstance(message, Installed) and message.epoch == self.view.epoch and not self._is_installed():
            self._installed.add(sender)
            if self._is_installed():
                self._send(now_s)
        elif isinstance(message, Accepted) and message.epoch == self.view.epoch:
            self._accepted.add(sender)
            self.is_active = self._accepted.issuperset(self.view.members)

    def tick(self, now_s: float) -> None:
        """Repeat what wasn't answered."""
        if now_s - self._sent_at_s >= self._context.timings.resend_s:
            self._send(now_s)
