"""Which connection a route step is given, where real sockets can't be timed to the point."""

from __future__ import annotations

import asyncio
from typing import cast

from coveport import destinations
from coveport.counters import Counters
from coveport.pool_config import Place


class _Loop:
    now = 100.0

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, *what: object) -> _Loop:
        return self


class _Link:
    quiet = True

    def __init__(self, name: str, place: Place) -> None:
        self.name, self.number, self.place, self.idle_since = name, 1, place, 0.0

    def carry(self, step: destinations.RouteStep) -> None:
        _carried.append(self.name)


_carried = list[str]()


def test_a_connection_that_has_just_had_its_answer_is_taken_last() -> None:
    # Many ledger nodes close right behind an answer; a request written meanwhile may have run.
    loop, place = _Loop(), (("127.0.0.1", 9), 0.0)
    pool = destinations.Destinations(cast(asyncio.AbstractEventLoop, loop), Counters(), keepalive_ms=5000,
                                     connect_timeout_ms=250, most_links=9, most_body=99)
    pool.place([(1, place)], whole=True)
    for name in ("old", "young", "fresh"):
        pool.put_idle(cast(destinations.Link, _Link(name, place)))
        loop.now += 0.5
    loop.now -= 0.4995  # the last one was put a moment ago
    for _ in range(3):
        pool.send(1, b"", 1.0, lambda result: None)
    assert _carried == ["young", "old", "fresh"]
