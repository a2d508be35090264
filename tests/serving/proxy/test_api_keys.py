"""API keys of tenants: which requests a proxy forwards, and for which tenant."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from configuration_examples import Json, encode_json, make_configuration, route, service
from proxy_environment import ProxyEnvironment
from scripted_node import Arrival, ScriptedNode

from coveport import http1
from coveport.serving.configuration.reader import read_configuration
from coveport.serving.model.configuration import Configuration

KEY = "X-Api-Key"
TENANT = "Coveport-Sender"
ALPHA_KEY, ALPHA_SECOND_KEY, BETA_KEY = "8m82thhkmgjqnirth5mg", "jy5rcpihhacruddedev3", "q4wz71onbd90xkl2vfae"
ALPHA: Json = {"Name": "alpha", "ApiKeys": [ALPHA_KEY, ALPHA_SECOND_KEY], "Precedence": 1, "HomeRegions": []}
BETA: Json = {"Name": "beta", "ApiKeys": [BETA_KEY], "Precedence": 0, "HomeRegions": []}
UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz"
LONG_KEY_BYTES = 8000  # within `MaxHeaderBytes`

INVALID_CREDENTIALS: dict[str, list[tuple[str, str]]] = {
    "no key": [],
    "empty key": [(KEY, "")],
    "unknown key": [(KEY, UNKNOWN_KEY)],
    "unknown key and a tenant's name": [(KEY, UNKNOWN_KEY), (TENANT, "alpha")],
    "a tenant's name": [(TENANT, "alpha")],
    "a tenant's name as the key": [(KEY, "alpha")],
    "two keys": [(KEY, ALPHA_KEY), (KEY, BETA_KEY)],
    "a known and an unknown key": [(KEY, ALPHA_KEY), (KEY, UNKNOWN_KEY)],
    "two keys in one header": [(KEY, f"{ALPHA_KEY}, {BETA_KEY}")],
    "key with a scheme": [(KEY, f"Bearer {ALPHA_KEY}")],
    "key in another header": [("Authorization", f"Bearer {ALPHA_KEY}")],
    "beginning of a key": [(KEY, ALPHA_KEY[:-1])],
    "key and more": [(KEY, ALPHA_KEY + "0")],
    "key in capitals": [(KEY, ALPHA_KEY.upper())],
    "over-long key": [(KEY, ALPHA_KEY + "x" * LONG_KEY_BYTES)],
    "non-ASCII key": [(KEY, "schl\xfcssel")],
}


def respond(arrival: Arrival) -> None:
    arrival.respond()


def configure(environment: ProxyEnvironment, edition: int, *tenants: Json, **changed: Any) -> None:
    """Activate a configuration with these tenants, a route that needs a key, and a public route."""
    activate(environment, edition, Senders=list(tenants), **changed)


def configure_without_tenants(environment: ProxyEnvironment) -> None:
    """Activate a configuration without a list of tenants."""
    activate(environment, 2, Routes=[route("private", Kind="unsafe", Service="s", HomeRegions=[])])


def activate(environment: ProxyEnvironment, edition: int, **changed: Any) -> None:
    """Put a configuration into the proxy's view."""
    routes = [
        route("private", Kind="unsafe", Service="s", HomeRegions=[], Public=False),
        route("public", Kind="unsafe", Service="s", HomeRegions=[], Public=True),
    ]
    fields = {"Services": [service("s")]} | changed
    configuration = read_configuration(encode_json(make_configuration(edition, *routes, **fields)))
    assert isinstance(configuration, Configuration), configuration
    environment.view.configuration = configuration


@pytest.fixture
def environment() -> ProxyEnvironment:
    """A proxy with two tenants."""
    environment = ProxyEnvironment()
    configure(environment, 1, ALPHA, BETA)
    return environment


@pytest.fixture
def node(environment: ProxyEnvironment) -> ScriptedNode:
    """The only node."""
    return environment.add_node(respond)


def request(
    environment: ProxyEnvironment, *headers: tuple[str, str], path: str = "/private/x"
) -> http1.Response:
    """Send one request on a new connection, and return its response."""
    client = environment.connect_client()
    client.send_request(path, *headers, host="shop.example")
    response = environment.run(client.response())
    assert response is not None
    return response


def tenants_of(node: ScriptedNode) -> list[str | None]:
    """Return the tenant named in each request that the node received."""
    return [arrival.header(TENANT) for arrival in node.arrivals]


# Requests without a valid key.


