"""The body of operators' status calls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from coveport.serving.coordinator.peer_versions import PeerVersions
from coveport.serving.coordinator.quorum_status import QuorumStatus
from coveport.serving.coordinator.state_history import StateHistory
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.replication.replica import Replica
from coveport.serving.wire.traffic import Traffic


@dataclass(frozen=True, slots=True)
class StatusReporter:
    """Renders the status of a coordinator from its components; owns no state."""

    name: str  # name of the machine
    now_s: Callable[[], float]
    replica: Replica
    quorum_status: QuorumStatus
    history: StateHistory
    traffic: Traffic
    versions: PeerVersions
    leases: LeaseTable
    table: NodeTable
    describe_duties: Callable[[], dict[str, Any]]

    def describe(self) -> dict[str, Any]:
        """Return the body of the status call.

        The keys in the body are documented for operators and must not change.
        """
        coordinators = [endpoint.address for endpoint in self.quorum_status.live_coordinators()]
        proxies = [lease.name for lease in self.leases.active(self.now_s())]
        return {
            "name": self.name,
            "core": self.replica.describe(),
            "connected": self.quorum_status.has_quorum(),
            "state_sequence": self.history.sequence,
            "traffic": self.traffic.describe(),
            "protocol": self.versions.describe(coordinators, proxies),
            "coordinators": coordinators,
            "proxies": self._describe_proxies(),
            "nodes": self._describe_nodes(),
            "duties": self.describe_duties(),
        }

    def _describe_proxies(self) -> list[dict[str, Any]]:
        return [
            {"name": lease.name, "address": lease.address, "zone": lease.zone, "ready": lease.ready}
            for lease in self.leases.active(self.now_s())
        ]

    def _describe_nodes(self) -> list[dict[str, Any]]:
        now_s = self.now_s()
        return [
            {
                "incarnation": entry.node.incarnation,
                "service": entry.node.service,
                "address": entry.node.address,
                "zone": entry.node.zone,
                "state": entry.node.state.value,
                "silent_s": round(now_s - entry.last_seen_s, 2),
            }
            for entry in self.table.entries()
        ]
