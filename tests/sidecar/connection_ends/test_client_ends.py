"""Closes of ours against what a client sends in that moment, and what a client ends in the middle."""

from __future__ import annotations

import contextlib
import socket
import time
from pathlib import Path

import pytest
from scripted import Peer, ask, figures, halted
from world import CLASSES, Server, World, receive, request, served, wait_for, world

LONG = "30000m"
PATIENT = {"classes": [one | {"aim_ms": 20_000, "deadline_ms": 30_000} for one in CLASSES]}


def rested(one: World) -> socket.socket:
    """A connection that has had an answer."""
    conn = one.connect()
    conn.sendall(request("GET /balance"))
    assert receive(conn)[0] == 200
    return conn


def test_a_request_that_is_just_arriving_is_not_closed_upon_as_idle(tmp_path: Path) -> None:
    # The close is due, and the request is there first: found unread, it is served.
    node = Server(served)
    with world(tmp_path, node.address, told=PATIENT) as one:
        conn = rested(one)
        with halted(one):
            conn.sendall(request("POST /redeem", X_Request_Id="late", X_Deadline=LONG))
            time.sleep(5.4)
        assert receive(conn)[::2] == (200, b"served late")


def test_a_request_that_is_just_arriving_is_not_closed_upon_to_make_room(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address, told=PATIENT, sockets=64) as one:
        conns = [rested(one) for _ in range(13)]  # half of those there may be: more, and those at rest go
        with halted(one):
            for _ in range(4):
                conns.insert(0, one.connect())  # whose first requests make them too many
            for number, conn in enumerate(conns):
                conn.sendall(request("POST /redeem", X_Request_Id=f"late{number}", X_Deadline=LONG))
            time.sleep(0.4)
        for number, conn in enumerate(conns):
            assert receive(conn)[::2] == (200, b"served late%d" % number)


def test_a_request_in_the_moment_of_a_lame_ducks_close(tmp_path: Path) -> None:
    node = Server(served)
    staff = f"127.0.0.1:{_free()}"
    with world(tmp_path, node.address, told=PATIENT, staff=staff) as one:
        conn = rested(one)
        with socket.create_connection(("127.0.0.1", int(staff.rpartition(":")[2])), timeout=10) as call:
            call.sendall(b"LAMEDUCK\n")
            assert call.recv(64).startswith(b"ACK")
        with halted(one):
            conn.sendall(request("POST /redeem", X_Deadline=LONG))
            time.sleep(0.8)
        status, headers, _ = receive(conn)
        assert (status, headers["connection"]) == (200, "close")
        assert conn.recv(1) == b""


def _free() -> int:
    with socket.create_server(("127.0.0.1", 0)) as one:
        port: int = one.getsockname()[1]
        return port


@pytest.mark.parametrize("ahead", [False, True])
def test_nothing_is_taken_behind_the_farewell(tmp_path: Path, ahead: bool) -> None:
    # What comes behind our end is not read as a request; the client sends it again elsewhere.
    node = Peer()
    with world(tmp_path, node.address, told=PATIENT) as one, one.connect() as conn:
        last = request("POST /redeem", X_Request_Id="a", X_Deadline=LONG, Connection="close")
        crossing = request("POST /redeem", X_Request_Id="b", X_Deadline=LONG)
        conn.sendall(last + crossing if ahead else last)
        node.next().answer()
        held = bytearray()
        assert receive(conn, held)[::2] == (200, b"a")
        assert conn.recv(1) == b"" and not held
        if not ahead:
            conn.sendall(crossing)
        marker = ask(one, "POST /redeem", X_Request_Id="marker", X_Deadline=LONG)
        got = node.next()
        assert got.id == "marker"
        got.answer()
        assert receive(marker)[0] == 200


def test_a_close_over_unread_bytes_destroys_no_answer(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as one, one.connect() as conn:
        conn.sendall(request("POST /redeem", Content_Length="60000000"))
        with contextlib.suppress(OSError):
            for _ in range(20):  # at full speed, and read only then
                conn.sendall(bytes(100_000))
        assert receive(conn)[0] == 413
        assert one.ask("POST /redeem")[0] == 200


def test_who_ends_its_sending_counts_as_gone(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=PATIENT) as one, one.connect() as conn:
        conn.sendall(request("POST /redeem", X_Deadline=LONG))
        got = node.next()
        conn.shutdown(socket.SHUT_WR)
        assert conn.recv(1) == b""
        got.conn.settimeout(10)
        assert got.conn.recv(1) == b""  # its attempt goes with it
        assert figures(one)["owed"] == 0


def test_who_sends_much_at_once_and_goes(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=PATIENT) as one:
        for _ in range(5):
            with one.connect() as conn, contextlib.suppress(OSError):
                conn.sendall(b"".join(request("GET /balance", X_Deadline=LONG) for _ in range(1000)))
        wait_for(lambda: figures(one)["clients"] == 0 and figures(one)["owed"] == 0)
        while node.waiting:  # what was begun before its client left, one each at the most
            node.next().cut()
        conn = ask(one, "POST /redeem", X_Request_Id="marker", X_Deadline=LONG)
        got = node.next()
        assert got.id == "marker"
        got.answer()
        assert receive(conn)[0] == 200