def test_request_without_exactly_one_known_key_is_rejected_and_reaches_no_node(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    statuses = {case: request(environment, *headers).status for case, headers in INVALID_CREDENTIALS.items()}
    assert statuses == dict.fromkeys(INVALID_CREDENTIALS, 401)
    assert node.arrivals == []
    environment.check()


def test_unknown_key_is_rejected_at_once_while_there_is_no_node(environment: ProxyEnvironment) -> None:
    environment.sleep(5.0)
    began_s = environment.time.now
    assert request(environment, (KEY, UNKNOWN_KEY)).status == 401
    assert environment.time.now - began_s < 0.01
    environment.check()


def test_connection_stays_usable_after_a_rejected_key(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    client = environment.connect_client()
    for number, key in enumerate((UNKNOWN_KEY, ALPHA_KEY)):
        client.send_request("/private/x", (KEY, key), host="shop.example", attempt_id=f"t-{number}")
    responses = [environment.run(client.response(number)) for number in (0, 1)]
    assert [response.status for response in responses if response is not None] == [401, 200]
    assert [arrival.header("Coveport-Try-Id") for arrival in node.arrivals] == ["t-1"]
    environment.check()


def test_no_request_is_served_while_no_tenant_has_a_key(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    configure(environment, 2, ALPHA | {"ApiKeys": []})
    for headers in ([], [(KEY, "")], [(KEY, ALPHA_KEY)], [(KEY, BETA_KEY)]):
        assert request(environment, *headers).status == 401
    assert node.arrivals == []
    environment.check()


def test_known_key_without_a_route_gets_404(environment: ProxyEnvironment, node: ScriptedNode) -> None:
    assert request(environment, (KEY, ALPHA_KEY), path="/nothing/x").status == 404
    assert node.arrivals == []
    environment.check()


def test_keys_are_not_checked_before_a_configuration_is_known(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    environment.view.configuration = None
    for headers in ([], [(KEY, UNKNOWN_KEY)], [(KEY, ALPHA_KEY)]):
        assert request(environment, *headers).status == 503
    assert node.arrivals == []
    environment.check()


# Requests with a valid key.


def test_node_gets_the_tenant_and_not_the_key(environment: ProxyEnvironment, node: ScriptedNode) -> None:
    for key in (ALPHA_KEY, ALPHA_SECOND_KEY, BETA_KEY):
        assert request(environment, (KEY, key)).status == 200
    assert tenants_of(node) == ["alpha", "alpha", "beta"]
    assert all(KEY.lower() not in arrival.request.headers for arrival in node.arrivals)
    environment.check()


def test_client_cannot_name_its_tenant(environment: ProxyEnvironment, node: ScriptedNode) -> None:
    assert request(environment, (TENANT, "beta"), (KEY, ALPHA_KEY), (TENANT, "gamma")).status == 200
    (arrival,) = node.arrivals
    assert arrival.request.headers.get(TENANT.lower()) == ["alpha"]
    environment.check()


# Public routes, and configurations without tenants.


def test_public_route_needs_no_key(environment: ProxyEnvironment, node: ScriptedNode) -> None:
    assert request(environment, path="/public/x").status == 200
    assert tenants_of(node) == [None]
    environment.check()


def test_client_cannot_name_its_tenant_on_a_public_route(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    assert request(environment, (TENANT, "alpha"), path="/public/x").status == 200
    assert tenants_of(node) == [None]
    environment.check()


def test_known_key_names_its_tenant_on_a_public_route(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    assert request(environment, (KEY, BETA_KEY), (TENANT, "alpha"), path="/public/x").status == 200
    (arrival,) = node.arrivals
    assert arrival.request.headers.get(TENANT.lower()) == ["beta"]
    assert KEY.lower() not in arrival.request.headers
    environment.check()


def test_empty_key_counts_as_none_on_a_public_route(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    assert request(environment, (KEY, ""), path="/public/x").status == 200
    assert tenants_of(node) == [None]
    environment.check()


def test_unknown_key_is_rejected_on_a_public_route_too(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    for headers in ([(KEY, UNKNOWN_KEY)], [(KEY, UNKNOWN_KEY), (TENANT, "alpha")]):
        assert request(environment, *headers, path="/public/x").status == 401
    assert node.arrivals == []
    environment.check()


def test_configuration_without_tenants_needs_no_key(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    configure_without_tenants(environment)
    for headers in ([], [(KEY, UNKNOWN_KEY)]):
        assert request(environment, *headers).status == 200
    environment.check()


def test_client_cannot_name_its_tenant_without_configured_tenants(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    configure_without_tenants(environment)
    assert request(environment, (TENANT, "alpha")).status == 200
    assert tenants_of(node) == [None]
    environment.check()


# Changes of keys.


def test_removed_key_is_rejected_from_the_next_request(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    client = environment.connect_client()
    statuses: list[int] = []
    for edition, keys in enumerate(([ALPHA_KEY, ALPHA_SECOND_KEY], [ALPHA_SECOND_KEY], [ALPHA_KEY]), 2):
        configure(environment, edition, ALPHA | {"ApiKeys": keys}, BETA)
        client.send_request("/private/x", (KEY, ALPHA_KEY), host="shop.example")
        response = environment.run(client.response(len(statuses)))
        assert response is not None
        statuses.append(response.status)
    assert statuses == [200, 401, 200]
    assert tenants_of(node) == ["alpha", "alpha"]
    environment.check()


def test_keys_of_a_removed_tenant_are_rejected(environment: ProxyEnvironment, node: ScriptedNode) -> None:
    configure(environment, 2, BETA)
    assert [request(environment, (KEY, key)).status for key in (ALPHA_KEY, BETA_KEY)] == [401, 200]
    assert tenants_of(node) == ["beta"]
    environment.check()


def test_added_key_is_served_from_the_next_request(environment: ProxyEnvironment, node: ScriptedNode) -> None:
    assert request(environment, (KEY, UNKNOWN_KEY)).status == 401
    configure(environment, 2, ALPHA, BETA, {"Name": "gamma", "ApiKeys": [UNKNOWN_KEY]})
    assert request(environment, (KEY, UNKNOWN_KEY)).status == 200
    assert tenants_of(node) == ["gamma"]
    environment.check()


def test_moved_key_names_its_new_tenant(environment: ProxyEnvironment, node: ScriptedNode) -> None:
    assert request(environment, (KEY, ALPHA_SECOND_KEY)).status == 200
    changed_tenants = [ALPHA | {"ApiKeys": [ALPHA_KEY]}, BETA | {"ApiKeys": [BETA_KEY, ALPHA_SECOND_KEY]}]
    configure(environment, 2, *changed_tenants)
    assert request(environment, (KEY, ALPHA_SECOND_KEY)).status == 200
    assert tenants_of(node) == ["alpha", "beta"]
    environment.check()


def test_route_that_is_no_longer_public_needs_a_key(
    environment: ProxyEnvironment, node: ScriptedNode
) -> None:
    private_route = route("public", Kind="unsafe", Service="s", HomeRegions=[], Public=False)
    configure(environment, 2, ALPHA, BETA, Routes=[private_route])
    assert request(environment, path="/public/x").status == 401
    assert node.arrivals == []
    environment.check()


def test_waiting_request_is_rejected_when_its_key_is_removed(environment: ProxyEnvironment) -> None:
    queueing_route = route("private", Kind="unsafe", Service="s", HomeRegions=[], TargetMs=2000, Public=False)
    limited: dict[str, Any] = {"Routes": [queueing_route], "Services": [service("s", MaxConns=1)]}
    configure(environment, 2, ALPHA, BETA, **limited)

    async def respond_late(arrival: Arrival) -> None:
        await asyncio.sleep(0.15)
        arrival.respond(b"x", 200, ("Keep-Alive", "timeout=5"))

    node = environment.add_node(respond_late)
    clients = [environment.connect_client() for _ in range(2)]
    for client, key in zip(clients, (BETA_KEY, ALPHA_KEY), strict=True):
        client.send_request("/private/x", (KEY, key), host="shop.example")
        environment.sleep(0.01)
    assert environment.metric("waiting") == 1
    configure(environment, 3, BETA, **limited)
    assert request(environment, (KEY, ALPHA_KEY)).status == 401
    responses = [environment.run(client.response()) for client in clients]
    assert [response.status for response in responses if response is not None] == [200, 401]
    assert tenants_of(node) == ["beta"]
    environment.check()


def test_retried_request_keeps_its_tenant_when_its_key_is_removed(environment: ProxyEnvironment) -> None:
    def reject_first(arrival: Arrival) -> None:
        if sum(len(node.arrivals) for node in nodes) == 1:
            configure(environment, 2, BETA)
            arrival.reject()
        else:
            arrival.respond()

    nodes = [environment.add_node(reject_first) for _ in range(2)]
    assert request(environment, (KEY, ALPHA_KEY)).status == 200
    arrivals = [arrival for node in nodes for arrival in node.arrivals]
    assert [arrival.header(TENANT) for arrival in arrivals] == ["alpha", "alpha"]
    assert all(KEY.lower() not in arrival.request.headers for arrival in arrivals)
    environment.check()
