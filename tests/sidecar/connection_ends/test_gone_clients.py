"""Who has closed its connection has gone: nothing is begun for it, first or further, wherever it stood."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from scripted import Clogged, Peer, ask, figures, halted, reset
from world import CLASSES, World, receive, reply, request, wait_for, world

LONG = "30000m"
# Attempts of seconds, so that a busy machine ends none of them by itself.
PATIENT = {"classes": [one | {"aim_ms": 20_000, "deadline_ms": 30_000} for one in CLASSES]}


def warm(one: World, node: Peer) -> None:
    """Two connections to a node stand idle: what is sent next is written at once, no connect before it."""
    conns = [ask(one, "GET /balance", X_Deadline=LONG) for _ in range(2)]
    for got in [node.next(), node.next()]:
        got.answer()
    for conn in conns:
        assert receive(conn)[0] == 200
        conn.close()
    wait_for(lambda: figures(one)["tables"]["idle"] == 2 and figures(one)["clients"] == 0)


def marked(one: World, *nodes: Peer) -> str:
    """The id of what arrives first after this moment, which is to be our own: all that was due is before."""
    conn = ask(one, "GET /balance", X_Request_Id="marker", X_Deadline=LONG)
    wait_for(lambda: any(node.waiting for node in nodes))
    got = next(node for node in nodes if node.waiting).next()
    got.answer()
    assert got.id != "marker" or receive(conn)[0] == 200
    return got.id


@pytest.mark.parametrize("leaves", [socket.socket.close, reset])
def test_between_a_first_attempt_and_its_repeat(
    tmp_path: Path, leaves: Callable[[socket.socket], None]
) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=PATIENT) as one:
        warm(one, node)
        conn = ask(one, "GET /balance", X_Request_Id="a", X_Deadline=LONG)
        first = node.next()
        assert first.id == "a"
        with halted(one):  # the end of the attempt comes first, and the client's half a second behind it
            first.send(reply(500))
            time.sleep(0.5)
            leaves(conn)
        assert marked(one, node) == "marker"


def test_before_a_first_attempt_that_a_stall_held_up(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=PATIENT) as one:
        warm(one, node)
        conn = one.connect()
        wait_for(lambda: figures(one)["clients"] == 1)
        with halted(one):
            conn.sendall(request("POST /redeem", X_Request_Id="a", X_Deadline=LONG))
            conn.close()
            time.sleep(0.4)
        assert marked(one, node) == "marker"


def test_while_it_is_held(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=PATIENT) as one:
        conns = [ask(one, "GET /balance", X_Request_Id=f"a{number}", X_Deadline=LONG) for number in range(14)]
        wait_for(
            lambda: (
                figures(one)["tables"]["queue"] >= 2 and node.waiting == 14 - figures(one)["tables"]["queue"]
            )
        )
        sent = [node.next() for _ in range(node.waiting)]
        held = {f"a{number}" for number in range(14)} - {got.id for got in sent}
        for number in range(14):
            if f"a{number}" in held:
                conns[number].close()
        wait_for(lambda: figures(one)["tables"]["queue"] == 0)
        for got in sent:
            got.answer()
        assert marked(one, node) == "marker"


def test_while_a_connect_is_pending(tmp_path: Path) -> None:
    node = Clogged()
    patient = {**PATIENT, "limits": {"connect_timeout_ms": 4000, "most_tries": 3, "keepalive_ms": 5000}}
    with world(tmp_path, node.address, told=patient) as one:
        conn = ask(one, "POST /redeem", X_Request_Id="a", X_Deadline=LONG)
        wait_for(node.knocking)
        conn.close()
        wait_for(lambda: not node.knocking())  # the connect goes with it
        node.open()
        later = ask(one, "POST /redeem", X_Request_Id="b", X_Deadline=LONG)
        node.socket.settimeout(10)
        link, _ = node.socket.accept()
        assert b"X-Request-Id: b\r\n" in link.recv(65536)
        later.close()


def test_behind_what_it_sent_ahead(tmp_path: Path) -> None:
    # What is too much to be held is not read, nor the end behind it: the repeat went out for nobody.
    node = Peer()
    with world(tmp_path, node.address, told=PATIENT) as one:
        warm(one, node)
        conn = ask(one, "GET /balance", X_Request_Id="a", X_Deadline=LONG)
        first = node.next()
        for number in range(2000):
            conn.sendall(request("GET /balance", X_Request_Id=f"b{number}", X_Deadline=LONG))
        conn.shutdown(socket.SHUT_WR)
        conn.close()
        first.reset()
        assert marked(one, node) == "marker"
        wait_for(lambda: figures(one)["clients"] == 0)
        assert figures(one)["owed"] == 0
