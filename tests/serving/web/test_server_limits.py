"""The HTTP server of the system's own API stays within the budget, whatever callers send or leave unread."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from coveport import http1
from coveport.net.transport import Net
from coveport.serving.resource_budget import CONNECTION_BYTES, STALL_S, Capacity, ResourceBudget
from coveport.serving.web.messages import ApiResponse
from coveport.serving.web.server import HttpServer

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 20.0
MAX_BODY_BYTES = 1024 * 1024
LARGE_RESPONSE_BYTES = 8 * 1024 * 1024


@dataclass
class Environment:
    """A server with room for one large body, and a clock that stands still."""

    net: Net
    now_s: float = 0.0
    handled: list[str] = field(default_factory=list)
    may_respond: asyncio.Event = field(default_factory=asyncio.Event)
    response_bytes: int = 0

    def __post_init__(self) -> None:
        capacity = Capacity(2 * MAX_BODY_BYTES, 8)
        self.budget = ResourceBudget(capacity, lambda: self.now_s)
        self.server = HttpServer(
            self.net, (HOST, 0), self._handle, self.budget, max_body_bytes=MAX_BODY_BYTES
        )

    async def _handle(self, request: http1.Request, _: str) -> ApiResponse:
        self.handled.append(request.target)
        if request.target == "/wait":
            await self.may_respond.wait()
        return ApiResponse(200, bytes(self.response_bytes))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        listening = self.server._listening
        assert listening is not None
        return await asyncio.open_connection(HOST, listening.port)

    async def status(self, reader: asyncio.StreamReader) -> int:
        """Return the status of the next response; 0 if the connection was closed."""
        line = await reader.readline()
        return int(line.split()[1]) if line else 0

    async def run_until(self, condition: Callable[[], bool]) -> None:
        while not condition():  # noqa: ASYNC110  # the condition is a state of the server
            await asyncio.sleep(0)


def run(scenario: Callable[[Environment], Awaitable[None]]) -> None:
    async def play() -> None:
        environment = Environment(Net(asyncio.get_running_loop()))
        problems: list[dict[str, object]] = []
        environment.net.loop.set_exception_handler(lambda _, context: problems.append(context))
        await environment.server.start()
        await scenario(environment)
        environment.server.reset_all()
        await environment.run_until(lambda: environment.budget.open_connections == 0)
        environment.server.stop()
        assert environment.budget.used_bytes == 0
        assert problems == []

    asyncio.run(asyncio.wait_for(play(), TEST_TIMEOUT_S))


def put(length: int, target: str = "/x") -> bytes:
    return b"PUT %b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % (target.encode(), length)


def get(target: str = "/x") -> bytes:
    return b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % target.encode()


def test_a_body_without_room_is_rejected_before_it_is_read_and_a_stalled_one_gives_way() -> None:
    async def scenario(environment: Environment) -> None:
        stalled_reader, stalled = await environment.connect()
        stalled.write(put(MAX_BODY_BYTES) + b"x")
        await environment.run_until(lambda: environment.budget.used_bytes > MAX_BODY_BYTES)
        reader, writer = await environment.connect()
        writer.write(put(MAX_BODY_BYTES))
        assert await environment.status(reader) == 503
        assert await reader.readuntil(b"\r\n\r\n") == (
            b"Retry-After: %g\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % STALL_S
        )
        environment.now_s = STALL_S
        reader, writer = await environment.connect()
        writer.write(put(MAX_BODY_BYTES) + bytes(MAX_BODY_BYTES))
        assert await environment.status(reader) == 200
        assert await environment.status(stalled_reader) == 503
        assert environment.handled == ["/x"]

    run(scenario)


def test_a_small_call_is_answered_beside_a_large_body() -> None:
    async def scenario(environment: Environment) -> None:
        _, large = await environment.connect()
        large.write(put(MAX_BODY_BYTES) + b"x")
        await environment.run_until(lambda: environment.budget.used_bytes > MAX_BODY_BYTES)
        reader, writer = await environment.connect()
        writer.write(get())
        assert await environment.status(reader) == 200

    run(scenario)


def test_a_body_over_the_limit_is_rejected() -> None:
    async def scenario(environment: Environment) -> None:
        reader, writer = await environment.connect()
        writer.write(put(MAX_BODY_BYTES + 1))
        assert await environment.status(reader) == 413

    run(scenario)


def test_no_call_is_handled_while_the_response_before_it_is_unread() -> None:
    async def scenario(environment: Environment) -> None:
        environment.response_bytes = MAX_BODY_BYTES
        reader, writer = await environment.connect()
        writer.write(get() * 64)
        await environment.run_until(lambda: environment.budget.used_bytes > MAX_BODY_BYTES)
        for _ in range(1000):
            await asyncio.sleep(0)
        handled = len(environment.handled)
        assert handled < 64
        for _ in range(64):
            assert await environment.status(reader) == 200
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Content-Length: %d" % MAX_BODY_BYTES in head
            await reader.readexactly(MAX_BODY_BYTES)
        assert len(environment.handled) == 64

    run(scenario)


def test_a_response_without_room_closes_the_connection() -> None:
    async def scenario(environment: Environment) -> None:
        environment.response_bytes = LARGE_RESPONSE_BYTES
        reader, writer = await environment.connect()
        writer.write(get())
        assert await environment.status(reader) == 0

    run(scenario)


def test_pipelined_calls_are_left_unread_while_one_is_handled() -> None:
    async def scenario(environment: Environment) -> None:
        reader, writer = await environment.connect()
        writer.write(get("/wait"))
        await environment.run_until(lambda: environment.handled == ["/wait"])
        writer.write(put(MAX_BODY_BYTES) + bytes(MAX_BODY_BYTES))
        for _ in range(1000):
            await asyncio.sleep(0)
        assert environment.budget.used_bytes < MAX_BODY_BYTES / 2
        environment.may_respond.set()
        assert await environment.status(reader) == 200
        await environment.run_until(lambda: len(environment.handled) == 2)

    run(scenario)


def test_pipelined_calls_are_handled_one_after_the_other() -> None:
    async def scenario(environment: Environment) -> None:
        reader, writer = await environment.connect()
        writer.write(get("/wait"))
        await environment.run_until(lambda: environment.handled == ["/wait"])
        writer.write(get("/second"))
        for _ in range(1000):
            await asyncio.sleep(0)
        assert environment.handled == ["/wait"]
        environment.may_respond.set()
        for _ in range(2):
            assert await environment.status(reader) == 200
            await reader.readuntil(b"\r\n\r\n")
        assert environment.handled == ["/wait", "/second"]

    run(scenario)


def test_the_end_of_a_caller_is_noticed_while_its_call_is_handled() -> None:
    async def scenario(environment: Environment) -> None:
        _, writer = await environment.connect()
        writer.write(get("/wait") + get())
        await environment.run_until(lambda: environment.handled == ["/wait"])
        writer.close()
        await environment.run_until(lambda: environment.budget.open_connections == 0)

    run(scenario)


def test_the_longest_idle_connection_gives_way_to_a_new_one() -> None:
    async def scenario(environment: Environment) -> None:
        first, first_writer = await environment.connect()
        writers = [first_writer]  # a writer that is no longer referred to closes its connection
        for _ in range(8):
            reader, writer = await environment.connect()
            writers.append(writer)
            writer.write(get())
            assert await environment.status(reader) == 200
        assert await environment.status(first) == 0
        assert environment.budget.open_connections == 8
        assert environment.budget.used_bytes == 8 * CONNECTION_BYTES

    run(scenario)
