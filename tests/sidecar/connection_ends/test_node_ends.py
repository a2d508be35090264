"""What a ledger node ends, cuts, repeats or never brings, at a named byte, and what is made of it."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from scripted import Clogged, Peer, ask, figures, halted
from world import CLASSES, read_message, receive, reply, request, wait_for, world

from coveport.sidecar.upstream.connection_pool import REUSE_DELAY_S

LONG = "30000m"
PATIENT: dict[str, Any] = {"classes": [one | {"aim_ms": 20_000, "deadline_ms": 30_000} for one in CLASSES]}
GOOD = reply(200, b"whole")
OPEN = b"HTTP/1.1 200 OK\r\n\r\nwhole"  # its end is the connection's


@pytest.mark.parametrize(
    ("sent", "end", "good"),
    [
        (GOOD[:-1], "close", False),
        (GOOD[:-1], "reset", False),
        (GOOD[:9], "close", False),
        (b"", "close", False),
        (GOOD[: GOOD.index(b"\r\n\r\n") + 3], "reset", False),
        (OPEN, "close", True),
        (OPEN, "reset", False),
        (OPEN[:-5], "reset", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", "close", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "reset", True),
    ],
)
@pytest.mark.parametrize("line", ["GET /balance", "POST /redeem"])
def test_an_answer_that_is_cut_is_none_and_a_reset_is_no_end(
    tmp_path: Path, line: str, sent: bytes, end: str, good: bool
) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=PATIENT) as one:
        conn = ask(one, line, X_Deadline=LONG)
        got = node.next()
        got.conn.sendall(sent)
        if end == "close":
            got.cut()
        elif good:
            assert receive(conn)[::2] == (200, b"whole")
            got.reset()
        else:
            # The reset is to come behind the bytes: until they are taken, it would take them along.
            drained(got.conn)
            got.reset()
        if good:
            if end == "close":
                assert receive(conn)[::2] == (200, b"whole")
        elif line.startswith("GET"):
            node.next().answer(b"again")
            assert receive(conn)[::2] == (200, b"again")
        else:
            assert receive(conn)[0] == 500
        assert not node.waiting


def drained(conn: socket.socket) -> None:
    """All that was sent here is taken by the other side's system."""
    wait_for(lambda: struct.unpack("i", fcntl.ioctl(conn, termios.TIOCOUTQ, b"\0" * 4))[0] == 0)


def test_a_node_is_told_no_more_time_than_is_left_when_its_connection_comes_up(tmp_path: Path) -> None:
    node = Clogged()
    patient = {**PATIENT, "limits": {"connect_timeout_ms": 4000, "most_tries": 3, "keepalive_ms": 5000}}
    with world(tmp_path, node.address, told=patient) as one:
        conn = ask(one, "POST /redeem", X_Deadline=LONG)
        wait_for(node.knocking)
        knocked = time.monotonic()
        time.sleep(0.3)  # at least so long it is not up
        held_s = time.monotonic() - knocked
        node.open()
        link, _ = node.socket.accept()
        message = read_message(link, bytearray())
        assert message is not None
        most_ms = PATIENT["classes"][2]["aim_ms"]  # an answer behind it is worth nothing here
        assert int(message[1]["x-deadline"].removesuffix("m")) <= most_ms - held_s * 1000
        link.sendall(GOOD)
        assert receive(conn)[0] == 200
    node.close()


class Twice:
    """Sends an answer once more some milliseconds behind it: right before it answers what came meanwhile."""

    def __init__(self, late_s: float) -> None:
        self.late_s = late_s
        self.crossed = 0
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        held, last, at = bytearray(), b"", 0.0
        try:
            while (message := read_message(conn, held)) is not None:
                if last and time.monotonic() < at + self.late_s:
                    self.crossed += 1
                    conn.sendall(last)  # it was on its way when this request came
                last, at = reply(200, message[1]["x-request-id"].encode()), time.monotonic()
                conn.sendall(last)
        except OSError:
            pass


