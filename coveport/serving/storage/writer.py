"""Writes records in a separate thread, so that a slow or hanging disk blocks no other work."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from coveport.serving.replication.records import Record
from coveport.serving.storage.store import RecordStore

WriteCallback = Callable[[OSError | None], None]
"""Called after a write, with None or the error of the failed write."""


class RecordWriter(Protocol):
    """Writes records in the order in which they were submitted."""

    def submit(self, records: Sequence[Record], on_written: WriteCallback) -> None:
        """Write and sync the records; then call `on_written`."""


class InlineWriter:
    """Writes immediately in the caller's thread, for tests and simulations."""

    def __init__(self, store: RecordStore) -> None:
        self._store = store

    def submit(self, records: Sequence[Record], on_written: WriteCallback) -> None:
        """Write and sync the records; then call `on_written`."""
        try:
            self._store.append(records)
        except OSError as error:
            on_written(error)
            return
        on_written(None)


@dataclass(frozen=True, slots=True)
class _Write:
    records: Sequence[Record]
    on_written: WriteCallback


class ThreadWriter:
    """Writes in a separate thread; all queued records are written together, with one sync.

    `call_soon` runs a function in the submitter's thread, as `loop.call_soon_threadsafe` does.
    """

    def __init__(self, store: RecordStore, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self._store = store
        self._call_soon = call_soon
        self._queue: queue.SimpleQueue[_Write | None] = queue.SimpleQueue()  # None: end the thread
        self._thread = threading.Thread(target=self._run, name="record-writer", daemon=True)
        self._thread.start()

    def submit(self, records: Sequence[Record], on_written: WriteCallback) -> None:
        """Write and sync the records; then call `on_written` in the submitter's thread."""
        self._queue.put(_Write(records, on_written))

    def close(self, timeout_s: float) -> None:
        """End the thread after all submitted records are written; wait at most `timeout_s` for this end."""
        self._queue.put(None)
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            write = self._queue.get()
            if write is None:
                return
            batch = [write]
            is_ending = self._drain_queue(batch)
            self._write(batch)
            if is_ending:
                return

    def _drain_queue(self, batch: list[_Write]) -> bool:
        """Move all queued writes to the batch; return whether the thread must end after this batch."""
        while True:
            try:
                write = self._queue.get_nowait()
            except queue.Empty:
                return False
            if write is None:
                return True
            batch.append(write)

    def _write(self, batch: list[_Write]) -> None:
        error: OSError | None = None
        try:
            self._store.append([record for write in batch for record in write.records])
        except OSError as write_error:
            error = write_error
        for write in batch:
            self._notify(write.on_written, error)

    def _notify(self, on_written: WriteCallback, error: OSError | None) -> None:
        self._call_soon(lambda: on_written(error))
