"""A relay on loopback that stands in the way of one link, and can hold, slow, reset or refuse what passes.

A cut is silent, as a network's is: connects are taken and nothing comes through, bytes on their way wait,
and both ends go on believing in the connection. One way can be cut by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

CHUNK = 65536


@dataclass
class Way:
    """What one direction does to bytes."""

    open: asyncio.Event = field(default_factory=asyncio.Event)
    delay_s: float = 0.0
    lose: float = 0.0  # share of chunks that come a retransmission later
    lost_s: float = 0.3


class Relay:
    """One link: whoever connects to `port` is led to `target`."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.out = Way()
        self.back = Way()
        self.out.open.set()
        self.back.open.set()
        self.port = 0
        self._refusing = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._chunks = 0

    async def start(self) -> Relay:
        """Listen."""
        self._server = await asyncio.start_server(self._came, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def cut(self, out: bool = True, back: bool = True) -> None:
        """Let nothing through, in these directions."""
        if out:
            self.out.open.clear()
        if back:
            self.back.open.clear()

    def heal(self) -> None:
        """Let all through again, at once and whole."""
        for way in (self.out, self.back):
            way.open.set()
            way.delay_s = way.lose = 0.0

    def refuse(self, on: bool) -> None:
        """Break what there is and refuse every further connect with a reset, or no more."""
        self._refusing = on
        if on:
            self.reset()

    def reset(self) -> None:
        """Reset every connection."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.transport.abort()

    async def stop(self) -> None:
        """Be gone."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _came(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if self._refusing:
                self.reset()
                return
            await self.out.open.wait()
            there, to = await asyncio.open_connection(*self.target)
            self._writers.add(to)
            try:
                await asyncio.gather(self._pass(reader, to, self.out), self._pass(there, writer, self.back))
            finally:
                self._writers.discard(to)
                to.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
            self._tasks.discard(task)

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        while True:
            data = await reader.read(CHUNK)
            await way.open.wait()
            if way.delay_s:
                await asyncio.sleep(way.delay_s)
            self._chunks += 1
            if way.lose and (self._chunks * 0.618034) % 1 < way.lose:
                await asyncio.sleep(way.lost_s)
            if not data:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
