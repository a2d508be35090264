"""Discovery's agents, asked over loopback."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
import timeless
from one_host import OneHost, day, until

from coveport import http1
from coveport.testbed.day import Change
from coveport.testbed.event_log import Called, EventLog, Told
from coveport.testbed.scenario import Scenario
from coveport.testbed.schema import DiscoveryService
from coveport.testbed.standins import discovery as module
from coveport.testbed.standins.discovery import PATH, Discovery

BORN = 1_700_000_000_000


class Caller:
    """One connection to an agent."""

    def __init__(self, port: int) -> None:
        self.port, self.parser = port, http1.ResponseParser(1 << 22)

    async def call(self, target: str = PATH) -> http1.Response:
        if not hasattr(self, "reader"):
            self.reader, self.writer = await timeless.open_connection("127.0.0.1", self.port)
        self.writer.write(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        while (response := self.parser.next_response()) is None:
            assert not self.reader.at_eof()
            self.parser.feed(await self.reader.read(65536))
        return response

    async def told(self, after: int | None = None, wait_ms: int = 900) -> Any:
        query = "" if after is None else f"?after={after}&wait_ms={wait_ms}"
        return json.loads((await self.call(PATH + query)).body)

    async def news(self, after: int, count: int) -> list[tuple[str, str]]:
        """So many changes after a version, in order."""
        found = list[tuple[str, str]]()
        while len(found) < count:
            told = await self.told(after)
            assert told["whole"] is False
            after = told["seq"]
            found += health(told).items()
        return found


class Place(Discovery):
    """Discovery of the small day."""

    def __init__(self, **service: Any) -> None:
        self.event_log = EventLog()
        self.moves = list[int]()
        self.host = OneHost()
        scenario = Scenario("t", discovery=DiscoveryService(**{"spread_ms": (5, 15), **service}))
        super().__init__(
            day(scenario),
            self.event_log,
            self.host.net,
            self.host.day_ms,
            lambda node, sidecar: (f"127.0.{sidecar}.1", 9000 + node),
            unix_ms_of=lambda ms: BORN + ms,
            on_move=self.moves.append,
        )

    def do(self, what: str, target: int = -1, *, on: bool = True, value: float = 0.0) -> None:
        self.change(Change(self.host.day_ms(), 0, what, on, target, value))

    async def caller(self, sidecar: int = 0) -> Caller:
        host = OneHost()
        await self.agent(sidecar, host)
        return Caller(host.address(sidecar)[1])

    def rows(self) -> list[tuple[int, str]]:
        told = [row for row in self.event_log.rows if isinstance(row, Told)]
        return [(row.node, row.state) for row in told if row.sidecar == 0]


def health(told: Any) -> dict[str, str]:
    return {one["host"]: one["health"] for one in told["hosts"]}


async def whole_list_and_changes() -> None:
    place = Place(spread_ms=(5, 65))
    one, other = await place.caller(0), await place.caller(1)
    whole = await one.told()
    assert whole["seq"] == 1 and whole["whole"] is True and len(whole["hosts"]) == 3
    assert whole["hosts"][1] == {
        "host": "s-1",
        "dial": "127.0.0.1:9001",
        "site": "oviedo",
        "block": 1,
        "class": "full-core",
        "health": "active",
        "share": 1.0,
        "born_ms": 0,
    }
    assert await one.told(1, wait_ms=10) == {"seq": 1, "whole": False, "hosts": []}
    began = place.host.day_ms()
    place.do("die", 1)
    assert [*await asyncio.gather(one.news(1, 1), other.news(1, 1))] == [[("s-1", "left")]] * 2
    assert min(row.at for row in place.event_log.rows[-2:]) >= began + 25
    place.do("leaving", 2)
    assert [*await asyncio.gather(one.news(2, 1), other.news(2, 1))] == [[("s-2", "leaving")]] * 2
    assert [row.sidecar for row in place.event_log.rows[-2:]] == [1, 0]  # as drawn from the day's seed
    place.do("start", 1)
    place.do("start", 3)
    assert sorted(await one.news(3, 2)) == [("s-1", "active"), ("s-3", "active")]
    told = await one.told(3, wait_ms=0)
    assert len(told["hosts"]) == 2 and all(BORN < entry["born_ms"] < BORN + 5000 for entry in told["hosts"])
    assert health(await one.told()) == {"s-0": "active", "s-2": "leaving", "s-1": "active", "s-3": "active"}
    assert (await one.told(99))["whole"] and (await one.told(-1))["whole"]
    assert [row.watch for row in place.event_log.rows if isinstance(row, Called)][:2] == [False, True]
    assert place.rows()[:5] == [(0, "active"), (1, "active"), (2, "active"), (1, "left"), (2, "leaving")]
    assert [(await one.call(path)).status for path in ("/nothing", PATH + "?after=x")] == [404, 400]


async def over_before_it_is_seen() -> None:
    place = Place(spread_ms=0)
    caller = await place.caller()
    place.do("silent", 0)
    place.do("silent", 0, on=False)
    place.do("silent", 2)
    began = place.host.day_ms()
    place.do("leaving", 1)
    place.do("die", 1)
    assert await caller.news(1, 2) == [("s-1", "left"), ("s-2", "left")]
    assert next(row.at for row in place.event_log.rows if isinstance(row, Told)) >= began + 19.999
    place.do("die", 0)
    place.do("start", 0)
    assert await caller.news(3, 1) == [("s-0", "active")]
    assert not (await caller.told(4, wait_ms=40))["hosts"]


async def silent_late_empty_garbled() -> None:
    place = Place()
    caller, other = await place.caller(), await place.caller()
    place.do("discovery-silent")
    calls = asyncio.gather(caller.told(), other.told(1, wait_ms=5))
    await asyncio.sleep(0.03)
    assert not calls.done() and not place.rows()
    place.do("discovery-silent", on=False)
    assert [len(told["hosts"]) for told in await calls] == [3, 0]
    place.do("discovery-late", value=120)
    place.do("leaving", 1)
    assert not (await caller.told(1, wait_ms=30))["hosts"]
    assert await caller.news(1, 1) == [("s-1", "leaving")]
    place.do("discovery-empty")
    assert await caller.told(2) == {"seq": 3, "whole": True, "hosts": []}
    assert place.rows()[-3:] == [(0, "left"), (1, "left"), (2, "left")]
    place.do("discovery-empty", on=False)
    assert health(await caller.told(3)) == {"s-0": "active", "s-1": "leaving", "s-2": "active"}
    place.do("discovery-garbled")
    before = place.rows()
    for _ in range(20):
        response = await caller.call()
        with pytest.raises(ValueError):
            json.loads(response.body)
    assert response.status == 200 and place.rows() == before


async def moved() -> None:
    place = Place()
    before, host = await place.caller(), OneHost()
    await before.told()
    place.do("discovery-moves")
    assert place.moves == [0, 1]
    await place.move(0, host)
    with pytest.raises(ConnectionRefusedError):
        await Caller(before.port).call()
    after = Caller(host.address(0)[1])
    place.do("leaving", 1)
    assert await after.news(1, 1) == await before.news(1, 1)
    await until(before.reader.at_eof)
    assert (await after.told(1))["seq"] == 2


@pytest.mark.parametrize(
    "course", [whole_list_and_changes, over_before_it_is_seen, silent_late_empty_garbled, moved]
)
def test_a_course(course: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MOVED_MS", 150)
    timeless.run(asyncio.wait_for(course(), 5))


@pytest.mark.parametrize(
    ("known", "seq", "active", "real"), [("fresh", 1, 3, 3), ("old", 0, 3, 2), ("none", 0, 0, 0)]
)
def test_known_lists_and_lists_of_thousands(known: str, seq: int, active: int, real: int) -> None:
    async def course() -> None:
        place = Place(known=known, extra=1000)
        told = place.known(0)
        place.do("die", 1)
        assert told == place.known(0) == json.loads(json.dumps(told)) and told["seq"] == seq
        hosts = {one["host"]: one["dial"] for one in told["hosts"] if one["health"] == "active"}
        there = [name for name in hosts if name in ("s-0", "s-1", "s-2")]
        assert (len(hosts), len(there)) == (active, real)
        assert all(dial.startswith("127.254.") for name, dial in hosts.items() if name not in there)
        place.told_known(0)
        assert [f"s-{number}" for number, _ in place.rows()] == there
        whole = await (await place.caller()).told()
        assert len({one["dial"] for one in whole["hosts"] if one["site"].startswith("far-")}) == 1000
        assert list(health(whole).values()).count("leaving") == 1000

    timeless.run(asyncio.wait_for(course(), 5))
