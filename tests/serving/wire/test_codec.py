"""Messages are decoded as they were encoded; frames are read in any chunks, and rejected if corrupted."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.wire.codec import MessageCodec
from coveport.serving.wire.dataclass_formats import cache_encodings
from coveport.serving.wire.errors import LocalProtocolError, MalformedFrameError, MalformedMessageError
from coveport.serving.wire.frames import HEADER_BYTES, FrameReader, write_frame


class Colour(enum.Enum):
    RED = "red"
    BLUE = "blue"


@dataclass(frozen=True, slots=True)
class Inner:
    number: int
    text: str


@dataclass(frozen=True, slots=True)
class Outer:
    flag: bool
    ratio: float
    data: bytes
    colour: Colour
    optional_item: Inner | None
    items: tuple[Inner, ...]


@dataclass(frozen=True, slots=True)
class Empty:
    pass


CODEC: MessageCodec[object] = MessageCodec((Inner, Outer, Empty))
inners = st.builds(Inner, st.integers(-(1 << 70), 1 << 70), st.text(st.characters(exclude_categories=["Cs"])))
outers = st.builds(
    Outer,
    st.booleans(),
    st.floats(allow_nan=False),
    st.binary(),
    st.sampled_from(Colour),
    st.none() | inners,
    st.lists(inners, max_size=4).map(tuple),
)


@given(st.one_of(inners, outers, st.just(Empty())))
def test_a_decoded_message_equals_the_encoded_one(message: object) -> None:
    assert CODEC.decode(CODEC.encode(message)) == message


@pytest.mark.parametrize("data", [b"", b"\x63", b"\x00", b"\x01\x01\x02"])
def test_bytes_that_are_no_message_are_malformed(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        CODEC.decode(data)


@given(st.lists(st.binary(max_size=50), max_size=5), st.integers(1, 40))
def test_frames_survive_any_chunking(payloads: list[bytes], chunk_bytes: int) -> None:
    stream = b"".join(map(write_frame, payloads))
    reader = FrameReader()
    received: list[bytes] = []
    for start in range(0, len(stream), chunk_bytes):
        received.extend(reader.feed(stream[start : start + chunk_bytes]))
    assert received == payloads


@given(st.binary(min_size=1, max_size=50), st.data())
def test_a_corrupted_frame_is_never_read_as_another_one(payload: bytes, data: st.DataObject) -> None:
    frame = bytearray(write_frame(payload))
    offset = data.draw(st.integers(0, len(frame) - 1))
    frame[offset] ^= 1 << data.draw(st.integers(0, 7))
    try:
        received = list(FrameReader().feed(bytes(frame)))
    except MalformedFrameError:
        return
    assert received == []  # the corrupted length is larger: the reader waits for more bytes


def test_a_frame_of_a_newer_version_is_malformed() -> None:
    frame = bytearray(write_frame(b"x"))
    frame[3] += 1
    with pytest.raises(MalformedFrameError):
        list(FrameReader().feed(bytes(frame)))
    assert HEADER_BYTES == 12


@dataclass(frozen=True, slots=True)
class Cached:
    number: int
    text: str


@dataclass(frozen=True, slots=True)
class ManyCached:
    items: tuple[Cached, ...]


@dataclass(frozen=True, slots=True)
class ManyInner:
    items: tuple[Inner, ...]


cache_encodings(Cached)


@given(st.lists(st.tuples(st.integers(-5, 5), st.sampled_from("ab")), max_size=30))
def test_cached_values_have_the_same_bytes_as_uncached_ones(pairs: list[tuple[int, str]]) -> None:
    codec: MessageCodec[object] = MessageCodec((ManyCached, ManyInner))
    cached = ManyCached(tuple(Cached(*pair) for pair in pairs))
    encoded = codec.encode(cached)
    plain = codec.encode(ManyInner(tuple(Inner(*pair) for pair in pairs)))
    assert encoded[1:] == plain[1:]
    assert codec.decode(encoded) == cached


@dataclass(frozen=True, slots=True)
class WithoutFormat:
    numbers: list[int]


def test_encoding_a_class_that_the_codec_lacks_raises_a_local_protocol_error() -> None:
    with pytest.raises(LocalProtocolError, match="Cached"):
        CODEC.encode(Cached(1, "a"))


def test_encoding_an_unsupported_field_type_raises_a_local_protocol_error() -> None:
    codec: MessageCodec[object] = MessageCodec((WithoutFormat,))
    with pytest.raises(LocalProtocolError, match="list"):
        codec.encode(WithoutFormat([1]))
