"""What a proxy does with requests and answers, against nodes that break things at named bytes."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from proxy_environment import RESUMABLE, SAFE, SERVICE, UNSAFE_STREAM, ProxyEnvironment
from scripted_node import Arrival, ScriptedClient, event_bytes

from coveport.http1 import codec
from coveport.serving.model.configuration import ClientLimits, Configuration, WeightedService
from coveport.serving.model.node import NodeState
from coveport.serving.settings.boot import Bounds


def whole(arrival: Arrival) -> None:
    arrival.whole()


async def five_events(arrival: Arrival) -> None:
    arrival.begin_events()
    for number in range(int(arrival.header("Last-Event-Id") or 0) + 1, 6):
        arrival.event(number)
        await asyncio.sleep(0.05)
    arrival.end_events()


ALL_FIVE = b"".join(event_bytes(number) for number in range(1, 6))


def ask(
    environment: ProxyEnvironment, path: str = "/u/x", *more: tuple[str, str], **how: str
) -> codec.Response | None:
    """One request on a connection of its own, and its answer."""
    client = environment.client()
    client.ask(path, *more, **how)  # type: ignore[arg-type]
    return environment.run(client.answer())


# Passing on.


def test_a_request_is_passed_on_as_it_came() -> None:
    environment = ProxyEnvironment()
    node = environment.node(whole)
    client = environment.client()
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
    client.send(codec.write_request("PATCH", "/u/x?y=%20z", headers, b"\0body"))
    answer = environment.run(client.answer())
    assert answer is not None and answer.body == b"hello" and answer.status == 200
    assert answer.headers["coveport-postmark"] == ["stamp-1"]
    (arrival,) = node.arrivals
    assert (arrival.request.method, arrival.request.target) == ("PATCH", "/u/x?y=%20z")
    assert arrival.request.body == b"\0body"
    left = int(arrival.header("Coveport-Time-Left") or 0)
    assert 2900 < left < 3000
    assert arrival.request.headers == {
        "host": ["ONE.example:99"],
        "coveport-try-id": ["abc"],
        "coveport-model": ["m"],
        "coveport-time-left": [str(left)],
        "coveport-addressee": ["i-0"],
        "content-length": ["5"],
    }
    environment.check()


def test_events_are_passed_on_as_they_come() -> None:
    environment = ProxyEnvironment()
    environment.node(five_events)
    for path in ("/u/x", "/a/x"):
        client = environment.client()
        began = environment.time.now
        client.ask(path)
        environment.run(client.has(event_bytes(1)))
        assert environment.time.now - began < 0.04
        answer = environment.run(client.answer())
        assert answer is not None and answer.body == ALL_FIVE
    environment.check()


def test_the_nodes_own_failures_are_passed_on() -> None:
    environment = ProxyEnvironment()
    status = 500
    environment.node(lambda arrival: arrival.whole(b"why", status))
    for status in (500, 504, 400, 404):
        answer = ask(environment)
        assert answer is not None and (answer.status, answer.body) == (status, b"why")
        assert answer.headers["coveport-postmark"] == ["stamp-1"]
    environment.check()


def test_connections_to_nodes_and_of_clients_are_used_again() -> None:
    environment = ProxyEnvironment()
    node = environment.node(lambda arrival: arrival.whole(b"x", 200, ("Keep-Alive", "timeout=5")))
    client = environment.client()
    for number in range(5):
        client.ask("/u/x", try_id=f"t-{number}")
        assert environment.run(client.answer(number)) is not None
        environment.sleep(0.5)
    assert len(node.connections) == 1
    environment.sleep(4.5)  # the node would close it after 5 s
    assert node.connections[0].lost
    client.ask("/u/x")
    assert environment.run(client.answer(5)) is not None
    assert len(node.connections) == 2
    environment.check()


def test_a_node_that_says_close_gets_a_new_connection() -> None:
    environment = ProxyEnvironment()
    node = environment.node(lambda arrival: arrival.whole(b"x", 200, ("Connection", "close")))
    assert ask(environment) is not None
    assert ask(environment) is not None
    assert len(node.connections) == 2 and node.connections[0].lost
    environment.check()


def test_no_route_is_told_at_once_and_the_connection_goes_on() -> None:
    environment = ProxyEnvironment()
    node = environment.node(whole)
    client = environment.client()
    client.ask("/nothing/x")
    client.ask("/u/x", host="other.example")
    client.ask("/u/x")
    answers = [environment.run(client.answer(number)) for number in range(3)]
    assert [answer.status for answer in answers if answer is not None] == [404, 404, 200]
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
def test_bad_input_gets_one_answer_and_a_close_and_is_never_sent_on(sent: bytes, status: int) -> None:
    environment = ProxyEnvironment()
    node = environment.node(whole)
    assert environment.view.configuration is not None
    environment.view.configuration = replace(
        environment.view.configuration, limits=ClientLimits(body_bytes=100)
    )
    client = environment.client()
    client.send(sent)
    client.send(b"POST /u/x HTTP/1.1\r\nHost: one.example\r\nContent-Length: 0\r\n\r\n")
    environment.run(client.end())
    assert [answer.status for answer in client.answers] == [status]
    assert node.arrivals == []
    environment.check()


@pytest.mark.parametrize(("header_bytes", "status"), [(1000, 431), (40_000, 200)])
def test_the_configurations_bound_of_a_head_counts(header_bytes: int, status: int) -> None:
    environment = ProxyEnvironment()
    environment.node(whole)
    assert environment.view.configuration is not None
    limits = ClientLimits(header_bytes=header_bytes)
    environment.view.configuration = replace(environment.view.configuration, limits=limits)
    answer = ask(environment, "/u/x", ("X-Long", "y" * 20_000))
    assert answer is not None and answer.status == status
    environment.check()


def test_a_head_that_takes_too_long_and_an_idle_connection_are_ended() -> None:
    environment = ProxyEnvironment()
    client = environment.client()
    began = environment.time.now
    client.send(b"POST /u/x HTTP/1.1\r\n")
    environment.sleep(2.0)
    client.send(b"Host: one.example\r\n")  # moving does not help
    environment.run(client.end())
    assert [answer.status for answer in client.answers] == [408]
    assert environment.time.now - began < 4.5
    idle = environment.client()
    began = environment.time.now
    environment.run(idle.end())
    assert idle.answers == [] and 14.9 < environment.time.now - began < 15.2
    environment.check()


def test_a_chunked_body_arrives_whole_and_100_continue_is_said() -> None:
    environment = ProxyEnvironment()
    node = environment.node(whole)
    client = environment.client()
    client.send(
        b"POST /u/x HTTP/1.1\r\nHost: one.example\r\nCoveport-Try-Id: t-1\r\n"
        b"Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"
    )
    environment.run(client.has(b"100 Continue"))
    client.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert environment.run(client.answer()) is not None
    assert node.arrivals[0].request.body == b"abcde"
    assert node.arrivals[0].header("Expect") is None
    environment.check()


# At most once, and what may be sent again.


def break_off_first(environment: ProxyEnvironment) -> list[str]:
    """Two nodes: the first send is reset before any answer. Names of the nodes in the order of arrivals."""
    order: list[str] = []

    def script(arrival: Arrival) -> None:
        order.append(arrival.header("Coveport-Addressee") or "")
        if len(order) == 1:
            arrival.connection.abort()
        else:
            arrival.whole()

    environment.node(script)
    environment.node(script)
    return order


def test_what_may_have_run_is_not_sent_again() -> None:
    environment = ProxyEnvironment()
    order = break_off_first(environment)
    answer = ask(environment, "/u/x")
    assert answer is not None and answer.status == 502
    assert len(order) == 1
    environment.check()


@pytest.mark.parametrize("path", ["/safe/x", "/a/x"])
def test_what_may_run_twice_goes_to_another_node(path: str) -> None:
    environment = ProxyEnvironment()
    order = break_off_first(environment)
    answer = ask(environment, path)
    assert answer is not None and answer.status == 200
    assert len(set(order)) == 2
    environment.check()


@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_what_did_not_run_goes_to_another_node(status: int) -> None:
    environment = ProxyEnvironment()
    order: list[str] = []

    def script(arrival: Arrival) -> None:
        order.append(arrival.header("Coveport-Addressee") or "")
        if len(order) == 1:
            arrival.not_run(status)
        else:
            arrival.whole()

    environment.node(script)
    environment.node(script)
    answer = ask(environment, "/u/x")
    assert answer is not None and answer.status == 200
    assert len(set(order)) == 2
    environment.check()


@pytest.mark.parametrize("status", [503, 429, 408])
def test_a_refusal_that_does_not_say_it_did_not_run_may_have_run(status: int) -> None:
    environment = ProxyEnvironment()
    nodes = [environment.node(lambda arrival: arrival.whole(b"", status)) for _ in range(2)]
    answer = ask(environment, "/u/x")
    assert answer is not None and answer.status == 502
    assert sum(len(node.arrivals) for node in nodes) == 1
    environment.check()


def test_no_more_sends_than_the_route_allows_and_then_a_refusal_with_a_time() -> None:
    environment = ProxyEnvironment()
    nodes = [environment.node(lambda arrival: arrival.not_run()) for _ in range(4)]
    answer = ask(environment, "/u/x")
    assert answer is not None and answer.status == 503
    assert 0 < float(answer.headers["retry-after"][0]) < 1
    assert sum(len(node.arrivals) for node in nodes) == 2
    environment.check()


def test_a_refusal_after_a_send_that_may_have_run_promises_nothing() -> None:
    environment = ProxyEnvironment()
    order: list[str] = []

    def script(arrival: Arrival) -> None:
        order.append("")
        if len(order) == 1:
            arrival.connection.abort()
        else:
            arrival.not_run()

    for _ in range(2):
        environment.node(script)
    answer = ask(environment, "/safe/x")
    assert answer is not None and answer.status == 502
    environment.check()


def test_a_connect_that_fails_costs_neither_attempt_nor_budget() -> None:
    environment = ProxyEnvironment(
        Bounds(retry_ratio=0.0, retry_slack=0.0), (replace(UNSAFE_STREAM, max_attempts=1),)
    )
    for number in range(2):
        environment.node(whole)
        environment.gone(number)
    good = environment.node(whole)
    for _ in range(6):
        answer = ask(environment, "/u/x")
        assert answer is not None and answer.status == 200
    assert len(good.arrivals) == 6
    assert environment.metric("connects_failed") <= 2
    environment.check()


def test_a_dark_machine_holds_a_request_for_a_moment_only() -> None:
    environment = ProxyEnvironment()
    environment.node(whole)
    environment.node(whole)
    environment.dark(0)
    for _ in range(8):
        began = environment.time.now
        answer = ask(environment, "/u/x")
        assert answer is not None and answer.status == 200
        assert environment.time.now - began < 0.6
    assert environment.metric("connects_failed") == 1
    environment.dark(0, False)
    environment.sleep(10.0)  # a trial finds it
    for _ in range(20):
        ask(environment, "/u/x")
    assert environment.nodes[0].arrivals
    environment.check()


def test_the_budget_bounds_second_sends() -> None:
    environment = ProxyEnvironment(Bounds(retry_ratio=0.2, retry_slack=5.0))
    nodes = [environment.node(lambda arrival: arrival.not_run()) for _ in range(8)]
    for _ in range(50):
        ask(environment, "/u/x")
    arrivals = sum(len(node.arrivals) for node in nodes)
    assert arrivals <= 50 + 0.2 * 50 + 5
    assert environment.metric("retries") >= 8
    environment.check()


def test_a_connection_that_the_node_has_closed_is_not_used() -> None:
    environment = ProxyEnvironment()
    node = environment.node(lambda arrival: arrival.whole(b"x", 200, ("Keep-Alive", "timeout=5")))
    ask(environment)
    node.connections[0].close()
    environment.sleep(0.01)
    answer = ask(environment)
    assert answer is not None and answer.status == 200
    assert len(node.connections) == 2
    environment.check()


# Answers that are none, or another's.


def test_a_success_without_the_nodes_stamp_does_not_reach_a_client() -> None:
    environment = ProxyEnvironment()
    environment.node(
        lambda arrival: arrival.connection.write(
            arrival.head(200, ("Content-Length", "2"), stamp=None) + b"no"
        )
    )
    answer = ask(environment)
    assert answer is not None and answer.status == 502 and b"no" not in answer.body
    environment.check()


def test_bytes_behind_an_answer_reach_nobody() -> None:
    environment = ProxyEnvironment()
    surplus = (
        b"HTTP/1.1 200 OK\r\nCoveport-Try-Id: old\r\nCoveport-Postmark: s\r\nContent-Length: 3\r\n\r\nold"
    )

    def script(arrival: Arrival) -> None:
        arrival.whole(b"x", 200, ("Keep-Alive", "timeout=9"))
        arrival.connection.write(surplus)

    environment.node(script)
    client = environment.client()
    for number in range(4):
        client.ask("/u/x", try_id=f"t-{number}")
        answer = environment.run(client.answer(number))
        assert answer is not None and answer.body == b"x"
        assert answer.headers["coveport-try-id"] == [f"t-{number}"]
        environment.sleep(0.3)
    assert len(client.answers) == 4 and b"old" not in client.raw
    environment.check()


def test_a_late_answer_to_another_request_is_read_over() -> None:
    environment = ProxyEnvironment()

    async def script(arrival: Arrival) -> None:
        if arrival.header("Coveport-Try-Id") == "t-1":
            await asyncio.sleep(0.05)
            arrival.connection.write(
                b"HTTP/1.1 200 OK\r\nCoveport-Try-Id: t-0\r\n"
                b"Coveport-Postmark: s\r\nContent-Length: 3\r\n\r\nold"
            )
        arrival.whole(b"x", 200, ("Keep-Alive", "timeout=9"))

    node = environment.node(script)
    client = environment.client()
    for number in range(3):
        client.ask("/u/x", try_id=f"t-{number}")
        answer = environment.run(client.answer(number))
        assert answer is not None and answer.status == 200 and answer.body == b"x"
    assert b"old" not in client.raw
    assert len(node.connections) == 2  # the one with the surplus is not used again
    assert environment.metric("surplus") == 1
    environment.check()


@pytest.mark.parametrize(
    "garbage", [b"\0\1\2 nothing\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/9 what\r\n\r\n"]
)
def test_what_is_no_answer_reaches_nobody(garbage: bytes) -> None:
    environment = ProxyEnvironment()

    def script(arrival: Arrival) -> None:
        arrival.connection.write(garbage)
        arrival.connection.close()

    environment.node(script)
    answer = ask(environment)
    assert answer is not None and answer.status == 502 and answer.body == b""
    environment.check()


@pytest.mark.parametrize("framing", [("Content-Length", "10"), codec.CHUNKED])
@pytest.mark.parametrize("ends", ["close", "abort"])
def test_an_answer_that_breaks_off_does_not_look_whole(framing: tuple[str, str], ends: str) -> None:
    environment = ProxyEnvironment()

    async def script(arrival: Arrival) -> None:
        arrival.connection.write(arrival.head(200, framing))
        arrival.connection.write(b"hello" if framing[0] == "Content-Length" else codec.write_chunk(b"hello"))
        await asyncio.sleep(0.1)
        getattr(arrival.connection, ends)()

    environment.node(script)
    client = environment.client()
    client.ask("/u/x")
    environment.run(client.has(b"hello"))
    environment.run(client.end())
    assert client.answers == []
    environment.check()


# Streams that go on.


@pytest.mark.parametrize("cut", range(0, len(ALL_FIVE), 7))
def test_a_resumable_stream_goes_on_at_another_node_whatever_the_byte_it_breaks_at(cut: int) -> None:
    environment = ProxyEnvironment()
    order: list[str | None] = []

    async def script(arrival: Arrival) -> None:
        order.append(arrival.header("Last-Event-Id"))
        if len(order) > 1:
            await five_events(arrival)
            return
        arrival.begin_events()
        arrival.connection.write(codec.write_chunk(ALL_FIVE[:cut]))
        await asyncio.sleep(0.05)
        arrival.connection.abort()

    environment.node(script)
    environment.node(script)
    answer = ask(environment, "/a/x")
    assert answer is not None and answer.body == ALL_FIVE
    passed = ALL_FIVE[:cut].count(b"\n\n")
    assert order == [None, str(passed) if passed else None]
    environment.check()


def test_the_first_nodes_head_is_kept() -> None:
    environment = ProxyEnvironment()
    order: list[Arrival] = []

    async def script(arrival: Arrival) -> None:
        order.append(arrival)
        head = arrival.head(200, codec.CHUNKED, ("X-Node", str(len(order))), stamp=f"stamp-{len(order)}")
        arrival.connection.write(head)
        first = int(arrival.header("Last-Event-Id") or 0) + 1
        for number in range(first, 6):
            arrival.event(number)
            if len(order) == 1 and number == 3:
                arrival.connection.close()
                return
        arrival.end_events()

    environment.node(script)
    environment.node(script)
    client = environment.client()
    client.ask("/a/x", ("Last-Event-Id", "1"))
    answer = environment.run(client.answer())
    assert answer is not None and answer.headers["coveport-postmark"] == ["stamp-1"]
    assert answer.headers["x-node"] == ["1"]
    assert answer.body == b"".join(event_bytes(number) for number in range(2, 6))
    assert [arrival.header("Last-Event-Id") for arrival in order] == ["1", "3"]
    environment.check()


@pytest.mark.parametrize("resumed_at", [1, 2, 3, 5])
def test_another_run_that_does_not_go_on_where_it_should_is_not_joined(resumed_at: int) -> None:
    environment = ProxyEnvironment()
    order: list[Arrival] = []

    async def script(arrival: Arrival) -> None:
        order.append(arrival)
        arrival.begin_events()
        if len(order) == 1:
            for number in range(1, 4):
                arrival.event(number)
            await asyncio.sleep(0.01)
            arrival.connection.abort()
            return
        for number in range(resumed_at, 6):  # 4 would go on
            arrival.event(number)
        arrival.end_events()

    environment.node(script)
    environment.node(script)
    client = environment.client()
    client.ask("/a/x")
    environment.run(client.end())
    assert client.answers == [] and client.raw.count(b"data: piece") == 3
    environment.check()


def test_a_stream_that_nobody_takes_up_is_cut_and_not_ended() -> None:
    environment = ProxyEnvironment()
    order: list[Arrival] = []

    def script(arrival: Arrival) -> None:
        order.append(arrival)
        if len(order) > 1:
            arrival.not_run()
            return
        arrival.begin_events()
        arrival.event(1)
        arrival.connection.close()

    environment.node(script)
    environment.node(script)
    client = environment.client()
    client.ask("/a/x")
    environment.run(client.end())
    assert client.answers == [] and event_bytes(1) in client.raw and len(order) == 2
    environment.check()


def test_a_stream_that_may_not_be_resumed_is_cut() -> None:
    environment = ProxyEnvironment()

    def script(arrival: Arrival) -> None:
        arrival.begin_events()
        arrival.event(1)
        arrival.connection.close()

    nodes = [environment.node(script) for _ in range(2)]
    client = environment.client()
    client.ask("/u/x")
    environment.run(client.end())
    assert client.answers == []
    assert sum(len(node.arrivals) for node in nodes) == 1
    environment.check()


def test_a_resumable_stream_leaves_a_node_that_went_silent_and_an_unsafe_one_does_not() -> None:
    environment = ProxyEnvironment()
    unresponsive = True

    async def script(arrival: Arrival) -> None:
        if not unresponsive:
            await five_events(arrival)
            return
        arrival.begin_events()
        arrival.event(1)
        await asyncio.sleep(3.0)
        for number in range(2, 6):
            arrival.event(number)
        arrival.end_events()

    environment.node(script)
    environment.node(script)
    resumable, unsafe = environment.client(), environment.client()
    resumable.ask("/a/x", try_id="t-1")
    unsafe.ask("/u/x", try_id="t-2")
    environment.sleep(0.5)
    unresponsive = False
    answer = environment.run(resumable.answer(), 2.0)
    assert answer is not None and answer.body == ALL_FIVE
    answer = environment.run(unsafe.answer())
    assert answer is not None and answer.body == ALL_FIVE
    assert environment.metric("resumed") == 1
    environment.check()


def test_a_node_that_speaks_to_others_is_not_left() -> None:
    environment = ProxyEnvironment()

    async def script(arrival: Arrival) -> None:
        if arrival.header("Coveport-Try-Id") == "slow":
            await asyncio.sleep(3.5)  # as behind a long queue
            await five_events(arrival)
            return
        arrival.begin_events()
        for number in range(1, 9):
            arrival.event(number)
            await asyncio.sleep(0.5)
        arrival.end_events()

    busy = environment.node(script)
    slow, other = environment.client(), environment.client()
    slow.ask("/a/x", try_id="slow")
    other.ask("/u/x", try_id="other")
    environment.sleep(0.1)
    idle = environment.node(five_events)
    answer = environment.run(slow.answer())
    assert answer is not None and answer.body == ALL_FIVE
    assert idle.arrivals == [] and len(busy.arrivals) == 2
    assert environment.run(other.answer()) is not None
    environment.check()


def test_an_idempotent_request_leaves_a_node_that_says_nothing_to_anyone() -> None:
    environment = ProxyEnvironment()
    environment.node(hold)
    client = environment.client()
    client.ask("/a/x")
    environment.sleep(0.1)
    environment.node(five_events)
    answer = environment.run(client.answer(), 3.0)
    assert answer is not None and answer.body == ALL_FIVE
    assert environment.nodes[0].connections[0].lost
    environment.check()


def test_a_silent_node_is_waited_for_where_no_other_can_take_the_request() -> None:
    environment = ProxyEnvironment()

    async def script(arrival: Arrival) -> None:
        await asyncio.sleep(3.0)
        arrival.whole()

    node = environment.node(script)
    answer = ask(environment, "/safe/x")
    assert answer is not None and answer.status == 200 and len(node.arrivals) == 1
    environment.check()


# Deadlines, clients that leave, drain.


def hold(_: Arrival) -> None:
    """Say nothing."""


def test_at_the_deadline_the_client_is_told_and_the_node_let_go() -> None:
    environment = ProxyEnvironment()
    node = environment.node(hold)
    began = environment.time.now
    answer = ask(environment, "/u/x", ("Coveport-Time-Left", "700"))
    assert answer is not None and answer.status == 504
    assert 0.69 < environment.time.now - began < 0.75
    environment.sleep(0.1)
    assert node.connections[0].lost
    began = environment.time.now
    answer = ask(environment, "/u/x", ("Coveport-Time-Left", "60000"))
    assert answer is not None and answer.status == 504
    assert 4.9 < environment.time.now - began < 5.1  # the route's
    environment.check()


def test_a_client_that_leaves_frees_the_node() -> None:
    environment = ProxyEnvironment()
    node = environment.node(hold)
    client = environment.client()
    client.ask("/u/x")
    environment.until(lambda: node.arrivals)
    assert client.transport is not None
    client.transport.abort()
    environment.sleep(0.1)
    assert node.connections[0].lost
    environment.check()


def test_a_slow_client_holds_the_node_back_and_little_memory() -> None:
    environment = ProxyEnvironment()
    sent = 0

    async def script(arrival: Arrival) -> None:
        nonlocal sent
        arrival.connection.write(arrival.head(200, codec.CHUNKED))
        for _ in range(400):
            await arrival.connection.wait_until_sent()
            arrival.connection.write(codec.write_chunk(b"x" * 10_000))
            sent += 10_000
        arrival.end_events()

    environment.node(script)
    client = environment.client()
    client.ask("/u/x")
    environment.run(client.has(b"200"))
    assert client.transport is not None
    client.transport.pause_reading()
    environment.sleep(1.0)
    assert sent < 1_000_000  # two windows of the network and two buffers of ours
    client.transport.resume_reading()
    answer = environment.run(client.answer())
    assert answer is not None and len(answer.body) == 4_000_000
    environment.check()


def test_a_drain_answers_what_was_taken_and_then_closes() -> None:
    environment = ProxyEnvironment()
    environment.node(five_events)
    idle, busy, late = environment.client(), environment.client(), environment.client()
    busy.ask("/u/x")
    environment.run(busy.has(event_bytes(1)))
    began = environment.time.now
    drained = environment.proxy_process.create_task(environment.data_path.drain(began + 7.0))
    environment.sleep(0.1)
    late.ask("/u/x", try_id="t-2")  # has not heard yet
    answer = environment.run(late.answer())
    assert answer is not None and answer.body == ALL_FIVE and answer.headers["connection"] == ["close"]
    answer = environment.run(busy.answer())
    assert answer is not None and answer.body == ALL_FIVE
    environment.until(drained.done)
    environment.sleep(0.01)
    assert environment.time.now - began < 2.0
    assert idle.ended and busy.ended and late.ended
    with pytest.raises(ConnectionRefusedError):
        environment.client()
    environment.check()


def test_a_drain_ends_in_time_though_a_node_is_silent() -> None:
    environment = ProxyEnvironment()
    environment.node(hold)
    client = environment.client()
    client.ask("/u/x")
    environment.sleep(0.1)
    began = environment.time.now
    environment.run(environment.data_path.drain(began + 3.0), process=environment.proxy_process)
    assert 2.9 < environment.time.now - began < 3.1


# Levels, closing nodes, evacuations, homes.


def test_the_own_region_is_used_alone_while_it_has_a_usable_node() -> None:
    environment = ProxyEnvironment()
    near = [environment.node(whole) for _ in range(2)]
    far = environment.node(whole, region="q")
    for _ in range(20):
        ask(environment)
    assert far.arrivals == [] and all(node.arrivals for node in near)
    environment.view.evacuated_zones = frozenset({"z"})
    ask(environment)
    assert len(far.arrivals) == 1
    environment.check()


def test_a_homed_request_never_leaves_its_homes() -> None:
    environment = ProxyEnvironment(routes=(replace(UNSAFE_STREAM, home_regions=frozenset({"q"})),))
    near = environment.node(whole)
    answer = ask(environment)
    assert answer is not None and answer.status == 503
    far = environment.node(whole, region="q")
    answer = ask(environment)
    assert answer is not None and answer.status == 200
    assert near.arrivals == [] and len(far.arrivals) == 1
    environment.check()


def test_a_node_that_closes_while_a_connect_is_under_way_is_not_sent_to() -> None:
    environment = ProxyEnvironment()
    closing = environment.node(whole, region="q")  # a way of 1 ms: a connect takes two
    client = environment.client()
    client.ask("/u/x")
    environment.sleep(0.002)
    other = environment.node(whole)
    known = environment.view.nodes["i-0"]
    environment.tell(replace(known, node=replace(known.node, state=NodeState.DRAINING)))
    answer = environment.run(client.answer())
    assert answer is not None and answer.status == 200
    assert len(closing.connections) == 1  # it was on its way there
    assert closing.arrivals == [] and len(other.arrivals) == 1
    environment.check()


def test_a_cold_node_gets_no_more_than_this_proxys_share() -> None:
    environment = ProxyEnvironment()
    environment.view.max_proxies = 9
    node = environment.node(whole, cold_s=6.0)
    clients = [environment.client() for _ in range(10)]
    arrivals: list[float] = []
    node.script = lambda arrival: (arrivals.append(environment.time.now), arrival.whole())[1]  # type: ignore[func-returns-value]
    for _ in range(20):
        for client in clients:
            if len(client.answers) or not client.raw:
                client.ask("/u/x")
        environment.sleep(0.2)
    share = (9.8 * 1.5 + 5) / 9
    assert len(arrivals) >= 3
    for at in arrivals:
        assert sum(at <= other < at + 1.0 for other in arrivals) <= share
    environment.check()


def test_requests_wait_a_moment_for_a_place_by_precedence() -> None:
    urgent = replace(UNSAFE_STREAM, name="urgent", path_prefix="/first/", priority=0, latency_target_ms=2000)
    other = replace(UNSAFE_STREAM, name="other", path_prefix="/then/", priority=1, latency_target_ms=2000)
    environment = ProxyEnvironment(routes=(urgent, other))
    assert environment.view.configuration is not None
    environment.view.configuration = Configuration(1, (urgent, other), (replace(SERVICE, max_connections=1),))

    async def script(arrival: Arrival) -> None:
        await asyncio.sleep(0.15)
        arrival.whole(b"x", 200, ("Keep-Alive", "timeout=5"))

    node = environment.node(script)
    clients: list[ScriptedClient] = [environment.client() for _ in range(3)]
    for number, path in enumerate(("/then/0", "/then/1", "/first/2")):
        clients[number].ask(path)
        environment.sleep(0.01)
    answers = [environment.run(client.answer()) for client in clients]
    assert [answer.status for answer in answers if answer is not None] == [200, 200, 200]
    assert [arrival.request.target for arrival in node.arrivals] == ["/then/0", "/first/2", "/then/1"]
    assert len(node.connections) == 1
    environment.check()


def test_a_newer_configuration_counts_from_the_next_request_on() -> None:
    environment = ProxyEnvironment()
    environment.node(whole)
    client = environment.client()
    client.ask("/u/x")
    assert environment.run(client.answer()) is not None
    moved = replace(UNSAFE_STREAM, path_prefix="/v/")
    environment.view.configuration = Configuration(3, (moved,), (SERVICE,))
    client.ask("/u/x")
    client.ask("/v/x")
    answers = [environment.run(client.answer(number)) for number in (1, 2)]
    assert [answer.status for answer in answers if answer is not None] == [404, 200]
    environment.check()


def test_a_service_without_weight_gets_nothing() -> None:
    split = replace(SAFE, services=(WeightedService("none", 0.0), WeightedService("s", 2.0)))
    environment = ProxyEnvironment(routes=(split, RESUMABLE))
    assert environment.view.configuration is not None
    services = (SERVICE, replace(SERVICE, name="none"))
    environment.view.configuration = Configuration(1, (split,), services)
    node = environment.node(whole)
    for _ in range(30):
        answer = ask(environment, "/safe/x")
        assert answer is not None and answer.status == 200
    assert len(node.arrivals) == 30
    environment.check()
