"""Random mixtures of misbehaving nodes.

No bytes of one response may appear in another, and no event may be repeated or skipped.
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, field, replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from proxy_environment import RESUMABLE, SAFE, SERVICE, UNSAFE_STREAM, ProxyEnvironment
from scripted_node import Arrival, Connection, ScriptedClient

from coveport import http1

EVENT_COUNT = 6
PATHS = ("/a/x", "/u/x", "/safe/x")
MANY_ATTEMPTS = tuple(
    replace(route, max_attempts=4, latency_target_ms=2500) for route in (RESUMABLE, UNSAFE_STREAM, SAFE)
)


@dataclass
class HostileNodes:
    """Nodes with randomly drawn faults; every body that they send names the attempt it belongs to."""

    random: Random
    copies_rejections: bool = False  # whether rejections come once more, before the connection's next answer
    runs: dict[str, int] = field(default_factory=dict)  # number of runs by attempt id
    owed: dict[Connection, bytes] = field(default_factory=dict)  # copies that are still to be sent

    def event(self, attempt_id: str, number: int) -> bytes:
        return b"id: %d\ndata: %s part %d\n\n" % (number, attempt_id.encode(), number)

    def complete_body(self, attempt_id: str) -> bytes:
        return b"".join(self.event(attempt_id, number) for number in range(1, EVENT_COUNT + 1))

    def surplus(self, attempt_id: str) -> bytes:
        body = b"surplus of " + attempt_id.encode()
        headers = [("Coveport-Try-Id", f"old-{attempt_id}"), ("Coveport-Postmark", "s")]
        return http1.write_response(200, headers, body)

    async def respond(self, arrival: Arrival) -> None:
        """Respond correctly, or with a randomly drawn fault."""
        random, attempt_id = self.random, arrival.header("Coveport-Try-Id") or ""
        if owed := self.owed.pop(arrival.connection, b""):
            arrival.connection.write(owed)
        if arrival.request.target == SERVICE.health_path:
            arrival.connection.write(http1.write_response(200, [("Coveport-Instance", "i-0")]))
            return
        fault = random.choice(
            ["good"] * 3 + ["refuse", "misdirect", "reset", "close", "cut", "cut", "garble", "mangle"]
        )
        fault = random.choice([fault, fault, "late surplus", "extra"])
        if fault == "refuse":
            self._reject(arrival, random.choice([503, 429]))
            return
        if fault == "misdirect":
            self._reject(arrival, 421)
            return
        self.runs[attempt_id] = self.runs.get(attempt_id, 0) + 1
        if fault == "reset":
            arrival.connection.abort()
        elif fault == "close":
            arrival.connection.close()
        elif fault == "garble":
            arrival.connection.write(random.randbytes(random.randrange(1, 60)))
            arrival.connection.close()
        else:
            await self._stream(arrival, attempt_id, fault)

    def _reject(self, arrival: Arrival, status: int) -> None:
        arrival.reject(status)
        if self.copies_rejections:
            headers = [("Coveport-Not-Run", "1"), ("Keep-Alive", "timeout=5"), ("Content-Length", "0")]
            self.owed[arrival.connection] = arrival.head(status, *headers)

    async def _stream(self, arrival: Arrival, attempt_id: str, fault: str) -> None:
        random = self.random
        if fault == "late surplus":
            arrival.connection.write(self.surplus(attempt_id))
        data = bytearray(arrival.head(200, http1.CHUNKED, ("Keep-Alive", "timeout=5")))
        first_number = int(arrival.header("Last-Event-Id") or 0) + 1
        for number in range(first_number, EVENT_COUNT + 1):
            data += http1.write_chunk(self.event(attempt_id, number))
        data += http1.LAST_CHUNK
        if fault == "mangle":
            del data[random.randrange(len(data)) :]
            data += random.randbytes(20)
        if fault == "extra":
            data += self.surplus(attempt_id)[: random.choice([1, 20, 1000])]
        if fault == "cut":
            del data[random.randrange(len(data)) :]
        while data and not arrival.connection.is_closed:
            step = random.randrange(1, 80)
            arrival.connection.write(bytes(data[:step]))
            del data[:step]
            await asyncio.sleep(random.choice([0, 0.001, 0.02]))
        if fault in ("cut", "mangle") and not arrival.connection.is_closed:
            random.choice([arrival.connection.close, arrival.connection.abort])()


def run_exchanges(seed: int, *, copies_rejections: bool = False) -> int:
    """Run some clients against hostile nodes; return the number of complete successful responses."""
    random = Random(seed)
    environment = ProxyEnvironment(routes=MANY_ATTEMPTS if copies_rejections else ())
    nodes = HostileNodes(random, copies_rejections)
    for _ in range(random.randrange(1, 5)):
        environment.add_node(nodes.respond)
    sent_requests: list[tuple[ScriptedClient, int, str, str]] = []
    for number in range(random.randrange(1, 4)):
        client = environment.connect_client()
        for turn in range(random.randrange(1, 4)):
            attempt_id, path = f"try{seed}c{number}t{turn}", random.choice(PATHS)
            client.send_request(path, attempt_id=attempt_id)
            sent_requests.append((client, turn, attempt_id, path))
        environment.sleep(random.choice([0.0, 0.01, 0.2]))
    environment.sleep(12.0)
    success_count = 0
    for client, turn, attempt_id, path in sent_requests:
        if path == "/u/x":
            assert nodes.runs.get(attempt_id, 0) <= 1
        response = client.responses[turn] if turn < len(client.responses) else None
        if response is None:
            continue
        if response.status == 200:
            success_count += 1
            assert response.body == nodes.complete_body(attempt_id)
            assert (
                response.headers["coveport-try-id"] == [attempt_id]
                and "coveport-postmark" in response.headers
            )
        else:
            assert response.status in (502, 503, 504) and response.body == b""
            if response.status == 503:
                assert not nodes.runs.get(attempt_id)
    for client in {id(client): client for client, *_ in sent_requests}.values():
        check_client(client, {attempt_id for sender, _, attempt_id, _ in sent_requests if sender is client})
    environment.check()
    return success_count


def check_client(client: ScriptedClient, attempt_ids: set[str]) -> None:
    """Check that a client received no bytes for others and no event twice, also in incomplete responses."""
    assert b"surplus" not in client.received
    for attempt_id, data in successful_bodies(bytes(client.received)):
        events = re.findall(rb"data: (\w+) part (\d)\n\n", data)
        assert attempt_id in attempt_ids and {name.decode() for name, _ in events} <= {attempt_id}
        assert [int(number) for _, number in events] == list(range(1, len(events) + 1))


def successful_bodies(received: bytes) -> list[tuple[str, bytes]]:
    """Return the attempt ids and bodies of the successful responses, as far as they were received."""
    parser = http1.ResponseParser(1 << 30, 0)
    parser.feed(received)
    bodies: list[tuple[str, bytes]] = []
    while (head := parser.next_response()) is not None:
        data, is_last = b"", not head.is_streamed
        while not is_last:
            chunk, is_last = parser.next_data()
            data += chunk
            if not chunk and not is_last:
                break
        if head.status == 200:
            bodies.append((head.headers["coveport-try-id"][0], data))
    return bodies


@settings(max_examples=250)
@given(st.integers(0, 2**40))
def test_no_bytes_of_one_response_reach_another(seed: int) -> None:
    run_exchanges(seed)


@pytest.mark.parametrize("first_seed", range(0, 400, 100))
def test_hostile_nodes_still_serve_some_requests(first_seed: int) -> None:
    assert sum(run_exchanges(seed) for seed in range(first_seed, first_seed + 20)) > 10


def test_late_copies_of_rejections_let_nothing_run_twice() -> None:
    """Guards against TWICE and REFUSED: a rejection that comes twice counts for no other attempt."""
    assert sum(run_exchanges(seed, copies_rejections=True) for seed in range(300)) > 100


def test_late_byte_after_a_response_is_not_read_into_the_next() -> None:
    """A stray byte follows 20 ms after a complete response; by then the connection carries a new request."""
    run_exchanges(204398)


@pytest.mark.parametrize("first_seed", range(204_000, 206_000, 500))
def test_late_bytes_in_the_middle_of_the_next_head_break_nothing(first_seed: int) -> None:
    for seed in range(first_seed, first_seed + 500):
        run_exchanges(seed)
