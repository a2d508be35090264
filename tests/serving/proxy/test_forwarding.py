"""What a proxy does with requests and answers, against nodes that break things at named bytes."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from proxy_ground import RESUMABLE, SAFE, SERVICE, UNSAFE_STREAM, Ground
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


def ask(ground: Ground, path: str = "/u/x", *more: tuple[str, str], **how: str) -> codec.Response | None:
    """One request on a connection of its own, and its answer."""
    client = ground.client()
    client.ask(path, *more, **how)  # type: ignore[arg-type]
    return ground.run(client.answer())


# Passing on.


def test_a_request_is_passed_on_as_it_came() -> None:
    ground = Ground()
    node = ground.node(whole)
    client = ground.client()
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
    answer = ground.run(client.answer())
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
    ground.check()


def test_events_are_passed_on_as_they_come() -> None:
    ground = Ground()
    ground.node(five_events)
    for path in ("/u/x", "/a/x"):
        client = ground.client()
        began = ground.time.now
        client.ask(path)
        ground.run(client.has(event_bytes(1)))
        assert ground.time.now - began < 0.04
        answer = ground.run(client.answer())
        assert answer is not None and answer.body == ALL_FIVE
    ground.check()


def test_the_nodes_own_failures_are_passed_on() -> None:
    ground = Ground()
    status = 500
    ground.node(lambda arrival: arrival.whole(b"why", status))
    for status in (500, 504, 400, 404):
        answer = ask(ground)
        assert answer is not None and (answer.status, answer.body) == (status, b"why")
        assert answer.headers["coveport-postmark"] == ["stamp-1"]
    ground.check()


def test_connections_to_nodes_and_of_clients_are_used_again() -> None:
    ground = Ground()
    node = ground.node(lambda arrival: arrival.whole(b"x", 200, ("Keep-Alive", "timeout=5")))
    client = ground.client()
    for number in range(5):
        client.ask("/u/x", try_id=f"t-{number}")
        assert ground.run(client.answer(number)) is not None
        ground.sleep(0.5)
    assert len(node.connections) == 1
    ground.sleep(4.5)  # the node would close it after 5 s
    assert node.connections[0].lost
    client.ask("/u/x")
    assert ground.run(client.answer(5)) is not None
    assert len(node.connections) == 2
    ground.check()


def test_a_node_that_says_close_gets_a_new_connection() -> None:
    ground = Ground()
    node = ground.node(lambda arrival: arrival.whole(b"x", 200, ("Connection", "close")))
    assert ask(ground) is not None
    assert ask(ground) is not None
    assert len(node.connections) == 2 and node.connections[0].lost
    ground.check()


def test_no_route_is_told_at_once_and_the_connection_goes_on() -> None:
    ground = Ground()
    node = ground.node(whole)
    client = ground.client()
    client.ask("/nothing/x")
    client.ask("/u/x", host="other.example")
    client.ask("/u/x")
    answers = [ground.run(client.answer(number)) for number in range(3)]
    assert [answer.status for answer in answers if answer is not None] == [404, 404, 200]
    assert len(node.arrivals) == 1
    ground.check()


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
    ground = Ground()
    node = ground.node(whole)
    assert ground.view.configuration is not None
    ground.view.configuration = replace(ground.view.configuration, limits=ClientLimits(body_bytes=100))
    client = ground.client()
    client.send(sent)
    client.send(b"POST /u/x HTTP/1.1\r\nHost: one.example\r\nContent-Length: 0\r\n\r\n")
    ground.run(client.end())
    assert [answer.status for answer in client.answers] == [status]
    assert node.arrivals == []
    ground.check()


@pytest.mark.parametrize(("header_bytes", "status"), [(1000, 431), (40_000, 200)])
def test_the_configurations_bound_of_a_head_counts(header_bytes: int, status: int) -> None:
    ground = Ground()
    ground.node(whole)
    assert ground.view.configuration is not None
    limits = ClientLimits(header_bytes=header_bytes)
    ground.view.configuration = replace(ground.view.configuration, limits=limits)
    answer = ask(ground, "/u/x", ("X-Long", "y" * 20_000))
    assert answer is not None and answer.status == status
    ground.check()


def test_a_head_that_takes_too_long_and_an_idle_connection_are_ended() -> None:
    ground = Ground()
    client = ground.client()
    began = ground.time.now
    client.send(b"POST /u/x HTTP/1.1\r\n")
    ground.sleep(2.0)
    client.send(b"Host: one.example\r\n")  # moving does not help
    ground.run(client.end())
    assert [answer.status for answer in client.answers] == [408]
    assert ground.time.now - began < 4.5
    idle = ground.client()
    began = ground.time.now
    ground.run(idle.end())
    assert idle.answers == [] and 14.9 < ground.time.now - began < 15.2
    ground.check()


def test_a_chunked_body_arrives_whole_and_100_continue_is_said() -> None:
    ground = Ground()
    node = ground.node(whole)
    client = ground.client()
    client.send(
        b"POST /u/x HTTP/1.1\r\nHost: one.example\r\nCoveport-Try-Id: t-1\r\n"
        b"Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"
    )
    ground.run(client.has(b"100 Continue"))
    client.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert ground.run(client.answer()) is not None
    assert node.arrivals[0].request.body == b"abcde"
    assert node.arrivals[0].header("Expect") is None
    ground.check()


# At most once, and what may be sent again.


def break_off_first(ground: Ground) -> list[str]:
    """Two nodes: the first send is reset before any answer. Names of the nodes in the order of arrivals."""
    order: list[str] = []

    def script(arrival: Arrival) -> None:
        order.append(arrival.header("Coveport-Addressee") or "")
        if len(order) == 1:
            arrival.connection.abort()
        else:
            arrival.whole()

    ground.node(script)
    ground.node(script)
    return order


def test_what_may_have_run_is_not_sent_again() -> None:
    ground = Ground()
    order = break_off_first(ground)
    answer = ask(ground, "/u/x")
    assert answer is not None and answer.status == 502
    assert len(order) == 1
    ground.check()


@pytest.mark.parametrize("path", ["/safe/x", "/a/x"])
def test_what_may_run_twice_goes_to_another_node(path: str) -> None:
    ground = Ground()
    order = break_off_first(ground)
    answer = ask(ground, path)
    assert answer is not None and answer.status == 200
    assert len(set(order)) == 2
    ground.check()


@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_what_did_not_run_goes_to_another_node(status: int) -> None:
    ground = Ground()
    order: list[str] = []

    def script(arrival: Arrival) -> None:
        order.append(arrival.header("Coveport-Addressee") or "")
        if len(order) == 1:
            arrival.not_run(status)
        else:
            arrival.whole()

    ground.node(script)
    ground.node(script)
    answer = ask(ground, "/u/x")
    assert answer is not None and answer.status == 200
    assert len(set(order)) == 2
    ground.check()


@pytest.mark.parametrize("status", [503, 429, 408])
def test_a_refusal_that_does_not_say_it_did_not_run_may_have_run(status: int) -> None:
    ground = Ground()
    nodes = [ground.node(lambda arrival: arrival.whole(b"", status)) for _ in range(2)]
    answer = ask(ground, "/u/x")
    assert answer is not None and answer.status == 502
    assert sum(len(node.arrivals) for node in nodes) == 1
    ground.check()


def test_no_more_sends_than_the_route_allows_and_then_a_refusal_with_a_time() -> None:
    ground = Ground()
    nodes = [ground.node(lambda arrival: arrival.not_run()) for _ in range(4)]
    answer = ask(ground, "/u/x")
    assert answer is not None and answer.status == 503
    assert 0 < float(answer.headers["retry-after"][0]) < 1
    assert sum(len(node.arrivals) for node in nodes) == 2
    ground.check()


def test_a_refusal_after_a_send_that_may_have_run_promises_nothing() -> None:
    ground = Ground()
    order: list[str] = []

    def script(arrival: Arrival) -> None:
        order.append("")
        if len(order) == 1:
            arrival.connection.abort()
        else:
            arrival.not_run()

    for _ in range(2):
        ground.node(script)
    answer = ask(ground, "/safe/x")
    assert answer is not None and answer.status == 502
    ground.check()


def test_a_connect_that_fails_costs_neither_attempt_nor_budget() -> None:
    ground = Ground(Bounds(retry_ratio=0.0, retry_slack=0.0), (replace(UNSAFE_STREAM, max_attempts=1),))
    for number in range(2):
        ground.node(whole)
        ground.gone(number)
    good = ground.node(whole)
    for _ in range(6):
        answer = ask(ground, "/u/x")
        assert answer is not None and answer.status == 200
    assert len(good.arrivals) == 6
    assert ground.figure("connects_failed") <= 2
    ground.check()


def test_a_dark_machine_holds_a_request_for_a_moment_only() -> None:
    ground = Ground()
    ground.node(whole)
    ground.node(whole)
    ground.dark(0)
    for _ in range(8):
        began = ground.time.now
        answer = ask(ground, "/u/x")
        assert answer is not None and answer.status == 200
        assert ground.time.now - began < 0.6
    assert ground.figure("connects_failed") == 1
    ground.dark(0, False)
    ground.sleep(10.0)  # a trial finds it
    for _ in range(20):
        ask(ground, "/u/x")
    assert ground.nodes[0].arrivals
    ground.check()


def test_the_budget_bounds_second_sends() -> None:
    ground = Ground(Bounds(retry_ratio=0.2, retry_slack=5.0))
    nodes = [ground.node(lambda arrival: arrival.not_run()) for _ in range(8)]
    for _ in range(50):
        ask(ground, "/u/x")
    arrivals = sum(len(node.arrivals) for node in nodes)
    assert arrivals <= 50 + 0.2 * 50 + 5
    assert ground.figure("retries") >= 8
    ground.check()


def test_a_connection_that_the_node_has_closed_is_not_used() -> None:
    ground = Ground()
    node = ground.node(lambda arrival: arrival.whole(b"x", 200, ("Keep-Alive", "timeout=5")))
    ask(ground)
    node.connections[0].close()
    ground.sleep(0.01)
    answer = ask(ground)
    assert answer is not None and answer.status == 200
    assert len(node.connections) == 2
    ground.check()


# Answers that are none, or another's.


def test_a_success_without_the_nodes_stamp_does_not_reach_a_client() -> None:
    ground = Ground()
    ground.node(
        lambda arrival: arrival.connection.write(
            arrival.head(200, ("Content-Length", "2"), stamp=None) + b"no"
        )
    )
    answer = ask(ground)
    assert answer is not None and answer.status == 502 and b"no" not in answer.body
    ground.check()


def test_bytes_behind_an_answer_reach_nobody() -> None:
    ground = Ground()
    surplus = (
        b"HTTP/1.1 200 OK\r\nCoveport-Try-Id: old\r\nCoveport-Postmark: s\r\nContent-Length: 3\r\n\r\nold"
    )

    def script(arrival: Arrival) -> None:
        arrival.whole(b"x", 200, ("Keep-Alive", "timeout=9"))
        arrival.connection.write(surplus)

    ground.node(script)
    client = ground.client()
    for number in range(4):
        client.ask("/u/x", try_id=f"t-{number}")
        answer = ground.run(client.answer(number))
        assert answer is not None and answer.body == b"x"
        assert answer.headers["coveport-try-id"] == [f"t-{number}"]
        ground.sleep(0.3)
    assert len(client.answers) == 4 and b"old" not in client.raw
    ground.check()


def test_a_late_answer_to_another_request_is_read_over() -> None:
    ground = Ground()

    async def script(arrival: Arrival) -> None:
        if arrival.header("Coveport-Try-Id") == "t-1":
            await asyncio.sleep(0.05)
            arrival.connection.write(
                b"HTTP/1.1 200 OK\r\nCoveport-Try-Id: t-0\r\n"
                b"Coveport-Postmark: s\r\nContent-Length: 3\r\n\r\nold"
            )
        arrival.whole(b"x", 200, ("Keep-Alive", "timeout=9"))

    node = ground.node(script)
    client = ground.client()
    for number in range(3):
        client.ask("/u/x", try_id=f"t-{number}")
        answer = ground.run(client.answer(number))
        assert answer is not None and answer.status == 200 and answer.body == b"x"
    assert b"old" not in client.raw
    assert len(node.connections) == 2  # the one with the surplus is not used again
    assert ground.figure("surplus") == 1
    ground.check()


@pytest.mark.parametrize(
    "garbage", [b"\0\1\2 nothing\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/9 what\r\n\r\n"]
)
def test_what_is_no_answer_reaches_nobody(garbage: bytes) -> None:
    ground = Ground()

    def script(arrival: Arrival) -> None:
        arrival.connection.write(garbage)
        arrival.connection.close()

    ground.node(script)
    answer = ask(ground)
    assert answer is not None and answer.status == 502 and answer.body == b""
    ground.check()


@pytest.mark.parametrize("framing", [("Content-Length", "10"), codec.CHUNKED])
@pytest.mark.parametrize("ends", ["close", "abort"])
def test_an_answer_that_breaks_off_does_not_look_whole(framing: tuple[str, str], ends: str) -> None:
    ground = Ground()

    async def script(arrival: Arrival) -> None:
        arrival.connection.write(arrival.head(200, framing))
        arrival.connection.write(b"hello" if framing[0] == "Content-Length" else codec.write_chunk(b"hello"))
        await asyncio.sleep(0.1)
        getattr(arrival.connection, ends)()

    ground.node(script)
    client = ground.client()
    client.ask("/u/x")
    ground.run(client.has(b"hello"))
    ground.run(client.end())
    assert client.answers == []
    ground.check()


# Streams that go on.


@pytest.mark.parametrize("cut", range(0, len(ALL_FIVE), 7))
def test_a_resumable_stream_goes_on_at_another_node_whatever_the_byte_it_breaks_at(cut: int) -> None:
    ground = Ground()
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

    ground.node(script)
    ground.node(script)
    answer = ask(ground, "/a/x")
    assert answer is not None and answer.body == ALL_FIVE
    passed = ALL_FIVE[:cut].count(b"\n\n")
    assert order == [None, str(passed) if passed else None]
    ground.check()


def test_the_first_nodes_head_is_kept() -> None:
    ground = Ground()
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

    ground.node(script)
    ground.node(script)
    client = ground.client()
    client.ask("/a/x", ("Last-Event-Id", "1"))
    answer = ground.run(client.answer())
    assert answer is not None and answer.headers["coveport-postmark"] == ["stamp-1"]
    assert answer.headers["x-node"] == ["1"]
    assert answer.body == b"".join(event_bytes(number) for number in range(2, 6))
    assert [arrival.header("Last-Event-Id") for arrival in order] == ["1", "3"]
    ground.check()


@pytest.mark.parametrize("resumed_at", [1, 2, 3, 5])
def test_another_run_that_does_not_go_on_where_it_should_is_not_joined(resumed_at: int) -> None:
    ground = Ground()
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

    ground.node(script)
    ground.node(script)
    client = ground.client()
    client.ask("/a/x")
    ground.run(client.end())
    assert client.answers == [] and client.raw.count(b"data: piece") == 3
    ground.check()


def test_a_stream_that_nobody_takes_up_is_cut_and_not_ended() -> None:
    ground = Ground()
    order: list[Arrival] = []

    def script(arrival: Arrival) -> None:
        order.append(arrival)
        if len(order) > 1:
            arrival.not_run()
            return
        arrival.begin_events()
        arrival.event(1)
        arrival.connection.close()

    ground.node(script)
    ground.node(script)
    client = ground.client()
    client.ask("/a/x")
    ground.run(client.end())
    assert client.answers == [] and event_bytes(1) in client.raw and len(order) == 2
    ground.check()


def test_a_stream_that_may_not_be_resumed_is_cut() -> None:
    ground = Ground()

    def script(arrival: Arrival) -> None:
        arrival.begin_events()
        arrival.event(1)
        arrival.connection.close()

    nodes = [ground.node(script) for _ in range(2)]
    client = ground.client()
    client.ask("/u/x")
    ground.run(client.end())
    assert client.answers == []
    assert sum(len(node.arrivals) for node in nodes) == 1
    ground.check()


def test_a_resumable_stream_leaves_a_node_that_went_silent_and_an_unsafe_one_does_not() -> None:
    ground = Ground()
    silent = True

    async def script(arrival: Arrival) -> None:
        if not silent:
            await five_events(arrival)
            return
        arrival.begin_events()
        arrival.event(1)
        await asyncio.sleep(3.0)
        for number in range(2, 6):
            arrival.event(number)
        arrival.end_events()

    ground.node(script)
    ground.node(script)
    resumable, unsafe = ground.client(), ground.client()
    resumable.ask("/a/x", try_id="t-1")
    unsafe.ask("/u/x", try_id="t-2")
    ground.sleep(0.5)
    silent = False
    answer = ground.run(resumable.answer(), 2.0)
    assert answer is not None and answer.body == ALL_FIVE
    answer = ground.run(unsafe.answer())
    assert answer is not None and answer.body == ALL_FIVE
    assert ground.figure("resumed") == 1
    ground.check()


def test_a_node_that_speaks_to_others_is_not_left() -> None:
    ground = Ground()

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

    busy = ground.node(script)
    slow, other = ground.client(), ground.client()
    slow.ask("/a/x", try_id="slow")
    other.ask("/u/x", try_id="other")
    ground.sleep(0.1)
    idle = ground.node(five_events)
    answer = ground.run(slow.answer())
    assert answer is not None and answer.body == ALL_FIVE
    assert idle.arrivals == [] and len(busy.arrivals) == 2
    assert ground.run(other.answer()) is not None
    ground.check()


def test_an_idempotent_request_leaves_a_node_that_says_nothing_to_anyone() -> None:
    ground = Ground()
    ground.node(hold)
    client = ground.client()
    client.ask("/a/x")
    ground.sleep(0.1)
    ground.node(five_events)
    answer = ground.run(client.answer(), 3.0)
    assert answer is not None and answer.body == ALL_FIVE
    assert ground.nodes[0].connections[0].lost
    ground.check()


def test_a_silent_node_is_waited_for_where_no_other_can_take_the_request() -> None:
    ground = Ground()

    async def script(arrival: Arrival) -> None:
        await asyncio.sleep(3.0)
        arrival.whole()

    node = ground.node(script)
    answer = ask(ground, "/safe/x")
    assert answer is not None and answer.status == 200 and len(node.arrivals) == 1
    ground.check()


# Deadlines, clients that leave, drain.


def hold(_: Arrival) -> None:
    """Say nothing."""


def test_at_the_deadline_the_client_is_told_and_the_node_let_go() -> None:
    ground = Ground()
    node = ground.node(hold)
    began = ground.time.now
    answer = ask(ground, "/u/x", ("Coveport-Time-Left", "700"))
    assert answer is not None and answer.status == 504
    assert 0.69 < ground.time.now - began < 0.75
    ground.sleep(0.1)
    assert node.connections[0].lost
    began = ground.time.now
    answer = ask(ground, "/u/x", ("Coveport-Time-Left", "60000"))
    assert answer is not None and answer.status == 504
    assert 4.9 < ground.time.now - began < 5.1  # the route's
    ground.check()


def test_a_client_that_leaves_frees_the_node() -> None:
    ground = Ground()
    node = ground.node(hold)
    client = ground.client()
    client.ask("/u/x")
    ground.until(lambda: node.arrivals)
    assert client.transport is not None
    client.transport.abort()
    ground.sleep(0.1)
    assert node.connections[0].lost
    ground.check()


def test_a_slow_client_holds_the_node_back_and_little_memory() -> None:
    ground = Ground()
    sent = 0

    async def script(arrival: Arrival) -> None:
        nonlocal sent
        arrival.connection.write(arrival.head(200, codec.CHUNKED))
        for _ in range(400):
            assert arrival.connection.transport is not None
            while arrival.connection.transport.get_write_buffer_size():
                await asyncio.sleep(0.01)
            arrival.connection.write(codec.write_chunk(b"x" * 10_000))
            sent += 10_000
        arrival.end_events()

    ground.node(script)
    client = ground.client()
    client.ask("/u/x")
    ground.run(client.has(b"200"))
    assert client.transport is not None
    client.transport.pause_reading()
    ground.sleep(1.0)
    assert sent < 1_000_000  # two windows of the network and two buffers of ours
    client.transport.resume_reading()
    answer = ground.run(client.answer())
    assert answer is not None and len(answer.body) == 4_000_000
    ground.check()


def test_a_drain_answers_what_was_taken_and_then_closes() -> None:
    ground = Ground()
    ground.node(five_events)
    idle, busy, late = ground.client(), ground.client(), ground.client()
    busy.ask("/u/x")
    ground.run(busy.has(event_bytes(1)))
    began = ground.time.now
    drained = ground.proxy_process.create_task(ground.data_path.drain(began + 7.0))
    ground.sleep(0.1)
    late.ask("/u/x", try_id="t-2")  # has not heard yet
    answer = ground.run(late.answer())
    assert answer is not None and answer.body == ALL_FIVE and answer.headers["connection"] == ["close"]
    answer = ground.run(busy.answer())
    assert answer is not None and answer.body == ALL_FIVE
    ground.until(drained.done)
    ground.sleep(0.01)
    assert ground.time.now - began < 2.0
    assert idle.ended and busy.ended and late.ended
    with pytest.raises(OSError):
        ground.client()
    ground.check()


def test_a_drain_ends_in_time_though_a_node_is_silent() -> None:
    ground = Ground()
    ground.node(hold)
    client = ground.client()
    client.ask("/u/x")
    ground.sleep(0.1)
    began = ground.time.now
    ground.run(ground.data_path.drain(began + 3.0), process=ground.proxy_process)
    assert 2.9 < ground.time.now - began < 3.1


# Levels, closing nodes, evacuations, homes.


def test_the_own_region_is_used_alone_while_it_has_a_usable_node() -> None:
    ground = Ground()
    near = [ground.node(whole) for _ in range(2)]
    far = ground.node(whole, region="q")
    for _ in range(20):
        ask(ground)
    assert far.arrivals == [] and all(node.arrivals for node in near)
    ground.view.evacuated_zones = frozenset({"z"})
    ask(ground)
    assert len(far.arrivals) == 1
    ground.check()


def test_a_homed_request_never_leaves_its_homes() -> None:
    ground = Ground(routes=(replace(UNSAFE_STREAM, home_regions=frozenset({"q"})),))
    near = ground.node(whole)
    answer = ask(ground)
    assert answer is not None and answer.status == 503
    far = ground.node(whole, region="q")
    answer = ask(ground)
    assert answer is not None and answer.status == 200
    assert near.arrivals == [] and len(far.arrivals) == 1
    ground.check()


def test_a_node_that_closes_while_a_connect_is_under_way_is_not_sent_to() -> None:
    ground = Ground()
    closing = ground.node(whole, region="q")  # a way of 1 ms: a connect takes two
    client = ground.client()
    client.ask("/u/x")
    ground.sleep(0.002)
    other = ground.node(whole)
    known = ground.view.nodes["i-0"]
    ground.tell(replace(known, node=replace(known.node, state=NodeState.DRAINING)))
    answer = ground.run(client.answer())
    assert answer is not None and answer.status == 200
    assert len(closing.connections) == 1  # it was on its way there
    assert closing.arrivals == [] and len(other.arrivals) == 1
    ground.check()


def test_a_cold_node_gets_no_more_than_this_proxys_share() -> None:
    ground = Ground()
    ground.view.max_proxies = 9
    node = ground.node(whole, cold_s=6.0)
    clients = [ground.client() for _ in range(10)]
    arrivals: list[float] = []
    node.script = lambda arrival: (arrivals.append(ground.time.now), arrival.whole())[1]  # type: ignore[func-returns-value]
    for _ in range(20):
        for client in clients:
            if len(client.answers) or not client.raw:
                client.ask("/u/x")
        ground.sleep(0.2)
    share = (9.8 * 1.5 + 5) / 9
    assert len(arrivals) >= 3
    for at in arrivals:
        assert sum(at <= other < at + 1.0 for other in arrivals) <= share
    ground.check()


def test_requests_wait_a_moment_for_a_place_by_precedence() -> None:
    urgent = replace(UNSAFE_STREAM, name="urgent", path_prefix="/first/", priority=0, latency_target_ms=2000)
    other = replace(UNSAFE_STREAM, name="other", path_prefix="/then/", priority=1, latency_target_ms=2000)
    ground = Ground(routes=(urgent, other))
    assert ground.view.configuration is not None
    ground.view.configuration = Configuration(1, (urgent, other), (replace(SERVICE, max_connections=1),))

    async def script(arrival: Arrival) -> None:
        await asyncio.sleep(0.15)
        arrival.whole(b"x", 200, ("Keep-Alive", "timeout=5"))

    node = ground.node(script)
    clients: list[ScriptedClient] = [ground.client() for _ in range(3)]
    for number, path in enumerate(("/then/0", "/then/1", "/first/2")):
        clients[number].ask(path)
        ground.sleep(0.01)
    answers = [ground.run(client.answer()) for client in clients]
    assert [answer.status for answer in answers if answer is not None] == [200, 200, 200]
    assert [arrival.request.target for arrival in node.arrivals] == ["/then/0", "/first/2", "/then/1"]
    assert len(node.connections) == 1
    ground.check()


def test_a_newer_configuration_counts_from_the_next_request_on() -> None:
    ground = Ground()
    ground.node(whole)
    client = ground.client()
    client.ask("/u/x")
    assert ground.run(client.answer()) is not None
    moved = replace(UNSAFE_STREAM, path_prefix="/v/")
    ground.view.configuration = Configuration(3, (moved,), (SERVICE,))
    client.ask("/u/x")
    client.ask("/v/x")
    answers = [ground.run(client.answer(number)) for number in (1, 2)]
    assert [answer.status for answer in answers if answer is not None] == [404, 200]
    ground.check()


def test_a_service_without_weight_gets_nothing() -> None:
    split = replace(SAFE, services=(WeightedService("none", 0.0), WeightedService("s", 2.0)))
    ground = Ground(routes=(split, RESUMABLE))
    assert ground.view.configuration is not None
    services = (SERVICE, replace(SERVICE, name="none"))
    ground.view.configuration = Configuration(1, (split,), services)
    node = ground.node(whole)
    for _ in range(30):
        answer = ask(ground, "/safe/x")
        assert answer is not None and answer.status == 200
    assert len(node.arrivals) == 30
    ground.check()
