"""The node table: merging of reports, time-outs, and changes that add up to the complete table."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.membership.node_table import MAX_REMOVALS, NodeTable
from coveport.serving.model.node import Node, NodeState

TIMEOUT_S = 5.0


def node(
    incarnation: str = "i-1", sequence: int = 1, state: NodeState = NodeState.ACCEPTING, **times: float
) -> Node:
    return Node(incarnation, sequence, "chat", f"10.0.0.1:{incarnation}", "z1", "r1", 64, state, **times)


def node_at_shared_address(incarnation: str, sequence: int) -> Node:
    """Return a report of one of several incarnations at the same address."""
    return replace(node(incarnation, sequence), address="10.0.0.1:80")


def test_a_newer_report_wins_and_an_older_one_is_ignored() -> None:
    table = NodeTable(TIMEOUT_S)
    assert table.apply_report(node(sequence=5), 0.0)
    assert not table.apply_report(replace(node(sequence=4), slots=1), 0.1)
    [entry] = table.entries()
    assert entry.node.slots == 64


def test_draining_is_never_undone_within_an_incarnation() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node(sequence=1), 0.0)
    assert table.apply_report(node(sequence=2, state=NodeState.DRAINING), 0.1)
    table.apply_report(node(sequence=9), 0.2)
    [entry] = table.entries()
    assert entry.node.state is NodeState.DRAINING


def test_a_delayed_heartbeat_does_not_bring_back_a_deregistered_node() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node(sequence=1), 0.0)
    assert table.apply_report(node(state=NodeState.DEREGISTERED), 0.1)
    assert not table.apply_report(node(sequence=7), 0.2)
    assert len(table) == 0


def test_a_deregistration_of_an_unknown_node_leaves_a_tombstone() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node(state=NodeState.DEREGISTERED), 0.0)
    assert not table.apply_report(node(sequence=7), 0.2)
    assert len(table) == 0


def test_an_unchanged_heartbeat_is_no_change_but_resets_the_timeout() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node(sequence=1), 0.0)
    revision = table.revision
    assert not table.apply_report(node(sequence=2), 4.0)
    assert table.revision == revision
    assert table.expire(8.0) == []
    assert table.expire(9.1) == ["i-1"]


def test_timeouts_are_reset_after_this_coordinator_could_not_receive() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node(), 0.0)
    table.reset_timeouts(20.0)
    assert table.expire(20.1) == []
    assert table.expire(25.1) == ["i-1"]


def test_a_node_that_timed_out_comes_back_with_its_next_heartbeat() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node(sequence=1), 0.0)
    table.expire(6.0)
    assert table.apply_report(node(sequence=2), 7.0)
    assert "i-1" in table


def test_a_warm_up_counts_down_and_a_new_one_is_a_change() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node(sequence=1, warm_up_left_ms=3000.0), 0.0)
    assert not table.apply_report(node(sequence=2, warm_up_left_ms=2000.0), 1.0)
    [changed] = table.changes_since(0, 1.0).nodes
    assert changed.warm_up_left_ms == 2000.0
    assert not table.apply_report(node(sequence=3), 4.0)
    assert table.apply_report(node(sequence=4, warm_up_left_ms=3000.0), 5.0)


def test_a_revision_that_is_too_old_gets_the_complete_table() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node("stays"), 0.0)
    for number in range(MAX_REMOVALS + 1):
        table.apply_report(node(f"i-{number}"), 0.0)
        table.apply_report(node(f"i-{number}", state=NodeState.DEREGISTERED), 0.0)
    changes = table.changes_since(1, 0.0)
    assert changes.is_complete
    assert [changed.incarnation for changed in changes.nodes] == ["stays"]


report_steps = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.integers(1, 6),
        st.sampled_from(list(NodeState)),
        st.integers(0, 4000),
        st.booleans(),
    ),
    max_size=30,
)


@given(report_steps)
def test_changes_add_up_to_the_table(steps: list[tuple[str, int, NodeState, int, bool]]) -> None:
    """A subscriber that sometimes requests the changes since its revision has all entries of the table."""
    table = NodeTable(TIMEOUT_S)
    subscribed = dict[str, Node]()
    revision = -1
    now = 0.0
    for incarnation, sequence, state, elapsed_ms, is_requested in steps:
        now += elapsed_ms / 1000
        table.apply_report(node(incarnation, sequence, state), now)
        table.expire(now)
        if is_requested:
            changes = table.changes_since(revision, now)
            revision = changes.revision
            subscribed = {} if changes.is_complete else subscribed
            subscribed.update({changed.incarnation: changed for changed in changes.nodes})
            for removed in changes.removed:
                subscribed.pop(removed, None)
            assert {name: changed.state for name, changed in subscribed.items()} == {
                entry.node.incarnation: entry.node.state for entry in table.entries()
            }


@given(report_steps, st.randoms())
def test_the_order_of_reports_does_not_matter(
    steps: list[tuple[str, int, NodeState, int, bool]], random_source: object
) -> None:
    nodes = [node(incarnation, sequence, state) for incarnation, sequence, state, _, _ in steps]
    table = NodeTable(TIMEOUT_S)
    shuffled_table = NodeTable(TIMEOUT_S)
    for report in nodes:
        table.apply_report(report, 0.0)
    random_source.shuffle(nodes)  # type: ignore[attr-defined]
    for report in nodes:
        shuffled_table.apply_report(report, 0.0)

    def state_of(table: NodeTable) -> dict[str, NodeState]:
        return {entry.node.incarnation: entry.node.state for entry in table.entries()}

    assert state_of(table) == state_of(shuffled_table)


def test_a_restarted_node_replaces_its_previous_incarnation() -> None:
    """Regression: requests went to the previous incarnation of a restarted node for 5 s."""
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node_at_shared_address("before", 8), 0.0)
    revision = table.revision
    table.apply_report(node_at_shared_address("after", 1), 1.0)
    changes = table.changes_since(revision, 1.0)
    assert [changed.incarnation for changed in changes.nodes] == ["after"]
    assert changes.removed == ("before",)


def test_a_delayed_heartbeat_of_the_previous_incarnation_does_not_last() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node_at_shared_address("before", 8), 0.0)
    table.apply_report(node_at_shared_address("after", 1), 1.0)
    table.apply_report(node_at_shared_address("before", 9), 1.1)
    table.apply_report(node_at_shared_address("after", 2), 2.0)
    assert [entry.node.incarnation for entry in table.entries()] == ["after"]


def test_changes_since_each_revision_are_those_that_came_after_it() -> None:
    """Compare the changes with a scan of all entries and removals."""
    random_source = Random(5)
    table = NodeTable(5.0)
    alive: list[str] = []
    seen_incarnations: dict[str, int] = {}
    for step in range(300):
        if alive and random_source.random() < 0.3:
            incarnation = random_source.choice(alive)
            state = random_source.choice([NodeState.DRAINING, NodeState.DEREGISTERED])
        else:
            incarnation, state = f"i-{step}", NodeState.ACCEPTING
        address = (
            f"127.0.0.1:{random_source.randrange(1, 12)}" if state is NodeState.ACCEPTING else "127.0.0.1:99"
        )
        table.apply_report(Node(incarnation, step, "s", address, "a", "north", 8, state), 0.0)
        alive = [entry.node.incarnation for entry in table.entries()]
        seen_incarnations.setdefault(incarnation, step)
        for revision in (0, random_source.randrange(table.revision + 1), table.revision):
            changes = table.changes_since(revision, 0.0)
            expected = {entry.node.incarnation for entry in table.entries() if entry.revision > revision}
            assert {changed.incarnation for changed in changes.nodes} == expected
            assert not set(changes.removed) & set(alive)
    all_changes = table.changes_since(0, 0.0)
    assert set(all_changes.removed) | set(alive) == set(seen_incarnations)


def test_a_node_that_a_complete_table_lacks_is_removed_once_it_has_timed_out_here() -> None:
    """This table's time-outs were reset after a partition, those of the complete table's sender were not."""
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node("i-crashed", 3), 0.0)
    table.apply_report(node("i-live", 3), 0.0)
    table.apply_report(node("i-local", 3), 0.0)
    table.reset_timeouts(20.0)
    table.apply_report(node("i-local", 9), 19.0)  # during the partition it reported only to this coordinator
    revision = table.revision
    assert table.expire_unlisted({"i-live"}, 20.0) == ["i-crashed"]
    assert "i-crashed" not in table
    assert "i-live" in table
    assert "i-local" in table
    assert table.changes_since(revision, 20.0).removed == ("i-crashed",)
    assert table.expire_unlisted({"i-live"}, 20.0) == []


def test_a_node_that_was_kept_over_a_partition_is_not_sent_to_peers_until_it_reports() -> None:
    """Regression: a crashed node was sent as newly reported, and added again at every coordinator."""
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node("i-crashed", 3), 0.0)
    table.apply_report(node("i-live", 3), 0.0)
    table.reset_timeouts(20.0)
    assert table.confirmed_nodes(20.0) == ()
    table.apply_report(node("i-live", 4), 20.1)
    assert [confirmed.incarnation for confirmed in table.confirmed_nodes(20.2)] == ["i-live"]
    assert [confirmed.incarnation for confirmed in table.confirmed_nodes(20.1 + TIMEOUT_S)] == ["i-live"]


def test_an_unconfirmed_report_does_not_keep_a_node_that_a_later_complete_table_lacks() -> None:
    """The report and a complete table were sent before a partition, and arrive when it heals."""
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node("i-crashed", 3), 20.0, is_confirmed=False)
    table.apply_report(node("i-live", 3), 20.0, is_confirmed=False)
    assert table.confirmed_nodes(20.0) == ()
    assert table.expire_unlisted({"i-crashed", "i-live"}, 20.1) == []
    assert table.confirmed_nodes(20.1) == ()
    assert table.expire_unlisted({"i-live"}, 20.2) == ["i-crashed"]
    table.apply_report(node("i-live", 4), 20.3)
    assert [confirmed.incarnation for confirmed in table.confirmed_nodes(20.4)] == ["i-live"]


def test_a_node_that_a_complete_table_lacks_stays_until_its_time_out() -> None:
    """The sender of the table may not have received a report of the node yet."""
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node("i-new", 1), 10.0)
    assert table.expire_unlisted(set(), 10.0 + TIMEOUT_S) == []
    assert table.expire_unlisted(set(), 10.1 + TIMEOUT_S) == ["i-new"]


def test_a_draining_node_that_a_complete_table_lacks_is_not_brought_back_by_an_older_heartbeat() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node(sequence=2, state=NodeState.DRAINING), 0.0)
    assert table.expire_unlisted(set(), 20.0) == ["i-1"]
    assert not table.apply_report(node(sequence=1), 20.1)
    assert len(table) == 0


def test_a_node_that_was_removed_as_unlisted_comes_back_with_its_next_heartbeat() -> None:
    table = NodeTable(TIMEOUT_S)
    table.apply_report(node(sequence=1), 0.0)
    assert table.expire_unlisted(set(), 20.0) == ["i-1"]
    assert table.apply_report(node(sequence=2), 20.1)
    assert "i-1" in table
