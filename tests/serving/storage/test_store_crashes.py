"""Power is lost, or the process killed, at every write and sync: all synced records are recovered."""

from __future__ import annotations

import contextlib
import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from unittest import mock

import pytest
from faulty_disk import FaultyDisk, FaultyFile, PowerLossError

from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.records import (
    RECORDS,
    CommandRecord,
    DurableState,
    IdentityRecord,
    PromisedEpochRecord,
    Record,
    StateRecord,
    recover,
)
from coveport.serving.storage import ring, ring_format, ring_recovery
from coveport.serving.storage.ring import Ring
from coveport.serving.storage.ring_recovery import Generation
from coveport.serving.storage.store import RecordStore
from coveport.serving.wire.codec import MessageCodec
from coveport.serving.wire.errors import MalformedMessageError

FILE_BYTES = 700  # small, so that the ring wraps often
SEEDS_AT_EACH_CALL = 4
CODEC: MessageCodec[Record] = MessageCodec(RECORDS)


def decode(data: bytes) -> Record:
    return CODEC.decode(data)


def salts(seed: int) -> Callable[[], bytes]:
    random_source = random.Random(seed)
    return lambda: random_source.randbytes(8)


def store_on(disk: FaultyDisk, seed: int = 0) -> RecordStore:
    return RecordStore(Ring(disk, salts(seed), files=3, file_bytes=FILE_BYTES), CODEC.encode, decode)


def batches() -> Iterator[list[Record]]:
    """Yield what a member writes: an identity, a state, then promises, commands and further states."""
    epoch = Epoch(1, "d")
    yield [IdentityRecord("disk", True)]
    yield [StateRecord(epoch, 0, b"s" * 40)]
    for number in itertools.count(1):
        if number % 7 == 0:
            yield [StateRecord(epoch, number, b"s" * 90)]
        elif number % 3 == 0:
            yield [PromisedEpochRecord(Epoch(number + 1, "x")), CommandRecord(epoch, number, b"c" * 60)]
        else:
            yield [CommandRecord(epoch, number, b"c%d" % number)]


def write_batches(disk: FaultyDisk, count: int) -> list[DurableState]:
    """Write batches until power is lost; return the states that may be recovered then.

    These are the synced records, alone or with the first few records of the interrupted batch.
    """
    synced: list[Record] = []
    batch: list[Record] = []
    store = store_on(disk)
    with contextlib.suppress(PowerLossError):
        store.open()
        for batch in itertools.islice(batches(), count):
            store.append(batch)
            synced += batch
            batch = []
    return [normalized(recover(synced + batch[:record_count])) for record_count in range(len(batch) + 1)]


def normalized(durable: DurableState) -> DurableState:
    durable.commands = list(durable.commands or [])
    return durable


def count_calls(count: int) -> int:
    disk = FaultyDisk()
    write_batches(disk, count)
    return disk.calls


BATCH_COUNT = 90
CALL_COUNT = count_calls(BATCH_COUNT)


def test_the_ring_wraps_several_times() -> None:
    disk = FaultyDisk()
    write_batches(disk, BATCH_COUNT)
    numbers = {
        generation.number
        for index, content in enumerate(disk.contents.values())
        if (generation := ring_recovery.read_generation(index, bytes(content.current))) is not None
    }
    assert len(disk.contents) == 3
    assert max(numbers) > 5


@pytest.mark.parametrize("call", range(CALL_COUNT))
def test_power_lost_at_any_write_or_sync_loses_nothing_synced(call: int) -> None:
    for seed in range(SEEDS_AT_EACH_CALL):
        disk = FaultyDisk(power_lost_at=call)
        allowed = write_batches(disk, BATCH_COUNT)
        survivor = disk.lose_power(call * 100 + seed)
        recovered = normalized(store_on(survivor, seed).open())
        assert recovered in allowed, f"call {call}, seed {seed}"
        # The opening is synced: another power loss right after it changes nothing.
        recovered_again = normalized(store_on(survivor.lose_power(seed + 1000), seed).open())
        assert recovered_again == recovered


@pytest.mark.parametrize("call", range(0, CALL_COUNT, 9))
def test_power_lost_while_opening_after_a_loss_or_a_kill(call: int) -> None:
    for seed, failure in itertools.product(range(3), ("kill", "power")):
        disk = FaultyDisk(power_lost_at=call)
        allowed = write_batches(disk, BATCH_COUNT)
        survivor = disk.kill() if failure == "kill" else disk.lose_power(call * 100 + seed)
        for second_call in range(6):
            failing_disk = survivor.kill()
            failing_disk.power_lost_at = second_call
            with contextlib.suppress(PowerLossError):
                store_on(failing_disk, seed + 7).open()
            recovered = normalized(store_on(failing_disk.lose_power(seed + second_call), seed + 9).open())
            assert recovered in allowed, f"call {call}, seed {seed}, {failure}, then at {second_call}"


