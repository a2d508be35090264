"""Peers on real sockets that do what a test says, when it says so: a crossing is forced, not hoped for."""

from __future__ import annotations

import contextlib
import json
import queue
import signal
import socket
import struct
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from world import Seen, World, read_message, reply, request, wait_for

BOUND_S = 20.0  # of any wait: a bound, not a measure


def reset(conn: socket.socket) -> None:
    """Close with a reset, whatever is read or not."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


class Got:
    """A request that has come whole, and what may be done about it."""

    def __init__(self, seen: Seen, conn: socket.socket) -> None:
        self.seen = seen
        self.conn = conn
        self.over = threading.Event()  # until then nobody reads its connection, which can so be ended at once

    @property
    def id(self) -> str:
        return self.seen.headers["x-request-id"]

    def send(self, data: bytes) -> None:
        """Send this, and read on."""
        self.conn.sendall(data)
        self.over.set()

    def answer(self, body: bytes | None = None) -> None:
        self.send(reply(200, self.id.encode() if body is None else body))

    def cut(self) -> None:
        self.conn.close()
        self.over.set()

    def reset(self) -> None:
        reset(self.conn)
        self.over.set()


class Peer:
    """Listens; each request waits until the test takes it."""

    def __init__(self, backlog: int = 64) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.address = "{}:{}".format(*self.socket.getsockname())
        self.conns = list[socket.socket]()
        self._got: queue.Queue[Got] = queue.Queue()
        self._blocks = list[socket.socket]()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self.socket.accept()
                self.conns.append(conn)
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        held = bytearray()
        with contextlib.suppress(OSError):
            while (message := read_message(conn, held)) is not None:
                method, target, _ = message[0].split(" ")
                got = Got(Seen(method, target, message[1], message[2], len(self.conns)), conn)
                self._got.put(got)
                got.over.wait()

    def next(self, seconds: float = BOUND_S) -> Got:
        """The next request."""
        return self._got.get(timeout=seconds)

    @property
    def waiting(self) -> int:
        """Requests that have come and were not taken."""
        return self._got.qsize()

    def close(self) -> None:
        self.socket.close()
        for conn in self.conns:
            conn.close()


class Clogged:
    """An address where connects get no answer: the queue of what waits to be accepted is full."""

    def __init__(self, at_once: bool = True) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.socket.settimeout(BOUND_S)
        self.address = "{}:{}".format(*self.socket.getsockname())
        self._fillers = list[socket.socket]()
        if at_once:
            self.clog()

    def clog(self) -> None:
        """From here on connects hang."""
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.socket.getsockname())
            self._fillers.append(filler)

    def knocking(self) -> set[str]:
        """The ports of those that are trying to connect here, ours not counted; to be asked before `open`."""
        port = f":{self.socket.getsockname()[1]:04X}"
        with open("/proc/net/tcp", encoding="ascii") as table:
            rows = [line.split() for line in table]
        ours = {f":{one.getsockname()[1]:04X}" for one in self._fillers}
        return {row[1][-5:] for row in rows[1:] if row[2].endswith(port) and row[3] == "02"} - ours

    def open(self) -> None:
        """From here on who knocks again gets in, and waits to be accepted."""
        for filler in self._fillers:
            filler.close()
        self.socket.listen(64)
        self.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                conn, _ = self.socket.accept()
                conn.close()
        self.socket.settimeout(BOUND_S)

    def called(self, seconds: float = BOUND_S) -> socket.socket:
        """The next connection that brings a call, which is still to be read.

        One that was given up in the moment in which it came up brings its end alone, and is passed over.
        """
        end = time.monotonic() + seconds
        while True:
            self.socket.settimeout(max(end - time.monotonic(), 0.001))
            conn, _ = self.socket.accept()
            conn.settimeout(max(end - time.monotonic(), 0.001))
            if conn.recv(1, socket.MSG_PEEK):
                conn.settimeout(BOUND_S)
                return conn
            conn.close()

    def close(self) -> None:
        for filler in self._fillers:
            filler.close()
        self.socket.close()


def figures(one: World) -> dict[str, Any]:
    """The counters, as printed on SIGUSR1."""
    before = one.log.read_text().count("counters ")
    one.process.send_signal(signal.SIGUSR1)
    wait_for(lambda: one.log.read_text().count("counters ") > before)
    wait_for(lambda: one.log.read_text().endswith("\n"))
    told: dict[str, Any] = json.loads(one.log.read_text().split("counters ")[-1].splitlines()[0])
    return told


def listening(log: Path) -> tuple[str, int]:
    """Where the program that writes there takes clients."""
    wait_for(lambda: "listening on" in log.read_text() and log.read_text().endswith("\n"))
    return "127.0.0.1", int(log.read_text().partition("listening on 127.0.0.1:")[2].split()[0])


@contextlib.contextmanager
def halted(one: World) -> Iterator[None]:
    """Meanwhile it does nothing: what the test does here has all happened before it looks again."""
    one.process.send_signal(signal.SIGSTOP)
    with open(f"/proc/{one.process.pid}/stat", encoding="ascii") as stat:
        wait_for(lambda: (stat.seek(0), stat.read().rpartition(")")[2].split()[0] == "T")[1])
    try:
        yield
    finally:
        one.process.send_signal(signal.SIGCONT)


def ask(one: World, line: str, body: bytes = b"", **headers: str) -> socket.socket:
    """Send a request on a connection of its own, and leave the answer for later."""
    conn = one.connect()
    conn.sendall(request(line, body, **headers))
    return conn
