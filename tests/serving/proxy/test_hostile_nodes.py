"""Any mixture of misbehaving nodes: no bytes of one answer in another, nothing twice, nothing left out."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from proxy_environment import ProxyEnvironment
from scripted_node import Arrival, ScriptedClient

from coveport import http1

EVENTS = 6
PATHS = ("/a/x", "/u/x", "/safe/x")


@dataclass
class Hostile:
    """Nodes that answer as chance says; what they say of a request always names its try."""

    random: Random
    runs: dict[str, int] = field(default_factory=dict)  # by try

    def event(self, attempt_id: str, number: int) -> bytes:
        return b"id: %d\ndata: %s part %d\n\n" % (number, attempt_id.encode(), number)

    def complete_body(self, attempt_id: str) -> bytes:
        return b"".join(self.event(attempt_id, number) for number in range(1, EVENTS + 1))

    def surplus(self, attempt_id: str) -> bytes:
        body = b"surplus of " + attempt_id.encode()
        headers = [("Coveport-Try-Id", f"old-{attempt_id}"), ("Coveport-Postmark", "s")]
        return http1.write_response(200, headers, body)

    async def respond(self, arrival: Arrival) -> None:
        """One of many bad ends, or a good one."""
        random, attempt_id = self.random, arrival.header("Coveport-Try-Id") or ""
        way = random.choice(
            ["good"] * 3 + ["refuse", "misdirect", "reset", "close", "cut", "cut", "garble", "mangle"]
        )
        way = random.choice([way, way, "late surplus", "extra"])
        if way == "refuse":
            arrival.reject(random.choice([503, 429]))
            return
        if way == "misdirect":
            arrival.reject(421)
            return
        self.runs[attempt_id] = self.runs.get(attempt_id, 0) + 1
        if way == "reset":
            arrival.connection.abort()
        elif way == "close":
            arrival.connection.close()
        elif way == "garble":
            arrival.connection.write(random.randbytes(random.randrange(1, 60)))
            arrival.connection.close()
        else:
            await self._stream(arrival, attempt_id, way)

    async def _stream(self, arrival: Arrival, attempt_id: str, way: str) -> None:
        random = self.random
        if way == "late surplus":
            arrival.connection.write(self.surplus(attempt_id))
        data = bytearray(arrival.head(200, http1.CHUNKED, ("Keep-Alive", "timeout=5")))
        first = int(arrival.header("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            data += http1.write_chunk(self.event(attempt_id, number))
        data += http1.LAST_CHUNK
        if way == "mangle":
            del data[random.randrange(len(data)) :]
            data += random.randbytes(20)
        if way == "extra":
            data += self.surplus(attempt_id)[: random.choice([1, 20, 1000])]
        if way == "cut":
            del data[random.randrange(len(data)) :]
        while data and not arrival.connection.is_closed:
            step = random.randrange(1, 80)
            arrival.connection.write(bytes(data[:step]))
            del data[:step]
            await asyncio.sleep(random.choice([0, 0.001, 0.02]))
        if way in ("cut", "mangle") and not arrival.connection.is_closed:
            random.choice([arrival.connection.close, arrival.connection.abort])()


def exchange(seed: int) -> int:
    """Some clients against some hostile nodes; how many answers were whole."""
    random = Random(seed)
    environment = ProxyEnvironment()
    hostile = Hostile(random)
    for _ in range(random.randrange(1, 5)):
        environment.add_node(hostile.respond)
    asked: list[tuple[ScriptedClient, int, str, str]] = []
    for number in range(random.randrange(1, 4)):
        client = environment.connect_client()
        for turn in range(random.randrange(1, 4)):
            attempt_id, path = f"try{seed}c{number}t{turn}", random.choice(PATHS)
            client.send_request(path, attempt_id=attempt_id)
            asked.append((client, turn, attempt_id, path))
        environment.sleep(random.choice([0.0, 0.01, 0.2]))
    environment.sleep(12.0)
    served = 0
    for client, turn, attempt_id, path in asked:
        if path == "/u/x":
            assert hostile.runs.get(attempt_id, 0) <= 1
        answer = client.responses[turn] if turn < len(client.responses) else None
        if answer is None:
            continue
        if answer.status == 200:
            served += 1
            assert answer.body == hostile.complete_body(attempt_id)
            assert answer.headers["coveport-try-id"] == [attempt_id] and "coveport-postmark" in answer.headers
        else:
            assert answer.status in (502, 503, 504) and answer.body == b""
            if answer.status == 503:
                assert not hostile.runs.get(attempt_id)
    for client in {id(client): client for client, *_ in asked}.values():
        check_client(client, {attempt_id for sender, _, attempt_id, _ in asked if sender is client})
    environment.check()
    return served


def check_client(client: ScriptedClient, tries: set[str]) -> None:
    """Nothing that was said to others, and no event of an answer twice, also where it was not whole."""
    assert b"surplus" not in client.raw
    for attempt_id, data in bodies(bytes(client.raw)):
        said = re.findall(rb"data: (\w+) part (\d)\n\n", data)
        assert attempt_id in tries and {name.decode() for name, _ in said} <= {attempt_id}
        assert [int(number) for _, number in said] == list(range(1, len(said) + 1))


def bodies(raw: bytes) -> list[tuple[str, bytes]]:
    """The bodies of successes by their try, with what could be read of one that did not end."""
    parser = http1.ResponseParser(1 << 30, 0)
    parser.feed(raw)
    found: list[tuple[str, bytes]] = []
    while (head := parser.next_response()) is not None:
        data, over = b"", not head.is_streamed
        while not over:
            more, over = parser.next_data()
            data += more
            if not more and not over:
                break
        if head.status == 200:
            found.append((head.headers["coveport-try-id"][0], data))
    return found


@settings(max_examples=250)
@given(st.integers(0, 2**40))
def test_no_bytes_of_one_response_reach_another(seed: int) -> None:
    exchange(seed)


@pytest.mark.parametrize("first", range(0, 400, 100))
def test_hostile_nodes_still_serve_some_requests(first: int) -> None:
    assert sum(exchange(seed) for seed in range(first, first + 20)) > 10


def test_late_byte_behind_a_response_is_not_read_into_the_next() -> None:
    """A stray byte 20 ms behind a whole answer, on a connection that carries the next request by then."""
    exchange(204398)


@pytest.mark.parametrize("first", range(204_000, 206_000, 500))
def test_late_bytes_in_the_middle_of_the_next_head_break_nothing(first: int) -> None:
    for seed in range(first, first + 500):
        exchange(seed)
