"""Streamed bodies: one budget of buffered bytes for the process, and the chunks of a long request. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

MOST_BODY = 40 * 1024 * 1024  # bytes of the longest body that is passed on, either way: service has 32 MB
READ_MOST = 64 * 1024  # bytes read at once
READ_LEAST = 4 * 1024  # ... where the budget is used up: each stream gets on, however slowly
AHEAD = 64 * 1024  # bytes of a long request that are read ahead of whoever passes them on


class Budget:
    """Bytes buffered for long bodies by all connections: at most `most`, and READ_LEAST a stream beyond."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.held = 0
        self.peak = 0  # the most that was ever held

    def take(self, size: int) -> None:
        """Add buffered bytes; `size` is negative where they are released."""
        self.held += size
        self.peak = max(self.peak, self.held)

    @property
    def may_keep(self) -> bool:
        """Whether bytes may be retained that were forwarded: half is for those that were not."""
        return self.held < self.most // 2

    def read_most(self) -> int:
        """Return how many bytes one connection may read now."""
        # An eighth of what is left: so many may read in the same turn of the loop before any has sent it on.
        return min(READ_MOST, max(READ_LEAST, (self.most - self.held) // 8))


class Reader(Protocol):
    """Forwards a long request."""

    def more(self) -> None:
        """Read on: there is another chunk, or the end."""


class Upload:
    """A long request's body: the chunks received, and the position of each reader.

    `length`: bytes, None where it was not declared. `room`: called when its source may read on. What was
    forwarded is retained for another reader while the budget allows; then it is released, and none may join.
    """

    def __init__(self, budget: Budget, length: int | None, room: Callable[[], None]) -> None:
        self._budget = budget
        self.length = length
        self._room = room
        self._chunks: deque[bytes] = deque()
        self._first = 0  # number of the first chunk that is buffered
        self._readers: dict[Reader, int] = {}  # the chunk that each reads next
        self._read: dict[Reader, int] = {}  # how many bytes each has read
        self._received = 0
        self._held = 0
        self._kept = True
        self.whole = False

    def push(self, data: bytes) -> None:
        """Append a chunk that was received."""
        self._chunks.append(data)
        self._received += len(data)
        self._hold(len(data))
        if not self._budget.may_keep:
            self._kept = False
        for reader in list(self._readers):
            reader.more()
        self._tidy()

    def finish(self) -> None:
        """Note that the body is complete."""
        self.whole = True
        for reader in list(self._readers):
            reader.more()

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
        self._tidy()

    def next(self, reader: Reader) -> bytes | None:
        """Return the reader's next chunk; None where it was not received yet, or there is none."""
        at = self._readers[reader] - self._first
        if not 0 <= at < len(self._chunks):
            return None
        chunk = self._chunks[at]
        self._readers[reader] += 1
        self._read[reader] += len(chunk)
        return chunk

    def ended(self, reader: Reader) -> bool:
        """Return whether a reader has read the complete body."""
        return self.whole and self._read[reader] == self._received

    @property
    def full(self) -> bool:
        """Whether its source should wait: a reader is behind, or there is none."""
        return self._received - min(self._read.values(), default=0) >= AHEAD

    def took(self) -> None:
        """Release what all have read, and resume the source where it may read on."""
        self._tidy()
        if not self.whole and not self.full:
            self._room()

    def _tidy(self) -> None:
        if self._kept or not self._readers:
            return
        done = min(self._readers.values())
        while self._first < done:
            self._first += 1
            self._hold(-len(self._chunks.popleft()))

    def _hold(self, size: int) -> None:
        self._held += size
        self._budget.take(size)

    def close(self) -> None:
        """Release all chunks."""
        self._chunks.clear()
        self._first = 1 << 60
        self._hold(-self._held)
