"""An HTTP/1.1 connection to a node, with one request on it at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport import http1
from coveport.net.transport import Net
from coveport.serving.proxy.errors import BrokenResponseError
from coveport.serving.proxy.headers import is_unframed, keep_alive_s

MAX_BUFFERED_BYTES = 64 * 1024  # of a response, for a slow client: bounds memory; not measured
MAX_RESPONSE_BYTES = 1 << 40  # no bound: responses are forwarded as they come
UNACKNOWLEDGED_MS = 2000  # until a peer that acknowledges nothing is taken for dead; not measured
DEFAULT_IDLE_S = 0.4  # where the node names no keep-alive time, which may be under a second; not measured
IDLE_MARGIN_S = 1.0  # a connection is closed so long before the node would; not measured
IDLE_MARGIN_RATIO = 0.4  # or by this part of the node's time, if that is less; not measured


class NodeConnection(asyncio.Protocol):
    """Sends a request and reads its response."""

    def __init__(self, net: Net) -> None:
        self._net = net
        self._transport: asyncio.Transport | None = None
        self._parser = http1.ResponseParser(MAX_RESPONSE_BYTES, 0)
        self._waiter: asyncio.Future[None] | None = None
        self._is_ended = False
        self._is_reset = False
        self._is_paused = False
        self._is_in_use = False
        self._keeps_alive = True
        self._has_carried_response = False  # one before the current one
        self._unacknowledged_ms = 0  # bound that is set on the socket; 0: none
        self._idle_s = DEFAULT_IDLE_S
        self.is_desynchronized = False  # it carried a response to another request: not reused
        self.idle_since_s = 0.0
        self.last_received_s = 0.0
        self.one_way_s = 0.0  # from the node to here, without delays on either machine
        self.on_received: Callable[[], None] | None = None  # called for bytes of the current response

    # The callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer bytes for the reader. Runs for every read: keep its calls few."""
        if not self._is_in_use:  # they belong to no request
            self.close()
            return
        self.last_received_s = self._net.now_s()
        if self.on_received is not None:
            self.on_received()
        self._parser.feed(data)
        if (
            len(self._parser.buffer) > MAX_BUFFERED_BYTES
            and self._transport is not None
            and not self._is_paused
        ):
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the node sends nothing more."""
        self._is_ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        self._is_ended = True
        self._is_reset = self._is_reset or exc is not None
        self._wake()

    # The interface of `request_forwarder` and `response_relay`.

    @property
    def is_open(self) -> bool:
        """Whether a request may still be sent on it."""
        transport = self._transport
        return (
            transport is not None
            and not self._is_ended
            and not transport.is_closing()
            and not self._net.has_peer_closed(transport)
        )

    def send(self, request: bytes, *, ends_when_unacknowledged: bool) -> bool:
        """Write a complete request; return False where the connection was broken and took none of it.

        Args:
            request: head and body.
            ends_when_unacknowledged: whether the connection ends when the node's machine acknowledges
                nothing. A request that can't be retried waits instead.

        """
        assert self._transport is not None
        unacknowledged_ms = UNACKNOWLEDGED_MS if ends_when_unacknowledged else 0
        if unacknowledged_ms != self._unacknowledged_ms:
            self._unacknowledged_ms = unacknowledged_ms
            self._net.set_unacknowledged_timeout(self._transport, unacknowledged_ms)
        self._is_in_use = True
        if not self.is_open:
            return False
        self._transport.write(request)
        # A transport that closes within the write found the connection reset: the kernel took no byte.
        return not self._transport.is_closing()

    async def read_head(self) -> http1.Response:
        """Return the head of the next response.

        Raises:
            BrokenResponseError: there will be none.

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
                    raise BrokenResponseError("head", "a length or Connection: close", "neither")
                self._has_carried_response = True
                self._keeps_alive = response.keep_alive
                idle_s = keep_alive_s(response.headers)
                self._idle_s = DEFAULT_IDLE_S if idle_s is None else idle_s
                return response
            await self._wait_for_bytes("head")

    async def read_data(self) -> tuple[bytes, bool]:
        """Return the next bytes of the body, and whether it ends with them.

        One loop without helpers, since it runs for every read.

        Raises:
            BrokenResponseError: the body breaks off.

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
        """Wait until the node has sent something."""
        if self._is_ended:
            raise BrokenResponseError(stage, "more bytes", "the end of the connection")
        if self._is_paused and self._transport is not None:
            self._is_paused = False
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
        is_broken = self._is_ended or self._is_paused or self._parser.is_mid_message or self.is_desynchronized
        if is_broken or not self._keeps_alive:
            self.close()
            return False
        return True

    def is_expiring(self, now_s: float) -> bool:
        """Return whether the node may close the idle connection soon."""
        margin_s = min(IDLE_MARGIN_S, IDLE_MARGIN_RATIO * self._idle_s)
        return now_s >= self.idle_since_s + self._idle_s - margin_s

    def close(self) -> None:
        """Abort the connection, and with it what the node still runs for it."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()
        self._wake()
