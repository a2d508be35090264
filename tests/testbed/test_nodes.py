"""The ledger node on simulated ground; what its model decides is tested with the model."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest
import timeless

from coveport import http1
from coveport.net.transport import Listening, Net
from coveport.testbed import event_log as b
from coveport.testbed.backend import Accept, Host
from coveport.testbed.day import Change, Day, NodeDrawn, Wish
from coveport.testbed.ids import first_id, try_id, try_number
from coveport.testbed.model import KeyMemory
from coveport.testbed.scenario import Scenario
from coveport.testbed.standins.fates import SPOILT
from coveport.testbed.standins.nodes import LedgerNode
from coveport.testbed.standins.operation_costs import WorkBook

DRAWN: dict[str, Any] = dict.fromkeys(NodeDrawn.__struct_fields__, 0) | dict(
    number=3,
    name="s-3",
    cores=1,
    speed=1.0,
    slots=2,
    waiting=1,
    crowd_at=1e9,
    cold_from=0.4,
    warm_ms=1000.0,
    cancel="all",
    drops_expired=True,
    connections=50,
    handshake_trips=1.0,
    idle_ms=5000.0,
    probe_ms=0.3,
    report_every_ms=20.0,
    born=True,
)
QUICK, KEYED, LONG = "aaaaaaaaaaaaaa00", "bbbbbbbbbbbbbb00", "cccccccccccccc00"
WISHES = (
    Wish(0, 0, 0, QUICK, "", 1, 0, 300, 3, 1),
    Wish(0, 0, 1, KEYED, "k", 5, 4, 10, 3, 1),
    Wish(0, 0, 2, LONG, "", 60_000, 4, 10, 3, 1),
)


class LoneHost:
    """Just enough ground for one node."""

    def __init__(self) -> None:
        self.net: Net = timeless.net()
        self.began, self.port = self.net.now_s(), 0
        self.listening: list[Listening] = []
        self.silences: list[bool] = []
        self.silence = self.silences.append

    def day_ms(self) -> float:
        return (self.net.now_s() - self.began) * 1000

    async def listen(self, accept: Accept) -> None:
        one = await self.net.listen(
            lambda: accept(7), ("127.0.0.1", self.port), accepts_per_turn=9, backlog=9
        )
        self.port = one.port
        self.listening.append(one)

    def refuse(self) -> None:
        while self.listening:
            self.listening.pop().close()


class Scene:
    """A node that is up, and its books."""

    def __init__(self, drawn: dict[str, Any]) -> None:
        self.host, self.event_log = LoneHost(), b.EventLog()
        day = Day(Scenario("t"), 1, (), (), WISHES, (), (), 0, (), 0, 0, 0, 0, 1)
        self.node = LedgerNode(
            cast(Host, self.host),
            self.event_log,
            day,
            NodeDrawn(**{**DRAWN, **drawn}),
            KeyMemory(),
            WorkBook(day),
        )
        self.kept: list[object] = []

    async def send(
        self, op: str, extra: str = "", **change: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await timeless.open_connection("127.0.0.1", self.host.port)
        self.kept += reader, writer  # one that nobody holds is closed
        writer.write(ask(op, extra, **change))
        return reader, writer

    async def get(self, op: str, extra: str = "", **change: str) -> http1.Response:
        reader, writer = await self.send(op, extra, **change)
        response = await answer(reader)
        writer.close()
        return response

    def rows(self, kind: type[Any]) -> list[Any]:
        return [row for row in self.event_log.rows if isinstance(row, kind)]

    async def seen(self, kind: type[Any], number: int) -> list[Any]:
        while len(self.rows(kind)) < number:
            await asyncio.sleep(0.002)
        return self.rows(kind)

    def change(self, what: str, value: float = 1.0, share: float = 1.0, on: bool = True) -> None:
        self.node.change(Change(0, 0, what, on, 3, value, share))


def ask(op: str, extra: str = "", method: str = "", path: str = "") -> bytes:
    safe = op.startswith("a") or path.startswith("/ping")
    path = path or {"a": "/balance/1?x=2", "b": "/earn", "c": "/redeem"}.get(op[:1], "/earn")
    named = f"X-Request-Id: {op}\r\n" if op else ""
    framed = "\r\n" if safe else "Content-Length: 4\r\n\r\ndata"
    method = method or ("GET" if safe else "POST")
    return f"{method} {path} HTTP/1.1\r\nHost: n\r\n{named}{extra}{framed}".encode()


async def answer(reader: asyncio.StreamReader) -> http1.Response:
    parser = http1.ResponseParser()
    while (response := parser.next_response()) is None:
        data = await reader.read(4096)
        if not data:
            raise EOFError
        parser.feed(data)
    return response


def scene(**drawn: Any) -> Callable[[Callable[[Scene], Awaitable[None]]], Callable[[], None]]:
    """Makes a test of what is done with a node that is up."""

    def make(test: Callable[[Scene], Awaitable[None]]) -> Callable[[], None]:
        async def play() -> None:
            one = Scene(drawn)
            await one.node.start()
            try:
                await asyncio.wait_for(test(one), 5)
            finally:
                one.node.close()
                await asyncio.sleep(0)

        return lambda: timeless.run(play())

    return make


def test_ids_number_the_tries_of_a_wish() -> None:
    last = try_id(QUICK, 255)
    assert [last, first_id(last)] == ["aaaaaaaaaaaaaaff", QUICK]
    assert [try_number(op) for op in (QUICK, last, last.upper(), last[1:])] == [0, 255, -1, -1]


@scene()
async def test_an_operation_is_answered_with_a_body_of_its_own_and_entered(one: Scene) -> None:
    first, second = await one.get(QUICK), await one.get(try_id(QUICK, 1))
    assert first.status == 200 and len(first.body) == 300 and first.body != second.body
    assert first.body.startswith(f"{QUICK} s-3 run ".encode())
    assert "busy=" in first.headers["x-load"][0]
    repeat = "Idempotency-Key: k\r\n"
    assert (await one.get(KEYED, repeat)).body == (await one.get(try_id(KEYED, 1), repeat)).body
    arrived, replied = one.rows(b.Arrived), one.rows(b.Replied)
    assert [row.took for row in arrived] == ["work", "work", "work", "repeat"]
    assert arrived[0].digest == b.digest_of_request("GET", "/balance/1?x=2", QUICK, "", b"")
    assert arrived[0].sidecar == 7 and arrived[0].at > arrived[0].began > arrived[0].handed
    assert [row.digest for row in replied][:2] == [b.digest_of_body(x.body) for x in (first, second)]
    assert [row.attempt for row in one.rows(b.Ran)] == [row.attempt for row in arrived[:3]]
    assert one.rows(b.NodeIs)[0].state == "up" and one.rows(b.NodeIs)[0].born == -1


@scene()
async def test_what_no_till_may_send_is_bad(one: Scene) -> None:
    assert (await one.get("")).status == 404
    for op, change in (
        ("dddddddddddddd00", {}),
        (try_id(QUICK, 3), {}),
        (LONG, {"path": "/earn"}),
        (QUICK, {"method": "HEAD"}),
    ):
        assert (await one.get(op, **change)).status == 400
    reader, writer = await one.send(LONG)
    writer.write(ask(QUICK))  # a second one on the same connection
    with pytest.raises((EOFError, ConnectionResetError)):
        await answer(reader)
    assert [row.took for row in one.rows(b.Arrived)] == ["bad"] * 5 + ["work", "bad"]
    assert [row.how for row in one.rows(b.Ended)] == ["cut"]


@scene()
async def test_who_is_turned_away_has_not_run(one: Scene) -> None:
    held = [await one.send(LONG) for _ in range(3)]
    await one.seen(b.Arrived, 3)
    for took in ("full", "drain"):
        response = await one.get(QUICK)
        assert (response.status, response.headers["x-not-run"]) == (503, ["1"])
        assert one.rows(b.Arrived)[-1].took == took
        one.change("leaving")
    assert one.rows(b.NodeIs)[-1].state == "draining"
    assert (await one.get("", path="/ping")).status == 503
    one.change("leaving", on=False)
    for _, writer in held:
        writer.close()
    assert [row.how for row in await one.seen(b.Ended, 3)] == ["end"] * 3
    for status, extra in ((200, ""), (504, "X-Deadline: 0m\r\n")):
        assert (await one.get(QUICK, extra)).status == status


@scene(connections=1)
async def test_too_many_connections_are_turned_away_at_their_first_operation(one: Scene) -> None:
    _, writer = await one.send(LONG)
    await one.seen(b.Arrived, 1)
    reader, _ = await one.send(QUICK)
    response = await answer(reader)
    assert (response.status, response.keep_alive, response.headers["x-not-run"]) == (503, False, ["1"])
    assert await reader.read() == b""
    writer.close()
    await one.seen(b.Ended, 1)
    reader, _ = await one.send(QUICK, "Connection: close\r\n")
    assert (await answer(reader)).status == 200 and await reader.read() == b""


@scene(report_late_ms=40.0, probe_ms=0.0)
async def test_a_load_report_shows_late_how_busy_the_node_was(one: Scene) -> None:
    await one.send(LONG)
    began = (await one.seen(b.Ran, 1))[0].at
    while "busy=1.0000" not in (await one.get("", path="/ping")).headers["x-load"][0]:
        pass
    assert one.host.day_ms() >= began + 60 and len(one.rows(b.Probed)) > 1


@scene()
async def test_a_death_resets_refuses_and_comes_back_cold(one: Scene) -> None:
    reader, _ = await one.send(LONG)
    await one.seen(b.Arrived, 1)
    one.change("die")
    with pytest.raises(ConnectionResetError):
        await reader.read(1)
    with pytest.raises(ConnectionRefusedError):
        await one.get(QUICK)
    one.change("start")
    while not one.host.listening:
        await asyncio.sleep(0.002)
    assert (await one.get(QUICK)).status == 200
    one.change("silent")
    one.change("slow", 4)
    assert one.host.silences == [True]
    assert [(row.state, row.born >= 0, row.cold_from, row.speed) for row in one.rows(b.NodeIs)] == [
        ("up", False, 1, 1),
        ("down", False, 1, 1),
        ("up", True, 0.4, 1),
        ("silent", True, 0.4, 1),
        ("silent", True, 0.4, 0.25),
    ]
    assert one.rows(b.Ended)[0].how == "down" and not one.rows(b.Linked)[1].up


@scene(idle_ms=60.0)
async def test_a_connection_that_rests_is_closed(one: Scene) -> None:
    reader, _ = await one.send(QUICK)
    assert (await answer(reader)).keep_alive and await reader.read() == b""
    assert one.rows(b.Linked)[1].at - one.rows(b.Replied)[0].at >= 59 and not one.rows(b.Ended)


@scene(closes_behind=1.0)
async def test_a_connection_may_be_closed_right_behind_an_answer(one: Scene) -> None:
    reader, _ = await one.send(QUICK)
    assert (await answer(reader)).keep_alive and await reader.read() == b""
    assert one.rows(b.Linked)[1].at == one.rows(b.Replied)[0].at and not one.rows(b.Ended)


@scene()
async def test_errors_and_resets_come_before_or_after_the_work(one: Scene) -> None:
    for ran in (0, 1):
        one.change("errors", 1.0, ran)
        assert (await one.get(QUICK)).status == 500 and len(one.rows(b.Ran)) == ran
        one.change("errors", on=False)
        one.change("resets", 1.0, ran)
        with pytest.raises(ConnectionResetError):
            await one.get(QUICK)
        assert len(one.rows(b.Ran)) == 2 * ran and len(one.rows(b.Ended)) == ran + 1
        one.change("resets", on=False)
    assert (await one.get(QUICK)).status == 200


@scene()
async def test_spoilt_answers_are_of_all_kinds_and_only_junk_behind_leaves_one_whole(one: Scene) -> None:
    one.change("spoilt", 1.0)
    seen = set()
    for _ in range(60):
        reader, writer = await one.send(QUICK)
        head, _, body = (await reader.read(4096)).partition(b"\r\n\r\n")
        whole = one.rows(b.Replied)[-1].whole
        length = int(head.rpartition(b"Content-Length: ")[2]) if b"Content-Length" in head else 0
        kind = (
            "noise"
            if not head.startswith(b"HTTP/1.1 200")
            else "chunks"
            if b"chunked" in head
            else "junk"
            if length < len(body)
            else "drip"
            if length > 10**9
            else "short"
            if len(body) < 300
            else "long"
        )
        assert whole == (kind == "junk")
        if kind == "short":
            assert await reader.read() == b""
        if kind == "drip" and kind not in seen:
            assert await reader.read(1) == b"."
        seen.add(kind)
        writer.close()
    assert seen == set(SPOILT)
    spoilt = sum(not row.whole for row in one.rows(b.Replied))
    assert len(await one.seen(b.Ended, spoilt)) == spoilt
    assert len(one.rows(b.Ran)) == 60


@scene(handshake_trips=500.0)
async def test_an_end_within_the_handshake_is_no_work_but_is_entered(one: Scene) -> None:
    _, writer = await one.send(QUICK)
    writer.write_eof()
    assert [row.took for row in await one.seen(b.Arrived, 1)] == ["over"] and len(one.rows(b.Ended)) == 1
    reader, _ = await one.send(QUICK)
    up = one.rows(b.Linked)[-1].at
    assert (await answer(reader)).status == 200 and one.rows(b.Arrived)[-1].at >= up + 300
