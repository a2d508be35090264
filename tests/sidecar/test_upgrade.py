"""Replacing the process under load: real processes share an address, and each replaces the one before."""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from world import Discovery, Seen, Server, configuration, free_port, receive, request, served, wait_for

LOAD_S = 0.3  # time of load after each step


class Fleet:
    """Successive processes at one address, and clients that send requests all the time."""

    def __init__(self, folder: Path, node: Server) -> None:
        self.folder = folder
        self.discovery = Discovery()
        self.number = 0
        self.discovery.put("s-0", node.address)
        self.listen = f"127.0.0.1:{free_port()}"
        self.running: list[subprocess.Popen[str]] = []
        self.requests = self.served = 0
        self.failures: list[object] = []
        self._stop = threading.Event()

    def start(self, **how: object) -> tuple[subprocess.Popen[str], tuple[str, int]]:
        """Start a process; return it and its admin address."""
        self.number += 1
        admin_port = free_port()
        config = self.folder / f"config-{self.number}.json"
        config_values = json.loads(
            configuration(
                self.discovery,
                self.discovery.server.address,
                listen=self.listen,
                staff=f"127.0.0.1:{admin_port}",
            )
        )
        config.write_text(json.dumps(config_values | how))
        with (self.folder / f"log-{self.number}").open("w") as sink:
            process = subprocess.Popen(
                [sys.executable, "-m", "coveport"],
                stderr=sink,
                text=True,
                env={**os.environ, "LB_CONFIG": str(config), "TMPDIR": str(self.folder)},
            )
        self.running.append(process)
        return process, ("127.0.0.1", admin_port)

    def ready(self, admin_address: tuple[str, int]) -> bool:
        with contextlib.suppress(OSError), socket.create_connection(admin_address, timeout=1) as conn:
            conn.sendall(b"PING\n")
            return conn.recv(100).startswith(b"ACK")
        return False

    def load(self) -> None:
        """Send requests on kept connections; reconnect after a close between two requests, as clients do."""
        host, port = self.listen.split(":")
        conn: socket.socket | None = None
        while not self._stop.is_set():
            self.requests += 1
            for fresh in (False, True):
                try:
                    if conn is None or fresh:
                        conn = socket.create_connection((host, int(port)), timeout=5)
                    conn.sendall(request("POST /redeem"))
                    status, headers, _ = receive(conn)
                    self.served += status == 200
                    if status != 200:
                        self.failures.append(status)
                    if headers.get("connection") == "close":
                        conn.close()
                        conn = None
                    break
                except (OSError, AssertionError) as error:
                    if fresh:
                        self.failures.append(error)
            time.sleep(0.002)
        if conn is not None:
            conn.close()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    upgrade_fleet = Fleet(tmp_path, Server(served))
    try:
        yield upgrade_fleet
    finally:
        upgrade_fleet._stop.set()
        for process in upgrade_fleet.running:
            process.kill()
            process.wait()
        upgrade_fleet.discovery.server.close()


def test_three_successive_upgrades_lose_nothing(fleet: Fleet) -> None:
    (fleet.folder / "coveport.sock").write_text("stale")
    old, admin_address = fleet.start()
    wait_for(lambda: fleet.ready(admin_address))
    clients = [threading.Thread(target=fleet.load, daemon=True) for _ in range(4)]
    for client in clients:
        client.start()
    for event in ("nothing", "a drain", "a reload"):
        time.sleep(LOAD_S)
        if event == "a drain":
            with socket.create_connection(admin_address, timeout=1) as conn:
                conn.sendall(b"LAMEDUCK\n")
                assert conn.recv(9) == b"ACK\n"
        new, admin_address = fleet.start()
        if event == "a reload":
            old.send_signal(signal.SIGHUP)
        wait_for(lambda: fleet.ready(admin_address))  # noqa: B023
        old.send_signal(signal.SIGTERM)
        assert old.wait(4) == 0
        old = new
    time.sleep(LOAD_S)
    fleet._stop.set()
    for client in clients:
        client.join(5)
    assert "configuration read anew" in (fleet.folder / "log-3").read_text()
    assert fleet.requests > 200 and fleet.served == fleet.requests and not fleet.failures


def test_a_new_process_that_is_never_ready_accepts_no_clients(fleet: Fleet) -> None:
    _, admin_address = fleet.start()
    wait_for(lambda: fleet.ready(admin_address))

    def stay_silent(_: Seen) -> bytes:
        time.sleep(60)
        return b""

    silent = Server(stay_silent)
    new, new_admin_address = fleet.start(
        discovery=silent.address, known={"seq": 0, "whole": True, "hosts": []}
    )
    wait_for(lambda: "admin address" in (fleet.folder / "log-2").read_text())
    time.sleep(0.7)
    assert not fleet.ready(new_admin_address) and "listening on" not in (fleet.folder / "log-2").read_text()
    clients = [threading.Thread(target=fleet.load, daemon=True) for _ in range(4)]
    for client in clients:
        client.start()
    time.sleep(LOAD_S)
    new.kill()  # without an effect on the old process
    time.sleep(LOAD_S)
    fleet._stop.set()
    for client in clients:
        client.join(5)
    assert fleet.served == fleet.requests > 20 and not fleet.failures


def test_a_process_starts_normally_after_a_kill(fleet: Fleet) -> None:
    old, admin_address = fleet.start()
    wait_for(lambda: fleet.ready(admin_address))
    old.kill()
    old.wait()
    _, admin_address = fleet.start()
    wait_for(lambda: fleet.ready(admin_address))
    assert re.search("listening on", (fleet.folder / "log-2").read_text())
