"""Accepting on real sockets: what waits at the close is taken in, and a want of descriptors is survived."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
from typing import Any

from coveport.net.transport import Net
from coveport.sidecar.downstream.client_connection import ClientConnection
from coveport.sidecar.downstream.listener import Listener
from coveport.sidecar.reducer.streams import Budget
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log

SHARED: Any = {"accepts_per_turn": 4, "backlog": 64, "shared": True}


class Came(asyncio.Protocol):
    def __init__(self, came: list[asyncio.BaseTransport]) -> None:
        self._came = came

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._came.append(transport)


def test_what_waits_at_the_close_is_taken_in_and_another_goes_on() -> None:
    async def main() -> None:
        net, came, other = Net(asyncio.get_running_loop()), list[asyncio.BaseTransport](), list[object]()
        first = await net.listen(lambda: Came(came), ("127.0.0.1", 0), **SHARED)
        address = ("127.0.0.1", first.port)
        assert net.is_taken(address) and first.is_quiet
        with contextlib.ExitStack() as stack:
            for _ in range(40):  # no turn of the loop in between: all wait below
                stack.enter_context(socket.create_connection(address, timeout=1))
            assert not first.is_quiet
            second = await net.listen(lambda: Came(other), address, **SHARED)
            first.close()
            first.close()
            assert not first.is_quiet and not came, "accepted, and not with their protocols yet"
            for _ in range(40):
                stack.enter_context(socket.create_connection(address, timeout=1))
            await asyncio.sleep(0.2)
            assert (len(came), len(other)) == (40, 40) and first.is_quiet
            for transport in came:  # what is small is not held back to be lost with a close
                assert transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            second.close()
        assert not net.is_taken(address)

    asyncio.run(main())


def test_without_descriptors_it_accepts_again_soon() -> None:
    async def main() -> None:
        loop, came, said = asyncio.get_running_loop(), list[asyncio.BaseTransport](), list[object]()
        loop.set_exception_handler(lambda _, context: said.append(context["exception"]))
        net = Net(loop)
        listening = await net.listen(lambda: Came(came), ("127.0.0.1", 0), accepts_per_turn=4, backlog=64)
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        with socket.create_connection(("127.0.0.1", listening.port), timeout=1) as conn:
            resource.setrlimit(resource.RLIMIT_NOFILE, (conn.fileno() + 1, before[1]))
            try:
                await asyncio.sleep(0.2)
                assert not came and 2 <= len(said) <= 5
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, before)
            await asyncio.sleep(0.1)
            assert len(came) == 1
            listening.close()

    asyncio.run(main())


def clients(net: Net) -> Listener:
    return Listener(
        net,
        Counters(),
        Log(net.now_s),
        (),
        max_clients=9,
        is_ready=lambda: True,
        submit=lambda number, client, asked: None,
        cancel=lambda number: None,
        on_upload_complete=lambda number, waited_ms: None,
        budget=Budget(9999),
    )


def test_who_was_accepted_in_the_very_turn_of_the_end_is_among_the_clients() -> None:
    # The program ended with such a connection in its hands: its request was never read.
    async def main() -> None:
        listener = clients(Net(asyncio.get_running_loop()))
        port = await listener.open(("127.0.0.1", 0))
        with socket.create_connection(("127.0.0.1", port), timeout=1):
            assert listener._server is not None
            listener._server._accept()  # type: ignore[attr-defined]
            await listener.shut_down()
            assert len(listener.clients) == 1
            listener.close()

    asyncio.run(main())


def test_a_last_answer_that_is_not_sent_yet_is_not_cut_off_to_make_room() -> None:
    # Who had its last answer was the first to go where clients were too many, however much was unsent.
    async def main() -> None:
        loop, size = asyncio.get_running_loop(), 8_000_000  # more than the systems on both sides take
        listener = clients(Net(loop))
        port = await listener.open(("127.0.0.1", 0))
        with socket.create_connection(("127.0.0.1", port), timeout=10) as conn:
            while not len(listener.clients):  # noqa: ASYNC110  # accepting tells nobody
                await asyncio.sleep(0.001)
            (client,) = listener.clients
            assert isinstance(client, ClientConnection)
            client._keep_alive = False
            client._write(200, [], bytes(size))
            listener.clients.shed(1)
            conn.setblocking(False)
            got = 0
            while data := await loop.sock_recv(conn, 1 << 20):
                got += len(data)
            assert got > size
            listener.clients.shed(1)
        listener.close()

    asyncio.run(main())


def test_what_comes_between_the_last_look_and_the_close_is_not_taken() -> None:
    # The client finds its connection ended, unread, and sends the request again elsewhere: never both.
    async def main() -> None:
        loop, taken = asyncio.get_running_loop(), list[object]()
        listener = clients(Net(loop))
        listener.context.submit = lambda number, client, asked: taken.append(asked)
        port = await listener.open(("127.0.0.1", 0))
        with socket.create_connection(("127.0.0.1", port), timeout=10) as conn:
            conn.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            conn.setblocking(False)
            assert (await loop.sock_recv(conn, 4096)).startswith(b"HTTP/1.1 200")
            (client,) = listener.clients
            assert client.may_close_idle(loop.time())
            conn.send(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")  # in the very turn
            client.close()
            with contextlib.suppress(ConnectionResetError):
                assert await loop.sock_recv(conn, 4096) == b""
        assert not taken and not len(listener.clients)
        listener.close()

    asyncio.run(main())
