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

MAX_STATES = int(os.environ.get("COVEPORT_REPORT_STATES", "4000"))
MAX_VARIANT_STATES = 30_000
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_no_connected_coordinator_lists_a_deregistered_node(scenario: Scenario) -> None:
    report = explore(scenario, MAX_STATES)
    assert report.states >= min(MAX_STATES, 500)
    assert report.checked_states > 0, "no checked state has an acknowledged deregistration"


def send_no_tombstones(self: NodeTable, now_s: float) -> list[Node]:
    """Send no tombstones on a new connection, as an earlier version did."""
    return []


def forward_nothing(self: NodeReportReplicator, nodes: tuple[Node, ...], sender: str) -> None:
    """Let only the coordinator that received a report send it to peers."""
    for node in nodes:
        self._table.apply_report(node, self._net.now_s())


# Keeps the name of the method that it replaces, by which the coordinators' bound method is pickled.
def is_majority(self: SimulatedCoordinator, holder_ids: Collection[MemberId]) -> bool:
    """Count every holder, also non-members, as an earlier version did."""
    return True


def ignore_holder_views(self: NodeReportReplicator, pending: PendingReport) -> bool:
    """Count each holder as a member of this coordinator's view, as an earlier version did."""
    holders = list(pending.acknowledgements)
    return len(holders) >= self._required_acks and self._peers.is_majority(holders)


def prefer_newest_report(self: Node, known_node: Node) -> bool:
    """Apply the newest report, even if it undoes draining."""
    return self.sequence >= known_node.sequence or self.state is NodeState.ACCEPTING


def drop_tombstone_at_heartbeat(
    self: NodeTable, node: Node, now_s: float, *, is_confirmed: bool = True
) -> bool:
    """Drop a tombstone when the next heartbeat is received."""
    if node.state is NodeState.ACCEPTING:
        self._tombstones.pop(node.incarnation, None)
    return ORIGINAL_APPLY_REPORT(self, node, now_s, is_confirmed=is_confirmed)


@pytest.mark.parametrize(
    ("scenario", "target", "attribute", "variant"),
    [
        ("one coordinator is partitioned", NodeTable, "deregistrations", send_no_tombstones),
        ("one coordinator is restarted", NodeTable, "deregistrations", send_no_tombstones),
        (
            "two coordinators reach the third one but not each other",
            NodeReportReplicator,
            "_apply",
            forward_nothing,
        ),
        (
            "a member and a non-member are partitioned together",
            SimulatedCoordinator,
            "is_majority",
            is_majority,
        ),
        (
            "a former member is partitioned with a current one",
            NodeReportReplicator,
            "_is_replicated",
            ignore_holder_views,
        ),
        ("copies of a heartbeat around a drain", Node, "is_newer_than", prefer_newest_report),
        (
            "copies of a heartbeat around a deregistration",
            NodeTable,
            "apply_report",
            drop_tombstone_at_heartbeat,
        ),
    ],
)
def test_a_broken_variant_is_caught(
    scenario: str, target: type, attribute: str, variant: Callable[..., object]
) -> None:
    patched = mock.patch.object(target, attribute, variant)
    with patched, pytest.raises(StaleEntryError):
        explore(SCENARIO_BY_NAME[scenario], MAX_VARIANT_STATES)


ORIGINAL_APPLY_REPORT = NodeTable.apply_report


def test_a_confirmation_for_an_earlier_incarnation_is_ignored() -> None:
    """A peer that was frozen answers a request that was sent before the coordinator's restart."""
    cluster = SimulatedCluster(SCENARIOS[0])
    cluster.coordinators["A"].reporting.start_replication(deregistration(NODE))
    cluster.apply_step("restart", "A")
    stale_reports = cluster.links["A", "B"][0]
    assert isinstance(stale_reports, NodeReports) and stale_reports.confirmation_id
    pending = cluster.coordinators["A"].reporting.start_replication(deregistration("i-2"))
    cluster.coordinators["A"].handle_message(
        "B", NodeReportsAck(stale_reports.confirmation_id, cluster.coordinators["B"].view_epoch())
    )
    assert not pending.replicated.done()
    cluster.coordinators["A"].handle_message(
        "B", NodeReportsAck(pending.confirmation_id, cluster.coordinators["B"].view_epoch())
    )
    assert pending.replicated.done()


def test_confirmation_numbers_that_restart_with_each_incarnation_are_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = NodeReportReplicator.__init__

    def restart_numbers(self: NodeReportReplicator, *arguments: Any) -> None:
        original(self, *arguments)
        self._last_confirmation_id = 0

    monkeypatch.setattr(NodeReportReplicator, "__init__", restart_numbers)
    with pytest.raises(AssertionError):
        test_a_confirmation_for_an_earlier_incarnation_is_ignored()


def test_after_all_coordinators_restarted_a_proxy_restores_the_tombstones() -> None:
    """No coordinator has the tombstone; the delayed heartbeat arrives before or after the proxy's report."""
    for order in ("before", "after"):
        cluster = SimulatedCluster(SCENARIOS[0])
        coordinator = cluster.coordinators["A"]
        if order == "before":
            cluster.apply_step("heartbeat", "A")
        coordinator.reporting.receive_deregistered((NODE,))
        if order == "after":
            cluster.apply_step("heartbeat", "A")
        while any(cluster.links.values()):
            cluster.apply_step(*next(step for step in cluster.steps() if step[0] == "deliver"))
        for peer in cluster.coordinators.values():
            assert NODE not in peer.table, f"{peer.name}, heartbeat {order}"


def test_a_draining_node_that_timed_out_is_not_brought_back_by_an_older_heartbeat() -> None:
    table = NodeTable(5.0)
    table.apply_report(Node("i-3", 4, "s", "10.0.0.1:1", "z", "r", 8, NodeState.DRAINING), 0.0)
    table.expire(6.0)
    assert not table.apply_report(Node("i-3", 3, "s", "10.0.0.1:1", "z", "r", 8, NodeState.ACCEPTING), 6.1)
    assert len(table) == 0


def test_forwarding_a_tombstone_does_not_prolong_it() -> None:
    """The remaining time is sent, so two coordinators that keep reconnecting still drop the tombstone."""
    table = NodeTable(5.0)
    peer_table = NodeTable(5.0)
    table.apply_report(deregistration(NODE), 0.0)
    [forwarded] = table.deregistrations(500.0)
    peer_table.apply_report(forwarded, 500.0)
    peer_table.expire(601.0)
    assert peer_table.deregistrations(601.0) == []
