"""Idle clients may use all descriptors for clients while discovery is unreachable; the rest still works."""

from __future__ import annotations

import os
import socket
import time
from pathlib import Path

from scripted import Clogged, listening
from world import Discovery, Server, configuration, program, receive, request, served, wait_for

SOCKETS = 64


def test_idle_clients_while_discovery_hangs(tmp_path: Path) -> None:
    # Guards against connects to discovery that hang and each use up one of the few remaining descriptors.
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

        def request_status() -> int:
            with socket.create_connection(address, timeout=10) as conn:
                conn.sendall(request("GET /balance"))
                return receive(conn)[0]

        idle()
        ports, end = set[str](), time.monotonic() + 30
        while len(ports) < 6:  # one connect after another hangs, and requests are served meanwhile
            assert time.monotonic() < end
            ports |= discovery.knocking()
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= SOCKETS
            assert request_status() == 200
        for conn in crowd:
            conn.close()
        crowd.clear()
        idle()
        known.hosts.clear()
        known.put("s-1", nodes[1].address)
        discovery.open()
        link = discovery.called(10)  # discovery is reached although all idle clients are back
        assert link.recv(65536).startswith(b"GET /catalog")
        link.sendall(known.now())
        wait_for(lambda: request_status() == 200 and nodes[1].seen)  # the node on its list is reached too
        assert "Too many open files" not in log.read_text()
        for conn in crowd:
            conn.close()
    discovery.close()
