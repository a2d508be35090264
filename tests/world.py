"""The world around the real program as a process: ledger nodes, discovery and clients on loopback.

Messages, settings and the pool are shared with `simulated`, where the same world is one of simulated time.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

CLASSES = [
    {"name": "balance", "aim_ms": 1000, "deadline_ms": 4000, "gain": 1, "semantics": "idempotent"},
    {
        "name": "earn",
        "aim_ms": 1200,
        "deadline_ms": 3000,
        "gain": 5,
        "semantics": "deduplicated",
        "key_scope": "cell",
        "window_ms": 6000,
    },
    {"name": "redeem", "aim_ms": 2500, "deadline_ms": 6000, "gain": 3, "semantics": "at_most_once"},
]
LIMITS = {
    "cancel": True,
    "connect_timeout_ms": 250,
    "keepalive_ms": 5000,
    "max_retry_after_ms": 2000,
    "most_tries": 3,
    "probes": False,
    "retry_after": True,
    "second_copies": False,
}
SILENT = b"silent"  # what a handler returns to say nothing and keep the connection


@dataclass
class Seen:
    """A request as it came."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int


Message = tuple[str, dict[str, str], bytes]


class Stream(Protocol):
    """As much of a socket as it takes to read from it."""

    def recv(self, size: int, /) -> bytes: ...


def take_message(held: bytearray) -> Message | None:
    """The next message with a Content-Length, taken out of `held`; None where it is not whole yet."""
    if (end := held.find(b"\r\n\r\n")) < 0:
        return None
    start, *lines = bytes(held[:end]).decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    size = end + 4 + int(headers.get("content-length", 0))
    if len(held) < size:
        return None
    body = bytes(held[end + 4 : size])
    del held[:size]
    return start, headers, body


def read_message(conn: Stream, held: bytearray) -> Message | None:
    """The next message; None where the connection ends first."""
    while (message := take_message(held)) is None:
        if not (data := conn.recv(65536)):
            return None
        held += data
    return message


