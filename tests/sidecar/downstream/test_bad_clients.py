"""Clients that violate the protocol get an error or are closed in time, at no cost to other clients."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest
from simulated import Conn, Server, ground, now, reset, sleep, wait_for, world
from world import SILENT, Seen, receive, request, served

PARTIAL = request("POST /redeem", b"body")[:-1]


def closed_after(conn: Conn) -> tuple[float, bytes]:
    """Return how long it takes until the other side closes, and the bytes that it sends before."""
    start, received = now(), b""
    with contextlib.suppress(ConnectionResetError):
        while data := conn.recv(65536):
            received += data
    return now() - start, received


def test_silent_and_half_sent_connections_are_closed_within_three_seconds(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as silent, sidecar.connect() as partial:
        sleep(1.0)  # the time-out counts from the connect, not from the first byte
        partial.sendall(PARTIAL)
        elapsed_s, received = closed_after(partial)
        assert elapsed_s < 1.9 and received.startswith(b"HTTP/1.1 408")
        assert closed_after(silent)[0] < 1.0
    assert not node.seen


def test_an_idle_client_connection_is_closed(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        conn.sendall(request("POST /redeem"))
        assert receive(conn)[0] == 200
        elapsed_s, received = closed_after(conn)
        assert 2 < elapsed_s < 9 and received == b""


def test_idle_clients_do_not_use_up_the_connections(tmp_path: Path) -> None:
    # In a replay of recorded traffic all client connections were idle, and half the requests got none.
    node = Server(served)
    with world(tmp_path, node.address, sockets=192) as sidecar:
        idle = []
        for _ in range(90):
            idle.append(sidecar.connect())
            idle[-1].sendall(request("GET /balance"))
            assert receive(idle[-1])[0] == 200
            sleep(0.01)
        assert sidecar.figures()["clients"] < 60  # the maximum, a third of the descriptors, is 64
        for conn in idle:
            conn.close()


def test_a_huge_body_is_refused_before_it_has_come(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        conn.send(request("POST /redeem", Content_Length="60000000"))
        for _ in range(600):
            conn.send(bytes(100_000))
        elapsed_s, received = closed_after(conn)
        assert elapsed_s < 5 and received.startswith(b"HTTP/1.1 413")
        sleep(5)
        assert conn.unsent > 50_000_000  # most of it is not even read
        assert sidecar.ask("POST /redeem")[0] == 200


def test_the_id_of_an_open_operation_is_refused(tmp_path: Path) -> None:
    node = Server(lambda seen: SILENT)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        conn.sendall(request("POST /redeem", X_Request_Id="abc", X_Deadline="5000m"))
        wait_for(lambda: len(node.seen) == 1)
        assert sidecar.ask("POST /redeem", X_Request_Id="abc")[0] == 409
        assert sidecar.ask("GET /balance", X_Request_Id="abc")[0] == 409
        node.handler = served
        assert sidecar.ask("POST /redeem", X_Request_Id="abd")[0] == 200
        node.open[0].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert receive(conn)[::2] == (200, b"ok")  # the answer to this operation, and no other
        assert sidecar.ask("POST /redeem", X_Request_Id="abc")[0] == 200  # no longer open
        assert [seen.headers["x-request-id"] for seen in node.seen] == ["abc", "abd", "abc"]


def test_a_get_with_a_body_is_refused(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar:
        assert sidecar.raw(request("GET /balance", b"ab", Content_Length="2"), closes=True) == (400, True)
    assert not node.seen


@pytest.mark.parametrize("start", [b"", PARTIAL, b"GET /balance HTTP/1.1\r\nX: "])
def test_connections_without_a_request_do_not_crowd_out_other_clients(tmp_path: Path, start: bytes) -> None:
    node = Server(served)
    with world(tmp_path, node.address, sockets=96) as sidecar:

        async def crowd() -> None:
            conns: list[Conn] = []
            while True:
                with contextlib.suppress(OSError):
                    conns.append(await sidecar.dial())
                    conns[-1].send(start)
                    await asyncio.sleep(0.002)
                if len(conns) > 200:
                    conns.pop(0).close()

        regular = [sidecar.connect() for _ in range(20)]
        for conn in regular:  # a complete request makes them used connections
            conn.sendall(request("GET /balance"))
            assert receive(conn)[0] == 200
        crowds = [ground().lab.create_task(crowd()) for _ in range(3)]
        statuses = []
        for _ in range(20):
            for conn in regular:
                conn.sendall(request("GET /balance"))
            statuses += [receive(conn)[0] for conn in regular]
            statuses.append(sidecar.ask("GET /balance")[0])  # new connections are accepted
            sleep(0.05)
        assert not any(task.done() for task in crowds)
        assert statuses == [200] * 420


def test_a_client_that_resets_mid_request_leaves_nothing_behind(tmp_path: Path) -> None:
    async def slow(seen: Seen) -> bytes:
        await asyncio.sleep(0.2)
        return served(seen)

    node = Server(slow)
    with world(tmp_path, node.address, sockets=96) as sidecar:
        for number in range(300):
            conn = sidecar.connect()
            conn.sendall(PARTIAL if number % 3 else request("GET /balance"))
            reset(conn)
        wait_for(lambda: sidecar.figures()["owed"] == 0 and sidecar.figures()["clients"] == 0)
        assert sidecar.ask("GET /balance")[0] == 200
