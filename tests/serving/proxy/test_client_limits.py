"""Clients that take too much memory or too many connections are rejected, and others are served."""

from __future__ import annotations

import pytest
from proxy_environment import ProxyEnvironment
from scripted_node import Arrival, ScriptedClient, event_bytes

from coveport.serving.proxy.client_connection import RETRY_AFTER_S
from coveport.serving.resource_budget import (
    CONNECTION_BYTES,
    MIN_ACCEPTED,
    MIN_DESCRIPTORS,
    MIN_MEMORY_MB,
    STALL_S,
)
from coveport.serving.settings.boot import ProcessLimits

BODY_BYTES = 4 * 1024 * 1024  # the largest body within the default limits
LEAST = ProcessLimits(memory_mb=MIN_MEMORY_MB, descriptors=MIN_DESCRIPTORS)
IDLE_S = 15.0  # default of IdleMs
UNREAD_BYTES = 8 * 1024 * 1024
UNROUTED = b"GET / HTTP/1.1\r\nHost: no\r\n\r\n"
UNROUTED_REQUESTS = 10_000  # whose responses together are more than the simulated network holds
HEAD = b"POST /safe/x HTTP/1.1\r\nHost: one.example\r\nCoveport-Try-Id: t\r\n"


def echo(arrival: Arrival) -> None:
    arrival.respond(arrival.request.body)


def least_environment() -> ProxyEnvironment:
    environment = ProxyEnvironment(limits=LEAST)
    environment.add_node(echo)
    return environment


def announce(client: ScriptedClient, length: int, sent: int) -> None:
    client.send(HEAD + b"Content-Length: %d\r\n\r\n" % length + bytes(sent))


def send_chunks(client: ScriptedClient, count: int, chunk_bytes: int) -> None:
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
    client.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * count)


def serves(environment: ProxyEnvironment, body: bytes) -> bool:
    """Return whether a new client is served."""
    client = environment.connect_client()
    client.send_request("/safe/x", body=body)
    response = environment.run(client.response())
    return response is not None and response.status == 200 and response.body == body


def test_the_least_limits_serve_the_largest_body() -> None:
    environment = least_environment()
    assert serves(environment, bytes(BODY_BYTES))
    environment.check()
    environment.run_until(lambda: environment.metric("clients") == 0, IDLE_S + 5)
    assert environment.metric("held_bytes") == 0


def test_a_body_without_room_is_rejected_with_a_promise_before_it_is_read() -> None:
    environment = least_environment()
    first, second = environment.connect_client(), environment.connect_client()
    announce(first, BODY_BYTES, 1)
    announce(second, BODY_BYTES, 1)
    response = environment.run(second.response())
    assert response is not None and response.status == 503 and not response.keep_alive
    assert response.get("retry-after") == f"{RETRY_AFTER_S:g}"
    environment.run(second.wait_closed())
    assert not first.is_disconnected and environment.nodes[0].arrivals == []
    environment.check()


def test_a_stalled_body_gives_way_with_a_promise() -> None:
    environment = least_environment()
    stalled = environment.connect_client()
    announce(stalled, BODY_BYTES, BODY_BYTES - 1)
    environment.sleep(STALL_S + 1)
    assert serves(environment, bytes(BODY_BYTES))
    response = environment.run(stalled.response())
    assert response is not None and response.status == 503
    assert len(environment.nodes[0].arrivals) == 1
    assert environment.metric("sheds") == 1


