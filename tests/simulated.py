"""The world around the real program in simulated time: the same face as `world`, and not a real second long.

The program runs as one process of a `testbed.simulated_network` world, servers and clients in another one.
The test's own thread drives time: what blocks on a socket (`recv`, `sendall`, `connect`), `sleep` and
`wait_for` let it pass until there is something, or the wait is over. Between two such calls nothing
happens. All that one test makes (servers, discoveries, `world`) stands on the same ground; `world` leaves
it, so that each test begins at the same instant.
"""

from __future__ import annotations

import asyncio
import inspect
import json
import signal
import socket
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from empty_day import empty_day
from world import SILENT, Message, Pool, Seen, configuration, receive, request, take_message

from coveport.sidecar.config import platform
from coveport.sidecar.service import serve
from coveport.sidecar.telemetry.log import Log
from coveport.testbed.network_model import CLIENT, Ways
from coveport.testbed.simulated_network import wires
from coveport.testbed.simulated_network.network import Network
from coveport.testbed.simulated_network.world import Process
from coveport.testbed.simulated_network.world import World as Time

T = TypeVar("T")
HOST = "127.0.0.1"
# Messages take 50 us each way, as on loopback.
DAY = empty_day(same_ms=0.05, cross_ms=((0.05,),), client_ms=0.05)
BELOW = 6  # descriptors that a process has open before any connection: standard ones, poll, its own signals
HELD_MOST = 64 * 1024  # what a client takes in before its test reads it
STOPPED_S = 1.0
HANGS_S = 20.0  # real seconds: any wait here is over in a fraction of one


class HungError(KeyboardInterrupt):
    """The program goes round in circles; as an interrupt, since loops take all else for their own matter."""


def _hung(*_: object) -> None:
    raise HungError


class Ground:
    """Time, a network, and a process that servers and clients live in."""

    def __init__(self) -> None:
        self.time = Time()
        self._network = Network(self.time, Ways(DAY))
        self._place = self._network.place(HOST, CLIENT)
        self.lab = Process.start(self.time, "lab")
        self.net = self.net_of(self.lab)
        signal.signal(signal.SIGALRM, _hung)

    def net_of(self, process: Process, descriptors: int = 1 << 30) -> wires.VirtualNet:
        return wires.VirtualNet(process, self._network, self._place, descriptors)

    def until(self, condition: Callable[[], object], seconds: float) -> bool:
        """Let time pass until it holds; False where that takes longer."""
        signal.setitimer(signal.ITIMER_REAL, HANGS_S)
        try:
            return self.time.run(self.time.now + seconds, lambda: bool(condition()))
        except HungError:
            raise AssertionError("it goes round in circles") from None
        finally:
            signal.setitimer(signal.ITIMER_REAL, 0)

    def run(self, coro: Coroutine[Any, Any, T], seconds: float, process: Process | None = None) -> T:
        """Run a coroutine to its end; TimeoutError where that takes longer."""
        task = (process or self.lab).create_task(coro)
        if not self.until(task.done, seconds):
            task.cancel()
            raise TimeoutError
        return task.result()

    def end(self) -> None:
        """Nothing on it lives any more."""
        self.lab.kill()


_ground: Ground | None = None


def ground() -> Ground:
    """What the present test stands on."""
    global _ground
    _ground = _ground or Ground()
    return _ground


def _leave() -> None:
    global _ground
    if _ground is not None:
        _ground.end()
    _ground = None


def now() -> float:
    """Monotonic seconds."""
    return ground().time.now


def sleep(seconds: float) -> None:
    ground().until(lambda: False, seconds)


def wait_for(condition: Callable[[], object], seconds: float = 10) -> None:
    end = now() + seconds
    while not condition():
        assert now() < end, "it did not happen"
        sleep(0.01)


def free_port() -> int:
    """One that nobody listens at."""
    return 9


