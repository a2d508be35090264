"""Clients that break the protocol are told so or closed in time, and cost the others nothing."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest
from simulated import Conn, Server, ground, now, reset, sleep, wait_for, world
from world import SILENT, Seen, receive, request, served

HALF = request("POST /redeem", b"body")[:-1]


def closed_after(conn: Conn) -> tuple[float, bytes]:
    """How long until the other side closes, and what it says before."""
    start, said = now(), b""
    with contextlib.suppress(ConnectionResetError):
        while data := conn.recv(65536):
            said += data
    return now() - start, said


def test_silent_and_half_sent_connections_are_closed_within_three_seconds(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as one, one.connect() as silent, one.connect() as half:
        sleep(1.0)  # the time counts from the connect, not from the first byte
        half.sendall(HALF)
        took, said = closed_after(half)
        assert took < 1.9 and said.startswith(b"HTTP/1.1 408")
        assert closed_after(silent)[0] < 1.0
    assert not node.seen


def test_a_quiet_client_does_not_keep_its_connection_for_good(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as one, one.connect() as conn:
        conn.sendall(request("POST /redeem"))
        assert receive(conn)[0] == 200
        took, said = closed_after(conn)
        assert 2 < took < 9 and said == b""


def test_clients_that_ask_once_and_stay_do_not_use_up_the_connections(tmp_path: Path) -> None:
    # Seen on a recorded day: all that clients may hold stood idle, and half the requests had none.
    node = Server(served)
    with world(tmp_path, node.address, sockets=192) as one:
        stayed = []
        for _ in range(90):
            stayed.append(one.connect())
            stayed[-1].sendall(request("GET /balance"))
            assert receive(stayed[-1])[0] == 200
            sleep(0.01)
        assert one.figures()["clients"] < 60  # a third is 64
        for conn in stayed:
            conn.close()


def test_a_huge_body_is_refused_before_it_has_come(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as one, one.connect() as conn:
        conn.send(request("POST /redeem", Content_Length="60000000"))
        for _ in range(600):
            conn.send(bytes(100_000))
        took, said = closed_after(conn)
        assert took < 5 and said.startswith(b"HTTP/1.1 413")
        sleep(5)
        assert conn.unsent > 50_000_000  # most of it is not even read
        assert one.ask("POST /redeem")[0] == 200


def test_the_id_of_an_open_operation_is_refused(tmp_path: Path) -> None:
    node = Server(lambda seen: SILENT)
    with world(tmp_path, node.address) as one, one.connect() as conn:
        conn.sendall(request("POST /redeem", X_Request_Id="abc", X_Deadline="5000m"))
        wait_for(lambda: len(node.seen) == 1)
        assert one.ask("POST /redeem", X_Request_Id="abc")[0] == 409
        assert one.ask("GET /balance", X_Request_Id="abc")[0] == 409
        node.handler = served
        assert one.ask("POST /redeem", X_Request_Id="abd")[0] == 200
        node.open[0].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert receive(conn)[::2] == (200, b"ok")  # its own answer, and only that
        assert one.ask("POST /redeem", X_Request_Id="abc")[0] == 200  # no longer open
        assert [seen.headers["x-request-id"] for seen in node.seen] == ["abc", "abd", "abc"]


def test_a_get_with_a_body_is_refused(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as one:
        assert one.raw(request("GET /balance", b"ab", Content_Length="2"), closes=True) == (400, True)
    assert not node.seen


@pytest.mark.parametrize("start", [b"", HALF, b"GET /balance HTTP/1.1\r\nX: "])
def test_connections_that_bring_nothing_do_not_crowd_out_the_others(tmp_path: Path, start: bytes) -> None:
    node = Server(served)
    with world(tmp_path, node.address, sockets=96) as one:

        async def crowd() -> None:
            held: list[Conn] = []
            while True:
                with contextlib.suppress(OSError):
                    held.append(await one.dial())
                    held[-1].send(start)
                    await asyncio.sleep(0.002)
                if len(held) > 200:
                    held.pop(0).close()

        usual = [one.connect() for _ in range(20)]
        for conn in usual:  # known to be usual by what they have sent
            conn.sendall(request("GET /balance"))
            assert receive(conn)[0] == 200
        rush = [ground().lab.create_task(crowd()) for _ in range(3)]
        statuses = []
        for _ in range(20):
            for conn in usual:
                conn.sendall(request("GET /balance"))
            statuses += [receive(conn)[0] for conn in usual]
            statuses.append(one.ask("GET /balance")[0])  # new ones are let in
            sleep(0.05)
        assert not any(task.done() for task in rush)
        assert statuses == [200] * 420


def test_who_goes_in_the_middle_leaves_nothing_behind(tmp_path: Path) -> None:
    async def slow(seen: Seen) -> bytes:
        await asyncio.sleep(0.2)
        return served(seen)

    node = Server(slow)
    with world(tmp_path, node.address, sockets=96) as one:
        for number in range(300):
            conn = one.connect()
            conn.sendall(HALF if number % 3 else request("GET /balance"))
            reset(conn)
        wait_for(lambda: one.figures()["owed"] == 0 and one.figures()["clients"] == 0)
        assert one.ask("GET /balance")[0] == 200
