"""Closes by the sidecar while a client is sending, and clients that disconnect during a request."""

from __future__ import annotations

import contextlib
import socket
import time
from pathlib import Path

import pytest
from scripted import Peer, ask, figures, halted
from world import CLASSES, Server, World, receive, request, served, wait_for, world

LONG_DEADLINE = "30000m"
LONG_TIMEOUTS = {"classes": [cls | {"aim_ms": 20_000, "deadline_ms": 30_000} for cls in CLASSES]}


def idle_connection(sidecar: World) -> socket.socket:
    """Return a connection that has had an answer and is idle."""
    conn = sidecar.connect()
    conn.sendall(request("GET /balance"))
    assert receive(conn)[0] == 200
    return conn


def test_a_connection_with_an_arriving_request_is_not_closed_as_idle(tmp_path: Path) -> None:
    # The idle time-out has passed, but the request arrived before: it is unread, and is served.
    node = Server(served)
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar:
        conn = idle_connection(sidecar)
        with halted(sidecar):
            conn.sendall(request("POST /redeem", X_Request_Id="late", X_Deadline=LONG_DEADLINE))
            time.sleep(5.4)
        assert receive(conn)[::2] == (200, b"served late")


def test_a_connection_with_an_arriving_request_is_not_shed(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address, told=LONG_TIMEOUTS, sockets=64) as sidecar:
        # Half of the maximum; with more, idle connections are closed.
        conns = [idle_connection(sidecar) for _ in range(13)]
        with halted(sidecar):
            for _ in range(4):
                conns.insert(0, sidecar.connect())  # with their first requests there are more than half
            for number, conn in enumerate(conns):
                conn.sendall(request("POST /redeem", X_Request_Id=f"late{number}", X_Deadline=LONG_DEADLINE))
            time.sleep(0.4)
        for number, conn in enumerate(conns):
            assert receive(conn)[::2] == (200, b"served late%d" % number)


def test_a_request_that_arrives_while_a_drain_closes_idle_connections(tmp_path: Path) -> None:
    node = Server(served)
    staff = f"127.0.0.1:{_free_port()}"
    with world(tmp_path, node.address, told=LONG_TIMEOUTS, staff=staff) as sidecar:
        conn = idle_connection(sidecar)
        with socket.create_connection(("127.0.0.1", int(staff.rpartition(":")[2])), timeout=10) as call:
            call.sendall(b"LAMEDUCK\n")
            assert call.recv(64).startswith(b"ACK")
        with halted(sidecar):
            conn.sendall(request("POST /redeem", X_Deadline=LONG_DEADLINE))
            time.sleep(0.8)
        status, headers, _ = receive(conn)
        assert (status, headers["connection"]) == (200, "close")
        assert conn.recv(1) == b""


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
        return port


@pytest.mark.parametrize("ahead", [False, True])
def test_no_request_is_read_after_the_last_response(tmp_path: Path, ahead: bool) -> None:
    # What arrives after our end of stream is not read as a request; the client resends it elsewhere.
    node = Peer()
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar, sidecar.connect() as conn:
        last = request("POST /redeem", X_Request_Id="a", X_Deadline=LONG_DEADLINE, Connection="close")
        crossing = request("POST /redeem", X_Request_Id="b", X_Deadline=LONG_DEADLINE)
        conn.sendall(last + crossing if ahead else last)
        node.next().answer()
        buffer = bytearray()
        assert receive(conn, buffer)[::2] == (200, b"a")
        assert conn.recv(1) == b"" and not buffer
        if not ahead:
            conn.sendall(crossing)
        marker = ask(sidecar, "POST /redeem", X_Request_Id="marker", X_Deadline=LONG_DEADLINE)
        received = node.next()
        assert received.id == "marker"
        received.answer()
        assert receive(marker)[0] == 200


def test_a_close_over_unread_bytes_destroys_no_answer(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        conn.sendall(request("POST /redeem", Content_Length="60000000"))
        with contextlib.suppress(OSError):
            for _ in range(20):  # the client sends at full speed, and reads only then
                conn.sendall(bytes(100_000))
        assert receive(conn)[0] == 413
        assert sidecar.ask("POST /redeem")[0] == 200


def test_a_client_that_shuts_down_its_sending_side_counts_as_disconnected(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar, sidecar.connect() as conn:
        conn.sendall(request("POST /redeem", X_Deadline=LONG_DEADLINE))
        received = node.next()
        conn.shutdown(socket.SHUT_WR)
        assert conn.recv(1) == b""
        received.conn.settimeout(10)
        assert received.conn.recv(1) == b""  # its attempt is cancelled
        assert figures(sidecar)["owed"] == 0


def test_a_client_that_disconnects_after_many_pipelined_requests(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar:
        for _ in range(5):
            with sidecar.connect() as conn, contextlib.suppress(OSError):
                conn.sendall(b"".join(request("GET /balance", X_Deadline=LONG_DEADLINE) for _ in range(1000)))
        wait_for(lambda: figures(sidecar)["clients"] == 0 and figures(sidecar)["owed"] == 0)
        while node.waiting:  # attempts begun before the client disconnected, at most one per client
            node.next().cut()
        conn = ask(sidecar, "POST /redeem", X_Request_Id="marker", X_Deadline=LONG_DEADLINE)
        received = node.next()
        assert received.id == "marker"
        received.answer()
        assert receive(conn)[0] == 200
