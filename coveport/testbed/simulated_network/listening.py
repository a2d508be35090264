"""A simulated listening socket: the queue of what has come, and how a process accepts it."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from typing import Protocol

from coveport.net.address import Address
from coveport.net.transport import ProtocolFactory
from coveport.testbed.simulated_network.place import Place
from coveport.testbed.simulated_network.side import Side
from coveport.testbed.simulated_network.sockets import SocketOwner
from coveport.testbed.simulated_network.world import World

RETRY_ACCEPT_S = 1.0  # how long asyncio takes no connections after it ran out of descriptors


class ListenerOwner(SocketOwner, Protocol):
    """Describe what a listening socket needs of its process; see `wires.VirtualNet`."""

    @property
    def world(self) -> World:
        """Return the world whose clock it runs on."""

    @property
    def place(self) -> Place:
        """Return the machine of the process."""

    @property
    def has_room(self) -> bool:
        """Return whether there is a file descriptor left."""

    def took(self, side: Side, /) -> None:
        """Add an accepted connection to those of the process."""

    def stop_listening(self, listener: ListeningSocket, /) -> None:
        """Remove a listening socket from the process and the network."""


class ListeningSocket:
    """A listening socket: what has come and is not accepted yet waits here."""

    def __init__(
        self,
        net: ListenerOwner,
        address: Address,
        factory: ProtocolFactory | None,
        accept: Callable[[int], asyncio.BaseProtocol] | None,
        most: int,
        in_turn: int,
        pace_s: float,
        shared: bool = False,
    ) -> None:
        self.shared = shared
        self.net = net
        self.address = address
        self.most = most
        self._in_turn = in_turn
        self._pace_s = pace_s
        self._factory = factory
        self._accept = accept
        self.waiting: deque[Side] = deque()
        self.coming = 0  # connections on their way up, that will wait
        self._beginning = 0  # accepted, and not with their protocols yet
        self.open = True
        self.clogged = False  # has no room, whatever waits
        self._due = self._pausing = False
        self._next_s = 0.0  # when the next one may be accepted

    @property
    def port(self) -> int:
        """Its address' port."""
        return self.address[1]

    @property
    def is_quiet(self) -> bool:
        """Whether no connection waits here or is about to be given to its protocol."""
        return not (self.waiting or self._beginning)

    @property
    def full(self) -> bool:
        """Whether a connect is dropped."""
        return self.clogged or len(self.waiting) + self.coming >= self.most

    def close(self) -> None:
        """Listen no more; what still waits is refused."""
        if not self.open:
            return
        if self.net.process.alive:  # by itself: what waits is taken in first, as on sockets
            while self.waiting and self.net.has_room:
                side = self.waiting.popleft()
                self._took(side)
        self.open = False
        self.net.stop_listening(self)
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
                    {"message": "socket.accept() out of system resource", "exception": problem}
                )
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
        side.begin(self._factory() if self._factory is not None else self._accept(side.there.number))  # type: ignore[misc]

    def _resume(self) -> None:
        self._pausing = False
        self.take()
