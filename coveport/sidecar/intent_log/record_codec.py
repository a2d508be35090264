"""Encode and decode records: eight hex digits of a CRC-32, then JSON. Pure."""

from __future__ import annotations

import zlib

import msgspec

from coveport.sidecar.intent_log.errors import UnreadableRecordError
from coveport.sidecar.intent_log.record import FORMAT, Record

CHECKSUM_BYTES = 8


class _FormatOnly(msgspec.Struct):
    format: int = 0


def encode(record: Record) -> bytes:
    """Return a record as it is stored."""
    body = msgspec.json.encode(record)
    return _checksum(body) + body


def decode(data: bytes) -> Record:
    """Return a stored record; UnreadableRecordError where it is damaged or of a later format."""
    body = data[CHECKSUM_BYTES:]
    if data[:CHECKSUM_BYTES] != _checksum(body):
        raise UnreadableRecordError("its sum does not match: it was damaged")
    try:
        record = msgspec.json.decode(body, type=Record)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        stored_format = _format_of(body)
        if stored_format > FORMAT:
            raise UnreadableRecordError(f"of format {stored_format}, ours is {FORMAT}") from error
        raise UnreadableRecordError(" ".join(str(error).split())) from error
    if record.format > FORMAT:
        raise UnreadableRecordError(f"{record.id}: of format {record.format}, ours is {FORMAT}")
    return record


def _checksum(body: bytes) -> bytes:
    return b"%08x" % zlib.crc32(body)


def _format_of(body: bytes) -> int:
    """Return the format that a body names; 0 where it names none."""
    try:
        return msgspec.json.decode(body, type=_FormatOnly).format
    except (msgspec.DecodeError, msgspec.ValidationError):
        return 0
