"""Encodes a ring's files in format 2: a header, then frames, each with a record and its checksum.

A header holds the generation's number, a random salt and the number of records in its snapshot. Checksums
cover the salt and the generation's number, so a frame that an earlier generation left in the file is invalid.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from typing import Final

from coveport.serving.storage.errors import UnsupportedFormatError

MAGIC: Final = b"CVPR"
FORMAT_VERSION: Final = 2
HIGHEST_PLAUSIBLE_VERSION: Final = 1000  # a number above this is garbage, not a version
SALT_BYTES: Final = 8
TAG_BYTES: Final = 4  # part of the salt in front of each frame, to find a frame behind a corrupted one

_HEADER = struct.Struct(">4sHQ8sI")  # magic, version, generation, salt, records in the snapshot
_CHECKSUM = struct.Struct(">I")
_GENERATION_NUMBER = struct.Struct(">Q")
_FRAME = struct.Struct(f">{TAG_BYTES}sIII")  # tag, length, position of the record, position of its batch
HEADER_BYTES: Final = _HEADER.size + _CHECKSUM.size
FRAME_OVERHEAD_BYTES: Final = _FRAME.size + _CHECKSUM.size


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a generation."""

    generation: int  # number of the generation
    salt: bytes
    snapshot_records: int  # number of records in the snapshot

    @property
    def tag(self) -> bytes:
        """The first bytes of each frame."""
        return self.salt[:TAG_BYTES]


@dataclass(frozen=True, slots=True)
class Frame:
    """A valid record. Positions count the records of a generation from 0."""

    position: int
    batch_position: int  # position of the first record in the same batch
    record: bytes


def encode_header(header: Header) -> bytes:
    """Return a header with its checksum."""
    data = _HEADER.pack(MAGIC, FORMAT_VERSION, header.generation, header.salt, header.snapshot_records)
    return data + _CHECKSUM.pack(zlib.crc32(data))


def decode_header(data: memoryview) -> Header | None:
    """Return the header at the start of the data; None if there is no valid header of this format.

    Raises UnsupportedFormatError if there is a valid header of a newer format.
    """
    if len(data) < HEADER_BYTES:
        return None
    header = bytes(data[: _HEADER.size])
    magic, version, generation, salt, snapshot_records = _HEADER.unpack(header)
    (stored_crc,) = _CHECKSUM.unpack_from(data, _HEADER.size)
    if magic != MAGIC or zlib.crc32(header) != stored_crc:
        return None
    if FORMAT_VERSION < version <= HIGHEST_PLAUSIBLE_VERSION:
        raise UnsupportedFormatError(
            f"the disk holds format {version}; this program knows up to {FORMAT_VERSION}"
        )
    return Header(generation, salt, snapshot_records) if version == FORMAT_VERSION else None


def encode_frame(header: Header, frame: Frame) -> bytes:
    """Return a frame as bytes: its fixed fields, the checksum, and the record."""
    fixed_fields = _FRAME.pack(header.tag, len(frame.record), frame.position, frame.batch_position)
    return fixed_fields + _CHECKSUM.pack(checksum(header, fixed_fields, frame.record)) + frame.record


def decode_frame(data: memoryview, offset: int, header: Header) -> Frame | None:
    """Return the frame at an offset in bytes; None if there is no valid frame of this generation."""
    start = offset + FRAME_OVERHEAD_BYTES
    if start > len(data):
        return None
    fixed_fields = bytes(data[offset : offset + _FRAME.size])
    tag, length, position, batch_position = _FRAME.unpack(fixed_fields)
    if tag != header.tag or start + length > len(data):
        return None
    (stored_crc,) = _CHECKSUM.unpack_from(data, offset + _FRAME.size)
    record = bytes(data[start : start + length])
    return (
        Frame(position, batch_position, record)
        if checksum(header, fixed_fields, record) == stored_crc
        else None
    )


def checksum(header: Header, fixed_fields: bytes, record: bytes) -> int:
    """Return the CRC-32 of a record, the fixed fields of its frame, and its generation."""
    generation = header.salt + _GENERATION_NUMBER.pack(header.generation)
    return zlib.crc32(record, zlib.crc32(fixed_fields, zlib.crc32(generation)))
