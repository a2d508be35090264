"""A connection of a ledger node on a ground with sockets, and what is out on it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from coveport.http1 import RequestParser
from coveport.sidecar.reducer.streams import MAX_STREAMED_BODY_BYTES
from coveport.testbed.model import Attempt

INBOX = memoryview(bytearray(64 * 1024))  # shared: what is read is taken out before the next read


class LinkedNode(Protocol):
    """The node, as its connections see it."""

    def linked(self, link: NodeLink) -> None:
        """A connection is up."""

    def came(self, link: NodeLink, data: memoryview) -> None:
        """Bytes have come."""

    def ended(self, link: NodeLink, how: str) -> None:
        """It has ended at the other end: by an "end" or a "reset"."""

    def done(self, link: NodeLink, attempt: Attempt, now: float) -> None:
        """The model is done with an attempt."""


class NodeLink(asyncio.BufferedProtocol):
    """One sidecar's connection to the node, and what is out on it."""

    __slots__ = (
        "node",
        "sidecar",
        "number",
        "parser",
        "transport",
        "began",
        "handed",
        "ready_at",
        "timer",
        "attempt",
        "unwhole",
        "last",
        "surplus",
        "gone",
    )

    def __init__(self, node: LinkedNode, sidecar: int) -> None:
        self.node = node
        self.sidecar = sidecar
        self.number = 0
        self.parser = RequestParser(MAX_STREAMED_BODY_BYTES)
        self.transport: asyncio.Transport
        self.began = self.handed = -1.0  # of the request that is coming in; -1: none
        self.ready_at = 0.0  # when the handshake is over
        self.timer: asyncio.TimerHandle | None = None  # of the handshake's end, or of the next drip
        self.attempt: Attempt | None = None  # the one to be answered
        self.unwhole: Attempt | None = None  # the one whose answer was spoilt and is out for ever
        self.last = False  # the sidecar wants it closed after the answer
        self.surplus = False  # there are more connections than the node takes
        self.gone = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A sidecar has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.node.linked(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read to."""
        return INBOX

    def buffer_updated(self, nbytes: int) -> None:
        """Hand on what has come."""
        if not self.gone:
            self.node.came(self, INBOX[:nbytes])

    def eof_received(self) -> bool:
        """The sidecar sends nothing more, which ends it."""
        self.node.ended(self, "end")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone, whoever ended it."""
        self.node.ended(self, "end" if exc is None else "reset")
