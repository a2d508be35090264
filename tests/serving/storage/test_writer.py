"""Writers: records in order, errors in the callback, and failed writes repeated with the next one."""

from __future__ import annotations

import queue
import random
from collections.abc import Callable

import pytest
from faulty_disk import FaultyDisk

from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.records import RECORDS, IdentityRecord, PromisedEpochRecord, Record
from coveport.serving.storage.ring import Ring
from coveport.serving.storage.store import RecordStore
from coveport.serving.storage.writer import InlineWriter, RecordWriter, ThreadWriter
from coveport.serving.wire.codec import MessageCodec

CODEC: MessageCodec[Record] = MessageCodec(RECORDS)
WAIT_S = 20.0  # the test fails after waiting for this long


def store_on(disk: FaultyDisk) -> RecordStore:
    store = RecordStore(Ring(disk, lambda: random.Random(1).randbytes(8)), CODEC.encode, CODEC.decode)
    store.open()
    return store


@pytest.mark.parametrize("kind", ["thread", "inline"])
def test_records_are_written_in_order_and_errors_passed_to_the_callback(kind: str) -> None:
    disk = FaultyDisk()
    calls: queue.Queue[Callable[[], None]] = queue.Queue()
    store = store_on(disk)
    writer: RecordWriter = ThreadWriter(store, calls.put) if kind == "thread" else InlineWriter(store)
    results: list[OSError | None] = []

    def write(record: Record) -> None:
        writer.submit([record], results.append)
        if kind == "thread":
            calls.get(timeout=WAIT_S)()

    write(IdentityRecord("disk", True))
    disk.is_failing = True
    write(PromisedEpochRecord(Epoch(3, "x")))
    disk.is_failing = False
    write(PromisedEpochRecord(Epoch(2, "y")))
    assert [type(error) for error in results] == [type(None), OSError, type(None)]
    if isinstance(writer, ThreadWriter):
        writer.close(WAIT_S)
    recovered = store_on(disk.lose_power(0)).open()
    assert (recovered.disk, recovered.promised) == ("disk", Epoch(3, "x"))


def test_a_writer_ends_after_all_submitted_records() -> None:
    disk = FaultyDisk()
    calls: queue.Queue[Callable[[], None]] = queue.Queue()
    results: list[OSError | None] = []
    writer = ThreadWriter(store_on(disk), calls.put)
    for number in range(50):
        writer.submit([PromisedEpochRecord(Epoch(number, "x"))], results.append)
    writer.close(WAIT_S)
    while not calls.empty():
        calls.get()()
    assert results == [None] * 50
    assert store_on(disk.lose_power(0)).open().promised == Epoch(49, "x")