class Conn(asyncio.Protocol):
    """One end of a connection: a blocking socket to the test, awaited by servers."""

    def __init__(self, here: Ground) -> None:
        self._here = here
        self._timeout = 10.0
        self._held = bytearray()
        self._over = False
        self._problem: Exception | None = None
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None

    # As asyncio calls it.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._held += data
        if len(self._held) >= HELD_MOST:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        self._over = True
        self._wake()
        return True  # our direction stays open, as a socket's does

    def connection_lost(self, exc: Exception | None) -> None:
        self._over = True
        self._problem = exc
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # As a socket.

    @property
    def transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    def _take(self, size: int) -> bytes:
        data = bytes(self._held[:size])
        del self._held[:size]
        if not self._over:
            self.transport.resume_reading()
        if not data and self._problem is not None:
            raise self._problem
        return data

    def recv(self, size: int, /) -> bytes:
        if not self._here.until(lambda: self._held or self._over, self._timeout):
            raise TimeoutError
        return self._take(size)

    async def read(self) -> bytes:
        """The same, awaited."""
        if not (self._held or self._over):
            self._waiter = self._here.lab.create_future()
            await self._waiter
        return self._take(1 << 30)

    def send(self, data: bytes) -> None:
        """Send without waiting until it has gone."""
        if self._problem is not None:
            raise self._problem
        self.transport.write(data)

    @property
    def unsent(self) -> int:
        """Bytes that are still to go."""
        return self.transport.get_write_buffer_size()

    def sendall(self, data: bytes) -> None:
        self.send(data)
        if not self._here.until(lambda: not self.unsent or self._problem, self._timeout):
            raise TimeoutError
        if self.unsent and self._problem is not None:
            raise self._problem

    def settimeout(self, seconds: float) -> None:
        self._timeout = seconds

    def shutdown(self, how: int) -> None:
        assert how == socket.SHUT_WR
        self.transport.write_eof()

    def close(self) -> None:
        self._over = True
        if self._held:  # what is unread is answered with a reset
            reset(self)
        self.transport.close()

    def __enter__(self) -> Conn:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def reset(conn: Conn) -> None:
    conn._here.net.reset(conn.transport)


Answer = bytes | None


class Server:
    """Answers each request by a handler: bytes to send, None to reset the connection, either in a while."""

    def __init__(self, handler: Callable[[Seen], Answer | Awaitable[Answer]]) -> None:
        self.handler = handler
        self.seen = list[Seen]()
        self.connections = 0
        self.ended = 0
        self.open: list[Conn] = []
        self._here = ground()
        self._listening = self._here.net.accept(self._accept, (HOST, 0))
        self.address = f"{HOST}:{self._listening.port}"

    def _accept(self, _caller: int) -> Conn:
        self.connections += 1
        self.open.append(Conn(self._here))
        self._here.lab.create_task(self._serve(self.open[-1], self.connections))
        return self.open[-1]

    async def _serve(self, conn: Conn, number: int) -> None:
        held = bytearray()
        try:
            while (message := await self._read(conn, held)) is not None:
                method, target, _ = message[0].split(" ")
                seen = Seen(method, target, message[1], message[2], number)
                self.seen.append(seen)
                answer = self.handler(seen)
                if inspect.isawaitable(answer):
                    answer = await answer
                if answer is None:
                    reset(conn)
                elif answer is not SILENT:
                    conn.send(answer)
                    if b"Connection: close" in answer:
                        conn.close()
        except OSError:
            pass
        self.ended += 1

    async def _read(self, conn: Conn, held: bytearray) -> Message | None:
        while (message := take_message(held)) is None:
            if not (data := await conn.read()):
                return None
            held += data
        return message

    def close(self) -> None:
        self._listening.close()


