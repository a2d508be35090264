"""A ring of preallocated files that holds records and survives torn, missing, reordered and rotten bytes.

Each time a file of the ring is taken into use it begins a generation: a header with the generation's number,
a random salt and how many records its snapshot has; then the snapshot's records, which replace all
generations before; then records as they come. Everything is written twice, at the same offset of the two
halves of the file, so that one flipped bit or one lost sector is read over. What is written to one file with
one sync is a batch; a batch is only written after all before it were synced, and a generation is only relied
on after its snapshot was synced.

The newest generation whose header and whole snapshot are sound counts; its records are read up to the first
that is bad in both halves. If nothing of a later batch follows, that is the batch that a loss of power tore:
it was never synced. If something does, the disk has lost what it once had synced: `DamagedError`. After each
opening, and after each write that failed, a new generation begins in another file.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from coveport.serving.storage import ring_format_1
from coveport.serving.storage.disk import Disk, File

MAGIC: Final = b"CVPR"
FORMAT_VERSION: Final = 2
NEWEST_PLAUSIBLE_VERSION: Final = 1000  # above that it's garbage, not a version
SALT_BYTES: Final = 8
TAG_BYTES: Final = 4  # of the salt, in front of each record: where to look for one behind a bad one
FILES: Final = 4
FILE_BYTES: Final = 4 * 1024 * 1024  # both halves
ROOM_BEHIND: Final = 2  # a half has room for the snapshot and 1/2 of it

_HEADER = struct.Struct(">4sHQ8sI")  # magic, version, generation, salt, records in the snapshot
_CHECKSUM = struct.Struct(">I")
_NUMBER = struct.Struct(">Q")
_FRAME = struct.Struct(
    f">{TAG_BYTES}sIII"
)  # tag, length, place in the generation, place of its batch's first
HEADER_BYTES: Final = _HEADER.size + _CHECKSUM.size
FRAME_BYTES: Final = _FRAME.size + _CHECKSUM.size


class NewerFormatError(Exception):
    """The folder was written by a newer version of this program."""


class DamagedError(Exception):
    """Records that were synced can't be read any more, though later ones can."""


@dataclass(frozen=True, slots=True)
class Header:
    """What a generation begins with."""

    number: int
    salt: bytes
    snapshot_records: int

    @property
    def tag(self) -> bytes:
        """In front of each record."""
        return self.salt[:TAG_BYTES]


@dataclass(frozen=True, slots=True)
class Generation:
    """What one file holds."""

    file_index: int
    number: int
    records: list[bytes]
    is_whole: bool  # its snapshot is complete
    damaged_place: int | None = None  # of a record that is bad though one of a later batch is sound


