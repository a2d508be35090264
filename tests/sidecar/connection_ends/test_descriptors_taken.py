"""Idle clients may take all descriptors there are for them while discovery is away: the rest goes on."""

from __future__ import annotations

import os
import socket
import time
from pathlib import Path

from scripted import Clogged, listening
from world import Discovery, Server, configuration, program, receive, request, served, wait_for

SOCKETS = 64


def test_clients_that_say_nothing_while_discovery_hangs(tmp_path: Path) -> None:
    # Discovery's connects that hang took one descriptor more each, of the few that are for all else.
    discovery, known = Clogged(), Discovery()
    nodes = [Server(served), Server(served)]
    known.put("s-0", nodes[0].address)
    config = tmp_path / "config.json"
    config.write_text(configuration(known, discovery.address, sockets=SOCKETS))
    with program(config, SOCKETS) as (process, log):
        address = listening(log)
        crowd = list[socket.socket]()

        def idle() -> None:
            while len(crowd) < 3 * SOCKETS:
                crowd.append(socket.create_connection(address, timeout=10))

        def asked() -> int:
            with socket.create_connection(address, timeout=10) as conn:
                conn.sendall(request("GET /balance"))
                return receive(conn)[0]

        idle()
        tried, end = set[str](), time.monotonic() + 30
        while len(tried) < 6:  # a connect after the other hangs, and work is taken all the while
            assert time.monotonic() < end
            tried |= discovery.knocking()
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= SOCKETS
            assert asked() == 200
        for conn in crowd:
            conn.close()
        crowd.clear()
        idle()
        known.hosts.clear()
        known.put("s-1", nodes[1].address)
        discovery.open()
        link = discovery.called(10)  # discovery is reached though they are all back
        assert link.recv(65536).startswith(b"GET /catalog")
        link.sendall(known.now())
        wait_for(lambda: asked() == 200 and nodes[1].seen)  # ... and so is a node of which it tells
        assert "Too many open files" not in log.read_text()
        for conn in crowd:
            conn.close()
    discovery.close()
