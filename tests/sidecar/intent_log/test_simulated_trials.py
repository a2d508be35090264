"""Trials of the intent log on simulated time: the shipped program breaks no rule, each variant does."""

from __future__ import annotations

import pytest

from coveport.testbed.fault_injection.schedules import Fault
from coveport.testbed.fault_injection.search import hunt
from coveport.testbed.fault_injection.work.broken_variants import VARIANTS
from coveport.testbed.fault_injection.work.sim import WorkTrial, draw, play

FAULTS = [
    Fault(3, kind, "0", lasts, share)
    for kind, lasts, share in (
        ("kill", 5, 0),
        ("kill", 0.2, 0),
        ("stall", 0.3, 0),
        ("stall", 4, 0),
        ("stall", 20, 0),
        ("cut", 6, 0),
        ("cut_out", 6, 0),
        ("cut_back", 6, 0),
        ("node_cut", 6, 0),
        ("node_lost", 6, 0.8),
        ("node_mute", 6, 0),
        ("node_down", 6, 0),
        ("half_killed", 6, 0),
        ("store_away", 6, 0),
        ("store_stall", 1, 0),
        ("lossy", 6, 0.6),
        ("late", 6, 0.6),
        ("slow", 6, 0.8),
        ("leave", 4, 0),
        ("send_stall", 12, 0),
    )
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda one: f"{one.kind}-{one.lasts_s:g}")
def test_each_fault_by_itself_is_survived(fault: Fault) -> None:
    played = play(WorkTrial(faults=(fault,), over_s=8.0, rate=30.0), 3)
    assert played.findings == []
    assert played.ran > 50 and played.served > 0.6 * played.wishes, played


def test_a_kill_leaves_few_unknown_and_all_closed_in_time() -> None:
    played = play(WorkTrial(faults=(Fault(4, "kill", "0", 3), Fault(6, "kill", "1", 3)), rate=60.0), 5)
    assert played.findings == []
    counts = played.counts
    assert counts.get("work_taken_over", 0) + counts.get("work_again_claim", 0) > 0
    assert 0 < played.closed_s < 3.0 + 6.0
    assert played.ends.get("unknown", 0) < 10


def test_a_planned_end_leaves_nothing_to_be_taken_over() -> None:
    played = play(WorkTrial(faults=(Fault(4, "leave", "0", 3),), rate=60.0), 5)
    assert played.findings == []
    assert "work_taken_over" not in played.counts and "unknown" not in played.ends


@pytest.mark.parametrize("first", range(0, 24, 4))
def test_drawn_trials_break_no_rule(first: int) -> None:
    for seed in range(first, first + 4):
        assert play(draw(seed), seed).findings == [], seed


def test_forty_instances() -> None:
    played = play(draw(7, 40), 7)
    assert played.findings == [] and played.ran > 300


# Where each is found among the first 200, by `python -m benchmarks.work_in_hand variants`, to be called anew
# when the program's draws have changed.
FOUND_AT = {
    "sends-at-once": 0,
    "unknown-written": 3,
    "unknown-unwritten": 5,
    "says-never-ran": 14,
    "forgets-attempts": 8,
    "refused-is-written": 0,
    "begins-beside": 0,
    "no-compare": 0,
    "claims-over": 7,
    "no-index": 2,
    "wall-sweep": 13,
    "young-ages": 62,
    "unknown-refused": 3,
    "never-takes": 59,
    "resends": 4,
    "silence-is-unsent": 4,
    "asks-anywhere": 8,
    "takes-again": 4,
    "no-fence": 131,
    "crossed-keys": 0,
    "young-claims": 62,
}


@pytest.mark.parametrize("name", VARIANTS)
def test_each_broken_one_is_found(name: str) -> None:
    first = FOUND_AT[name]
    for _, found in hunt(range(first, first + 1), 5, name, 1, True, "work"):
        assert found is not None, f"{name} breaks nothing with seed {first} any more: draw anew"
        assert {one.rule for one in found.findings} & set(VARIANTS[name].rules)
    assert play(draw(first), first).findings == []


def test_the_same_seed_leaves_the_same_behind() -> None:
    assert play(draw(9), 9) == play(draw(9), 9)


def test_closed_records_are_thrown_away_and_those_of_wrong_clocks_too() -> None:
    played = play(WorkTrial(kept_s=8.0, over_s=3.0, calm_s=30.0), 1)  # five wall clocks, hours apart
    assert played.findings == [] and played.served > 50
    assert sum(played.ends.values()) < played.wishes / 4, "a clock an hour ahead keeps its own"
