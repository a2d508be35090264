"""The program as an operating-system process: what simulated time can't show, or may show differently.

Tests with `ground` run with real processes and in simulated time, so that the two are compared.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from types import ModuleType

import pytest
import simulated
import world as real
from world import Discovery, configuration, free_port, program, receive, reply, request, served, wait_for

ON_BOTH = pytest.mark.parametrize("ground", [real, simulated], ids=lambda module: module.__name__)


@ON_BOTH
def test_an_operation_passes_through_unchanged(tmp_path: Path, ground: ModuleType) -> None:
    node = ground.Server(served)
    with ground.world(tmp_path, node.address) as sidecar:
        status, _, body = sidecar.ask("GET /balance/7?of=me", X_Request_Id="9b1f03aa")
        assert (status, body) == (200, b"served 9b1f03aa")
        data = bytes(range(256)) * 256  # 64 KiB: the size limit, and more than one write takes
        node.handler = lambda seen: reply(200, seen.body)
        assert sidecar.ask("POST /earn", data, Idempotency_Key="k-1")[::2] == (200, data)
        # Production has answers of hundreds of KiB, although a body should have at most 64 KiB.
        node.handler = lambda seen: reply(200, data * 5)
        assert sidecar.ask("POST /earn", Idempotency_Key="k-2")[::2] == (200, data * 5)
        assert sidecar.stop() == 0
        assert '"phase": "stopped"' in sidecar.log.read_text()
    first, second, _ = node.seen
    assert (first.method, first.target, first.body) == ("GET", "/balance/7?of=me", b"")
    assert (second.headers["idempotency-key"], second.body) == ("k-1", data)
    assert 0 < int(first.headers["x-deadline"].removesuffix("m")) <= 1000


@ON_BOTH
def test_a_connection_that_ends_just_before_its_reuse_is_not_reused(
    tmp_path: Path, ground: ModuleType
) -> None:
    node = ground.Server(served)
    with ground.world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        conn.sendall(request("POST /redeem"))
        assert receive(conn)[0] == 200
        with sidecar.stopped():
            conn.sendall(request("POST /redeem"))  # read first, as it was received first
            node.open[0].shutdown(socket.SHUT_WR)
        assert receive(conn)[0] == 200 and node.connections == 2


@ON_BOTH
def test_a_burst_of_new_connections_loses_nothing(tmp_path: Path, ground: ModuleType) -> None:
    # In an overloaded run with few descriptors, connections were closed to free descriptors right after they
    # had been accepted, with their first requests unread.
    node = ground.Server(served)
    with ground.world(tmp_path, node.address, sockets=96) as sidecar:
        with sidecar.stopped():
            connections = [sidecar.connect() for _ in range(60)]
            for conn in connections:
                conn.sendall(request("GET /balance", X_Deadline="5000m"))
        assert {receive(conn)[0] for conn in connections} <= {200, 503}


@ON_BOTH
def test_few_descriptors_are_survived(tmp_path: Path, ground: ModuleType) -> None:
    node = ground.Server(served)
    with ground.world(tmp_path, node.address, sockets=40) as sidecar:
        connections = [sidecar.connect() for _ in range(60)]
        ground.wait_for(lambda: sidecar.ask("GET /balance")[0] == 200)
        for conn in connections:
            conn.close()
        ground.wait_for(lambda: sidecar.ask("GET /balance")[0] == 200)
        assert sidecar.stop() == 0


@pytest.mark.parametrize("text", [None, "", "[]", "{}", '{"settings":{"classes":[]}}'])
def test_a_wrong_configuration_is_one_line_and_exit_2(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    result = subprocess.run(
        [sys.executable, "-m", "coveport"],
        stderr=subprocess.PIPE,
        text=True,
        timeout=20,
        env={**os.environ, "LB_CONFIG": str(path)},
        check=False,
    )
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1


def test_a_reload_before_the_configuration_is_read_is_survived_and_done(tmp_path: Path) -> None:
    discovery, path = Discovery(), tmp_path / "config.json"
    os.mkfifo(path)
    with program(path) as (process, log):
        with path.open("w") as file:  # blocks until the process opens it for reading
            process.send_signal(signal.SIGHUP)
            path.unlink()
            path.write_text(configuration(discovery, discovery.server.address))  # which the reload reads
            file.write(configuration(discovery, discovery.server.address))
        wait_for(lambda: "serving" in log.read_text())
        assert "configuration read anew" in log.read_text()
        process.send_signal(signal.SIGINT)
        assert process.wait(10) == 0
    discovery.server.close()


def test_a_bound_address_is_retried(tmp_path: Path) -> None:
    discovery, path, port = Discovery(), tmp_path / "config.json", free_port()
    with socket.create_server(("127.0.0.1", port)) as previous:
        path.write_text(configuration(discovery, discovery.server.address, listen=f"127.0.0.1:{port}"))
        with program(path) as (_, log):
            wait_for(lambda: discovery.server.seen)  # requested after the first try to listen
            assert "listening" not in log.read_text()
            previous.close()
            wait_for(lambda: f"listening on 127.0.0.1:{port}" in log.read_text())
    discovery.server.close()


def test_the_example_serves(tmp_path: Path) -> None:
    root = Path(__file__).parents[2]
    toy = subprocess.Popen(
        [sys.executable, "example/toy_server.py", "0"],
        cwd=root,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    assert toy.stdout is not None
    discovery = toy.stdout.readline().split()[-1]
    config = json.loads((root / "example" / "config.json").read_text())
    try:
        with real.world(tmp_path, config=config | {"discovery": discovery}) as sidecar:
            status, _, body = sidecar.ask("POST /redeem/points", b"{}", X_Request_Id="abc")
            assert status == 200 and json.loads(body) == {"path": "/redeem/points", "id": "abc", "bytes": 2}
    finally:
        toy.kill()
        toy.wait()
        toy.stdout.close()
