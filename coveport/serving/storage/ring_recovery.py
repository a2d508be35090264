"""Reads the generation in a file of a ring, and distinguishes a torn tail from lost data.

A generation's records are read up to the first record that is corrupted in both copies. If no later batch
follows, the record belongs to the batch that was being written at the power loss: it was never synced, and
nothing relies on it. If a later batch follows, the disk has lost synced data, since a batch is only written
after all earlier batches were synced.
"""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.storage import ring_format_1
from coveport.serving.storage.ring_format import (
    FRAME_OVERHEAD_BYTES,
    HEADER_BYTES,
    Header,
    decode_frame,
    decode_header,
)


@dataclass(frozen=True, slots=True)
class Generation:
    """The newest generation in a file."""

    file_index: int
    number: int
    records: list[bytes]
    has_complete_snapshot: bool
    # Position of a record that is corrupted although a later batch is valid.
    corrupted_position: int | None = None


def read_generation(file_index: int, data: bytes) -> Generation | None:
    """Return the generation in a file's content; None if there is no valid header.

    Raises UnsupportedFormatError.
    """
    middle = len(data) // 2
    copies = (memoryview(data)[:middle], memoryview(data)[middle:])
    headers = [header for copy in copies if (header := decode_header(copy)) is not None]
    if not headers:
        return _read_format_1(file_index, data)
    header = max(headers, key=lambda header: header.generation)
    records, end = _read_records(copies, header)
    corrupted_position = None
    if _has_later_batch(data, header, end, len(records)):
        corrupted_position = len(records)
    has_complete_snapshot = corrupted_position is not None or len(records) >= header.snapshot_records
    return Generation(file_index, header.generation, records, has_complete_snapshot, corrupted_position)


def _read_format_1(file_index: int, data: bytes) -> Generation | None:
    generation = ring_format_1.read(data)
    if generation is None:
        return None
    return Generation(file_index, generation.number, generation.records, generation.has_complete_snapshot)


def _read_records(copies: tuple[memoryview, memoryview], header: Header) -> tuple[list[bytes], int]:
    """Return the valid records in order, each from either copy, and the offset in a copy where they end."""
    records: list[bytes] = []
    offset = HEADER_BYTES
    while True:
        decoded = (decode_frame(copy, offset, header) for copy in copies)
        position = len(records)
        frame = next((item for item in decoded if item is not None and item.position == position), None)
        if frame is None:
            return records, offset
        records.append(frame.record)
        offset += FRAME_OVERHEAD_BYTES + len(frame.record)


def _has_later_batch(data: bytes, header: Header, end: int, position: int) -> bool:
    """Return whether a valid frame behind `end` belongs to a batch that begins after `position`."""
    view = memoryview(data)
    middle = len(data) // 2
    for start, stop in ((end, middle), (middle + end, len(data))):
        offset = data.find(header.tag, start, stop)
        while offset >= 0:
            frame = decode_frame(view[:stop], offset, header)
            if frame is not None and frame.batch_position > position:
                return True
            offset = data.find(header.tag, offset + 1, stop)
    return False
