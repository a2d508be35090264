"""How a process' descriptors are shared out."""

from __future__ import annotations

import pytest

from coveport.sidecar.descriptor_limits import connection_limits

OWN = 13  # standard streams, the loop's three, a listener, discovery and its successor, a few clients on top


@pytest.mark.parametrize("most", [24, 26, 40, 64, 96, 160, 256, 384, 1024])
def test_all_else_has_what_it_needs_however_few_there_are(most: int) -> None:
    # Found with 26: 13 for clients and 10 for destinations left a listener that ran out again and again.
    clients, links = connection_limits(most)
    assert clients >= 2 and links >= 2 and most - clients - links >= OWN


@pytest.mark.parametrize(("most", "shares"), [(256, (128, 102)), (1024, (512, 409))])
def test_larger_limits_are_shared_as_five_to_four_to_one(most: int, shares: tuple[int, int]) -> None:
    assert connection_limits(most) == shares
