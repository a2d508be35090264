"""Lookup of tenants by API key, and the settings of a tenant applied to a route."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from proxy_environment import RESUMABLE, ProxyEnvironment
from scripted_node import Arrival

from coveport.serving.model.configuration import Tenant
from coveport.serving.proxy.tenant_index import NO_REGION, TenantIndex, route_for_tenant

REGIONS = st.frozensets(st.sampled_from(["north", "south", "east"]))


def respond(arrival: Arrival) -> None:
    arrival.respond()


@pytest.mark.parametrize(
    ("keys", "expected"),
    [
        (["k1"], "one"),
        (["k2"], "one"),
        (["k3"], "two"),
        ([], None),
        ([""], None),
        (["K1"], None),
        (["k1", "k1"], None),
        (["k1", "k3"], None),
        (["k1, k3"], None),
    ],
)
def test_a_tenant_is_found_by_exactly_one_known_key(keys: list[str], expected: str | None) -> None:
    index = TenantIndex.from_tenants([Tenant("one", ("k1", "k2")), Tenant("two", ("k3",))])
    tenant = index.find({"x-api-key": keys} if keys else {})
    assert (tenant.name if tenant else None) == expected


def test_a_key_is_not_shown_in_the_text_of_a_tenant() -> None:
    assert "secret" not in repr(Tenant("one", ("secret",)))


@given(REGIONS, REGIONS, st.sampled_from(["north", "south", "east", "west"]))
def test_home_regions_of_route_and_tenant_both_apply(
    route_regions: frozenset[str], tenant_regions: frozenset[str], region: str
) -> None:
    route = replace(RESUMABLE, home_regions=route_regions)
    common_regions = route_for_tenant(route, Tenant("one", home_regions=tenant_regions)).home_regions
    is_allowed = (not route_regions or region in route_regions) and (
        not tenant_regions or region in tenant_regions
    )
    assert (not common_regions or region in common_regions) == is_allowed


def test_route_and_tenant_without_a_common_home_region_allow_no_region() -> None:
    route = replace(RESUMABLE, home_regions=frozenset({"north"}))
    assert route_for_tenant(route, Tenant("one", home_regions=frozenset({"south"}))).home_regions == NO_REGION


def test_priority_of_the_tenant_overrides_that_of_the_route() -> None:
    route = replace(RESUMABLE, priority=2)
    assert route_for_tenant(route, Tenant("one", priority=0)).priority == 0
    assert route_for_tenant(route, Tenant("one")) is route
    assert route_for_tenant(route, None) is route


def test_a_tenant_is_served_in_its_home_regions_alone() -> None:
    environment = ProxyEnvironment()
    near, far = environment.add_node(respond), environment.add_node(respond, region="q")
    configuration = environment.view.configuration
    assert configuration is not None
    tenants = (Tenant("abroad", ("k1",), home_regions=frozenset({"q"})),)
    environment.view.configuration = replace(configuration, tenants=tenants)
    for _ in range(6):
        client = environment.connect_client()
        client.send_request("/a/x", ("X-Api-Key", "k1"))
        response = environment.run(client.response())
        assert response is not None and response.status == 200
    assert (len(near.arrivals), len(far.arrivals)) == (0, 6)
    environment.check()
