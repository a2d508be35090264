"""The node table: merged reports, silence where one could hear, differences that add up to the whole."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.membership.node_table import MAX_REMOVALS, NodeTable
from coveport.serving.model.node import Node, NodeState

SILENCE_S = 5.0


def node(
    incarnation: str = "i-1", sequence: int = 1, state: NodeState = NodeState.ACCEPTING, **other: float
) -> Node:
    return Node(incarnation, sequence, "chat", f"10.0.0.1:{incarnation}", "z1", "r1", 64, state, **other)


def restarted(incarnation: str, sequence: int) -> Node:
    """One of several incarnations at the same address."""
    return replace(node(incarnation, sequence), address="10.0.0.1:80")


def test_a_newer_report_wins_and_an_older_one_is_passed_over() -> None:
    table = NodeTable(SILENCE_S)
    assert table.apply_report(node(sequence=5), 0.0)
    assert not table.apply_report(replace(node(sequence=4), slots=1), 0.1)
    [entry] = table.entries()
    assert entry.node.slots == 64


def test_closing_is_never_undone_within_an_incarnation() -> None:
    table = NodeTable(SILENCE_S)
    table.apply_report(node(sequence=1), 0.0)
    assert table.apply_report(node(sequence=2, state=NodeState.DRAINING), 0.1)
    table.apply_report(node(sequence=9), 0.2)
    [entry] = table.entries()
    assert entry.node.state is NodeState.DRAINING


def test_a_late_heartbeat_does_not_bring_back_who_said_goodbye() -> None:
    table = NodeTable(SILENCE_S)
    table.apply_report(node(sequence=1), 0.0)
    assert table.apply_report(node(state=NodeState.DEREGISTERED), 0.1)
    assert not table.apply_report(node(sequence=7), 0.2)
    assert len(table) == 0


def test_a_goodbye_of_one_never_heard_of_is_remembered() -> None:
    table = NodeTable(SILENCE_S)
    table.apply_report(node(state=NodeState.DEREGISTERED), 0.0)
    assert not table.apply_report(node(sequence=7), 0.2)
    assert len(table) == 0


def test_an_unchanged_heartbeat_is_no_news_but_ends_the_silence() -> None:
    table = NodeTable(SILENCE_S)
    table.apply_report(node(sequence=1), 0.0)
    revision = table.revision
    assert not table.apply_report(node(sequence=2), 4.0)
    assert table.revision == revision
    assert table.expire(8.0) == []
    assert table.expire(9.1) == ["i-1"]


def test_silence_says_nothing_to_one_that_could_not_hear() -> None:
    table = NodeTable(SILENCE_S)
    table.apply_report(node(), 0.0)
    table.reset_timeouts(20.0)
    assert table.expire(20.1) == []
    assert table.expire(25.1) == ["i-1"]


def test_one_that_was_silent_comes_back_with_its_next_heartbeat() -> None:
    table = NodeTable(SILENCE_S)
    table.apply_report(node(sequence=1), 0.0)
    table.expire(6.0)
    assert table.apply_report(node(sequence=2), 7.0)
    assert "i-1" in table


def test_the_end_of_a_warm_up_counts_down_and_a_new_one_is_news() -> None:
    table = NodeTable(SILENCE_S)
    table.apply_report(node(sequence=1, warm_up_left_ms=3000.0), 0.0)
    assert not table.apply_report(node(sequence=2, warm_up_left_ms=2000.0), 1.0)
    [told] = table.changes_since(0, 1.0).nodes
    assert told.warm_up_left_ms == 2000.0
    assert not table.apply_report(node(sequence=3), 4.0)
    assert table.apply_report(node(sequence=4, warm_up_left_ms=3000.0), 5.0)


def test_a_revision_that_is_too_old_is_answered_with_the_whole_table() -> None:
    table = NodeTable(SILENCE_S)
    table.apply_report(node("stays"), 0.0)
    for number in range(MAX_REMOVALS + 1):
        table.apply_report(node(f"i-{number}"), 0.0)
        table.apply_report(node(f"i-{number}", state=NodeState.DEREGISTERED), 0.0)
    changes = table.changes_since(1, 0.0)
    assert changes.is_complete
    assert [one.incarnation for one in changes.nodes] == ["stays"]


reports = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.integers(1, 6),
        st.sampled_from(list(NodeState)),
        st.integers(0, 4000),
        st.booleans(),
    ),
    max_size=30,
)


@given(reports)
def test_differences_add_up_to_the_table(told: list[tuple[str, int, NodeState, int, bool]]) -> None:
    """A reader that asks now and then, with the revision it has, holds what the table holds."""
    table, copy, revision, now = NodeTable(SILENCE_S), dict[str, Node](), -1, 0.0
    for incarnation, sequence, state, pause_ms, does_ask in told:
        now += pause_ms / 1000
        table.apply_report(node(incarnation, sequence, state), now)
        table.expire(now)
        if does_ask:
            changes = table.changes_since(revision, now)
            revision = changes.revision
            copy = {} if changes.is_complete else copy
            copy.update({one.incarnation: one for one in changes.nodes})
            for gone in changes.removed:
                copy.pop(gone, None)
            assert {name: one.state for name, one in copy.items()} == {
                entry.node.incarnation: entry.node.state for entry in table.entries()
            }


@given(reports, st.randoms())
def test_the_order_in_which_reports_come_does_not_matter(
    told: list[tuple[str, int, NodeState, int, bool]], chance: object
) -> None:
    nodes = [node(incarnation, sequence, state) for incarnation, sequence, state, _, _ in told]
    one, other = NodeTable(SILENCE_S), NodeTable(SILENCE_S)
    for report in nodes:
        one.apply_report(report, 0.0)
    chance.shuffle(nodes)  # type: ignore[attr-defined]
    for report in nodes:
        other.apply_report(report, 0.0)

    def state_of(table: NodeTable) -> dict[str, NodeState]:
        return {entry.node.incarnation: entry.node.state for entry in table.entries()}

    assert state_of(one) == state_of(other)


def test_a_restarted_node_takes_the_place_of_its_incarnation_before() -> None:
    """Found by a day on which a node that came back was still sent to by its old incarnation for 5 s."""
    table = NodeTable(SILENCE_S)
    table.apply_report(restarted("before", 8), 0.0)
    revision = table.revision
    table.apply_report(restarted("after", 1), 1.0)
    changes = table.changes_since(revision, 1.0)
    assert [one.incarnation for one in changes.nodes] == ["after"]
    assert changes.removed == ("before",)


def test_a_late_heartbeat_of_the_incarnation_before_does_not_last() -> None:
    table = NodeTable(SILENCE_S)
    table.apply_report(restarted("before", 8), 0.0)
    table.apply_report(restarted("after", 1), 1.0)
    table.apply_report(restarted("before", 9), 1.1)
    table.apply_report(restarted("after", 2), 2.0)
    assert [entry.node.incarnation for entry in table.entries()] == ["after"]


def test_changes_since_each_revision_are_those_that_came_after_it() -> None:
    """As told from a plain scan of all entries and removals."""
    chance = Random(5)
    table = NodeTable(5.0)
    alive: list[str] = []
    heard: dict[str, int] = {}
    for step in range(300):
        if alive and chance.random() < 0.3:
            incarnation = chance.choice(alive)
            state = chance.choice([NodeState.DRAINING, NodeState.DEREGISTERED])
        else:
            incarnation, state = f"i-{step}", NodeState.ACCEPTING
        address = f"127.0.0.1:{chance.randrange(1, 12)}" if state is NodeState.ACCEPTING else "127.0.0.1:99"
        table.apply_report(Node(incarnation, step, "s", address, "a", "north", 8, state), 0.0)
        alive = [entry.node.incarnation for entry in table.entries()]
        heard.setdefault(incarnation, step)
        for revision in (0, chance.randrange(table.revision + 1), table.revision):
            changes = table.changes_since(revision, 0.0)
            expected = {one.node.incarnation for one in table.entries() if one.revision > revision}
            assert {one.incarnation for one in changes.nodes} == expected
            assert not set(changes.removed) & set(alive)
    everything = table.changes_since(0, 0.0)
    assert set(everything.removed) | set(alive) == set(heard)
