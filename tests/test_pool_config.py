"""Discovery's client in one process, where the world around a whole program can't be timed to the point."""

from __future__ import annotations

import asyncio
import json

import pytest
from world import Seen, Server, reply

from coveport import pool_config
from coveport.config import parse_address
from coveport.counters import Counters

LIST = json.dumps({"seq": 1, "whole": True, "hosts": []}).encode()


def test_a_connection_that_comes_up_late_asks_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_config, "FIRST_S", 0.1)
    errors = list[object]()

    async def run() -> tuple[int, int]:
        loop, told = asyncio.get_running_loop(), asyncio.Event()
        connect, slow = loop.create_connection, iter((0.3, 0.0, 0.0, 0.0))

        async def late(*args: object, **kwargs: object) -> object:
            await asyncio.sleep(next(slow, 0.0))
            return await connect(*args, **kwargs)  # type: ignore[call-overload]

        monkeypatch.setattr(loop, "create_connection", late)
        loop.set_exception_handler(lambda _, context: errors.append(context))
        one = pool_config.PoolConfig(loop, parse_address(server.address), pool_config.PoolReader(("a",)),
                                     lambda update: told.set(), Counters(), must_ask=False)
        one.start()
        await asyncio.wait_for(told.wait(), 5)
        await asyncio.sleep(0.4)  # until the late one is up
        found = server.connections, server.ended
        one.close()
        return found

    def answer(seen: Seen) -> bytes:
        return reply(200, LIST)

    server = Server(answer)
    assert asyncio.run(run()) == (2, 1) and errors == []


@pytest.mark.parametrize("field", ["host", "dial", "site", "block", "health", "share", "born_ms"])
def test_a_line_with_a_garbled_field_is_garbled(field: str) -> None:
    line = {"host": "s-1", "dial": "127.0.0.1:9", "site": "b", "class": "m2", "block": 3, "health": "active",
            "share": 1.0, "born_ms": 0}
    reader = pool_config.PoolReader(("a", "b"))
    good = reader.read({"seq": 1, "whole": True, "hosts": [line]}).update
    assert (good.entries[0].zone, good.entries[0].cell, good.entries[0].started_ms) == (1, 3, 0)
    with pytest.raises(ValueError, match=r"."):
        reader.read({"seq": 1, "whole": True, "hosts": [line, line | {field: {}}]})