def test_a_second_answer_behind_the_first_is_not_the_next_ones(tmp_path: Path) -> None:
    # What has just had its answer was used again at once: the second copy was served to another client.
    node = Twice(REUSE_DELAY_S)
    with world(tmp_path, node.address, told=PATIENT) as one, one.connect() as conn:
        held = bytearray()
        for number in range(100):
            conn.sendall(request("POST /redeem", X_Request_Id=f"r{number}", X_Deadline=LONG))
            assert receive(conn, held)[::2] == (200, b"r%d" % number)
        assert node.crossed == 0
        assert figures(one)["connections_reused"] >= 90, "it waits for its connection, it opens no other"


def test_an_answer_before_its_operation_is_whole_is_none(tmp_path: Path) -> None:
    # Served to the client: a body that no node can have made for what it had not read.
    node, size = socket.create_server(("127.0.0.1", 0)), 300_000
    node.settimeout(20)
    with world(tmp_path, "{}:{}".format(*node.getsockname()), told=PATIENT) as one, one.connect() as conn:
        whole = request("POST /redeem", bytes(size), X_Request_Id="a", X_Deadline=LONG)
        conn.sendall(whole[:-1])
        first, _ = node.accept()
        assert first.recv(64).startswith(b"POST /redeem")
        first.sendall(reply(200, b"too soon"))
        second, _ = node.accept()  # never whole there, so it may go again
        second.settimeout(20)
        conn.sendall(whole[-1:])
        message = read_message(second, bytearray())
        assert message is not None and len(message[2]) == size
        second.sendall(reply(200, b"done"))
        assert receive(conn)[::2] == (200, b"done")
        first.close()
        second.close()
    node.close()


def test_a_connection_that_comes_up_after_its_request_has_moved_carries_nothing(tmp_path: Path) -> None:
    late, node = Clogged(), Peer()
    with world(tmp_path, late.address, node.address, told=PATIENT) as one:
        asked, crossed = 0, False
        while not crossed:
            asked += 1
            conn = ask(one, "POST /redeem", X_Deadline=LONG)
            wait_for(lambda: late.knocking() or node.waiting)
            crossed = bool(late.knocking())
            got = node.next()  # at once, or when the connect was given up
            if crossed:
                late.open()
            got.answer()
            assert receive(conn)[0] == 200
        assert not node.waiting
        assert figures(one)["upstream_requests"] == asked
        late.socket.settimeout(1.5)  # the system would have knocked again within this
        with pytest.raises(TimeoutError):
            late.socket.accept()
    late.close()


def test_a_connection_to_where_a_node_was_carries_nothing(tmp_path: Path) -> None:
    # The node has moved while the connect was pending: whoever is at its old address may be anybody.
    old, new = Clogged(), Peer()
    slow = PATIENT | {"limits": {"connect_timeout_ms": 4000, "most_tries": 3, "keepalive_ms": 5000}}
    with world(tmp_path, old.address, told=slow) as one:
        conn = ask(one, "POST /redeem", X_Request_Id="a", X_Deadline=LONG)
        wait_for(old.knocking)
        updates = figures(one).get("pool_updates", 0)
        one.discovery.put("s-0", new.address)
        wait_for(lambda: figures(one).get("pool_updates", 0) > updates)
        old.open()
        link, _ = old.socket.accept()
        link.settimeout(20)
        assert link.recv(65536) == b""
        new.next().answer()
        assert receive(conn)[::2] == (200, b"a")
    old.close()


def test_a_repeat_whose_connection_comes_up_behind_a_stall_of_ours_is_not_sent(tmp_path: Path) -> None:
    # Decided within the window, its connect pending, no CPU for two seconds: the window is over by then.
    window_s, node = 2.0, Clogged(at_once=False)
    told = {
        "classes": [one | {"window_ms": 1000 * window_s} for one in PATIENT["classes"]],
        "limits": {"connect_timeout_ms": 1500, "most_tries": 3, "keepalive_ms": 5000},
    }
    with world(tmp_path, node.address, told=told) as one:
        conn = ask(one, "POST /earn", Idempotency_Key="k", X_Deadline=LONG)
        first, _ = node.socket.accept()
        assert read_message(first, bytearray()) is not None
        began = time.monotonic()
        node.clog()
        first.sendall(reply(500, Connection="close"))
        wait_for(node.knocking)
        with halted(one):
            node.open()
            second, _ = node.socket.accept()  # the system has knocked again
            time.sleep(max(0.0, began + window_s + 0.2 - time.monotonic()))
        second.settimeout(20)
        assert receive(conn)[0] == 500
        one.stop()
        assert second.recv(65536) == b""
    node.close()


