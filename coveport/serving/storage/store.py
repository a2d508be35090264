"""The durable state of a replica, as records in a ring."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from coveport.serving.replication.records import DurableState, Record, recover, snapshot_records
from coveport.serving.storage.ring import Ring


class RecordStore:
    """Appends records to a ring, and compacts them into a snapshot when they no longer fit.

    Not thread-safe. Records of a failed write are kept and written with the next write.
    """

    def __init__(
        self, ring: Ring, encode: Callable[[Record], bytes], decode: Callable[[bytes], Record]
    ) -> None:
        self._ring = ring
        self._encode = encode
        self._decode = decode
        self._state = DurableState()

    def open(self) -> DurableState:
        """Return the state on the disk, synced when this returns.

        Raises OSError, UnsupportedFormatError, CorruptedRecordsError, and MalformedMessageError if a
        record can't be decoded.
        """
        records = [self._decode(data) for data in self._ring.open()]
        self._state = recover(records)
        if records:
            self._rewrite_after_opening()
        return recover(records)

    def _rewrite_after_opening(self) -> None:
        """Write the records again that were read: a process that was killed may have left them unsynced."""
        self._begin_generation()

    def append(self, records: Sequence[Record]) -> None:
        """Append records, synced when this returns. After an OSError the next call writes them too."""
        for record in records:
            self._state.apply_record(record)
        encoded = [self._encode(record) for record in records]
        if self._ring.has_capacity(encoded):
            self._ring.append(encoded)
        else:
            self._begin_generation()

    def _begin_generation(self) -> None:
        """Begin a generation of the ring with the whole state as its snapshot."""
        self._ring.begin([self._encode(record) for record in snapshot_records(self._state)])

    def close(self) -> None:
        """Close all descriptors."""
        self._ring.close()
