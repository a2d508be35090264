"""Crowds of clients that don't behave: what each kind sends, and connections that send it and stay open."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from small_deployment import HOST, LoweredLimits

from coveport.net.address import Address

PIECE_BYTES = 64 * 1024
LARGE_CHUNK_BYTES = 256 * 1024
SMALL_CHUNK_BYTES = 64
EXCESS = 2  # the bodies of a crowd together, as a multiple of the memory
OVER_LIMIT = 4  # bodies over the limit, as a multiple of the limit
SENDING_TIMEOUT_S = 120.0  # only ends a test that would otherwise hang


class Pace(Enum):
    """How the bytes of a crowd are sent."""

    WHOLE = "one client after the other, all bytes at once"
    PIECES = "all clients in turn, a piece each"


@dataclass(frozen=True, slots=True)
class Request:
    """The bytes that one client sends: a head, and the pieces of a body."""

    head: bytes
    pieces: Callable[[], Iterator[bytes]]


def head(target: str, *headers: str) -> bytes:
    """Return the head of a POST request."""
    lines = [f"POST {target} HTTP/1.1", f"Host: {HOST}", "Coveport-Try-Id: m", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def split(length: int, size: int) -> Iterator[int]:
    """Return the sizes of the pieces of a body."""
    for begin in range(0, length, size):
        yield min(size, length - begin)


def sized_body(target: str, length: int) -> Request:
    """Announce a body, and stop one byte short of its end."""

    def pieces() -> Iterator[bytes]:
        for size in split(length - 1, PIECE_BYTES):
            yield bytes(size)

    return Request(head(target, f"Content-Length: {length}"), pieces)


def chunked_body(target: str, length: int, chunk_bytes: int) -> Request:
    """Send chunks, and stop short of the last."""

    def pieces() -> Iterator[bytes]:
        chunk = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
        per_piece = max(1, PIECE_BYTES // len(chunk))
        for count in split(length // chunk_bytes, per_piece):
            yield chunk * count

    return Request(head(target, "Transfer-Encoding: chunked"), pieces)


class Kind(Enum):
    """What the clients of a crowd send."""

    SIZED = "large bodies of a legal size with a length, short of their end"
    LARGE_CHUNKS = "large bodies of a legal size in large chunks, short of their end"
    SMALL_CHUNKS = "large bodies of a legal size in very small chunks, short of their end"
    OVER_LIMIT_ANNOUNCED = "bodies far over the limit, announced by their length"
    OVER_LIMIT_SENT = "bodies far over the limit, in chunks"

    def request(self, target: str, body_bytes: int) -> Request:
        """Return what one client sends; `body_bytes`: the largest body within the limits."""
        if self is Kind.SIZED:
            return sized_body(target, body_bytes)
        if self is Kind.LARGE_CHUNKS:
            return chunked_body(target, body_bytes, LARGE_CHUNK_BYTES)
        if self is Kind.SMALL_CHUNKS:
            return chunked_body(target, body_bytes, SMALL_CHUNK_BYTES)
        if self is Kind.OVER_LIMIT_ANNOUNCED:
            return sized_body(target, OVER_LIMIT * body_bytes)
        return chunked_body(target, OVER_LIMIT * body_bytes, LARGE_CHUNK_BYTES)


def crowd_size(limits: LoweredLimits) -> int:
    """Return the number of clients whose bodies together exceed the memory."""
    return math.ceil(EXCESS * limits.memory_bytes / limits.clients.body_bytes)


class CrowdClient(asyncio.Protocol):
    """One connection, which sends what it is told to, and reads only if it should."""

    def __init__(self, *, reads: bool = True) -> None:
        self._reads = reads
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self.received = bytearray()
        self.answered = asyncio.Event()  # set when bytes arrive, and when the connection ends

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        if not self._reads:
            transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        self.received += data
        self.answered.set()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._writable.set()
        self.answered.set()

    async def write(self, data: bytes) -> None:
        """Send bytes, and wait until the kernel has them or the connection is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            await self._writable.wait()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()


@dataclass(slots=True)
class Crowd:
    """Open connections of clients that don't behave, to one address."""

    address: Address
    clients: list[CrowdClient] = field(default_factory=list)

    async def connect(self, count: int, *, reads: bool = True) -> None:
        """Open connections; those that are refused are left out."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            client = CrowdClient(reads=reads)
            with contextlib.suppress(OSError):
                await loop.create_connection(lambda made=client: made, *self.address)  # type: ignore[misc]
                self.clients.append(client)

    async def send(self, request: Request, pace: Pace) -> None:
        """Send one request on each connection, as far as the peer takes it."""
        async with asyncio.timeout(SENDING_TIMEOUT_S):
            if pace is Pace.WHOLE:
                whole = request.head + b"".join(request.pieces())
                await asyncio.gather(*(client.write(whole) for client in self.clients))
                return
            await self.write_all(request.head)
            for piece in request.pieces():
                await self.write_all(piece)

    async def write_all(self, data: bytes) -> None:
        """Send the same bytes on each connection."""
        await asyncio.gather(*(client.write(data) for client in self.clients))

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.close()
