"""The second address: calls, figures, and draining a sidecar that runs on."""

from __future__ import annotations

import asyncio
import json
import re
import signal
from pathlib import Path
from typing import Any

import pytest
from simulated import Conn, Server, World, ground, now, sleep, wait_for, world
from world import CLASSES, SILENT, Seen, receive, request, served

from coveport.sidecar.admin.codec import Command, read_command, write_ack, write_nak
from coveport.sidecar.admin.errors import BadCommandError
from coveport.sidecar.telemetry.counters import Counters

CONSOLE = ("127.0.0.1", 9100)


def staffed(config: Path, *dials: str, **how: Any) -> Any:
    """A world whose program has a console."""
    return world(config, *dials, staff=f"{CONSOLE[0]}:{CONSOLE[1]}", **how)


def caller() -> Conn:
    async def dial() -> Conn:
        conn = Conn(ground())
        await ground().net.dial(lambda: conn, CONSOLE)
        return conn

    return ground().run(dial(), 10)


def said(conn: Conn) -> str:
    held = b""
    while data := conn.recv(65536):
        held += data
    return held.decode()


def call(line: str) -> str:
    with caller() as conn:
        conn.sendall(line.encode())
        return said(conn)


def figures() -> dict[str, int]:
    ack, *rows, end, rest = call("INFO\n").split("\n")
    assert (ack, end, rest) == ("ACK", "--", "")
    told = dict(row.removeprefix("edge_lb.").split("=") for row in rows)
    return {name: int(value) for name, value in told.items()}


def adds_up(told: dict[str, int], taken: int) -> bool:
    ends = sum(value for name, value in told.items() if name.startswith("downstream_requests."))
    return ends + told["pending"] == taken


@pytest.mark.parametrize(
    ("line", "found"),
    [
        (b"PING\n", Command.PING),
        (b"INFO\r\nmore", Command.INFO),
        (b"PIN", None),
        (b"", None),
        (b"REJOIN \n", Command.REJOIN),
    ],
)
def test_a_call_is_one_line(line: bytes, found: Command | None) -> None:
    assert read_command(line) is found


@pytest.mark.parametrize(
    ("line", "ended"),
    [
        (b"ping\n", False),
        (b"\n", False),
        (b"DETACH\n", False),
        (b"\xff\xfe\n", False),
        (b"P" * 65, False),
        (b"PING", True),
        (b"", True),
        (b"PING PING\n", False),
    ],
)
def test_what_is_no_call_is_answered_with_a_reason(line: bytes, ended: bool) -> None:
    with pytest.raises(BadCommandError) as told:
        read_command(line, is_eof=ended)
    assert write_nak(str(told.value)).startswith(b"NAK ") and b"\n" not in write_nak(str(told.value))[:-1]


def test_what_is_told_ends_with_two_dashes() -> None:
    assert (write_ack(), write_ack(["a=1"])) == (b"ACK\n", b"ACK\na=1\n--\n")


def test_the_registry_asks_gauges_and_keeps_the_counts_of_a_class_that_went() -> None:
    counters = Counters()
    counters.register_class("a")
    counters.add("downstream_requests.a.failed")
    counters.gauge("pending", lambda: 3)
    counters.register_class("b")
    counters.register_class("a")
    assert {
        "edge_lb.downstream_requests.a.failed=1",
        "edge_lb.downstream_requests.b.completed=0",
        "edge_lb.pending=3",
        "edge_lb.members=0",
    } <= set(counters.report_lines())
    assert json.loads(counters.line())["pending"] == 3


def test_no_console_is_opened_where_none_is_told(tmp_path: Path) -> None:
    with world(tmp_path, Server(served).address), pytest.raises(ConnectionRefusedError):
        caller()


def test_calls_are_answered_whoever_else_says_nothing(tmp_path: Path) -> None:
    with staffed(tmp_path, Server(served).address, sockets=64):
        silent = [caller() for _ in range(40)]
        silent[-1].sendall(b"PI")
        begun = now()
        assert call("PING\n") == "ACK\n" and now() - begun < 0.1
        assert call("NOTHING\n").startswith("NAK unknown call")
        assert said(silent[-1]) == "NAK no line came\n" and now() - begun < 3
        assert call("PING\n") == "ACK\n"


def test_figures_add_up_at_any_moment(tmp_path: Path) -> None:
    answers: list[Any] = []

    async def handler(seen: Seen) -> bytes | None:
        await asyncio.sleep(0.3)
        told = answers.pop(0) if answers else 200
        return served(seen) if told == 200 else None if told is None else SILENT

    node = Server(handler)
    with staffed(tmp_path, node.address) as one:
        assert figures()["members"] == 1 and figures()["downstream_requests.redeem.completed"] == 0
        answers[:] = [None, 200, SILENT]
        conns = [one.connect() for _ in range(4)]
        for taken, conn in enumerate(conns):
            conn.sendall(request("POST /redeem", X_Deadline="1000m"))
            sleep(0.1)
            assert adds_up(figures(), taken + 1)
        conns[3].close()
        for _ in range(20):
            sleep(0.1)
            assert adds_up(figures(), 4)
        told = figures()
        assert told["pending"] == 0 and told["upstream_requests"] == 4
        assert told["downstream_requests.redeem.failed"] == 3  # broken, timed out, its client gone
        assert one.ask("GET /nothing")[0] == 404 and adds_up(figures(), 4)
        assert call("LAMEDUCK\n") == "ACK\n" and one.ask("POST /redeem")[0] == 200
        assert adds_up(figures(), 5) and call("REJOIN\n") == "ACK\n"
        node.close()
        for held in node.open:
            held.close()
        assert one.ask("GET /balance")[0] in (500, 503)
        assert figures()["members_unavailable"] == 1 and adds_up(figures(), 6)


