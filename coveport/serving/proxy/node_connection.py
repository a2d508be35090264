"""An HTTP/1.1 connection to a node, which carries one request at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from coveport import http1
from coveport.net.transport import Net
from coveport.serving.proxy.errors import BrokenResponseError
from coveport.serving.proxy.headers import is_unframed, keep_alive_s

MAX_BUFFERED_BYTES = 64 * 1024  # bytes of a response buffered for a slow client; limits the memory used
MAX_READ_BYTES = 64 * 1024  # bytes received at once, after which reading may be paused
WRITE_BYTES = 64 * 1024  # bytes of a request that are passed to the transport at once; limits its copies
MAX_RESPONSE_BYTES = 1 << 40  # no limit in practice, as responses are forwarded while they are received
# TCP time-out: a peer that acknowledges nothing for this long is presumed unreachable.
UNACKNOWLEDGED_TIMEOUT_MS = 2000
DEFAULT_IDLE_TIMEOUT_S = 0.4  # for nodes without a Keep-Alive time-out, which may be under a second
IDLE_MARGIN_S = 1.0  # an idle connection is closed this long before the node closes it
IDLE_MARGIN_RATIO = 0.4  # the margin is at most this part of the idle time-out


class NodeConnection(asyncio.Protocol):
    """Sends a request and reads its response."""

    def __init__(self, net: Net, on_unsolicited: Callable[[], None] = lambda: None) -> None:
        """Create a connection that is not established yet.

        `on_unsolicited` is called when bytes arrive without a request, which closes the connection.
        """
        self._net = net
        self._on_unsolicited = on_unsolicited
        self._transport: asyncio.Transport | None = None
        self._parser = http1.ResponseParser(MAX_RESPONSE_BYTES, 0)
        self._waiter: asyncio.Future[None] | None = None
        self._is_ended = False
        self._is_reset = False
        self._is_reading_paused = False
        self._is_in_use = False
        # What the transport has not taken yet; a request that was rejected early may precede the current one.
        self._unsent: deque[memoryview] = deque()
        self._is_writing_paused = False
        self._keeps_alive = True
        self._has_carried_response = False  # whether the connection carried a response before the current one
        self._unacknowledged_timeout_ms = 0  # as set on the socket; 0: the system's default
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S  # idle time after which the node closes the connection
        # Whether the connection must carry no other request: a late response could be taken for that to it.
        self.must_close = False
        self.idle_since_s = 0.0
        self.last_received_s = 0.0
        self.one_way_delay_s = 0.0  # network delay from the node, without delays on either machine
        self.on_received: Callable[[], None] | None = None  # called when bytes of the current response arrive

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._net.limit_read(transport, MAX_READ_BYTES)

    def pause_writing(self) -> None:
        """Write nothing more while the node doesn't read."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Write the rest of the request's body."""
        self._is_writing_paused = False
        self._write_rest()

    def data_received(self, data: bytes) -> None:
        """Buffer bytes for the reader. Runs for every read, so it makes few calls."""
        if not self._is_in_use:  # the bytes belong to no request
            self._on_unsolicited()
            self.close()
            return
        self.last_received_s = self._net.now_s()
        if self.on_received is not None:
            self.on_received()
        self._parser.feed(data)
        if (
            len(self._parser.buffer) > MAX_BUFFERED_BYTES
            and self._transport is not None
            and not self._is_reading_paused
        ):
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record that the node sends no more bytes."""
        self._is_ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed, and whether it was reset."""
        self._is_ended = True
        self._is_reset = self._is_reset or exc is not None
        self._unsent.clear()
        self._wake()

    # Interface for `request_forwarder` and `response_relay`.

    @property
    def is_open(self) -> bool:
        """Whether a request can still be sent on the connection."""
        transport = self._transport
        return (
            transport is not None
            and not self._is_ended
            and not transport.is_closing()
            and not self._net.has_peer_closed(transport)
        )

    def send(self, head: bytes, body: bytes, *, ends_when_unacknowledged: bool) -> bool:
        """Write a complete request; return False if the connection was broken and no byte was sent.

        A long body is written as fast as the node reads it; until then the connection refers to it.

        Args:
            head: head of the request.
            body: body of the request.
            ends_when_unacknowledged: whether the connection ends when the node's machine stops acknowledging.
                A request that can't be retried keeps waiting instead.

        """
        assert self._transport is not None
        timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS if ends_when_unacknowledged else 0
        if timeout_ms != self._unacknowledged_timeout_ms:
            self._unacknowledged_timeout_ms = timeout_ms
            self._net.set_unacknowledged_timeout(self._transport, timeout_ms)
        self._is_in_use = True
        if not self.is_open:
            return False
        first = len(body) if len(body) <= WRITE_BYTES else 0  # a short body is written with its head
        self._unsent.append(memoryview(head + body[:first]))
        self._write_next()
        # If the transport closes during the write, the connection was reset and the kernel accepted no byte.
        if self._transport.is_closing():
            return False
        if len(body) > first:
            self._unsent.append(memoryview(body))
            self._write_rest()
        return True

    def send_health_check(self, path: str) -> None:
        """Write a health check behind the request; the node responds to them in this order."""
        assert self._transport is not None
        host = "{}:{}".format(*self._transport.get_extra_info("peername")[:2])
        self._unsent.append(memoryview(http1.write_request("GET", path, [("Host", host)])))
        self._write_rest()

    def _write_next(self) -> None:
        """Pass the next bytes to the transport, unless the node doesn't read."""
        assert self._transport is not None
        if self._is_writing_paused:
            return
        data = self._unsent.popleft()
        if len(data) > WRITE_BYTES:
            self._unsent.appendleft(data[WRITE_BYTES:])
        self._transport.write(data[:WRITE_BYTES])

    def _write_rest(self) -> None:
        """Pass bytes to the transport until the node doesn't read, or nothing is left."""
        transport = self._transport
        while self._unsent and transport is not None and not self._is_writing_paused:
            if transport.is_closing():
                return
            self._write_next()

    async def read_head(self) -> http1.Response:
        """Return the head of the next response.

        Raises:
            BrokenResponseError: the connection ended, or the response is invalid.

        """
        while True:
            try:
                response = self._parser.next_response()
                if response is None and self._is_ended and not self._is_reset:
                    response = self._parser.receive_eof()
            except http1.RemoteProtocolError as error:
                raise BrokenResponseError("head", "HTTP/1.1", str(error)) from None
            if response is not None:
                if self._has_carried_response and is_unframed(response.status, response.headers):
                    raise BrokenResponseError("head", "a length or Connection: close", "neither of them")
                self._has_carried_response = True
                self._keeps_alive = response.keep_alive
                idle_timeout_s = keep_alive_s(response.headers)
                self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S if idle_timeout_s is None else idle_timeout_s
                return response
            await self._wait_for_bytes("head")

    async def read_data(self) -> tuple[bytes, bool]:
        """Return the next bytes of the body, and whether they are the last.

        Written as one loop without helper functions, since it runs for every read.

        Raises:
            BrokenResponseError: the body is invalid or ended before it was complete.

        """
        while True:
            try:
                data, is_last = self._parser.next_data()
            except http1.RemoteProtocolError as error:
                raise BrokenResponseError("body", "HTTP/1.1", str(error)) from None
            if data or is_last:
                return data, is_last
            if self._is_ended and not self._is_reset and self._parser.receive_eof() is not None:
                return b"", True
            await self._wait_for_bytes("body")

    async def _wait_for_bytes(self, stage: str) -> None:
        """Wait until bytes arrive or the connection ends."""
        if self._is_ended:
            raise BrokenResponseError(stage, "more bytes", "the end of the connection")
        if self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = False
            self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def release(self, now_s: float) -> bool:
        """End the current request, and return whether the connection can carry another."""
        self._is_in_use = False
        self.on_received = None
        self.idle_since_s = now_s
        is_broken = (
            self._is_ended or self._is_reading_paused or self._parser.is_mid_message or self.must_close
        )
        if is_broken or not self._keeps_alive:
            self.close()
            return False
        return True

    def is_expiring(self, now_s: float) -> bool:
        """Return whether the node may close the idle connection soon."""
        margin_s = min(IDLE_MARGIN_S, IDLE_MARGIN_RATIO * self._idle_timeout_s)
        return now_s >= self.idle_since_s + self._idle_timeout_s - margin_s

    def close(self) -> None:
        """Abort the connection; the node then cancels a request that still runs for it."""
        self._is_ended = True
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()
        self._wake()
