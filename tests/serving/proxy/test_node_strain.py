"""Which nodes count as too slow for long prompts."""

from __future__ import annotations

from coveport.serving.proxy.node_strain import (
    MEANS_TO_JUDGE,
    NEAR_S,
    PAUSES_A_MEAN,
    REMEMBERED_S,
    NodeStrain,
    StreamPauses,
)

LONGEST_PAUSE_S = 0.4
FAST_S, SLOW_S = 0.030, 0.039
ENOUGH_EVENTS = 2 * MEANS_TO_JUDGE


def stream(strain: NodeStrain, node: str, pauses_s: list[float]) -> None:
    """The events of one stream, long ago."""
    pauses = StreamPauses()
    now_s = 0.0
    pauses.note_event(now_s)
    for pause_s in pauses_s:
        now_s += pause_s
        noted_s = pauses.note_event(now_s)
        assert noted_s is not None
        strain.note_pause(node, noted_s, pauses.mean_s, LONGEST_PAUSE_S, 0.0)


def worst_seen(strain: NodeStrain, node: str, pause_s: float, now_s: float = 1.0) -> None:
    strain.note_pause(node, pause_s, None, LONGEST_PAUSE_S, now_s)


def test_a_mean_is_told_when_there_are_enough_pauses() -> None:
    pauses = StreamPauses()
    assert [pauses.note_event(float(second)) for second in range(PAUSES_A_MEAN)][:2] == [None, 1.0]
    assert pauses.mean_s is None
    pauses.note_event(PAUSES_A_MEAN + 5.0)
    assert pauses.mean_s == (PAUSES_A_MEAN + 5.0) / PAUSES_A_MEAN


def test_a_pause_near_the_longest_in_time_strains_for_a_while_and_an_outage_does_not() -> None:
    strain = NodeStrain()
    worst_seen(strain, "near", 0.37)
    worst_seen(strain, "cut off", 5.0)
    worst_seen(strain, "swift", 0.35)
    strained = [strain.is_strained(node, LONGEST_PAUSE_S, 2.0) for node in ("near", "cut off", "swift")]
    assert strained == [True, False, False]
    assert not strain.is_strained("near", LONGEST_PAUSE_S, 1.0 + NEAR_S)


def test_what_a_fast_node_took_long_for_a_slower_one_is_expected_to_take_longer_for() -> None:
    strain = NodeStrain()
    stream(strain, "fast", [FAST_S] * ENOUGH_EVENTS)
    stream(strain, "slow", [SLOW_S] * ENOUGH_EVENTS)
    stream(strain, "as fast", [FAST_S * 1.08] * ENOUGH_EVENTS)
    assert not strain.is_strained("slow", LONGEST_PAUSE_S, 1.0)
    worst_seen(strain, "fast", 0.34)
    assert strain.is_strained("slow", LONGEST_PAUSE_S, 1.0)
    assert not strain.is_strained("fast", LONGEST_PAUSE_S, 1.0)
    assert not strain.is_strained("as fast", LONGEST_PAUSE_S, 1.0), "0.367 s is expected, of an equal"
    assert not strain.is_strained("slow", LONGEST_PAUSE_S, 1.0 + REMEMBERED_S)


def test_an_expected_pause_that_is_in_time_strains_nothing() -> None:
    strain = NodeStrain()
    stream(strain, "fast", [FAST_S] * ENOUGH_EVENTS)
    stream(strain, "slow", [SLOW_S] * ENOUGH_EVENTS)
    worst_seen(strain, "fast", 0.25)
    assert not strain.is_strained("slow", LONGEST_PAUSE_S, 1.0)


def test_few_events_tell_no_speed() -> None:
    strain = NodeStrain()
    stream(strain, "fast", [FAST_S] * ENOUGH_EVENTS)
    stream(strain, "slow", [SLOW_S] * (PAUSES_A_MEAN + MEANS_TO_JUDGE - 2))
    worst_seen(strain, "fast", 0.34)
    assert not strain.is_strained("slow", LONGEST_PAUSE_S, 1.0)


def test_neither_long_reads_nor_jitter_make_a_node_look_slow() -> None:
    strain = NodeStrain()
    jitter = [FAST_S - 0.012, FAST_S + 0.012]
    for _ in range(10):
        stream(strain, "busy", [*jitter * 8, *[0.3] * 4, *jitter * 4])
        stream(strain, "idle", [FAST_S] * 24)
    worst_seen(strain, "idle", 0.34)
    assert not strain.is_strained("busy", LONGEST_PAUSE_S, 1.0)


def test_routes_that_bound_no_pause_strain_nothing() -> None:
    strain = NodeStrain()
    strain.note_pause("n", 9.0, None, 0.0, 1.0)
    assert not strain.is_strained("n", 0.0, 1.0)


def test_nodes_that_are_gone_are_forgotten() -> None:
    strain = NodeStrain()
    worst_seen(strain, "n", 0.39)
    strain.forget_all_but(frozenset())
    assert not strain.is_strained("n", LONGEST_PAUSE_S, 1.0)
