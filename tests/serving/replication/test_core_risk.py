"""The time of reduced fault tolerance after a loss, and the cost of catching up; see core_risk.py."""

from __future__ import annotations

import pytest
from core_risk import CORES, KINDS, Core, catch_up, time_at_risk

CATCH_UP_S = 4.0  # the shortest time that any deployment grants
STATE_BYTES = 1_000


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("core", CORES, ids=lambda core: f"{core.machines} at {core.region_s}")
def test_fault_tolerance_is_restored_a_second_before_the_next_loss(core: Core, kind: str) -> None:
    for seed in (1, 2):
        assert time_at_risk(core, seed, STATE_BYTES, kind) < CATCH_UP_S - 1.0


def test_a_large_state_is_copied_in_time() -> None:
    assert time_at_risk(CORES[1], 3, 8_000_000, "replace") < CATCH_UP_S - 1.0


def test_catching_up_costs_the_size_of_the_state_and_not_the_number_of_changes() -> None:
    """Compares 80 and 800 missed changes with a state of 1 MB; each change adds its text to the state."""
    few_s, few_bytes = catch_up(CORES[0], 3, 1_000_000, 80)
    many_s, many_bytes = catch_up(CORES[0], 3, 1_000_000, 800)
    assert max(few_s, many_s) < 1.0
    assert many_bytes < few_bytes + 1_100_000, "at most one snapshot more, if two coordinators send one"
    assert many_bytes < 2_300_000
