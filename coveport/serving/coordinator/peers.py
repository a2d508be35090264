"""Connections to the other coordinators: one dialed to each, and those that they dial.

Messages may be lost; whoever sends repeats what matters. A connection on which a peer says nothing for
`SILENT_S`, though it pings several times in that, is dropped and dialed anew, so that a cut that has ended
does not wait for TCP's long retries.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from coveport.net.address import parse_address
from coveport.net.transport import Net
from coveport.serving.wire.connection import Connection, connect
from coveport.serving.wire.messages import Hello, Message
from coveport.serving.wire.traffic import Traffic

CONNECT_S = 0.5
REDIAL_S = 0.2
HEARD_REDIAL_S = 0.02  # ... to a peer that has just been heard
SILENT_S = 1.0

PeerReceiver = Callable[[Hello, Message], None]


@dataclass(slots=True)
class _Peer:
    address: str
    connection: Connection | None = None
    heard_s: float = 0.0  # when it last said anything to us, on any connection
    dialing: asyncio.Task[None] | None = None
    dialed_s: float = -1.0


class Peers:
    """All other coordinators by inner address."""

    def __init__(
        self,
        net: Net,
        hello: Hello,
        on_message: PeerReceiver,
        on_connected: Callable[[str], None],
        traffic: Traffic | None = None,
    ) -> None:
        self._traffic = traffic
        self._net = net
        self._hello = hello
        self._on_message = on_message
        self._on_connected = on_connected
        self._peers: dict[str, _Peer] = {}

    def keep(self, addresses: Iterable[str]) -> None:
        """Stay connected to these, and to no other."""
        wanted = set(addresses) - {self._hello.address}
        for address in wanted - self._peers.keys():
            self._peers[address] = _Peer(address)
        for address in self._peers.keys() - wanted:
            self._forget(self._peers.pop(address))

    def send(self, address: str, message: Message) -> None:
        """Send to a peer where connected."""
        peer = self._peers.get(address)
        if peer is None:
            self._peers[address] = peer = _Peer(address)
        if peer.connection is not None and peer.connection.is_open:
            peer.connection.send(message)
        else:
            self._dial(peer)

    def known(self) -> list[str]:
        """All peers, connected or not."""
        return list(self._peers)

    def live(self, within_s: float = SILENT_S) -> list[str]:
        """Peers that are connected and said something lately."""
        since = self._net.now_s() - within_s
        return [
            peer.address
            for peer in self._peers.values()
            if peer.connection is not None and peer.connection.is_open and peer.heard_s >= since
        ]

    def heard(self, hello: Hello, message: Message) -> None:
        """Something came on a connection that a peer dialed."""
        peer = self._peers.get(hello.address)
        if peer is not None:
            self._note_heard(peer)
        self._on_message(hello, message)

    def _note_heard(self, peer: _Peer) -> None:
        """It is up: where we are not connected to it, dial without waiting for our turn."""
        peer.heard_s = self._net.now_s()
        if peer.dialing is None and (peer.connection is None or not peer.connection.is_open):
            self._dial(peer, HEARD_REDIAL_S)

    def tend(self) -> None:
        """Redial what is down or silent; to be called several times a second."""
        now = self._net.now_s()
        for peer in self._peers.values():
            connection = peer.connection
            silent_s = now - max(peer.heard_s, peer.dialed_s)
            if connection is not None and connection.is_open and silent_s > SILENT_S:
                connection.abort()
                peer.connection = None
            if peer.connection is None or not peer.connection.is_open:
                self._dial(peer)

    def close(self) -> None:
        """Drop all."""
        for peer in self._peers.values():
            self._forget(peer)
        self._peers.clear()

    def _forget(self, peer: _Peer) -> None:
        if peer.dialing is not None:
            peer.dialing.cancel()
        if peer.connection is not None:
            peer.connection.abort()

    def _dial(self, peer: _Peer, gap_s: float = REDIAL_S) -> None:
        now = self._net.now_s()
        if peer.dialing is None and now - peer.dialed_s >= gap_s:
            peer.dialed_s = now
            peer.dialing = self._net.loop.create_task(self._connect(peer))

    async def _connect(self, peer: _Peer) -> None:
        try:
            connection = await connect(
                self._net, parse_address(peer.address), self._came, CONNECT_S, self._ended, self._traffic
            )
        finally:
            peer.dialing = None
        if connection is None:
            return
        connection.peer = peer
        peer.connection = connection
        peer.dialed_s = self._net.now_s()
        connection.send(self._hello)
        self._on_connected(peer.address)

    def _came(self, connection: Connection, message: Message) -> None:
        """Peers answer on their own connection; nothing comes here."""

    def _ended(self, connection: Connection) -> None:
        peer = connection.peer
        if isinstance(peer, _Peer) and peer.connection is connection:
            peer.connection = None
