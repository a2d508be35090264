"""Long bodies on their way: one budget of bytes for the process, and a long request's pieces. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

MOST_BODY = 40 * 1024 * 1024  # bytes of the longest body that is passed on, either way: service has 32 MB
READ_MOST = 64 * 1024  # bytes read at once
READ_LEAST = 4 * 1024  # ... where the budget is used up: each stream gets on, however slowly
AHEAD = 64 * 1024  # bytes of a long request that are read ahead of whoever passes them on


class Budget:
    """Bytes held for long bodies, by all connections: at most `most`, and READ_LEAST a stream beyond."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.held = 0
        self.peak = 0  # the most that was ever held

    def take(self, size: int) -> None:
        """Bytes are held; fewer where `size` is negative."""
        self.held += size
        self.peak = max(self.peak, self.held)

    @property
    def may_keep(self) -> bool:
        """Whether bytes may be kept that have been passed on: half is for those that have not."""
        return self.held < self.most // 2

    def read_most(self) -> int:
        """How much one connection may read now."""
        # An eighth of what is left: so many may read in the same turn of the loop before any has sent it on.
        return min(READ_MOST, max(READ_LEAST, (self.most - self.held) // 8))


class Reader(Protocol):
    """Whoever passes a long request on."""

    def more(self) -> None:
        """There is more to read, or the end."""


class Upload:
    """A long request's body: what has come, and how far each reader is.

    `length`: bytes, None where it was not declared. `room`: called when its source may read on. What was
    passed on is kept for another reader while the budget allows; from then on it is gone, and none may join.
    """

    def __init__(self, budget: Budget, length: int | None, room: Callable[[], None]) -> None:
        self._budget = budget
        self.length = length
        self._room = room
        self._pieces: deque[bytes] = deque()
        self._first = 0  # number of the first piece that is held
        self._readers: dict[Reader, int] = {}  # the piece that each reads next
        self._read: dict[Reader, int] = {}  # how many bytes each has read
        self._came = self._held = 0
        self._kept = True
        self.whole = False

    def push(self, data: bytes) -> None:
        """More has come."""
        self._pieces.append(data)
        self._came += len(data)
        self._hold(len(data))
        if not self._budget.may_keep:
            self._kept = False
        for reader in list(self._readers):
            reader.more()
        self._tidy()

    def finish(self) -> None:
        """All has come."""
        self.whole = True
        for reader in list(self._readers):
            reader.more()

    def join(self, reader: Reader) -> bool:
        """Read it from its first byte on; False where that is gone."""
        if self._first:
            return False
        self._readers[reader], self._read[reader] = 0, 0
        return True

    def leave(self, reader: Reader) -> None:
        """Read it no more."""
        self._readers.pop(reader, None)
        self._read.pop(reader, None)
        self._tidy()

    def next(self, reader: Reader) -> bytes | None:
        """The next piece; None where it has not come yet, or there is none."""
        at = self._readers[reader] - self._first
        if not 0 <= at < len(self._pieces):
            return None
        piece = self._pieces[at]
        self._readers[reader] += 1
        self._read[reader] += len(piece)
        return piece

    def ended(self, reader: Reader) -> bool:
        """Whether a reader has read all of it."""
        return self.whole and self._read[reader] == self._came

    @property
    def full(self) -> bool:
        """Whether its source should wait: readers are behind, or there is none."""
        return self._came - min(self._read.values(), default=0) >= AHEAD

    def took(self) -> None:
        """A reader has read on: the source may, too."""
        self._tidy()
        if not self.whole and not self.full:
            self._room()

    def _tidy(self) -> None:
        if self._kept or not self._readers:
            return
        done = min(self._readers.values())
        while self._first < done:
            self._first += 1
            self._hold(-len(self._pieces.popleft()))

    def _hold(self, size: int) -> None:
        self._held += size
        self._budget.take(size)

    def close(self) -> None:
        """Nobody needs it any more."""
        self._pieces.clear()
        self._first = 1 << 60
        self._hold(-self._held)
