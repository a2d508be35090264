"""A stand-in's place on simulated ground; see `coveport.testbed.backend.Host`."""

from __future__ import annotations

from coveport.net.address import Address
from coveport.net.transport import Net, ProtocolFactory
from coveport.testbed.backend import Accept
from coveport.testbed.simulated_network.listening import ListeningSocket
from coveport.testbed.simulated_network.network import Network
from coveport.testbed.simulated_network.place import Place
from coveport.testbed.simulated_network.wires import VirtualNet
from coveport.testbed.simulated_network.world import Process


class VirtualHost:
    """One machine of a stand-in."""

    def __init__(self, process: Process, network: Network, place: Place, port: int, start_s: float) -> None:
        self.place = place
        self.net: Net = VirtualNet(process, network, place)
        self._network = network
        self._port = port
        self._start_s = start_s
        self._listening: ListeningSocket | None = None
        self._clogs: dict[int, None] = {}  # faults by which its queue is full

    def day_ms(self) -> float:
        """Milliseconds since the day began."""
        return (self._network.world.now - self._start_s) * 1000

    async def listen(self, accept: Accept) -> None:
        """Take connections from sidecars."""
        self.open(accept)

    def open(self, accept: Accept) -> None:
        """The same, at once."""
        assert isinstance(self.net, VirtualNet)
        self._listening = self.net.accept(accept, (self.place.address, self._port))
        self._listening.clogged = bool(self._clogs)

    def refuse(self) -> None:
        """Stop listening."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None

    def clog(self, fault: int, on: bool) -> None:
        """Have no room for connections that wait to be accepted, by a fault of the day; or again."""
        if on:
            self._clogs[fault] = None
        else:
            self._clogs.pop(fault, None)
        if self._listening is not None:
            self._listening.clogged = bool(self._clogs)

    def silence(self, on: bool) -> None:
        """Let nothing in or out."""
        self.place.silent = on
        if not on:
            self._network.release()

    def address(self, sidecar: int) -> Address:
        """Where that sidecar reaches this party: the same for all."""
        return self.place.address, self._port

    async def dial(self, factory: ProtocolFactory, address: Address) -> None:
        """Connect."""
        await self.net.dial(factory, address)
