"""A simulated socket: what is sent, held up, segmented or broken on its way, and what has come."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from typing import Protocol

from coveport.testbed.simulated_network.harsh import Harsh
from coveport.testbed.simulated_network.place import Place
from coveport.testbed.simulated_network.world import Handle, Process, World

WINDOW = 256 * 1024  # bytes of one direction that are sent and not read
END, RESET = object(), object()


class SocketNetwork(Protocol):
    """Describe what a socket needs of the network around it; see `network.Network`."""

    @property
    def world(self) -> World:
        """Return the world whose clock it runs on."""

    @property
    def harsh(self) -> Harsh | None:
        """Return the draws of a harsh network; None where it is not harsh."""

    @property
    def start_s(self) -> float:
        """Return when the day began, in seconds of the world."""

    @property
    def held_sockets(self) -> dict[SimulatedSocket, None]:
        """Return the sockets that wait for an open path; a socket adds itself."""

    def held(self, one: Place, other: Place, /) -> bool:
        """Return whether nothing passes between two machines for now."""

    def delay_s(self, one: Place, other: Place, /) -> float:
        """Return the delay of the next message between two machines, in seconds."""

    def base_s(self, one: Place, other: Place, /) -> float:
        """Return the least delay between two machines, in seconds."""

    def note(self, text: bytes, /) -> None:
        """Add `text` to the trace of all that was exchanged."""


class SocketOwner(Protocol):
    """Describe what a socket needs of the process that holds it; see `wires.VirtualNet`."""

    @property
    def process(self) -> Process:
        """Return the process."""

    @property
    def network(self) -> SocketNetwork:
        """Return the network that the process is on."""

    @property
    def read_chunk(self) -> int:
        """Return the most bytes read at once; 0: all."""

    def gave(self, side: SimulatedSocket, /) -> None:
        """Forget a socket that was closed."""


class SimulatedSocket(asyncio.Transport):
    """One end of a connection as the system keeps it; `side.Side` is the transport on it."""

    def __init__(self, net: SocketOwner, here: Place, there: Place, number: int) -> None:
        super().__init__()
        self._net = net
        self.network = net.network
        self.world = net.network.world
        self.here = here
        self.there = there
        self.number = number
        self.peer: SimulatedSocket | None = None
        self._protocol: asyncio.BaseProtocol | None = None
        self._buffered: asyncio.BufferedProtocol | None = None
        # The transport.
        self._unsent: deque[tuple[bytes, float]] = deque()  # with us, as the window is full; since when
        self._unsent_bytes = 0
        self._high = 64 * 1024
        self._told_pause = False
        self._eof = False  # write_eof was asked for
        self._paused = False
        self._reading = False
        self._handed_s = 0.0  # when what is being read now was handed over at the other end
        self._came_s = 0.0  # when it came, or would have if there had been room for it
        self._closing = False
        self._lost = False  # connection_lost is told, or about to be
        # The socket.
        self._out_bytes = 0  # sent and not read by the other end
        self._last_at = 0.0  # when the last message of this direction arrives
        # Sent, but the way is shut: with when, and how long the other end's window had kept it.
        self._held: deque[tuple[object, float, float]] = deque()
        self._came_back = 0  # how many of these, at the front, had been under way already
        # Arrived and not read: with when it was handed over, and when it came.
        self._inbox: deque[tuple[object, float, float]] = deque()
        self._end_sent = self._end_read = False
        self._shut = False  # shut down in both directions
        self._linger = True  # whether a close lets what was sent arrive
        self._reset = False  # one was sent, or has arrived
        self._closed = False
        # A harsh network.
        self._harsh = harsh = self.network.harsh
        self._breakable = harsh is not None and harsh.breaks and (here.far or there.far)
        self._window = WINDOW if harsh is None else harsh.window()
        self._unsaid = 0  # bytes read of which the other end does not know
        self._break_in = -1
        self._break_resets = False  # bytes still to be sent before a break; -1: none
        self._cut_short = False  # something written here never comes whole
        self._broken = self._bounced = False  # by the network; a reset for what was sent since is on its way
        self._merging: tuple[Handle, bytes, float, float] | None = None  # waits for the next until then

    def begin(self, protocol: asyncio.BaseProtocol) -> None:
        """The process has the connection now."""
        self.set_protocol(protocol)
        protocol.connection_made(self)
        if self._inbox and not self._closing:
            # As with asyncio, which reads after it has called what waits: who is accepted next is up by then.
            self._net.process.call_soon(self._net.process.call_soon, self._read)

    def _push(self) -> None:
        """Send what the window takes, then the end if it is asked for."""
        while self._unsent and self._out_bytes < self._window:
            data, since = self._unsent.popleft()
            room = self._window - self._out_bytes
            if len(data) > room:
                if 2 * room < self._window:
                    self._unsent.appendleft((data, since))
                    break  # nothing little is sent while more stands with us (RFC 9293, 3.8.6.2.1)
                self._unsent.appendleft((data[room:], since))
                data = data[:room]
            self._unsent_bytes -= len(data)
            self._out_bytes += len(data)
            if 0 <= self._break_in <= len(data):
                if self._break_in:
                    self._send(data[: self._break_in], since)
                self._break()
            else:
                self._break_in -= len(data) if self._break_in > 0 else 0
                self._send(data, since)
        if self._eof and not self._unsent:
            self._send_end()

    def _draw_break(self, size: int) -> bool:
        """Draw whether the network breaks the connection within what is written; False: it has already."""
        if self._broken:
            self._cut_short = True
            if not self._bounced:
                # Where the network has ended the connection, what is sent meets a reset.
                self._bounced = True
                trip_s = 2 * self.network.base_s(self.here, self.there)
                self.world.at(self.world.now + trip_s, self._arrive, RESET, self.world.now, 0.0)
            return False
        if self._break_in >= 0:
            self._cut_short = True
            return True
        assert self._harsh is not None
        found = self._harsh.break_at(size)
        if found is not None:
            self._break_in, self._break_resets = self._unsent_bytes + found[0], found[1]
            self._cut_short = found[0] < size
        return True

    def _break(self) -> None:
        """The network breaks the connection here: both ends see it, behind what is under way to them."""
        assert self.peer is not None
        what = RESET if self._break_resets else END
        self._break_in = -1
        self._send(what)
        self.peer._send(what)
        for side in (self, self.peer):
            side._broken = True
            side._unsent.clear()
            side._unsent_bytes = 0
            if side._closing:
                side._finish(None)

    def _room_made(self, amount: int) -> None:
        """The other end has read."""
        self._out_bytes -= amount
        if self._unsent or self._told_pause:
            self._net.process.call_soon(self._write_on)

    def _write_on(self) -> None:
        if self._lost or self._reset or not (self._unsent or self._told_pause):
            return
        self._push()
        if not self._unsent and self._told_pause:
            self._told_pause = False
            if self._protocol is not None:
                self._protocol.resume_writing()
        if self._closing and not self._unsent:
            self._finish(None)

    def _acknowledge(self, amount: int) -> None:
        """Let the other end know that there is room again."""
        peer = self.peer
        assert peer is not None
        if self._harsh is None or not self._harsh.windows:
            peer._room_made(amount)
            return
        self._unsaid += amount
        # Nothing is said of little room (RFC 9293, 3.8.6.2.2).
        if not self._inbox or 2 * self._unsaid >= peer._window:
            amount, self._unsaid = self._unsaid, 0
            base_s = self.network.base_s(self.here, self.there)
            self.world.at(self.world.now + base_s, peer._room_made, amount)

    def _send_end(self) -> None:
        if not self._end_sent:
            self._end_sent = True
            self._send(END)

    def _send(self, what: object, since: float | None = None) -> None:
        """Put something on the way; `since`: when it was written, if that was before now."""
        network = self.network
        now = self.world.now
        waited = 0.0 if since is None else now - since
        if self._broken:
            return
        if self._held or network.held(self.here, self.there):
            self._held.append((what, now, waited))
            network.held_sockets[self] = None
            return
        soonest = at = now + network.delay_s(self.here, self.there)
        if at < self._last_at:
            at = self._last_at
        self._last_at = at
        assert self.peer is not None
        if self._harsh is None:
            self.world.at(at, self.peer._arrive, what, now, waited)
        else:
            self._send_harshly(self._harsh, what, now, waited, soonest, at)

    def _send_harshly(
        self, harsh: Harsh, what: object, handed: float, waited: float, soonest: float, at: float
    ) -> None:
        """The same in segments, or together with the next message, as it is drawn.

        `soonest`: when it would come on its own, from which on it may be late; `at`: not before that.
        """
        world, peer = self.world, self.peer
        assert peer is not None
        waits_s = harsh.wait_s() if harsh.merges and type(what) is bytes else 0.0
        if self._merging is not None:
            handle, data, first_handed, due = self._merging
            self._merging = None
            if due > at:
                handle.cancel()
                waits_s = 0.0
                if type(what) is bytes:
                    what, handed = data + what, first_handed
                else:
                    world.at(at, peer._arrive, data, first_handed, 0.0)
            else:
                self._last_at = at = max(at, due)
        if type(what) is not bytes:
            world.at(at, peer._arrive, what, handed, waited)
        elif waits_s and not self._unsent:
            due = max(at, soonest + waits_s)
            self._merging = world.at(due, peer._arrive, what, handed, waited), what, handed, due
        elif harsh.splits:
            begin = 0
            for end, later_s in harsh.segments(len(what)):
                self._last_at = max(at, soonest + later_s)
                world.at(self._last_at, peer._arrive, what[begin:end], handed, waited)
                begin = end
        else:
            world.at(at, peer._arrive, what, handed, waited)

    def flush(self) -> None:
        """The way is open again."""
        held, self._held, self._came_back = self._held, deque(), 0
        if self._merging is not None:
            self._last_at = max(self._last_at, self._merging[3])
            self._merging = None
        for what, handed, waited in held:
            at = max(self.world.now + self.network.delay_s(self.here, self.there), self._last_at)
            self._last_at = at
            assert self.peer is not None
            self.world.at(at, self.peer._arrive, what, handed, waited)

    def _arrive(self, what: object, handed: float, waited: float) -> None:
        """Something has come to this machine; `waited`: how long our full window had kept it from coming."""
        if self.here.silent:  # it vanished while this was on its way
            assert self.peer is not None
            # In front of what was sent since: that did not even get under way.
            self.peer._held.insert(self.peer._came_back, (what, handed, waited))
            self.peer._came_back += 1
            self.network.held_sockets[self.peer] = None
            return
        if type(what) is bytes:
            self.network.note(b"%.6f %d " % (self.world.now, self.number) + what)
        else:
            self.network.note(
                b"%.6f %d %s" % (self.world.now, self.number, b"end" if what is END else b"reset")
            )
        if self._reset:
            return
        if self._closed or (self._shut and type(what) is bytes):
            if type(what) is bytes:  # nobody reads here any more
                self._reset = True
                self._send(RESET)
            return
        if what is RESET:
            self._reset = True
            if self._unsent and (self._paused or self._closing):
                self._net.process.call_soon(self._fail)
        came, most = self.world.now - waited, self._net.read_chunk
        if most and type(what) is bytes:
            self._inbox.extend((what[at : at + most], handed, came) for at in range(0, len(what), most))
        else:
            self._inbox.append((what, handed, came))
        if self._protocol is None or self._paused:
            return
        process = self._net.process
        if process.idle:
            process.run(self._read, ())
        else:
            process.call_soon(self._read)

    def _read(self) -> None:
        """Give the process what has come."""
        if self._reading:
            return
        self._reading = True
        try:
            # After an end asyncio reads nothing more, not even a reset.
            while self._inbox and not (self._paused or self._closing or self._end_read):
                what, self._handed_s, self._came_s = self._inbox.popleft()
                if type(what) is bytes:
                    self._give(what)
                elif what is END:
                    self._end_read = True
                    keep = False
                    if isinstance(self._protocol, asyncio.Protocol | asyncio.BufferedProtocol):
                        keep = bool(self._protocol.eof_received())
                    if not keep:
                        self.close()
                else:
                    self._fail()
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as problem:
            self._net.process.call_exception_handler(
                {"message": "Fatal error: protocol failed", "exception": problem, "transport": self}
            )
            self._finish(problem if isinstance(problem, Exception) else None)
        finally:
            self._reading = False

    def read_now(self) -> None:
        """Give the process the bytes that have come; an end is read in its turn."""
        while not (self._reading or self._paused or self._closing) and self._inbox:
            what = self._inbox[0][0]
            if type(what) is not bytes:
                return
            _, self._handed_s, self._came_s = self._inbox.popleft()
            self._give(what)

    def _give(self, data: bytes) -> None:
        """Let the protocol read as much as it has room for; the rest waits."""
        if self._buffered is None:
            assert isinstance(self._protocol, asyncio.Protocol)
            self._acknowledge(len(data))
            self._protocol.data_received(data)
            return
        room = memoryview(self._buffered.get_buffer(-1))
        count = min(len(room), len(data))
        room[:count] = data[:count]
        if count < len(data):
            self._inbox.appendleft((data[count:], self._handed_s, self._came_s))
        self._acknowledge(count)
        self._buffered.buffer_updated(count)

    def _fail(self) -> None:
        """The connection is broken, which a read or a write has shown."""
        if self._shut or self._end_read or any(what is END for what, _, _ in self._inbox):
            self._finish(BrokenPipeError(errno.EPIPE, "Broken pipe"))
        else:
            self._finish(ConnectionResetError(errno.ECONNRESET, "Connection reset by peer"))

    def _finish(self, problem: Exception | None) -> None:
        """Close in a later turn, as asyncio does, and tell the protocol, once."""
        if not self._lost:
            self._closing = self._lost = True
            self._unsent.clear()
            self._unsent_bytes = 0
            self._net.process.call_soon(self._end, problem)

    def _end(self, problem: Exception | None) -> None:
        try:
            if self._protocol is not None:
                self._protocol.connection_lost(problem)
        finally:
            self.close_socket()

    def close_socket(self) -> None:
        """The system closes our end: with a reset where something is unread, else with an end."""
        if self._closed:
            return
        self._closing = self._lost = self._closed = True
        self._net.gave(self)
        if self._reset:
            return
        if not self._linger or any(type(what) is bytes for what, _, _ in self._inbox):
            self._reset = True
            self._send(RESET)
        else:
            self._send_end()

    def give_up(self, half_open: bool) -> None:
        """It comes up, but nobody waits for it any more; `half_open`: the answer to our connect is late."""
        if half_open:
            self._last_at = 0.0  # the reset does not wait for that
            self.refuse()
        else:
            self.close_socket()

    def refuse(self) -> None:
        """The system closes our end with a reset."""
        self._linger = False
        self.close_socket()
