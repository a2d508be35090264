"""How long clients hold what a look-up told: longer while each further one would cost them a second."""

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

NOW = 100.0
LATER = NOW + RESTART_ALLOWANCE_S + 0.1
WEST = CoordinatorEndpoint("10.0.0.1:1", "west-1", "west")
WEST_TOO = CoordinatorEndpoint("10.0.0.2:1", "west-2", "west")
EAST = CoordinatorEndpoint("10.0.1.1:1", "east-1", "east")


def lost_at(own: CoordinatorEndpoint, *lost: CoordinatorEndpoint) -> CoordinatorLiveness:
    """All were alive at `NOW`, and only the others are at `LATER`."""
    known = CoordinatorLiveness(own)
    known.record_live((WEST, WEST_TOO, EAST), NOW)
    known.record_live([place for place in (WEST, WEST_TOO, EAST) if place not in lost], LATER)
    return known


def test_while_all_live_nobody_was_called_in_vain() -> None:
    known = lost_at(EAST)
    assert not known.is_lookup_delayed("west-1", "west", LATER)


@pytest.mark.parametrize(
    ("own", "lost", "zone", "region", "in_vain"),
    [
        (EAST, WEST, "west-1", "west", True),  # the one in the client's zone
        (EAST, WEST, "west-9", "west", True),  # the one in its region
        (WEST_TOO, WEST, "west-1", "west", True),
        (WEST_TOO, WEST, "west-2", "west", False),  # we are nearer, and were called first
        (EAST, WEST, "east-1", "east", False),
        (WEST, EAST, "north-1", "north", True),  # equally far: the lost one may have come first
    ],
)
def test_a_lost_one_was_called_if_it_is_as_near_as_we_are(
    own: CoordinatorEndpoint, lost: CoordinatorEndpoint, zone: str, region: str, in_vain: bool
) -> None:
    assert lost_at(own, lost).is_lookup_delayed(zone, region, LATER) is in_vain


def test_one_that_is_back_counts_no_longer_and_one_that_stays_away_is_forgotten() -> None:
    known = lost_at(EAST, WEST)
    known.record_live((WEST, WEST_TOO, EAST), LATER)
    assert not known.is_lookup_delayed("west-1", "west", LATER)
    known = lost_at(EAST, WEST)
    known.record_live((WEST_TOO, EAST), NOW + FORGET_AFTER_S + 0.1)
    assert not known.is_lookup_delayed("west-1", "west", NOW + FORGET_AFTER_S + 0.1)


def test_one_that_was_alive_a_moment_ago_is_not_lost() -> None:
    known = CoordinatorLiveness(EAST)
    known.record_live((WEST, EAST), NOW)
    known.record_live((EAST,), NOW + 0.1)
    assert not known.is_lookup_delayed("west-1", "west", NOW + 0.1)


@pytest.mark.parametrize(("lost", "ttl_s"), [((), TTL_S), ((WEST,), TTL_WHILE_DELAYED_S)])
def test_what_a_client_is_told(lost: tuple[CoordinatorEndpoint, ...], ttl_s: float) -> None:
    leases = LeaseTable()
    leases.renew(ProxyLease("p", "10.0.1.9:80", "east-1", "east", True, 1, 1), LATER, local=True)
    calls = LookupApi(leases, lost_at(EAST, *lost), lambda: LATER)
    query = {"Name": "one.example", "Zone": "west-1", "Region": "west"}
    call = ApiRequest("GET", "/coveport/lookup", "", query, {}, b"", "10.0.1.1")
    reply = asyncio.run(calls.lookup(call))
    assert reply.status == 200
    assert json.loads(reply.body) == {"Addresses": ["10.0.1.9:80"], "TtlS": ttl_s}
