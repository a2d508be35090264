"""Power is lost, or the process killed, at every write and sync: what was synced is there after."""

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

FILE_BYTES = 700  # so small that the ring goes round often
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
    """What a member writes: an identity, a state, then promises, commands and states anew."""
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


def run(disk: FaultyDisk, count: int) -> list[DurableState]:
    """Write batches until power is lost; what may be found then.

    That is what was synced, and that with the first few records of the batch that was on its way.
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
    return [normalized(recover(synced + batch[:part])) for part in range(len(batch) + 1)]


def normalized(durable: DurableState) -> DurableState:
    durable.commands = list(durable.commands or [])
    return durable


def calls_of(count: int) -> int:
    disk = FaultyDisk()
    run(disk, count)
    return disk.calls


BATCHES = 90
CALLS = calls_of(BATCHES)


def test_the_ring_wraps_several_times() -> None:
    disk = FaultyDisk()
    run(disk, BATCHES)
    numbers = {
        generation.number
        for index, content in enumerate(disk.contents.values())
        if (generation := ring_recovery.read_generation(index, bytes(content.now))) is not None
    }
    assert len(disk.contents) == 3
    assert max(numbers) > 5


@pytest.mark.parametrize("call", range(CALLS))
def test_power_lost_at_any_write_or_sync_loses_nothing_synced(call: int) -> None:
    for seed in range(SEEDS_AT_EACH_CALL):
        disk = FaultyDisk(power_lost_at=call)
        allowed = run(disk, BATCHES)
        survivor = disk.lose_power(call * 100 + seed)
        recovered = normalized(store_on(survivor, seed).open())
        assert recovered in allowed, f"call {call}, seed {seed}"
        # the opening itself is synced: another loss right after changes nothing
        again = normalized(store_on(survivor.lose_power(seed + 1000), seed).open())
        assert again == recovered


@pytest.mark.parametrize("call", range(0, CALLS, 9))
def test_power_lost_while_opening_after_a_loss_or_a_kill(call: int) -> None:
    for seed, dies in itertools.product(range(3), ("kill", "power")):
        disk = FaultyDisk(power_lost_at=call)
        allowed = run(disk, BATCHES)
        survivor = disk.kill() if dies == "kill" else disk.lose_power(call * 100 + seed)
        for second in range(6):
            once = survivor.kill()
            once.power_lost_at = second
            with contextlib.suppress(PowerLossError):
                store_on(once, seed + 7).open()
            recovered = normalized(store_on(once.lose_power(seed + second), seed + 9).open())
            assert recovered in allowed, f"call {call}, seed {seed}, {dies}, then at {second}"


def is_found_broken() -> bool:
    """Whether any loss of power shows that something synced is gone, or that nonsense is read."""
    for call, seed in itertools.product(range(CALLS), range(8)):
        disk = FaultyDisk(power_lost_at=call)
        allowed = run(disk, BATCHES)
        survivor = disk.kill() if seed % 2 else disk.lose_power(call * 100 + seed)
        try:
            recovered = normalized(store_on(survivor, seed).open())
            again = normalized(store_on(survivor.lose_power(call * 100 + seed + 50), seed).open())
        except (ValueError, MalformedMessageError):
            return True
        if recovered not in allowed or again != recovered:
            return True
    return False


def no_sync(file: FaultyFile) -> None:
    """In place of a sync."""


def begin_without_sync(self: Ring, snapshot: Sequence[bytes]) -> None:
    with mock.patch.object(FaultyFile, "sync", no_sync):
        BEGIN(self, snapshot)


def append_without_sync(self: Ring, records: Sequence[bytes]) -> None:
    with mock.patch.object(FaultyFile, "sync", no_sync):
        APPEND(self, records)


def always_the_same_file(self: Ring) -> int:
    return 0


def any_generation(file_index: int, data: bytes) -> Generation | None:
    generation = READ(file_index, data)
    return replace(generation, has_complete_snapshot=True) if generation else None


BEGIN, APPEND, READ = Ring.begin, Ring.append, ring_recovery.read_generation


@pytest.mark.parametrize(
    ("target", "name", "broken"),
    [
        (Ring, "begin", begin_without_sync),
        (Ring, "append", append_without_sync),
        (Ring, "_next_index", always_the_same_file),
        (ring, "read_generation", any_generation),
        (ring_format, "checksum", lambda header, frame, record: len(record)),
        (RecordStore, "_begin_after_opening", lambda self: None),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_a_broken_ring_is_caught(target: object, name: str, broken: object) -> None:
    with mock.patch.object(target, name, broken):
        assert is_found_broken()


def test_records_of_a_failed_write_are_written_with_the_next() -> None:
    for refused_at, seed in itertools.product(range(1, 20), range(4)):
        disk = FaultyDisk()
        store = store_on(disk)
        store.open()
        expected = DurableState()
        for number, batch in enumerate(itertools.islice(batches(), 24)):
            for record in batch:
                expected.apply_record(record)
            disk.refuses = refused_at <= number < refused_at + 3
            if disk.refuses:
                with pytest.raises(OSError, match="refused"):
                    store.append(batch)
            else:
                store.append(batch)
        recovered = normalized(store_on(disk.lose_power(seed), 5).open())
        assert recovered == normalized(expected)


def test_records_whose_sync_failed_and_dropped_them_are_written_with_the_next() -> None:
    """A second sync that succeeds proves nothing of what the first should have written."""
    for failed_at, failures, seed in itertools.product(range(1, 20), (1, 2), range(4)):
        disk = FaultyDisk()
        store = store_on(disk)
        store.open()
        expected = DurableState()
        for number, batch in enumerate(itertools.islice(batches(), 24)):
            for record in batch:
                expected.apply_record(record)
            disk.failing_syncs = failures if number == failed_at else 0
            with contextlib.suppress(OSError):
                store.append(batch)
        recovered = normalized(store_on(disk.lose_power(seed), 5).open())
        assert recovered == normalized(expected), (failed_at, failures, seed)


def test_a_write_that_is_cut_short_by_a_full_disk_loses_nothing_before_it() -> None:
    """The disk fills up in the middle of a record, or of a snapshot, and has room again later."""
    for free_bytes, seed in itertools.product(range(0, 2400, 37), range(2)):
        disk = FaultyDisk()
        store = store_on(disk)
        store.open()
        expected = DurableState()
        refused = 0
        for number, batch in enumerate(itertools.islice(batches(), 24)):
            for record in batch:
                expected.apply_record(record)
            if number == 3:
                disk.free_bytes = free_bytes
            if refused >= 3:
                disk.free_bytes = None
            try:
                store.append(batch)
            except OSError:
                refused += 1
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
    assert sum(len(content.now) for content in disk.contents.values()) < 100_000_000
    recovered = RecordStore(Ring(disk, salts(2)), CODEC.encode, decode).open()
    assert (recovered.sequence, len(recovered.snapshot)) == (11, 5_000_000)
