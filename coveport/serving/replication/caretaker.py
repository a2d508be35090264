"""What the active primary does for the core unasked: it changes who takes part, and tells others the view."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.replication.composition import Machine, choose_members, choose_replicas, spread
from coveport.serving.replication.identity import MemberId, View
from coveport.serving.replication.messages import Accept, ViewActivated
from coveport.serving.replication.parts import Parts
from coveport.serving.replication.peers import Peer
from coveport.serving.replication.takeover import Wish


@dataclass(frozen=True, slots=True)
class Change:
    """Why the primary wants a next view, and with whom."""

    reason: str
    is_urgent: bool
    wish: Wish | None = None
    avoided: frozenset[MemberId] = frozenset()


class Caretaker:
    """Looks at every tick whether another view would be better."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._weighed: tuple[list[Machine], list[Machine]] | None = None  # what members were chosen from last
        self._chosen: tuple[MemberId, ...] | None = None

    def wanted_change(self, view: View, slow: set[MemberId], now_s: float) -> Change | None:
        """The next change of the view, if one is needed."""
        silent = {member for member in view.replicas if self._parts.peers.is_suspect(member, now_s)}
        unwell = {member for member in view.replicas if not self._parts.is_usable(member, now_s)} - silent
        wish = self._wish(view, now_s)
        if silent or slow:
            return Change("replica silent or slow", True, wish, frozenset(silent | slow))
        if wish is not None:
            return Change("members change", False, wish)
        unwell.discard(self._parts.own)
        if unwell and self._has_other_replicas(view, unwell, now_s):
            return Change("replica unwell or leaving", True, None, frozenset(unwell))
        if self._is_better_spread(view, now_s):
            return Change("replicas spread better", False)
        return None

    def _has_other_replicas(self, view: View, unwell: set[MemberId], now_s: float) -> bool:
        usable = [member for member in view.members if self._parts.is_usable(member, now_s)]
        return len(usable) >= self._parts.least_replicas(len(view.members)) and not unwell.intersection(
            usable
        )

    def _is_better_spread(self, view: View, now_s: float) -> bool:
        parts = self._parts
        steady = [member for member in view.members if self._is_steady(member, now_s)]
        machines = [parts.machine(member, now_s) for member in steady]
        own = parts.machine(parts.own, now_s)
        wanted = choose_replicas(own, machines, parts.wanted_replicas(len(view.members)), view.replicas)
        localities = {member: parts.locality_of(member) for member in (*view.replicas, *wanted)}
        if len(wanted) != len(view.replicas):
            return len(wanted) > len(view.replicas)
        return spread(wanted, localities) > spread(view.replicas, localities)

    def _is_steady(self, member: MemberId, now_s: float) -> bool:
        if member == self._parts.own:
            return True
        peer = self._parts.peers.get(member.address)
        if peer is None or not self._parts.is_usable(member, now_s):
            return False
        return now_s - peer.alive_since_s >= self._parts.timings.steady_s

    def _wish(self, view: View, now_s: float) -> Wish | None:
        parts = self._parts
        present = [parts.machine(member, now_s) for member in view.members]
        newcomers = self._newcomers(view, now_s)
        if (present, newcomers) != self._weighed:
            self._weighed = present, newcomers
            self._chosen = choose_members(parts.own, present, newcomers, parts.tolerated_losses)
        members = self._chosen
        return Wish(view.epoch, tuple(sorted(members))) if members is not None else None

    def _newcomers(self, view: View, now_s: float) -> list[Machine]:
        parts = self._parts
        known_addresses = {member.address for member in view.members}
        found = []
        for peer in parts.peers.alive(now_s):
            member = peer.identity
            if member is None or member in view.members or not parts.is_usable(member, now_s):
                continue
            if member.address in known_addresses or self._is_steady(member, now_s):
                found.append(parts.machine(member, now_s))
        return sorted(found, key=lambda machine: machine.member)

    def serve(self, view: View, peer: Peer) -> None:
        """Send a peer that pinged what it lacks of the view."""
        ping = peer.ping
        if ping is None or (ping.view_epoch >= view.epoch and ping.active_epoch >= view.epoch):
            return
        if ping.view_epoch < view.epoch:
            self._parts.outbox.send(peer.address, Accept(view, is_bootstrap=False))
        self._parts.outbox.send(peer.address, ViewActivated(view.epoch))
