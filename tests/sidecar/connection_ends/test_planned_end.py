"""A planned end and a new configuration, at the moment at which something is under way."""

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

PATIENT = {"classes": [one | {"aim_ms": 20_000, "deadline_ms": 30_000} for one in CLASSES]}
LONG = "30000m"
STILL_COMING_S = 0.7


@contextmanager
def ending(tmp_path: Path, *dials: str) -> Iterator[World]:
    """Told to end while it serves; gone with exit code 0 once all is over."""
    with world(tmp_path, *dials, told=PATIENT) as one:
        yield one
        assert one.process.wait(20) == 0
        assert '"owed": 0' in one.log.read_text().splitlines()[-1]


def terminate(one: World) -> None:
    one.process.send_signal(signal.SIGTERM)
    wait_for(lambda: "draining" in one.log.read_text())


def test_before_there_is_a_handler_nothing_is_taken_and_it_ends_at_once(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    os.mkfifo(path)
    with program(path) as (process, log):
        with path.open("w"):  # waits until it is opened to be read: no handler stands
            process.send_signal(signal.SIGTERM)
            assert process.wait(10) == -signal.SIGTERM
        assert log.read_text() == ""


def test_while_it_has_no_list_yet(tmp_path: Path) -> None:
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


@pytest.mark.parametrize("first", [True, False])
def test_a_request_that_comes_in_the_moment_of_the_last_accept(tmp_path: Path, first: bool) -> None:
    # Accepted, and not among the clients yet: the program ended with the connection in its hands.
    node = Server(served)
    with ending(tmp_path, node.address) as one, one.connect() as used:
        if not first:
            used.sendall(request("GET /balance"))
            assert receive(used)[0] == 200
        else:
            used.close()
        terminate(one)
        with halted(one):
            conn = used if not first else one.connect()
            conn.sendall(request("POST /redeem", X_Deadline=LONG))
            time.sleep(STILL_COMING_S + 0.1)
        assert receive(conn)[0] == 200
        assert conn.recv(1) == b""


@pytest.mark.parametrize("rest", [True, False])
def test_half_a_request(tmp_path: Path, rest: bool) -> None:
    node = Server(served)
    whole = request("POST /redeem", b"body", X_Deadline=LONG)
    with ending(tmp_path, node.address) as one, one.connect() as conn:
        conn.sendall(whole[:-2])
        wait_for(lambda: figures(one)["clients"] == 1)
        terminate(one)
        wait_for(lambda: not_taken(one))
        if rest:
            conn.sendall(whole[-2:])
        assert receive(conn)[0] == (200 if rest else 408)
    assert len(node.seen) == rest


def not_taken(one: World) -> bool:
    """Whether it takes no new connections any more."""
    try:
        one.connect().close()
    except OSError:
        return True
    return False


def test_a_second_word_changes_nothing(tmp_path: Path) -> None:
    node = Peer()
    with ending(tmp_path, node.address) as one:
        conn = ask(one, "POST /redeem", X_Deadline=LONG)
        got = node.next()
        terminate(one)
        one.process.send_signal(signal.SIGTERM)
        wait_for(lambda: not_taken(one))
        one.process.send_signal(signal.SIGTERM)
        one.process.send_signal(signal.SIGHUP)
        got.answer()
        assert receive(conn)[0] == 200


def test_a_long_body_and_a_streamed_answer_under_way(tmp_path: Path) -> None:
    node, size = Peer(), 300_000
    with ending(tmp_path, node.address) as one:
        up, down = one.connect(), ask(one, "GET /balance", X_Deadline=LONG)
        got = node.next()
        body = bytes(size)
        up.sendall(request("POST /redeem", body, X_Deadline=LONG)[:-1000])
        got.conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size // 2))
        assert down.recv(1) == b"H"  # it has begun
        terminate(one)
        wait_for(lambda: not_taken(one))
        got.conn.sendall(bytes(size - size // 2))
        up.sendall(body[-1000:])
        other = node.next()
        assert len(other.seen.body) == size
        other.answer(b"done")
        assert receive(up)[::2] == (200, b"done")
        assert receive(down, bytearray(b"H"))[::2] == (200, bytes(size))


def test_a_new_discovery_that_hangs_leaves_the_old_one_heard(tmp_path: Path) -> None:
    nodes = [Server(served), Server(served)]
    old, new, told = Peer(), Peer(), Discovery()
    told.put("s-0", nodes[0].address)

    def tell(got: object = None) -> bytes:
        return reply(200, json.dumps(told.text()).encode())

    config = tmp_path / "config.json"
    text = configuration(told, old.address, listen=f"127.0.0.1:{free_port()}")
    config.write_text(text)
    with program(config) as (process, log):
        while "wait_ms=0" in (watch := old.next()).seen.target:
            watch.send(tell())
        config.write_text(json.dumps(json.loads(text) | {"discovery": new.address}))
        process.send_signal(signal.SIGHUP)
        asked = new.next()  # it is asked, and says nothing yet
        told.put("s-0", nodes[0].address, "leaving")
        told.put("s-1", nodes[1].address)
        watch.send(tell())
        old.next()  # heard: the next watch
        address = listening(log)

        def served_by() -> tuple[int, int]:
            with socket.create_connection(address, timeout=10) as conn:
                conn.sendall(request("GET /balance"))
                assert receive(conn)[0] == 200
            return len(nodes[0].seen), len(nodes[1].seen)

        assert served_by() == (0, 1)
        # Twice more in between: only the last one counts.
        for _ in range(2):
            process.send_signal(signal.SIGHUP)
            asked = new.next()
        told.put("s-1", nodes[1].address, "leaving")
        told.put("s-0", nodes[0].address)
        asked.send(tell())
        assert "after" in new.next().seen.target  # taken, and watched
        assert served_by() == (1, 1)
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