@dataclass(frozen=True, slots=True)
class _Frame:
    """A sound record where it stands."""

    place: int
    batch: int  # place of the first record that was written with it
    record: bytes


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
        self._header = Header(0, b"", 0)  # of the current generation
        self._place = 0
        self._offset = 0
        self._half = 0  # bytes; where the second copy of everything begins

    def open(self) -> list[bytes]:
        """All records held. `begin` must follow before they are relied on, for they may not be synced.

        The names of the files are synced whoever created them: a process that was killed right after it
        created them left that to us. Raises NewerFormatError, and DamagedError, after which `begin` may be
        called.
        """
        names = [f"ring-{index}" for index in range(self._count)]
        self._files = [self._disk.open(name) for name in names]
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
        if best.damaged_place is not None:
            raise DamagedError(
                f"record {best.damaged_place} of {names[best.file_index]} is lost, later ones are not"
            )
        return best.records

    def begin(self, snapshot: Sequence[bytes]) -> None:
        """Begin a generation with these records in place of all before, synced when this returns."""
        index = self._next_index()
        self._current = -1
        self._last_number += 1
        self._header = Header(self._last_number, self._draw_salt(), len(snapshot))
        self._place = 0
        data = _write_header(self._header) + self._framed(snapshot)
        self._half = max(self._file_bytes // 2, len(data) + len(data) // ROOM_BEHIND)
        file = self._files[index]
        file.set_length(2 * self._half)
        self._write_twice(file, 0, data)
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
        batch = self._place
        pieces = []
        for record in records:
            frame = _FRAME.pack(self._header.tag, len(record), self._place, batch)
            pieces += [frame, _CHECKSUM.pack(checksum(self._header, frame, record)), record]
            self._place += 1
        return b"".join(pieces)

    def _write_twice(self, file: File, offset: int, data: bytes) -> None:
        file.write(offset, data)
        file.write(self._half + offset, data)

    def has_room(self, records: Sequence[bytes]) -> bool:
        """Whether these records go into the current generation; if not, `begin` must come first."""
        needed = sum(len(record) + FRAME_BYTES for record in records)
        return self._current >= 0 and self._offset + needed <= self._half

    def append(self, records: Sequence[bytes]) -> None:
        """Add records as one batch, synced when this returns. After an OSError `begin` must come next."""
        if not self.has_room(records):
            raise ValueError("no room: begin a generation first")
        file = self._files[self._current]
        index = self._current
        self._current = -1
        data = self._framed(records)
        self._write_twice(file, self._offset, data)
        file.sync()
        self._offset += len(data)
        self._current = index

    def close(self) -> None:
        """Give the descriptors back."""
        for file in self._files:
            file.close()
        self._files = []


def checksum(header: Header, frame: bytes, record: bytes) -> int:
    """Of a record with its generation and its place there."""
    generation = header.salt + _NUMBER.pack(header.number)
    return zlib.crc32(record, zlib.crc32(frame, zlib.crc32(generation)))


def _write_header(header: Header) -> bytes:
    data = _HEADER.pack(MAGIC, FORMAT_VERSION, header.number, header.salt, header.snapshot_records)
    return data + _CHECKSUM.pack(zlib.crc32(data))


def read_generation(file_index: int, data: bytes) -> Generation | None:
    """What a file holds; None: no sound header. Raises NewerFormatError."""
    halves = (memoryview(data)[: len(data) // 2], memoryview(data)[len(data) // 2 :])
    headers = [header for half in halves if (header := _read_header(half)) is not None]
    if not headers:
        return _read_older_format(file_index, data)
    header = max(headers, key=lambda one: one.number)
    records, offset = _read_records(halves, header)
    damaged_place = None
    if _follows_later_batch(data, header, offset, len(records)):
        damaged_place = len(records)
    is_whole = damaged_place is not None or len(records) >= header.snapshot_records
    return Generation(file_index, header.number, records, is_whole, damaged_place)


def _read_older_format(file_index: int, data: bytes) -> Generation | None:
    older = ring_format_1.read(data)
    if older is None:
        return None
    return Generation(file_index, older.number, older.records, older.is_whole)


def _read_header(half: memoryview) -> Header | None:
    if len(half) < HEADER_BYTES:
        return None
    header = bytes(half[: _HEADER.size])
    magic, version, number, salt, snapshot_records = _HEADER.unpack(header)
    if magic != MAGIC:
        return None
    (expected,) = _CHECKSUM.unpack_from(half, _HEADER.size)
    if FORMAT_VERSION < version <= NEWEST_PLAUSIBLE_VERSION and zlib.crc32(header) == expected:
        raise NewerFormatError(f"the disk holds format {version}; this program knows up to {FORMAT_VERSION}")
    if version != FORMAT_VERSION or zlib.crc32(header) != expected:
        return None
    return Header(number, salt, snapshot_records)


def _read_records(halves: tuple[memoryview, memoryview], header: Header) -> tuple[list[bytes], int]:
    """Sound records in their order, each from either half, and the offset in a half at which they end."""
    records: list[bytes] = []
    offset = HEADER_BYTES
    while True:
        found = (_read_frame(half, offset, header) for half in halves)
        frame = next((one for one in found if one is not None and one.place == len(records)), None)
        if frame is None:
            return records, offset
        records.append(frame.record)
        offset += FRAME_BYTES + len(frame.record)


def _read_frame(half: memoryview, offset: int, header: Header) -> _Frame | None:
    """The record that stands there, if it is sound."""
    start = offset + FRAME_BYTES
    if start > len(half):
        return None
    frame = bytes(half[offset : offset + _FRAME.size])
    tag, length, place, batch = _FRAME.unpack(frame)
    if tag != header.tag or start + length > len(half):
        return None
    (expected,) = _CHECKSUM.unpack_from(half, offset + _FRAME.size)
    record = bytes(half[start : start + length])
    return _Frame(place, batch, record) if checksum(header, frame, record) == expected else None


def _follows_later_batch(data: bytes, header: Header, end: int, place: int) -> bool:
    """Whether a sound record stands behind the first bad one, written after that one was synced."""
    whole = memoryview(data)
    half = len(data) // 2
    for begin, finish in ((end, half), (half + end, len(data))):
        at = data.find(header.tag, begin, finish)
        while at >= 0:
            frame = _read_frame(whole[:finish], at, header)
            if frame is not None and frame.batch > place:
                return True
            at = data.find(header.tag, at + 1, finish)
    return False
