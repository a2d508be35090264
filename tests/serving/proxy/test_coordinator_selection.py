"""The nearest coordinator that works is asked."""

from __future__ import annotations

from coveport.serving.proxy.coordinator_selection import FAILURE_BACKOFF_S, CoordinatorSelector
from coveport.serving.wire.messages import CoordinatorEndpoint

ENDPOINTS = (
    CoordinatorEndpoint("far", "z3", "r3"),
    CoordinatorEndpoint("own-region", "z2", "r1"),
    CoordinatorEndpoint("own-zone", "z1", "r1"),
)


def make_selector() -> CoordinatorSelector:
    return CoordinatorSelector("z1", "r1", ("far", "own-region"))


def test_seeds_come_in_their_order_until_places_are_known() -> None:
    assert make_selector().by_preference(0.0) == ["far", "own-region"]


def test_the_nearest_one_comes_first_once_places_are_known() -> None:
    selector = make_selector()
    selector.update_endpoints(ENDPOINTS)
    assert selector.by_preference(0.0) == ["own-zone", "own-region", "far"]
    assert selector.nearer_than("far", 0.0) == "own-zone"
    assert selector.nearer_than("own-zone", 0.0) is None


def test_one_that_failed_is_passed_over_for_a_while() -> None:
    selector = make_selector()
    selector.update_endpoints(ENDPOINTS)
    selector.record_failure("own-zone", 10.0)
    assert selector.by_preference(10.1) == ["own-region", "far", "own-zone"]
    assert selector.nearer_than("own-region", 10.1) is None
    assert selector.nearer_than("own-region", 10.1 + FAILURE_BACKOFF_S) == "own-zone"


def test_where_all_failed_the_one_that_failed_first_is_tried_first() -> None:
    selector = make_selector()
    selector.update_endpoints(ENDPOINTS)
    for number, address in enumerate(("own-region", "far", "own-zone")):
        selector.record_failure(address, 10.0 + number)
    assert selector.by_preference(12.1) == ["own-region", "far", "own-zone"]


def test_one_that_is_not_told_alive_is_never_gone_over_to() -> None:
    selector = make_selector()
    selector.update_endpoints(ENDPOINTS[:2])
    assert selector.nearer_than("far", 0.0) == "own-region"
    selector.update_endpoints(ENDPOINTS[:1])
    assert selector.nearer_than("far", 0.0) is None
