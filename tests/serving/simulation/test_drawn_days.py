"""Days drawn from a seed break no rule; drawing is deterministic and covers all kinds of faults."""

from __future__ import annotations

import pytest

from coveport.serving.model.configuration import Tenant
from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.schedules import DRAWS, FINAL_FAULTS, LENGTH_S, draw_faults, play_drawn


@pytest.mark.parametrize(
    "seed", [3, 17, 101, 105, 119]
)  # final faults, unresponsive nodes, kills, rolling restarts, power losses
def test_a_drawn_day_breaks_no_rule(seed: int) -> None:
    result, _ = play_drawn(seed)
    assert list(result.problems) == []
    assert [str(breach) for breach in result.breaches] == []
    assert result.served_fraction > 0.75


def test_drawn_days_with_key_changes_break_no_rule() -> None:
    names = ("a", "b", "c", "d", "e", "f")
    tenants = tuple(Tenant(name, (f"{name}-1", f"{name}-2")) for name in names)
    for seed in (3, 17, 101, 105):
        result, _ = play_drawn(seed, Deployment(tenants=tenants))
        assert list(result.problems) == []
        assert [str(breach) for breach in result.breaches] == []


def test_a_seed_always_draws_the_same_day() -> None:
    assert draw_faults(7) == draw_faults(7)
    assert len({draw_faults(seed) for seed in range(50)}) == 50


def test_every_kind_of_fault_is_drawn_and_none_outside_the_day() -> None:
    faults = [fault for seed in range(400) for fault in draw_faults(seed)]
    assert {fault.name for fault in faults} == {*DRAWS, *FINAL_FAULTS}
    assert all(0 < fault.at_s < LENGTH_S for fault in faults)
    assert {len(draw_faults(seed)) for seed in range(400)} >= {1, 2, 3, 4}


def test_a_day_has_at_most_one_fault_that_loses_part_of_the_core() -> None:
    core_faults = {
        "coordinator loses its disk",
        "coordinator loses power",
        "cut region",
        "replace coordinator",
    }
    for seed in range(400):
        assert sum(fault.name in core_faults for fault in draw_faults(seed)) <= 1