def reply(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


def served(seen: Seen) -> bytes:
    return reply(200, b"served " + seen.headers["x-request-id"].encode() + seen.body)


_ids = iter(range(1, 1 << 30))


def request(line: str, body: bytes = b"", **headers: str) -> bytes:
    told = {"Host": "origin.svc", "X-Request-Id": f"{next(_ids):016x}", "X-Deadline": "2000m"}
    told |= {name.replace("_", "-"): value for name, value in headers.items()}
    if line.startswith("POST"):
        told.setdefault("Content-Length", str(len(body)))
    text = "".join(f"{name}: {value}\r\n" for name, value in told.items())
    return f"{line} HTTP/1.1\r\n{text}\r\n".encode() + body


def receive(conn: Stream, held: bytearray | None = None) -> tuple[int, dict[str, str], bytes]:
    message = read_message(conn, bytearray() if held is None else held)
    assert message is not None, "the connection ended without an answer"
    return int(message[0].split(" ")[1]), message[1], message[2]


@dataclass
class Pool:
    """The pool config that the program is told."""

    hosts: dict[str, dict[str, Any]] = field(default_factory=dict)
    seq: int = 1
    answer: bytes | None = None  # instead of the list

    def put(self, name: str, dial: str, health: str = "active", born_ms: float = 0) -> None:
        self.seq += 1
        self.hosts[name] = {
            "host": name,
            "dial": dial,
            "site": "bilbao",
            "class": "m2",
            "block": 3,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }

    def text(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def watch(self, seen: Seen) -> tuple[int, float] | None:
        """After which list, and for how many seconds, a request waits for news; None where it does not."""
        after = re.search(r"after=(\d+)&wait_ms=(\d+)", seen.target)
        return (int(after[1]), int(after[2]) / 1000) if after else None

    def now(self) -> bytes:
        """What is told at this moment."""
        return self.answer or reply(200, json.dumps(self.text()).encode())


def configuration(
    pool: Pool,
    discovery: str,
    *,
    sockets: int = 1024,
    known: bool = True,
    listen: str = "127.0.0.1:0",
    told: dict[str, Any] | None = None,
    config: dict[str, Any] | None = None,
    staff: str = "",
    **limits: Any,
) -> str:
    """The program's configuration file.

    `known`: the list that it last had is the pool's. `told`, `limits`: instead of the usual settings.
    `config`: instead of all but the address that it listens at. `staff`: the console's address.
    """
    return json.dumps(
        (
            config
            or {
                "name": "n0",
                "discovery": discovery,
                "seed": "8c1f30d2",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                "known": pool.text() if known else {"seq": 0, "whole": True, "hosts": []},
                "settings": {
                    "classes": CLASSES,
                    "limits": LIMITS | limits,
                    "localities": ["bilbao"],
                    "round_ms": 5,
                    "registry_mode": "automatic",
                    "zone": 0,
                }
                | (told or {}),
            }
        )
        | {"listen": listen}
        | ({"console": staff} if staff else {})
    )


class Server:
    """A ledger node (or discovery): answers each request by a handler, in a thread for each connection."""

    def __init__(self, handler: Callable[[Seen], bytes]) -> None:
        self.handler = handler
        self.seen = list[Seen]()
        self.connections = 0
        self.open: list[socket.socket] = []
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._socket.accept()
                self.connections += 1
                self.open.append(conn)
                threading.Thread(target=self._serve, args=(conn, self.connections), daemon=True).start()

    def _serve(self, conn: socket.socket, number: int) -> None:
        held = bytearray()
        with contextlib.suppress(OSError):
            while (message := read_message(conn, held)) is not None:
                method, target, _ = message[0].split(" ")
                seen = Seen(method, target, message[1], message[2], number)
                self.seen.append(seen)
                conn.sendall(self.handler(seen))

    def close(self) -> None:
        self._socket.close()


@dataclass
class Discovery(Pool):
    """Tells a list that never changes."""

    def __post_init__(self) -> None:
        self.server = Server(self._handle)

    def _handle(self, seen: Seen) -> bytes:
        if watch := self.watch(seen):
            time.sleep(watch[1])
        return self.now()


@dataclass
class World:
    process: subprocess.Popen[str]
    discovery: Discovery
    address: tuple[str, int]
    log: Path

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address, timeout=10)

    def ask(self, line: str, body: bytes = b"", **headers: str) -> tuple[int, dict[str, str], bytes]:
        with self.connect() as conn:
            conn.sendall(request(line, body, **headers))
            return receive(conn)

    @contextmanager
    def stopped(self) -> Iterator[None]:
        """Meanwhile it does nothing, and what comes waits."""
        self.process.send_signal(signal.SIGSTOP)
        yield
        self.process.send_signal(signal.SIGCONT)

    def stop(self, number: int = signal.SIGTERM) -> int:
        self.process.send_signal(number)
        return self.process.wait(15)


def wait_for(condition: Callable[[], object], seconds: float = 10) -> None:
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "it did not happen"
        time.sleep(0.01)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as one:
        port: int = one.getsockname()[1]
        return port


@contextmanager
def program(config: Path, sockets: int = 1024) -> Iterator[tuple[subprocess.Popen[str], Path]]:
    """The program as a process with so many descriptors, and where it writes to."""
    log = config.with_name("log")
    command = f"ulimit -n {sockets} && exec {sys.executable} -m coveport"
    with log.open("w") as sink:
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], stderr=sink, text=True, env={**os.environ, "LB_CONFIG": str(config)}
        )
    try:
        yield process, log
    finally:
        process.kill()
        process.wait()


@contextmanager
def world(folder: Path, *dials: str, sockets: int = 1024, **how: Any) -> Iterator[World]:
    """The program as a process, ready, told of these destinations; `how`: see `configuration`."""
    discovery = Discovery()
    for number, dial in enumerate(dials):
        discovery.put(f"s-{number}", dial)
    config = folder / "config.json"
    config.write_text(configuration(discovery, discovery.server.address, sockets=sockets, **how))
    try:
        with program(config, sockets) as (process, log):
            wait_for(lambda: "listening on" in log.read_text())
            port = re.search(r"listening on 127\.0\.0\.1:(\d+)", log.read_text())
            assert port
            one = World(process, discovery, ("127.0.0.1", int(port[1])), log)
            wait_for(lambda: one.ask("GET /_health")[0] == 200)
            yield one
            assert process.poll() in (None, 0), log.read_text()
    finally:
        discovery.server.close()
