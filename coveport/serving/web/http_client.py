"""One HTTP/1.1 request on a connection of its own."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

from coveport.http1 import RemoteProtocolError, Response, ResponseParser, write_request
from coveport.net.address import Address
from coveport.net.transport import Net

MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024  # bounds what a faulty peer can make a verb hold


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request; sending it again sends the same bytes."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """No complete response came: the request may have been carried out or not."""

    reason: str


async def send_request(
    net: Net, address: Address, request: HttpRequest, timeout_s: float
) -> Response | RequestFailure:
    """Send a request and wait for its response; connecting counts toward the time-out."""
    exchange = _Exchange(net, request, f"{address[0]}:{address[1]}")
    try:
        async with asyncio.timeout(timeout_s):
            await net.dial(lambda: exchange, address)
            return await exchange.outcome
    except TimeoutError:
        return RequestFailure(f"no answer within {timeout_s:g} s")
    except OSError as error:
        return RequestFailure(error.strerror or str(error) or type(error).__name__)
    finally:
        exchange.close()


class _Exchange(asyncio.Protocol):
    """Writes one request and reads its response; `outcome` is done by then."""

    def __init__(self, net: Net, request: HttpRequest, host: str) -> None:
        headers = (("Host", host), ("Connection", "close"), *request.headers)
        self._request = write_request(request.method, request.path, headers, request.body)
        self._parser = ResponseParser(MAX_RESPONSE_BYTES)
        self._transport: asyncio.Transport | None = None
        self.outcome: asyncio.Future[Response | RequestFailure] = net.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            response = self._parser.next_response()
        except RemoteProtocolError as error:
            self._finish(RequestFailure(f"the answer is malformed: {error}"))
            return
        if response is not None:
            self._finish(response)

    def connection_lost(self, exc: Exception | None) -> None:
        response = self._response_at_end() if exc is None else None
        self._finish(response or RequestFailure("the connection ended without a whole answer"))

    def _response_at_end(self) -> Response | None:
        """Return the response whose length only the end of the connection tells, if there is one."""
        try:
            return self._parser.receive_eof()
        except RemoteProtocolError:
            return None

    def _finish(self, outcome: Response | RequestFailure) -> None:
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
