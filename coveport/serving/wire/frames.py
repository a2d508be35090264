"""Frames between our own processes: mark and format version, length, checksum, then the message."""

from __future__ import annotations

import zlib
from collections.abc import Iterator

import construct as c

from coveport.serving.wire.errors import MalformedFrameError

FORMAT_VERSION = 3  # 2: updates tell who has left for good; 3: confirmations tell the sender's view
MOST_BYTES = 48 * 1024 * 1024  # of one frame: a whole configuration and every node fit well below

_HEADER = c.Struct(
    "mark" / c.Const(b"CVP"),
    "version" / c.Const(FORMAT_VERSION, c.Int8ub),
    "length" / c.Int32ub,
    "checksum" / c.Int32ub,
)
HEADER_BYTES: int = _HEADER.sizeof()


def write_frame(payload: bytes) -> bytes:
    """A frame around a message."""
    header = {"length": len(payload), "checksum": zlib.crc32(payload)}
    return bytes(_HEADER.build(header)) + payload


class FrameReader:
    """Takes bytes as they come and hands out whole messages; MalformedFrameError ends the connection."""

    def __init__(self) -> None:
        self._held = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Messages that are whole now."""
        self._held += data
        while len(self._held) >= HEADER_BYTES:
            try:
                header = _HEADER.parse(bytes(self._held[:HEADER_BYTES]))
            except c.ConstructError as problem:
                raise MalformedFrameError(str(problem)) from problem
            if header.length > MOST_BYTES:
                raise MalformedFrameError(f"a frame of {header.length} bytes")
            end = HEADER_BYTES + header.length
            if len(self._held) < end:
                return
            payload = bytes(self._held[HEADER_BYTES:end])
            del self._held[:end]
            if zlib.crc32(payload) != header.checksum:
                raise MalformedFrameError("checksum differs")
            yield payload
