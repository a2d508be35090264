"""The machines of a simulated world, who listens at which address, and what is held up between them."""

from __future__ import annotations

import asyncio
import errno
import hashlib

from coveport.net.address import Address
from coveport.testbed.network_model import Ways
from coveport.testbed.simulated_network.harsh import Harsh
from coveport.testbed.simulated_network.listening import ListeningSocket
from coveport.testbed.simulated_network.place import Place
from coveport.testbed.simulated_network.side import Side
from coveport.testbed.simulated_network.sockets import SimulatedSocket
from coveport.testbed.simulated_network.world import World


class PendingConnect:
    """Track a connect until the other machine has answered it."""

    def __init__(self, network: Network, here: Place, there: Place, done: asyncio.Future[None]) -> None:
        self.network = network
        self.here = here
        self.there = there
        self.done = done
        self.side: Side | None = None  # our end, once the other machine has answered
        self.began_s = network.world.now
        self.retries = 0
        self.late_s = 0.0  # added to the answer's way back

    def fail(self, error: OSError) -> None:
        """End the connect with an error."""
        self.network.pending_connects.pop(self, None)
        if not self.done.done():
            self.done.set_exception(error)


class Network:
    """Who listens where, what is held up, and a hash of all that was exchanged."""

    def __init__(self, world: World, ways: Ways, start_s: float = 0.0, harsh: Harsh | None = None) -> None:
        self.world = world
        self.ways = ways
        self.start_s = start_s
        self.harsh = harsh
        self.listening: dict[Address, ListeningSocket] = {}
        self._beside: dict[Address, list[ListeningSocket]] = {}  # further ones that share an address
        self.places: dict[str, Place] = {}
        self.connections = 0
        self.held_sockets: dict[SimulatedSocket, None] = {}  # with something that can't be sent for now
        self.pending_connects: dict[PendingConnect, None] = {}  # that wait for an open path
        self._hash = hashlib.blake2b(digest_size=16)
        ways.on_open(self.release)

    def find(self, address: Address) -> ListeningSocket | None:
        """Who a new connection goes to: those that share an address are dealt them in turn."""
        found = self.listening.get(address)
        if found is None or address not in self._beside:
            return found
        all_of_them = [found, *self._beside[address]]
        return all_of_them[self.connections % len(all_of_them)]

    def listens(self, one: ListeningSocket) -> None:
        """Somebody listens; OSError where another does that does not share its address."""
        found = self.listening.setdefault(one.address, one)
        if found is one:
            return
        if not (found.shared and one.shared):
            raise OSError(errno.EADDRINUSE, "address {}:{} is in use".format(*one.address))
        self._beside.setdefault(one.address, []).append(one)

    def listens_no_more(self, one: ListeningSocket) -> None:
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
        for connect in list(self.pending_connects):
            if not self.held(connect.here, connect.there):
                connect.fail(ConnectionResetError(errno.ECONNRESET, "the way was shut"))
        for side in list(self.held_sockets):
            if not self.held(side.here, side.there):
                del self.held_sockets[side]
                side.flush()
