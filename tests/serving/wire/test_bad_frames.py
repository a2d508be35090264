"""What is no sound frame of ours ends its connection, and nothing of it is handed on."""

from __future__ import annotations

import asyncio
import zlib
from random import Random

import pytest

from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.messages import Confirm, Confirmed, Prepare
from coveport.serving.wire import frames
from coveport.serving.wire.connection import Connection
from coveport.serving.wire.frames import write_frame
from coveport.serving.wire.messages import CODEC, Hello, Message, TableRequest

EPOCH = Epoch(3, "d1")
SOUND = (Hello("10.0.0.1:7300", "d1"), Prepare(EPOCH), Confirm(EPOCH, 4), TableRequest(), Confirmed(EPOCH, 4))


class Transport(asyncio.Transport):
    """Notes whether it was ended."""

    def __init__(self) -> None:
        super().__init__()
        self.is_over = False

    def is_closing(self) -> bool:
        return self.is_over


class Here:
    """A net on which connections end at once."""

    def now_s(self) -> float:
        return 1.0

    def reset(self, transport: Transport) -> None:
        transport.is_over = True


REFUSED: list[str] = []  # reasons, of the last connection


def receive(*pieces: bytes) -> tuple[list[Message], bool]:
    """What is handed on of the pieces, and whether the connection was ended."""
    got: list[Message] = []
    REFUSED.clear()
    connection = Connection(
        Here(),  # type: ignore[arg-type]
        lambda _, message: got.append(message),
        on_refused=lambda _, problem: REFUSED.append(problem),
    )
    transport = Transport()
    connection.connection_made(transport)
    for piece in pieces:
        if not transport.is_over:
            connection.data_received(piece)
    return got, transport.is_over


def frame(message: Message) -> bytes:
    return write_frame(CODEC.encode(message))


def with_version(version: int) -> bytes:
    data = bytearray(frame(SOUND[1]))
    data[3] = version
    return bytes(data)


TOO_LONG = b"CVP" + bytes([frames.FORMAT_VERSION]) + (frames.MOST_BYTES + 1).to_bytes(4, "big") + bytes(4)
UNKNOWN_KIND = write_frame(b"\xff" + CODEC.encode(SOUND[1])[1:])
CUT_MESSAGE = write_frame(CODEC.encode(SOUND[0])[:-3])


@pytest.mark.parametrize(
    "bad",
    [
        TOO_LONG,
        UNKNOWN_KIND,
        CUT_MESSAGE,
        with_version(frames.FORMAT_VERSION + 1),
        with_version(frames.FORMAT_VERSION - 1),
        write_frame(b""),
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
    ids=["too long", "unknown kind", "cut message", "newer", "older", "empty", "another protocol"],
)
def test_a_bad_frame_ends_the_connection_and_what_came_before_it_counts(bad: bytes) -> None:
    got, is_over = receive(frame(SOUND[0]), bad, frame(SOUND[1]))
    assert got == [SOUND[0]]
    assert is_over
    assert len(REFUSED) == 1 and REFUSED[0], "people are told why, once"


def test_a_frame_that_is_cut_is_waited_for_and_hands_nothing_on() -> None:
    whole = frame(SOUND[0])
    for end in range(len(whole)):
        assert receive(whole[:end]) == ([], False)


def test_any_single_flipped_bit_hands_on_nothing_false() -> None:
    """The checksum covers the message; a flipped header is another length, mark or version."""
    data = b"".join(frame(message) for message in SOUND)
    for place in range(len(data)):
        for bit in range(8):
            flipped = bytearray(data)
            flipped[place] ^= 1 << bit
            got, _ = receive(bytes(flipped))
            assert got == list(SOUND[: len(got)]), f"byte {place}, bit {bit}"
            assert len(got) < len(SOUND)


def test_a_hundred_thousand_mutated_exchanges_hand_on_nothing_that_was_not_sent() -> None:
    """Bytes dropped, doubled, swapped and flipped, in streams of frames, from one seed."""
    chance = Random(20261202)
    stream = [frame(message) for message in SOUND]
    for _ in range(100_000 // 10):  # ten mutations each
        data = bytearray(b"".join(chance.choices(stream, k=4)))
        original = bytes(data)
        for _ in range(10):
            _mutate(data, chance)
        got, _ = receive(bytes(data))
        allowed = {zlib.crc32(CODEC.encode(message)) for message in SOUND}
        assert all(zlib.crc32(CODEC.encode(message)) in allowed for message in got), original


def _mutate(data: bytearray, chance: Random) -> None:
    place = chance.randrange(len(data))
    match chance.randrange(4):
        case 0:
            data[place] ^= 1 << chance.randrange(8)
        case 1:
            del data[place : place + chance.randrange(1, 9)]
            data.extend(b"\x00")
        case 2:
            data[place:place] = data[place : place + chance.randrange(1, 9)]
        case _:
            other = chance.randrange(len(data))
            data[place], data[other] = data[other], data[place]
