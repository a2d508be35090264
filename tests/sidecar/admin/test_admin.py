"""The admin address: commands, counters, and draining a sidecar that goes on running."""

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


def world_with_console(config: Path, *dials: str, **how: Any) -> Any:
    """A world whose sidecar has an admin address."""
    return world(config, *dials, staff=f"{CONSOLE[0]}:{CONSOLE[1]}", **how)


def connect() -> Conn:
    async def dial() -> Conn:
        conn = Conn(ground())
        await ground().net.dial(lambda: conn, CONSOLE)
        return conn

    return ground().run(dial(), 10)


def read_response(conn: Conn) -> str:
    received = b""
    while data := conn.recv(65536):
        received += data
    return received.decode()


def send_command(line: str) -> str:
    with connect() as conn:
        conn.sendall(line.encode())
        return read_response(conn)


def read_counters() -> dict[str, int]:
    ack, *rows, end, rest = send_command("INFO\n").split("\n")
    assert (ack, end, rest) == ("ACK", "--", "")
    values = dict(row.removeprefix("edge_lb.").split("=") for row in rows)
    return {name: int(value) for name, value in values.items()}


def counters_add_up(counters: dict[str, int], accepted: int) -> bool:
    ends = sum(value for name, value in counters.items() if name.startswith("downstream_requests."))
    return ends + counters["pending"] == accepted


@pytest.mark.parametrize(
    ("line", "command"),
    [
        (b"PING\n", Command.PING),
        (b"INFO\r\nmore", Command.INFO),
        (b"PIN", None),
        (b"", None),
        (b"REJOIN \n", Command.REJOIN),
    ],
)
def test_a_command_is_one_line(line: bytes, command: Command | None) -> None:
    assert read_command(line) is command


