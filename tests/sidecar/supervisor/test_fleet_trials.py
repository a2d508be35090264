"""The shipped supervisor on simulated time: drawn trials, and that each broken one is found."""

from __future__ import annotations

import pytest

from coveport.testbed.fault_injection.fleet.broken_variants import VARIANTS
from coveport.testbed.fault_injection.fleet.sim import play
from coveport.testbed.fault_injection.fleet.trial import FleetTrial, draw
from coveport.testbed.fault_injection.schedules import Fault
from coveport.testbed.fault_injection.search import hunt

# A seed below 200 that finds each, by `coveport lab trials --fleet --variant NAME`; to be searched
# again when the draws have changed.
FOUND_AT = {
    "no-lock": 0,
    "forgets-lives": 3,
    "spends-at-once": 58,
    "deaf": 83,
    "rash": 1,
    "acts-on": 0,
    "before-the-step": 5,
    "promises": 1,
    "in-one-go": 62,
    "whoever": 5,
    "at-once": 62,
    "gives-up": 1,
    "hopes": 16,
}


@pytest.mark.parametrize("first", range(0, 40, 8))
def test_drawn_trials_violate_no_rule(first: int) -> None:
    for seed in range(first, first + 8):
        assert play(draw(seed), seed).findings == [], seed


@pytest.mark.parametrize("instances", [40, 200])
def test_drawn_trials_of_larger_fleets_violate_no_rule(instances: int) -> None:
    for seed in (3, 11):
        assert play(draw(seed, instances), seed).findings == [], seed


@pytest.mark.parametrize("name", VARIANTS)
def test_each_broken_variant_is_found(name: str) -> None:
    first = FOUND_AT[name]
    for _, found in hunt(range(first, first + 1), 5, name, 1, True, "fleet"):
        assert found is not None, f"{name} breaks nothing with seed {first} any more: draw anew"
        assert {finding.rule for finding in found.findings} & set(VARIANTS[name].rules)
    assert play(draw(first), first).findings == []


def test_restart_when_new_processes_crash_halts_and_violates_no_rule() -> None:
    faults = (Fault(8.0, "bad_lives", "0", 30.0), Fault(9.0, "restart", "0", 0.1))
    played = play(FleetTrial(faults=faults), 1)
    assert played.findings == [] and played.restarts.get("halted")


def test_restart_when_its_supervisor_is_lost_is_continued_by_the_successor() -> None:
    faults = (
        Fault(5.0, "restart", "0", 0.1),
        Fault(8.0, "sup_kill", "0", 2.0, 0.1),
        Fault(13.0, "sup_stall", "0", 6.0, 0.1),
    )
    played = play(FleetTrial(instances=10, faults=faults), 4)
    assert played.findings == [] and played.restarts == {"done": 1} and played.holders >= 3
    assert played.starts == 20, "ten, and each once again"


def test_same_seed_gives_the_same_outcome() -> None:
    assert play(draw(9), 9) == play(draw(9), 9)
