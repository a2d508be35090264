"""Connections kept in memory: what TCP shows its users, between processes of one world.

What is modelled, and what asyncio's users see of it: messages of one direction arrive in order, each after
the way's delay; what is sent but not read is bounded by a window, and what does not fit stays in the
sender's buffer, of which it is told; an end of one direction leaves the other open (RFC 9293, 3.6); bytes for
a connection that its process has closed are answered with a reset (RFC 9293, 3.10.7.4); a process that
closes a connection or dies ends it, with a reset where something was unread; a silent host or a cut holds
everything up, and connections that were waiting to come up meanwhile are reset. A transport closes its
socket a turn after it was told to, and a protocol has its connection two turns after it came up, as with
asyncio on Linux. A connect that finds a full queue is dropped and sent again after 1 s, 3 s, 7 s and so on
(RFC 6298, 2 and 5.7).

What a harsh network does beside (see `harsh`): a message comes in segments, or waits for the next and comes
with it as one; room in a window is told one way later; the network breaks a connection at a byte, which both
ends see as a reset or an end; connects come up late; parties accept slowly; a process reads little at once.

What differs: each message is read by itself, where a system hands over all that has come; a reset overtakes
nothing, where a system drops what still stands with the sender; and acknowledgements take no time, but for
those of a harsh network's windows.
"""

from __future__ import annotations

import asyncio
import errno
import hashlib
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from coveport.lab.virtual.harsh import Harsh
from coveport.lab.virtual.world import Handle, Process, World
from coveport.lab.ways import Ways
from coveport.net.address import Address
from coveport.net.transport import Factory, Listening, Net

WINDOW = 256 * 1024  # bytes of one direction that are sent and not read
RETRY_ACCEPT_S = 1.0  # how long asyncio takes no connections after it ran out of descriptors
AGAIN_S = (1.0, 3.0, 7.0, 15.0, 31.0, 63.0)  # when a connect that is not answered is sent again
_END, _RESET = object(), object()


class Place:
    """A machine: an address, a zone, whether it is `far` (see `Network.place`), and if it says anything."""

    __slots__ = ("address", "far", "number", "silent", "zone")

    def __init__(self, address: str, zone: int, number: int = -1, far: bool = False) -> None:
        self.address, self.zone, self.number, self.far = address, zone, number, far
        self.silent = False


class Network:
    """Who listens where, what is held up, and a hash of all that was exchanged."""

    def __init__(self, world: World, ways: Ways, start_s: float = 0.0, harsh: Harsh | None = None) -> None:
        self.world, self.ways, self.start_s, self.harsh = world, ways, start_s, harsh
        self.listening: dict[Address, _Listening] = {}
        self._beside: dict[Address, list[_Listening]] = {}  # further ones that share an address
        self.places: dict[str, Place] = {}
        self.connections = 0
        self._held: dict[Side, None] = {}  # sides with something that can't go out for now
        self._dials: dict[_Dial, None] = {}  # connects that wait for a way
        self._hash = hashlib.blake2b(digest_size=16)
        ways.on_open(self.release)

    def find(self, address: Address) -> _Listening | None:
        """Who a new connection goes to: those that share an address are dealt them in turn."""
        found = self.listening.get(address)
        if found is None or address not in self._beside:
            return found
        all_of_them = [found, *self._beside[address]]
        return all_of_them[self.connections % len(all_of_them)]

    def listens(self, one: _Listening) -> None:
        """Somebody listens; OSError where another does that does not share its address."""
        found = self.listening.setdefault(one.address, one)
        if found is one:
            return
        if not (found.shared and one.shared):
            raise OSError(errno.EADDRINUSE, "address {}:{} is in use".format(*one.address))
        self._beside.setdefault(one.address, []).append(one)

    def listens_no_more(self, one: _Listening) -> None:
        """Whoever shares its address goes on."""
        beside = self._beside.pop(one.address, [])
        if one in beside:
            beside.remove(one)
        elif beside:
            self.listening[one.address] = beside.pop(0)
        else:
            del self.listening[one.address]
        if beside:
            self._beside[one.address] = beside

    def place(self, address: str, zone: int, number: int = -1, *, far: bool = False) -> Place:
        """A new machine; `far`: the network may break connections to it, and let them come up late."""
        one = self.places[address] = Place(address, zone, number, far)
        return one

    @property
    def trace(self) -> str:
        """A hash of all bytes that arrived so far, with their times and connections."""
        return self._hash.hexdigest()

    def note(self, text: bytes) -> None:
        """Take something into the trace."""
        self._hash.update(text)

    def held(self, one: Place, other: Place) -> bool:
        """Whether nothing passes between two machines for now."""
        return one.silent or other.silent or self.ways.held(one.zone, other.zone)

    def delay_s(self, one: Place, other: Place) -> float:
        """How long the next message takes from one to the other."""
        return self.ways.delay_ms(one.zone, other.zone) / 1000

    def base_s(self, one: Place, other: Place) -> float:
        """The least that a message takes from one to the other."""
        return self.ways.base_ms(one.zone, other.zone) / 1000

    def release(self) -> None:
        """A way may be open again: what was held goes out, and connects that waited are reset."""
        for dial in list(self._dials):
            if not self.held(dial.here, dial.there):
                dial.lost(ConnectionResetError(errno.ECONNRESET, "the way was shut"))
        for side in list(self._held):
            if not self.held(side.here, side.there):
                del self._held[side]
                side.flush()


