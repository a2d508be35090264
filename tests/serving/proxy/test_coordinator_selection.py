"""Selection of the nearest coordinator that works."""

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


def test_seeds_keep_their_order_until_localities_are_known() -> None:
    assert make_selector().by_preference(0.0) == ["far", "own-region"]


def test_nearest_comes_first_once_localities_are_known() -> None:
    selector = make_selector()
    selector.update_endpoints(ENDPOINTS)
    assert selector.by_preference(0.0) == ["own-zone", "own-region", "far"]
    assert selector.nearer_than("far", 0.0) == "own-zone"
    assert selector.nearer_than("own-zone", 0.0) is None


def test_failed_coordinator_is_passed_over_during_its_backoff() -> None:
    selector = make_selector()
    selector.update_endpoints(ENDPOINTS)
    selector.record_failure("own-zone", 10.0)
    assert selector.by_preference(10.1) == ["own-region", "far", "own-zone"]
    assert selector.nearer_than("own-region", 10.1) is None
    assert selector.nearer_than("own-region", 10.1 + FAILURE_BACKOFF_S) == "own-zone"


def test_if_all_failed_the_earliest_failure_comes_first() -> None:
    selector = make_selector()
    selector.update_endpoints(ENDPOINTS)
    for number, address in enumerate(("own-region", "far", "own-zone")):
        selector.record_failure(address, 10.0 + number)
    assert selector.by_preference(12.1) == ["own-region", "far", "own-zone"]


def test_coordinator_that_is_not_live_is_never_preferred_to_the_current_one() -> None:
    selector = make_selector()
    selector.update_endpoints(ENDPOINTS[:2])
    assert selector.nearer_than("far", 0.0) == "own-region"
    selector.update_endpoints(ENDPOINTS[:1])
    assert selector.nearer_than("far", 0.0) is None
