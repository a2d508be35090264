"""Forwarding of tenants: a proxy removes API keys, and sends the name of the key's tenant to nodes."""

from __future__ import annotations

import asyncio

from configuration_examples import Json, encode_json, make_configuration, route, service
from proxy_environment import ProxyEnvironment
from scripted_node import Arrival, ScriptedClient, event_bytes

from coveport.serving.configuration.reader import read_configuration
from coveport.serving.model.configuration import Configuration

ACME_KEY, ACME_NEW_KEY, ZENITH_KEY = "8m82thhkmgjqnirth5mg", "jy5rcpihhacruddedev3", "c0ffee5mgjqnirth82th"
KEYS = (ACME_KEY, ACME_NEW_KEY, ZENITH_KEY)
KEY_HEADER, TENANT_HEADER = "X-Api-Key", "Coveport-Sender"
CLOSED, RESUMABLE, PUBLIC = "/closed/x", "/resumable/x", "/public/x"


def tenant(name: str, *keys: str) -> Json:
    """Return a tenant with these keys."""
    return {"Name": name, "ApiKeys": list(keys), "Precedence": 1, "HomeRegions": []}


ACME, ZENITH = tenant("acme", ACME_KEY, ACME_NEW_KEY), tenant("zenith", ZENITH_KEY)


def configure(environment: ProxyEnvironment, *tenants: Json, edition: int = 1) -> None:
    """Activate a configuration with these tenants; without any, it has no list of tenants."""
    routes = [
        route(
            path.split("/")[1],
            Host="one.example",
            PathPrefix=path.removesuffix("x"),
            Service="s",
            Resumable=path == RESUMABLE,
            Public=path == PUBLIC,
            HomeRegions=[],
        )
        for path in (CLOSED, RESUMABLE, PUBLIC)
    ]
    tenant_fields = {"Senders": list(tenants)} if tenants else {}
    raw = make_configuration(edition, *routes, Services=[service("s")], **tenant_fields)
    configuration = read_configuration(encode_json(raw))
    assert isinstance(configuration, Configuration), configuration
    environment.view.configuration = configuration


def start(*tenants: Json) -> ProxyEnvironment:
    """Return a proxy with this configuration."""
    environment = ProxyEnvironment()
    configure(environment, *tenants)
    return environment


def respond(arrival: Arrival) -> None:
    arrival.respond()


def status_of(
    environment: ProxyEnvironment, path: str, *headers: tuple[str, str], client: ScriptedClient | None = None
) -> int | None:
    """Return the status of one request, on a new connection unless `client` is given."""
    client = client or environment.connect_client()
    number = len(client.responses)
    client.send_request(path, *headers, attempt_id=f"t-{number}")
    response = environment.run(client.response(number))
    return response.status if response is not None else None


def tenants_in(arrivals: list[Arrival]) -> list[list[str]]:
    """Return the tenants that nodes received, all header values for each request."""
    return [arrival.request.headers.get(TENANT_HEADER.lower(), []) for arrival in arrivals]


def keys_in(arrivals: list[Arrival]) -> list[str]:
    """Return the API keys that nodes received in any header."""
    heads = "".join(repr(arrival.request.headers) for arrival in arrivals)
    return [key for key in KEYS if key in heads]


def test_key_of_a_client_reaches_no_node() -> None:
    environment = start(ACME, ZENITH)
    node = environment.add_node(respond)
    for path in (CLOSED, RESUMABLE, PUBLIC):
        for name in (KEY_HEADER, "x-api-key", "X-API-KEY"):
            assert status_of(environment, path, (name, ACME_KEY)) == 200
    assert len(node.arrivals) == 9
    assert keys_in(node.arrivals) == []
    assert not any(KEY_HEADER.lower() in arrival.request.headers for arrival in node.arrivals)
    environment.check()


def test_node_gets_the_tenant_of_each_requests_key() -> None:
    environment = start(ACME, ZENITH)
    node = environment.add_node(respond)
    client = environment.connect_client()
    for key in (ACME_KEY, ZENITH_KEY, ACME_NEW_KEY):
        assert status_of(environment, CLOSED, (KEY_HEADER, key), client=client) == 200
    assert tenants_in(node.arrivals) == [["acme"], ["zenith"], ["acme"]]
    environment.check()


def test_tenant_that_a_client_names_reaches_no_node() -> None:
    environment = start(ACME, ZENITH)
    node = environment.add_node(respond)
    claims: list[list[tuple[str, str]]] = [
        [(TENANT_HEADER, "zenith")],
        [("coveport-SENDER", "zenith")],
        [(TENANT_HEADER, "zenith"), (TENANT_HEADER, "acme")],
        [(TENANT_HEADER, "")],
        [(TENANT_HEADER, "zenith"), ("Connection", f"keep-alive, {TENANT_HEADER}")],
    ]
    for claim in claims:
        assert status_of(environment, CLOSED, *claim, (KEY_HEADER, ACME_KEY)) == 200
    assert tenants_in(node.arrivals) == [["acme"]] * len(claims)
    environment.check()