class _Listening:
    """A listening socket: what has come and is not accepted yet waits here."""

    def __init__(self, net: VirtualNet, address: Address, factory: Factory | None,
                 accept: Callable[[int], asyncio.BaseProtocol] | None, most: int, in_turn: int,
                 pace_s: float, shared: bool = False) -> None:
        self.shared = shared
        self.net, self.address, self.most, self._in_turn, self._pace_s = net, address, most, in_turn, pace_s
        self._factory, self._accept = factory, accept
        self.waiting: deque[Side] = deque()
        self.coming = 0  # connections on their way up, that will wait
        self._beginning = 0  # accepted, and not with their protocols yet
        self.open = True
        self.clogged = False  # has no room, whatever waits
        self._due = self._pausing = False
        self._next_s = 0.0  # when the next one may be accepted

    @property
    def port(self) -> int:
        return self.address[1]

    @property
    def quiet(self) -> bool:
        return not (self.waiting or self._beginning)

    @property
    def full(self) -> bool:
        """Whether a connect is dropped."""
        return self.clogged or len(self.waiting) + self.coming >= self.most

    def close(self) -> None:
        if not self.open:
            return
        if self.net.process.alive:  # by itself: what waits is taken in first, as on sockets
            while self.waiting and self.net.has_room:
                side = self.waiting.popleft()
                self._took(side)
        self.open = False
        self.net.network.listens_no_more(self)
        self.net.listens.remove(self)
        waiting, self.waiting = self.waiting, deque()
        for side in waiting:
            side.refuse()

    def came(self, side: Side, counted: bool) -> None:
        """A connection is up, seen from the system; `counted`: it was taken into `coming`."""
        self.coming -= counted
        if not self.open or side.is_reset:  # the caller gave it up before it was up
            side.refuse()
            return
        self.waiting.append(side)
        process = self.net.process
        if self._due or self._pausing:
            return
        self._due = True
        if process.idle:
            process.run(self.take, ())
        else:
            process.call_soon(self.take)

    def take(self) -> None:
        """Accept what waits, as far as there are descriptors, and no more than may be in one turn."""
        self._due = False
        for _ in range(self._in_turn):
            if not (self.waiting and self.open):
                return
            if not self.net.has_room:
                # As asyncio does: it says so, and takes nothing for a second.
                self._pausing = True
                problem = OSError(errno.EMFILE, "Too many open files")
                self.net.process.call_exception_handler(
                    {"message": "socket.accept() out of system resource", "exception": problem})
                self.net.process.call_later(RETRY_ACCEPT_S, self._resume)
                return
            wait_s = self._next_s - self.net.world.now
            if wait_s > 0:
                self._due = True
                self.net.process.call_later(wait_s, self.take)
                return
            self._next_s = self.net.world.now + self._pace_s
            side = self.waiting.popleft()
            self._took(side)
        if self.waiting:
            self._due = True
            self.net.process.call_soon(self.take)

    def _took(self, side: Side) -> None:
        self.net.took(side)
        self._beginning += 1
        # As with asyncio, the protocol has it two turns later.
        self.net.process.call_soon(self.net.process.call_soon, self._begin, side)

    def _begin(self, side: Side) -> None:
        self._beginning -= 1
        assert self._factory is not None or self._accept is not None
        side.begin(self._factory() if self._factory is not None
                   else self._accept(side.there.number))  # type: ignore[misc]

    def _resume(self) -> None:
        self._pausing = False
        self.take()


