"""Sends one HTTP/1.1 request on a new connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from coveport.http1 import RemoteProtocolError, Response, ResponseParser, write_request
from coveport.net.address import Address
from coveport.net.transport import Net

MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024  # limits the memory that a command uses if its peer is faulty


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request; if the request is sent again, its bytes are the same."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """No complete response was received: the request may or may not have been carried out."""

    reason: str


async def send_request(
    net: Net,
    address: Address,
    request: HttpRequest,
    timeout_s: float,
    may_send: Callable[[], bool] = lambda: True,
) -> Response | RequestFailure:
    """Send a request and wait for its response; the time-out includes the connect.

    `may_send` is called once after the connect, right before the request is written; False withdraws it.
    """
    exchange = _Exchange(net, request, f"{address[0]}:{address[1]}", may_send)
    try:
        async with asyncio.timeout(timeout_s):
            await net.dial(lambda: exchange, address)
            return await exchange.outcome
    except TimeoutError:
        return RequestFailure(f"no response within {timeout_s:g} s")
    except OSError as error:
        return RequestFailure(error.strerror or str(error) or type(error).__name__)
    finally:
        exchange.close()


class _Exchange(asyncio.Protocol):
    """Writes one request and reads its response, which completes `outcome`."""

    def __init__(self, net: Net, request: HttpRequest, host: str, may_send: Callable[[], bool]) -> None:
        headers = (("Host", host), ("Connection", "close"), *request.headers)
        self._request = write_request(request.method, request.path, headers, request.body)
        self._parser = ResponseParser(MAX_RESPONSE_BYTES)
        self._net = net
        self._may_send = may_send
        self._transport: asyncio.Transport | None = None
        self.outcome: asyncio.Future[Response | RequestFailure] = net.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.outcome.done():  # the request timed out or was cancelled during the connect
            return
        if self._may_send():
            transport.write(self._request)
        else:
            self._finish(RequestFailure("the request was withdrawn before it was written"))

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            response = self._parser.next_response()
        except RemoteProtocolError as error:
            self._finish(RequestFailure(f"malformed response: {error}"))
            return
        if response is not None:
            self._finish(response)

    def connection_lost(self, exc: Exception | None) -> None:
        response = self._response_at_end() if exc is None else None
        self._finish(response or RequestFailure("the connection was closed before a complete response"))

    def _response_at_end(self) -> Response | None:
        """Return the response that ends with the connection, or None if there is no such response."""
        try:
            return self._parser.receive_eof()
        except RemoteProtocolError:
            return None

    def _finish(self, outcome: Response | RequestFailure) -> None:
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def close(self) -> None:
        """Close the connection at once; without an outcome reset it, which discards data in transit."""
        has_outcome = self.outcome.done() and not self.outcome.cancelled()
        self.outcome.cancel()
        if self._transport is None:
            return
        if has_outcome:
            self._transport.abort()
        else:
            self._net.reset(self._transport)
