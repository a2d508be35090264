"""Answers that a ledger node ends, cuts off, repeats or never sends, at a given byte."""

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

LONG_DEADLINE = "30000m"
LONG_TIMEOUTS: dict[str, Any] = {
    "classes": [cls | {"aim_ms": 20_000, "deadline_ms": 30_000} for cls in CLASSES]
}
COMPLETE = reply(200, b"whole")
UNSIZED = b"HTTP/1.1 200 OK\r\n\r\nwhole"  # the end of the connection ends the body


@pytest.mark.parametrize(
    ("sent", "end", "is_complete"),
    [
        (COMPLETE[:-1], "close", False),
        (COMPLETE[:-1], "reset", False),
        (COMPLETE[:9], "close", False),
        (b"", "close", False),
        (COMPLETE[: COMPLETE.index(b"\r\n\r\n") + 3], "reset", False),
        (UNSIZED, "close", True),
        (UNSIZED, "reset", False),
        (UNSIZED[:-5], "reset", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", "close", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "reset", True),
    ],
)
@pytest.mark.parametrize("line", ["GET /balance", "POST /redeem"])
def test_a_truncated_answer_is_a_failure_and_a_reset_is_no_end_of_stream(
    tmp_path: Path, line: str, sent: bytes, end: str, is_complete: bool
) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar:
        conn = ask(sidecar, line, X_Deadline=LONG_DEADLINE)
        received = node.next()
        received.conn.sendall(sent)
        if end == "close":
            received.cut()
        elif is_complete:
            assert receive(conn)[::2] == (200, b"whole")
            received.reset()
        else:
            # The reset must arrive after the bytes: as long as they are unsent, it would discard them.
            wait_until_acknowledged(received.conn)
            received.reset()
        if is_complete:
            if end == "close":
                assert receive(conn)[::2] == (200, b"whole")
        elif line.startswith("GET"):
            node.next().answer(b"again")
            assert receive(conn)[::2] == (200, b"again")
        else:
            assert receive(conn)[0] == 500
        assert not node.waiting


def wait_until_acknowledged(conn: socket.socket) -> None:
    """Wait until the peer's system has acknowledged all sent bytes."""
    wait_for(lambda: struct.unpack("i", fcntl.ioctl(conn, termios.TIOCOUTQ, b"\0" * 4))[0] == 0)


def test_the_deadline_sent_to_a_node_excludes_the_time_of_the_connect(tmp_path: Path) -> None:
    node = Clogged()
    settings = {
        **LONG_TIMEOUTS,
        "limits": {"connect_timeout_ms": 4000, "most_tries": 3, "keepalive_ms": 5000},
    }
    with world(tmp_path, node.address, told=settings) as sidecar:
        conn = ask(sidecar, "POST /redeem", X_Deadline=LONG_DEADLINE)
        wait_for(node.knocking)
        connect_began = time.monotonic()
        time.sleep(0.3)  # the connect takes at least this long
        waited_s = time.monotonic() - connect_began
        node.open()
        link, _ = node.socket.accept()
        message = read_message(link, bytearray())
        assert message is not None
        most_ms = LONG_TIMEOUTS["classes"][2]["aim_ms"]  # an answer after it has no value
        assert int(message[1]["x-deadline"].removesuffix("m")) <= most_ms - waited_s * 1000
        link.sendall(COMPLETE)
        assert receive(conn)[0] == 200
    node.close()


class DuplicatingNode:
    """Sends each answer twice if the next request comes within `late_s`, the copy before the next answer."""

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
        buffer, last, answered_at = bytearray(), b"", 0.0
        try:
            while (message := read_message(conn, buffer)) is not None:
                if last and time.monotonic() < answered_at + self.late_s:
                    self.crossed += 1
                    conn.sendall(last)  # as if it had been in flight when this request came
                last, answered_at = reply(200, message[1]["x-request-id"].encode()), time.monotonic()
                conn.sendall(last)
        except OSError:
            pass


def test_a_second_answer_is_not_taken_for_the_next_operations(tmp_path: Path) -> None:
    # Guards against an immediate reuse, after which the copy would be served to another client.
    node = DuplicatingNode(REUSE_DELAY_S)
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar, sidecar.connect() as conn:
        buffer = bytearray()
        for number in range(100):
            conn.sendall(request("POST /redeem", X_Request_Id=f"r{number}", X_Deadline=LONG_DEADLINE))
            assert receive(conn, buffer)[::2] == (200, b"r%d" % number)
        assert node.crossed == 0
        assert figures(sidecar)["connections_reused"] >= 90, (
            "the reuse waits for the delay, without a new connection"
        )


def test_an_answer_before_the_request_is_complete_is_rejected(tmp_path: Path) -> None:
    # Guards against passing on an answer to a request that the node has not received completely.
    node, size = socket.create_server(("127.0.0.1", 0)), 300_000
    node.settimeout(20)
    with (
        world(tmp_path, "{}:{}".format(*node.getsockname()), told=LONG_TIMEOUTS) as sidecar,
        sidecar.connect() as conn,
    ):
        whole = request("POST /redeem", bytes(size), X_Request_Id="a", X_Deadline=LONG_DEADLINE)
        conn.sendall(whole[:-1])
        first, _ = node.accept()
        assert first.recv(64).startswith(b"POST /redeem")
        first.sendall(reply(200, b"too soon"))
        second, _ = node.accept()  # the first node never had it completely, so it may be sent again
        second.settimeout(20)
        conn.sendall(whole[-1:])
        message = read_message(second, bytearray())
        assert message is not None and len(message[2]) == size
        second.sendall(reply(200, b"done"))
        assert receive(conn)[::2] == (200, b"done")
        first.close()
        second.close()
    node.close()


def test_a_connection_that_comes_up_after_its_attempt_ended_is_not_used(tmp_path: Path) -> None:
    late, node = Clogged(), Peer()
    with world(tmp_path, late.address, node.address, told=LONG_TIMEOUTS) as sidecar:
        requests, crossed = 0, False
        while not crossed:
            requests += 1
            conn = ask(sidecar, "POST /redeem", X_Deadline=LONG_DEADLINE)
            wait_for(lambda: late.knocking() or node.waiting)
            crossed = bool(late.knocking())
            received = node.next()  # at once, or after the connect has timed out
            if crossed:
                late.open()
            received.answer()
            assert receive(conn)[0] == 200
        assert not node.waiting
        assert figures(sidecar)["upstream_requests"] == requests
        late.socket.settimeout(1.5)  # the system would have sent the SYN again within this time
        with pytest.raises(TimeoutError):
            late.socket.accept()
    late.close()


def test_a_connection_to_the_old_address_of_a_node_is_not_used(tmp_path: Path) -> None:
    # The node has moved while the connect was pending: another process may listen at its old address.
    old, new = Clogged(), Peer()
    settings = LONG_TIMEOUTS | {"limits": {"connect_timeout_ms": 4000, "most_tries": 3, "keepalive_ms": 5000}}
    with world(tmp_path, old.address, told=settings) as sidecar:
        conn = ask(sidecar, "POST /redeem", X_Request_Id="a", X_Deadline=LONG_DEADLINE)
        wait_for(old.knocking)
        updates = figures(sidecar).get("pool_updates", 0)
        sidecar.discovery.put("s-0", new.address)
        wait_for(lambda: figures(sidecar).get("pool_updates", 0) > updates)
        old.open()
        link, _ = old.socket.accept()
        link.settimeout(20)
        assert link.recv(65536) == b""
        new.next().answer()
        assert receive(conn)[::2] == (200, b"a")
    old.close()


def test_a_repeat_is_not_sent_after_a_stall_that_outlasts_its_window(tmp_path: Path) -> None:
    # The repeat is decided within the window; during its connect the process stalls until the window ends.
    window_s, node = 2.0, Clogged(at_once=False)
    settings = {
        "classes": [cls | {"window_ms": 1000 * window_s} for cls in LONG_TIMEOUTS["classes"]],
        "limits": {"connect_timeout_ms": 1500, "most_tries": 3, "keepalive_ms": 5000},
    }
    with world(tmp_path, node.address, told=settings) as sidecar:
        conn = ask(sidecar, "POST /earn", Idempotency_Key="k", X_Deadline=LONG_DEADLINE)
        first, _ = node.socket.accept()
        assert read_message(first, bytearray()) is not None
        began = time.monotonic()
        node.clog()
        first.sendall(reply(500, Connection="close"))
        wait_for(node.knocking)
        with halted(sidecar):
            node.open()
            second, _ = node.socket.accept()  # the system has sent the SYN again
            time.sleep(max(0.0, began + window_s + 0.2 - time.monotonic()))
        second.settimeout(20)
        assert receive(conn)[0] == 500
        sidecar.stop()
        assert second.recv(65536) == b""
    node.close()


def test_a_partial_answer_on_an_idle_connection_is_not_used(tmp_path: Path) -> None:
    node = Peer()
    with world(tmp_path, node.address, told=LONG_TIMEOUTS) as sidecar, sidecar.connect() as conn:
        conn.sendall(request("POST /redeem", X_Request_Id="a", X_Deadline=LONG_DEADLINE))
        first = node.next()
        first.answer()
        assert receive(conn)[0] == 200
        first.conn.sendall(b"HTTP/1.1 200 O")
        wait_until_acknowledged(first.conn)
        conn.sendall(request("POST /redeem", X_Request_Id="b", X_Deadline=LONG_DEADLINE))
        second = node.next()
        assert second.conn is not first.conn
        second.answer()
        assert receive(conn)[::2] == (200, b"b")


@pytest.mark.parametrize(
    "answer",
    [b"HTTP/1.1 200 OK\r\nX: " + b"y" * 200_000, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnever"],
)
def test_an_answer_that_never_ends_times_out(tmp_path: Path, answer: bytes) -> None:
    node = Peer()
    with world(tmp_path, node.address) as sidecar:
        conn = ask(sidecar, "POST /redeem", X_Deadline="400m")
        received = node.next()
        with contextlib.suppress(OSError):  # the sidecar may have closed already
            received.conn.sendall(answer)
        assert receive(conn)[0] == 500
        received.conn.settimeout(10)
        with contextlib.suppress(ConnectionResetError):
            assert received.conn.recv(1) == b""  # the attempt has timed out and the connection is closed
        assert not node.waiting


@pytest.mark.parametrize(("after_s", "is_repeated"), [(0.0, True), (1.2, False)])
def test_a_window_counts_from_the_first_possible_arrival(
    tmp_path: Path, after_s: float, is_repeated: bool
) -> None:
    # The window is shorter than the deadline: a failure within it is repeated in the cell, a later one isn't.
    short_windows = [
        cls | ({"window_ms": 1200} if cls["name"] == "earn" else {}) for cls in LONG_TIMEOUTS["classes"]
    ]
    node = Peer()
    with world(tmp_path, node.address, told={"classes": short_windows}) as sidecar:
        conn = ask(sidecar, "POST /earn", Idempotency_Key="k", X_Deadline=LONG_DEADLINE)
        received = node.next()
        time.sleep(after_s)  # the window passes in the second case
        received.send(reply(500))
        if is_repeated:
            node.next().answer(b"again")
        assert receive(conn)[0] == (200 if is_repeated else 500)
        assert not node.waiting


def test_a_node_that_returns_under_its_name_with_attempts_in_flight(tmp_path: Path) -> None:
    old, new = Peer(), Peer()
    with world(tmp_path, old.address, told=LONG_TIMEOUTS) as sidecar:
        conn = ask(sidecar, "POST /redeem", X_Request_Id="a", X_Deadline=LONG_DEADLINE)
        received = old.next()
        del sidecar.discovery.hosts["s-0"]
        sidecar.discovery.seq += 1
        wait_for(lambda: figures(sidecar)["members"] == 0)
        sidecar.discovery.put("s-0", new.address, born_ms=1.0)
        wait_for(lambda: figures(sidecar)["members"] == 1)
        later = ask(sidecar, "POST /redeem", X_Request_Id="b", X_Deadline=LONG_DEADLINE)
        new.next().answer()
        assert receive(later)[::2] == (200, b"b")
        received.answer()
        assert receive(conn)[::2] == (200, b"a"), "the old node's answer still counts"
        more = ask(sidecar, "POST /redeem", X_Request_Id="c", X_Deadline=LONG_DEADLINE)
        assert new.next().id == "c" and not old.waiting
        more.close()


def test_a_queued_operation_goes_to_a_new_node_at_its_first_attempt(tmp_path: Path) -> None:
    # Guards against an attempt before the node's address is known, whose connect fails and ejects the node.
    gone, node = Peer(), Peer()
    with world(tmp_path, gone.address, told=LONG_TIMEOUTS) as sidecar:
        sidecar.discovery.put("s-0", gone.address, "leaving")
        wait_for(lambda: figures(sidecar)["members_unavailable"] == 1)
        conn = ask(sidecar, "POST /redeem", X_Deadline=LONG_DEADLINE)
        wait_for(lambda: figures(sidecar)["tables"]["queue"] == 1)
        sidecar.discovery.put("s-1", node.address)
        node.next().answer(b"done")
        assert receive(conn)[::2] == (200, b"done")
        counters = figures(sidecar)
        assert "outcome_connect_failed" not in counters and counters["route_steps"] == 1
