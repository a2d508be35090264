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
from collections.abc import Callable

from coveport.net.address import Address
from coveport.net.transport import Listening, Net, ProtocolFactory
from coveport.testbed.simulated_network.listening import ListeningSocket
from coveport.testbed.simulated_network.network import Network, PendingConnect
from coveport.testbed.simulated_network.place import Place
from coveport.testbed.simulated_network.side import Side
from coveport.testbed.simulated_network.sockets import SimulatedSocket
from coveport.testbed.simulated_network.world import Process

AGAIN_S = (1.0, 3.0, 7.0, 15.0, 31.0, 63.0)  # when a connect that is not answered is sent again


class VirtualNet(Net):
    """The outside as one simulated process sees it."""

    def __init__(
        self,
        process: Process,
        network: Network,
        place: Place,
        descriptors: int = 1 << 30,
        read_chunk: int = 0,
    ) -> None:
        """`descriptors`: the most it may hold. `read_chunk`: bytes read at once at the most (0: all)."""
        self.loop = process
        self.process = process
        self.network = network
        self.world = network.world
        self.place = place
        self.descriptors = descriptors
        self.read_chunk = read_chunk
        self._sides: dict[SimulatedSocket, None] = {}
        self._connecting = 0  # connects on their way, which hold descriptors too
        self.listens: list[ListeningSocket] = []
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
        return self._connecting

    @property
    def has_room(self) -> bool:
        """Whether there is a descriptor left."""
        return len(self._sides) + self._connecting + len(self.listens) < self.descriptors

    def took(self, side: Side) -> None:
        """A connection is the process' now."""
        self._sides[side] = None

    def gave(self, side: SimulatedSocket) -> None:
        """A connection is closed."""
        self._sides.pop(side, None)

    def stop_listening(self, listener: ListeningSocket) -> None:
        """Remove a listening socket from the process and the network."""
        self.network.listens_no_more(listener)
        self.listens.remove(listener)

    def _died(self) -> None:
        for one in list(self.listens):
            one.close()
        for side in list(self._sides):
            side.close_socket()

    async def listen(
        self,
        factory: ProtocolFactory,
        address: Address,
        *,
        accepts_per_turn: int,
        backlog: int,
        shared: bool = False,
    ) -> Listening:
        """Listen at an address of this machine; port 0: any."""
        return self._open(address, factory, None, backlog, accepts_per_turn, 0.0, shared)

    def is_taken(self, address: Address) -> bool:
        """Whether somebody listens there."""
        return address in self.network.listening

    def accept(self, accept: Callable[[int], asyncio.BaseProtocol], address: Address) -> ListeningSocket:
        """Listen, and tell the factory the number of the machine that calls."""
        harsh = self.network.harsh
        if harsh is None:
            return self._open(address, None, accept, 1 << 30, 1 << 30, 0.0)
        return self._open(address, None, accept, harsh.backlog, 1 << 30, harsh.accept_s(address[0]))

    def _open(
        self,
        address: Address,
        factory: ProtocolFactory | None,
        accept: Callable[[int], asyncio.BaseProtocol] | None,
        most: int,
        in_turn: int,
        pace_s: float,
        shared: bool = False,
    ) -> ListeningSocket:
        host, port = address
        if port == 0:
            port = next(one for one in range(20_000, 60_000) if (host, one) not in self.network.listening)
        one = ListeningSocket(self, (host, port), factory, accept, most, in_turn, pace_s, shared)
        self.network.listens(one)
        self.listens.append(one)
        return one

    async def dial(self, factory: ProtocolFactory, address: Address) -> None:
        """Connect; the protocol has the connection once this returns."""
        if not self.has_room:
            raise OSError(errno.EMFILE, "Too many open files")
        network, here = self.network, self.place
        found = network.find(address)
        there = (
            found.net.place if found is not None else network.places.get(address[0]) or Place(address[0], 0)
        )
        done: asyncio.Future[None] = self.process.create_future()
        connect = PendingConnect(network, here, there, done)
        late_s = 0.0
        if network.harsh is not None and there.far:
            late_s, back = network.harsh.late_s()
            if back:
                connect.late_s, late_s = late_s, 0.0
        if network.held(here, there):
            network.pending_connects[connect] = None
        else:
            self.world.at(
                self.world.now + network.delay_s(here, there) + late_s, self._knock, connect, address
            )
        self._connecting += 1
        try:
            await done
            # As with asyncio, the protocol has it two turns later: timers that are due are called before.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        except asyncio.CancelledError:
            network.pending_connects.pop(connect, None)
            if connect.side is not None:
                connect.side.give_up(half_open=connect.late_s > 0)
            raise
        finally:
            if connect.side is None:
                self._connecting -= 1
        assert connect.side is not None
        connect.side.begin(factory())

    def _knock(self, connect: PendingConnect, address: Address) -> None:
        """A connect has reached the machine it is for."""
        network = self.network
        if connect.done.done() or not self.process.alive:
            return
        if network.held(connect.here, connect.there):
            network.pending_connects[connect] = None
            return
        found = network.find(address)
        back = self.world.now + network.delay_s(connect.there, connect.here) + connect.late_s
        if found is None:
            self.world.at(
                back,
                connect.fail,
                ConnectionRefusedError(
                    errno.ECONNREFUSED, f"connect to {address[0]}:{address[1]} was refused"
                ),
            )
            return
        if found.full:
            self._knock_again(connect, address)
            return
        counted = not connect.late_s  # what hangs half open keeps no room
        found.coming += counted
        network.connections += 1
        ours = Side(self, connect.here, connect.there, network.connections * 2)
        theirs = Side(found.net, connect.there, connect.here, network.connections * 2 + 1)
        ours.peer, theirs.peer = theirs, ours
        connect.side = ours
        self._connecting -= 1
        self.took(ours)
        # The caller's word that it is up takes one more way; what it sends can't arrive before.
        theirs_at = back + network.delay_s(connect.here, connect.there)
        ours._last_at = theirs_at
        theirs._last_at = back
        self.world.at(back, self._up, connect)
        self.world.at(theirs_at, found.came, theirs, counted)

    def _knock_again(self, connect: PendingConnect, address: Address) -> None:
        """The queue was full and the connect was dropped: it is sent again later."""
        if connect.retries == len(AGAIN_S):
            connect.fail(TimeoutError(errno.ETIMEDOUT, f"connect to {address[0]}:{address[1]} timed out"))
            return
        again = connect.began_s + AGAIN_S[connect.retries]
        connect.retries += 1
        way_s = self.network.delay_s(connect.here, connect.there)
        self.world.at(max(again, self.world.now) + way_s, self._knock, connect, address)

    def _up(self, connect: PendingConnect) -> None:
        connect.late_s = 0.0
        if not connect.done.done() and self.process.alive:
            connect.done.set_result(None)

    def is_quiet(self, transport: asyncio.Transport) -> bool:
        """Whether nothing has come that we have not read."""
        assert isinstance(transport, Side)
        return transport.quiet

    def read_now(self, transport: asyncio.Transport) -> None:
        """Give the protocol what waits there in this turn; an end is left to the loop."""
        assert isinstance(transport, Side)
        transport.read_now()

    def has_peer_closed(self, transport: asyncio.Transport) -> bool:
        """Whether the other side has ended or reset it, read or not."""
        assert isinstance(transport, Side)
        return transport.over

    def set_unacknowledged_timeout(self, transport: asyncio.Transport, milliseconds: int) -> None:
        """Connections kept in memory know no acknowledgements."""

    def shut_down(self, transport: asyncio.Transport) -> None:
        """End both directions now."""
        assert isinstance(transport, Side)
        transport.shut_down()

    def reset(self, transport: asyncio.Transport) -> None:
        """Close with a reset."""
        assert isinstance(transport, Side)
        transport.send_reset()
