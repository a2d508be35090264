"""The nearest coordinator that works is asked."""

from __future__ import annotations

from coveport.serving.proxy.coordinator_choice import AVOID_S, CoordinatorChoice
from coveport.serving.wire.messages import CoordinatorEndpoint

PLACES = (
    CoordinatorEndpoint("far", "z3", "r3"),
    CoordinatorEndpoint("own-region", "z2", "r1"),
    CoordinatorEndpoint("own-zone", "z1", "r1"),
)


def choice() -> CoordinatorChoice:
    return CoordinatorChoice("z1", "r1", ("far", "own-region"))


def test_seeds_come_in_their_order_until_places_are_known() -> None:
    assert choice().order(0.0) == ["far", "own-region"]


def test_the_nearest_one_comes_first_once_places_are_known() -> None:
    one = choice()
    one.learned(PLACES)
    assert one.order(0.0) == ["own-zone", "own-region", "far"]
    assert one.better_than("far", 0.0) == "own-zone"
    assert one.better_than("own-zone", 0.0) is None


def test_one_that_failed_is_passed_over_for_a_while() -> None:
    one = choice()
    one.learned(PLACES)
    one.failed("own-zone", 10.0)
    assert one.order(10.1) == ["own-region", "far", "own-zone"]
    assert one.better_than("own-region", 10.1) is None
    assert one.better_than("own-region", 10.1 + AVOID_S) == "own-zone"


def test_where_all_failed_the_one_that_failed_first_is_tried_first() -> None:
    one = choice()
    one.learned(PLACES)
    for number, address in enumerate(("own-region", "far", "own-zone")):
        one.failed(address, 10.0 + number)
    assert one.order(12.1) == ["own-region", "far", "own-zone"]


def test_one_that_is_not_told_alive_is_never_gone_over_to() -> None:
    one = choice()
    one.learned(PLACES[:2])
    assert one.better_than("far", 0.0) == "own-region"
    one.learned(PLACES[:1])
    assert one.better_than("far", 0.0) is None
