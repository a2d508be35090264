"""No attempt, first or repeated, is begun for a client that has disconnected, at whichever step."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from scripted import Clogged, Peer, ask, figures, halted, reset
from world import CLASSES, World, receive, reply, request, wait_for, world

LONG_DEADLINE = "30000m"
# Long time-outs, so that a busy machine ends no attempt.
LONG_TIMEOUTS = {"classes": [cls | {"aim_ms": 20_000, "deadline_ms": 30_000} for cls in CLASSES]}


def open_idle_connections(sidecar: World, node: Peer) -> None:
    """Open two idle connections to a node, so that the next attempt is sent without a connect."""
    conns = [ask(sidecar, "GET /balance", X_Deadline=LONG_DEADLINE) for _ in range(2)]
    for received in [node.next(), node.next()]:
        received.answer()
    for conn in conns:
        assert receive(conn)[0] == 200
        conn.close()
    wait_for(lambda: figures(sidecar)["tables"]["idle"] == 2 and figures(sidecar)["clients"] == 0)


def first_arrival(sidecar: World, *nodes: Peer) -> str:
    """Send a marker; return the id of the next request to arrive, "marker" if nothing was sent before it."""
    conn = ask(sidecar, "GET /balance", X_Request_Id="marker", X_Deadline=LONG_DEADLINE)
    wait_for(lambda: any(node.waiting for node in nodes))
    received = next(node for node in nodes if node.waiting).next()
    received.answer()
    assert received.id != "marker" or receive(conn)[0] == 200
    return received.id


@pytest.mark.parametrize("leaves", [socket.socket.close, reset])
def test_a_client_that_leaves_between_an_attempt_and_its_repeat(
    tmp_path: Path, leaves: Callable[[socket.socket], None]
) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar:
        open_idle_connections(sidecar, node)
        conn = ask(sidecar, "GET /balance", X_Request_Id="a", X_Deadline=LONG_DEADLINE)
        first = node.next()
        assert first.id == "a"
        with halted(sidecar):  # the attempt fails first, and half a second later the client leaves
            first.send(reply(500))
            time.sleep(0.5)
            leaves(conn)
        assert first_arrival(sidecar, node) == "marker"


def test_a_client_that_leaves_before_an_attempt_delayed_by_a_stall(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar:
        open_idle_connections(sidecar, node)
        conn = sidecar.connect()
        wait_for(lambda: figures(sidecar)["clients"] == 1)
        with halted(sidecar):
            conn.sendall(request("POST /redeem", X_Request_Id="a", X_Deadline=LONG_DEADLINE))
            conn.close()
            time.sleep(0.4)
        assert first_arrival(sidecar, node) == "marker"


def test_a_client_that_leaves_while_its_operation_is_queued(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar:
        conns = [
            ask(sidecar, "GET /balance", X_Request_Id=f"a{number}", X_Deadline=LONG_DEADLINE)
            for number in range(14)
        ]
        wait_for(
            lambda: (
                figures(sidecar)["tables"]["queue"] >= 2
                and node.waiting == 14 - figures(sidecar)["tables"]["queue"]
            )
        )
        sent = [node.next() for _ in range(node.waiting)]
        queued_ids = {f"a{number}" for number in range(14)} - {received.id for received in sent}
        for number in range(14):
            if f"a{number}" in queued_ids:
                conns[number].close()
        wait_for(lambda: figures(sidecar)["tables"]["queue"] == 0)
        for received in sent:
            received.answer()
        assert first_arrival(sidecar, node) == "marker"


def test_a_client_that_leaves_while_a_connect_is_pending(tmp_path: Path) -> None:
    node = Clogged()
    settings = {
        **LONG_TIMEOUTS,
        "limits": {"connect_timeout_ms": 4000, "most_tries": 3, "keepalive_ms": 5000},
    }
    with world(tmp_path, node.address, told=settings) as sidecar:
        conn = ask(sidecar, "POST /redeem", X_Request_Id="a", X_Deadline=LONG_DEADLINE)
        wait_for(node.knocking)
        conn.close()
        wait_for(lambda: not node.knocking())  # the connect is cancelled too
        node.open()
        later = ask(sidecar, "POST /redeem", X_Request_Id="b", X_Deadline=LONG_DEADLINE)
        node.socket.settimeout(10)
        link, _ = node.socket.accept()
        assert b"X-Request-Id: b\r\n" in link.recv(65536)
        later.close()


def test_a_client_that_leaves_after_pipelined_requests(tmp_path: Path) -> None:
    # Reading pauses above the limit, so the end of stream is unread; guards against a repeat for this client.
    node = Peer()
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar:
        open_idle_connections(sidecar, node)
        conn = ask(sidecar, "GET /balance", X_Request_Id="a", X_Deadline=LONG_DEADLINE)
        first = node.next()
        for number in range(2000):
            conn.sendall(request("GET /balance", X_Request_Id=f"b{number}", X_Deadline=LONG_DEADLINE))
        conn.shutdown(socket.SHUT_WR)
        conn.close()
        first.reset()
        assert first_arrival(sidecar, node) == "marker"
        wait_for(lambda: figures(sidecar)["clients"] == 0)
        assert figures(sidecar)["owed"] == 0
