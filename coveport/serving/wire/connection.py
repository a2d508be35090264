"""A connection between two of our processes: framed messages both ways."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.wire.errors import RemoteProtocolError
from coveport.serving.wire.frames import HEADER_BYTES, FrameReader, write_frame
from coveport.serving.wire.messages import CODEC, Message
from coveport.serving.wire.traffic import Traffic

HELD_MOST = (
    16 * 1024 * 1024
)  # bytes unsent, beyond which further messages are dropped: the peer does not read

Receiver = Callable[["Connection", Message], None]


class Connection(asyncio.Protocol):
    """One TCP connection; `on_message` is called for each message, `on_end` once at its end."""

    def __init__(
        self,
        net: Net,
        on_message: Receiver,
        on_end: Callable[[Connection], None] | None = None,
        traffic: Traffic | None = None,
        on_refused: Callable[[Connection, str], None] | None = None,
    ) -> None:
        """`on_refused`: told why, before a connection ends on which something came that is no message."""
        self._net = net
        self._on_message = on_message
        self._on_end = on_end
        self._on_refused = on_refused
        self._traffic = traffic if traffic is not None else Traffic()
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self.last_received_s = 0.0
        self.peer: object = None  # whatever the user keeps with it

    @property
    def peer_host(self) -> str:
        """Address of the other end; empty: it is gone."""
        name = self._transport.get_extra_info("peername") if self._transport is not None else None
        return str(name[0]) if name else ""

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Messages can be sent from here on."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.last_received_s = self._net.now_s()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        self._transport = None
        if self._on_end is not None:
            self._on_end(self)

    def data_received(self, data: bytes) -> None:
        """Hand whole messages to the owner."""
        self.last_received_s = self._net.now_s()
        try:
            for payload in self._reader.feed(data):
                message = CODEC.decode(payload)
                self._traffic.note_received(type(message), HEADER_BYTES + len(payload))
                self._on_message(self, message)
        except RemoteProtocolError as problem:
            if self._on_refused is not None:
                self._on_refused(self, str(problem))
            self.drop()

    def send(self, message: Message) -> None:
        """Send, or drop where the connection is over or the peer does not read."""
        self.send_frame(type(message), write_frame(CODEC.encode(message)))

    def send_frame(self, kind: type, frame: bytes) -> None:
        """Send a message of that kind that was framed already."""
        if self._write(frame):
            self._traffic.note_sent(kind, len(frame))

    def _write(self, frame: bytes) -> bool:
        """Whether the frame is on its way."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > HELD_MOST:
            self.drop()
            return False
        transport.write(frame)
        return True

    def close(self) -> None:
        """End it once all that was sent is on its way."""
        if self._transport is not None:
            self._transport.close()

    def drop(self) -> None:
        """End it at once."""
        if self._transport is not None:
            self._net.reset(self._transport)


async def connect(
    net: Net,
    address: Address,
    on_message: Receiver,
    within_s: float,
    on_end: Callable[[Connection], None] | None = None,
    traffic: Traffic | None = None,
) -> Connection | None:
    """A new connection, or None where it did not come up in time."""
    made: list[Connection] = []

    def factory() -> Connection:
        made.append(Connection(net, on_message, on_end, traffic))
        return made[-1]

    try:
        async with asyncio.timeout(within_s):
            await net.dial(factory, address)
    except (OSError, TimeoutError):
        for connection in made:
            connection.drop()
        return None
    return made[-1]
