"""Serve HTTP/1.1 for the stand-ins of a trial: discovery and ledger nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

Response = tuple[int, bytes]
"""Status and body."""


@dataclass(frozen=True, slots=True)
class Request:
    """Hold a request as a stand-in has parsed it."""

    method: str
    target: str
    headers: Mapping[str, str]  # names in lower case
    body: bytes


class HttpStub:
    """Serve HTTP/1.1 on the loopback address for one stand-in."""

    def __init__(self, respond: Callable[[Request], Awaitable[Response]]) -> None:
        self._respond = respond
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen: at any free port first, at the same one after a stop."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in head[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, response_body = await self._respond(Request(method, target, headers, body))
                head_bytes = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(response_body))
                writer.write(head_bytes + response_body)
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass  # the client closed the connection, or the trial is over
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
