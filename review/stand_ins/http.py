"""HTTP/1.1 on asyncio streams: enough for sound clients and servers on loopback."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

MAX_LINE_BYTES = 1 << 20


@dataclass(slots=True)
class Message:
    """A request or a response, read as a whole."""

    start: str  # the first line
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def closes(self) -> bool:
        """Whether the peer closes the connection after this message."""
        return self.headers.get("connection", "").lower() == "close"


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None where the connection ended before it began.

    Raises OSError or asyncio.IncompleteReadError where it broke off.
    """
    first = await reader.readline()
    if not first:
        return None
    headers: dict[str, str] = {}
    while (line := (await reader.readline()).decode("latin-1")) not in ("\r\n", ""):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(first.decode("latin-1").strip(), headers)
    if "chunked" in headers.get("transfer-encoding", ""):
        message.body = await _read_chunks(reader)
    else:
        message.body = await reader.readexactly(int(headers.get("content-length", "0")))
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"0", 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


def write_message(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with its length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


@dataclass(slots=True)
class ClientConnection:
    """A client's connection, kept over many requests; opened anew where the peer has closed it."""

    address: tuple[str, int]
    opened: int = 0  # connections so far
    _reader: asyncio.StreamReader | None = field(default=None)
    _writer: asyncio.StreamWriter | None = field(default=None)

    @property
    def is_open(self) -> bool:
        """Whether the next request goes on a connection that has carried one."""
        return self._writer is not None

    async def call(
        self, start: str, headers: dict[str, str], body: bytes = b"", timeout_s: float = 5.0
    ) -> Message | str:
        """Send a request; return the response, or why there is none."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self.address, limit=MAX_LINE_BYTES
                    )
                    self.opened += 1
                assert self._reader is not None
                self._writer.write(write_message(start, headers, body))
                await self._writer.drain()
                message = await read_message(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            return f"no response: {type(error).__name__}"
        if message is None:
            self.close()
            return "no response: closed"
        if message.closes:
            self.close()
        return message

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