def test_key_that_is_named_as_a_connection_option_still_counts() -> None:
    environment = start(ACME, ZENITH)
    node = environment.add_node(respond)
    options = ("Connection", "keep-alive, x-api-key")
    assert status_of(environment, CLOSED, options, (KEY_HEADER, ACME_KEY)) == 200
    assert tenants_in(node.arrivals) == [["acme"]]
    assert keys_in(node.arrivals) == []
    environment.check()


def test_retry_carries_the_tenant_and_no_key() -> None:
    environment = start(ACME, ZENITH)
    arrivals: list[Arrival] = []

    def script(arrival: Arrival) -> None:
        arrivals.append(arrival)
        if len(arrivals) == 1:
            arrival.reject()
        else:
            arrival.respond()

    environment.add_node(script)
    environment.add_node(script)
    headers = [(TENANT_HEADER, "zenith"), (KEY_HEADER, ACME_KEY)]
    assert status_of(environment, CLOSED, *headers) == 200
    assert environment.metric("retries") == 1
    assert tenants_in(arrivals) == [["acme"], ["acme"]]
    assert keys_in(arrivals) == []
    environment.check()


def test_resumed_stream_carries_the_tenant_and_no_key() -> None:
    environment = start(ACME, ZENITH)
    arrivals: list[Arrival] = []

    async def script(arrival: Arrival) -> None:
        arrivals.append(arrival)
        first = int(arrival.header("Last-Event-Id") or 0) + 1
        arrival.begin_events()
        if len(arrivals) == 1:
            arrival.send_event(first)
            await asyncio.sleep(0.01)
            arrival.connection.abort()
            return
        for number in range(first, 6):
            arrival.send_event(number)
        arrival.end_events()

    environment.add_node(script)
    environment.add_node(script)
    client = environment.connect_client()
    client.send_request(RESUMABLE, ("Last-Event-Id", "2"), (TENANT_HEADER, "zenith"), (KEY_HEADER, ACME_KEY))
    response = environment.run(client.response())
    assert response is not None and response.body == b"".join(map(event_bytes, range(3, 6)))
    assert [arrival.header("Last-Event-Id") for arrival in arrivals] == ["2", "3"]
    assert tenants_in(arrivals) == [["acme"], ["acme"]]
    assert keys_in(arrivals) == []
    environment.check()


def test_request_without_exactly_one_known_key_gets_401_and_reaches_no_node() -> None:
    environment = start(ACME, ZENITH)
    node = environment.add_node(respond)
    rejected_headers: list[list[tuple[str, str]]] = [
        [],
        [(KEY_HEADER, "")],
        [(KEY_HEADER, "unknown")],
        [(KEY_HEADER, "acme")],
        [(KEY_HEADER, ACME_KEY[:-1])],
        [(KEY_HEADER, ACME_KEY.upper())],
        [(KEY_HEADER, f"Bearer {ACME_KEY}")],
        [(KEY_HEADER, f"{ACME_KEY}, {ACME_KEY}")],
        [(KEY_HEADER, ACME_KEY), (KEY_HEADER, ZENITH_KEY)],
        [(TENANT_HEADER, "acme")],
    ]
    for path in (CLOSED, RESUMABLE):
        assert [status_of(environment, path, *headers) for headers in rejected_headers] == [401] * len(
            rejected_headers
        )
    assert node.arrivals == []
    environment.check()


def test_public_route_needs_no_key_and_forwards_no_tenant_that_a_client_names() -> None:
    environment = start(ACME, ZENITH)
    node = environment.add_node(respond)
    claim = (TENANT_HEADER, "zenith")
    assert status_of(environment, PUBLIC) == 200
    assert status_of(environment, PUBLIC, claim) == 200
    assert status_of(environment, PUBLIC, claim, (KEY_HEADER, ACME_KEY)) == 200
    assert tenants_in(node.arrivals) == [[], [], ["acme"]]
    environment.check()


def test_keys_of_a_newer_configuration_apply_from_the_next_request() -> None:
    environment = start(ACME, ZENITH)
    node = environment.add_node(respond)
    client = environment.connect_client()
    assert status_of(environment, CLOSED, (KEY_HEADER, ACME_KEY), client=client) == 200
    configure(environment, tenant("acme", ACME_NEW_KEY), tenant("zenith", ZENITH_KEY, ACME_KEY), edition=3)
    assert status_of(environment, CLOSED, (KEY_HEADER, ACME_KEY), client=client) == 200
    configure(environment, tenant("acme", ACME_NEW_KEY), tenant("zenith", ZENITH_KEY), edition=4)
    assert status_of(environment, CLOSED, (KEY_HEADER, ACME_KEY), client=client) == 401
    assert tenants_in(node.arrivals) == [["acme"], ["zenith"]]
    environment.check()


def test_configuration_without_tenants_needs_no_key() -> None:
    environment = start()
    node = environment.add_node(respond)
    assert status_of(environment, CLOSED) == 200
    assert len(node.arrivals) == 1
    environment.check()