@dataclass
class Discovery(Pool):
    """Tells the list to who asks, and changes to who waits."""

    _waiting: list[asyncio.Future[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.server = Server(self._handle)

    def put(self, name: str, dial: str, health: str = "active", born_ms: float = 0) -> None:
        super().put(name, dial, health, born_ms)
        waiting, self._waiting = self._waiting, []
        for one in waiting:
            if not one.done():
                one.set_result(None)

    async def _handle(self, seen: Seen) -> bytes:
        if self.answer is None and (watch := self.watch(seen)) and self.seq <= watch[0]:
            self._waiting.append(ground().lab.create_future())
            await asyncio.wait([self._waiting[-1]], timeout=watch[1])
        return self.now()


class Printed:
    """What the program has printed."""

    def __init__(self) -> None:
        self._lines: list[str] = []

    def write(self, line: str) -> None:
        self._lines.append(f"{line}\n")

    def read_text(self) -> str:
        return "".join(self._lines)


class Program:
    """The program's process."""

    def __init__(self, config: Path, sockets: int) -> None:
        self._here, self.log = ground(), Printed()
        self.process = Process.start(self._here.time, "n0")
        environ = {"LB_CONFIG": str(config)}
        net = self._here.net_of(self.process, sockets - BELOW)
        self._task = self.process.create_task(
            serve(
                platform.load(environ),
                net,
                Log(self.process.time, self.log.write),
                reload_config=lambda running: platform.load(environ, is_reload=True, running=running),
            )
        )

    def poll(self) -> int | None:
        """The exit code, once it has ended; raises what it died of."""
        return self._task.result() if self._task.done() else None

    def wait(self, seconds: float) -> int:
        assert self._here.until(self._task.done, seconds), "it has not ended"
        return self._task.result()

    def send_signal(self, number: int) -> None:
        assert self.process.deliver(number)


@dataclass
class World:
    process: Program
    discovery: Discovery
    address: tuple[str, int]
    log: Printed
    config: Path

    def reload(self, **changes: Any) -> None:
        """Replace entries of the configuration file and say so."""
        self.config.write_text(json.dumps(json.loads(self.config.read_text()) | changes))
        self.process.send_signal(signal.SIGHUP)

    async def dial(self) -> Conn:
        """Connect, for what is awaited."""
        conn = Conn(ground())
        await ground().net.dial(lambda: conn, self.address)
        return conn

    def connect(self) -> Conn:
        return ground().run(self.dial(), 10)

    def raw(self, data: bytes, closes: bool) -> tuple[int, bool]:
        """What bytes on a fresh connection are answered with, and whether it closes (as it should or not)."""
        with self.connect() as conn:
            conn.sendall(data)
            answer = receive(conn)
            try:
                conn.settimeout(10 if closes else 0.3)
                return answer[0], conn.recv(1) == b""
            except TimeoutError:
                return answer[0], False

    def ask(self, line: str, body: bytes = b"", **headers: str) -> tuple[int, dict[str, str], bytes]:
        with self.connect() as conn:
            conn.sendall(request(line, body, **headers))
            return receive(conn)

    @contextmanager
    def stopped(self) -> Iterator[None]:
        """For a second it does nothing, and what comes waits."""
        end = now() + STOPPED_S
        self.process.process.stall(STOPPED_S)
        yield
        sleep(end - now())

    def stop(self, number: int = signal.SIGTERM) -> int:
        self.process.send_signal(number)
        return self.process.wait(15)

    def figures(self) -> dict[str, Any]:
        """The counters, as printed on SIGUSR1."""
        before = self.log.read_text().count("counters ")
        self.process.send_signal(signal.SIGUSR1)
        wait_for(lambda: self.log.read_text().count("counters ") > before)
        line = self.log.read_text().split("counters ")[-1].splitlines()[0]
        figures: dict[str, Any] = json.loads(line)
        return figures


@contextmanager
def program(config: Path, sockets: int = 1024) -> Iterator[tuple[Program, Printed]]:
    """The program with so many descriptors, and what it prints; at the end the ground is left."""
    process = Program(config, sockets)
    try:
        yield process, process.log
        assert not ground().lab.problems
    finally:
        process.process.kill()
        _leave()


@contextmanager
def world(
    folder: Path,
    *dials: str,
    sockets: int = 1024,
    ready: bool = True,
    answer: bytes | None = None,
    **how: Any,
) -> Iterator[World]:
    """The program, told of these destinations; `how`: see `configuration`.

    `ready`: wait until it serves. `answer`: what discovery says at first, instead of the list.
    """
    discovery = Discovery(answer=answer)
    for number, dial in enumerate(dials):
        discovery.put(f"s-{number}", dial)
    path = folder / "config.json"
    path.write_text(configuration(discovery, discovery.server.address, sockets=sockets, **how))
    with program(path, sockets) as (process, log):
        wait_for(lambda: "listening on" in log.read_text())
        port = int(log.read_text().partition("listening on 127.0.0.1:")[2].split()[0])
        one = World(process, discovery, (HOST, port), log, path)
        if ready:
            wait_for(lambda: one.ask("GET /_health")[0] == 200)
        yield one
        assert process.poll() in (None, 0), log.read_text()


def run(main: Callable[[wires.VirtualNet], Coroutine[Any, Any, T]], seconds: float = 60) -> T:
    """Run a coroutine on the present ground, in a process of its own, and leave it."""
    process = Process.start(ground().time, "main")
    try:
        return ground().run(main(ground().net_of(process)), seconds, process)
    finally:
        process.kill()
        _leave()
