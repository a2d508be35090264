"""Connections to the other coordinators: each coordinator dials every other coordinator.

Messages may be lost; a sender repeats a message whose loss matters. Peers ping several times within
`PEER_TIMEOUT_S`. A connection whose peer sent nothing for that long is dropped and dialed again, since TCP's
long retransmission time-outs would notice the end of a partition too late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from coveport.net.address import parse_address
from coveport.net.transport import Net
from coveport.serving.wire.connection import Connection, ProtocolErrorHandler, connect
from coveport.serving.wire.messages import Hello, Message
from coveport.serving.wire.traffic import Traffic

CONNECT_TIMEOUT_S: Final = 0.5
REDIAL_INTERVAL_S: Final = 0.2
LIVE_REDIAL_INTERVAL_S: Final = 0.02  # interval for a peer that has just sent something
PEER_TIMEOUT_S: Final = 1.0

PeerMessageHandler = Callable[[Hello, Message], None]
PeerConnectedHandler = Callable[[str], None]  # called with the peer's inner address


@dataclass(slots=True)
class _Peer:
    address: str
    connection: Connection | None = None
    last_received_s: float = 0.0  # when the peer last sent anything, on any connection
    dial_task: asyncio.Task[None] | None = None
    last_dial_s: float = -1.0


class PeerConnections:
    """The connections to all other coordinators, by inner address."""

    def __init__(
        self,
        net: Net,
        hello: Hello,
        on_message: PeerMessageHandler,
        on_connected: PeerConnectedHandler,
        traffic: Traffic | None = None,
        on_protocol_error: ProtocolErrorHandler | None = None,
    ) -> None:
        """Create an empty set of peers; `hello` is the first message on each connection that is dialed.

        `on_protocol_error`: called where a peer can't read the messages of this coordinator.
        """
        self._net = net
        self._hello = hello
        self._on_message = on_message
        self._on_connected = on_connected
        self._traffic = traffic
        self._on_protocol_error = on_protocol_error
        self._peers: dict[str, _Peer] = {}

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Connect to the peers at these addresses, and disconnect all others."""
        new_addresses = set(addresses) - {self._hello.address}
        for address in new_addresses - self._peers.keys():
            self._peers[address] = _Peer(address)
        for address in self._peers.keys() - new_addresses:
            self._disconnect(self._peers.pop(address))

    def send(self, address: str, message: Message) -> None:
        """Send a message to a peer; without an open connection, lose the message and dial the peer."""
        peer = self._peers.get(address)
        if peer is None:
            self._peers[address] = peer = _Peer(address)
        if peer.connection is not None and peer.connection.is_open:
            peer.connection.send(message)
        else:
            self._dial(peer)

    def known(self) -> list[str]:
        """Return the addresses of all peers, connected or not."""
        return list(self._peers)

    def live(self, within_s: float = PEER_TIMEOUT_S) -> list[str]:
        """Return the addresses of the connected peers that sent something within the last `within_s`."""
        since_s = self._net.now_s() - within_s
        return [
            peer.address
            for peer in self._peers.values()
            if peer.connection is not None and peer.connection.is_open and peer.last_received_s >= since_s
        ]

    def receive(self, hello: Hello, message: Message) -> None:
        """Handle a message on a connection that a peer dialed; `hello` was its first message."""
        peer = self._peers.get(hello.address)
        if peer is not None:
            self._record_received(peer)
        self._on_message(hello, message)

    def _record_received(self, peer: _Peer) -> None:
        """Record that a peer is live; without a connection, dial it now rather than in `maintain`."""
        peer.last_received_s = self._net.now_s()
        if peer.dial_task is None and (peer.connection is None or not peer.connection.is_open):
            self._dial(peer, LIVE_REDIAL_INTERVAL_S)

    def maintain(self) -> None:
        """Dial peers that are disconnected or timed out; to be called several times a second."""
        now_s = self._net.now_s()
        for peer in self._peers.values():
            connection = peer.connection
            idle_s = now_s - max(peer.last_received_s, peer.last_dial_s)
            if connection is not None and connection.is_open and idle_s > PEER_TIMEOUT_S:
                connection.abort()
                peer.connection = None
            if peer.connection is None or not peer.connection.is_open:
                self._dial(peer)

    def close(self) -> None:
        """Drop all connections."""
        for peer in self._peers.values():
            self._disconnect(peer)
        self._peers.clear()

    def _disconnect(self, peer: _Peer) -> None:
        if peer.dial_task is not None:
            peer.dial_task.cancel()
        if peer.connection is not None:
            peer.connection.abort()

    def _dial(self, peer: _Peer, interval_s: float = REDIAL_INTERVAL_S) -> None:
        now_s = self._net.now_s()
        if peer.dial_task is None and now_s - peer.last_dial_s >= interval_s:
            peer.last_dial_s = now_s
            peer.dial_task = self._net.loop.create_task(self._connect(peer))

    async def _connect(self, peer: _Peer) -> None:
        try:
            connection = await connect(
                self._net,
                parse_address(peer.address),
                self._ignore_message,
                CONNECT_TIMEOUT_S,
                self._on_closed,
                self._traffic,
                self._on_protocol_error,
            )
        finally:
            peer.dial_task = None
        if connection is None:
            return
        connection.peer = peer
        peer.connection = connection
        peer.last_dial_s = self._net.now_s()
        connection.send(self._hello)
        self._on_connected(peer.address)

    def _ignore_message(self, connection: Connection, message: Message) -> None:
        """Ignore messages on dialed connections: peers send on the connections that they dial themselves."""

    def _on_closed(self, connection: Connection) -> None:
        peer = connection.peer
        if isinstance(peer, _Peer) and peer.connection is connection:
            peer.connection = None
