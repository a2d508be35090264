"""Accepts connections of coordinators and proxies at the inner address, and identifies the coordinators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from coveport.net.address import Address
from coveport.net.transport import Listening, Net
from coveport.serving.coordinator.peer_versions import PeerVersions
from coveport.serving.coordinator.stall_detector import StallDetector
from coveport.serving.log import EventLogger
from coveport.serving.resource_budget import ResourceBudget
from coveport.serving.wire.connection import Connection, ProtocolErrorHandler
from coveport.serving.wire.messages import Hello, Message
from coveport.serving.wire.traffic import Traffic

ACCEPT_BATCH: Final = 64  # connections accepted in one iteration of the event loop
LISTEN_BACKLOG: Final = 1024

MessageHandler = Callable[[Connection, Message], None]
ClosedHandler = Callable[[Connection], None]


class InnerListener:
    """The listener at the inner address.

    `Connection.peer` is the `Hello` of a coordinator, and None for a proxy.
    """

    def __init__(
        self,
        net: Net,
        own_disk: str,
        stall_detector: StallDetector,
        on_message: MessageHandler,
        on_closed: ClosedHandler,
        traffic: Traffic,
        versions: PeerVersions,
        on_protocol_error: ProtocolErrorHandler,
        budget: ResourceBudget,
        log: EventLogger,
    ) -> None:
        """Create a listener; `own_disk` is the identity of this coordinator's disk.

        `on_message` is called with every message but `Hello`, and `on_closed` with each closed connection.
        `on_protocol_error` is called where another program, or an incompatible version, connected. `budget`
        is that of the process.
        """
        self._net = net
        self._own_disk = own_disk
        self._stall_detector = stall_detector
        self._on_message = on_message
        self._on_closed = on_closed
        self._traffic = traffic
        self._versions = versions
        self._on_protocol_error = on_protocol_error
        self._budget = budget
        self._log = log
        self._listening: Listening | None = None

    async def start(self, address: Address) -> None:
        """Start listening; raise OSError where the address can't be bound."""
        self._listening = await self._net.listen(
            self._make_connection, address, accepts_per_turn=ACCEPT_BATCH, backlog=LISTEN_BACKLOG
        )

    def close(self) -> None:
        """Stop accepting connections; open connections stay open."""
        if self._listening is not None:
            self._listening.close()

    def _make_connection(self) -> Connection:
        return Connection(
            self._net, self._receive, self._on_closed, self._traffic, self._on_protocol_error, self._budget
        )

    def _receive(self, connection: Connection, message: Message) -> None:
        self._stall_detector.check()
        if isinstance(message, Hello):
            self._identify(connection, message)
        else:
            self._on_message(connection, message)

    def _identify(self, connection: Connection, hello: Hello) -> None:
        """Record which coordinator dialed; reset the connection at a second `Hello`.

        A peer with the identity of this coordinator's disk runs on a copy of that disk, and is reset too.
        """
        if hello.disk == self._own_disk:
            self._log.error("duplicate_identity", address=hello.address)
            connection.abort()
        elif connection.peer is not None:
            connection.abort()
        else:
            connection.peer = hello
            self._versions.record_coordinator(hello.address, hello.protocol_version)
