"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it. Standard library alone."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

Address = tuple[str, int]


class BrokenError(Exception):
    """The connection ended, or was reset, before the message was complete."""


@dataclass
class Message:
    """A request or a response; header names in lower case, the first value of each."""

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head; None where the connection ended before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenError("the connection ended in a head") from None
    except OSError as error:
        raise BrokenError(str(error)) from None
    lines = head[:-4].decode("latin-1").split("\r\n")
    message = Message(lines[0].split(" ", 2))
    for line in lines[1:]:
        name, _, value = line.partition(":")
        message.headers.setdefault(name.strip().lower(), value.strip())
    return message


async def read_body(reader: asyncio.StreamReader, message: Message, *, is_response: bool) -> None:
    """Read the body that the head declares."""
    try:
        if "content-length" in message.headers:
            message.body = await reader.readexactly(int(message.headers["content-length"]))
        elif "chunked" in message.headers.get("transfer-encoding", ""):
            message.body = await _read_chunks(reader)
        elif is_response:
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise BrokenError(str(error)) from None


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    chunks = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(chunks)
        chunks.append(data[:-2])


def write(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class ClientConnection:
    """A kept connection, one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.is_usable = True

    @classmethod
    async def open(cls, address: Address, timeout_s: float = 1.0) -> ClientConnection:
        """Connect."""
        async with asyncio.timeout(timeout_s):
            return cls(*await asyncio.open_connection(*address))

    async def call(self, data: bytes) -> Message:
        """Send a request and return its response; raise BrokenError or OSError where none comes whole."""
        try:
            self._writer.write(data)
            await self._writer.drain()
            message = await self._read()
        except BaseException:
            self.is_usable = False
            raise
        if message.headers.get("connection", "").lower() == "close":
            self.is_usable = False
        return message

    async def _read(self) -> Message:
        message = await read_head(self._reader)
        if message is None:
            raise BrokenError("closed without an answer")
        await read_body(self._reader, message, is_response=True)
        return message

    def close(self) -> None:
        """Close the connection."""
        self.is_usable = False
        self._writer.close()


async def call_once(
    address: Address,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message | None:
    """Send one request on a connection of its own; None where no whole response comes in time."""
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await ClientConnection.open(address, timeout_s)
            fields = {"Host": f"{address[0]}:{address[1]}", "Connection": "close", **(headers or {})}
            return await connection.call(write(f"{method} {path} HTTP/1.1", fields, body))
    except (TimeoutError, OSError, BrokenError, ValueError):
        return None
    finally:
        if connection is not None:
            connection.close()


async def call_control(
    addresses: list[Address],
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Message | None:
    """Call the control API as its callers do: the addresses in turn, a redirect followed twice."""
    for first in addresses:
        address = first
        for _ in range(3):
            answer = await call_once(address, method, path, headers, body)
            if answer is None or answer.status != 307:
                break
            target = answer.headers["location"].removeprefix("http://").partition("/")[0]
            host, _, port = target.rpartition(":")
            address = host, int(port)
        if answer is not None and answer.status not in (307, 408, 429) and answer.status < 500:
            return answer
    return None
