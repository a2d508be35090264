"""An acknowledged leave of a node reaches every coordinator in touch, in all interleavings up to a bound."""

from __future__ import annotations

import os
from collections.abc import Callable, Collection
from typing import Any
from unittest import mock

import pytest
from report_explorer import NODE, SCENARIOS, BrokenPromiseError, End, Ground, Scenario, explore

from coveport.serving.coordinator.node_report_replication import Confirmation, NodeReportReplicator
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.node import Node, NodeState, deregistration
from coveport.serving.replication.identity import MemberId
from coveport.serving.wire.messages import NodeReports, NodeReportsAck

STATES = int(os.environ.get("COVEPORT_REPORT_STATES", "4000"))
VARIANT_STATES = 30_000
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_no_coordinator_in_touch_lists_who_left(scenario: Scenario) -> None:
    explored = explore(scenario, STATES)
    assert explored.states >= min(STATES, 500)
    assert explored.acknowledged_at_rest > 0, "the situation is reached"


def no_tombstones_told(self: NodeTable, now_s: float) -> list[Node]:
    """The table is told on a new connection, who left is not: as it was on main."""
    return []


def not_passed_on(self: NodeReportReplicator, nodes: tuple[Node, ...], sender: str) -> None:
    """Only the coordinator that was called tells others."""
    for node in nodes:
        self._table.apply_report(node, self._net.now_s())


def is_majority(self: End, others: Collection[MemberId]) -> bool:
    """Copies are counted, not members: as it was on main."""
    return True


def any_view_counts(self: NodeReportReplicator, confirmation: Confirmation) -> bool:
    """Whoever holds the report counts as a member of the view known here: as it was on main."""
    holders = list(confirmation.holders)
    return len(holders) >= self._copies and self._peers.is_majority(holders)


def closing_is_undone(self: Node, other: Node) -> bool:
    """The newest word wins whatever it says."""
    return self.sequence >= other.sequence or self.state is NodeState.ACCEPTING


def a_heartbeat_ends_a_tombstone(self: NodeTable, node: Node, now_s: float) -> bool:
    """A goodbye holds until the next heartbeat that comes in."""
    if node.state is NodeState.ACCEPTING:
        self._tombstones.pop(node.incarnation, None)
    return ORIGINAL_APPLY_REPORT(self, node, now_s)


@pytest.mark.parametrize(
    ("scenario", "target", "name", "variant"),
    [
        ("one coordinator is cut off", NodeTable, "deregistrations", no_tombstones_told),
        ("one is restarted", NodeTable, "deregistrations", no_tombstones_told),
        ("two that see the third don't see each other", NodeReportReplicator, "_take_in", not_passed_on),
        ("a member and an outsider are cut off together", End, "is_majority", is_majority),
        (
            "a former member is cut off with one that still is",
            NodeReportReplicator,
            "_is_kept",
            any_view_counts,
        ),
        ("copies of a heartbeat around a closing", Node, "is_newer_than", closing_is_undone),
        ("copies of a heartbeat around a goodbye", NodeTable, "apply_report", a_heartbeat_ends_a_tombstone),
    ],
)
def test_a_broken_variant_is_caught(
    scenario: str, target: type, name: str, variant: Callable[..., object]
) -> None:
    patched = mock.patch.object(target, name, variant)
    with patched, pytest.raises(BrokenPromiseError):
        explore(BY_NAME[scenario], VARIANT_STATES)


ORIGINAL_APPLY_REPORT = NodeTable.apply_report


def test_a_confirmation_meant_for_an_earlier_life_counts_for_nothing() -> None:
    """A peer that stood still answers what the coordinator asked before it was restarted."""
    ground = Ground(SCENARIOS[0])
    ground.ends["A"].reporting.begin_confirmation(deregistration(NODE))
    ground.take("restart", "A")
    stale = ground.links["A", "B"][0]
    assert isinstance(stale, NodeReports) and stale.confirmation_id
    asked = ground.ends["A"].reporting.begin_confirmation(deregistration("i-2"))
    ground.ends["A"].received("B", NodeReportsAck(stale.confirmation_id, ground.ends["B"].view_epoch()))
    assert not asked.done.done()
    ground.ends["A"].received("B", NodeReportsAck(asked.number, ground.ends["B"].view_epoch()))
    assert asked.done.done()


def test_numbers_that_begin_anew_in_each_life_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    original = NodeReportReplicator.__init__

    def begin_at_0(self: NodeReportReplicator, *arguments: Any) -> None:
        original(self, *arguments)
        self._number = 0

    monkeypatch.setattr(NodeReportReplicator, "__init__", begin_at_0)
    with pytest.raises(AssertionError):
        test_a_confirmation_meant_for_an_earlier_life_counts_for_nothing()


def test_after_all_coordinators_were_restarted_a_proxy_brings_back_who_left() -> None:
    """Nobody else remembers the goodbye; the heartbeat that was held up comes first and last."""
    for order in ("before", "after"):
        ground = Ground(SCENARIOS[0])
        end = ground.ends["A"]
        if order == "before":
            ground.take("heartbeat", "A")
        end.reporting.told_departed((NODE,))
        if order == "after":
            ground.take("heartbeat", "A")
        while any(ground.links.values()):
            ground.take(*next(step for step in ground.steps() if step[0] == "deliver"))
        for other in ground.ends.values():
            assert NODE not in other.table, f"{other.name}, heartbeat {order}"


def test_a_closing_node_that_fell_silent_is_not_brought_back_by_an_older_heartbeat() -> None:
    table = NodeTable(5.0)
    table.apply_report(Node("i-3", 4, "s", "10.0.0.1:1", "z", "r", 8, NodeState.DRAINING), 0.0)
    table.expire(6.0)
    assert not table.apply_report(Node("i-3", 3, "s", "10.0.0.1:1", "z", "r", 8, NodeState.ACCEPTING), 6.1)
    assert len(table) == 0


def test_what_is_remembered_of_a_goodbye_does_not_grow_by_passing_it_on() -> None:
    """The remaining time is told, so two coordinators that reconnect forever still forget."""
    one, other = NodeTable(5.0), NodeTable(5.0)
    one.apply_report(deregistration(NODE), 0.0)
    [told] = one.deregistrations(500.0)
    other.apply_report(told, 500.0)
    other.expire(601.0)
    assert other.deregistrations(601.0) == []
