"""The division of a process' file descriptors."""

from __future__ import annotations

import pytest

from coveport.sidecar.descriptor_limits import connection_limits

NEEDED = 13  # standard streams, the loop's three, a listener, discovery and its successor, a few clients more


@pytest.mark.parametrize("max_descriptors", [24, 26, 40, 64, 96, 160, 256, 384, 1024])
def test_enough_descriptors_are_reserved_at_any_limit(max_descriptors: int) -> None:
    # Regression: of 26 descriptors, 13 were assigned to clients and 10 to destinations. The remaining 3 were
    # too few, so the listener ran out of descriptors repeatedly.
    clients, destinations = connection_limits(max_descriptors)
    assert clients >= 2 and destinations >= 2 and max_descriptors - clients - destinations >= NEEDED


@pytest.mark.parametrize(("max_descriptors", "limits"), [(256, (128, 102)), (1024, (512, 409))])
def test_larger_limits_are_divided_as_five_to_four_to_one(
    max_descriptors: int, limits: tuple[int, int]
) -> None:
    assert connection_limits(max_descriptors) == limits
