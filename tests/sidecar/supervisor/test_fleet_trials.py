"""Random trials of the supervisor in simulated time, and of faulty variants that must be detected."""

from __future__ import annotations

import pytest

from coveport.testbed.fault_injection.fleet.broken_variants import VARIANTS
from coveport.testbed.fault_injection.fleet.sim import play
from coveport.testbed.fault_injection.fleet.trial import FleetTrial, draw
from coveport.testbed.fault_injection.schedules import Fault
from coveport.testbed.fault_injection.search import hunt

# A seed below 200 that detects each variant, found by `coveport lab trials --fleet --variant NAME`; to be
# searched again when the random draws have changed.
DETECTING_SEEDS = {
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
def test_random_trials_violate_no_rule(first: int) -> None:
    for seed in range(first, first + 8):
        assert play(draw(seed), seed).findings == [], seed


@pytest.mark.parametrize("instances", [40, 200])
def test_random_trials_of_larger_fleets_violate_no_rule(instances: int) -> None:
    for seed in (3, 11):
        assert play(draw(seed, instances), seed).findings == [], seed


@pytest.mark.parametrize("name", VARIANTS)
def test_each_broken_variant_is_detected(name: str) -> None:
    detecting_seed = DETECTING_SEEDS[name]
    for _, violation in hunt(range(detecting_seed, detecting_seed + 1), 5, name, 1, True, "fleet"):
        assert violation is not None, f"{name} violates no rule with seed {detecting_seed}: search a new seed"
        assert {finding.rule for finding in violation.findings} & set(VARIANTS[name].rules)
    assert play(draw(detecting_seed), detecting_seed).findings == []


def test_restart_when_new_processes_crash_halts_and_violates_no_rule() -> None:
    faults = (Fault(8.0, "bad_lives", "0", 30.0), Fault(9.0, "restart", "0", 0.1))
    outcome = play(FleetTrial(faults=faults), 1)
    assert outcome.findings == [] and outcome.restarts.get("halted")


def test_restart_when_its_supervisor_is_lost_is_continued_by_the_successor() -> None:
    faults = (
        Fault(5.0, "restart", "0", 0.1),
        Fault(8.0, "sup_kill", "0", 2.0, 0.1),
        Fault(13.0, "sup_stall", "0", 6.0, 0.1),
    )
    outcome = play(FleetTrial(instances=10, faults=faults), 4)
    assert outcome.findings == [] and outcome.restarts == {"done": 1} and outcome.holders >= 3
    assert outcome.starts == 20, "ten first starts and one restart each"


def test_same_seed_gives_the_same_outcome() -> None:
    assert play(draw(9), 9) == play(draw(9), 9)