def test_half_a_line_on_a_resting_connection_is_nobodys(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=PATIENT) as one, one.connect() as conn:
        conn.sendall(request("POST /redeem", X_Request_Id="a", X_Deadline=LONG))
        first = node.next()
        first.answer()
        assert receive(conn)[0] == 200
        first.conn.sendall(b"HTTP/1.1 200 O")
        drained(first.conn)
        conn.sendall(request("POST /redeem", X_Request_Id="b", X_Deadline=LONG))
        second = node.next()
        assert second.conn is not first.conn
        second.answer()
        assert receive(conn)[::2] == (200, b"b")


@pytest.mark.parametrize(
    "answer",
    [b"HTTP/1.1 200 OK\r\nX: " + b"y" * 200_000, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnever"],
)
def test_an_answer_that_never_ends_is_answered_in_time(tmp_path: Path, answer: bytes) -> None:
    node = Peer()
    with world(tmp_path, node.address) as one:
        conn = ask(one, "POST /redeem", X_Deadline="400m")
        got = node.next()
        with contextlib.suppress(OSError):  # it may have seen enough
            got.conn.sendall(answer)
        assert receive(conn)[0] == 500
        got.conn.settimeout(10)
        with contextlib.suppress(ConnectionResetError):
            assert got.conn.recv(1) == b""  # given up, and closed
        assert not node.waiting


@pytest.mark.parametrize(("after_s", "again"), [(0.0, True), (1.2, False)])
def test_a_window_counts_from_the_first_possible_arrival(tmp_path: Path, after_s: float, again: bool) -> None:
    # Shorter than the deadline: what fails within it is repeated in its cell, what fails behind it is not.
    short = [one | ({"window_ms": 1200} if one["name"] == "earn" else {}) for one in PATIENT["classes"]]
    node = Peer()
    with world(tmp_path, node.address, told={"classes": short}) as one:
        conn = ask(one, "POST /earn", Idempotency_Key="k", X_Deadline=LONG)
        got = node.next()
        time.sleep(after_s)  # the window itself
        got.send(reply(500))
        if again:
            node.next().answer(b"again")
        assert receive(conn)[0] == (200 if again else 500)
        assert not node.waiting


def test_a_node_that_goes_and_comes_back_under_its_name_with_attempts_out(tmp_path: Path) -> None:
    old, new = Peer(), Peer()
    with world(tmp_path, old.address, told=PATIENT) as one:
        conn = ask(one, "POST /redeem", X_Request_Id="a", X_Deadline=LONG)
        got = old.next()
        del one.discovery.hosts["s-0"]
        one.discovery.seq += 1
        wait_for(lambda: figures(one)["members"] == 0)
        one.discovery.put("s-0", new.address, born_ms=1.0)
        wait_for(lambda: figures(one)["members"] == 1)
        later = ask(one, "POST /redeem", X_Request_Id="b", X_Deadline=LONG)
        new.next().answer()
        assert receive(later)[::2] == (200, b"b")
        got.answer()
        assert receive(conn)[::2] == (200, b"a"), "its answer is its answer"
        more = ask(one, "POST /redeem", X_Request_Id="c", X_Deadline=LONG)
        assert new.next().id == "c" and not old.waiting
        more.close()


def test_what_is_held_goes_to_a_new_node_at_its_first_try(tmp_path: Path) -> None:
    # Decided before it was known where the node is: a connect that failed, and the node was out for a while.
    gone, node = Peer(), Peer()
    with world(tmp_path, gone.address, told=PATIENT) as one:
        one.discovery.put("s-0", gone.address, "leaving")
        wait_for(lambda: figures(one)["members_unavailable"] == 1)
        conn = ask(one, "POST /redeem", X_Deadline=LONG)
        wait_for(lambda: figures(one)["tables"]["queue"] == 1)
        one.discovery.put("s-1", node.address)
        node.next().answer(b"done")
        assert receive(conn)[::2] == (200, b"done")
        told = figures(one)
        assert "outcome_connect_failed" not in told and told["route_steps"] == 1
