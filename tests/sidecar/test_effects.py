"""Inputs that arise between two others in one turn of the loop: real sockets can't be timed so exactly."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

from world import CLASSES, Pool, configuration

from coveport import balancing
from coveport.net.transport import Net
from coveport.sidecar.config import platform
from coveport.sidecar.effects import Effects
from coveport.sidecar.reducer.operation import Operation
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.attempt import Attempt

LONG_DEADLINES = {
    "classes": [request_class | {"aim_ms": 20_000, "deadline_ms": 30_000} for request_class in CLASSES]
}


class _Client:
    def has_disconnected(self) -> bool:
        return False


class _Connection:
    """An idle connection to a destination; it records the operations that it may send."""

    is_quiet, is_waiting_for_client = True, False

    def __init__(self, number: int, endpoint: Any, sent: list[str]) -> None:
        self.number = number
        self.endpoint = endpoint
        self.sent = sent
        self.idle_since = 0.0

    def carry(self, attempt: Attempt) -> None:
        if attempt.may_start(cast(Any, self)):
            assert attempt.operation is not None
            self.sent.append(attempt.operation.id)

    def release(self, keep: bool) -> None: ...

    def drop(self) -> None: ...


async def _never_connects(*_: Any) -> None:
    await asyncio.Event().wait()


def test_an_update_read_while_a_client_disconnects_starts_no_attempt_for_it() -> None:
    pool = Pool()
    pool.put("s-0", "127.0.0.1:1")
    pool.put("s-1", "127.0.0.1:2", "leaving")
    config = platform.read(configuration(pool, "127.0.0.1:3", told=LONG_DEADLINES), {}, where="here")
    sent = list[str]()

    async def main() -> None:
        net = Net(asyncio.get_running_loop())
        effects = Effects(net, config, Counters(), Log(net.now_s), _never_connects)
        effects.load_known_endpoints()
        number = 0
        while effects.tables["queue"] < 2:
            number += 1
            effects.accept(
                number,
                cast(Any, _Client()),
                Operation("GET", "/balance", b"", str(number), None, 0, 30_000.0),
            )
        endpoint = effects.connection_pool.endpoints[2]
        for _ in range(2):
            effects.connection_pool.put_idle(cast(Any, _Connection(2, endpoint, sent)))
        for connection in effects.connection_pool._idle[2]:
            connection.idle_since -= 1.0  # idle for long enough to be reused
        pool.put("s-1", "127.0.0.1:2")
        update = effects._reader.read(json.loads(json.dumps(pool.text())), balancing.EndpointUpdateKind.FULL)

        def read_update() -> None:
            effects.endpoint_source.read_pending = lambda: None  # type: ignore[method-assign]
            effects.on_endpoints_update(update)

        effects.endpoint_source.read_pending = read_update  # type: ignore[method-assign]
        effects._last_active_ms -= 1000  # a stall of this process
        effects.client_disconnected(number)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        assert effects.owed == number - 1
        assert sent == [str(number - 1)], "only the queued operation whose client is still connected"

    asyncio.run(main())
