"""A malformed frame ends its connection, and none of its content is passed to the owner."""

from __future__ import annotations

import asyncio
import zlib
from random import Random

import pytest

from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.messages import Confirm, Confirmed, Prepare
from coveport.serving.wire import frames
from coveport.serving.wire.connection import Connection
from coveport.serving.wire.errors import RemoteProtocolError, VersionRejectedError
from coveport.serving.wire.frames import FrameReader, write_frame
from coveport.serving.wire.messages import CODEC, Hello, Message, TableRequest, VersionRejected
from coveport.serving.wire.versions import FRAME_VERSION

EPOCH = Epoch(3, "d1")
VALID_MESSAGES = (
    Hello("10.0.0.1:7300", "d1"),
    Prepare(EPOCH),
    Confirm(EPOCH, 4),
    TableRequest(),
    Confirmed(EPOCH, 4),
)


class Transport(asyncio.Transport):
    """Records the written bytes, and whether the transport was aborted or closed."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False
        self.is_closed = False
        self.written = b""

    def is_closing(self) -> bool:
        return self.is_aborted or self.is_closed

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:  # type: ignore[override]
        assert not self.is_closing()
        self.written += data

    def close(self) -> None:
        self.is_closed = True


class AbortingNet:
    """A net that only marks a reset transport as aborted."""

    def now_s(self) -> float:
        return 1.0

    def reset(self, transport: Transport) -> None:
        transport.is_aborted = True


ERRORS: list[RemoteProtocolError] = []  # protocol errors of the last connection


def receive(*chunks: bytes) -> tuple[list[Message], bool]:
    """Return the received messages, and whether the connection was aborted."""
    received, transport = receive_on_transport(*chunks)
    return received, transport.is_aborted


def receive_on_transport(*chunks: bytes) -> tuple[list[Message], Transport]:
    """Return the received messages, and the transport of the connection."""
    received: list[Message] = []
    ERRORS.clear()
    connection = Connection(
        AbortingNet(),  # type: ignore[arg-type]
        lambda _, message: received.append(message),
        on_protocol_error=lambda _, error: ERRORS.append(error),
    )
    transport = Transport()
    connection.connection_made(transport)
    for chunk in chunks:
        if not transport.is_closing():
            connection.data_received(chunk)
    return received, transport


def frame(message: Message) -> bytes:
    return write_frame(CODEC.encode(message))


def frame_of_version(version: int) -> bytes:
    data = bytearray(frame(VALID_MESSAGES[1]))
    data[3] = version
    return bytes(data)


TOO_LONG = b"CVP" + bytes([FRAME_VERSION]) + (frames.MAX_PAYLOAD_BYTES + 1).to_bytes(4, "big") + bytes(4)
UNKNOWN_KIND = write_frame(b"\xff" + CODEC.encode(VALID_MESSAGES[1])[1:])
TRUNCATED_MESSAGE = write_frame(CODEC.encode(VALID_MESSAGES[0])[:-3])


@pytest.mark.parametrize(
    "malformed",
    [
        TOO_LONG,
        UNKNOWN_KIND,
        TRUNCATED_MESSAGE,
        frame(VersionRejected(FRAME_VERSION + 1)),
        write_frame(b""),
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
    ids=["too long", "unknown kind", "truncated message", "rejection", "empty", "another protocol"],
)
def test_a_malformed_frame_aborts_the_connection_after_earlier_messages_were_passed_on(
    malformed: bytes,
) -> None:
    received, is_aborted = receive(frame(VALID_MESSAGES[0]), malformed, frame(VALID_MESSAGES[1]))
    assert received == [VALID_MESSAGES[0]]
    assert is_aborted
    assert len(ERRORS) == 1 and str(ERRORS[0]), "the owner gets the reason, once"


@pytest.mark.parametrize("version", [FRAME_VERSION - 1, FRAME_VERSION + 1, 0, 255])
def test_a_frame_of_another_version_is_answered_with_the_supported_version(version: int) -> None:
    received, transport = receive_on_transport(
        frame(VALID_MESSAGES[0]), frame_of_version(version), frame(VALID_MESSAGES[1])
    )
    assert received == [VALID_MESSAGES[0]]
    assert transport.is_closed, "closed, not aborted: the answer must still be sent"
    [payload] = FrameReader().feed(transport.written)
    assert CODEC.decode(payload) == VersionRejected(FRAME_VERSION)
    assert len(ERRORS) == 1 and f"version {version};" in str(ERRORS[0])


def test_the_owner_is_notified_that_the_peer_rejected_the_frame_version() -> None:
    received, transport = receive_on_transport(frame(VersionRejected(7)))
    assert received == []
    assert transport.is_aborted
    assert transport.written == b"", "a rejection is not answered with another one"
    [error] = ERRORS
    assert isinstance(error, VersionRejectedError)
    assert error.frame_version == 7


def test_an_incomplete_frame_gives_no_message_and_keeps_the_connection_open() -> None:
    data = frame(VALID_MESSAGES[0])
    for end in range(len(data)):
        assert receive(data[:end]) == ([], False)


def test_any_single_flipped_bit_gives_no_wrong_message() -> None:
    """The checksum covers the message; a flipped bit in the header changes length, magic or version."""
    data = b"".join(frame(message) for message in VALID_MESSAGES)
    for offset in range(len(data)):
        for bit in range(8):
            flipped = bytearray(data)
            flipped[offset] ^= 1 << bit
            received, _ = receive(bytes(flipped))
            assert received == list(VALID_MESSAGES[: len(received)]), f"byte {offset}, bit {bit}"
            assert len(received) < len(VALID_MESSAGES)


def test_a_hundred_thousand_mutations_give_no_message_that_was_not_sent() -> None:
    """Drop, repeat, swap and flip bytes in streams of frames, with a fixed seed."""
    random = Random(20261202)
    stream = [frame(message) for message in VALID_MESSAGES]
    for _ in range(100_000 // 10):  # ten mutations each
        data = bytearray(b"".join(random.choices(stream, k=4)))
        original = bytes(data)
        for _ in range(10):
            _mutate(data, random)
        received, _ = receive(bytes(data))
        allowed = {zlib.crc32(CODEC.encode(message)) for message in VALID_MESSAGES}
        assert all(zlib.crc32(CODEC.encode(message)) in allowed for message in received), original


def _mutate(data: bytearray, random: Random) -> None:
    offset = random.randrange(len(data))
    match random.randrange(4):
        case 0:
            data[offset] ^= 1 << random.randrange(8)
        case 1:
            del data[offset : offset + random.randrange(1, 9)]
            data.extend(b"\x00")
        case 2:
            data[offset:offset] = data[offset : offset + random.randrange(1, 9)]
        case _:
            other_offset = random.randrange(len(data))
            data[offset], data[other_offset] = data[other_offset], data[offset]
