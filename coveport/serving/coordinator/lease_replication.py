"""Replicates the leases that proxies renew at this coordinator to the other coordinators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from coveport.serving.coordinator.peer_connections import PeerConnections
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.wire.messages import LeasesRenewed

REPLICATION_INTERVAL_S: Final = 0.5


class LeaseReplicator:
    """Owns the time at which renewals were last sent; the `LeaseTable` owns the leases."""

    def __init__(self, leases: LeaseTable, peers: PeerConnections, now_s: Callable[[], float]) -> None:
        self._leases = leases
        self._peers = peers
        self._now_s = now_s
        self._last_sent_s = 0.0

    def receive(self, message: LeasesRenewed) -> None:
        """Apply renewals that another coordinator has sent."""
        now_s = self._now_s()
        for lease in message.leases:
            self._leases.renew(lease, now_s, local=False)

    def send_all(self, address: str) -> None:
        """Send all live leases to a peer."""
        leases = tuple(self._leases.active(self._now_s()))
        if leases:
            self._peers.send(address, LeasesRenewed(leases))

    def send_renewed_if_due(self) -> None:
        """Call `send_renewed` if `REPLICATION_INTERVAL_S` has passed since the last renewals were sent."""
        if self._now_s() - self._last_sent_s >= REPLICATION_INTERVAL_S:
            self.send_renewed()

    def send_renewed(self) -> None:
        """Send the leases renewed here since the last call to all live peers."""
        since_s = self._last_sent_s
        self._last_sent_s = self._now_s()
        leases = tuple(self._leases.renewed_locally_since(since_s))
        if leases:
            for address in self._peers.live():
                self._peers.send(address, LeasesRenewed(leases))
