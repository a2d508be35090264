"""One HTTP/1.1 connection to a node, with one request on it at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.http1 import codec
from coveport.net.transport import Net
from coveport.serving.proxy.headers import is_unframed, keep_alive_s

MOST_HELD = 64 * 1024  # bytes of an answer that wait for a slow client
MOST_ANSWER = 1 << 40  # no bound: answers are passed on as they come
SILENCE_MS = 2000  # after which an unheard-of peer counts as dark
IDLE_S = 0.4  # how long an idle connection is kept where the node tells nothing: it may be under a second
IDLE_MARGIN_S = 1.0  # closed so long before the node would ...
IDLE_MARGIN_PART = 0.4  # ... or such a part of its time


class NodeClosedError(Exception):
    """The connection ended, or carried what is no answer, before the answer was whole."""


class NodeConnection(asyncio.Protocol):
    """Sends a request and reads its answer."""

    def __init__(self, net: Net) -> None:
        self._net = net
        self._transport: asyncio.Transport | None = None
        self._parser = codec.ResponseParser(MOST_ANSWER, 0)
        self._waiter: asyncio.Future[None] | None = None
        self._ended = False
        self._reset = False
        self._paused = False
        self._in_use = False
        self._keeps = True
        self._has_carried = False  # another answer than the present one
        self._silence_ms = 0
        self._idle_s = IDLE_S
        self.is_suspect = False  # it brought an answer to another request: used no further
        self.idle_since_s = 0.0
        self.heard_at_s = 0.0
        self.on_heard: Callable[[], None] | None = None  # called when bytes of the present answer come

    # As asyncio calls it.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        if not self._in_use:  # nothing was asked: they belong to no request
            self.close()
            return
        self.heard_at_s = self._net.now_s()
        if self.on_heard is not None:
            self.on_heard()
        self._parser.feed(data)
        if len(self._parser.held) > MOST_HELD and self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """The node sends nothing more."""
        self._ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self._ended = True
        self._reset = self._reset or exc is not None
        self._wake()

    # As the exchange uses it.

    @property
    def is_open(self) -> bool:
        """Whether a request may still be sent on it."""
        transport = self._transport
        return (
            transport is not None
            and not self._ended
            and not transport.is_closing()
            and not self._net.is_over(transport)
        )

    def send(self, request: bytes, *, notices_dark: bool) -> bool:
        """Hand a whole request over; False where the connection was broken already and took none of it.

        `notices_dark`: a node whose machine acknowledges nothing counts as gone. Else its silence is borne:
        what can't be sent again is not ended because of it.
        """
        assert self._transport is not None
        silence_ms = SILENCE_MS if notices_dark else 0
        if silence_ms != self._silence_ms:
            self._silence_ms = silence_ms
            self._net.bound_silence(self._transport, silence_ms)
        self._in_use = True
        if not self.is_open:
            return False
        self._transport.write(request)
        # A transport that closes within the write found the connection reset: the system took no byte.
        return not self._transport.is_closing()

    async def read_head(self) -> codec.Response:
        """The head of the next answer; NodeClosedError where there will be none."""
        while True:
            try:
                response = self._parser.next_response()
                if response is None and self._ended and not self._reset:
                    response = self._parser.end()
            except codec.BadMessageError as problem:
                raise NodeClosedError(f"no answer in the protocol: {problem}") from None
            if response is not None:
                if self._has_carried and is_unframed(response.status, response.headers):
                    raise NodeClosedError("an answer without a length on a kept connection")
                self._has_carried = True
                self._keeps = response.keep_alive
                told_s = keep_alive_s(response.headers)
                self._idle_s = IDLE_S if told_s is None else told_s
                return response
            await self._more()

    async def read_data(self) -> tuple[bytes, bool]:
        """The next bytes of the body, and whether it ends with them; NodeClosedError where it breaks off."""
        while True:
            try:
                data, over = self._parser.next_data()
            except codec.BadMessageError as problem:
                raise NodeClosedError(f"no body in the protocol: {problem}") from None
            if data or over:
                return data, over
            if self._ended and not self._reset and self._parser.end() is not None:
                return b"", True
            await self._more()

    async def _more(self) -> None:
        """Wait until something has come."""
        if self._ended:
            raise NodeClosedError("the node closed the connection")
        if self._paused and self._transport is not None:
            self._paused = False
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
        """The answer is whole: whether the connection can carry another request."""
        self._in_use = False
        self.on_heard = None
        self.idle_since_s = now_s
        broken = self._ended or self._paused or self._parser.begun or self.is_suspect
        if broken or not self._keeps:
            self.close()
            return False
        return True

    def is_stale(self, now_s: float) -> bool:
        """Whether the node may close the idle connection soon."""
        margin_s = min(IDLE_MARGIN_S, IDLE_MARGIN_PART * self._idle_s)
        return now_s >= self.idle_since_s + self._idle_s - margin_s

    def close(self) -> None:
        """Drop the connection, and with it what the node still does for it."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()
        self._wake()
