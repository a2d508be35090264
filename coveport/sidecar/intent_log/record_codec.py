"""Encoding and decoding of records: eight hex digits of a CRC-32, then JSON.

The module is pure: it does no I/O, and uses no clock or random source of its own.
"""

from __future__ import annotations

import zlib

import msgspec

from coveport.sidecar.intent_log.errors import UnreadableRecordError
from coveport.sidecar.intent_log.record import FORMAT, Record

CHECKSUM_BYTES = 8


class _FormatOnly(msgspec.Struct):
    format: int = 0


def encode(record: Record) -> bytes:
    """Return a record in its stored form."""
    body = msgspec.json.encode(record)
    return _checksum(body) + body


def decode(data: bytes) -> Record:
    """Return a stored record; raise UnreadableRecordError if the record is damaged or of a later format."""
    body = data[CHECKSUM_BYTES:]
    if data[:CHECKSUM_BYTES] != _checksum(body):
        raise UnreadableRecordError("its checksum does not match: it was damaged")
    try:
        record = msgspec.json.decode(body, type=Record)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        stored_format = _format_of(body)
        if stored_format > FORMAT:
            raise UnreadableRecordError(
                f"of format {stored_format}; the latest known format is {FORMAT}"
            ) from error
        raise UnreadableRecordError(" ".join(str(error).split())) from error
    if record.format > FORMAT:
        raise UnreadableRecordError(
            f"{record.id}: of format {record.format}; the latest known format is {FORMAT}"
        )
    return record


def _checksum(body: bytes) -> bytes:
    return b"%08x" % zlib.crc32(body)


def _format_of(body: bytes) -> int:
    """Return the format number in a body; 0 if there is no number."""
    try:
        return msgspec.json.decode(body, type=_FormatOnly).format
    except (msgspec.DecodeError, msgspec.ValidationError):
        return 0
