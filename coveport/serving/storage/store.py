"""The durable state of a core member in a ring: opened, added to, and folded into a snapshot by itself."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from coveport.serving.replication.records import DurableState, Record, recover, snapshot_records
from coveport.serving.storage.ring import Ring


class RecordStore:
    """Not safe for several threads. Records that couldn't be written are kept and written with the next."""

    def __init__(
        self, ring: Ring, encode: Callable[[Record], bytes], decode: Callable[[bytes], Record]
    ) -> None:
        self._ring = ring
        self._encode = encode
        self._decode = decode
        self._held = DurableState()

    def open(self) -> DurableState:
        """What the disk held, synced by now. Raises OSError, ring.NewerFormatError, ValueError."""
        records = [self._decode(data) for data in self._ring.open()]
        self._held = recover(records)
        if records:
            self._begin_after_opening()
        return recover(records)

    def _begin_after_opening(self) -> None:
        """What was read may not have been synced: a killed process may have left it so."""
        self._begin()

    def append(self, records: Sequence[Record]) -> None:
        """Add records, synced when this returns. After an OSError they are written with the next call."""
        for record in records:
            self._held.absorb(record)
        encoded = [self._encode(record) for record in records]
        if self._ring.has_room(encoded):
            self._ring.append(encoded)
        else:
            self._begin()

    def _begin(self) -> None:
        self._ring.begin([self._encode(record) for record in snapshot_records(self._held)])

    def close(self) -> None:
        """Give the descriptors back."""
        self._ring.close()
