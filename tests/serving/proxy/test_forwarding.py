"""Requests and responses through a proxy, with nodes that fail at chosen points of a response."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
import scripted_node
from proxy_environment import RESUMABLE, SAFE, SERVICE, UNSAFE_STREAM, ProxyEnvironment
from scripted_node import Arrival, Connection, ScriptedClient, event_bytes

from coveport import http1
from coveport.serving.model.configuration import ClientLimits, Configuration, WeightedService
from coveport.serving.model.node import NodeState
from coveport.serving.proxy.node_connection import WRITE_BYTES
from coveport.serving.proxy.response_relay import MAX_EVENT_BYTES
from coveport.serving.settings.boot import Bounds

LARGE_BODY_BYTES = 4 * 1024 * 1024


def respond(arrival: Arrival) -> None:
    arrival.respond()


async def five_events(arrival: Arrival) -> None:
    arrival.begin_events()
    for number in range(int(arrival.header("Last-Event-Id") or 0) + 1, 6):
        arrival.send_event(number)
        await asyncio.sleep(0.05)
    arrival.end_events()


ALL_FIVE = b"".join(event_bytes(number) for number in range(1, 6))


def request_once(
    environment: ProxyEnvironment, path: str = "/u/x", *extra_headers: tuple[str, str], **options: str
) -> http1.Response | None:
    """Send one request on a new connection, and return its response."""
    client = environment.connect_client()
    client.send_request(path, *extra_headers, **options)  # type: ignore[arg-type]
    return environment.run(client.response())


# Forwarding.


def test_request_is_forwarded_as_it_came() -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(respond)
    client = environment.connect_client()
    headers = [
        ("Host", "ONE.example:99"),
        ("Coveport-Try-Id", "abc"),
        ("Coveport-Time-Left", "3000"),
        ("Coveport-Model", "m"),
        ("Coveport-Addressee", "someone"),
        ("X-Hop", "1"),
        ("Connection", "keep-alive, x-hop"),
        ("TE", "trailers"),
    ]
    client.send(http1.write_request("PATCH", "/u/x?y=%20z", headers, b"\0body"))
    response = environment.run(client.response())
    assert response is not None and response.body == b"hello" and response.status == 200
    assert response.headers["coveport-postmark"] == ["stamp-1"]
    (arrival,) = node.arrivals
    assert (arrival.request.method, arrival.request.target) == ("PATCH", "/u/x?y=%20z")
    assert arrival.request.body == b"\0body"
    time_left_ms = int(arrival.header("Coveport-Time-Left") or 0)
    assert 2900 < time_left_ms < 3000
    assert arrival.request.headers == {
        "host": ["ONE.example:99"],
        "coveport-try-id": ["abc"],
        "coveport-model": ["m"],
        "coveport-time-left": [str(time_left_ms)],
        "coveport-addressee": ["i-0"],
        "content-length": ["5"],
    }
    environment.check()


def test_a_client_that_expects_other_weights_does_not_eject_the_nodes() -> None:
    environment = ProxyEnvironment()
    misdirected = [("Coveport-Instance", "i-0")]

    def respond_by_version(arrival: Arrival) -> None:
        if arrival.header("Expect-Version") is None:
            arrival.respond()
        else:
            arrival.respond(b"", 421, *misdirected)

    environment.add_node(respond_by_version)
    for headers in ([("Expect-Version", "999")], []):
        response = request_once(environment, "/u/x", *headers)
        assert response is not None and response.status == 200
    environment.check()


def test_events_are_forwarded_as_they_come() -> None:
    environment = ProxyEnvironment()
    environment.add_node(five_events)
    for path in ("/u/x", "/a/x"):
        client = environment.connect_client()
        began = environment.time.now
        client.send_request(path)
        environment.run(client.wait_for(event_bytes(1)))
        assert environment.time.now - began < 0.04
        response = environment.run(client.response())
        assert response is not None and response.body == ALL_FIVE
    environment.check()


def test_errors_of_the_node_are_forwarded() -> None:
    environment = ProxyEnvironment()
    status = 500
    environment.add_node(lambda arrival: arrival.respond(b"why", status))
    for status in (500, 504, 400, 404):
        response = request_once(environment)
        assert response is not None and (response.status, response.body) == (status, b"why")
        assert response.headers["coveport-postmark"] == ["stamp-1"]
    environment.check()


def test_connections_to_nodes_and_of_clients_are_reused() -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(lambda arrival: arrival.respond(b"x", 200, ("Keep-Alive", "timeout=5")))
    client = environment.connect_client()
    for number in range(5):
        client.send_request("/u/x", attempt_id=f"t-{number}")
        assert environment.run(client.response(number)) is not None
        environment.sleep(0.5)
    assert len(node.connections) == 1
    environment.sleep(4.5)  # the node would close the connection after 5 s
    assert node.connections[0].is_closed
    client.send_request("/u/x")
    assert environment.run(client.response(5)) is not None
    assert len(node.connections) == 2
    environment.check()


def test_node_that_sends_connection_close_gets_a_new_connection() -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(lambda arrival: arrival.respond(b"x", 200, ("Connection", "close")))
    assert request_once(environment) is not None
    assert request_once(environment) is not None
    assert len(node.connections) == 2 and node.connections[0].is_closed
    environment.check()


def test_request_without_a_route_gets_404_and_the_connection_stays_open() -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(respond)
    client = environment.connect_client()
    client.send_request("/nothing/x")
    client.send_request("/u/x", host="other.example")
    client.send_request("/u/x")
    responses = [environment.run(client.response(number)) for number in range(3)]
    assert [response.status for response in responses if response is not None] == [404, 404, 200]
    assert len(node.arrivals) == 1
    environment.check()


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"POST /u/x HTTP/1.1\r\n\r\n", 400),
        (b"POST /u/x HTTP/1.1\r\nHost: one.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
        (b"POST /u/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", 400),
        (b"POST /u/x HTTP/1.1\r\nHost: one.example\r\nContent-Length: 101\r\n\r\n", 413),
        (b"POST /u/x HTTP/1.1\r\nHost: one.example\r\nX: " + b"y" * 20000, 431),
    ],
)
def test_invalid_request_gets_one_response_and_a_close_and_is_never_forwarded(
    sent: bytes, status: int
) -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(respond)
    assert environment.view.configuration is not None
    environment.view.configuration = replace(
        environment.view.configuration, limits=ClientLimits(body_bytes=100)
    )
    client = environment.connect_client()
    client.send(sent)
    client.send(b"POST /u/x HTTP/1.1\r\nHost: one.example\r\nContent-Length: 0\r\n\r\n")
    environment.run(client.wait_closed())
    assert [response.status for response in client.responses] == [status]
    assert node.arrivals == []
    environment.check()


@pytest.mark.parametrize(("header_bytes", "status"), [(1000, 431), (40_000, 200)])
def test_head_is_bounded_by_the_configuration(header_bytes: int, status: int) -> None:
    environment = ProxyEnvironment()
    environment.add_node(respond)
    assert environment.view.configuration is not None
    limits = ClientLimits(header_bytes=header_bytes)
    environment.view.configuration = replace(environment.view.configuration, limits=limits)
    response = request_once(environment, "/u/x", ("X-Long", "y" * 20_000))
    assert response is not None and response.status == status
    environment.check()


def test_slow_head_and_idle_connection_are_closed() -> None:
    environment = ProxyEnvironment()
    client = environment.connect_client()
    began = environment.time.now
    client.send(b"POST /u/x HTTP/1.1\r\n")
    environment.sleep(2.0)
    client.send(b"Host: one.example\r\n")  # further bytes do not extend the timeout
    environment.run(client.wait_closed())
    assert [response.status for response in client.responses] == [408]
    assert environment.time.now - began < 4.5
    idle = environment.connect_client()
    began = environment.time.now
    environment.run(idle.wait_closed())
    assert idle.responses == [] and 14.9 < environment.time.now - began < 15.2
    environment.check()


def test_chunked_body_arrives_complete_after_100_continue() -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(respond)
    client = environment.connect_client()
    client.send(
        b"POST /u/x HTTP/1.1\r\nHost: one.example\r\nCoveport-Try-Id: t-1\r\n"
        b"Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"
    )
    environment.run(client.wait_for(b"100 Continue"))
    client.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert environment.run(client.response()) is not None
    assert node.arrivals[0].request.body == b"abcde"
    assert node.arrivals[0].header("Expect") is None
    environment.check()


class EarlyRejectingConnection(Connection):
    """Rejects its first request on the first bytes, and reads the rest of the body later."""

    has_rejected = False

    def data_received(self, data: bytes) -> None:
        if not self.has_rejected:
            self.has_rejected = True
            headers = [("Coveport-Try-Id", "t-1"), ("Coveport-Not-Run", "1"), ("Keep-Alive", "timeout=9")]
            self.write(http1.write_response(503, headers))
            assert self.transport is not None
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(0.2, self.transport.resume_reading)
        super().data_received(data)


def test_rest_of_a_body_precedes_the_next_request_after_an_early_rejection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(scripted_node, "Connection", EarlyRejectingConnection)
    environment = ProxyEnvironment()
    body = bytes(range(256)) * 8000
    node = environment.add_node(lambda arrival: arrival.respond() if len(node.arrivals) > 1 else None)
    client = environment.connect_client()
    client.send_request("/u/x", body=body)
    response = environment.run(client.response())
    assert response is not None and response.status == 200
    assert len(node.connections) == 1
    assert [arrival.request.body == body for arrival in node.arrivals] == [True, True]
    environment.check()


def test_headers_of_the_prompt_reach_every_node_of_a_resumed_stream_unchanged() -> None:
    environment = ProxyEnvironment()
    prompt = {
        "coveport-model": ["m"],
        "coveport-tokens": ["1460,80"],
        "coveport-prompt-prefix": ["5c1e07a2:800,91bd3f06:410"],
        "coveport-try-id": ["t-1"],
    }
    order: list[Arrival] = []

    async def script(arrival: Arrival) -> None:
        order.append(arrival)
        if len(order) > 1:
            await five_events(arrival)
            return
        arrival.begin_events()
        arrival.send_event(1)
        arrival.connection.close()

    environment.add_node(script)
    environment.add_node(script)
    headers = [(name, values[0]) for name, values in prompt.items() if name != "coveport-try-id"]
    response = request_once(environment, "/a/x", *headers)
    assert response is not None and response.body == ALL_FIVE
    assert len(order) == 2
    for arrival in order:
        assert prompt.items() <= arrival.request.headers.items()
    environment.check()


# At most once, and retries.


def add_nodes_that_reset_the_first_request(environment: ProxyEnvironment) -> list[str]:
    """Add two nodes and reset the connection of the first request.

    Return the incarnations that requests are addressed to, in the order of arrival.
    """
    order: list[str] = []

    def script(arrival: Arrival) -> None:
        order.append(arrival.header("Coveport-Addressee") or "")
        if len(order) == 1:
            arrival.connection.abort()
        else:
            arrival.respond()

    environment.add_node(script)
    environment.add_node(script)
    return order


def test_unsafe_request_that_may_have_run_is_not_retried() -> None:
    environment = ProxyEnvironment()
    order = add_nodes_that_reset_the_first_request(environment)
    response = request_once(environment, "/u/x")
    assert response is not None and response.status == 502
    assert len(order) == 1
    environment.check()


@pytest.mark.parametrize("path", ["/safe/x", "/a/x"])
def test_idempotent_request_is_retried_at_another_node(path: str) -> None:
    environment = ProxyEnvironment()
    order = add_nodes_that_reset_the_first_request(environment)
    response = request_once(environment, path)
    assert response is not None and response.status == 200
    assert len(set(order)) == 2
    environment.check()


@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_request_that_did_not_run_is_retried_at_another_node(status: int) -> None:
    environment = ProxyEnvironment()
    order: list[str] = []

    def script(arrival: Arrival) -> None:
        order.append(arrival.header("Coveport-Addressee") or "")
        if len(order) == 1:
            arrival.reject(status)
        else:
            arrival.respond()

    environment.add_node(script)
    environment.add_node(script)
    response = request_once(environment, "/u/x")
    assert response is not None and response.status == 200
    assert len(set(order)) == 2
    environment.check()


@pytest.mark.parametrize("status", [503, 429, 408])
def test_rejection_without_a_statement_counts_as_run(status: int) -> None:
    environment = ProxyEnvironment()
    nodes = [environment.add_node(lambda arrival: arrival.respond(b"", status)) for _ in range(2)]
    response = request_once(environment, "/u/x")
    assert response is not None and response.status == 502
    assert sum(len(node.arrivals) for node in nodes) == 1
    environment.check()


def test_attempts_are_bounded_by_the_route_and_end_in_retry_after() -> None:
    environment = ProxyEnvironment()
    nodes = [environment.add_node(lambda arrival: arrival.reject()) for _ in range(4)]
    response = request_once(environment, "/u/x")
    assert response is not None and response.status == 503
    assert 0 < float(response.headers["retry-after"][0]) < 1
    assert sum(len(node.arrivals) for node in nodes) == 2
    environment.check()


def test_rejection_after_an_attempt_that_may_have_run_gets_502() -> None:
    environment = ProxyEnvironment()
    order: list[str] = []

    def script(arrival: Arrival) -> None:
        order.append("")
        if len(order) == 1:
            arrival.connection.abort()
        else:
            arrival.reject()

    for _ in range(2):
        environment.add_node(script)
    response = request_once(environment, "/safe/x")
    assert response is not None and response.status == 502
    environment.check()


def test_failed_connect_costs_neither_attempt_nor_budget() -> None:
    environment = ProxyEnvironment(
        Bounds(retry_ratio=0.0, retry_slack=0.0), (replace(UNSAFE_STREAM, max_attempts=1),)
    )
    for number in range(2):
        environment.add_node(respond)
        environment.refuse_connects(number)
    reachable = environment.add_node(respond)
    for _ in range(6):
        response = request_once(environment, "/u/x")
        assert response is not None and response.status == 200
    assert len(reachable.arrivals) == 6
    assert environment.metric("connects_failed") <= 2
    environment.check()


def test_unresponsive_machine_delays_a_request_only_briefly() -> None:
    environment = ProxyEnvironment()
    environment.add_node(respond)
    environment.add_node(respond)
    environment.set_unresponsive(0)
    for _ in range(8):
        began = environment.time.now
        response = request_once(environment, "/u/x")
        assert response is not None and response.status == 200
        assert environment.time.now - began < 0.6
    assert environment.metric("connects_failed") == 1
    environment.set_unresponsive(0, is_unresponsive=False)
    environment.sleep(10.0)  # a health check succeeds in this time
    for _ in range(20):
        request_once(environment, "/u/x")
    assert environment.nodes[0].arrivals
    environment.check()


def test_retries_stay_within_the_budget() -> None:
    environment = ProxyEnvironment(Bounds(retry_ratio=0.2, retry_slack=5.0))
    nodes = [environment.add_node(lambda arrival: arrival.reject()) for _ in range(8)]
    for _ in range(50):
        request_once(environment, "/u/x")
    arrivals = sum(len(node.arrivals) for node in nodes)
    assert arrivals <= 50 + 0.2 * 50 + 5
    assert environment.metric("retries") >= 8
    environment.check()


def test_connection_that_the_node_has_closed_is_not_reused() -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(lambda arrival: arrival.respond(b"x", 200, ("Keep-Alive", "timeout=5")))
    request_once(environment)
    node.connections[0].close()
    environment.sleep(0.01)
    response = request_once(environment)
    assert response is not None and response.status == 200
    assert len(node.connections) == 2
    environment.check()


# Invalid and stale responses.


def test_success_without_the_nodes_stamp_is_not_forwarded() -> None:
    environment = ProxyEnvironment()
    environment.add_node(
        lambda arrival: arrival.connection.write(
            arrival.head(200, ("Content-Length", "2"), stamp=None) + b"no"
        )
    )
    response = request_once(environment)
    assert response is not None and response.status == 502 and b"no" not in response.body
    environment.check()


def test_bytes_behind_a_response_reach_no_client() -> None:
    environment = ProxyEnvironment()
    surplus = (
        b"HTTP/1.1 200 OK\r\nCoveport-Try-Id: old\r\nCoveport-Postmark: s\r\nContent-Length: 3\r\n\r\nold"
    )

    def script(arrival: Arrival) -> None:
        arrival.respond(b"x", 200, ("Keep-Alive", "timeout=9"))
        arrival.connection.write(surplus)

    environment.add_node(script)
    client = environment.connect_client()
    for number in range(4):
        client.send_request("/u/x", attempt_id=f"t-{number}")
        response = environment.run(client.response(number))
        assert response is not None and response.body == b"x"
        assert response.headers["coveport-try-id"] == [f"t-{number}"]
        environment.sleep(0.3)
    assert len(client.responses) == 4 and b"old" not in client.received
    environment.check()


def test_bytes_on_an_idle_connection_to_a_node_close_it_and_are_counted() -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(lambda arrival: arrival.respond(b"x", 200, ("Keep-Alive", "timeout=9")))
    client = environment.connect_client()
    for number in range(2):
        client.send_request("/u/x", attempt_id=f"t-{number}")
        assert environment.run(client.response(number)) is not None
        environment.sleep(0.1)
        node.connections[-1].write(b"HTTP/1.1 200 OK\r\n")
        environment.sleep(0.1)
        assert node.connections[-1].is_closed
    assert len(node.connections) == 2
    assert environment.metric("unsolicited") == 2 and environment.metric("surplus") == 0
    environment.check()


def test_stale_response_to_another_request_is_skipped() -> None:
    environment = ProxyEnvironment()

    async def script(arrival: Arrival) -> None:
        if arrival.header("Coveport-Try-Id") == "t-1":
            await asyncio.sleep(0.05)
            arrival.connection.write(
                b"HTTP/1.1 200 OK\r\nCoveport-Try-Id: t-0\r\n"
                b"Coveport-Postmark: s\r\nContent-Length: 3\r\n\r\nold"
            )
        arrival.respond(b"x", 200, ("Keep-Alive", "timeout=9"))

    node = environment.add_node(script)
    client = environment.connect_client()
    for number in range(3):
        client.send_request("/u/x", attempt_id=f"t-{number}")
        response = environment.run(client.response(number))
        assert response is not None and response.status == 200 and response.body == b"x"
    assert b"old" not in client.received
    assert len(node.connections) == 2  # the connection with the stale response is not reused
    assert environment.metric("surplus") == 1
    environment.check()


@pytest.mark.parametrize(
    "garbage", [b"\0\1\2 nothing\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/9 what\r\n\r\n"]
)
def test_invalid_response_reaches_no_client(garbage: bytes) -> None:
    environment = ProxyEnvironment()

    def script(arrival: Arrival) -> None:
        arrival.connection.write(garbage)
        arrival.connection.close()

    environment.add_node(script)
    response = request_once(environment)
    assert response is not None and response.status == 502 and response.body == b""
    environment.check()


@pytest.mark.parametrize("framing", [("Content-Length", "10"), http1.CHUNKED])
@pytest.mark.parametrize("ends", ["close", "abort"])
def test_response_that_breaks_off_does_not_look_complete(framing: tuple[str, str], ends: str) -> None:
    environment = ProxyEnvironment()

    async def script(arrival: Arrival) -> None:
        arrival.connection.write(arrival.head(200, framing))
        arrival.connection.write(b"hello" if framing[0] == "Content-Length" else http1.write_chunk(b"hello"))
        await asyncio.sleep(0.1)
        getattr(arrival.connection, ends)()

    environment.add_node(script)
    client = environment.connect_client()
    client.send_request("/u/x")
    environment.run(client.wait_for(b"hello"))
    environment.run(client.wait_closed())
    assert client.responses == []
    environment.check()


# Resumed streams.


@pytest.mark.parametrize("cut", range(0, len(ALL_FIVE), 7))
def test_resumable_stream_is_resumed_at_any_byte(cut: int) -> None:
    environment = ProxyEnvironment()
    order: list[str | None] = []

    async def script(arrival: Arrival) -> None:
        order.append(arrival.header("Last-Event-Id"))
        if len(order) > 1:
            await five_events(arrival)
            return
        arrival.begin_events()
        arrival.connection.write(http1.write_chunk(ALL_FIVE[:cut]))
        await asyncio.sleep(0.05)
        arrival.connection.abort()

    environment.add_node(script)
    environment.add_node(script)
    response = request_once(environment, "/a/x")
    assert response is not None and response.body == ALL_FIVE
    complete_events = ALL_FIVE[:cut].count(b"\n\n")
    assert order == [None, str(complete_events) if complete_events else None]
    environment.check()


def test_head_of_the_first_node_stays_when_a_stream_is_resumed() -> None:
    environment = ProxyEnvironment()
    order: list[Arrival] = []

    async def script(arrival: Arrival) -> None:
        order.append(arrival)
        head = arrival.head(200, http1.CHUNKED, ("X-Node", str(len(order))), stamp=f"stamp-{len(order)}")
        arrival.connection.write(head)
        first = int(arrival.header("Last-Event-Id") or 0) + 1
        for number in range(first, 6):
            arrival.send_event(number)
            if len(order) == 1 and number == 3:
                arrival.connection.close()
                return
        arrival.end_events()

    environment.add_node(script)
    environment.add_node(script)
    client = environment.connect_client()
    client.send_request("/a/x", ("Last-Event-Id", "1"))
    response = environment.run(client.response())
    assert response is not None and response.headers["coveport-postmark"] == ["stamp-1"]
    assert response.headers["x-node"] == ["1"]
    assert response.body == b"".join(event_bytes(number) for number in range(2, 6))
    assert [arrival.header("Last-Event-Id") for arrival in order] == ["1", "3"]
    environment.check()


@pytest.mark.parametrize("resumed_at", [1, 2, 3, 5])
def test_stream_that_does_not_continue_the_first_is_not_resumed(resumed_at: int) -> None:
    environment = ProxyEnvironment()
    order: list[Arrival] = []

    async def script(arrival: Arrival) -> None:
        order.append(arrival)
        arrival.begin_events()
        if len(order) == 1:
            for number in range(1, 4):
                arrival.send_event(number)
            await asyncio.sleep(0.01)
            arrival.connection.abort()
            return
        for number in range(resumed_at, 6):  # only 4 would continue the stream
            arrival.send_event(number)
        arrival.end_events()

    environment.add_node(script)
    environment.add_node(script)
    client = environment.connect_client()
    client.send_request("/a/x")
    environment.run(client.wait_closed())
    assert client.responses == [] and client.received.count(b"data: piece") == 3
    environment.check()


def test_stream_that_no_node_resumes_is_aborted() -> None:
    environment = ProxyEnvironment()
    order: list[Arrival] = []

    def script(arrival: Arrival) -> None:
        order.append(arrival)
        if len(order) > 1:
            arrival.reject()
            return
        arrival.begin_events()
        arrival.send_event(1)
        arrival.connection.close()

    environment.add_node(script)
    environment.add_node(script)
    client = environment.connect_client()
    client.send_request("/a/x")
    environment.run(client.wait_closed())
    assert client.responses == [] and event_bytes(1) in client.received and len(order) == 2
    environment.check()


def test_stream_that_is_not_resumable_is_aborted() -> None:
    environment = ProxyEnvironment()

    def script(arrival: Arrival) -> None:
        arrival.begin_events()
        arrival.send_event(1)
        arrival.connection.close()

    nodes = [environment.add_node(script) for _ in range(2)]
    client = environment.connect_client()
    client.send_request("/u/x")
    environment.run(client.wait_closed())
    assert client.responses == []
    assert sum(len(node.arrivals) for node in nodes) == 1
    environment.check()


def test_resumable_stream_abandons_a_stalled_node_and_an_unsafe_one_does_not() -> None:
    environment = ProxyEnvironment()
    unresponsive = True

    async def script(arrival: Arrival) -> None:
        if not unresponsive:
            await five_events(arrival)
            return
        arrival.begin_events()
        arrival.send_event(1)
        await asyncio.sleep(3.0)
        for number in range(2, 6):
            arrival.send_event(number)
        arrival.end_events()

    environment.add_node(script)
    environment.add_node(script)
    resumable, unsafe = environment.connect_client(), environment.connect_client()
    resumable.send_request("/a/x", attempt_id="t-1")
    unsafe.send_request("/u/x", attempt_id="t-2")
    environment.sleep(0.5)
    unresponsive = False
    response = environment.run(resumable.response(), 2.0)
    assert response is not None and response.body == ALL_FIVE
    response = environment.run(unsafe.response())
    assert response is not None and response.body == ALL_FIVE
    assert environment.metric("resumed") == 1
    environment.check()


def test_node_that_answers_other_requests_is_not_abandoned() -> None:
    environment = ProxyEnvironment()

    async def script(arrival: Arrival) -> None:
        if arrival.header("Coveport-Try-Id") == "slow":
            await asyncio.sleep(3.5)  # as if queued behind many requests
            await five_events(arrival)
            return
        arrival.begin_events()
        for number in range(1, 9):
            arrival.send_event(number)
            await asyncio.sleep(0.5)
        arrival.end_events()

    busy = environment.add_node(script)
    slow = environment.connect_client()
    quick = environment.connect_client()
    slow.send_request("/a/x", attempt_id="slow")
    quick.send_request("/u/x", attempt_id="quick")
    environment.sleep(0.1)
    idle = environment.add_node(five_events)
    response = environment.run(slow.response())
    assert response is not None and response.body == ALL_FIVE
    assert idle.arrivals == [] and len(busy.arrivals) == 2
    assert environment.run(quick.response()) is not None
    environment.check()


def test_idempotent_request_abandons_an_unresponsive_node() -> None:
    environment = ProxyEnvironment()
    environment.add_node(never_respond)
    client = environment.connect_client()
    client.send_request("/a/x")
    environment.sleep(0.1)
    environment.add_node(five_events)
    response = environment.run(client.response(), 3.0)
    assert response is not None and response.body == ALL_FIVE
    assert environment.nodes[0].connections[0].is_closed
    environment.check()


def test_stalled_node_is_not_abandoned_without_an_alternative() -> None:
    environment = ProxyEnvironment()

    async def script(arrival: Arrival) -> None:
        await asyncio.sleep(3.0)
        arrival.respond()

    node = environment.add_node(script)
    response = request_once(environment, "/safe/x")
    assert response is not None and response.status == 200 and len(node.arrivals) == 1
    environment.check()


# Deadlines, disconnecting clients, draining.


def never_respond(_: Arrival) -> None:
    """Send nothing."""


def test_deadline_answers_the_client_and_closes_the_node_connection() -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(never_respond)
    began = environment.time.now
    response = request_once(environment, "/u/x", ("Coveport-Time-Left", "700"))
    assert response is not None and response.status == 504
    assert 0.69 < environment.time.now - began < 0.75
    environment.sleep(0.1)
    assert node.connections[0].is_closed
    began = environment.time.now
    response = request_once(environment, "/u/x", ("Coveport-Time-Left", "60000"))
    assert response is not None and response.status == 504
    assert 4.9 < environment.time.now - began < 5.1  # the time-out of the route
    environment.check()


def test_client_that_disconnects_closes_the_node_connection() -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(never_respond)
    client = environment.connect_client()
    client.send_request("/u/x")
    environment.run_until(lambda: node.arrivals)
    assert client.transport is not None
    client.transport.abort()
    environment.sleep(0.1)
    assert node.connections[0].is_closed
    environment.check()


def test_slow_client_applies_backpressure_to_the_node() -> None:
    environment = ProxyEnvironment()
    sent = 0

    async def script(arrival: Arrival) -> None:
        nonlocal sent
        arrival.connection.write(arrival.head(200, http1.CHUNKED))
        for _ in range(400):
            await arrival.connection.wait_until_sent()
            arrival.connection.write(http1.write_chunk(b"x" * 10_000))
            sent += 10_000
        arrival.end_events()

    environment.add_node(script)
    client = environment.connect_client()
    client.send_request("/u/x")
    environment.run(client.wait_for(b"200"))
    assert client.transport is not None
    client.transport.pause_reading()
    environment.sleep(1.0)
    assert sent < 1_000_000  # two flow-control windows of the network and two buffers of the proxy
    client.transport.resume_reading()
    response = environment.run(client.response())
    assert response is not None and len(response.body) == 4_000_000
    environment.check()


def test_drain_answers_accepted_requests_and_then_closes() -> None:
    environment = ProxyEnvironment()
    environment.add_node(five_events)
    idle, busy, late = (
        environment.connect_client(),
        environment.connect_client(),
        environment.connect_client(),
    )
    busy.send_request("/u/x")
    environment.run(busy.wait_for(event_bytes(1)))
    began = environment.time.now
    drained = environment.proxy_process.create_task(environment.data_path.drain(began + 7.0))
    environment.sleep(0.1)
    late.send_request("/u/x", attempt_id="t-2")  # this client has not learned of the drain yet
    response = environment.run(late.response())
    assert response is not None and response.body == ALL_FIVE and response.headers["connection"] == ["close"]
    response = environment.run(busy.response())
    assert response is not None and response.body == ALL_FIVE
    environment.run_until(drained.done)
    environment.sleep(0.01)
    assert environment.time.now - began < 2.0
    assert idle.is_disconnected and busy.is_disconnected and late.is_disconnected
    with pytest.raises(ConnectionRefusedError):
        environment.connect_client()
    environment.check()


def test_drain_ends_in_time_though_a_node_is_stalled() -> None:
    environment = ProxyEnvironment()
    environment.add_node(never_respond)
    client = environment.connect_client()
    client.send_request("/u/x")
    environment.sleep(0.1)
    began = environment.time.now
    environment.run(environment.data_path.drain(began + 3.0), process=environment.proxy_process)
    assert 2.9 < environment.time.now - began < 3.1


# Localities, draining nodes, evacuations, home regions.


def test_only_the_own_region_is_used_while_it_has_a_usable_node() -> None:
    environment = ProxyEnvironment()
    near = [environment.add_node(respond) for _ in range(2)]
    far = environment.add_node(respond, region="q")
    for _ in range(20):
        request_once(environment)
    assert far.arrivals == [] and all(node.arrivals for node in near)
    environment.view.evacuated_zones = frozenset({"z"})
    request_once(environment)
    assert len(far.arrivals) == 1
    environment.check()


def test_request_with_home_regions_never_leaves_them() -> None:
    environment = ProxyEnvironment(routes=(replace(UNSAFE_STREAM, home_regions=frozenset({"q"})),))
    near = environment.add_node(respond)
    response = request_once(environment)
    assert response is not None and response.status == 503
    far = environment.add_node(respond, region="q")
    response = request_once(environment)
    assert response is not None and response.status == 200
    assert near.arrivals == [] and len(far.arrivals) == 1
    environment.check()


def test_node_that_begins_to_drain_during_a_connect_gets_no_request() -> None:
    environment = ProxyEnvironment()
    closing = environment.add_node(respond, region="q")  # one-way latency 1 ms: a connect takes 2 ms
    client = environment.connect_client()
    client.send_request("/u/x")
    environment.sleep(0.002)
    alternative = environment.add_node(respond)
    known_node = environment.view.nodes["i-0"]
    environment.update_node(replace(known_node, node=replace(known_node.node, state=NodeState.DRAINING)))
    response = environment.run(client.response())
    assert response is not None and response.status == 200
    assert len(closing.connections) == 1  # the connect had already started
    assert closing.arrivals == [] and len(alternative.arrivals) == 1
    environment.check()


def test_warming_node_gets_no_more_than_this_proxys_quota() -> None:
    environment = ProxyEnvironment()
    environment.view.max_proxies = 9
    node = environment.add_node(respond, cold_s=6.0)
    clients = [environment.connect_client() for _ in range(10)]
    arrivals: list[float] = []
    node.script = lambda arrival: (arrivals.append(environment.time.now), arrival.respond())[1]  # type: ignore[func-returns-value]
    for _ in range(20):
        for client in clients:
            if len(client.responses) or not client.received:
                client.send_request("/u/x")
        environment.sleep(0.2)
    quota = (9.8 * 1.5 + 5) / 9
    assert len(arrivals) >= 3
    for begin in arrivals:
        assert sum(begin <= arrival_s < begin + 1.0 for arrival_s in arrivals) <= quota
    environment.check()


def test_requests_wait_for_capacity_by_priority() -> None:
    urgent = replace(UNSAFE_STREAM, name="urgent", path_prefix="/first/", priority=0, latency_target_ms=2000)
    normal = replace(UNSAFE_STREAM, name="normal", path_prefix="/then/", priority=1, latency_target_ms=2000)
    environment = ProxyEnvironment(routes=(urgent, normal))
    assert environment.view.configuration is not None
    environment.view.configuration = Configuration(
        1, (urgent, normal), (replace(SERVICE, max_connections=1),)
    )

    async def script(arrival: Arrival) -> None:
        await asyncio.sleep(0.15)
        arrival.respond(b"x", 200, ("Keep-Alive", "timeout=5"))

    node = environment.add_node(script)
    clients: list[ScriptedClient] = [environment.connect_client() for _ in range(3)]
    for number, path in enumerate(("/then/0", "/then/1", "/first/2")):
        clients[number].send_request(path)
        environment.sleep(0.01)
    responses = [environment.run(client.response()) for client in clients]
    assert [response.status for response in responses if response is not None] == [200, 200, 200]
    assert [arrival.request.target for arrival in node.arrivals] == ["/then/0", "/first/2", "/then/1"]
    assert len(node.connections) == 1
    environment.check()


def test_newer_configuration_applies_from_the_next_request() -> None:
    environment = ProxyEnvironment()
    environment.add_node(respond)
    client = environment.connect_client()
    client.send_request("/u/x")
    assert environment.run(client.response()) is not None
    moved = replace(UNSAFE_STREAM, path_prefix="/v/")
    environment.view.configuration = Configuration(3, (moved,), (SERVICE,))
    client.send_request("/u/x")
    client.send_request("/v/x")
    responses = [environment.run(client.response(number)) for number in (1, 2)]
    assert [response.status for response in responses if response is not None] == [404, 200]
    environment.check()


def test_service_without_weight_gets_no_request() -> None:
    split = replace(SAFE, services=(WeightedService("none", 0.0), WeightedService("s", 2.0)))
    environment = ProxyEnvironment(routes=(split, RESUMABLE))
    assert environment.view.configuration is not None
    services = (SERVICE, replace(SERVICE, name="none"))
    environment.view.configuration = Configuration(1, (split,), services)
    node = environment.add_node(respond)
    for _ in range(30):
        response = request_once(environment, "/safe/x")
        assert response is not None and response.status == 200
    assert len(node.arrivals) == 30
    environment.check()


def test_a_body_is_passed_to_a_node_that_does_not_read_in_small_pieces() -> None:
    environment = ProxyEnvironment()
    environment.add_node(lambda arrival: None)
    client = environment.connect_client()
    client.send_request("/u/x")  # opens the connection to the node
    environment.run_until(lambda: environment.nodes[0].arrivals)
    environment.nodes[0].arrivals[0].respond(b"", 200, ("Keep-Alive", "timeout=9"))
    environment.run(client.response())
    node_side = environment.nodes[0].connections[0].transport
    assert node_side is not None
    node_side.pause_reading()
    client.send_request("/u/x", body=bytes(LARGE_BODY_BYTES))
    environment.run_until(lambda: environment.metric("in_flight") == 1)
    environment.sleep(0.5)
    (proxy_side,) = next(iter(environment.data_path._context.pool._in_use.values()))
    assert proxy_side._transport is not None
    assert 0 < proxy_side._transport.get_write_buffer_size() <= WRITE_BYTES
    node_side.resume_reading()
    environment.run_until(lambda: len(environment.nodes[0].arrivals) == 2)
    assert environment.nodes[0].arrivals[1].request.body == bytes(LARGE_BODY_BYTES)


def test_an_event_without_an_end_is_given_up() -> None:
    environment = ProxyEnvironment()

    def send_endless_event(arrival: Arrival) -> None:
        arrival.begin_events()
        arrival.connection.write(http1.write_chunk(b"id: 1\ndata: " + bytes(MAX_EVENT_BYTES)))

    for _ in range(2):
        environment.add_node(send_endless_event)
    client = environment.connect_client()
    client.send_request("/a/x")
    environment.run(client.wait_closed())
    assert client.responses == []
    assert environment.metric("broken") == 2
    environment.check()
