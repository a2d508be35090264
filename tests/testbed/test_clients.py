"""Tills against a scripted sidecar on simulated ground."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from typing import Any

import pytest
import timeless
from one_host import OneHost, day, until

from coveport import http1
from coveport.testbed import ids
from coveport.testbed.day import Wish
from coveport.testbed.event_log import Answered, Asked, EventLog, Lag, digest_of_request
from coveport.testbed.scenario import Scenario
from coveport.testbed.schema import Class, Load, Retries, Rules
from coveport.testbed.standins import clients as module

CLASSES = (
    Class("balance", 1, 50, "safe", 200, 300),
    Class("earn", 1, 50, "keyed", 200, 300),
    Class("redeem", 1, 50, "never", 200, 300),
    Class("bonus", 1, 50, "keyed", 200, 300, scope="all"),
    Class("brief", 1, 50, "keyed", 200, 300, scope="all", window_ms=1),
)
SAFE, KEYED, NEVER, KEYED_ALL, BRIEF = range(5)

Step = Callable[[asyncio.StreamReader, Any], object]
"""What is done about a request: gets both ends of its connection."""


def write(status: int, *headers: tuple[str, str], body: bytes = b"made", more: bytes = b"") -> Step:
    return lambda _, writer: writer.write(http1.write_response(status, headers, body) + more)


def later(seconds: float, step: Step) -> Step:
    return lambda *ends: asyncio.get_running_loop().call_later(seconds, step, *ends)


OK = write(200)
SILENT: Step = lambda *_: None  # noqa: E731
CLOSE: Step = lambda _, writer: writer.close()  # noqa: E731
SOME: Step = lambda _, writer: (writer.write(b"HTTP/1.1 200"), writer.close())  # noqa: E731
RESET: Step = lambda _, writer: OneHost().net.reset(writer.transport)  # noqa: E731


def ok_at_end(reader: asyncio.StreamReader, writer: Any) -> None:
    """Answer only where the client has ended its sending."""
    if reader.at_eof():
        OK(reader, writer)


class Sidecar:
    """Carries a script out, a step for each request that comes; the last one is for all that follow."""

    def __init__(self, script: Sequence[Step]) -> None:
        self.script = script
        self.raw = b""
        self.begun = 0
        self.ends = 0
        self.seen: list[tuple[int, http1.Request]] = []  # with the connection's number, from 0
        self.ended = 0  # connections that were over before the tills were closed

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, parser = self.begun, http1.RequestParser()
        self.begun += 1
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.raw += data
                parser.feed(data)
                while (request := parser.next_request()) is not None:
                    self.seen.append((number, request))
                    self.script[min(len(self.seen), len(self.script)) - 1](reader, writer)
        self.ends += 1


def wish(n: int, due: float = 0, cls: int = NEVER, *, tries: int = 1, share: float = 1, **more: Any) -> Wish:
    key = f"key-{n:x}" if CLASSES[cls].repeats == "keyed" else ""
    return Wish(due, 0, cls, f"{n:014x}00", key, 50.0, 20, 100, tries, share, **more)


def play(
    wishes: Sequence[Wish],
    *script: Step,
    connections: int = 64,
    refused: bool = False,
    cap_ms: float = 2000.0,
    **retries: Any,
) -> tuple[list[Any], Sidecar]:
    """Play the wishes to their end; the rows, and what the sidecar saw."""
    load = Load(connections=connections, retries=Retries(**{"backoff_ms": 5.0, **retries}))
    drawn = day(
        Scenario("t", classes=CLASSES, load=load, rules=Rules(answer_slack_ms=0, max_retry_after_ms=cap_ms))
    )
    event_log, sidecar = EventLog(), Sidecar(script)

    async def run() -> None:
        server = await timeless.start_server(sidecar.serve)
        address = server.address
        if refused:
            server.close()
        tills = module.Tills(OneHost(), event_log, drawn, drawn.sidecars[0], wishes, lambda: address)
        tills.start()
        await until(lambda: tills.done)
        await asyncio.sleep(0.01)
        sidecar.ended = sidecar.ends
        tills.close()
        await until(lambda: sidecar.ends == sidecar.begun)
        server.close()

    timeless.run(run())
    return event_log.rows, sidecar


def of(rows: list[Any], kind: type) -> list[Any]:
    return [row for row in rows if isinstance(row, kind)]


def told(rows: list[Any]) -> str:
    return " ".join(
        type(row).__name__
        + "".join(f":{getattr(row, name)}" for name in ("how", "why") if hasattr(row, name))
        for row in rows
        if not isinstance(row, Lag)
    )


@pytest.mark.parametrize(
    ("wishes", "script", "connections", "expected", "conns", "ended"),
    [
        # Open loop: nobody waits for answers, and each that is open has a connection of its own.
        (
            [wish(n, 10.0 * n) for n in range(3)],
            [later(0.06, OK)],
            64,
            "Asked Asked Asked Answered Answered Answered",
            [0, 1, 2],
            0,
        ),
        (
            [wish(0), wish(1, 5), wish(2, 120)],
            [later(0.03, OK)],
            2,
            "Asked Asked Answered Answered Asked Answered",
            [0, 1, 1],
            0,
        ),
        # No connection is free: the wish waits, and its own time runs.
        (
            [wish(0), wish(1, 5, share=0.1), wish(2, 6)],
            [later(0.08, OK), OK],
            1,
            "Asked Unasked:no connection Answered Asked Answered",
            [0, 0],
            0,
        ),
        # A close that crosses a request, and one that loses it.
        (
            [wish(0), wish(1, 30)],
            [OK, CLOSE, OK],
            1,
            "Asked Answered Asked Unasked:crossed Asked Answered",
            [0, 0, 1],
            1,
        ),
        (
            [wish(0), wish(1, 30)],
            [OK, RESET, OK],
            1,
            "Asked Answered Asked Unasked:crossed Asked Answered",
            [0, 0, 1],
            1,
        ),
        ([wish(0), wish(1, 30)], [OK, later(0.1, CLOSE)], 1, "Asked Answered Asked Broke:end", [0, 0], 1),
        ([wish(0), wish(1, 30)], [OK, SOME], 1, "Asked Answered Asked Broke:end", [0, 0], 1),
        (
            [wish(0), wish(1, 30, half=True)],
            [OK, CLOSE],
            1,
            "Asked Answered Asked GaveUp:half Broke:end",
            [0, 0],
            1,
        ),
        ([wish(0)], [CLOSE], 1, "Asked Broke:end", [0], 1),
        ([wish(0)], [RESET], 1, "Asked Broke:reset", [0], 1),
        # Giving up: late, though an answer in the slack is written down; impatient; half.
        ([wish(0, share=0.1)], [SILENT], 1, "Asked GaveUp:late", [0], 1),
        (
            [wish(0, 0, SAFE, tries=2, share=0.1)],
            [SILENT, OK],
            2,
            "Asked Asked Answered GaveUp:late",
            [0, 1],
            1,
        ),
        ([wish(0, share=0.1)], [later(0.033, OK)], 1, "Asked Answered", [0], 0),
        (
            [wish(0, leaves_ms=80.0, tries=3), wish(1, 1, SAFE, leaves_ms=30.0)],
            [SILENT],
            1,
            "Asked Unasked:gone GaveUp:impatient",
            [0],
            1,
        ),
        (
            [wish(0, half=True), wish(1, 60)],
            [later(0.03, ok_at_end), OK],
            1,
            "Asked GaveUp:half Answered Asked Answered",
            [0, 1],
            1,
        ),
        # Who stays has a connection of its own; where there is no room, one that rests makes it.
        ([wish(0), wish(1, 30, stays=True), wish(2, 60)], [OK], 2, "Asked Answered " * 3, [0, 1, 0], 0),
        ([wish(0), wish(1, 30, stays=True), wish(2, 60)], [OK], 1, "Asked Answered " * 3, [0, 1, 2], 2),
        # Bytes that nobody waits for, and such as are no answer; an answer that ends its connection.
        ([wish(0), wish(1, 30)], [write(200, more=b"HTTP")], 1, "Asked Answered Broke:stray " * 2, [0, 1], 2),
        ([wish(0)], [lambda _, writer: writer.write(b"\0noise")], 1, "Asked Broke:garbled", [0], 1),
        ([wish(0)], [write(200, ("Connection", "close"))], 1, "Asked Answered", [0], 1),
    ],
)
def test_what_becomes_of_wishes(
    monkeypatch: pytest.MonkeyPatch,
    wishes: list[Wish],
    script: list[Step],
    connections: int,
    expected: str,
    conns: list[int],
    ended: int,
) -> None:
    monkeypatch.setattr(module, "CROSSED_MS", 70.0)
    rows, sidecar = play(wishes, *script, connections=connections)
    assert (told(rows), [one for one, _ in sidecar.seen], sidecar.ended) == (expected.strip(), conns, ended)
    first = [row for row in of(rows, Asked) if not row.repeat]
    assert {(row.op, row.due) for row in first} <= {(one.op, one.due) for one in wishes}
    assert all(row.at + row.patience < row.due + 330 for row in first)
    if expected.endswith("late"):
        assert rows[-1].at >= first[0].at + first[0].patience + module.SOCKETS_MS - 0.1


def test_requests_are_exact() -> None:
    rows, sidecar = play([wish(0, 0, SAFE), wish(0xABCDEF << 32, 10, KEYED), wish(2, 20)], OK, connections=1)
    host, asked = sidecar.seen[0][1].headers["host"][0], of(rows, Asked)
    heads = [
        f"HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {row.op}\r\nX-Deadline: {row.patience}m\r\n"
        for row in asked
    ]
    length = "Content-Type: application/octet-stream\r\nContent-Length: 20\r\n\r\n"
    assert sidecar.raw.decode() == (
        f"GET /balance/000000 {heads[0]}\r\n"
        f"POST /earn/abcdef {heads[1]}Idempotency-Key: key-abcdef00000000\r\n{length}abcdef0000000000abcd"
        f"POST /redeem/000000 {heads[2]}{length}00000000000002000000"
    )
    assert asked[1].digest == digest_of_request(
        "POST", "/earn/abcdef", "abcdef0000000000", "key-abcdef00000000", b"abcdef0000000000abcd"
    )
    assert all(-50 < 300 + row.due - row.at - row.patience <= 1 for row in asked)


def test_a_late_lab_leaves_what_was_due_and_writes_it_down() -> None:
    def stall(*ends: Any) -> None:
        timeless.stall(0.08)
        OK(*ends)

    rows, _ = play([wish(0), wish(1, 50)], stall, OK)
    assert of(rows, Asked)[1].due == 50 and of(rows, Lag)[-1].late_ms > 5


@pytest.mark.parametrize(
    ("cls", "code", "tries"),
    [
        (SAFE, 500, 3),
        (KEYED, 500, 1),
        (KEYED_ALL, 500, 3),
        (BRIEF, 500, 1),
        (NEVER, 500, 1),
        (SAFE, 503, 3),
        (KEYED, 503, 3),
        (NEVER, 429, 3),
        (BRIEF, 503, 3),
        (SAFE, 200, 1),
    ],
)
def test_retries_by_class(cls: int, code: int, tries: int) -> None:
    rows, sidecar = play([wish(9, cls=cls, tries=3)], write(code))
    asked, answered = of(rows, Asked), of(rows, Answered)
    assert [(row.op, row.first, row.repeat) for row in asked] == [
        (ids.try_id(wish(9).op, n), wish(9).op, n > 0) for n in range(tries)
    ]
    assert [request.get("x-retry") for _, request in sidecar.seen] == [None, "1", "1"][:tries]
    assert len({(request.body, request.get("idempotency-key")) for _, request in sidecar.seen}) == 1
    assert [later.due - row.at for row, later in zip(answered, asked[1:], strict=False)] == [
        pytest.approx(wait) for wait in (5, 10)
    ][: tries - 1]


@pytest.mark.parametrize(("honour", "cap_ms", "wait"), [(1, 2000, 60), (1, 30, 30), (0, 2000, 5)])
def test_retry_after(honour: float, cap_ms: float, wait: float) -> None:
    rows, _ = play([wish(0, tries=2)], write(503, ("Retry-After", "0.06")), cap_ms=cap_ms, honour=honour)
    answered = of(rows, Answered)[0]
    assert (answered.retry_after_ms, of(rows, Asked)[1].due - answered.at) == pytest.approx((60, wait))


def test_no_retry_beyond_the_deadline_and_one_where_nobody_listens() -> None:
    assert told(play([wish(0, tries=3)], write(503), backoff_ms=299.9)[0]) == "Asked Answered"
    assert told(play([wish(0, tries=3)], SILENT, refused=True)[0]) == " ".join(["Unasked:refused"] * 3)


def test_ids_number_the_tries() -> None:
    assert ids.try_id("0123456789abcd00", 255) == "0123456789abcdff"
    assert (ids.first_id("0123456789abcdff"), ids.try_number("0123456789abcd1f")) == ("0123456789abcd00", 31)
