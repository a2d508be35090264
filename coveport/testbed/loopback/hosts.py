"""A party's place on loopback: one address for each sidecar, so that it is known who calls."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable, Sequence
from functools import partial

from coveport.net.address import Address
from coveport.net.transport import Net, ProtocolFactory
from coveport.testbed.backend import Accept
from coveport.testbed.loopback.shaping import Wire
from coveport.testbed.loopback.timing import DayClock

WAITING = 1024  # connections that may wait to be accepted
AT_ONCE = 32  # accepted in one turn of the loop
PER_NET = 250  # addresses used of each 127.x.y.0/24: none that could be a broadcast's

NODES, AGENTS, SIDECARS = 16, 3, 2
"""Second byte of the addresses of nodes (and above, as far as needed), discovery's agents and sidecars."""


def address_of(area: int, number: int) -> str:
    """The address in 127.0.0.0/8 with that number, from 0, in an area; ValueError where there is none."""
    nets, last = divmod(number, PER_NET)
    seconds, third = divmod(nets, PER_NET)
    if area + seconds > 255:
        raise ValueError(f"there are no {number} addresses on loopback")
    return f"127.{area + seconds}.{third}.{last + 1}"


def bound(ip: str) -> socket.socket:
    """A socket with a port of its own at an address, not listening yet."""
    with socket.socket() as finder:
        finder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        finder.bind((ip, 0))
        one = socket.socket()
        # Guards against the loss of the port when it stops listening: only one asked for by number stays.
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(finder.getsockname())
    one.setblocking(False)
    return one


