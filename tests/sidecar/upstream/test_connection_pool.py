"""Which connection an attempt gets, for cases that need more exact timing than real sockets allow."""

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

    def call_later(self, delay: float, *call: Any) -> _Loop:
        self.later.append((delay, call))
        return self


class _Connection:
    is_quiet, is_waiting_for_client = True, False
    has_carried_rejection = False

    def __init__(self, name: str, endpoint: EndpointAddress) -> None:
        self.name = name
        self.number = 1
        self.endpoint = endpoint
        self.idle_since = 0.0

    def carry(self, attempt: Attempt) -> None:
        _carriers.append(self.name)

    def release(self, keep: bool) -> None:
        raise NotImplementedError

    def drop(self) -> None:
        raise NotImplementedError

    def pause(self) -> None:
        raise NotImplementedError

    def resume(self) -> None:
        raise NotImplementedError


_carriers = list[str]()


def test_a_connection_is_not_reused_right_after_its_answer() -> None:
    # Many ledger nodes close right after an answer; a request that was written then may have run. Other nodes
    # send a second answer some milliseconds later, which would be taken for the next operation's.
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
    loop.now -= 0.4995  # the last connection became idle 0.5 ms ago
    for _ in range(3):
        pool.send(1, None, 1.0, lambda result: None)
    assert _carriers == ["young", "old"]
    ((delay, (callback, *arguments)),) = [
        timer for timer in loop.later if timer[0] < connection_pool.REUSE_DELAY_S
    ]
    loop.now += delay
    callback(*arguments)  # the rest of the delay is shorter than a connect
    assert _carriers == ["young", "old", "fresh"] and not pool.opening


def test_a_stall_of_the_process_is_not_taken_for_a_connect_timeout() -> None:
    # With a part of a core, nodes counted as failed although their connections had long been up.
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
        await asyncio.sleep(0)  # the connect has started
        net.process.stall(0.3)  # the connection comes up during the stall
        await asyncio.wait_for(ended.wait(), 10)
        pool.close()
        return results[0].outcome

    assert run(main) is Outcome.OK