def test_a_drain_says_no_serves_on_closes_what_rests_and_is_taken_back(tmp_path: Path) -> None:
    async def slow(seen: Seen) -> bytes:
        await asyncio.sleep(1.5)
        return served(seen)

    with staffed(tmp_path, Server(slow).address) as one:
        kept, busy = one.connect(), one.connect()
        kept.sendall(request("GET /_health"))
        assert receive(kept)[0] == 200
        busy.sendall(request("POST /redeem", X_Deadline="5000m"))
        sleep(0.1)
        assert (call("LAMEDUCK\n"), call("LAMEDUCK\n")) == ("ACK\n", "ACK\n")
        assert call("PING\n") == "NAK not ready: lameduck\n"
        assert one.ask("GET /_health")[0] == 503
        late = one.ask("POST /redeem", X_Deadline="5000m")  # who comes all the same is served
        assert late[0] == 200 and late[1]["connection"] == "close"
        told = receive(busy)
        assert told[0] == 200 and told[1]["connection"] == "close" and kept.recv(1) == b"" == busy.recv(1)
        assert (call("REJOIN\n"), call("REJOIN\n"), call("PING\n")) == ("ACK\n", "ACK\n", "ACK\n")
        with one.connect() as conn:
            for _ in range(2):
                conn.sendall(request("POST /redeem", X_Deadline="5000m"))
                assert "connection" not in receive(conn)[1]
                sleep(1)


def test_a_drain_taken_back_in_the_middle_closes_nothing(tmp_path: Path) -> None:
    with staffed(tmp_path, Server(served).address) as one, one.connect() as kept:
        kept.sendall(request("POST /redeem"))
        assert receive(kept)[0] == 200
        call("LAMEDUCK\n")
        sleep(0.3)
        call("REJOIN\n")
        sleep(1.5)
        kept.sendall(request("POST /redeem"))
        assert receive(kept)[0] == 200 and one.ask("GET /_health")[0] == 200


def test_a_drain_and_the_planned_end(tmp_path: Path) -> None:
    with staffed(tmp_path, Server(served).address) as one:
        call("LAMEDUCK\n")
        one.process.send_signal(signal.SIGHUP)
        one.process.send_signal(signal.SIGTERM)
        sleep(0.1)
        assert call("REJOIN\n") == "NAK no way back: draining\n"
        assert call("LAMEDUCK\n") == "NAK not serving: draining\n"
        assert one.process.wait(5) == 0 and re.search("config_reloads.: 1", one.log.read_text())


def retuned(one: World, classes: list[dict[str, Any]], **limits: Any) -> None:
    told = json.loads(one.config.read_text())["settings"]
    one.reload(settings=told | {"classes": classes, "limits": told["limits"] | limits})


def test_other_settings_hold_for_what_comes_and_not_for_what_is_open(tmp_path: Path) -> None:
    broken: list[Any] = [True]

    async def handler(seen: Seen) -> bytes | None:
        await asyncio.sleep(0.3)
        return None if broken and seen.target == "/balance" and broken.pop() else served(seen)

    balance, earn, redeem = CLASSES
    with staffed(tmp_path, Server(handler).address) as one, one.connect() as conn:
        conn.sendall(request("GET /balance"))
        sleep(0.1)
        # It may not be repeated from now on, but what is open may; and a class goes, another comes.
        retuned(one, [redeem | {"name": "gift"}, balance | {"semantics": "at_most_once"}, earn], most_tries=1)
        sleep(0.1)
        assert receive(conn)[0] == 200
        assert one.ask("POST /gift")[0] == 200 and one.ask("POST /redeem")[0] == 404
        assert one.ask("GET /balance")[0] == 405
        told = figures()
        assert (told["downstream_requests.balance.completed"], told["upstream_requests"]) == (1, 3)
        assert told["downstream_requests.gift.completed"] == 1 and told["config_reloads"] == 1
        assert told["downstream_requests.redeem.completed"] == 0


@pytest.mark.parametrize(
    ("wrong", "says"),
    [
        ({"classes": []}, "classes"),
        ({"classes": [CLASSES[0], CLASSES[0]]}, "balance"),
        ({"classes": [CLASSES[0] | {"semantics": "perhaps"}]}, "semantics"),
        (
            {"classes": [{key: value for key, value in CLASSES[0].items() if key != "deadline_ms"}]},
            "deadline_ms",
        ),
        ({"classes": [CLASSES[0] | {"deadline_ms": 0}]}, "deadline_ms"),
        ({"classes": [CLASSES[0] | {"deadline_ms": "soon"}]}, "deadline_ms"),
        ({"limits": {"most_tries": 0}}, "most_tries"),
        ({"limits": {"most_tries": 2.5}}, "most_tries"),
        ({"limits": {}}, "most_tries"),
    ],
)
def test_a_file_that_is_wrong_anywhere_changes_nothing(
    tmp_path: Path, wrong: dict[str, Any], says: str
) -> None:
    with staffed(tmp_path, Server(served).address) as one:
        told = json.loads(one.config.read_text())
        limits = told["settings"]["limits"]
        if "limits" in wrong:
            wrong = {
                "limits": {**limits, **wrong["limits"]}
                if wrong["limits"]
                else {key: value for key, value in limits.items() if key != "most_tries"}
            }
        one.reload(settings=told["settings"] | wrong, discovery="127.0.0.1:1")
        sleep(0.1)
        assert figures()["config_reload_errors"] == 1 and figures()["config_reloads"] == 0
        line = one.log.read_text().split("kept the old configuration")[1].splitlines()[0]
        assert says in line and one.ask("POST /redeem")[0] == 200
        wait_for(lambda: one.discovery.server.open)
