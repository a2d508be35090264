"""An acknowledged deregistration reaches every connected coordinator, in all interleavings up to a bound."""

from __future__ import annotations

import os
from collections.abc import Callable, Collection
from typing import Any
from unittest import mock

import pytest
from report_explorer import (
    NODE,
    SCENARIOS,
    Scenario,
    SimulatedCluster,
    SimulatedCoordinator,
    StaleEntryError,
    explore,
)

from coveport.serving.coordinator.node_report_replication import NodeReportReplicator, PendingReport
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.node import Node, NodeState, deregistration
from coveport.serving.replication.identity import MemberId
from coveport.serving.wire.messages import NodeReports, NodeReportsAck

STATES = int(os.environ.get("COVEPORT_REPORT_STATES", "4000"))
VARIANT_STATES = 30_000
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_no_connected_coordinator_lists_a_deregistered_node(scenario: Scenario) -> None:
    report = explore(scenario, STATES)
    assert report.states >= min(STATES, 500)
    assert report.acknowledged_at_rest > 0, "the situation is reached"


def without_tombstones(self: NodeTable, now_s: float) -> list[Node]:
    """Send no tombstones on a new connection, as an earlier version did."""
    return []


def without_forwarding(self: NodeReportReplicator, nodes: tuple[Node, ...], sender: str) -> None:
    """Send reports to peers only from the coordinator that was called."""
    for node in nodes:
        self._table.apply_report(node, self._net.now_s())


def is_majority(self: SimulatedCoordinator, others: Collection[MemberId]) -> bool:
    """Count copies, not members, as an earlier version did."""
    return True


def any_view_counts(self: NodeReportReplicator, pending: PendingReport) -> bool:
    """Count each holder as a member of the view known here, as an earlier version did."""
    holders = list(pending.acknowledgements)
    return len(holders) >= self._required_acks and self._peers.is_majority(holders)


def draining_is_undone(self: Node, other: Node) -> bool:
    """Let the newest report win, whatever its state."""
    return self.sequence >= other.sequence or self.state is NodeState.ACCEPTING


def a_heartbeat_ends_a_tombstone(
    self: NodeTable, node: Node, now_s: float, *, is_confirmed: bool = True
) -> bool:
    """Drop a tombstone at the next heartbeat that comes in."""
    if node.state is NodeState.ACCEPTING:
        self._tombstones.pop(node.incarnation, None)
    return ORIGINAL_APPLY_REPORT(self, node, now_s, is_confirmed=is_confirmed)


@pytest.mark.parametrize(
    ("scenario", "target", "name", "variant"),
    [
        ("one coordinator is partitioned", NodeTable, "deregistrations", without_tombstones),
        ("one coordinator is restarted", NodeTable, "deregistrations", without_tombstones),
        (
            "two that reach the third don't reach each other",
            NodeReportReplicator,
            "_apply",
            without_forwarding,
        ),
        (
            "a member and an outsider are partitioned together",
            SimulatedCoordinator,
            "is_majority",
            is_majority,
        ),
        (
            "a former member is partitioned with a current one",
            NodeReportReplicator,
            "_is_replicated",
            any_view_counts,
        ),
        ("copies of a heartbeat around a drain", Node, "is_newer_than", draining_is_undone),
        (
            "copies of a heartbeat around a deregistration",
            NodeTable,
            "apply_report",
            a_heartbeat_ends_a_tombstone,
        ),
    ],
)
def test_a_broken_variant_is_caught(
    scenario: str, target: type, name: str, variant: Callable[..., object]
) -> None:
    patched = mock.patch.object(target, name, variant)
    with patched, pytest.raises(StaleEntryError):
        explore(BY_NAME[scenario], VARIANT_STATES)


ORIGINAL_APPLY_REPORT = NodeTable.apply_report


def test_a_confirmation_for_an_earlier_incarnation_is_ignored() -> None:
    """A peer that was frozen answers a request from before the coordinator's restart."""
    cluster = SimulatedCluster(SCENARIOS[0])
    cluster.coordinators["A"].reporting.start_replication(deregistration(NODE))
    cluster.take("restart", "A")
    stale = cluster.links["A", "B"][0]
    assert isinstance(stale, NodeReports) and stale.confirmation_id
    pending = cluster.coordinators["A"].reporting.start_replication(deregistration("i-2"))
    cluster.coordinators["A"].received(
        "B", NodeReportsAck(stale.confirmation_id, cluster.coordinators["B"].view_epoch())
    )
    assert not pending.replicated.done()
    cluster.coordinators["A"].received(
        "B", NodeReportsAck(pending.confirmation_id, cluster.coordinators["B"].view_epoch())
    )
    assert pending.replicated.done()


def test_confirmation_numbers_that_restart_with_each_incarnation_are_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = NodeReportReplicator.__init__

    def begin_at_0(self: NodeReportReplicator, *arguments: Any) -> None:
        original(self, *arguments)
        self._last_confirmation_id = 0

    monkeypatch.setattr(NodeReportReplicator, "__init__", begin_at_0)
    with pytest.raises(AssertionError):
        test_a_confirmation_for_an_earlier_incarnation_is_ignored()


def test_after_all_coordinators_restarted_a_proxy_restores_the_tombstones() -> None:
    """No coordinator has the tombstone; the delayed heartbeat comes before it and after it."""
    for order in ("before", "after"):
        cluster = SimulatedCluster(SCENARIOS[0])
        coordinator = cluster.coordinators["A"]
        if order == "before":
            cluster.take("heartbeat", "A")
        coordinator.reporting.receive_deregistered((NODE,))
        if order == "after":
            cluster.take("heartbeat", "A")
        while any(cluster.links.values()):
            cluster.take(*next(step for step in cluster.steps() if step[0] == "deliver"))
        for peer in cluster.coordinators.values():
            assert NODE not in peer.table, f"{peer.name}, heartbeat {order}"


def test_a_draining_node_that_timed_out_is_not_brought_back_by_an_older_heartbeat() -> None:
    table = NodeTable(5.0)
    table.apply_report(Node("i-3", 4, "s", "10.0.0.1:1", "z", "r", 8, NodeState.DRAINING), 0.0)
    table.expire(6.0)
    assert not table.apply_report(Node("i-3", 3, "s", "10.0.0.1:1", "z", "r", 8, NodeState.ACCEPTING), 6.1)
    assert len(table) == 0


def test_forwarding_a_tombstone_does_not_prolong_it() -> None:
    """The remaining time is sent, so two coordinators that reconnect forever still drop it."""
    table = NodeTable(5.0)
    peer_table = NodeTable(5.0)
    table.apply_report(deregistration(NODE), 0.0)
    [forwarded] = table.deregistrations(500.0)
    peer_table.apply_report(forwarded, 500.0)
    peer_table.expire(601.0)
    assert peer_table.deregistrations(601.0) == []
