"""A graceful shutdown and a reload while requests or calls are in flight."""

from __future__ import annotations

import json
import os
import signal
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from scripted import Clogged, Peer, ask, figures, halted, listening
from world import (
    CLASSES,
    Discovery,
    Server,
    World,
    configuration,
    free_port,
    program,
    receive,
    reply,
    request,
    served,
    wait_for,
    world,
)

LONG_TIMEOUTS = {"classes": [cls | {"aim_ms": 20_000, "deadline_ms": 30_000} for cls in CLASSES]}
LONG_DEADLINE = "30000m"
DRAIN_DELAY_S = 0.7


@contextmanager
def ending(tmp_path: Path, *dials: str) -> Iterator[World]:
    """Run a sidecar that is terminated in the body; check that it exits with 0 and owes no response."""
    with world(tmp_path, *dials, told=LONG_TIMEOUTS) as sidecar:
        yield sidecar
        assert sidecar.process.wait(20) == 0
        assert '"owed": 0' in sidecar.log.read_text().splitlines()[-1]


def terminate(sidecar: World) -> None:
    sidecar.process.send_signal(signal.SIGTERM)
    wait_for(lambda: "draining" in sidecar.log.read_text())


def test_a_signal_before_the_handler_is_set_ends_the_process_at_once(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    os.mkfifo(path)
    with program(path) as (process, log):
        with path.open("w"):  # blocks until the reader opens the file, when no handler is set yet
            process.send_signal(signal.SIGTERM)
            assert process.wait(10) == -signal.SIGTERM
        assert log.read_text() == ""


def test_a_shutdown_before_the_first_list(tmp_path: Path) -> None:
    discovery, config = Clogged(), tmp_path / "config.json"
    config.write_text(configuration(Discovery(), discovery.address, known=False))
    with program(config) as (process, log):
        address = listening(log)
        with socket.create_connection(address, timeout=10) as conn:
            conn.sendall(request("GET /balance", X_Deadline="300m"))
            process.send_signal(signal.SIGTERM)
            assert receive(conn)[0] in (500, 503)
        assert process.wait(10) == 0
    discovery.close()


@pytest.mark.parametrize("is_new", [True, False])
def test_a_request_at_the_last_accept_is_served(tmp_path: Path, is_new: bool) -> None:
    # Guards against a process that exits with a connection that is accepted, but not yet among the clients.
    node = Server(served)
    with ending(tmp_path, node.address) as sidecar, sidecar.connect() as used:
        if not is_new:
            used.sendall(request("GET /balance"))
            assert receive(used)[0] == 200
        else:
            used.close()
        terminate(sidecar)
        with halted(sidecar):
            conn = used if not is_new else sidecar.connect()
            conn.sendall(request("POST /redeem", X_Deadline=LONG_DEADLINE))
            time.sleep(DRAIN_DELAY_S + 0.1)
        assert receive(conn)[0] == 200
        assert conn.recv(1) == b""


@pytest.mark.parametrize("is_completed", [True, False])
def test_a_partial_request_at_a_shutdown(tmp_path: Path, is_completed: bool) -> None:
    node = Server(served)
    whole = request("POST /redeem", b"body", X_Deadline=LONG_DEADLINE)
    with ending(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        conn.sendall(whole[:-2])
        wait_for(lambda: figures(sidecar)["clients"] == 1)
        terminate(sidecar)
        wait_for(lambda: refuses_connections(sidecar))
        if is_completed:
            conn.sendall(whole[-2:])
        assert receive(conn)[0] == (200 if is_completed else 408)
    assert len(node.seen) == is_completed


def refuses_connections(sidecar: World) -> bool:
    """Return whether new connections are refused."""
    try:
        sidecar.connect().close()
    except OSError:
        return True
    return False


def test_further_signals_during_a_shutdown_change_nothing(tmp_path: Path) -> None:
    node = Peer()
    with ending(tmp_path, node.address) as sidecar:
        conn = ask(sidecar, "POST /redeem", X_Deadline=LONG_DEADLINE)
        received = node.next()
        terminate(sidecar)
        sidecar.process.send_signal(signal.SIGTERM)
        wait_for(lambda: refuses_connections(sidecar))
        sidecar.process.send_signal(signal.SIGTERM)
        sidecar.process.send_signal(signal.SIGHUP)
        received.answer()
        assert receive(conn)[0] == 200


def test_a_long_body_and_a_streamed_answer_under_way(tmp_path: Path) -> None:
    node, size = Peer(), 300_000
    with ending(tmp_path, node.address) as sidecar:
        up, down = sidecar.connect(), ask(sidecar, "GET /balance", X_Deadline=LONG_DEADLINE)
        received = node.next()
        body = bytes(size)
        up.sendall(request("POST /redeem", body, X_Deadline=LONG_DEADLINE)[:-1000])
        received.conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size // 2))
        assert down.recv(1) == b"H"  # the answer has begun
        terminate(sidecar)
        wait_for(lambda: refuses_connections(sidecar))
        received.conn.sendall(bytes(size - size // 2))
        up.sendall(body[-1000:])
        upload = node.next()
        assert len(upload.seen.body) == size
        upload.answer(b"done")
        assert receive(up)[::2] == (200, b"done")
        assert receive(down, bytearray(b"H"))[::2] == (200, bytes(size))


def test_the_old_discovery_is_used_while_the_new_one_hangs(tmp_path: Path) -> None:
    nodes = [Server(served), Server(served)]
    old, new, endpoints = Peer(), Peer(), Discovery()
    endpoints.put("s-0", nodes[0].address)

    def list_reply(received: object = None) -> bytes:
        return reply(200, json.dumps(endpoints.text()).encode())

    config = tmp_path / "config.json"
    text = configuration(endpoints, old.address, listen=f"127.0.0.1:{free_port()}")
    config.write_text(text)
    with program(config) as (process, log):
        while "wait_ms=0" in (watch := old.next()).seen.target:
            watch.send(list_reply())
        config.write_text(json.dumps(json.loads(text) | {"discovery": new.address}))
        process.send_signal(signal.SIGHUP)
        call = new.next()  # the new discovery is called and does not answer yet
        endpoints.put("s-0", nodes[0].address, "leaving")
        endpoints.put("s-1", nodes[1].address)
        watch.send(list_reply())
        old.next()  # the next watch: the list before it has been read
        address = listening(log)

        def served_by() -> tuple[int, int]:
            with socket.create_connection(address, timeout=10) as conn:
                conn.sendall(request("GET /balance"))
                assert receive(conn)[0] == 200
            return len(nodes[0].seen), len(nodes[1].seen)

        assert served_by() == (0, 1)
        # Two more reloads: only the last one counts.
        for _ in range(2):
            process.send_signal(signal.SIGHUP)
            call = new.next()
        endpoints.put("s-1", nodes[1].address, "leaving")
        endpoints.put("s-0", nodes[0].address)
        call.send(list_reply())
        assert "after" in new.next().seen.target  # the list was accepted and is watched
        assert served_by() == (1, 1)
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
