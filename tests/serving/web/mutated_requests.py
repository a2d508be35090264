"""Sends mutated requests and valid ones to the real HTTP server, without an event loop or a clock.

`PYTHONPATH=. python tests/serving/web/mutated_requests.py --count 1000000` runs more of them than the tests.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any

from coveport import http1
from coveport.serving.resource_budget import ResourceBudget
from coveport.serving.settings.boot import ProcessLimits
from coveport.serving.web.messages import ApiResponse
from coveport.serving.web.server import HttpServer, _Connection

METHODS = ("PUT", "GET", "DELETE", "POST")


class PairingError(Exception):
    """A client received a response to another request."""


@dataclass
class FakeTask:
    """A task for one response, in place of an asyncio task."""

    coroutine: Coroutine[Any, Any, None]
    is_done: bool = False

    def cancel(self) -> None:
        if not self.is_done:
            self.is_done = True
            self.coroutine.close()

    def run(self) -> None:
        if not self.is_done:
            self.is_done = True
            try:
                self.coroutine.send(None)
            except StopIteration:
                return
            raise AssertionError("the response does not wait for anything")


class FakeLoop:
    """An event loop whose tasks the exchange runs in any order."""

    def __init__(self) -> None:
        self.tasks: list[FakeTask] = []

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> FakeTask:
        self.tasks.append(FakeTask(coroutine))
        return self.tasks[-1]

    def call_later(self, wait_s: float, call: object) -> Any:
        return SimpleNamespace(cancel=lambda: None)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        raise context["exception"]


class FakeTransport(asyncio.Transport):
    """A transport that records the written bytes."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.written = bytearray()
        self.is_done = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return (self.name, 80)

    def is_closing(self) -> bool:
        return self.is_done

    def write(self, data: Any) -> None:
        assert not self.is_done, "no bytes may be written after the close"
        self.written += data

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Everything is written at once."""

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        """The end of the output is not recorded."""

    def close(self) -> None:
        self.is_done = True

    def abort(self) -> None:
        self.is_done = True


@dataclass
class Client:
    """One connection, and the requests that the server received on it."""

    name: str
    sent: list[tuple[str, bytes]]  # target and body, before any mutation
    data: bytes
    transport: FakeTransport
    connection: _Connection
    received: list[tuple[str, bytes]] = field(default_factory=list)


class Exchange:
    """Two or three concurrent clients: the first is valid, the others send mutated bytes."""

    def __init__(self, seed: int) -> None:
        self.random_source = Random(seed)
        self.loop = FakeLoop()
        net: Any = SimpleNamespace(loop=self.loop, limit_read=lambda *_: None)
        budget = ResourceBudget(ProcessLimits().capacity, lambda: 0.0)
        self.server = HttpServer(net, ("x", 80), self._answer, budget)
        self.clients = [
            self._make_client(f"c{seed}-{number}", number > 0)
            for number in range(self.random_source.choice((2, 3)))
        ]

    async def _answer(self, request: http1.Request, local_host: str) -> ApiResponse:
        client = next(client for client in self.clients if client.name == local_host)
        client.received.append((request.target, request.body))
        return ApiResponse(200, f"{client.name} {len(client.received)}".encode())

    def _make_client(self, name: str, is_mutated: bool) -> Client:
        random_source = self.random_source
        sent = []
        data = bytearray()
        for number in range(random_source.randrange(1, 4)):
            target = f"/{name}/{number}"
            body = f"body of {target}".encode() * random_source.choice((0, 1, 3))
            sent.append((target, body))
            data += http1.write_request(random_source.choice(METHODS), target, [("Host", "h")], body)
        if is_mutated:
            for _ in range(random_source.randrange(1, 5)):
                mutate(data, random_source)
        transport = FakeTransport(name)
        connection = _Connection(self.server)
        connection.connection_made(transport)
        return Client(name, sent, bytes(data), transport, connection)

    def run(self) -> int:
        """Send all bytes in chunks in random order; return the number of responses, or raise PairingError."""
        remaining = [(client, bytearray(client.data)) for client in self.clients]
        while remaining:
            client, data = self.random_source.choice(remaining)
            chunk_length = self.random_source.randrange(1, 120)
            if not client.transport.is_done:
                client.connection.data_received(bytes(data[:chunk_length]))
            del data[:chunk_length]
            if not data or (client is not self.clients[0] and self.random_source.random() < 0.01):
                remaining.remove((client, data))
                if self.random_source.random() < 0.3 and client is not self.clients[0]:
                    client.connection.connection_lost(None)
            self._run_tasks()
        self._run_tasks(run_all=True)
        return sum(self._check(client) for client in self.clients)

    def _run_tasks(self, run_all: bool = False) -> None:
        while self.loop.tasks and (run_all or self.random_source.random() < 0.5):
            self.loop.tasks.pop(self.random_source.randrange(len(self.loop.tasks))).run()

    def _check(self, client: Client) -> int:
        own_prefix = f"{client.name} ".encode()
        other_prefixes = [f"{other.name} ".encode() for other in self.clients if other is not client]
        if any(prefix in client.transport.written for prefix in other_prefixes):
            raise PairingError(f"{client.name} received another client's response")
        responses = client.transport.written.count(own_prefix)
        if responses > len(client.received):
            raise PairingError(
                f"{client.name} received {responses} responses to {len(client.received)} requests"
            )
        if client is self.clients[0] and (client.received != client.sent or responses != len(client.sent)):
            raise PairingError(
                f"the valid {client.name} sent {client.sent}, but the server received {client.received}"
            )
        positions = [
            client.transport.written.find(own_prefix + str(number + 1).encode())
            for number in range(responses)
        ]
        if positions != sorted(positions) or -1 in positions:
            raise PairingError(f"{client.name} received its responses in the wrong order")
        return responses


def mutate(data: bytearray, random_source: Random) -> None:
    """Change bytes at one position in place."""
    if not data:
        return
    position = random_source.randrange(len(data))
    length = random_source.randrange(1, 30)
    match random_source.randrange(6):
        case 0:
            data[position] ^= 1 << random_source.randrange(8)
        case 1:
            del data[position : position + length]
        case 2:
            data[position:position] = data[position : position + length]
        case 3:
            data[position:position] = random_source.randbytes(length)
        case 4:
            data[position:position] = random_source.choice(
                (b"\r\n", b"\r\n\r\n", b"0\r\n\r\n", b"Transfer-Encoding: chunked\r\n")
            )
        case _:
            data[position:position] = b"Content-Length: %d\r\n" % random_source.randrange(200)


def main() -> None:
    """Run the exchanges selected on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=100_000)
    arguments = parser.parse_args()
    responses = sum(
        Exchange(seed).run() for seed in range(arguments.first, arguments.first + arguments.count)
    )
    print(f"{arguments.count} exchanges, {responses} responses, each for its own request")


if __name__ == "__main__":
    main()
