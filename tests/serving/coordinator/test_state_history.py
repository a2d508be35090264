"""The changes that are sent to a proxy, by the sequence number of its state."""

from __future__ import annotations

import pytest

from coveport.serving.coordinator.state_history import MAX_CHANGES, StateHistory


def history_of(commands: int) -> StateHistory:
    """Return a history with the state of sequence number 0 and this many commands after it."""
    history = StateHistory()
    history.advance(0, b"state 0", None)
    for sequence in range(1, commands + 1):
        history.advance(sequence, b"state %d" % sequence, b"command %d" % sequence)
    return history


@pytest.mark.parametrize("sequence", [3, 4])
def test_no_changes_for_a_proxy_with_the_newest_state(sequence: int) -> None:
    assert history_of(3).changes_since(sequence) == ()


def test_changes_since_an_older_state_are_in_order() -> None:
    changes = history_of(3).changes_since(1)
    assert changes is not None
    assert [(change.sequence, change.command) for change in changes] == [(2, b"command 2"), (3, b"command 3")]


def test_complete_state_is_needed_without_any_state() -> None:
    assert history_of(3).changes_since(-1) is None


def test_complete_state_is_needed_when_too_many_changes_are_missing() -> None:
    history = history_of(MAX_CHANGES + 1)
    assert history.changes_since(0) is None
    changes = history.changes_since(1)
    assert changes is not None and len(changes) == MAX_CHANGES


@pytest.mark.parametrize(("sequence", "command"), [(4, None), (5, b"command 5")])
def test_complete_state_is_needed_after_a_gap(sequence: int, command: bytes | None) -> None:
    history = history_of(3)
    history.advance(sequence, b"snapshot", command)
    assert history.changes_since(3) is None
    assert (history.sequence, history.encoded_state) == (sequence, b"snapshot")


def test_changes_of_the_duties_alone_are_omitted() -> None:
    history = history_of(2)
    history.advance_duties()
    history.advance(4, b"state 4", b"command 4")
    history.advance_duties()
    assert history.sequence == 5
    changes = history.changes_since(1)
    assert changes is not None
    assert [change.sequence for change in changes] == [2, 4]
    assert history.changes_since(4) == ()
    assert history.encoded_state == b"state 4"


def test_complete_state_is_needed_when_too_many_changes_of_the_duties_are_missing() -> None:
    history = history_of(1)
    for _ in range(MAX_CHANGES):
        history.advance_duties()
    assert history.changes_since(0) is None
    assert history.changes_since(1) == ()
