"""Frames between this system's own processes: magic and version, length, CRC-32, then one message.

All numbers in the header are big-endian. Frames of another version can't be read (see `versions`).
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import Final

import construct as c

from coveport.serving.wire.errors import MalformedFrameError, UnsupportedVersionError
from coveport.serving.wire.versions import FRAME_VERSION

MAX_PAYLOAD_BYTES: Final = 48 * 1024 * 1024  # far more than a complete configuration and all nodes need

_HEADER = c.Struct(
    "magic" / c.Const(b"CVP"),
    "version" / c.Int8ub,
    "length" / c.Int32ub,
    "checksum" / c.Int32ub,
)
HEADER_BYTES: int = _HEADER.sizeof()


def write_frame(payload: bytes) -> bytes:
    """Return a message's bytes, preceded by the header."""
    header = {"version": FRAME_VERSION, "length": len(payload), "checksum": zlib.crc32(payload)}
    return bytes(_HEADER.build(header)) + payload


class FrameReader:
    """Splits a stream of bytes into the payloads of its frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Bytes of a frame that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes of the stream, and yield the payloads that are complete.

        Raises MalformedFrameError or UnsupportedVersionError, after which the stream is unreadable.
        """
        self._buffer += data
        while len(self._buffer) >= HEADER_BYTES:
            length, checksum = _read_header(bytes(self._buffer[:HEADER_BYTES]))
            end = HEADER_BYTES + length
            if len(self._buffer) < end:
                return
            payload = bytes(self._buffer[HEADER_BYTES:end])
            del self._buffer[:end]
            if zlib.crc32(payload) != checksum:
                raise MalformedFrameError(f"checksum mismatch in a frame with a payload of {length} bytes")
            yield payload


def _read_header(data: bytes) -> tuple[int, int]:
    """Return the payload's length in bytes and its CRC-32."""
    try:
        header = _HEADER.parse(data)
    except c.ConstructError as error:
        raise MalformedFrameError(str(error)) from error
    if header.version != FRAME_VERSION:
        raise UnsupportedVersionError(header.version)
    if header.length > MAX_PAYLOAD_BYTES:
        raise MalformedFrameError(
            f"frame payload of {header.length} bytes exceeds the limit of {MAX_PAYLOAD_BYTES} bytes"
        )
    return header.length, header.checksum
