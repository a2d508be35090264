"""What the active primary does for the core unasked: it changes who takes part, and tells others the view."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.replication.identity import MemberId, View
from coveport.serving.replication.messages import Accept, ViewActivated
from coveport.serving.replication.peers import Peer
from coveport.serving.replication.placement import (
    MachineStatus,
    choose_members,
    choose_replicas,
    count_failure_domains,
)
from coveport.serving.replication.replica_context import ReplicaContext
from coveport.serving.replication.view_change import MembershipProposal


@dataclass(frozen=True, slots=True)
class ViewChangeRequest:
    """Why the primary wants a next view, and with whom."""

    reason: str
    is_urgent: bool
    proposal: MembershipProposal | None = None
    avoided: frozenset[MemberId] = frozenset()


class Reconfigurer:
    """Looks at every tick whether another view would be better."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._weighed: tuple[list[MachineStatus], list[MachineStatus]] | None = (
            None  # what members were chosen from last
        )
        self._chosen: tuple[MemberId, ...] | None = None

    def needed_view_change(self, view: View, slow: set[MemberId], now_s: float) -> ViewChangeRequest | None:
        """The next change of the view, if one is needed."""
        silent = {member for member in view.replicas if self._context.peers.is_suspect(member, now_s)}
        unwell = {member for member in view.replicas if not self._context.is_usable(member, now_s)} - silent
        proposal = self._proposal(view, now_s)
        if silent or slow:
            return ViewChangeRequest("replica silent or slow", True, proposal, frozenset(silent | slow))
        if proposal is not None:
            return ViewChangeRequest("members change", False, proposal)
        unwell.discard(self._context.own_id)
        if unwell and self._has_other_replicas(view, unwell, now_s):
            return ViewChangeRequest("replica unwell or leaving", True, None, frozenset(unwell))
        if self._is_better_spread(view, now_s):
            return ViewChangeRequest("replicas spread better", False)
        return None

    def _has_other_replicas(self, view: View, unwell: set[MemberId], now_s: float) -> bool:
        usable = [member for member in view.members if self._context.is_usable(member, now_s)]
        return len(usable) >= self._context.least_replicas(len(view.members)) and not unwell.intersection(
            usable
        )

    def _is_better_spread(self, view: View, now_s: float) -> bool:
        context = self._context
        steady = [member for member in view.members if self._is_steady(member, now_s)]
        machines = [context.machine(member, now_s) for member in steady]
        own_machine = context.machine(context.own_id, now_s)
        wanted = choose_replicas(
            own_machine, machines, context.wanted_replicas(len(view.members)), view.replicas
        )
        localities = {member: context.locality_of(member) for member in (*view.replicas, *wanted)}
        if len(wanted) != len(view.replicas):
            return len(wanted) > len(view.replicas)
        return count_failure_domains(wanted, localities) > count_failure_domains(view.replicas, localities)

    def _is_steady(self, member: MemberId, now_s: float) -> bool:
        if member == self._context.own_id:
            return True
        peer = self._context.peers.get(member.address)
        if peer is None or not self._context.is_usable(member, now_s):
            return False
        return now_s - peer.alive_since_s >= self._context.timings.steady_s

    def _proposal(self, view: View, now_s: float) -> MembershipProposal | None:
        context = self._context
        present = [context.machine(member, now_s) for member in view.members]
        newcomers = self._newcomers(view, now_s)
        if (present, newcomers) != self._weighed:
            self._weighed = present, newcomers
            self._chosen = choose_members(context.own_id, present, newcomers, context.tolerated_losses)
        members = self._chosen
        return MembershipProposal(view.epoch, tuple(sorted(members))) if members is not None else None

    def _newcomers(self, view: View, now_s: float) -> list[MachineStatus]:
        context = self._context
        known_addresses = {member.address for member in view.members}
        found = []
        for peer in context.peers.alive(now_s):
            member = peer.identity
            if member is None or member in view.members or not context.is_usable(member, now_s):
                continue
            if member.address in known_addresses or self._is_steady(member, now_s):
                found.append(context.machine(member, now_s))
        return sorted(found, key=lambda machine: machine.member)

    def serve(self, view: View, peer: Peer) -> None:
        """Send a peer that pinged what it lacks of the view."""
        ping = peer.ping
        if ping is None or (ping.view_epoch >= view.epoch and ping.active_epoch >= view.epoch):
            return
        if ping.view_epoch < view.epoch:
            self._context.outbox.send(peer.address, Accept(view, is_bootstrap=False))
        self._context.outbox.send(peer.address, ViewActivated(view.epoch))
