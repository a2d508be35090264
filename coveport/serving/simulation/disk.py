"""An in-memory disk for simulated coordinators: a loss of power can tear or drop unsynced writes."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from coveport.net.transport import Net
from coveport.serving.replication.records import Record
from coveport.serving.storage.store import RecordStore
from coveport.serving.storage.writer import WriteCallback


class SimulatedFile:
    """A file in memory that keeps its synced content apart from later writes."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self._disk = disk
        self._data = bytearray()
        self._synced = bytearray()
        self._unsynced: list[tuple[int, bytes]] = []

    def read_all(self) -> bytes:
        """Return the whole content."""
        return bytes(self._data)

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data`."""
        self._disk.check()
        self._unsynced.append((offset, data))
        self._put(self._data, offset, data)

    def set_length(self, length: int) -> None:
        """Truncate, or extend with zeros."""
        self._disk.check()
        self._resize(self._data, length)

    def sync(self) -> None:
        """Make all earlier writes survive a loss of power."""
        self._disk.check()
        self._resize(self._synced, len(self._data))
        for offset, written in self._unsynced:
            self._put(self._synced, offset, written)
        self._unsynced.clear()

    def close(self) -> None:
        """Do nothing: there is no resource to release."""

    def lose_power(self, rng: Random) -> None:
        """Keep the synced content, and each later write completely, in part or not at all."""
        data = self._synced
        for offset, written in self._unsynced:
            persisted = rng.choice((0, len(written), rng.randrange(len(written) + 1)))
            self._put(data, offset, written[:persisted])
        self._data = bytearray(data)
        self._synced = data
        self._unsynced.clear()

    @staticmethod
    def _resize(data: bytearray, length: int) -> None:
        del data[length:]
        data.extend(bytes(length - len(data)))

    @staticmethod
    def _put(data: bytearray, offset: int, written: bytes) -> None:
        data.extend(bytes(max(0, offset - len(data))))
        data[offset : offset + len(written)] = written


@dataclass(slots=True)
class SimulatedDisk:
    """A directory of simulated files."""

    sync_s: float = 0.002  # duration of a write with its sync, in seconds
    refuses: bool = False  # every write fails
    hangs: bool = False  # no write completes
    files: dict[str, SimulatedFile] = field(default_factory=dict)
    unsynced_names: set[str] = field(
        default_factory=set
    )  # names of files created since the last sync of the directory

    def file_names(self) -> list[str]:
        """Return the names of all files."""
        return list(self.files)

    def open(self, name: str) -> SimulatedFile:
        """Open a file for reading and writing; create it when it does not exist."""
        if name not in self.files:
            self.files[name] = SimulatedFile(self)
            self.unsynced_names.add(name)
        return self.files[name]

    def sync_directory(self) -> None:
        """Make the names of created files survive a loss of power."""
        self.check()
        self.unsynced_names.clear()

    def check(self) -> None:
        """Raise OSError while the disk rejects writes."""
        if self.refuses:
            raise OSError("simulated disk rejects writes")

    def lose_power(self, rng: Random) -> None:
        """Drop a random part of the unsynced writes and of the files whose names were not synced."""
        for name in sorted(self.unsynced_names):
            if rng.random() < 0.5:
                del self.files[name]
        self.unsynced_names.clear()
        for file in self.files.values():
            file.lose_power(rng)

    def wipe(self) -> None:
        """Delete all files."""
        self.files.clear()
        self.unsynced_names.clear()


class SimulatedWriter:
    """Writes batches of records in order, each after the disk's `sync_s`."""

    def __init__(self, net: Net, disk: SimulatedDisk, store: RecordStore) -> None:
        self._net = net
        self._disk = disk
        self._store = store
        self._queue: deque[tuple[Sequence[Record], WriteCallback]] = deque()
        self._is_writing = False

    def submit(self, records: Sequence[Record], on_written: WriteCallback) -> None:
        """Write and sync records; then call `on_written` with None, or with the error of the disk."""
        self._queue.append((records, on_written))
        if not self._is_writing:
            self._begin()

    def close(self, timeout_s: float = 0.0) -> None:
        """Do nothing: there is no resource to release."""

    def _begin(self) -> None:
        self._is_writing = True
        self._net.loop.call_later(self._disk.sync_s, self._write)

    def _write(self) -> None:
        if self._disk.hangs:
            self._begin()
            return
        records, on_written = self._queue.popleft()
        error = None
        try:
            self._store.append(records)
        except OSError as disk_error:
            error = disk_error
        if self._queue:
            self._begin()
        else:
            self._is_writing = False
        on_written(error)
