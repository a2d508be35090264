"""One end of a simulated connection, as asyncio's users see it: a transport."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from coveport.testbed.simulated_network.sockets import END, SimulatedSocket


class Side(SimulatedSocket):
    """A transport on a simulated socket."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """`peername`, `sockname`, and what only this ground can tell, times in ms of the day.

        `handed_ms`: when what is being read was handed over at the other end. `came_ms`: when it came to this
        machine, or would have but for a window that we kept full. `cut_short`: whether something written here
        will not come whole, as the network breaks the connection.
        """
        if name == "handed_ms":
            return (self._handed_s - self.network.start_s) * 1000
        if name == "came_ms":
            return (self._came_s - self.network.start_s) * 1000
        if name == "cut_short":
            return self._cut_short
        if name == "peername":
            return (self.there.address, self.number)
        if name == "sockname":
            return (self.here.address, self.number)
        return default

    def is_closing(self) -> bool:
        """Whether it is closed, or will be."""
        return self._closing

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Read into another protocol from now on."""
        self._protocol = protocol
        self._buffered = protocol if isinstance(protocol, asyncio.BufferedProtocol) else None

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Who reads here."""
        assert self._protocol is not None
        return self._protocol

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """How much may stand with us before the protocol is told to pause."""
        self._high = 64 * 1024 if high is None else high

    def get_write_buffer_size(self) -> int:
        """Bytes that still stand with us."""
        return self._unsent_bytes

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send; what the window has no room for stands with us. RuntimeError after `write_eof`."""
        if self._eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self._lost or not data:
            return
        if self._shut or self._reset:
            self._fail()
            return
        if self._breakable and not self._draw_break(len(data)):
            return
        self._unsent.append((bytes(data), self.world.now))
        self._unsent_bytes += len(data)
        self._push()
        if self._unsent_bytes > self._high and not self._told_pause:
            self._told_pause = True
            if self._protocol is not None:
                self._protocol.pause_writing()

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        """Send all of them."""
        self.write(b"".join(list_of_data))

    def can_write_eof(self) -> bool:
        """One direction can be ended alone."""
        return True

    def write_eof(self) -> None:
        """End our direction once all is sent."""
        if not (self._closing or self._eof):
            self._eof = True
            self._push()

    def close(self) -> None:
        """Read nothing more, and close once all is sent."""
        if not self._closing:
            self._closing = True
            if not self._unsent:
                self._finish(None)

    def abort(self) -> None:
        """Close; what stands with us is thrown away."""
        self._finish(None)

    def shut_down(self) -> None:
        """End both directions of the socket now."""
        if not (self._shut or self._reset or self._closed):
            self._shut = True
            self._send_end()
            self._inbox.append((END, self.world.now, self.world.now))
            self._net.process.call_soon(self._read)

    def send_reset(self) -> None:
        """Close with a reset."""
        self._linger = False
        self._finish(None)

    def pause_reading(self) -> None:
        """Read nothing for now."""
        self._paused = True

    def resume_reading(self) -> None:
        """Read on."""
        if self._paused:
            self._paused = False
            if self._inbox:
                self._net.process.call_soon(self._read)

    def is_reading(self) -> bool:
        """Whether it reads."""
        return not self._paused and not self._closing

    @property
    def quiet(self) -> bool:
        """Whether nothing has come that is not read, and no end."""
        return not (self._inbox or self._end_read or self._closing)

    @property
    def over(self) -> bool:
        """Whether the other end has ended or reset it, read or not."""
        return (
            self._closing
            or self._reset
            or self._end_read
            or any(type(what) is not bytes for what, _, _ in self._inbox)
        )

    @property
    def is_reset(self) -> bool:
        """Whether a reset was sent, or has come."""
        return self._reset