@pytest.mark.parametrize(
    ("line", "is_eof"),
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
def test_an_invalid_command_is_rejected_with_a_reason(line: bytes, is_eof: bool) -> None:
    with pytest.raises(BadCommandError) as raised:
        read_command(line, is_eof=is_eof)
    assert write_nak(str(raised.value)).startswith(b"NAK ") and b"\n" not in write_nak(str(raised.value))[:-1]


def test_a_report_ends_with_two_dashes() -> None:
    assert (write_ack(), write_ack(["a=1"])) == (b"ACK\n", b"ACK\na=1\n--\n")


def test_the_registry_reads_gauges_and_keeps_the_counts_of_a_removed_class() -> None:
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


def test_no_console_is_opened_without_an_address(tmp_path: Path) -> None:
    with world(tmp_path, Server(served).address), pytest.raises(ConnectionRefusedError):
        connect()


def test_commands_are_answered_despite_silent_connections(tmp_path: Path) -> None:
    with world_with_console(tmp_path, Server(served).address, sockets=64):
        silent = [connect() for _ in range(40)]
        silent[-1].sendall(b"PI")
        started_at = now()
        assert send_command("PING\n") == "ACK\n" and now() - started_at < 0.1
        assert send_command("NOTHING\n").startswith("NAK unknown call")
        assert read_response(silent[-1]) == "NAK no line came\n" and now() - started_at < 3
        assert send_command("PING\n") == "ACK\n"


def test_counters_add_up_at_any_moment(tmp_path: Path) -> None:
    answers: list[Any] = []

    async def handler(seen: Seen) -> bytes | None:
        await asyncio.sleep(0.3)
        answer = answers.pop(0) if answers else 200
        return served(seen) if answer == 200 else None if answer is None else SILENT

    node = Server(handler)
    with world_with_console(tmp_path, node.address) as sidecar:
        assert (
            read_counters()["members"] == 1 and read_counters()["downstream_requests.redeem.completed"] == 0
        )
        answers[:] = [None, 200, SILENT]
        conns = [sidecar.connect() for _ in range(4)]
        for taken, conn in enumerate(conns):
            conn.sendall(request("POST /redeem", X_Deadline="1000m"))
            sleep(0.1)
            assert counters_add_up(read_counters(), taken + 1)
        conns[3].close()
        for _ in range(20):
            sleep(0.1)
            assert counters_add_up(read_counters(), 4)
        counters = read_counters()
        assert counters["pending"] == 0 and counters["upstream_requests"] == 4
        assert counters["downstream_requests.redeem.failed"] == 3  # reset, timed out, its client disconnected
        assert sidecar.ask("GET /nothing")[0] == 404 and counters_add_up(read_counters(), 4)
        assert send_command("LAMEDUCK\n") == "ACK\n" and sidecar.ask("POST /redeem")[0] == 200
        assert counters_add_up(read_counters(), 5) and send_command("REJOIN\n") == "ACK\n"
        node.close()
        for connection in node.open:
            connection.close()
        assert sidecar.ask("GET /balance")[0] in (500, 503)
        assert read_counters()["members_unavailable"] == 1 and counters_add_up(read_counters(), 6)


def test_a_drain_fails_health_checks_still_serves_and_can_be_undone(tmp_path: Path) -> None:
    async def slow(seen: Seen) -> bytes:
        await asyncio.sleep(1.5)
        return served(seen)

    with world_with_console(tmp_path, Server(slow).address) as sidecar:
        idle, busy = sidecar.connect(), sidecar.connect()
        idle.sendall(request("GET /_health"))
        assert receive(idle)[0] == 200
        busy.sendall(request("POST /redeem", X_Deadline="5000m"))
        sleep(0.1)
        assert (send_command("LAMEDUCK\n"), send_command("LAMEDUCK\n")) == ("ACK\n", "ACK\n")
        assert send_command("PING\n") == "NAK not ready: lameduck\n"
        assert sidecar.ask("GET /_health")[0] == 503
        late = sidecar.ask("POST /redeem", X_Deadline="5000m")  # requests are still served during a drain
        assert late[0] == 200 and late[1]["connection"] == "close"
        response = receive(busy)
        assert (
            response[0] == 200
            and response[1]["connection"] == "close"
            and idle.recv(1) == b"" == busy.recv(1)
        )
        assert (send_command("REJOIN\n"), send_command("REJOIN\n"), send_command("PING\n")) == (
            "ACK\n",
            "ACK\n",
            "ACK\n",
        )
        with sidecar.connect() as conn:
            for _ in range(2):
                conn.sendall(request("POST /redeem", X_Deadline="5000m"))
                assert "connection" not in receive(conn)[1]
                sleep(1)


def test_a_drain_that_is_undone_early_closes_no_connection(tmp_path: Path) -> None:
    with world_with_console(tmp_path, Server(served).address) as sidecar, sidecar.connect() as idle:
        idle.sendall(request("POST /redeem"))
        assert receive(idle)[0] == 200
        send_command("LAMEDUCK\n")
        sleep(0.3)
        send_command("REJOIN\n")
        sleep(1.5)
        idle.sendall(request("POST /redeem"))
        assert receive(idle)[0] == 200 and sidecar.ask("GET /_health")[0] == 200


def test_a_shutdown_during_a_drain(tmp_path: Path) -> None:
    with world_with_console(tmp_path, Server(served).address) as sidecar:
        send_command("LAMEDUCK\n")
        sidecar.process.send_signal(signal.SIGHUP)
        sidecar.process.send_signal(signal.SIGTERM)
        sleep(0.1)
        assert send_command("REJOIN\n") == "NAK no way back: draining\n"
        assert send_command("LAMEDUCK\n") == "NAK not serving: draining\n"
        assert sidecar.process.wait(5) == 0 and re.search("config_reloads.: 1", sidecar.log.read_text())


def reload_settings(sidecar: World, classes: list[dict[str, Any]], **limits: Any) -> None:
    settings = json.loads(sidecar.config.read_text())["settings"]
    sidecar.reload(settings=settings | {"classes": classes, "limits": settings["limits"] | limits})


def test_new_settings_apply_to_new_operations_only(tmp_path: Path) -> None:
    broken: list[Any] = [True]

    async def handler(seen: Seen) -> bytes | None:
        await asyncio.sleep(0.3)
        return None if broken and seen.target == "/balance" and broken.pop() else served(seen)

    balance, earn, redeem = CLASSES
    with world_with_console(tmp_path, Server(handler).address) as sidecar, sidecar.connect() as conn:
        conn.sendall(request("GET /balance"))
        sleep(0.1)
        # New operations of `balance` must not be retried, the open one may; a class is removed, one is added.
        reload_settings(
            sidecar, [redeem | {"name": "gift"}, balance | {"semantics": "at_most_once"}, earn], most_tries=1
        )
        sleep(0.1)
        assert receive(conn)[0] == 200
        assert sidecar.ask("POST /gift")[0] == 200 and sidecar.ask("POST /redeem")[0] == 404
        assert sidecar.ask("GET /balance")[0] == 405
        counters = read_counters()
        assert (counters["downstream_requests.balance.completed"], counters["upstream_requests"]) == (1, 3)
        assert counters["downstream_requests.gift.completed"] == 1 and counters["config_reloads"] == 1
        assert counters["downstream_requests.redeem.completed"] == 0


@pytest.mark.parametrize(
    ("wrong", "named_field"),
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
def test_an_invalid_file_changes_nothing(tmp_path: Path, wrong: dict[str, Any], named_field: str) -> None:
    with world_with_console(tmp_path, Server(served).address) as sidecar:
        content = json.loads(sidecar.config.read_text())
        limits = content["settings"]["limits"]
        if "limits" in wrong:
            wrong = {
                "limits": {**limits, **wrong["limits"]}
                if wrong["limits"]
                else {key: value for key, value in limits.items() if key != "most_tries"}
            }
        sidecar.reload(settings=content["settings"] | wrong, discovery="127.0.0.1:1")
        sleep(0.1)
        assert read_counters()["config_reload_errors"] == 1 and read_counters()["config_reloads"] == 0
        line = sidecar.log.read_text().split("kept the old configuration")[1].splitlines()[0]
        assert named_field in line and sidecar.ask("POST /redeem")[0] == 200
        wait_for(lambda: sidecar.discovery.server.open)