def is_data_loss_found() -> bool:
    """Return whether any power loss or kill loses synced records or makes garbage readable."""
    for call, seed in itertools.product(range(CALL_COUNT), range(8)):
        disk = FaultyDisk(power_lost_at=call)
        allowed = write_batches(disk, BATCH_COUNT)
        survivor = disk.kill() if seed % 2 else disk.lose_power(call * 100 + seed)
        try:
            recovered = normalized(store_on(survivor, seed).open())
            recovered_again = normalized(store_on(survivor.lose_power(call * 100 + seed + 50), seed).open())
        except (ValueError, MalformedMessageError):
            return True
        if recovered not in allowed or recovered_again != recovered:
            return True
    return False


def no_sync(file: FaultyFile) -> None:
    """Do nothing, in place of a sync."""


def begin_without_sync(self: Ring, snapshot: Sequence[bytes]) -> None:
    with mock.patch.object(FaultyFile, "sync", no_sync):
        ORIGINAL_BEGIN(self, snapshot)


def append_without_sync(self: Ring, records: Sequence[bytes]) -> None:
    with mock.patch.object(FaultyFile, "sync", no_sync):
        ORIGINAL_APPEND(self, records)


def always_use_file_0(self: Ring) -> int:
    return 0


def accept_incomplete_snapshot(file_index: int, data: bytes) -> Generation | None:
    generation = ORIGINAL_READ(file_index, data)
    return replace(generation, has_complete_snapshot=True) if generation else None


ORIGINAL_BEGIN, ORIGINAL_APPEND, ORIGINAL_READ = Ring.begin, Ring.append, ring_recovery.read_generation


@pytest.mark.parametrize(
    ("target", "attribute", "variant"),
    [
        (Ring, "begin", begin_without_sync),
        (Ring, "append", append_without_sync),
        (Ring, "_next_index", always_use_file_0),
        (ring, "read_generation", accept_incomplete_snapshot),
        (ring_format, "checksum", lambda header, frame, record: len(record)),
        (RecordStore, "_rewrite_after_opening", lambda self: None),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_a_broken_ring_is_caught(target: object, attribute: str, variant: object) -> None:
    with mock.patch.object(target, attribute, variant):
        assert is_data_loss_found()


def test_records_of_a_failed_write_are_written_with_the_next() -> None:
    for refused_at, seed in itertools.product(range(1, 20), range(4)):
        disk = FaultyDisk()
        store = store_on(disk)
        store.open()
        expected = DurableState()
        for number, batch in enumerate(itertools.islice(batches(), 24)):
            for record in batch:
                expected.apply_record(record)
            disk.is_failing = refused_at <= number < refused_at + 3
            if disk.is_failing:
                with pytest.raises(OSError, match="refused"):
                    store.append(batch)
            else:
                store.append(batch)
        recovered = normalized(store_on(disk.lose_power(seed), 5).open())
        assert recovered == normalized(expected)


def test_records_whose_sync_failed_and_dropped_them_are_written_with_the_next() -> None:
    """A later sync that succeeds doesn't write what the failed sync dropped."""
    for failed_at, failures, seed in itertools.product(range(1, 20), (1, 2), range(4)):
        disk = FaultyDisk()
        store = store_on(disk)
        store.open()
        expected = DurableState()
        for number, batch in enumerate(itertools.islice(batches(), 24)):
            for record in batch:
                expected.apply_record(record)
            disk.syncs_to_fail = failures if number == failed_at else 0
            with contextlib.suppress(OSError):
                store.append(batch)
        recovered = normalized(store_on(disk.lose_power(seed), 5).open())
        assert recovered == normalized(expected), (failed_at, failures, seed)


def test_a_write_that_is_cut_short_by_a_full_disk_loses_nothing_before_it() -> None:
    """The disk fills up in the middle of a record or snapshot, and has free space again later."""
    for free_bytes, seed in itertools.product(range(0, 2400, 37), range(2)):
        disk = FaultyDisk()
        store = store_on(disk)
        store.open()
        expected = DurableState()
        failed_writes = 0
        for number, batch in enumerate(itertools.islice(batches(), 24)):
            for record in batch:
                expected.apply_record(record)
            if number == 3:
                disk.free_bytes = free_bytes
            if failed_writes >= 3:
                disk.free_bytes = None
            try:
                store.append(batch)
            except OSError:
                failed_writes += 1
        disk.free_bytes = None
        store.append([PromisedEpochRecord(Epoch(9000, "x"))])
        expected.apply_record(PromisedEpochRecord(Epoch(9000, "x")))
        recovered = normalized(store_on(disk.lose_power(seed), 5).open())
        assert recovered == normalized(expected), (free_bytes, seed)


def test_garbage_in_every_file_reads_as_an_empty_disk() -> None:
    disk = FaultyDisk()
    random_source = random.Random(4)
    for index in range(3):
        disk.open(f"ring-{index}").write(0, random_source.randbytes(500))
    assert store_on(disk).open() == DurableState()


def test_a_state_of_five_megabytes_fits() -> None:
    disk = FaultyDisk()
    store = RecordStore(Ring(disk, salts(1)), CODEC.encode, decode)
    store.open()
    epoch = Epoch(1, "d")
    for number in range(12):
        store.append([StateRecord(epoch, number, bytes(5_000_000))])
    assert sum(len(content.current) for content in disk.contents.values()) < 100_000_000
    recovered = RecordStore(Ring(disk, salts(2)), CODEC.encode, decode).open()
    assert (recovered.sequence, len(recovered.snapshot)) == (11, 5_000_000)
