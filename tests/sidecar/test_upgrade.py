"""Replacing the process under load: real processes that share an address, one taking over from the other."""

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

SPAN_S = 0.3  # of load after each step


class Fleet:
    """Processes in one place, one after the other, and clients that ask all the time."""

    def __init__(self, folder: Path, node: Server) -> None:
        self.folder = folder
        self.discovery = Discovery()
        self.number = 0
        self.discovery.put("s-0", node.address)
        self.listen = f"127.0.0.1:{free_port()}"
        self.running: list[subprocess.Popen[str]] = []
        self.asked = self.served = 0
        self.wrong: list[object] = []
        self._stop = threading.Event()

    def start(self, **how: object) -> tuple[subprocess.Popen[str], tuple[str, int]]:
        """A process, and where its console is."""
        self.number += 1
        staff = free_port()
        config = self.folder / f"config-{self.number}.json"
        told = json.loads(
            configuration(
                self.discovery, self.discovery.server.address, listen=self.listen, staff=f"127.0.0.1:{staff}"
            )
        )
        config.write_text(json.dumps(told | how))
        with (self.folder / f"log-{self.number}").open("w") as sink:
            process = subprocess.Popen(
                [sys.executable, "-m", "coveport"],
                stderr=sink,
                text=True,
                env={**os.environ, "LB_CONFIG": str(config), "TMPDIR": str(self.folder)},
            )
        self.running.append(process)
        return process, ("127.0.0.1", staff)

    def ready(self, staff: tuple[str, int]) -> bool:
        with contextlib.suppress(OSError), socket.create_connection(staff, timeout=1) as conn:
            conn.sendall(b"PING\n")
            return conn.recv(100).startswith(b"ACK")
        return False

    def load(self) -> None:
        """Ask on kept connections; one that was closed between two requests is opened anew, as clients do."""
        host, port = self.listen.split(":")
        conn: socket.socket | None = None
        while not self._stop.is_set():
            self.asked += 1
            for fresh in (False, True):
                try:
                    if conn is None or fresh:
                        conn = socket.create_connection((host, int(port)), timeout=5)
                    conn.sendall(request("POST /redeem"))
                    status, headers, _ = receive(conn)
                    self.served += status == 200
                    if status != 200:
                        self.wrong.append(status)
                    if headers.get("connection") == "close":
                        conn.close()
                        conn = None
                    break
                except (OSError, AssertionError) as problem:
                    if fresh:
                        self.wrong.append(problem)
            time.sleep(0.002)
        if conn is not None:
            conn.close()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    one = Fleet(tmp_path, Server(served))
    try:
        yield one
    finally:
        one._stop.set()
        for process in one.running:
            process.kill()
            process.wait()
        one.discovery.server.close()


def test_three_upgrades_in_a_row_lose_nothing(fleet: Fleet) -> None:
    (fleet.folder / "coveport.sock").write_text("stale")
    old, staff = fleet.start()
    wait_for(lambda: fleet.ready(staff))
    clients = [threading.Thread(target=fleet.load, daemon=True) for _ in range(4)]
    for client in clients:
        client.start()
    for meanwhile in ("nothing", "a drain", "a retuning"):
        time.sleep(SPAN_S)
        if meanwhile == "a drain":
            with socket.create_connection(staff, timeout=1) as conn:
                conn.sendall(b"LAMEDUCK\n")
                assert conn.recv(9) == b"ACK\n"
        new, staff = fleet.start()
        if meanwhile == "a retuning":
            old.send_signal(signal.SIGHUP)
        wait_for(lambda: fleet.ready(staff))  # noqa: B023
        old.send_signal(signal.SIGTERM)
        assert old.wait(4) == 0
        old = new
    time.sleep(SPAN_S)
    fleet._stop.set()
    for client in clients:
        client.join(5)
    assert "configuration read anew" in (fleet.folder / "log-3").read_text()
    assert fleet.asked > 200 and fleet.served == fleet.asked and not fleet.wrong


def test_a_new_process_that_is_never_ready_takes_no_clients(fleet: Fleet) -> None:
    _, staff = fleet.start()
    wait_for(lambda: fleet.ready(staff))

    def says_nothing(_: Seen) -> bytes:
        time.sleep(60)
        return b""

    silent = Server(says_nothing)
    new, other = fleet.start(discovery=silent.address, known={"seq": 0, "whole": True, "hosts": []})
    wait_for(lambda: "staff call at" in (fleet.folder / "log-2").read_text())
    time.sleep(0.7)
    assert not fleet.ready(other) and "listening on" not in (fleet.folder / "log-2").read_text()
    clients = [threading.Thread(target=fleet.load, daemon=True) for _ in range(4)]
    for client in clients:
        client.start()
    time.sleep(SPAN_S)
    new.kill()  # the old one has never noticed
    time.sleep(SPAN_S)
    fleet._stop.set()
    for client in clients:
        client.join(5)
    assert fleet.served == fleet.asked > 20 and not fleet.wrong


def test_after_a_kill_the_next_one_starts_as_if_there_had_been_none(fleet: Fleet) -> None:
    old, staff = fleet.start()
    wait_for(lambda: fleet.ready(staff))
    old.kill()
    old.wait()
    _, staff = fleet.start()
    wait_for(lambda: fleet.ready(staff))
    assert re.search("listening on", (fleet.folder / "log-2").read_text())
