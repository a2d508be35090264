"""Messages, frames and stored records of the serving system keep their bytes."""

from __future__ import annotations

from typing import Any

import pytest
from golden_files import read_cases
from golden_wire_cases import MESSAGES, RECORDS, UPDATE, UPDATE_OF_CHANGES

from coveport.serving.replication.records import RECORDS as RECORD_KINDS
from coveport.serving.replication.records import Record
from coveport.serving.wire.codec import MessageCodec
from coveport.serving.wire.errors import MalformedMessageError
from coveport.serving.wire.frames import FrameReader, write_frame
from coveport.serving.wire.messages import CODEC
from coveport.serving.wire.shared_update import SharedUpdate

RECORD_CODEC: MessageCodec[Record] = MessageCodec(RECORD_KINDS)
MESSAGE_BYTES = read_cases("messages.json")
FRAME_BYTES = read_cases("frames.json")
RECORD_BYTES = read_cases("stored_records.json")
BYTES_OF_VERSION_3 = read_cases("messages_version_3.json")  # of messages that have got fields since
BYTES_OF_VERSION_4 = read_cases("messages_version_4.json")


def known_numbers(codec: MessageCodec[Any]) -> set[int]:
    """The numbers of all kinds of message that a codec reads."""
    return {number for number in range(256) if _is_known(codec, number)}


def _is_known(codec: MessageCodec[Any], number: int) -> bool:
    try:
        codec.decode(bytes([number]))
    except MalformedMessageError as problem:
        return str(problem) != "unknown kind of message"
    return True


def test_every_case_has_its_golden_bytes() -> None:
    assert MESSAGE_BYTES.keys() == MESSAGES.keys()
    assert FRAME_BYTES.keys() == MESSAGES.keys()
    assert RECORD_BYTES.keys() == RECORDS.keys()


def test_every_kind_of_message_and_record_has_a_case() -> None:
    assert known_numbers(CODEC) == set(range(29)) == {data[0] for data in MESSAGE_BYTES.values()}
    assert known_numbers(RECORD_CODEC) == set(range(6)) == {data[0] for data in RECORD_BYTES.values()}


@pytest.mark.parametrize("case", MESSAGES)
def test_a_message_is_read_and_written_as_before(case: str) -> None:
    assert CODEC.decode(MESSAGE_BYTES[case]) == MESSAGES[case]
    assert CODEC.encode(MESSAGES[case]) == MESSAGE_BYTES[case]


@pytest.mark.parametrize("case", BYTES_OF_VERSION_3)
def test_a_message_of_version_3_is_read_with_the_defaults_of_what_it_lacks(case: str) -> None:
    assert CODEC.decode(BYTES_OF_VERSION_3[case]) == MESSAGES[case]


@pytest.mark.parametrize("case", BYTES_OF_VERSION_3)
def test_a_message_begins_with_the_bytes_that_version_3_reads(case: str) -> None:
    """Programs of version 3 ignore what stands behind the fields that they know."""
    assert MESSAGE_BYTES[case].startswith(BYTES_OF_VERSION_3[case])


@pytest.mark.parametrize("case", BYTES_OF_VERSION_4)
def test_a_message_of_version_4_is_read_with_the_defaults_of_what_it_lacks(case: str) -> None:
    assert CODEC.decode(BYTES_OF_VERSION_4[case]) == MESSAGES[case]


@pytest.mark.parametrize("case", BYTES_OF_VERSION_4)
def test_a_message_begins_with_the_bytes_that_version_4_reads(case: str) -> None:
    """Programs of version 4 ignore what stands behind the fields that they know."""
    assert MESSAGE_BYTES[case].startswith(BYTES_OF_VERSION_4[case])


@pytest.mark.parametrize("case", MESSAGES)
def test_a_frame_is_read_and_written_as_before(case: str) -> None:
    assert list(FrameReader().feed(FRAME_BYTES[case])) == [MESSAGE_BYTES[case]]
    assert write_frame(MESSAGE_BYTES[case]) == FRAME_BYTES[case]


def test_frames_in_one_stream_are_told_apart() -> None:
    reader = FrameReader()
    stream = b"".join(FRAME_BYTES.values())
    pieces = [stream[at : at + 7] for at in range(0, len(stream), 7)]
    assert [data for piece in pieces for data in reader.feed(piece)] == list(MESSAGE_BYTES.values())


def test_an_update_for_many_proxies_has_the_same_bytes() -> None:
    assert SharedUpdate(UPDATE).frame(5, 600) == FRAME_BYTES["update with the whole state"]
    assert SharedUpdate(UPDATE_OF_CHANGES).frame(5, 600) == FRAME_BYTES["update with changes"]


@pytest.mark.parametrize("case", RECORDS)
def test_a_stored_record_is_read_and_written_as_before(case: str) -> None:
    assert RECORD_CODEC.decode(RECORD_BYTES[case]) == RECORDS[case]
    assert RECORD_CODEC.encode(RECORDS[case]) == RECORD_BYTES[case]
