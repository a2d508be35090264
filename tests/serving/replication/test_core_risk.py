"""How long the core bears less than before, and what catching up costs; the tables come from core_risk.py."""

from __future__ import annotations

import pytest
from core_risk import CORES, KINDS, Core, catch_up, time_at_risk

CATCH_UP_S = 4.0  # the least that any deployment grants
SIZE = 1_000


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("core", CORES, ids=lambda core: f"{core.machines} at {core.region_s}")
def test_the_next_loss_is_borne_a_second_before_it_may_come(core: Core, kind: str) -> None:
    for seed in (1, 2):
        assert time_at_risk(core, seed, SIZE, kind) < CATCH_UP_S - 1.0


def test_a_large_state_is_copied_in_time() -> None:
    assert time_at_risk(CORES[1], 3, 8_000_000, "replace") < CATCH_UP_S - 1.0


def test_catching_up_costs_the_size_of_the_state_and_not_the_number_of_changes() -> None:
    """A state of 1 MB, and two numbers of missed changes; each change adds its text to this state."""
    few_s, few_bytes = catch_up(CORES[0], 3, 1_000_000, 80)
    many_s, many_bytes = catch_up(CORES[0], 3, 1_000_000, 800)
    assert max(few_s, many_s) < 1.0
    assert many_bytes < few_bytes + 1_100_000, "one state more at the most, sent by two that saw it behind"
    assert many_bytes < 2_300_000
