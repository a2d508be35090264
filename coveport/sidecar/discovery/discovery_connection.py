"""A connection to discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport import http1
from coveport.sidecar.telemetry.log import Log

MAX_LIST_BYTES = 4 * 1024 * 1024  # a list of endpoints may be larger than an operation's body
READ_BYTES = 16 * 1024


class DiscoveryConnection(asyncio.BufferedProtocol):
    """Carries one call at a time; `on_response` gets its response, or None where the connection has ended."""

    def __init__(self, on_response: Callable[[http1.Response | None], None], log: Log) -> None:
        self._on_response = on_response
        self._log = log
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._parser = http1.ResponseParser(MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport: the client writes its calls there."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Read a part of a response."""
        try:
            self._parser.feed(self._buffer[:nbytes])
            response = self._parser.next_response()
        except http1.RemoteProtocolError as error:
            self._log.note("endpoint list", f"garbled answer: {error}")
            self._on_response(None)
            return
        if response is not None:
            self._on_response(response)

    def eof_received(self) -> bool:
        """Hand on the response that the end completes, if any."""
        self._on_response(self._parser.receive_eof())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end."""
        self._on_response(None)
