"""A late second copy of a rejection is not taken for the answer to a later operation on its connection.

Guards against an operation that runs twice, and against an answer that reaches another operation: answers of
ledger nodes contain no id.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
from simulated import Server, run
from world import Seen, reply

from coveport.balancing import Outcome
from coveport.net.address import parse_address
from coveport.sidecar.reducer.operation import Operation
from coveport.sidecar.reducer.streams import Budget
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.attempt import AttemptResult
from coveport.sidecar.upstream.connection_pool import REUSE_DELAY_S, ConnectionPool
from coveport.sidecar.upstream.http1_connection import Dialer
from coveport.testbed.simulated_network.wires import VirtualNet

T = TypeVar("T")
WORK_S = 0.1
REST_S = 2 * REUSE_DELAY_S
REJECTION = reply(503, x_not_run="1")


class CopyingNode:
    """Rejects the first operation of a connection, and sends the rejection again before its next answer."""

    def __init__(self) -> None:
        self.server: Server | None = None
        self.runs: list[str] = []  # ids of operations
        self._rejected: set[int] = set()  # numbers of connections
        self._owed: set[int] = set()

    async def answer(self, seen: Seen) -> bytes:
        copy = REJECTION if seen.connection in self._owed else b""
        self._owed.discard(seen.connection)
        if seen.connection not in self._rejected:
            self._rejected.add(seen.connection)
            self._owed.add(seen.connection)
            return REJECTION
        if copy:
            assert self.server is not None
            self.server.open[seen.connection - 1].send(copy)
        self.runs.append(seen.headers["x-request-id"])
        await asyncio.sleep(WORK_S)
        return reply(200, seen.headers["x-request-id"].encode())


async def send(pool: ConnectionPool, operation: Operation) -> AttemptResult:
    """Make one attempt, and return its result."""
    result: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    pool.send(1, operation, 5.0, result.set_result)
    return await result


def with_pool(server: Server, play: Callable[[ConnectionPool], Awaitable[T]]) -> T:
    """Return what `play` returns with a pool of connections to a server."""

    async def main(net: VirtualNet) -> T:
        pool = ConnectionPool(
            net,
            Counters(),
            Log(net.now_s),
            Dialer((), Budget(9999)),
            keepalive_ms=5000,
            connect_timeout_ms=100,
            max_connections=9,
        )
        pool.update_endpoints([(1, (parse_address(server.address), 0.0))], complete=True)
        try:
            return await play(pool)
        finally:
            pool.close()

    return run(main)


def operation(operation_id: str, method: str, key: str | None = None) -> Operation:
    return Operation(method, "/x", b"", operation_id, key, 0, 5000.0)


def copying_server() -> tuple[Server, CopyingNode]:
    node = CopyingNode()
    node.server = server = Server(node.answer)
    return server, node


def test_an_operation_that_must_not_run_twice_avoids_connections_that_carried_a_rejection() -> None:
    server, node = copying_server()

    async def play(pool: ConnectionPool) -> list[Outcome]:
        outcomes = []
        for name in ("a", "a", "b", "b"):
            outcomes.append((await send(pool, operation(name, "POST"))).outcome)
            await asyncio.sleep(REST_S)
        return outcomes

    # Each attempt gets a connection of its own here, so that none is rejected by a copy.
    assert with_pool(server, play) == [Outcome.FULL] * 4
    assert server.connections == 4 and node.runs == []


@pytest.mark.parametrize(("method", "key"), [("GET", None), ("POST", "k")])
def test_an_answer_behind_the_copy_of_a_rejection_reaches_no_other_operation(
    method: str, key: str | None
) -> None:
    server, _ = copying_server()

    async def play(pool: ConnectionPool) -> list[AttemptResult]:
        results = []
        for name in ("a", "b", "c", "d", "e"):
            results.append(await send(pool, operation(name, method, key)))
            await asyncio.sleep(REST_S)
        return results

    for name, result in zip("abcde", with_pool(server, play), strict=True):
        if result.outcome is Outcome.OK:
            assert result.answer is not None and result.answer.body == name.encode()
        else:
            assert result.outcome is Outcome.FULL


def test_connections_are_kept_after_a_rejection() -> None:
    """A connection ends with its second rejection only, so that overload doesn't open one for each."""
    server = Server(lambda _: REJECTION)

    async def play(pool: ConnectionPool) -> None:
        for number in range(10):
            await send(pool, operation(str(number), "GET"))
            await asyncio.sleep(REST_S)

    with_pool(server, play)
    assert len(server.seen) == 10 and server.connections == 5
