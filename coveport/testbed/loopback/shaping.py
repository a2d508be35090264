"""Connections with a way in between: what passes is handed on later, in order, or held for a while."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from coveport.net.transport import Net

Carry = Callable[[Any], object]


class Way:
    """One direction of a connection: what is under way, in order, with the time at which it arrives."""

    __slots__ = ("_loop", "_delay_s", "_queue", "_last", "_timer", "_held", "bytes", "put_s")

    def __init__(self, loop: asyncio.AbstractEventLoop, delay_s: Callable[[], float]) -> None:
        self._loop = loop
        self._delay_s = delay_s
        self._queue: deque[tuple[float, float, int, Carry, Any]] = deque()
        self._last = 0.0
        self._timer: asyncio.Handle | None = None
        self._held = False
        self.bytes = 0  # under way
        self.put_s = 0.0  # loop time at which what is being handed on was put in

    def wait(self, seconds: float) -> None:
        """What comes next arrives so much later at the earliest than what is under way."""
        self._last += seconds

    def put(self, carry: Carry, what: Any, size: int = 0) -> None:
        """Call `carry(what)` when it has come through, after all that was put before."""
        now = self._loop.time()
        due = self._last = max(self._last, now + self._delay_s())
        if due <= now and not self._queue and not self._held:
            self.put_s = now
            carry(what)
            return
        self.bytes += size
        self._queue.append((due, now, size, carry, what))
        if self._timer is None and not self._held:
            self._timer = self._loop.call_at(due, self._pump)

    def hold(self, on: bool) -> None:
        """Hand nothing on, or go on with what was held."""
        if on == self._held:
            return
        self._held = on
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not on and self._queue:
            self._timer = self._loop.call_soon(self._pump)

    def clear(self) -> None:
        """Lose all that is under way."""
        self._queue.clear()
        self.bytes = 0

    def _pump(self) -> None:
        self._timer = None
        queue, now = self._queue, self._loop.time()
        while queue and not self._held:
            due, self.put_s, size, carry, what = queue[0]
            if due > now:
                if self._timer is None:
                    self._timer = self._loop.call_at(due, self._pump)
                return
            queue.popleft()
            self.bytes -= size
            carry(what)


class Shaped(asyncio.Transport):
    """What a stand-in holds of a connection; its bytes, ends and resets take the way's time, in order.

    Extra information beside the socket's: `handed_ms`, the time of the day at which the other side handed
    over what is being delivered.
    """

    def __init__(self, wire: Wire) -> None:
        super().__init__()
        self._wire = wire

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """As a socket transport's, and `handed_ms`."""
        if name == "handed_ms":
            return self._wire.day_ms_of(self._wire.inward.put_s)
        return self._wire.real.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Whether this side has closed, or has seen the connection end."""
        return self._wire.over

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send; after the end it is lost."""
        self._wire.write(bytes(data))

    def write_eof(self) -> None:
        """End this side's sending, behind what has been written."""
        self._wire.end()

    def can_write_eof(self) -> bool:
        """It can."""
        return True

    def close(self) -> None:
        """Close behind what has been written; nothing more is received."""
        self._wire.close(abort=False)

    def abort(self) -> None:
        """Close without flushing below; what has been written and is under way still arrives before."""
        self._wire.close(abort=True)

    def pause_reading(self) -> None:
        """Take nothing more in."""
        self._wire.pause(True)

    def resume_reading(self) -> None:
        """Go on."""
        self._wire.pause(False)

    def is_reading(self) -> bool:
        """Whether it takes in what comes."""
        return not self._wire.over and not self._wire.paused

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """When the protocol is told to pause its writing."""
        self._wire.real.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self) -> int:
        """Bytes under way, or waiting for the other side to read."""
        return self._wire.outward.bytes + self._wire.real.get_write_buffer_size()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Another protocol from here on."""
        self._wire.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """The protocol."""
        return self._wire.protocol


class Wire(asyncio.Protocol):
    """Sits on the real connection and puts a way on each direction."""

    real: asyncio.Transport

    def __init__(
        self,
        net: Net,
        protocol: asyncio.BaseProtocol,
        delay_s: Callable[[], float],
        *,
        held: Callable[[], bool] = lambda: False,
        wanted: Callable[[], bool] = lambda: True,
        gone: Callable[[Wire], object] = lambda _: None,
        day_ms_of: Callable[[float], float] = lambda s: s * 1000,
    ) -> None:
        """As the connection comes up: `held` tells whether nothing passes, `wanted` whether it is taken.

        `gone` is told when it is no more. `day_ms_of` turns loop time into the day's.
        """
        self._net = net
        self.protocol = protocol
        self._delay_s = delay_s
        self.day_ms_of = day_ms_of
        self._is_held = held
        self._is_wanted = wanted
        self._gone = gone
        self.inward = Way(net.loop, delay_s)
        self.outward = Way(net.loop, delay_s)
        self.shaped = Shaped(self)
        self._up = False  # the stand-in knows of it
        self.over = False  # for the stand-in: it has closed, or was told of the end
        self.paused = False  # by the stand-in
        self._made = False
        self._held = False  # by the ground
        self._ended = False  # the other side's sending
        self._broken = False  # the real connection is no more

    # The real connection.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It came up, on this machine at once: the ways there, back and there again are made up for here."""
        assert isinstance(transport, asyncio.Transport)
        self.real = transport
        self._made = True
        self.hold(self._is_held())
        self.inward.put(self._come_up, None)
        self.inward.wait(self._delay_s() + self._delay_s())

    def data_received(self, data: bytes) -> None:
        """Bytes came out of the socket."""
        if not self.over:
            self.inward.put(self._arrive, data, len(data))

    def eof_received(self) -> bool:
        """The other side has ended its sending; ours goes on until the stand-in closes."""
        self._ended = True
        self.inward.put(self._arrive_end, None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """The real connection is no more: what is under way to the other side is lost."""
        self._broken = True
        self.outward.clear()
        self.inward.put(self._arrive_lost, exc)

    def pause_writing(self) -> None:
        """The other side does not read."""
        if self._up and not self.over:
            self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """It does again."""
        if self._up and not self.over:
            self.protocol.resume_writing()

    # What has come through, to the stand-in.

    def _come_up(self, _: None) -> None:
        if self._is_wanted():
            self._up = True
            self.protocol.connection_made(self.shaped)
        else:  # its process died meanwhile, and can't reset what it never knew of
            self._net.reset(self.shaped)

    def _arrive(self, data: bytes) -> None:
        if self.over:
            return
        if isinstance(self.protocol, asyncio.BufferedProtocol):
            view = memoryview(data)
            while view and not self.over:
                space = memoryview(self.protocol.get_buffer(len(view)))
                size = min(len(space), len(view))
                space[:size] = view[:size]
                self.protocol.buffer_updated(size)
                view = view[size:]
        else:
            assert isinstance(self.protocol, asyncio.Protocol)
            self.protocol.data_received(data)

    def _arrive_end(self, _: None) -> None:
        if not self.over:
            assert isinstance(self.protocol, asyncio.Protocol | asyncio.BufferedProtocol)
            if not self.protocol.eof_received():
                self.close(abort=False)

    def _arrive_lost(self, exc: Exception | None) -> None:
        self._gone(self)
        if not self.over:
            self.over = True
            self.protocol.connection_lost(exc)

    # What the stand-in does.

    def write(self, data: bytes) -> None:
        """See Shaped."""
        if data and not self.over and not self._broken:
            self.outward.put(self._send, data, len(data))

    def end(self) -> None:
        """See Shaped."""
        if not self.over and not self._broken:
            self.outward.put(self._send_end, None)

    def close(self, *, abort: bool) -> None:
        """See Shaped."""
        if self.over:
            return
        self.over = True
        self._flow()
        if not self._broken:
            self.outward.put(self._send_abort if abort else self._send_close, None)
        if self._up:
            self._net.loop.call_soon(self.protocol.connection_lost, None)

    def pause(self, on: bool) -> None:
        """See Shaped."""
        self.paused = on
        self._flow()

    # What has come through, to the other side.

    def _send(self, data: bytes) -> None:
        if not self.real.is_closing():
            self.real.write(data)

    def _send_end(self, _: None) -> None:
        if not self.real.is_closing():
            self.real.write_eof()

    def _send_close(self, _: None) -> None:
        self.real.close()

    def _send_abort(self, _: None) -> None:
        self.real.abort()

    # The ground.

    def hold(self, on: bool) -> None:
        """Let nothing through in either direction for now; what was held goes on, in order, once it is over.

        The socket is read all the same, so that it stays known when the other side handed something over.
        """
        if self._made:
            self._held = on
            self.outward.hold(on)
            self._flow()

    def _flow(self) -> None:
        paused = self.paused and not self.over
        self.inward.hold(self._held or paused)
        # Guards against a second end: to read on behind one would bring it again.
        if not self._ended and not self._broken:
            if paused:
                self.real.pause_reading()
            else:
                self.real.resume_reading()

    def cut(self) -> None:
        """End it now, whatever is under way (the lab closes)."""
        self.inward.clear()
        self.outward.clear()
        self.over = True
        if self._made and not self._broken:
            self.real.abort()


class ShapedNet(Net):
    """As `Net`; what it does at a connection travels behind what was written before."""

    def is_quiet(self, transport: asyncio.Transport) -> bool:
        """Whether nothing has come that the stand-in has not got: on the way counts as not come."""
        if isinstance(transport, Shaped):
            return not transport.is_closing()
        return super().is_quiet(transport)

    def read_now(self, transport: asyncio.Transport) -> None:
        """Give the protocol what waits there; what is on the way here comes when it comes."""
        if not isinstance(transport, Shaped):
            super().read_now(transport)

    def shut_down(self, transport: asyncio.Transport) -> None:
        """End both directions."""
        if isinstance(transport, Shaped):
            transport.write_eof()
        else:
            super().shut_down(transport)
