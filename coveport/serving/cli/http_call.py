"""One HTTP call on a connection of its own."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

from coveport.http1.codec import BadMessageError, Response, ResponseParser, write_request
from coveport.net.address import Address
from coveport.net.transport import Net

ANSWER_MOST_BYTES: Final = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpCall:
    """What is asked; sent again, it is the same to the byte."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Failed:
    """No whole answer came: what was asked may have been done or not."""

    reason: str


async def send_call(net: Net, address: Address, call: HttpCall, timeout_s: float) -> Response | Failed:
    """Send a call and wait for its answer, so long at the most."""
    exchange = _Exchange(net, call, f"{address[0]}:{address[1]}")
    try:
        async with asyncio.timeout(timeout_s):
            await net.dial(lambda: exchange, address)
            return await exchange.answer
    except TimeoutError:
        return Failed(f"no answer within {timeout_s:g} s")
    except OSError as problem:
        return Failed(problem.strerror or str(problem) or type(problem).__name__)
    finally:
        exchange.close()


class _Exchange(asyncio.Protocol):
    """Sends one request, reads one answer."""

    def __init__(self, net: Net, call: HttpCall, host: str) -> None:
        headers = (("Host", host), ("Connection", "close"), *call.headers)
        self._request = write_request(call.method, call.path, headers, call.body)
        self._parser = ResponseParser(ANSWER_MOST_BYTES)
        self._transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[Response | Failed] = net.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            self._finish(self._parser.next_response())
        except BadMessageError as problem:
            self._finish(Failed(f"the answer is malformed: {problem}"))

    def connection_lost(self, exc: Exception | None) -> None:
        try:
            whole = self._parser.end() if exc is None else None
        except BadMessageError:
            whole = None
        self._finish(whole or Failed("the connection ended without a whole answer"))

    def _finish(self, outcome: Response | Failed | None) -> None:
        if outcome is not None and not self.answer.done():
            self.answer.set_result(outcome)

    def close(self) -> None:
        """Drop the connection."""
        if self._transport is not None:
            self._transport.abort()
