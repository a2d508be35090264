"""Accepting on real sockets: at the close of a listener, and when the process runs out of descriptors."""

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


class AcceptedProtocol(asyncio.Protocol):
    def __init__(self, accepted: list[asyncio.BaseTransport]) -> None:
        self._accepted = accepted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._accepted.append(transport)


def test_pending_connections_are_accepted_at_the_close_while_a_second_listener_goes_on() -> None:
    async def main() -> None:
        net, accepted, accepted_by_second = (
            Net(asyncio.get_running_loop()),
            list[asyncio.BaseTransport](),
            list[object](),
        )
        first = await net.listen(lambda: AcceptedProtocol(accepted), ("127.0.0.1", 0), **SHARED)
        address = ("127.0.0.1", first.port)
        assert net.is_taken(address) and first.is_quiet
        with contextlib.ExitStack() as stack:
            for _ in range(40):  # the event loop doesn't run in between, so all wait to be accepted
                stack.enter_context(socket.create_connection(address, timeout=1))
            assert not first.is_quiet
            second = await net.listen(lambda: AcceptedProtocol(accepted_by_second), address, **SHARED)
            first.close()
            first.close()
            assert not first.is_quiet and not accepted, "accepted, but not yet passed to their protocols"
            for _ in range(40):
                stack.enter_context(socket.create_connection(address, timeout=1))
            await asyncio.sleep(0.2)
            assert (len(accepted), len(accepted_by_second)) == (40, 40) and first.is_quiet
            for transport in accepted:  # with TCP_NODELAY a small write isn't delayed and lost at a close
                assert transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            second.close()
        assert not net.is_taken(address)

    asyncio.run(main())


def test_accepting_resumes_soon_after_descriptors_ran_out() -> None:
    async def main() -> None:
        loop, accepted, errors = asyncio.get_running_loop(), list[asyncio.BaseTransport](), list[object]()
        loop.set_exception_handler(lambda _, context: errors.append(context["exception"]))
        net = Net(loop)
        listening = await net.listen(
            lambda: AcceptedProtocol(accepted), ("127.0.0.1", 0), accepts_per_turn=4, backlog=64
        )
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        with socket.create_connection(("127.0.0.1", listening.port), timeout=1) as conn:
            resource.setrlimit(resource.RLIMIT_NOFILE, (conn.fileno() + 1, before[1]))
            try:
                await asyncio.sleep(0.2)
                assert not accepted and 2 <= len(errors) <= 5
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, before)
            await asyncio.sleep(0.1)
            assert len(accepted) == 1
            listening.close()

    asyncio.run(main())


def new_listener(net: Net) -> Listener:
    return Listener(
        net,
        Counters(),
        Log(net.now_s),
        (),
        max_clients=9,
        is_ready=lambda: True,
        submit=lambda number, client, operation: None,
        cancel=lambda number: None,
        on_upload_complete=lambda number, waited_ms: None,
        budget=Budget(9999),
    )


def test_a_connection_accepted_during_the_shutdown_is_among_the_clients() -> None:
    # Guards against a process that exits with such a connection, whose request was never read.
    async def main() -> None:
        listener = new_listener(Net(asyncio.get_running_loop()))
        port = await listener.open(("127.0.0.1", 0))
        with socket.create_connection(("127.0.0.1", port), timeout=1):
            assert listener._server is not None
            listener._server._accept()  # type: ignore[attr-defined]
            await listener.shut_down()
            assert len(listener.clients) == 1
            listener.close()

    asyncio.run(main())


def test_an_unsent_last_response_is_not_cut_off_by_shedding() -> None:
    # Ending connections are shed first; guards against a close while part of the response is unsent.
    async def main() -> None:
        loop, size = asyncio.get_running_loop(), 8_000_000  # more than the socket buffers of both sides hold
        listener = new_listener(Net(loop))
        port = await listener.open(("127.0.0.1", 0))
        with socket.create_connection(("127.0.0.1", port), timeout=10) as conn:
            while not len(listener.clients):  # noqa: ASYNC110  # there is no event for an accept
                await asyncio.sleep(0.001)
            (client,) = listener.clients
            assert isinstance(client, ClientConnection)
            client._keep_alive = False
            client._write(200, [], bytes(size))
            listener.clients.shed(1)
            conn.setblocking(False)
            received_bytes = 0
            while data := await loop.sock_recv(conn, 1 << 20):
                received_bytes += len(data)
            assert received_bytes > size
            listener.clients.shed(1)
        listener.close()

    asyncio.run(main())


def test_a_request_between_the_last_check_and_the_close_is_not_submitted() -> None:
    # The client finds its connection closed and resends the request elsewhere, so it must not run here too.
    async def main() -> None:
        loop, submitted = asyncio.get_running_loop(), list[object]()
        listener = new_listener(Net(loop))
        listener.context.submit = lambda number, client, operation: submitted.append(operation)
        port = await listener.open(("127.0.0.1", 0))
        with socket.create_connection(("127.0.0.1", port), timeout=10) as conn:
            conn.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            conn.setblocking(False)
            assert (await loop.sock_recv(conn, 4096)).startswith(b"HTTP/1.1 200")
            (client,) = listener.clients
            assert client.may_close_idle(loop.time())
            conn.send(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")  # before the event loop runs again
            client.close()
            with contextlib.suppress(ConnectionResetError):
                assert await loop.sock_recv(conn, 4096) == b""
        assert not submitted and not len(listener.clients)
        listener.close()

    asyncio.run(main())
