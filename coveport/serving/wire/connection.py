"""A TCP connection between two of this system's processes, with framed messages both ways."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.wire.errors import RemoteProtocolError, UnsupportedVersionError, VersionRejectedError
from coveport.serving.wire.frames import HEADER_BYTES, FrameReader, write_frame
from coveport.serving.wire.messages import CODEC, Message, VersionRejected
from coveport.serving.wire.traffic import Traffic
from coveport.serving.wire.versions import FRAME_VERSION

# Beyond this the peer doesn't read: the connection is aborted, so that a frozen peer can't fill the memory.
MAX_UNSENT_BYTES: Final = 16 * 1024 * 1024

MessageHandler = Callable[["Connection", Message], None]
CloseHandler = Callable[["Connection"], None]
ProtocolErrorHandler = Callable[["Connection", RemoteProtocolError], None]


class Connection(asyncio.Protocol):
    """Either end of a connection; messages are handed to the owner as they arrive."""

    def __init__(
        self,
        net: Net,
        on_message: MessageHandler,
        on_closed: CloseHandler | None = None,
        traffic: Traffic | None = None,
        on_protocol_error: ProtocolErrorHandler | None = None,
    ) -> None:
        """Create one end, for a listener or for `connect`.

        `on_message`: called for each message. `on_closed`: called once, when the connection is over.
        `traffic`: counts the messages; several connections may share it. `on_protocol_error`: called before
        the connection ends because the peer sent something that is no message, or can't read ours.
        """
        self._net = net
        self._on_message = on_message
        self._on_closed = on_closed
        self._on_protocol_error = on_protocol_error
        self._traffic = traffic if traffic is not None else Traffic()
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self.last_received_s = 0.0  # in the net's clock; at first when the connection was made
        self.peer: object = None  # whatever the owner keeps with the connection

    @property
    def peer_host(self) -> str:
        """The IP address of the other end; empty where the connection is over."""
        name = self._transport.get_extra_info("peername") if self._transport is not None else None
        return str(name[0]) if name else ""

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; messages can be sent from here on."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.last_received_s = self._net.now_s()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner."""
        self._transport = None
        if self._on_closed is not None:
            self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Hand complete messages to the owner."""
        self.last_received_s = self._net.now_s()
        try:
            for payload in self._reader.feed(data):
                message = CODEC.decode(payload)
                self._traffic.record_received(type(message), HEADER_BYTES + len(payload))
                if isinstance(message, VersionRejected):
                    raise VersionRejectedError(message.frame_version)
                self._on_message(self, message)
        except UnsupportedVersionError as error:
            self._notify_protocol_error(error)
            self.send(VersionRejected(FRAME_VERSION))
            self.close()
        except RemoteProtocolError as error:
            self._notify_protocol_error(error)
            self.abort()

    def _notify_protocol_error(self, error: RemoteProtocolError) -> None:
        if self._on_protocol_error is not None:
            self._on_protocol_error(self, error)

    def send(self, message: Message) -> None:
        """Send a message; it is dropped where the connection is over or the peer doesn't read."""
        self.send_frame(type(message), write_frame(CODEC.encode(message)))

    def send_frame(self, kind: type, frame: bytes) -> None:
        """Send a message of class `kind` that is framed already, as `send` does."""
        if self._write(frame):
            self._traffic.record_sent(kind, len(frame))

    def _write(self, frame: bytes) -> bool:
        """Hand a frame to the transport, and return whether it took it."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return False
        transport.write(frame)
        return True

    def close(self) -> None:
        """Close the connection once all that was sent is on its way."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once; what is not yet on its way is lost."""
        if self._transport is not None:
            self._net.reset(self._transport)


async def connect(
    net: Net,
    address: Address,
    on_message: MessageHandler,
    timeout_s: float,
    on_closed: CloseHandler | None = None,
    traffic: Traffic | None = None,
    on_protocol_error: ProtocolErrorHandler | None = None,
) -> Connection | None:
    """Open a connection; return None where it is refused or takes longer than `timeout_s`."""
    created: list[Connection] = []

    def factory() -> Connection:
        created.append(Connection(net, on_message, on_closed, traffic, on_protocol_error))
        return created[-1]

    try:
        async with asyncio.timeout(timeout_s):
            await net.dial(factory, address)
    except (OSError, TimeoutError):
        for connection in created:
            connection.abort()
        return None
    return created[-1]