class _Dial:
    """A connect on its way."""

    def __init__(self, network: Network, here: Place, there: Place, done: asyncio.Future[None]) -> None:
        self.network, self.here, self.there, self.done = network, here, there, done
        self.side: Side | None = None  # our end, once the other machine has answered
        self.began_s, self.tries = network.world.now, 0
        self.late_s = 0.0  # on the way back, until the answer is there

    def lost(self, problem: OSError) -> None:
        """It came to nothing."""
        self.network._dials.pop(self, None)
        if not self.done.done():
            self.done.set_exception(problem)


class Side(asyncio.Transport):
    """One end of a connection: a socket, and asyncio's transport on it."""

    def __init__(self, net: VirtualNet, here: Place, there: Place, number: int) -> None:
        super().__init__()
        self._net, self.network, self.world = net, net.network, net.network.world
        self.here, self.there, self.number = here, there, number
        self.peer: Side | None = None
        self._protocol: asyncio.BaseProtocol | None = None
        self._buffered: asyncio.BufferedProtocol | None = None
        # The transport.
        self._unsent: deque[tuple[bytes, float]] = deque()  # with us, as the window is full; since when
        self._unsent_bytes = 0
        self._high, self._told_pause = 64 * 1024, False
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
        self._break_in, self._break_resets = -1, False  # bytes still to be sent before a break; -1: none
        self._cut_short = False  # something written here never comes whole
        self._broken = self._bounced = False  # by the network; a reset for what was sent since is on its way
        self._merging: tuple[Handle, bytes, float, float] | None = None  # waits for the next until then

    # As a transport.

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
            self._inbox.append((_END, self.world.now, self.world.now))
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
        return (self._closing or self._reset or self._end_read
                or any(type(what) is not bytes for what, _, _ in self._inbox))

    @property
    def is_reset(self) -> bool:
        """Whether a reset was sent, or has come."""
        return self._reset

    # As a socket.

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
                    self._send(data[:self._break_in], since)
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
                self.world.at(self.world.now + trip_s, self._arrive, _RESET, self.world.now, 0.0)
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
        what = _RESET if self._break_resets else _END
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
            self._send(_END)

    def _send(self, what: object, since: float | None = None) -> None:
        """Put something on the way; `since`: when it was written, if that was before now."""
        network = self.network
        now = self.world.now
        waited = 0.0 if since is None else now - since
        if self._broken:
            return
        if self._held or network.held(self.here, self.there):
            self._held.append((what, now, waited))
            network._held[self] = None
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

    def _send_harshly(self, harsh: Harsh, what: object, handed: float, waited: float, soonest: float,
                      at: float) -> None:
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
            self.network._held[self.peer] = None
            return
        if type(what) is bytes:
            self.network.note(b"%.6f %d " % (self.world.now, self.number) + what)
        else:
            self.network.note(b"%.6f %d %s" % (self.world.now, self.number,
                                               b"end" if what is _END else b"reset"))
        if self._reset:
            return
        if self._closed or (self._shut and type(what) is bytes):
            if type(what) is bytes:  # nobody reads here any more
                self._reset = True
                self._send(_RESET)
            return
        if what is _RESET:
            self._reset = True
            if self._unsent and (self._paused or self._closing):
                self._net.process.call_soon(self._fail)
        came, most = self.world.now - waited, self._net.read_chunk
        if most and type(what) is bytes:
            self._inbox.extend((what[at:at + most], handed, came) for at in range(0, len(what), most))
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
                elif what is _END:
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
                {"message": "Fatal error: protocol failed", "exception": problem, "transport": self})
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
        if self._shut or self._end_read or any(what is _END for what, _, _ in self._inbox):
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
            self._send(_RESET)
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


