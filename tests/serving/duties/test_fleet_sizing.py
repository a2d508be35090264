"""Demand that moves when a zone or a region is lost, and the nodes needed for a demand."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.duties.fleet_sizing import (
    TARGET_OCCUPANCY,
    ToleratedLosses,
    clamp,
    nodes_for,
    spare_demand,
)
from coveport.serving.model.configuration import Scaling

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
DEMANDS = {"a1": 10.0, "a2": 20.0, "b1": 6.0}
ZONE, REGION, NONE = ToleratedLosses(zones=1), ToleratedLosses(regions=1), ToleratedLosses()


@pytest.mark.parametrize(
    ("zone", "tolerated", "spare"),
    [
        ("a1", ZONE, 20.0),  # the demand of the other zone in its region
        ("a2", ZONE, 10.0),
        ("b1", ZONE, 0.0),  # a1 and a2 take over from each other
        ("a1", REGION, 3.0),  # half of the demand of the other region
        ("b1", REGION, 30.0),
        ("a1", ToleratedLosses(2, 1), 23.0),
        ("a1", NONE, 0.0),
    ],
)
def test_spare_demand_is_what_moves_with_the_worst_tolerated_loss(
    zone: str, tolerated: ToleratedLosses, spare: float
) -> None:
    assert spare_demand(zone, DEMANDS, REGIONS, tolerated) == spare


def test_a_single_zone_needs_no_spare() -> None:
    assert spare_demand("a1", {"a1": 5.0}, {"a1": "a"}, ToleratedLosses(1, 1)) == 0


@given(st.floats(0, 10_000), st.integers(1, 200))
def test_the_fewest_nodes_that_serve_the_demand_at_the_target_are_returned(demand: float, slots: int) -> None:
    nodes = nodes_for(demand, slots)
    assert nodes * slots * TARGET_OCCUPANCY >= demand - 1e-6
    assert (nodes - 1) * slots * TARGET_OCCUPANCY < demand or nodes == 0


def test_numbers_of_nodes_are_limited_to_the_bounds_of_the_service() -> None:
    assert [clamp(nodes, Scaling(2, 5)) for nodes in (0, 3, 9)] == [2, 3, 5]
