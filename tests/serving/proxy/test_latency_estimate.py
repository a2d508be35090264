"""Detection of saturated and unresponsive nodes from this proxy's streams."""

from __future__ import annotations

from coveport.serving.proxy.latency_estimate import UNRESPONSIVE_S, LatencyEstimator

GAP_TARGET_S = 0.4


def record_stream(
    latency: LatencyEstimator, node: str, gap_s: float, gap_count: int, from_s: float = 0.0
) -> float:
    """Record a stream with equal gaps, and return the time of its last event."""
    now_s = from_s
    latency.record_received(node, None, now_s)
    for _ in range(gap_count):
        now_s += gap_s
        latency.record_received(node, gap_s, now_s)
    return now_s


def test_ordinary_gaps_do_not_saturate() -> None:
    latency = LatencyEstimator()
    end_s = record_stream(latency, "n", 0.03, 60)
    assert not latency.is_saturated("n", GAP_TARGET_S, end_s)


def test_long_gaps_in_a_row_saturate_until_short_ones_follow() -> None:
    latency = LatencyEstimator()
    end_s = record_stream(latency, "n", 0.31, 6)
    assert latency.is_saturated("n", GAP_TARGET_S, end_s)
    end_s = record_stream(latency, "n", 0.03, 20, end_s)
    assert not latency.is_saturated("n", GAP_TARGET_S, end_s)


def test_one_long_gap_among_many_events_is_no_saturation() -> None:
    latency = LatencyEstimator()
    end_s = record_stream(latency, "n", 0.03, 30)
    latency.record_received("n", 0.35, end_s + 0.35)
    assert not latency.is_saturated("n", GAP_TARGET_S, end_s + 0.35)


def test_gaps_of_long_ago_have_decayed() -> None:
    latency = LatencyEstimator()
    end_s = record_stream(latency, "n", 0.31, 6)
    assert not latency.is_saturated("n", GAP_TARGET_S, end_s + 5.0)


def test_no_node_is_saturated_for_a_route_without_a_gap_target() -> None:
    latency = LatencyEstimator()
    end_s = record_stream(latency, "n", 3.0, 6)
    assert not latency.is_saturated("n", 0.0, end_s)


def test_node_with_a_pending_request_that_sends_nothing_is_unresponsive() -> None:
    latency = LatencyEstimator()
    latency.record_forwarded("n", 10.0)
    assert latency.unresponsive(9.99 + UNRESPONSIVE_S) == []
    assert latency.unresponsive(10.1 + UNRESPONSIVE_S) == ["n"]


def test_node_without_pending_requests_is_not_unresponsive() -> None:
    latency = LatencyEstimator()
    latency.record_forwarded("n", 10.0)
    latency.record_ended("n")
    assert latency.unresponsive(20.0) == []


def test_any_bytes_or_a_connect_show_that_a_node_responds() -> None:
    latency = LatencyEstimator()
    latency.record_forwarded("n", 10.0)
    latency.record_received("n", None, 11.0)
    assert latency.unresponsive(11.5) == []
    latency.record_reachable("n", 12.0)
    assert latency.unresponsive(12.5) == []
    assert latency.unresponsive(12.1 + UNRESPONSIVE_S) == ["n"]


def test_further_requests_do_not_postpone_unresponsiveness() -> None:
    latency = LatencyEstimator()
    for now_s in (10.0, 10.3, 10.6, 10.9):
        latency.record_forwarded("n", now_s)
    assert latency.unresponsive(10.1 + UNRESPONSIVE_S) == ["n"]


def test_removed_node_is_kept_while_requests_are_pending() -> None:
    latency = LatencyEstimator()
    latency.record_forwarded("n", 10.0)
    latency.forget_all_but(frozenset())
    assert latency.unresponsive(12.0) == ["n"]
    latency.record_ended("n")
    latency.forget_all_but(frozenset())
    assert latency.unresponsive(12.0) == []
