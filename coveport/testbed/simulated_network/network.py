"""The machines of a simulated world, who listens at which address, and what is held up between them."""

from __future__ import annotations

import errno
import hashlib
from typing import TYPE_CHECKING

from coveport.net.address import Address
from coveport.testbed.network_model import Ways
from coveport.testbed.simulated_network.harsh import Harsh
from coveport.testbed.simulated_network.world import World

if TYPE_CHECKING:
    from coveport.testbed.simulated_network.listening import ListeningSocket
    from coveport.testbed.simulated_network.sockets import SimulatedSocket
    from coveport.testbed.simulated_network.wires import _Dial


class Place:
    """A machine: an address, a zone, whether it is `far` (see `Network.place`), and if it says anything."""

    __slots__ = ("address", "far", "number", "silent", "zone")

    def __init__(self, address: str, zone: int, number: int = -1, far: bool = False) -> None:
        self.address = address
        self.zone = zone
        self.number = number
        self.far = far
        self.silent = False


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
        self._held: dict[SimulatedSocket, None] = {}  # sides with something that can't go out for now
        self._dials: dict[_Dial, None] = {}  # connects that wait for a way
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
        for dial in list(self._dials):
            if not self.held(dial.here, dial.there):
                dial.lost(ConnectionResetError(errno.ECONNRESET, "the way was shut"))
        for side in list(self._held):
            if not self.held(side.here, side.there):
                del self._held[side]
                side.flush()
