"""Saturated and silent nodes, told by this proxy's own streams."""

from __future__ import annotations

from coveport.serving.proxy.node_pace import SILENT_S, NodePace

LONGEST_PAUSE_S = 0.4


def stream(pace: NodePace, node: str, pause_s: float, events: int, from_s: float = 0.0) -> float:
    now_s = from_s
    pace.note_heard(node, None, now_s)
    for _ in range(events):
        now_s += pause_s
        pace.note_heard(node, pause_s, now_s)
    return now_s


def test_ordinary_pauses_do_not_saturate() -> None:
    pace = NodePace()
    end_s = stream(pace, "n", 0.03, 60)
    assert not pace.is_saturated("n", LONGEST_PAUSE_S, end_s)


def test_long_pauses_in_a_row_saturate_and_quick_ones_end_it() -> None:
    pace = NodePace()
    end_s = stream(pace, "n", 0.31, 6)
    assert pace.is_saturated("n", LONGEST_PAUSE_S, end_s)
    end_s = stream(pace, "n", 0.03, 20, end_s)
    assert not pace.is_saturated("n", LONGEST_PAUSE_S, end_s)


def test_one_long_pause_among_many_events_is_no_saturation() -> None:
    pace = NodePace()
    end_s = stream(pace, "n", 0.03, 30)
    pace.note_heard("n", 0.35, end_s + 0.35)
    assert not pace.is_saturated("n", LONGEST_PAUSE_S, end_s + 0.35)


def test_what_was_seen_long_ago_is_forgotten() -> None:
    pace = NodePace()
    end_s = stream(pace, "n", 0.31, 6)
    assert not pace.is_saturated("n", LONGEST_PAUSE_S, end_s + 5.0)


def test_a_route_without_a_bound_on_pauses_knows_no_saturation() -> None:
    pace = NodePace()
    end_s = stream(pace, "n", 3.0, 6)
    assert not pace.is_saturated("n", 0.0, end_s)


def test_a_node_that_owes_and_says_nothing_is_silent() -> None:
    pace = NodePace()
    pace.note_sent("n", 10.0)
    assert pace.silent(9.99 + SILENT_S) == []
    assert pace.silent(10.1 + SILENT_S) == ["n"]


def test_whoever_owes_nothing_is_not_silent() -> None:
    pace = NodePace()
    pace.note_sent("n", 10.0)
    pace.note_ended("n")
    assert pace.silent(20.0) == []


def test_any_bytes_and_a_connect_end_the_silence() -> None:
    pace = NodePace()
    pace.note_sent("n", 10.0)
    pace.note_heard("n", None, 11.0)
    assert pace.silent(11.5) == []
    pace.note_reached("n", 12.0)
    assert pace.silent(12.5) == []
    assert pace.silent(12.1 + SILENT_S) == ["n"]


def test_further_requests_do_not_put_the_silence_off() -> None:
    pace = NodePace()
    for now_s in (10.0, 10.3, 10.6, 10.9):
        pace.note_sent("n", now_s)
    assert pace.silent(10.1 + SILENT_S) == ["n"]


def test_a_node_that_is_gone_is_remembered_while_it_owes() -> None:
    pace = NodePace()
    pace.note_sent("n", 10.0)
    pace.forget_all_but(frozenset())
    assert pace.silent(12.0) == ["n"]
    pace.note_ended("n")
    pace.forget_all_but(frozenset())
    assert pace.silent(12.0) == []
