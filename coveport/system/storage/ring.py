"""A ring of preallocated files that holds records and survives torn, missing and reordered writes.

Each time a file of the ring is taken into use it begins a generation: a header with the generation's number,
a random salt and how many records its snapshot has; then the snapshot's records, which replace all
generations before; then records as they come. Each record's checksum covers the salt and its place in the
generation, so that what an earlier use left behind in the file is never taken for valid.

The newest generation whose header and whole snapshot are sound counts; its records are read up to the first
bad one. That loses nothing that was synced, for a record is only written after all before it were synced, and
a generation is only relied on after its snapshot was synced. After each opening, and after each write that
failed, a new generation begins in another file.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from coveport.system.storage.disk import Disk, File

MAGIC: Final = b"CVPR"
FORMAT_VERSION: Final = 1
NEWEST_PLAUSIBLE_VERSION: Final = 1000  # above that it's garbage, not a version
SALT_BYTES: Final = 8
FILES: Final = 4
FILE_BYTES: Final = 4 * 1024 * 1024
GROWTH: Final = 3  # a file has room for so many snapshots at least

_HEADER = struct.Struct(">4sHQ8sI")  # magic, version, generation, salt, records in the snapshot
_CHECKSUM = struct.Struct(">I")
_FRAME = struct.Struct(">II")  # length, checksum
_PLACE = struct.Struct(">Q")
HEADER_BYTES: Final = _HEADER.size + _CHECKSUM.size


class NewerFormatError(Exception):
    """The folder was written by a newer version of this program."""


@dataclass(frozen=True, slots=True)
class Generation:
    """What one file holds."""

    file_index: int
    number: int
    records: list[bytes]
    is_whole: bool  # its snapshot is complete


class Ring:
    """Not safe for several threads. Any call may block, and raise OSError."""

    def __init__(
        self,
        disk: Disk,
        salt: Callable[[], bytes],  # SALT_BYTES random bytes
        files: int = FILES,
        file_bytes: int = FILE_BYTES,
    ) -> None:
        if files < 2:
            raise ValueError("a ring needs two files at least")
        self._disk = disk
        self._draw_salt = salt
        self._file_bytes = file_bytes
        self._files: list[File] = []
        self._count = files
        self._sound_index = files - 1  # file of the newest generation that was synced
        self._tried_index = files - 1  # file that a generation was last begun in
        self._current = -1  # file that is written to; -1: a generation must begin first
        self._last_number = 0
        self._salt = b""
        self._place = 0
        self._offset = 0
        self._capacity = 0

    def open(self) -> list[bytes]:
        """All records held. `begin` must follow before they are relied on, for they may not be synced.

        Raises NewerFormatError.
        """
        names = [f"ring-{index}" for index in range(self._count)]
        missing = set(names) - set(self._disk.names())
        self._files = [self._disk.open(name) for name in names]
        if missing:
            self._disk.sync_names()
        best: Generation | None = None
        for index, file in enumerate(self._files):
            generation = read_generation(index, file.read_all())
            if generation is None:
                continue
            self._last_number = max(self._last_number, generation.number)
            if generation.is_whole and (best is None or generation.number > best.number):
                best = generation
        if best is None:
            return []
        self._sound_index = best.file_index
        self._tried_index = best.file_index
        return best.records

    def begin(self, snapshot: Sequence[bytes]) -> None:
        """Begin a generation with these records in place of all before, synced when this returns."""
        index = self._next_index()
        self._current = -1
        self._last_number += 1
        self._salt = self._draw_salt()
        self._place = 0
        header = _HEADER.pack(MAGIC, FORMAT_VERSION, self._last_number, self._salt, len(snapshot))
        data = header + _CHECKSUM.pack(zlib.crc32(header)) + self._framed(snapshot)
        file = self._files[index]
        self._capacity = max(self._file_bytes, GROWTH * len(data))
        file.set_length(self._capacity)
        file.write(0, data)
        file.sync()
        self._offset = len(data)
        self._current = index
        self._sound_index = index

    def _next_index(self) -> int:
        """The file after the newest sound one, or after the one that failed; never the newest sound one."""
        self._tried_index = (self._tried_index + 1) % self._count
        if self._tried_index == self._sound_index:
            self._tried_index = (self._tried_index + 1) % self._count
        return self._tried_index

    def _framed(self, records: Sequence[bytes]) -> bytes:
        pieces = []
        for record in records:
            pieces.append(_FRAME.pack(len(record), checksum(self._salt, self._place, record)))
            pieces.append(record)
            self._place += 1
        return b"".join(pieces)

    def has_room(self, records: Sequence[bytes]) -> bool:
        """Whether these records go into the current generation; if not, `begin` must come first."""
        needed = sum(len(record) + _FRAME.size for record in records)
        return self._current >= 0 and self._offset + needed <= self._capacity

    def append(self, records: Sequence[bytes]) -> None:
        """Add records, synced when this returns. After an OSError `begin` must come next."""
        if not self.has_room(records):
            raise ValueError("no room: begin a generation first")
        file = self._files[self._current]
        index = self._current
        self._current = -1
        data = self._framed(records)
        file.write(self._offset, data)
        file.sync()
        self._offset += len(data)
        self._current = index

    def close(self) -> None:
        """Give the descriptors back."""
        for file in self._files:
            file.close()
        self._files = []


def checksum(salt: bytes, place: int, record: bytes) -> int:
    """Of a record at its place in a generation."""
    return zlib.crc32(record, zlib.crc32(_PLACE.pack(place), zlib.crc32(salt)))


def read_generation(file_index: int, data: bytes) -> Generation | None:
    """What a file holds; None: no sound header. Raises NewerFormatError."""
    if len(data) < HEADER_BYTES:
        return None
    header = data[: _HEADER.size]
    magic, version, number, salt, snapshot_count = _HEADER.unpack(header)
    if magic == MAGIC and FORMAT_VERSION < version <= NEWEST_PLAUSIBLE_VERSION:
        raise NewerFormatError(f"the disk holds format {version}; this program knows up to {FORMAT_VERSION}")
    (header_checksum,) = _CHECKSUM.unpack_from(data, _HEADER.size)
    if magic != MAGIC or version != FORMAT_VERSION or zlib.crc32(header) != header_checksum:
        return None
    records = _read_records(data, salt)
    return Generation(file_index, number, records, len(records) >= snapshot_count)


def _read_records(data: bytes, salt: bytes) -> list[bytes]:
    records: list[bytes] = []
    offset = HEADER_BYTES
    while offset + _FRAME.size <= len(data):
        length, expected = _FRAME.unpack_from(data, offset)
        record = data[offset + _FRAME.size : offset + _FRAME.size + length]
        if len(record) < length or checksum(salt, len(records), record) != expected:
            break
        records.append(record)
        offset += _FRAME.size + length
    return records
