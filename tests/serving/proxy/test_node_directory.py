"""Merging of reports on nodes from coordinators that may lag behind."""

from __future__ import annotations

import pytest

from coveport.serving.model.node import Node, NodeState
from coveport.serving.proxy.node_directory import MAX_TOMBSTONES, TOMBSTONE_REPORT_S, NodeDirectory, Nodes
from coveport.serving.wire.messages import Update


def node(sequence: int = 1, state: NodeState = NodeState.ACCEPTING, incarnation: str = "i-1") -> Node:
    return Node(incarnation, sequence, "chat", "10.0.0.1:80", "z1", "r1", 64, state)


def update(
    *nodes: Node,
    removed: tuple[str, ...] = (),
    deregistered: tuple[str, ...] = (),
    is_full_table: bool = False,
) -> Update:
    return Update(1, True, True, "t", 1, is_full_table, nodes, removed, deregistered, 1, None, (), (), 0)


def run(*updates: Update) -> tuple[NodeDirectory, Nodes]:
    directory, nodes = NodeDirectory(), Nodes()
    for at_s, next_update in enumerate(updates):
        nodes = directory.merge(nodes, next_update, float(at_s))
    return directory, nodes


@pytest.mark.parametrize(
    "stale_update", [update(node(2)), update(node(9), is_full_table=True)], ids=["difference", "full table"]
)
@pytest.mark.parametrize(
    "deregistration",
    [
        update(deregistered=("i-1",)),
        update(removed=("i-1",), deregistered=("i-1",)),
        update(deregistered=("i-1",), is_full_table=True),
    ],
    ids=["alone", "with the removal", "in a full table"],
)
def test_deregistered_node_is_not_added_by_a_coordinator_that_is_behind(
    deregistration: Update, stale_update: Update
) -> None:
    _, nodes = run(update(node(1)), deregistration, stale_update)
    assert "i-1" not in nodes


def test_node_deregistered_before_it_was_known_is_not_added() -> None:
    _, nodes = run(update(deregistered=("i-1",)), update(node(1)))
    assert "i-1" not in nodes


def test_draining_is_undone_neither_by_an_older_report_nor_by_a_removal() -> None:
    draining = update(node(5, NodeState.DRAINING))
    _, nodes = run(draining, update(node(9)))
    assert nodes["i-1"].node.state is NodeState.DRAINING
    _, nodes = run(draining, update(removed=("i-1",)), update(node(4)))
    assert "i-1" not in nodes


def test_node_removed_for_missed_heartbeats_comes_back() -> None:
    _, nodes = run(update(node(1)), update(removed=("i-1",)), update(node(2)))
    assert nodes["i-1"].node.sequence == 2


def test_update_without_changes_returns_the_same_map() -> None:
    directory, nodes = run(update(node(3)))
    assert directory.merge(nodes, update(node(2), deregistered=("i-9",)), 2.0) is nodes


def test_recent_tombstones_are_reported_and_bounded() -> None:
    directory, _ = run(update(deregistered=("i-1",)))
    assert directory.recently_deregistered(TOMBSTONE_REPORT_S) == ("i-1",)
    assert directory.recently_deregistered(TOMBSTONE_REPORT_S + 0.1) == ()
    incarnations = tuple(f"i-{number}" for number in range(MAX_TOMBSTONES + 50))
    directory, _ = run(update(deregistered=incarnations))
    assert len(directory.recently_deregistered(0.0)) == MAX_TOMBSTONES
