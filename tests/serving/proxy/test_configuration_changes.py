"""A change of the configuration reaches what was begun under the configuration before it.

Guards against CONFIG and DENIED: a connection, time-out, queue or quota that keeps a value which it took from
a configuration. Values are raised and lowered alike.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from proxy_environment import SAFE, SERVICE, UNSAFE_STREAM, ProxyEnvironment
from scripted_node import Arrival, ScriptedClient

from coveport.serving.model.configuration import ClientLimits, Service
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.slow_start import SlowStartLimiter

CONFIG_APPLY_S = 2.5  # `ConfigApplyMs` of the deployments
LOW = ClientLimits(header_bytes=2000, body_bytes=1000, header_read_ms=1000, idle_ms=1000)
HIGH = ClientLimits(header_bytes=40_000, body_bytes=100_000, header_read_ms=10_000, idle_ms=10_000)
LARGE_BODY = bytes(50_000)
UNROUTED_REQUESTS = 10_000  # whose responses together are more than the simulated network holds
LONG_HEADER = ("X-Long", "y" * 20_000)
HEAD = b"POST /safe/x HTTP/1.1\r\nHost: one.example\r\nCoveport-Try-Id: t\r\n"


def respond(arrival: Arrival) -> None:
    arrival.respond(b"x", 200, ("Keep-Alive", "timeout=9"))


def configure(
    environment: ProxyEnvironment,
    limits: ClientLimits | None = None,
    service: Service | None = None,
    timeout_ms: float | None = None,
) -> None:
    """Put a configuration with a higher edition in force."""
    before = environment.view.configuration
    assert before is not None
    routes = before.routes
    if timeout_ms is not None:
        routes = tuple(replace(route, timeout_ms=timeout_ms) for route in routes)
    environment.view.configuration = replace(
        before,
        edition=before.edition + 1,
        routes=routes,
        services=before.services if service is None else (service,),
        limits=limits or before.limits,
    )
    environment.view.notify_listeners()


def environment_with(limits: ClientLimits) -> ProxyEnvironment:
    environment = ProxyEnvironment()
    environment.add_node(respond)
    configure(environment, limits)
    return environment


def used_client(environment: ProxyEnvironment) -> ScriptedClient:
    """Return a client whose kept connection has carried a request."""
    client = environment.connect_client()
    client.send_request("/safe/x")
    response = environment.run(client.response())
    assert response is not None and response.status == 200
    return client


def send_large_body(client: ScriptedClient) -> None:
    client.send_request("/safe/x", body=LARGE_BODY)


def send_large_body_in_chunks(client: ScriptedClient) -> None:
    chunk = b"%x\r\n%b\r\n" % (len(LARGE_BODY), LARGE_BODY)
    client.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n")


def send_long_head(client: ScriptedClient) -> None:
    client.send_request("/safe/x", LONG_HEADER, body=b"")


@pytest.mark.parametrize(
    ("send", "too_large"), [(send_large_body, 413), (send_large_body_in_chunks, 413), (send_long_head, 431)]
)
@pytest.mark.parametrize(("before", "after"), [(LOW, HIGH), (HIGH, LOW)])
def test_size_limits_of_a_new_configuration_hold_on_kept_connections(
    send: Callable[[ScriptedClient], None], too_large: int, before: ClientLimits, after: ClientLimits
) -> None:
    environment = environment_with(before)
    client = used_client(environment)
    configure(environment, after)
    send(client)
    response = environment.run(client.response(1))
    assert response is not None and response.status == (200 if after is HIGH else too_large)
    environment.check()


@pytest.mark.parametrize(("before", "after"), [(LOW, HIGH), (HIGH, LOW)])
def test_body_limit_of_a_new_configuration_holds_for_a_body_that_arrives_in_chunks(
    before: ClientLimits, after: ClientLimits
) -> None:
    environment = environment_with(before)
    client = environment.connect_client()
    client.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
    environment.sleep(0.1)
    configure(environment, after)
    client.send(b"%x\r\n%b\r\n0\r\n\r\n" % (len(LARGE_BODY), LARGE_BODY))
    response = environment.run(client.response())
    assert response is not None and response.status == (200 if after is HIGH else 413)
    environment.check()


def test_limits_of_the_first_configuration_hold_on_connections_that_came_before_it() -> None:
    environment = ProxyEnvironment()
    environment.add_node(respond)
    configuration = environment.view.configuration
    environment.view.configuration = None
    environment.view.notify_listeners()
    client = environment.connect_client()
    environment.sleep(0.1)
    environment.view.configuration = configuration
    configure(environment, LOW)
    send_large_body(client)
    response = environment.run(client.response())
    assert response is not None and response.status == 413
    environment.check()


def wait_idle(client: ScriptedClient) -> None:
    """Send nothing further."""


def begin_head(client: ScriptedClient) -> None:
    client.send(HEAD)


def begin_body(client: ScriptedClient) -> None:
    client.send(HEAD + b"Content-Length: 500\r\n\r\nx")


WAITS = [(wait_idle, []), (begin_head, [408]), (begin_body, [408])]


@pytest.mark.parametrize(("begin", "statuses"), WAITS)
def test_lowered_times_end_what_has_waited_for_longer(
    begin: Callable[[ScriptedClient], None], statuses: list[int]
) -> None:
    environment = environment_with(HIGH)
    client = used_client(environment)
    begin(client)
    environment.sleep(3.0)
    configure(environment, LOW)
    began_s = environment.time.now
    environment.run(client.wait_closed())
    assert environment.time.now - began_s < CONFIG_APPLY_S
    assert [response.status for response in client.responses[1:]] == statuses
    environment.check()


@pytest.mark.parametrize(("begin", "statuses"), WAITS)
def test_lowered_times_count_from_the_beginning_of_the_wait(
    begin: Callable[[ScriptedClient], None], statuses: list[int]
) -> None:
    environment = environment_with(HIGH)
    client = used_client(environment)
    begin(client)
    began_s = environment.time.now
    environment.sleep(0.5)
    configure(environment, LOW)
    environment.run(client.wait_closed())
    assert 0.9 < environment.time.now - began_s < 1.3
    assert [response.status for response in client.responses[1:]] == statuses
    environment.check()


@pytest.mark.parametrize(("begin", "statuses"), WAITS)
def test_raised_times_count_from_the_beginning_of_the_wait(
    begin: Callable[[ScriptedClient], None], statuses: list[int]
) -> None:
    environment = environment_with(LOW)
    client = used_client(environment)
    begin(client)
    began_s = environment.time.now
    environment.sleep(0.5)
    configure(environment, HIGH)
    environment.run(client.wait_closed())
    assert 9.9 < environment.time.now - began_s < 10.3
    assert [response.status for response in client.responses[1:]] == statuses
    environment.check()


@pytest.mark.parametrize(("before", "after"), [(LOW, HIGH), (HIGH, LOW)])
def test_time_for_reading_a_response_follows_the_configuration(
    before: ClientLimits, after: ClientLimits
) -> None:
    environment = environment_with(before)
    client = environment.connect_client()
    assert client.transport is not None
    client.transport.pause_reading()
    client.send(b"GET / HTTP/1.1\r\nHost: no\r\n\r\n" * UNROUTED_REQUESTS)
    environment.sleep(0.5)
    configure(environment, after)
    began_s = environment.time.now
    environment.run_until(lambda: environment.metric("clients") == 0)
    assert environment.time.now - began_s == pytest.approx(after.idle_ms / 1000 - 0.5, abs=0.6)
    environment.check()


def test_an_unchanged_time_out_is_not_extended_by_other_changes() -> None:
    environment = environment_with(LOW)
    client = used_client(environment)
    began_s = environment.time.now
    for _ in range(8):
        environment.sleep(0.1)
        configure(environment)
    environment.run(client.wait_closed())
    assert environment.time.now - began_s < 1.2
    environment.check()


@pytest.mark.parametrize(("before_ms", "after_ms"), [(400, 3000), (3000, 400)])
def test_a_waiting_request_gets_the_time_out_of_the_configuration_that_routes_it(
    before_ms: float, after_ms: float
) -> None:
    route = replace(SAFE, latency_target_ms=2500, timeout_ms=before_ms)
    environment = ProxyEnvironment(routes=(route,))
    node = environment.add_node(lambda _: None)  # never answers
    client = environment.connect_client()
    now_s = environment.time.now
    environment.data_path._context.observations.outliers.record_at_capacity("i-0", now_s)
    client.send_request("/safe/x")
    environment.sleep(0.02)
    assert node.arrivals == []  # the request waits for capacity
    configure(environment, timeout_ms=after_ms)
    response = environment.run(client.response())
    assert response is not None and response.status == 504
    assert environment.time.now - now_s == pytest.approx(after_ms / 1000, abs=0.1)
    assert len(node.arrivals) == 1
    environment.check()


@pytest.mark.parametrize(("max_connections", "kept"), [(2, 2), (0, 6), (300, 6)])
def test_idle_connections_to_a_node_beyond_a_lowered_quota_are_closed(
    max_connections: int, kept: int
) -> None:
    environment = ProxyEnvironment()

    async def respond_later(arrival: Arrival) -> None:
        await asyncio.sleep(0.1)
        respond(arrival)

    node = environment.add_node(respond_later)
    clients = [environment.connect_client() for _ in range(6)]
    for client in clients:
        client.send_request("/safe/x")
    for client in clients:
        assert environment.run(client.response()) is not None
    assert len(node.connections) == 6
    configure(environment, service=replace(SERVICE, max_connections=max_connections))
    environment.sleep(CONFIG_APPLY_S)
    assert sum(not connection.is_closed for connection in node.connections) == kept
    environment.check()


def slow_start_view() -> tuple[ControlView, KnownNode]:
    node = Node(
        incarnation="i",
        sequence=1,
        service="s",
        address="10.0.1.1:80",
        zone="z",
        region="r",
        slots=64,
        state=NodeState.ACCEPTING,
    )
    view = ControlView()
    view.max_proxies = 10
    return view, KnownNode(node, 0.0, 1e9, 1e9)


def first_send_s(limiter: SlowStartLimiter, known: KnownNode, view: ControlView, rate: float) -> float:
    """Return the first time from 1 s on, in steps of 0.1 s, at which a send is allowed at this rate."""
    service = replace(SERVICE, warm_up_rate=rate)
    return next(
        step / 10 for step in range(10, 10_000_000) if limiter.may_send(known, service, view, step / 10)
    )


@pytest.mark.parametrize(("before", "after"), [(0.01, 5.0), (5.0, 0.01)])
def test_turns_in_slow_start_follow_the_rate(before: float, after: float) -> None:
    view, known = slow_start_view()
    changed = SlowStartLimiter(1.5, 0.0, Random(7))
    assert not changed.may_send(known, replace(SERVICE, warm_up_rate=before), view, 0.0)
    unchanged = SlowStartLimiter(1.5, 0.0, Random(7))
    assert not unchanged.may_send(known, replace(SERVICE, warm_up_rate=after), view, 0.0)
    assert first_send_s(changed, known, view, after) == first_send_s(unchanged, known, view, after)


def test_keep_alive_announces_the_new_idle_time_on_kept_connections() -> None:
    environment = environment_with(HIGH)
    client = used_client(environment)
    configure(environment, replace(HIGH, idle_ms=6000))
    client.send_request("/u/x")
    response = environment.run(client.response(1))
    assert response is not None and response.headers["keep-alive"] == ["timeout=4"]
    assert UNSAFE_STREAM.path_prefix == "/u/"
    environment.check()
