"""Reads a generation as programs before format 2 of the ring wrote it: one copy, no mark of batches."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from typing import Final

MAGIC: Final = b"CVPR"
FORMAT_VERSION: Final = 1

_HEADER = struct.Struct(">4sHQ8sI")  # magic, version, generation, salt, records in the snapshot
_CHECKSUM = struct.Struct(">I")
_FRAME = struct.Struct(">II")  # length, checksum
_PLACE = struct.Struct(">Q")
_HEADER_BYTES: Final = _HEADER.size + _CHECKSUM.size


@dataclass(frozen=True, slots=True)
class OlderGeneration:
    """What one file holds."""

    number: int
    records: list[bytes]
    is_whole: bool  # its snapshot is complete


def read(data: bytes) -> OlderGeneration | None:
    """The generation in a file of that format; None: there is none."""
    if len(data) < _HEADER_BYTES:
        return None
    header = data[: _HEADER.size]
    magic, version, number, salt, snapshot_count = _HEADER.unpack(header)
    (header_checksum,) = _CHECKSUM.unpack_from(data, _HEADER.size)
    if magic != MAGIC or version != FORMAT_VERSION or zlib.crc32(header) != header_checksum:
        return None
    records = _read_records(data, salt)
    return OlderGeneration(number, records, len(records) >= snapshot_count)


def _read_records(data: bytes, salt: bytes) -> list[bytes]:
    records: list[bytes] = []
    offset = _HEADER_BYTES
    while offset + _FRAME.size <= len(data):
        length, expected = _FRAME.unpack_from(data, offset)
        record = data[offset + _FRAME.size : offset + _FRAME.size + length]
        if len(record) < length or _checksum(salt, len(records), record) != expected:
            break
        records.append(record)
        offset += _FRAME.size + length
    return records


def _checksum(salt: bytes, place: int, record: bytes) -> int:
    return zlib.crc32(record, zlib.crc32(_PLACE.pack(place), zlib.crc32(salt)))