def test_a_small_request_is_served_beside_large_ones_that_arrive() -> None:
    environment = least_environment()
    large = environment.connect_client()
    send_chunks(large, 16, BODY_BYTES // 17)
    assert serves(environment, b"small")
    assert not large.is_disconnected


def test_chunks_are_counted_until_the_request_ends() -> None:
    environment = least_environment()
    client = environment.connect_client()
    send_chunks(client, 8, BODY_BYTES // 16)
    environment.run_until(lambda: environment.metric("held_bytes") > BODY_BYTES // 2)
    client.send(b"0\r\n\r\n")
    response = environment.run(client.response())
    assert response is not None and response.status == 200
    assert environment.metric("held_bytes") < BODY_BYTES // 16
    environment.check()


def test_a_pipelined_request_without_room_is_rejected_after_the_response_before_it() -> None:
    environment = ProxyEnvironment(limits=LEAST)
    waiting: list[Arrival] = []
    environment.add_node(waiting.append)
    clients = [environment.connect_client() for _ in range(2)]
    clients[0].send_request("/u/x", body=bytes(BODY_BYTES))
    clients[1].send_request("/u/x")
    environment.run_until(lambda: len(waiting) == 2)
    clients[1].send_request("/u/y", body=bytes(BODY_BYTES))
    environment.sleep(0.5)
    next(arrival for arrival in waiting if len(arrival.request.body) < BODY_BYTES).respond()
    responses = [environment.run(clients[1].response(number)) for number in range(2)]
    assert [response.status for response in responses if response is not None] == [200, 503]
    environment.run(clients[1].wait_closed())
    assert len(waiting) == 2


def test_many_pipelined_bytes_are_dropped_and_the_current_requests_are_answered() -> None:
    environment = ProxyEnvironment(limits=LEAST)
    waiting: list[Arrival] = []
    environment.add_node(waiting.append)
    environment.connect_client().send_request("/u/x", body=bytes(BODY_BYTES))
    clients = [environment.connect_client() for _ in range(MIN_ACCEPTED - 2)]
    for client in clients:
        client.send_request("/u/x")
    environment.run_until(lambda: len(waiting) == 1 + len(clients))
    for client in clients:
        client.send_request("/u/y", body=bytes(BODY_BYTES))
    environment.sleep(0.5)
    for arrival in waiting:
        arrival.respond()
    for client in clients:
        environment.run(client.wait_closed())
    assert all(client.responses[0].status == 200 for client in clients)
    assert any(len(client.responses) == 1 for client in clients), "none was dropped"


def test_requests_wait_while_the_responses_before_them_are_unread() -> None:
    environment = ProxyEnvironment()
    client = environment.connect_client()
    assert client.transport is not None
    client.transport.pause_reading()
    client.send(UNROUTED * UNROUTED_REQUESTS)
    environment.sleep(1.0)
    answered = environment.metric("requests")
    assert 0 < answered < UNROUTED_REQUESTS
    assert environment.metric("held_bytes") < UNREAD_BYTES / 16
    client.transport.resume_reading()
    environment.run_until(lambda: len(client.responses) == UNROUTED_REQUESTS)
    environment.check()


@pytest.mark.parametrize("last", [b"", b"GET / HTTP/1.1\r\nHost: no\r\nConnection: close\r\n\r\n"])
def test_responses_that_are_not_read_are_given_up_after_the_idle_time(last: bytes) -> None:
    environment = ProxyEnvironment()
    client = environment.connect_client()
    assert client.transport is not None
    client.transport.pause_reading()
    client.send(UNROUTED * UNROUTED_REQUESTS + last)
    environment.sleep(1.0)
    assert environment.metric("held_bytes") > CONNECTION_BYTES
    environment.run_until(lambda: environment.metric("clients") == 0, IDLE_S + 1)
    assert environment.metric("held_bytes") == 0
    environment.check()


def test_an_unread_response_gives_way() -> None:
    environment = ProxyEnvironment(limits=LEAST)
    environment.add_node(lambda arrival: arrival.respond(arrival.request.body or bytes(UNREAD_BYTES)))
    slow = [environment.connect_client() for _ in range(4)]
    for client in slow:
        assert client.transport is not None
        client.transport.pause_reading()
        client.send_request("/safe/x", body=b"")
    environment.run_until(lambda: environment.metric("held_bytes") > len(slow) * 64 * 1024)
    environment.sleep(STALL_S + 0.1)
    assert serves(environment, bytes(BODY_BYTES))
    assert environment.metric("sheds") > 0


def test_the_longest_idle_connection_gives_way_to_a_new_one() -> None:
    environment = least_environment()
    clients = [environment.connect_client() for _ in range(MIN_ACCEPTED)]
    clients[0].send_request("/safe/x")
    assert environment.run(clients[0].response()) is not None
    assert serves(environment, b"one more")
    environment.run(clients[1].wait_closed())
    assert not clients[0].is_disconnected and not clients[2].is_disconnected
    environment.check()


def test_no_connection_is_accepted_while_all_are_served() -> None:
    environment = ProxyEnvironment(limits=LEAST)
    waiting: list[Arrival] = []
    environment.add_node(
        lambda arrival: waiting.append(arrival) if len(waiting) < MIN_ACCEPTED else echo(arrival)
    )
    for number in range(MIN_ACCEPTED):
        environment.connect_client().send_request("/u/x", attempt_id=f"t-{number}")
    environment.run_until(lambda: len(waiting) == MIN_ACCEPTED)
    late = environment.connect_client()
    environment.run(late.wait_closed())
    assert [response.status for response in late.responses] in ([503], [])
    for arrival in waiting:
        arrival.respond()
    environment.run_until(lambda: environment.metric("in_flight") == 0)
    assert serves(environment, b"after")


def test_the_body_of_a_request_that_is_not_sent_again_is_dropped_when_its_response_begins() -> None:
    environment = ProxyEnvironment()
    arrivals: list[Arrival] = []

    def begin(arrival: Arrival) -> None:
        arrivals.append(arrival)
        arrival.begin_events()
        arrival.send_event(1)

    environment.add_node(begin)
    resumable, unsafe = environment.connect_client(), environment.connect_client()
    for client, path in ((resumable, "/a/x"), (unsafe, "/u/x")):
        client.send_request(path, body=bytes(BODY_BYTES))
        environment.run(client.wait_for(event_bytes(1)))
    assert BODY_BYTES <= environment.metric("held_bytes") < 2 * BODY_BYTES
    for arrival in arrivals:
        arrival.end_events()
    environment.run_until(lambda: environment.metric("in_flight") == 0)
    environment.check()
