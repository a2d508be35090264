"""Messages become bytes and come back; frames survive any chunking and no damage."""

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
    share: float
    data: bytes
    colour: Colour
    maybe: Inner | None
    many: tuple[Inner, ...]


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
def test_a_message_comes_back_as_it_was(message: object) -> None:
    assert CODEC.decode(CODEC.encode(message)) == message


@pytest.mark.parametrize("data", [b"", b"\x63", b"\x00", b"\x01\x01\x02"])
def test_bytes_that_are_no_message_are_malformed(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        CODEC.decode(data)


@given(st.lists(st.binary(max_size=50), max_size=5), st.integers(1, 40))
def test_frames_survive_any_chunking(payloads: list[bytes], step: int) -> None:
    stream = b"".join(map(write_frame, payloads))
    reader = FrameReader()
    received: list[bytes] = []
    for start in range(0, len(stream), step):
        received.extend(reader.feed(stream[start : start + step]))
    assert received == payloads


@given(st.binary(min_size=1, max_size=50), st.data())
def test_a_damaged_frame_never_comes_through_as_another(payload: bytes, data: st.DataObject) -> None:
    frame = bytearray(write_frame(payload))
    offset = data.draw(st.integers(0, len(frame) - 1))
    frame[offset] ^= 1 << data.draw(st.integers(0, 7))
    try:
        received = list(FrameReader().feed(bytes(frame)))
    except MalformedFrameError:
        return
    assert received == []  # a longer length: the reader waits for the rest


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
    many: tuple[Cached, ...]


@dataclass(frozen=True, slots=True)
class ManyInner:
    many: tuple[Inner, ...]


cache_encodings(Cached)


@given(st.lists(st.tuples(st.integers(-5, 5), st.sampled_from("ab")), max_size=30))
def test_cached_values_have_the_same_bytes_as_others(pairs: list[tuple[int, str]]) -> None:
    codec: MessageCodec[object] = MessageCodec((ManyCached, ManyInner))
    cached = ManyCached(tuple(Cached(*pair) for pair in pairs))
    encoded = codec.encode(cached)
    plain = codec.encode(ManyInner(tuple(Inner(*pair) for pair in pairs)))
    assert encoded[1:] == plain[1:]
    assert codec.decode(encoded) == cached


@dataclass(frozen=True, slots=True)
class WithoutFormat:
    numbers: list[int]


def test_a_message_that_the_codec_does_not_have_is_an_error_of_this_process() -> None:
    with pytest.raises(LocalProtocolError, match="Cached"):
        CODEC.encode(Cached(1, "a"))


def test_a_field_without_a_format_is_an_error_of_this_process() -> None:
    codec: MessageCodec[object] = MessageCodec((WithoutFormat,))
    with pytest.raises(LocalProtocolError, match="list"):
        codec.encode(WithoutFormat([1]))
