"""A thread that writes records, so that a slow or hanging disk blocks nobody else."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Sequence
from typing import Protocol

from coveport.serving.replication.records import Record
from coveport.serving.storage.store import RecordStore

Done = Callable[[OSError | None], None]


class RecordWriter(Protocol):
    """Writes records in the order in which they were handed in."""

    def submit(self, records: Sequence[Record], done: Done) -> None:
        """Write and sync; then call `done`, with the error if the disk refused."""


class InlineWriter:
    """Writes at once, in the caller's thread: for tests and virtual worlds."""

    def __init__(self, store: RecordStore) -> None:
        self._store = store

    def submit(self, records: Sequence[Record], done: Done) -> None:
        """Write and sync; then call `done`, with the error if the disk refused."""
        try:
            self._store.append(records)
        except OSError as error:
            done(error)
            return
        done(None)


class ThreadWriter:
    """Writes in a thread of its own; what waits is written together with one sync.

    `call_back` brings a call into the submitter's thread, as `loop.call_soon_threadsafe` does.
    """

    def __init__(self, store: RecordStore, call_back: Callable[[Callable[[], None]], object]) -> None:
        self._store = store
        self._call_back = call_back
        self._queue: queue.SimpleQueue[tuple[Sequence[Record], Done] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="record-writer", daemon=True)
        self._thread.start()

    def submit(self, records: Sequence[Record], done: Done) -> None:
        """Write and sync; then call `done` in the submitter's thread, with the error if the disk refused."""
        self._queue.put((records, done))

    def close(self, wait_s: float) -> None:
        """End after what was handed in; waits so long at most."""
        self._queue.put(None)
        self._thread.join(wait_s)

    def _run(self) -> None:
        while True:
            item = self._queue.get()
            if item is None:
                return
            items = [item]
            is_ending = self._drain(items)
            self._write(items)
            if is_ending:
                return

    def _drain(self, items: list[tuple[Sequence[Record], Done]]) -> bool:
        while True:
            try:
                item = self._queue.get_nowait()
            except queue.Empty:
                return False
            if item is None:
                return True
            items.append(item)

    def _write(self, items: list[tuple[Sequence[Record], Done]]) -> None:
        error: OSError | None = None
        try:
            self._store.append([record for records, _ in items for record in records])
        except OSError as refused:
            error = refused
        for _, done in items:
            self._tell(done, error)

    def _tell(self, done: Done, error: OSError | None) -> None:
        self._call_back(lambda: done(error))
