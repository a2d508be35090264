"""Streamed bodies: the process' budget of buffered bytes, and the chunks of a streamed request.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

# The largest body forwarded in either direction; production has 32 MB.
MAX_STREAMED_BODY_BYTES = 40 * 1024 * 1024
MAX_READ_BYTES = 64 * 1024  # bytes per read
MIN_READ_BYTES = 4 * 1024  # bytes per read if the budget is used up, so that each stream still makes progress
MAX_READ_AHEAD_BYTES = 64 * 1024  # bytes received ahead of the slowest reader of a streamed request


class Budget:
    """The budget of bytes that all connections buffer for streamed bodies.

    The limit is `max_bytes`; each stream may exceed it by MIN_READ_BYTES.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.buffered_bytes = 0
        self.peak_bytes = 0  # maximum of `buffered_bytes` so far

    def add(self, size: int) -> None:
        """Add buffered bytes; `size` is negative if they are released."""
        self.buffered_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.buffered_bytes)

    @property
    def may_retain(self) -> bool:
        """Whether forwarded bytes may be retained: half of the budget is for bytes not yet forwarded."""
        return self.buffered_bytes < self.max_bytes // 2

    def read_limit(self) -> int:
        """Return how many bytes one connection may read now."""
        # An eighth of the rest: up to eight connections may read in one turn of the loop before one forwards.
        return min(MAX_READ_BYTES, max(MIN_READ_BYTES, (self.max_bytes - self.buffered_bytes) // 8))


class Reader(Protocol):
    """Forwards a streamed request."""

    def forward_available(self) -> None:
        """Forward what can be read: another chunk was received, or the end."""


class Upload:
    """A streamed request's body: the chunks received, and the position of each reader.

    `length`: bytes, None if it was not declared. `resume_source`: called when the source may read on.
    Forwarded bytes are retained for another reader while the budget allows it; once they are released, no
    reader can join.
    """

    def __init__(self, budget: Budget, length: int | None, resume_source: Callable[[], None]) -> None:
        self._budget = budget
        self.length = length
        self._resume_source = resume_source
        self._chunks: deque[bytes] = deque()
        self._first = 0  # number of the first buffered chunk
        self._readers: dict[Reader, int] = {}  # number of the chunk that each reader reads next
        self._read_bytes: dict[Reader, int] = {}  # bytes that each reader has read
        self._received_bytes = 0
        self._buffered_bytes = 0
        self._retains = True
        self.complete = False

    def push(self, data: bytes) -> None:
        """Append a received chunk."""
        self._chunks.append(data)
        self._received_bytes += len(data)
        self._add_buffered(len(data))
        if not self._budget.may_retain:
            self._retains = False
        for reader in list(self._readers):
            reader.forward_available()
        self._release()

    def finish(self) -> None:
        """Record that the body is complete."""
        self.complete = True
        for reader in list(self._readers):
            reader.forward_available()

    def join(self, reader: Reader) -> bool:
        """Add a reader at the first byte; return False if that byte was released."""
        if self._first:
            return False
        self._readers[reader] = 0
        self._read_bytes[reader] = 0
        return True

    def leave(self, reader: Reader) -> None:
        """Remove a reader."""
        self._readers.pop(reader, None)
        self._read_bytes.pop(reader, None)
        self._release()

    def next(self, reader: Reader) -> bytes | None:
        """Return the reader's next chunk; None if it has not been received or the body has ended."""
        index = self._readers[reader] - self._first
        if not 0 <= index < len(self._chunks):
            return None
        chunk = self._chunks[index]
        self._readers[reader] += 1
        self._read_bytes[reader] += len(chunk)
        return chunk

    def is_read_by(self, reader: Reader) -> bool:
        """Return whether a reader has read the complete body."""
        return self.complete and self._read_bytes[reader] == self._received_bytes

    @property
    def is_full(self) -> bool:
        """Whether the source should pause: a reader is behind, or there is no reader."""
        return self._received_bytes - min(self._read_bytes.values(), default=0) >= MAX_READ_AHEAD_BYTES

    def release_read(self) -> None:
        """Release the chunks that all readers have read, and resume the source if it may read on."""
        self._release()
        if not self.complete and not self.is_full:
            self._resume_source()

    def _release(self) -> None:
        if self._retains or not self._readers:
            return
        first_unread = min(self._readers.values())
        while self._first < first_unread:
            self._first += 1
            self._add_buffered(-len(self._chunks.popleft()))

    def _add_buffered(self, size: int) -> None:
        self._buffered_bytes += size
        self._budget.add(size)

    def close(self) -> None:
        """Release all chunks."""
        self._chunks.clear()
        self._first = 1 << 60
        self._add_buffered(-self._buffered_bytes)
