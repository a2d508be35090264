"""Reads a generation in format 1 of the ring, which older programs wrote: a single copy, without batches."""

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
_POSITION = struct.Struct(">Q")
_HEADER_BYTES: Final = _HEADER.size + _CHECKSUM.size


@dataclass(frozen=True, slots=True)
class Format1Generation:
    """The generation in a file."""

    number: int
    records: list[bytes]
    has_complete_snapshot: bool


def read(data: bytes) -> Format1Generation | None:
    """Return the generation in a file of format 1; None if the file holds no generation."""
    if len(data) < _HEADER_BYTES:
        return None
    header = data[: _HEADER.size]
    magic, version, number, salt, snapshot_records = _HEADER.unpack(header)
    (stored_crc,) = _CHECKSUM.unpack_from(data, _HEADER.size)
    if magic != MAGIC or version != FORMAT_VERSION or zlib.crc32(header) != stored_crc:
        return None
    records = _read_records(data, salt)
    return Format1Generation(number, records, len(records) >= snapshot_records)


def _read_records(data: bytes, salt: bytes) -> list[bytes]:
    records: list[bytes] = []
    offset = _HEADER_BYTES
    while offset + _FRAME.size <= len(data):
        length, stored_crc = _FRAME.unpack_from(data, offset)
        record = data[offset + _FRAME.size : offset + _FRAME.size + length]
        if len(record) < length or _checksum(salt, len(records), record) != stored_crc:
            break
        records.append(record)
        offset += _FRAME.size + length
    return records


def _checksum(salt: bytes, position: int, record: bytes) -> int:
    return zlib.crc32(record, zlib.crc32(_POSITION.pack(position), zlib.crc32(salt)))
