"""What makes no sense, from clients or in a configuration: one clear answer or line each, nothing lost."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from scripted import Peer, figures
from world import CLASSES, LIMITS, Discovery, Server, configuration, receive, request, served, wait_for, world


@pytest.mark.parametrize(
    ("endless", "status"),
    [
        (b"GET /balance HTTP/1.1\r\nX: " + b"y" * 100_000, 431),
        (b"GET /balance HTTP/1.1\r\n" + b"X: y\r\n" * 5000, 431),
        (b"\r\n" * 5000, 400),
        (b"\x16\x03\x01" + b"\x00" * 5000, 400),
        (b"GET /balance HTTP/1.1\r\nX: y", 408),
    ],
)
def test_a_head_that_never_ends(tmp_path: Path, endless: bytes, status: int) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as one, one.connect() as conn:
        with contextlib.suppress(OSError):
            conn.sendall(endless)
        assert receive(conn)[0] == status
        with contextlib.suppress(ConnectionResetError):
            assert conn.recv(1) == b""
        assert one.ask("POST /redeem")[0] == 200
        wait_for(lambda: figures(one)["clients"] == 0)
    assert len(node.seen) == 1


@pytest.mark.parametrize(
    "told",
    [
        {"classes": [CLASSES[2]]},  # nothing may be repeated
        {"classes": [one | {"aim_ms": 90, "deadline_ms": 120, "window_ms": 10} for one in CLASSES]},
        {"classes": [one | {"aim_ms": 5000, "deadline_ms": 100} for one in CLASSES]},
        {"limits": LIMITS | {"most_tries": 1}},
        {"limits": LIMITS | {"connect_timeout_ms": 60_000}},
        {"limits": LIMITS | {"keepalive_ms": 1}},
        {"limits": {}},
        {"invariants": {}, "prices": {}},
        {"localities": [], "zone": 7},
    ],
    ids=str,
)
def test_a_configuration_on_the_edge_serves(tmp_path: Path, told: dict[str, Any]) -> None:
    node = Server(served)
    with world(tmp_path, node.address, told=told) as one:
        assert {one.ask("POST /redeem")[0] for _ in range(5)} == {200}
        node.handler = lambda seen: b""  # read, and never answered
        assert one.ask("POST /redeem", X_Deadline="150m")[0] == 500
        assert one.stop() == 0
    assert '"owed": 0' in one.log.read_text().splitlines()[-1]


@pytest.mark.parametrize("sockets", [26, 32])
def test_few_descriptors(tmp_path: Path, sockets: int) -> None:
    nodes = [Server(served), Server(served)]
    with world(tmp_path, *(node.address for node in nodes), sockets=sockets) as one:
        crowd = [one.connect() for _ in range(2 * sockets)]
        for conn in crowd:
            with contextlib.suppress(OSError):
                conn.sendall(request("POST /redeem"))
        statuses = list[int]()
        for conn in crowd:
            with contextlib.suppress(AssertionError, OSError):  # closed unread to make room: told by its end
                statuses.append(receive(conn)[0])
            conn.close()
        assert statuses and set(statuses) <= {200, 503}
        wait_for(lambda: figures(one)["owed"] == 0 and one.ask("POST /redeem")[0] == 200)
        assert one.stop() == 0


@pytest.mark.parametrize(
    ("told", "named"),
    [
        ({"classes": []}, "classes"),
        ({"classes": [CLASSES[0] | {"deadline_ms": 0}]}, "deadline_ms"),
        ({"classes": [CLASSES[0] | {"aim_ms": -1}]}, "aim_ms"),
        ({"limits": LIMITS | {"most_tries": 0}}, "attempts"),
        ({"classes": [CLASSES[0] | {"name": 7}]}, "name"),
        ({"zone": "a"}, "zone"),
    ],
)
def test_a_configuration_that_makes_no_sense_is_one_line(
    tmp_path: Path, told: dict[str, Any], named: str
) -> None:
    config = tmp_path / "config.json"
    config.write_text(configuration(Discovery(), "127.0.0.1:1", told=told))
    ended = subprocess.run(
        [sys.executable, "-m", "coveport"],
        stderr=subprocess.PIPE,
        text=True,
        timeout=20,
        env={**os.environ, "LB_CONFIG": str(config)},
        check=False,
    )
    assert ended.returncode == 2 and len(ended.stderr.splitlines()) == 1 and named in ended.stderr


def test_an_empty_list_is_believed_and_the_next_one_too(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address) as one:
        one.discovery.hosts.clear()
        one.discovery.seq += 1
        wait_for(lambda: figures(one)["members"] == 0)
        status, headers, _ = one.ask("POST /redeem", X_Deadline="300m")
        assert status == 503 and float(headers["retry-after"]) > 0
        one.discovery.put("s-1", node.address)
        wait_for(lambda: figures(one)["members"] == 1)
        with socket.create_connection(one.address, timeout=10) as conn:
            conn.sendall(request("POST /redeem"))
            node.next().answer(b"done")
            assert receive(conn)[::2] == (200, b"done")
    assert json.loads(configuration(one.discovery, "127.0.0.1:1"))["known"]["seq"] == one.discovery.seq
