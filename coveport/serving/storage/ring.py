"""A ring of preallocated files that holds records and survives torn, missing, reordered and corrupted bytes.

Each use of a file begins a generation (`ring_format`): a header; then the records of a snapshot, which
replaces all earlier generations; then the records appended after the snapshot. Everything is written twice,
at the same offset of the two halves of the file, so that after a flipped bit or a lost sector the data is
read from the other copy. A batch is the data written to one file with one sync. A batch is only written after
all earlier batches were synced, and a generation is only relied on after its snapshot was synced.

The newest generation with a valid header and a complete snapshot is the one that is read (`ring_recovery`).
After each opening and each failed write, a new generation begins in another file.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

from coveport.serving.storage.disk import Disk, File
from coveport.serving.storage.errors import CorruptedRecordsError
from coveport.serving.storage.ring_format import (
    FRAME_OVERHEAD_BYTES,
    Frame,
    Header,
    encode_frame,
    encode_header,
)
from coveport.serving.storage.ring_recovery import Generation, read_generation

FILE_COUNT: Final = 4
FILE_BYTES: Final = 4 * 1024 * 1024  # size of a file, with both copies
HEADROOM_DIVISOR: Final = 2  # free space behind a large snapshot: the snapshot's size, divided by this


class Ring:
    """Appends batches of records, and replaces them by snapshots.

    Not thread-safe. Any call may block or raise OSError.
    """

    def __init__(
        self,
        disk: Disk,
        generate_salt: Callable[[], bytes],  # returns SALT_BYTES random bytes
        files: int = FILE_COUNT,
        file_bytes: int = FILE_BYTES,
    ) -> None:
        if files < 2:
            raise ValueError(f"a ring needs at least two files, not {files}")
        self._disk = disk
        self._generate_salt = generate_salt
        self._file_bytes = file_bytes
        self._files: list[File] = []
        self._file_count = files
        self._newest_index = files - 1  # index of the file with the newest synced generation
        self._last_begun_index = files - 1  # index of the file in which a generation was last begun
        self._current_index = -1  # index of the file appended to; -1: a generation must begin first
        self._last_number = 0  # highest number of a generation so far
        self._header = Header(0, b"", 0)  # header of the current generation
        self._next_position = 0  # position of the next record in the current generation
        self._append_offset = 0  # offset of the next frame, in bytes
        self._second_copy_offset = 0  # offset of the second copy, in bytes

    def open(self) -> list[bytes]:
        """Open all files and return the records of the newest generation.

        `begin` must be called before the records are relied on, since they may not be synced. The names of
        the files are synced even if the files existed: a process that was killed right after creating the
        files has not synced their names. Raises UnsupportedFormatError, and CorruptedRecordsError, after
        which `begin` may be called.
        """
        self._files = [self._disk.open(_file_name(index)) for index in range(self._file_count)]
        self._disk.sync_directory()
        newest = self._find_newest()
        if newest is None:
            return []
        self._newest_index = newest.file_index
        self._last_begun_index = newest.file_index
        if newest.corrupted_position is not None:
            name = _file_name(newest.file_index)
            raise CorruptedRecordsError(
                f"record {newest.corrupted_position} of {name} is lost, later ones are not"
            )
        return newest.records

    def _find_newest(self) -> Generation | None:
        newest: Generation | None = None
        for index, file in enumerate(self._files):
            generation = read_generation(index, file.read_all())
            if generation is None:
                continue
            self._last_number = max(self._last_number, generation.number)
            is_newer = newest is None or generation.number > newest.number
            if generation.has_complete_snapshot and is_newer:
                newest = generation
        return newest

    def begin(self, snapshot: Sequence[bytes]) -> None:
        """Begin a generation with these records in place of all earlier records, synced when this returns."""
        index = self._next_index()
        self._current_index = -1
        self._last_number += 1
        self._header = Header(self._last_number, self._generate_salt(), len(snapshot))
        self._next_position = 0
        data = encode_header(self._header) + self._encode_batch(snapshot)
        self._second_copy_offset = max(self._file_bytes // 2, len(data) + len(data) // HEADROOM_DIVISOR)
        file = self._files[index]
        file.set_length(2 * self._second_copy_offset)
        self._write_both_copies(file, 0, data)
        file.sync()
        self._append_offset = len(data)
        self._current_index = index
        self._newest_index = index

    def _next_index(self) -> int:
        """Return the index of the next file in turn, skipping the file of the newest synced generation."""
        self._last_begun_index = (self._last_begun_index + 1) % self._file_count
        if self._last_begun_index == self._newest_index:
            self._last_begun_index = (self._last_begun_index + 1) % self._file_count
        return self._last_begun_index

    def _encode_batch(self, records: Sequence[bytes]) -> bytes:
        batch_position = self._next_position
        frames = []
        for record in records:
            frames.append(encode_frame(self._header, Frame(self._next_position, batch_position, record)))
            self._next_position += 1
        return b"".join(frames)

    def _write_both_copies(self, file: File, offset: int, data: bytes) -> None:
        file.write(offset, data)
        file.write(self._second_copy_offset + offset, data)

    def has_capacity(self, records: Sequence[bytes]) -> bool:
        """Return whether these records fit into the current generation; if not, call `begin` first."""
        needed_bytes = sum(len(record) + FRAME_OVERHEAD_BYTES for record in records)
        return self._current_index >= 0 and self._append_offset + needed_bytes <= self._second_copy_offset

    def append(self, records: Sequence[bytes]) -> None:
        """Append records as one batch, synced when this returns.

        After an OSError, `begin` must be called next. Raises ValueError if the records don't fit.
        """
        if not self.has_capacity(records):
            raise ValueError(f"{len(records)} records don't fit into the generation: begin a new one first")
        index = self._current_index
        file = self._files[index]
        self._current_index = -1
        data = self._encode_batch(records)
        self._write_both_copies(file, self._append_offset, data)
        file.sync()
        self._append_offset += len(data)
        self._current_index = index

    def close(self) -> None:
        """Close all descriptors."""
        for file in self._files:
            file.close()
        self._files = []


def _file_name(index: int) -> str:
    return f"ring-{index}"
