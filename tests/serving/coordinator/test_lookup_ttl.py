"""The TTL of look-ups: longer while each look-up costs the client a second."""

from __future__ import annotations

import asyncio
import json

import pytest

from coveport.serving.coordinator.coordinator_liveness import (
    FORGET_AFTER_S,
    RESTART_ALLOWANCE_S,
    CoordinatorLiveness,
)
from coveport.serving.coordinator.lookup_api import TTL_S, TTL_WHILE_DELAYED_S, LookupApi
from coveport.serving.membership.leases import LeaseTable, ProxyLease
from coveport.serving.web.messages import ApiRequest
from coveport.serving.wire.messages import CoordinatorEndpoint

NOW_S = 100.0
MAX_TTL_S = 5.0
LATER_S = NOW_S + RESTART_ALLOWANCE_S + 0.1
WEST = CoordinatorEndpoint("10.0.0.1:1", "west-1", "west")
WEST_2 = CoordinatorEndpoint("10.0.0.2:1", "west-2", "west")
EAST = CoordinatorEndpoint("10.0.1.1:1", "east-1", "east")


def liveness_without(own: CoordinatorEndpoint, *lost: CoordinatorEndpoint) -> CoordinatorLiveness:
    """Return the liveness where all coordinators were live at `NOW_S`, and all but `lost` at `LATER_S`."""
    liveness = CoordinatorLiveness(own)
    liveness.record_live((WEST, WEST_2, EAST), NOW_S)
    liveness.record_live([endpoint for endpoint in (WEST, WEST_2, EAST) if endpoint not in lost], LATER_S)
    return liveness


def test_lookup_is_not_delayed_while_all_coordinators_are_live() -> None:
    liveness = liveness_without(EAST)
    assert not liveness.is_lookup_delayed("west-1", "west", LATER_S)


@pytest.mark.parametrize(
    ("own", "lost", "zone", "region", "is_delayed"),
    [
        (EAST, WEST, "west-1", "west", True),  # the coordinator in the client's zone
        (EAST, WEST, "west-9", "west", True),  # the coordinator in the client's region
        (WEST_2, WEST, "west-1", "west", True),
        (WEST_2, WEST, "west-2", "west", False),  # this coordinator is nearer, and was called first
        (EAST, WEST, "east-1", "east", False),
        (WEST, EAST, "north-1", "north", True),  # equally far: the lost one may have been called first
    ],
)
def test_lookup_is_delayed_when_a_lost_coordinator_is_as_near(
    own: CoordinatorEndpoint, lost: CoordinatorEndpoint, zone: str, region: str, is_delayed: bool
) -> None:
    assert liveness_without(own, lost).is_lookup_delayed(zone, region, LATER_S) is is_delayed


def test_lookup_is_not_delayed_when_a_coordinator_is_back_or_forgotten() -> None:
    liveness = liveness_without(EAST, WEST)
    liveness.record_live((WEST, WEST_2, EAST), LATER_S)
    assert not liveness.is_lookup_delayed("west-1", "west", LATER_S)
    liveness = liveness_without(EAST, WEST)
    liveness.record_live((WEST_2, EAST), NOW_S + FORGET_AFTER_S + 0.1)
    assert not liveness.is_lookup_delayed("west-1", "west", NOW_S + FORGET_AFTER_S + 0.1)


def test_coordinator_that_was_live_a_moment_ago_is_not_lost() -> None:
    liveness = CoordinatorLiveness(EAST)
    liveness.record_live((WEST, EAST), NOW_S)
    liveness.record_live((EAST,), NOW_S + 0.1)
    assert not liveness.is_lookup_delayed("west-1", "west", NOW_S + 0.1)


@pytest.mark.parametrize(
    ("lost", "max_ttl_s", "ttl_s"),
    [
        ((), MAX_TTL_S, TTL_S),
        ((WEST,), MAX_TTL_S, TTL_WHILE_DELAYED_S),
        ((WEST,), 2.5, 2.5),  # the operators' bound is below the TTL
        ((), 0.5, 0.5),
    ],
)
def test_lookup_returns_addresses_and_ttl(
    lost: tuple[CoordinatorEndpoint, ...], max_ttl_s: float, ttl_s: float
) -> None:
    leases = LeaseTable()
    leases.renew(ProxyLease("p", "10.0.1.9:80", "east-1", "east", True, 1, 1), LATER_S, local=True)
    api = LookupApi(leases, liveness_without(EAST, *lost), lambda: LATER_S, max_ttl_s)
    query = {"Name": "one.example", "Zone": "west-1", "Region": "west"}
    request = ApiRequest("GET", "/coveport/lookup", "", query, {}, b"", "10.0.1.1")
    response = asyncio.run(api.lookup(request))
    assert response.status == 200
    assert json.loads(response.body) == {"Addresses": ["10.0.1.9:80"], "TtlS": ttl_s}
