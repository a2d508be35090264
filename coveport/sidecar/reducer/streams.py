"""Streamed bodies: one budget of buffered bytes for the process, and the chunks of a long request. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

MAX_STREAMED_BODY_BYTES = (
    40 * 1024 * 1024
)  # bytes of the longest body that is passed on, either way: service has 32 MB
MAX_READ_BYTES = 64 * 1024  # bytes read at once
MIN_READ_BYTES = 4 * 1024  # ... where the budget is used up: each stream gets on, however slowly
MAX_READ_AHEAD_BYTES = 64 * 1024  # bytes of a long request that are read ahead of whoever passes them on


class Budget:
    """The budget of bytes that all connections buffer for streamed bodies.

    The limit is `max_bytes`; each stream may exceed it by MIN_READ_BYTES.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.buffered_bytes = 0
        self.peak_bytes = 0  # the most that was ever held

    def add(self, size: int) -> None:
        """Add buffered bytes; `size` is negative where they are released."""
        self.buffered_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.buffered_bytes)

    @property
    def may_retain(self) -> bool:
        """Whether bytes may be retained that were forwarded: half is for those that were not."""
        return self.buffered_bytes < self.max_bytes // 2

    def read_limit(self) -> int:
        """Return how many bytes one connection may read now."""
        # An eighth of what is left: so many may read in the same turn of the loop before any has sent it on.
        return min(MAX_READ_BYTES, max(MIN_READ_BYTES, (self.max_bytes - self.buffered_bytes) // 8))


class Reader(Protocol):
    """Forwards a long request."""

    def forward_available(self) -> None:
        """Read on: there is another chunk, or the end."""


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
        self._first = 0  # number of the first chunk that is buffered
        self._readers: dict[Reader, int] = {}  # the chunk that each reads next
        self._read: dict[Reader, int] = {}  # how many bytes each has read
        self._received = 0
        self._buffered_bytes = 0
        self._retains = True
        self.complete = False

    def push(self, data: bytes) -> None:
        """Append a chunk that was received."""
        self._chunks.append(data)
        self._received += len(data)
        self._add_buffered(len(data))
        if not self._budget.may_retain:
            self._retains = False
        for reader in list(self._readers):
            reader.forward_available()
        self._release()

    def finish(self) -> None:
        """Note that the body is complete."""
        self.complete = True
        for reader in list(self._readers):
            reader.forward_available()

    def join(self, reader: Reader) -> bool:
        """Add a reader from the first byte on; return False where that was released."""
        if self._first:
            return False
        self._readers[reader] = 0
        self._read[reader] = 0
        return True

    def leave(self, reader: Reader) -> None:
        """Remove a reader."""
        self._readers.pop(reader, None)
        self._read.pop(reader, None)
        self._release()

    def next(self, reader: Reader) -> bytes | None:
        """Return the reader's next chunk; None where it was not received yet, or there is none."""
        at = self._readers[reader] - self._first
        if not 0 <= at < len(self._chunks):
            return None
        chunk = self._chunks[at]
        self._readers[reader] += 1
        self._read[reader] += len(chunk)
        return chunk

    def is_read_by(self, reader: Reader) -> bool:
        """Return whether a reader has read the complete body."""
        return self.complete and self._read[reader] == self._received

    @property
    def is_full(self) -> bool:
        """Whether its source should wait: a reader is behind, or there is none."""
        return self._received - min(self._read.values(), default=0) >= MAX_READ_AHEAD_BYTES

    def release_read(self) -> None:
        """Release what all have read, and resume the source where it may read on."""
        self._release()
        if not self.complete and not self.is_full:
            self._resume_source()

    def _release(self) -> None:
        if self._retains or not self._readers:
            return
        done = min(self._readers.values())
        while self._first < done:
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
