"""Encoding and decoding of stored records."""

from __future__ import annotations

import zlib

import msgspec
import pytest
from intent_log_builders import accepted_record, attempt

from coveport.balancing import Outcome
from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.record_codec import decode, encode


def test_decode_when_the_format_is_later_or_a_bit_is_flipped_raises() -> None:
    record = accepted_record().with_attempt(attempt(Outcome.RESET))
    assert decode(encode(record)) == record
    later = msgspec.json.decode(encode(record)[8:]) | {"format": 2, "state": "dreamt"}
    body = msgspec.json.encode(later)
    with pytest.raises(RecordError, match="of format 2"):
        decode(b"%08x" % zlib.crc32(body) + body)
    data = encode(record)
    for index in range(len(data)):
        for bit in (1, 0x10, 0x80):
            damaged = data[:index] + bytes([data[index] ^ bit]) + data[index + 1 :]
            with pytest.raises(RecordError, match=r"^[^\n]+$"):
                decode(damaged)
