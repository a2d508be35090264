"""Detection of nodes that are too slow for long prompts."""

from __future__ import annotations

from coveport.serving.proxy.overload_estimate import (
    GAPS_PER_MEAN,
    MIN_MEANS,
    NEAR_LIMIT_TTL_S,
    WORST_GAP_TTL_S,
    OverloadEstimator,
    StreamGaps,
)

GAP_TARGET_S = 0.4
FAST_S, SLOW_S = 0.030, 0.039
ENOUGH_EVENTS = 2 * MIN_MEANS


def record_stream(estimator: OverloadEstimator, node: str, gaps_s: list[float]) -> None:
    """Record the events of one stream at time 0, before the times of the tests."""
    gaps = StreamGaps()
    now_s = 0.0
    gaps.record_event(now_s)
    for gap_s in gaps_s:
        now_s += gap_s
        recorded_gap_s = gaps.record_event(now_s)
        assert recorded_gap_s is not None
        estimator.record_gap(node, recorded_gap_s, gaps.mean_s, GAP_TARGET_S, 0.0)


def record_worst_gap(estimator: OverloadEstimator, node: str, gap_s: float, now_s: float = 1.0) -> None:
    estimator.record_gap(node, gap_s, None, GAP_TARGET_S, now_s)


def test_mean_is_known_after_enough_gaps() -> None:
    gaps = StreamGaps()
    assert [gaps.record_event(float(second)) for second in range(GAPS_PER_MEAN)][:2] == [None, 1.0]
    assert gaps.mean_s is None
    gaps.record_event(GAPS_PER_MEAN + 5.0)
    assert gaps.mean_s == (GAPS_PER_MEAN + 5.0) / GAPS_PER_MEAN


def test_gap_near_the_target_overloads_for_a_while_and_an_outage_does_not() -> None:
    estimator = OverloadEstimator()
    record_worst_gap(estimator, "near", 0.37)
    record_worst_gap(estimator, "cut off", 5.0)
    record_worst_gap(estimator, "fast", 0.35)
    overloaded = [estimator.is_overloaded(node, GAP_TARGET_S, 2.0) for node in ("near", "cut off", "fast")]
    assert overloaded == [True, False, False]
    assert not estimator.is_overloaded("near", GAP_TARGET_S, 1.0 + NEAR_LIMIT_TTL_S)


def test_worst_gap_of_a_fast_node_predicts_a_longer_one_on_a_slow_node() -> None:
    estimator = OverloadEstimator()
    record_stream(estimator, "fast", [FAST_S] * ENOUGH_EVENTS)
    record_stream(estimator, "slow", [SLOW_S] * ENOUGH_EVENTS)
    record_stream(estimator, "as fast", [FAST_S * 1.08] * ENOUGH_EVENTS)
    assert not estimator.is_overloaded("slow", GAP_TARGET_S, 1.0)
    record_worst_gap(estimator, "fast", 0.34)
    assert estimator.is_overloaded("slow", GAP_TARGET_S, 1.0)
    assert not estimator.is_overloaded("fast", GAP_TARGET_S, 1.0)
    assert not estimator.is_overloaded("as fast", GAP_TARGET_S, 1.0), (
        "the node is as fast, so its expected gap of 0.367 s does not count"
    )
    assert not estimator.is_overloaded("slow", GAP_TARGET_S, 1.0 + WORST_GAP_TTL_S)


def test_expected_gap_within_the_target_overloads_nothing() -> None:
    estimator = OverloadEstimator()
    record_stream(estimator, "fast", [FAST_S] * ENOUGH_EVENTS)
    record_stream(estimator, "slow", [SLOW_S] * ENOUGH_EVENTS)
    record_worst_gap(estimator, "fast", 0.25)
    assert not estimator.is_overloaded("slow", GAP_TARGET_S, 1.0)


def test_speed_is_unknown_after_few_events() -> None:
    estimator = OverloadEstimator()
    record_stream(estimator, "fast", [FAST_S] * ENOUGH_EVENTS)
    record_stream(estimator, "slow", [SLOW_S] * (GAPS_PER_MEAN + MIN_MEANS - 2))
    record_worst_gap(estimator, "fast", 0.34)
    assert not estimator.is_overloaded("slow", GAP_TARGET_S, 1.0)


def test_neither_long_prefills_nor_jitter_make_a_node_look_slow() -> None:
    estimator = OverloadEstimator()
    jitter = [FAST_S - 0.012, FAST_S + 0.012]
    for _ in range(10):
        record_stream(estimator, "busy", [*jitter * 8, *[0.3] * 4, *jitter * 4])
        record_stream(estimator, "idle", [FAST_S] * 24)
    record_worst_gap(estimator, "idle", 0.34)
    assert not estimator.is_overloaded("busy", GAP_TARGET_S, 1.0)


def test_routes_without_a_gap_target_overload_nothing() -> None:
    estimator = OverloadEstimator()
    estimator.record_gap("n", 9.0, None, 0.0, 1.0)
    assert not estimator.is_overloaded("n", 0.0, 1.0)


def test_removed_nodes_are_forgotten() -> None:
    estimator = OverloadEstimator()
    record_worst_gap(estimator, "n", 0.39)
    estimator.forget_all_but(frozenset())
    assert not estimator.is_overloaded("n", GAP_TARGET_S, 1.0)
