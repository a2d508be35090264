"""Which connection a attempt is given, where real sockets can't be timed to the point."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from simulated import Server, run
from world import served

from coveport.balancing import Outcome
from coveport.net.address import parse_address
from coveport.net.transport import Net
from coveport.sidecar.reducer.endpoint import EndpointAddress
from coveport.sidecar.reducer.operation import Operation
from coveport.sidecar.reducer.streams import Budget
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream import connection_pool
from coveport.sidecar.upstream.attempt import Attempt, AttemptResult
from coveport.sidecar.upstream.http1_connection import Dialer
from coveport.testbed.simulated_network.wires import VirtualNet


class _Loop:
    def __init__(self) -> None:
        self.now = 100.0
        self.later = list[tuple[float, tuple[Any, ...]]]()

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, *what: Any) -> _Loop:
        self.later.append((delay, what))
        return self


class _Connection:
    is_quiet, is_waiting_for_client = True, False

    def __init__(self, name: str, endpoint: EndpointAddress) -> None:
        self.name = name
        self.number = 1
        self.endpoint = endpoint
        self.idle_since = 0.0

    def carry(self, attempt: Attempt) -> None:
        _carried.append(self.name)

    def release(self, keep: bool) -> None:
        raise NotImplementedError

    def drop(self) -> None:
        raise NotImplementedError

    def pause(self) -> None:
        raise NotImplementedError

    def resume(self) -> None:
        raise NotImplementedError


_carried = list[str]()


def test_a_connection_that_has_just_had_its_answer_is_left_alone_for_a_moment() -> None:
    # Many ledger nodes close right behind an answer; a request written meanwhile may have run. Others send a
    # second answer some milliseconds later, which would be taken for the next operation's.
    loop, endpoint = _Loop(), (("127.0.0.1", 9), 0.0)
    pool = connection_pool.ConnectionPool(
        Net(cast(asyncio.AbstractEventLoop, loop)),
        Counters(),
        Log(loop.time),
        Dialer((), Budget(99)),
        keepalive_ms=5000,
        connect_timeout_ms=250,
        max_connections=9,
    )
    pool.update_endpoints([(1, endpoint)], complete=True)
    for name in ("old", "young", "fresh"):
        pool.add_connection(connection := _Connection(name, endpoint))
        pool.put_idle(connection)
        loop.now += 0.5
    loop.now -= 0.4995  # the last one was put a moment ago
    for _ in range(3):
        pool.send(1, None, 1.0, lambda result: None)
    assert _carried == ["young", "old"]
    ((delay, (ripe, *of)),) = [one for one in loop.later if one[0] < connection_pool.REUSE_DELAY_S]
    loop.now += delay
    ripe(*of)  # sooner than another connection would be up
    assert _carried == ["young", "old", "fresh"] and not pool.opening


def test_our_own_lag_is_not_taken_for_a_late_connection() -> None:
    # Seen under a part of a core: nodes were left out for connections that had long been up.
    server = Server(served)

    async def main(net: VirtualNet) -> Outcome:
        ended, results = asyncio.Event(), list[AttemptResult]()
        pool = connection_pool.ConnectionPool(
            net,
            Counters(),
            Log(net.now_s),
            Dialer((), Budget(9999)),
            keepalive_ms=5000,
            connect_timeout_ms=100,
            max_connections=9,
        )
        pool.update_endpoints([(1, (parse_address(server.address), 0.0))], complete=True)

        def done(result: AttemptResult) -> None:
            results.append(result)
            ended.set()

        pool.send(1, Operation("GET", "/balance", b"", "a1", None, 0, 5000.0), 5.0, done)
        await asyncio.sleep(0)  # the connect is on its way ...
        net.process.stall(0.3)  # ... and up, but we are not there to see it
        await asyncio.wait_for(ended.wait(), 10)
        pool.close()
        return results[0].outcome

    assert run(main) is Outcome.OK
