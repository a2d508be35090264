"""The context that the modules of one replica share: settings, state holders, and the status of members."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coveport.serving.replication.acceptor import Acceptor
from coveport.serving.replication.committed_log import CommittedLog
from coveport.serving.replication.identity import Locality, MemberId
from coveport.serving.replication.journal import Journal
from coveport.serving.replication.messages import Message
from coveport.serving.replication.outbox import Outbox
from coveport.serving.replication.peers import Peers
from coveport.serving.replication.placement import MachineStatus
from coveport.serving.replication.timings import Timings


@dataclass(slots=True)
class ReplicaContext:
    """The shared objects and settings of one replica."""

    own_id: MemberId
    locality: Locality
    tolerated_losses: int  # number of machines
    timings: Timings
    jitter: Callable[[], float]  # returns a random number from 0 to 1
    outbox: Outbox
    journal: Journal
    acceptor: Acceptor
    committed_log: CommittedLog
    peers: Peers
    is_shutting_down: bool = False

    def send(self, member: MemberId, message: Message) -> None:
        """Send a message to a member, which may be this replica itself."""
        self.outbox.send(member.address, message)

    def is_usable(self, member: MemberId, now_s: float) -> bool:
        """Return whether a member is alive, has a healthy disk and isn't shutting down."""
        if member == self.own_id:
            return self.journal.is_healthy(now_s) and not self.is_shutting_down
        ping = self.peers.ping_of(member, now_s)
        return ping is not None and ping.is_healthy and not ping.is_shutting_down

    def locality_of(self, member: MemberId) -> Locality:
        """Return a member's failure domains; UNKNOWN_LOCALITY before its first ping."""
        return self.locality if member == self.own_id else self.peers.locality_of(member)

    def machine_status(self, member: MemberId, now_s: float) -> MachineStatus:
        """Return the status of a member's machine."""
        since_contact_s = self.peers.since_contact_s(member, now_s)
        is_replaced = self.peers.is_replaced(member)
        ping = self.peers.ping_of(member, now_s)
        is_shutting_down = ping is not None and ping.is_shutting_down
        return MachineStatus(
            member=member,
            locality=self.locality_of(member),
            is_usable=self.is_usable(member, now_s),
            is_lost=is_replaced or is_shutting_down or since_contact_s >= self.timings.replace_after_s,
            is_droppable=is_replaced or since_contact_s >= self.timings.drop_after_s,
        )

    def min_replicas(self, member_count: int) -> int:
        """Return the minimum number of replicas of a view; any live majority has enough members for it."""
        return min(self.tolerated_losses + 1, member_count // 2 + 1)

    def target_replicas(self, member_count: int) -> int:
        """Return the number of replicas of a view that has enough usable members."""
        return min(self.tolerated_losses + 1, member_count)