class VirtualNet(Net):
    """The outside as one simulated process sees it."""

    def __init__(self, process: Process, network: Network, place: Place, descriptors: int = 1 << 30,
                 read_chunk: int = 0) -> None:
        """`descriptors`: the most it may hold. `read_chunk`: bytes read at once at the most (0: all)."""
        self.loop = process
        self.process, self.network, self.world, self.place = process, network, network.world, place
        self.descriptors, self.read_chunk = descriptors, read_chunk
        self._sides: dict[Side, None] = {}
        self._dials = 0  # connects on their way, which hold descriptors too
        self.listens: list[_Listening] = []
        process.at_death.append(self._died)

    def now_s(self) -> float:
        """The world's seconds."""
        return self.world.now

    def unix_s(self) -> float:
        """Unix time, as wrong as this process' clock is."""
        return self.world.unix_s() + self.process.clock_step_s

    @property
    def open_sides(self) -> int:
        """Connections that this process holds."""
        return len(self._sides)

    @property
    def connecting(self) -> int:
        """Connects that no machine has answered yet."""
        return self._dials

    @property
    def has_room(self) -> bool:
        """Whether there is a descriptor left."""
        return len(self._sides) + self._dials + len(self.listens) < self.descriptors

    def took(self, side: Side) -> None:
        """A connection is the process' now."""
        self._sides[side] = None

    def gave(self, side: Side) -> None:
        """A connection is closed."""
        self._sides.pop(side, None)

    def _died(self) -> None:
        for one in list(self.listens):
            one.close()
        for side in list(self._sides):
            side.close_socket()

    async def listen(self, factory: Factory, address: Address, *, accept_most: int,
                     waiting_most: int, shared: bool = False) -> Listening:
        """Listen at an address of this machine; port 0: any."""
        return self._open(address, factory, None, waiting_most, accept_most, 0.0, shared)

    def is_taken(self, address: Address) -> bool:
        """Whether somebody listens there."""
        return address in self.network.listening

    def accept(self, accept: Callable[[int], asyncio.BaseProtocol], address: Address) -> _Listening:
        """Listen, and tell the factory the number of the machine that calls."""
        harsh = self.network.harsh
        if harsh is None:
            return self._open(address, None, accept, 1 << 30, 1 << 30, 0.0)
        return self._open(address, None, accept, harsh.backlog, 1 << 30, harsh.accept_s(address[0]))

    def _open(self, address: Address, factory: Factory | None,
              accept: Callable[[int], asyncio.BaseProtocol] | None, most: int, in_turn: int,
              pace_s: float, shared: bool = False) -> _Listening:
        host, port = address
        if port == 0:
            port = next(one for one in range(20_000, 60_000) if (host, one) not in self.network.listening)
        one = _Listening(self, (host, port), factory, accept, most, in_turn, pace_s, shared)
        self.network.listens(one)
        self.listens.append(one)
        return one

    async def dial(self, factory: Factory, address: Address) -> None:
        """Connect; the protocol has the connection once this returns."""
        if not self.has_room:
            raise OSError(errno.EMFILE, "Too many open files")
        network, here = self.network, self.place
        found = network.find(address)
        there = (found.net.place if found is not None
                 else network.places.get(address[0]) or Place(address[0], 0))
        done: asyncio.Future[None] = self.process.create_future()
        dial = _Dial(network, here, there, done)
        late_s = 0.0
        if network.harsh is not None and there.far:
            late_s, back = network.harsh.late_s()
            if back:
                dial.late_s, late_s = late_s, 0.0
        if network.held(here, there):
            network._dials[dial] = None
        else:
            self.world.at(self.world.now + network.delay_s(here, there) + late_s, self._knock, dial, address)
        self._dials += 1
        try:
            await done
            # As with asyncio, the protocol has it two turns later: timers that are due are called before.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        except asyncio.CancelledError:
            network._dials.pop(dial, None)
            if dial.side is not None:
                dial.side.give_up(half_open=dial.late_s > 0)
            raise
        finally:
            if dial.side is None:
                self._dials -= 1
        assert dial.side is not None
        dial.side.begin(factory())

    def _knock(self, dial: _Dial, address: Address) -> None:
        """A connect has reached the machine it is for."""
        network = self.network
        if dial.done.done() or not self.process.alive:
            return
        if network.held(dial.here, dial.there):
            network._dials[dial] = None
            return
        found = network.find(address)
        back = self.world.now + network.delay_s(dial.there, dial.here) + dial.late_s
        if found is None:
            self.world.at(back, dial.lost, ConnectionRefusedError(
                errno.ECONNREFUSED, f"connect to {address[0]}:{address[1]} was refused"))
            return
        if found.full:
            self._knock_again(dial, address)
            return
        counted = not dial.late_s  # what hangs half open keeps no room
        found.coming += counted
        network.connections += 1
        ours = Side(self, dial.here, dial.there, network.connections * 2)
        theirs = Side(found.net, dial.there, dial.here, network.connections * 2 + 1)
        ours.peer, theirs.peer = theirs, ours
        dial.side = ours
        self._dials -= 1
        self.took(ours)
        # The caller's word that it is up takes one more way; what it sends can't arrive before.
        theirs_at = back + network.delay_s(dial.here, dial.there)
        ours._last_at = theirs_at
        theirs._last_at = back
        self.world.at(back, self._up, dial)
        self.world.at(theirs_at, found.came, theirs, counted)

    def _knock_again(self, dial: _Dial, address: Address) -> None:
        """The queue was full and the connect was dropped: it is sent again later."""
        if dial.tries == len(AGAIN_S):
            dial.lost(TimeoutError(errno.ETIMEDOUT, f"connect to {address[0]}:{address[1]} timed out"))
            return
        again = dial.began_s + AGAIN_S[dial.tries]
        dial.tries += 1
        way_s = self.network.delay_s(dial.here, dial.there)
        self.world.at(max(again, self.world.now) + way_s, self._knock, dial, address)

    def _up(self, dial: _Dial) -> None:
        dial.late_s = 0.0
        if not dial.done.done() and self.process.alive:
            dial.done.set_result(None)

    def is_quiet(self, transport: asyncio.Transport) -> bool:
        """Whether nothing has come that we have not read."""
        assert isinstance(transport, Side)
        return transport.quiet

    def read_now(self, transport: asyncio.Transport) -> None:
        """Give the protocol what waits there in this turn; an end is left to the loop."""
        assert isinstance(transport, Side)
        transport.read_now()

    def is_over(self, transport: asyncio.Transport) -> bool:
        """Whether the other side has ended or reset it, read or not."""
        assert isinstance(transport, Side)
        return transport.over

    def bound_silence(self, transport: asyncio.Transport, milliseconds: int) -> None:
        """Connections kept in memory know no acknowledgements."""

    def shut_down(self, transport: asyncio.Transport) -> None:
        """End both directions now."""
        assert isinstance(transport, Side)
        transport.shut_down()

    def reset(self, transport: asyncio.Transport) -> None:
        """Close with a reset."""
        assert isinstance(transport, Side)
        transport.send_reset()

