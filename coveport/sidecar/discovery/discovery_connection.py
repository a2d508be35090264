"""One connection to discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport import http1
from coveport.sidecar.telemetry.log import Log

MAX_LIST_BYTES = 4 * 1024 * 1024  # a list of endpoints may be larger than an operation's body
READ_BYTES = 16 * 1024


class DiscoveryConnection(asyncio.BufferedProtocol):
    """Carries one call at a time; `on_response` gets its response, or None when the connection ends."""

    def __init__(self, on_response: Callable[[http1.Response | None], None], log: Log) -> None:
        self._on_response = on_response
        self._log = log
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._parser = http1.ResponseParser(MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, to which the client writes its calls."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read."""
        try:
            self._parser.feed(self._buffer[:nbytes])
            response = self._parser.next_response()
        except http1.RemoteProtocolError as error:
            self._log.note("endpoint list", f"malformed response: {error}")
            self._on_response(None)
            return
        if response is not None:
            self._on_response(response)

    def eof_received(self) -> bool:
        """Pass on the response that the end of stream completes, if any."""
        self._on_response(self._parser.receive_eof())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self._on_response(None)
