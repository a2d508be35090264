"""Invalid input from clients, in a configuration or from discovery: a clear error, and no request is lost."""

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
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        with contextlib.suppress(OSError):
            conn.sendall(endless)
        assert receive(conn)[0] == status
        with contextlib.suppress(ConnectionResetError):
            assert conn.recv(1) == b""
        assert sidecar.ask("POST /redeem")[0] == 200
        wait_for(lambda: figures(sidecar)["clients"] == 0)
    assert len(node.seen) == 1


@pytest.mark.parametrize(
    "settings",
    [
        {"classes": [CLASSES[2]]},  # no operation may be repeated
        {"classes": [cls | {"aim_ms": 90, "deadline_ms": 120, "window_ms": 10} for cls in CLASSES]},
        {"classes": [cls | {"aim_ms": 5000, "deadline_ms": 100} for cls in CLASSES]},
        {"limits": LIMITS | {"most_tries": 1}},
        {"limits": LIMITS | {"connect_timeout_ms": 60_000}},
        {"limits": LIMITS | {"keepalive_ms": 1}},
        {"limits": {}},
        {"invariants": {}, "prices": {}},
        {"localities": [], "zone": 7},
    ],
    ids=str,
)
def test_a_configuration_on_the_edge_serves(tmp_path: Path, settings: dict[str, Any]) -> None:
    node = Server(served)
    with world(tmp_path, node.address, told=settings) as sidecar:
        assert {sidecar.ask("POST /redeem")[0] for _ in range(5)} == {200}
        node.handler = lambda seen: b""  # reads the request and never answers
        assert sidecar.ask("POST /redeem", X_Deadline="150m")[0] == 500
        assert sidecar.stop() == 0
    assert '"owed": 0' in sidecar.log.read_text().splitlines()[-1]


@pytest.mark.parametrize("sockets", [26, 32])
def test_few_descriptors(tmp_path: Path, sockets: int) -> None:
    nodes = [Server(served), Server(served)]
    with world(tmp_path, *(node.address for node in nodes), sockets=sockets) as sidecar:
        crowd = [sidecar.connect() for _ in range(2 * sockets)]
        for conn in crowd:
            with contextlib.suppress(OSError):
                conn.sendall(request("POST /redeem"))
        statuses = list[int]()
        for conn in crowd:
            with contextlib.suppress(AssertionError, OSError):  # closed unread to free descriptors
                statuses.append(receive(conn)[0])
            conn.close()
        assert statuses and set(statuses) <= {200, 503}
        wait_for(lambda: figures(sidecar)["owed"] == 0 and sidecar.ask("POST /redeem")[0] == 200)
        assert sidecar.stop() == 0


@pytest.mark.parametrize(
    ("settings", "expected_key"),
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
    tmp_path: Path, settings: dict[str, Any], expected_key: str
) -> None:
    config = tmp_path / "config.json"
    config.write_text(configuration(Discovery(), "127.0.0.1:1", told=settings))
    completed = subprocess.run(
        [sys.executable, "-m", "coveport"],
        stderr=subprocess.PIPE,
        text=True,
        timeout=20,
        env={**os.environ, "LB_CONFIG": str(config)},
        check=False,
    )
    assert (
        completed.returncode == 2
        and len(completed.stderr.splitlines()) == 1
        and expected_key in completed.stderr
    )


def test_an_empty_list_is_accepted_and_so_is_the_next_one(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address) as sidecar:
        sidecar.discovery.hosts.clear()
        sidecar.discovery.seq += 1
        wait_for(lambda: figures(sidecar)["members"] == 0)
        status, headers, _ = sidecar.ask("POST /redeem", X_Deadline="300m")
        assert status == 503 and float(headers["retry-after"]) > 0
        sidecar.discovery.put("s-1", node.address)
        wait_for(lambda: figures(sidecar)["members"] == 1)
        with socket.create_connection(sidecar.address, timeout=10) as conn:
            conn.sendall(request("POST /redeem"))
            node.next().answer(b"done")
            assert receive(conn)[::2] == (200, b"done")
    assert (
        json.loads(configuration(sidecar.discovery, "127.0.0.1:1"))["known"]["seq"] == sidecar.discovery.seq
    )
