"""Decides, at the active primary, when a view with other replicas or members is needed."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.replication.identity import MemberId, View
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
    """The reason for a view change, and its constraints on members and replicas."""

    reason: str
    is_urgent: bool  # whether to start the view change without waiting for `view_change_interval_s`
    proposal: MembershipProposal | None = None
    avoided: frozenset[MemberId] = frozenset()  # members that shouldn't be replicas of the next view


@dataclass(frozen=True, slots=True)
class MachineStatuses:
    """The machines among which members are chosen."""

    current: list[MachineStatus]  # the members of the view
    newcomers: list[MachineStatus]  # coordinators that could become members


class Reconfigurer:
    """Compares the view, at every tick, with the best view that the available machines allow."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        # To choose the members, up to 1,023 sets are rated, so the choice is cached until a status changes.
        self._rated_statuses: MachineStatuses | None = None
        self._chosen_members: tuple[MemberId, ...] | None = None

    def needed_view_change(self, view: View, slow: set[MemberId], now_s: float) -> ViewChangeRequest | None:
        """Return the view change that is needed now; None if no view change is needed.

        `slow` are the backups that have not acknowledged the command in flight in time.
        """
        context = self._context
        suspects = {member for member in view.replicas if context.peers.is_suspect(member, now_s)}
        impaired = {member for member in view.replicas if not context.is_usable(member, now_s)} - suspects
        proposal = self._proposal(view, now_s)
        if suspects or slow:
            return ViewChangeRequest(
                "replica suspect or slow",
                is_urgent=True,
                proposal=proposal,
                avoided=frozenset(suspects | slow),
            )
        if proposal is not None:
            return ViewChangeRequest("members change", is_urgent=False, proposal=proposal)
        impaired.discard(context.own_id)
        if impaired and self._can_replace(view, impaired, now_s):
            return ViewChangeRequest(
                "replica unhealthy or shutting down", is_urgent=True, avoided=frozenset(impaired)
            )
        if self._has_better_replicas(view, now_s):
            return ViewChangeRequest("replicas in more failure domains", is_urgent=False)
        return None

    def _can_replace(self, view: View, impaired: set[MemberId], now_s: float) -> bool:
        usable = {member for member in view.members if self._context.is_usable(member, now_s)}
        return len(usable) >= self._context.min_replicas(len(view.members)) and usable.isdisjoint(impaired)

    def _has_better_replicas(self, view: View, now_s: float) -> bool:
        """Return whether more replicas are possible, or the same number in more regions or zones."""
        context = self._context
        stable = [member for member in view.members if self._is_alive_long_enough(member, now_s)]
        machines = [context.machine_status(member, now_s) for member in stable]
        own_machine = context.machine_status(context.own_id, now_s)
        count = context.target_replicas(len(view.members))
        wanted = choose_replicas(own_machine, machines, count, view.replicas)
        if len(wanted) != len(view.replicas):
            return len(wanted) > len(view.replicas)
        localities = {member: context.locality_of(member) for member in (*view.replicas, *wanted)}
        return count_failure_domains(wanted, localities) > count_failure_domains(view.replicas, localities)

    def _is_alive_long_enough(self, member: MemberId, now_s: float) -> bool:
        if member == self._context.own_id:
            return True
        peer = self._context.peers.get(member.address)
        if peer is None or not self._context.is_usable(member, now_s):
            return False
        return now_s - peer.alive_since_s >= self._context.timings.min_alive_s

    def _proposal(self, view: View, now_s: float) -> MembershipProposal | None:
        context = self._context
        current = [context.machine_status(member, now_s) for member in view.members]
        statuses = MachineStatuses(current, self._newcomers(view, now_s))
        if statuses != self._rated_statuses:
            self._rated_statuses = statuses
            self._chosen_members = choose_members(
                context.own_id, statuses.current, statuses.newcomers, context.tolerated_losses
            )
        if self._chosen_members is None:
            return None
        return MembershipProposal(view.epoch, tuple(sorted(self._chosen_members)))

    def _newcomers(self, view: View, now_s: float) -> list[MachineStatus]:
        """Return usable coordinators that could become members.

        A coordinator at a member's address has replaced that member, and is exempt from `min_alive_s`.
        """
        context = self._context
        member_addresses = {member.address for member in view.members}
        newcomers = []
        for peer in context.peers.alive(now_s):
            candidate = peer.identity
            if candidate is None or candidate in view.members or not context.is_usable(candidate, now_s):
                continue
            if candidate.address in member_addresses or self._is_alive_long_enough(candidate, now_s):
                newcomers.append(context.machine_status(candidate, now_s))
        return sorted(newcomers, key=lambda machine: machine.member)
