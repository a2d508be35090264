"""A copy of a response that comes late is never taken for the response to another attempt or request.

Guards against TWICE, REFUSED and MIXED: all attempts of a request have one id, so the id alone doesn't tell
the copy of a rejection from the response to the next attempt on the same connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum, auto

import pytest
from proxy_environment import RESUMABLE, SAFE, SERVICE, UNSAFE_STREAM, ProxyEnvironment
from scripted_node import Arrival, Connection, ScriptedNode, event_bytes

from coveport import http1
from coveport.serving.model.configuration import RouteKind

# The target lets a request wait for a node that has just rejected it.
UNSAFE = replace(
    UNSAFE_STREAM, name="unsafe", path_prefix="/once/", kind=RouteKind.UNSAFE, latency_target_ms=2500
)
KEPT = ("Keep-Alive", "timeout=9")
COPY_DELAY_S = 0.05


class CopyTime(Enum):
    """When the copy of a rejection is sent."""

    WITH_THE_RESPONSE = auto()  # in the same write
    BETWEEN_REQUESTS = auto()  # while the connection is idle
    BEFORE_THE_NEXT_RESPONSE = auto()
    AFTER_THE_NEXT_RESPONSE = auto()


def rejection(arrival: Arrival, status: int) -> bytes:
    return arrival.head(status, ("Coveport-Not-Run", "1"), KEPT, ("Content-Length", "0"))


def is_health_check(arrival: Arrival) -> bool:
    return arrival.request.target == SERVICE.health_path


def respond_to_health_check(arrival: Arrival, owed: bytes = b"") -> None:
    headers = [("Coveport-Instance", "i-0"), KEPT]
    arrival.connection.write(owed + http1.write_response(200, headers, b"well"))


@dataclass
class CopyingNode:
    """Rejects the first attempts, sends a copy of each rejection, and runs all other requests."""

    status: int
    copy_time: CopyTime
    rejections: int = 1  # of each attempt id
    runs: list[str] = field(default_factory=list)  # attempt ids
    _rejected: list[str] = field(default_factory=list)
    _owed: dict[Connection, bytes] = field(default_factory=dict)  # copies that are still to be sent

    async def respond(self, arrival: Arrival) -> None:
        connection = arrival.connection
        attempt_id = arrival.header("Coveport-Try-Id") or ""
        owed = self._owed.pop(connection, b"")
        if is_health_check(arrival):
            respond_to_health_check(arrival, owed)
            return
        if owed and self.copy_time is CopyTime.BEFORE_THE_NEXT_RESPONSE:
            connection.write(owed)
            await asyncio.sleep(COPY_DELAY_S)
        if self._rejected.count(attempt_id) < self.rejections:
            self._rejected.append(attempt_id)
            self._reject(arrival)
        else:
            self.runs.append(attempt_id)
            arrival.respond(attempt_id.encode(), 200, KEPT)
        if owed and self.copy_time is CopyTime.AFTER_THE_NEXT_RESPONSE:
            connection.write(owed)

    def _reject(self, arrival: Arrival) -> None:
        copy = rejection(arrival, self.status)
        if self.copy_time is CopyTime.WITH_THE_RESPONSE:
            arrival.connection.write(copy + copy)
            return
        arrival.connection.write(copy)
        if self.copy_time is CopyTime.BETWEEN_REQUESTS:
            asyncio.get_running_loop().call_later(COPY_DELAY_S, self._send, arrival.connection, copy)
        else:
            self._owed[arrival.connection] = copy

    def _send(self, connection: Connection, data: bytes) -> None:
        if not connection.is_closed:
            connection.write(data)


@pytest.mark.parametrize(("max_attempts", "rejections"), [(2, 1), (3, 1), (5, 1), (5, 3)])
@pytest.mark.parametrize("copy_time", CopyTime)
@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_copy_of_a_rejection_is_not_taken_for_the_next_attempts_response(
    status: int, copy_time: CopyTime, max_attempts: int, rejections: int
) -> None:
    environment = ProxyEnvironment(routes=(replace(UNSAFE, max_attempts=max_attempts),))
    copying = CopyingNode(status, copy_time, rejections)
    environment.add_node(copying.respond)
    client = environment.connect_client()
    for number in range(4):
        client.send_request("/once/x", attempt_id=f"t-{number}")
        assert environment.run(client.response(number)) is not None
        environment.sleep(0.5)
    for number, response in enumerate(client.responses):
        attempt_id = f"t-{number}"
        run_count = copying.runs.count(attempt_id)
        assert run_count <= 1
        assert (response.status, response.body) == ((200, attempt_id.encode()) if run_count else (503, b""))
    if status != 421:  # after it the node is ejected for longer than a request waits
        assert len(copying.runs) == 4
    environment.check()


def test_copy_of_a_rejection_is_skipped_by_the_next_request_on_its_connection() -> None:
    environment = ProxyEnvironment(routes=(replace(UNSAFE, max_attempts=1),))
    copying = CopyingNode(503, CopyTime.BEFORE_THE_NEXT_RESPONSE)
    node = environment.add_node(copying.respond)
    client = environment.connect_client()
    client.send_request("/once/x", attempt_id="t-0")
    response = environment.run(client.response(0))
    assert response is not None and response.status == 503
    environment.sleep(0.3)
    copying.rejections = 0
    client.send_request("/once/x", attempt_id="t-1")
    response = environment.run(client.response(1))
    assert response is not None and response.body == b"t-1"
    assert copying.runs == ["t-1"] and len(node.connections) == 1
    assert environment.metric("surplus") == 1 and environment.metric("rejection_checks") == 0
    environment.check()


@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_two_rejections_on_one_connection_are_no_doubt_about_a_run(status: int) -> None:
    """A second rejection that is no copy leads to a further attempt, and after the last to a rejection."""
    environment = ProxyEnvironment(routes=(replace(UNSAFE, max_attempts=3),))

    def reject(arrival: Arrival) -> None:
        if is_health_check(arrival):
            respond_to_health_check(arrival)
        else:
            arrival.connection.write(rejection(arrival, status))

    node = environment.add_node(reject)
    client = environment.connect_client()
    client.send_request("/once/x")
    response = environment.run(client.response())
    assert response is not None and response.status == 503
    attempts = [arrival for arrival in node.arrivals if not is_health_check(arrival)]
    assert 1 <= len(attempts) <= 3
    if status != 421:  # after it the node is ejected for longer than a request waits
        assert len(attempts) == 3
        assert environment.metric("rejection_checks") == 1
    environment.check()


def test_a_node_that_says_nothing_behind_a_second_rejection_may_have_run_the_request() -> None:
    environment = ProxyEnvironment(routes=(replace(UNSAFE, max_attempts=3),))

    def reject(arrival: Arrival) -> None:
        if not is_health_check(arrival):
            arrival.connection.write(rejection(arrival, 503))

    node = environment.add_node(reject)
    client = environment.connect_client()
    client.send_request("/once/x")
    response = environment.run(client.response())
    assert response is not None and response.status == 504
    assert len(node.arrivals) == 3
    environment.check()


def test_a_retry_opens_no_connection_while_another_one_is_idle() -> None:
    """Overload opens few connections: a retry avoids the connection of its rejection only while it can."""
    environment = ProxyEnvironment(routes=(UNSAFE,))
    seen: set[str] = set()

    def reject_once(arrival: Arrival) -> None:
        attempt_id = arrival.header("Coveport-Try-Id") or ""
        if attempt_id in seen:
            arrival.respond(b"x", 200, KEPT)
        else:
            seen.add(attempt_id)
            arrival.connection.write(rejection(arrival, 503))

    node = environment.add_node(reject_once)
    client = environment.connect_client()
    for number in range(20):
        client.send_request("/once/x", attempt_id=f"t-{number}")
        response = environment.run(client.response(number))
        assert response is not None and response.status == 200
    assert len(node.arrivals) == 40 and len(node.connections) == 1
    environment.run(
        environment.data_path._context.pool.check_connect(environment.view.nodes["i-0"].node),
        process=environment.proxy_process,
    )
    client.send_request("/once/x", attempt_id="last")
    assert environment.run(client.response(20)) is not None
    first, second = node.arrivals[-2:]
    assert first.connection is not second.connection and len(node.connections) == 2
    environment.check()


def test_a_safe_request_rejected_twice_on_a_connection_leaves_no_answer_for_the_next_one() -> None:
    environment = ProxyEnvironment(routes=(replace(SAFE, max_attempts=3, latency_target_ms=2500),))
    copying = CopyingNode(503, CopyTime.BEFORE_THE_NEXT_RESPONSE)
    environment.add_node(copying.respond)
    client = environment.connect_client()
    for number in range(4):
        client.send_request("/safe/x", attempt_id=f"t-{number}")
        response = environment.run(client.response(number))
        assert response is not None and response.body == b"t-%d" % number
    environment.check()


def without_id(arrival: Arrival) -> bytes:
    """Return what a node answers to a request without an id."""
    headers = [("Coveport-Not-Run", "1"), KEPT]
    return http1.write_response(400, headers, arrival.request.target.encode())


def with_empty_id(arrival: Arrival) -> bytes:
    headers = [("Coveport-Try-Id", ""), ("Coveport-Not-Run", "1"), KEPT]
    return http1.write_response(400, headers, arrival.request.target.encode())


def send_without_id(environment: ProxyEnvironment, path: str) -> http1.Response | None:
    client = environment.connect_client()
    client.send(http1.write_request("POST", path, [("Host", "one.example")], b"x"))
    return environment.run(client.response())


@pytest.mark.parametrize("answer", [without_id, with_empty_id])
def test_copy_of_a_response_without_an_id_is_not_taken_for_another_such_response(
    answer: Callable[[Arrival], bytes],
) -> None:
    environment = ProxyEnvironment(routes=(UNSAFE, SAFE))
    owed: dict[Connection, bytes] = {}

    def respond(arrival: Arrival) -> None:
        arrival.connection.write(owed.pop(arrival.connection, b"") + answer(arrival))
        owed[arrival.connection] = answer(arrival)

    environment.add_node(respond)
    for number in range(4):
        for prefix in ("/once/", "/safe/"):
            path = f"{prefix}{number}"
            response = send_without_id(environment, path)
            assert response is not None and (response.status, response.body) == (400, path.encode())
    environment.check()


def test_copy_of_a_broken_streams_response_is_not_taken_for_its_resumption() -> None:
    environment = ProxyEnvironment(routes=(replace(RESUMABLE, max_attempts=3, latency_target_ms=2500),))
    nodes: list[ScriptedNode] = []

    async def stream(arrival: Arrival) -> None:
        first = int(arrival.header("Last-Event-Id") or 0) + 1
        if sum(len(node.arrivals) for node in nodes) == 1:
            arrival.connection.write(rejection(arrival, 503) * 2)
            return
        arrival.begin_events()
        for number in range(first, first + 2):
            arrival.send_event(number)
        if first < 3:
            await asyncio.sleep(COPY_DELAY_S)
            arrival.connection.write(rejection(arrival, 503))
            return
        arrival.end_events()

    nodes += [environment.add_node(stream) for _ in range(2)]
    client = environment.connect_client()
    client.send_request("/a/x")
    response = environment.run(client.response())
    assert response is not None and response.status == 200
    assert response.body == b"".join(event_bytes(number) for number in range(1, 5))
    arrivals = [arrival for node in nodes for arrival in node.arrivals]
    assert len({arrival.connection for arrival in arrivals}) == len(arrivals) == 3
    environment.check()


def test_bytes_on_the_connection_of_a_health_check_reach_no_request() -> None:
    environment = ProxyEnvironment(routes=(UNSAFE,))
    node = environment.add_node(lambda arrival: arrival.respond(b"own", 200, KEPT))
    pool = environment.data_path._context.pool
    known = environment.view.nodes["i-0"]
    assert environment.run(pool.check_connect(known.node), process=environment.proxy_process)
    environment.sleep(0.05)
    node.connections[0].write(b"HTTP/1.1 200 OK\r\nCoveport-Try-Id: t-1\r\nContent-Length: 3\r\n\r\nold")
    environment.sleep(0.05)
    client = environment.connect_client()
    client.send_request("/once/x")
    response = environment.run(client.response())
    assert response is not None and response.body == b"own"
    assert environment.metric("unsolicited") == 1
    environment.check()