class Door:
    """One address: it refuses, waits, is open, or clogged.

    While it waits, connections come up that are taken once it is open; while it is clogged, none comes up.
    It is one socket all day, so that the port stays ours while nobody listens.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, ip: str, take: Callable[[socket.socket], None]
    ) -> None:
        self._loop = loop
        self._take = take
        self._socket = bound(ip)
        self.address: Address = self._socket.getsockname()
        self._filler: socket.socket | None = None
        self.state = "refuses"

    def be(self, state: str) -> None:
        """Be "open", "waits", "clogged" or "refuses"; who waited while it was clogged is reset."""
        if state == self.state:
            return
        if self.state == "open":
            self._loop.remove_reader(self._socket)
        if self.state == "clogged" or state == "refuses":
            # Linux: ends the listening, resets what waits to be accepted, keeps the port (tcp_disconnect).
            self._socket.shutdown(socket.SHUT_RDWR)
        if self._filler is not None:
            self._filler.close()
            self._filler = None
        self.state = state
        if state in ("open", "waits"):
            self._socket.listen(WAITING)
            if state == "open":
                self._loop.add_reader(self._socket, self._accept)
        elif state == "clogged":
            # Linux drops a SYN where more connections wait than the backlog: with one, none gets up any more.
            self._socket.listen(0)
            self._filler = socket.socket()
            self._filler.setblocking(False)
            self._filler.connect_ex(self.address)

    def _accept(self) -> None:
        for _ in range(AT_ONCE):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as problem:
                if problem.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                # Guards against a lab that goes on without what it needs: the day would mean nothing.
                raise RuntimeError(f"the lab cannot accept a connection: {problem}") from problem
            connection.setblocking(False)
            self._take(connection)

    def close(self) -> None:
        """Give the address back."""
        if self.state != "refuses":
            self.be("refuses")
        self._socket.close()


class RealHost:
    """`ground.Host` on loopback, for a party that sidecars call."""

    def __init__(
        self,
        net: Net,
        clock: DayClock,
        addresses: Sequence[tuple[int, str]],
        *,
        delay_s: Callable[[int], float] = lambda _: 0.0,
        held: Callable[[int], bool] = lambda _: False,
    ) -> None:
        """`addresses`: (sidecar, IP address) for each sidecar that may call.

        `delay_s`: seconds that the next message takes between that sidecar and here. `held`: whether nothing
        passes between that sidecar and here; `update` says that this may have changed. OSError where an
        address can't be had.
        """
        self.net = net
        self._clock = clock
        self._delay_s = delay_s
        self._between_held = held
        self._accept: Accept | None = None
        self._silent = False
        self._wires: dict[Wire, int] = {}
        self._coming: set[asyncio.Task[None]] = set()
        self._doors = {sidecar: Door(net.loop, ip, partial(self._take, sidecar)) for sidecar, ip in addresses}

    def day_ms(self) -> float:
        """Milliseconds since the day began."""
        return self._clock.day_ms()

    def expect(self) -> None:
        """Let connections come up that are taken only once somebody listens."""
        for door in self._doors.values():
            door.be("waits")

    async def listen(self, accept: Accept) -> None:
        """Take connections; again after `refuse`, with the protocols of the new process."""
        self._accept = accept
        self.update()

    def refuse(self) -> None:
        """Refuse new connections; those that wait to be accepted are reset."""
        self._accept = None
        self.update()

    def silence(self, on: bool) -> None:
        """Let nothing in or out, or go on."""
        self._silent = on
        self.update()

    def address(self, sidecar: int) -> Address:
        """Where that sidecar reaches this party: the same all day."""
        return self._doors[sidecar].address

    async def dial(self, factory: ProtocolFactory, address: Address) -> None:
        """Connect, with no way in between."""
        await self.net.dial(factory, address)

    def update(self) -> None:
        """Bring doors and connections in line with what passes now."""
        for sidecar, door in self._doors.items():
            held = self._held(sidecar)
            door.be("refuses" if self._accept is None else "clogged" if held else "open")
        for wire, sidecar in list(self._wires.items()):
            wire.hold(self._held(sidecar))

    def close(self) -> None:
        """Give all addresses back and end all connections."""
        self._accept = None
        for door in self._doors.values():
            door.close()
        for task in self._coming:
            task.cancel()
        for wire in list(self._wires):
            wire.cut()

    def _held(self, sidecar: int) -> bool:
        return self._silent or self._between_held(sidecar)

    def _take(self, sidecar: int, connection: socket.socket) -> None:
        accept = self._accept
        if accept is None:
            connection.close()
            return
        wire = Wire(
            self.net,
            accept(sidecar),
            partial(self._delay_s, sidecar),
            gone=self._gone,
            held=partial(self._held, sidecar),
            wanted=lambda: self._accept is accept,
            day_ms_of=self._clock.day_ms_of,
        )
        self._wires[wire] = sidecar
        task = self.net.loop.create_task(self._come(wire, connection))
        self._coming.add(task)
        task.add_done_callback(self._coming.discard)

    async def _come(self, wire: Wire, connection: socket.socket) -> None:
        try:
            await self.net.loop.connect_accepted_socket(lambda: wire, connection)
        except BaseException:
            self._wires.pop(wire, None)
            with contextlib.suppress(OSError):
                connection.close()
            raise

    def _gone(self, wire: Wire) -> None:
        self._wires.pop(wire, None)


class CallerHost:
    """`ground.Host` for a party that only calls: a till, on its sidecar's own machine."""

    def __init__(self, net: Net, clock: DayClock) -> None:
        self.net = net
        self._clock = clock

    def day_ms(self) -> float:
        """Milliseconds since the day began."""
        return self._clock.day_ms()

    async def listen(self, accept: Accept) -> None:
        """Not here."""
        raise NotImplementedError("a till takes no connections")

    def refuse(self) -> None:
        """Nothing is listened on."""

    def silence(self, on: bool) -> None:
        """Not here."""
        raise NotImplementedError("a till is not silenced")

    def address(self, sidecar: int) -> Address:
        """Not here."""
        raise NotImplementedError("a till has no address")

    async def dial(self, factory: ProtocolFactory, address: Address) -> None:
        """Connect; OSError where it is refused."""
        await self.net.dial(factory, address)
