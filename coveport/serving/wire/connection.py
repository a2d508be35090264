"""A TCP connection between two of this system's processes, with framed messages in both directions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.resource_budget import Reservation, ResourceBudget
from coveport.serving.wire.errors import RemoteProtocolError, UnsupportedVersionError, VersionRejectedError
from coveport.serving.wire.frames import HEADER_BYTES, FrameReader, write_frame
from coveport.serving.wire.messages import CODEC, Message, VersionRejected
from coveport.serving.wire.traffic import Traffic
from coveport.serving.wire.versions import FRAME_VERSION

# If more bytes are unsent than this, the connection is aborted: a frozen peer must not exhaust the memory.
MAX_UNSENT_BYTES: Final = 16 * 1024 * 1024

# Bytes received at once on an accepted connection, before the memory for them is reserved.
MAX_READ_BYTES: Final = 64 * 1024

MessageHandler = Callable[["Connection", Message], None]
CloseHandler = Callable[["Connection"], None]
ProtocolErrorHandler = Callable[["Connection", RemoteProtocolError], None]


class Connection(asyncio.Protocol):
    """One end of a connection; messages are passed to the owner as they arrive."""

    def __init__(
        self,
        net: Net,
        on_message: MessageHandler,
        on_closed: CloseHandler | None = None,
        traffic: Traffic | None = None,
        on_protocol_error: ProtocolErrorHandler | None = None,
        budget: ResourceBudget | None = None,
    ) -> None:
        """Create one end, for a listener or for `connect`.

        `on_message`: called for each message. `on_closed`: called once, when the connection is closed.
        `traffic`: counts the messages; several connections may share it. `on_protocol_error`: called before
        the connection is closed because the peer sent an invalid message, or can't read this program's
        messages. `budget`: accounts for an accepted connection; until its first message it may give way to
        others.
        """
        self._net = net
        self._on_message = on_message
        self._on_closed = on_closed
        self._on_protocol_error = on_protocol_error
        self._traffic = traffic if traffic is not None else Traffic()
        self._reader = FrameReader()
        self._budget = budget
        self._reservation: Reservation | None = None
        self._has_received_message = False
        self._transport: asyncio.Transport | None = None
        self.last_received_s = 0.0  # by the net's clock; at first, the time of connecting
        self.peer: object = None  # data that the owner attaches to the connection

    @property
    def peer_host(self) -> str:
        """The IP address of the peer; empty if the connection is closed."""
        name = self._transport.get_extra_info("peername") if self._transport is not None else None
        return str(name[0]) if name else ""

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; messages can be sent from now on."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.last_received_s = self._net.now_s()
        if self._budget is not None:
            self._net.limit_read(transport, MAX_READ_BYTES)
            self._reservation = self._budget.open(lambda _: self.abort())
            if self._reservation is None:
                self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner that the connection is closed."""
        self._transport = None
        self._reader = FrameReader()
        if self._reservation is not None:
            self._reservation.close()
        if self._on_closed is not None:
            self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Pass complete messages to the owner; end the connection after a protocol error."""
        self.last_received_s = self._net.now_s()
        try:
            for payload in self._reader.feed(data):
                message = CODEC.decode(payload)
                self._has_received_message = True
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
        self._account_for_received()

    def _account_for_received(self) -> None:
        """Account for the start of a frame; close the connection if it can't be held."""
        if self._reservation is None or self._reservation.is_closed:
            return
        reserve = self._reservation.serve if self._has_received_message else self._reservation.transfer
        if not reserve(self._reader.buffered_bytes):
            self.abort()

    def _notify_protocol_error(self, error: RemoteProtocolError) -> None:
        if self._on_protocol_error is not None:
            self._on_protocol_error(self, error)

    def send(self, message: Message) -> None:
        """Send a message; drop it if the connection is closed or the peer doesn't read."""
        self.send_frame(type(message), write_frame(CODEC.encode(message)))

    def send_frame(self, kind: type, frame: bytes) -> None:
        """Like `send`, for a message of class `kind` that is already framed."""
        if self._write(frame):
            self._traffic.record_sent(kind, len(frame))

    def _write(self, frame: bytes) -> bool:
        """Pass a frame to the transport; return False if it was dropped."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return False
        transport.write(frame)
        return True

    def close(self) -> None:
        """Close the connection after all buffered messages are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once; buffered messages are lost."""
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
    """Open a connection; return None if it is refused or takes longer than `timeout_s`."""
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
