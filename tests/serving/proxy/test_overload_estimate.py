"""Which nodes count as too slow for long prompts."""

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


def stream(estimator: OverloadEstimator, node: str, gap_sum_s: list[float]) -> None:
    """The events of one stream, long ago."""
    gaps = StreamGaps()
    now_s = 0.0
    gaps.record_event(now_s)
    for gap_s in gap_sum_s:
        now_s += gap_s
        noted_s = gaps.record_event(now_s)
        assert noted_s is not None
        estimator.record_gap(node, noted_s, gaps.mean_s, GAP_TARGET_S, 0.0)


def worst_seen(estimator: OverloadEstimator, node: str, gap_s: float, now_s: float = 1.0) -> None:
    estimator.record_gap(node, gap_s, None, GAP_TARGET_S, now_s)


def test_mean_is_known_after_enough_gaps() -> None:
    gaps = StreamGaps()
    assert [gaps.record_event(float(second)) for second in range(GAPS_PER_MEAN)][:2] == [None, 1.0]
    assert gaps.mean_s is None
    gaps.record_event(GAPS_PER_MEAN + 5.0)
    assert gaps.mean_s == (GAPS_PER_MEAN + 5.0) / GAPS_PER_MEAN


def test_gap_near_the_target_overloads_for_a_while_and_an_outage_does_not() -> None:
    estimator = OverloadEstimator()
    worst_seen(estimator, "near", 0.37)
    worst_seen(estimator, "cut off", 5.0)
    worst_seen(estimator, "swift", 0.35)
    strained = [estimator.is_overloaded(node, GAP_TARGET_S, 2.0) for node in ("near", "cut off", "swift")]
    assert strained == [True, False, False]
    assert not estimator.is_overloaded("near", GAP_TARGET_S, 1.0 + NEAR_LIMIT_TTL_S)


def test_worst_gap_of_a_fast_node_predicts_a_longer_one_on_a_slow_node() -> None:
    estimator = OverloadEstimator()
    stream(estimator, "fast", [FAST_S] * ENOUGH_EVENTS)
    stream(estimator, "slow", [SLOW_S] * ENOUGH_EVENTS)
    stream(estimator, "as fast", [FAST_S * 1.08] * ENOUGH_EVENTS)
    assert not estimator.is_overloaded("slow", GAP_TARGET_S, 1.0)
    worst_seen(estimator, "fast", 0.34)
    assert estimator.is_overloaded("slow", GAP_TARGET_S, 1.0)
    assert not estimator.is_overloaded("fast", GAP_TARGET_S, 1.0)
    assert not estimator.is_overloaded("as fast", GAP_TARGET_S, 1.0), "0.367 s is expected, of an equal"
    assert not estimator.is_overloaded("slow", GAP_TARGET_S, 1.0 + WORST_GAP_TTL_S)


def test_expected_gap_within_the_target_overloads_nothing() -> None:
    estimator = OverloadEstimator()
    stream(estimator, "fast", [FAST_S] * ENOUGH_EVENTS)
    stream(estimator, "slow", [SLOW_S] * ENOUGH_EVENTS)
    worst_seen(estimator, "fast", 0.25)
    assert not estimator.is_overloaded("slow", GAP_TARGET_S, 1.0)


def test_few_events_show_no_speed() -> None:
    estimator = OverloadEstimator()
    stream(estimator, "fast", [FAST_S] * ENOUGH_EVENTS)
    stream(estimator, "slow", [SLOW_S] * (GAPS_PER_MEAN + MIN_MEANS - 2))
    worst_seen(estimator, "fast", 0.34)
    assert not estimator.is_overloaded("slow", GAP_TARGET_S, 1.0)


def test_neither_long_prefills_nor_jitter_make_a_node_look_slow() -> None:
    estimator = OverloadEstimator()
    jitter = [FAST_S - 0.012, FAST_S + 0.012]
    for _ in range(10):
        stream(estimator, "busy", [*jitter * 8, *[0.3] * 4, *jitter * 4])
        stream(estimator, "idle", [FAST_S] * 24)
    worst_seen(estimator, "idle", 0.34)
    assert not estimator.is_overloaded("busy", GAP_TARGET_S, 1.0)


def test_routes_without_a_gap_target_overload_nothing() -> None:
    estimator = OverloadEstimator()
    estimator.record_gap("n", 9.0, None, 0.0, 1.0)
    assert not estimator.is_overloaded("n", 0.0, 1.0)


def test_gone_nodes_are_forgotten() -> None:
    estimator = OverloadEstimator()
    worst_seen(estimator, "n", 0.39)
    estimator.forget_all_but(frozenset())
    assert not estimator.is_overloaded("n", GAP_TARGET_S, 1.0)
