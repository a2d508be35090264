"""Flipped bits and lost sectors are read from the other copy; records lost in both are reported."""

from __future__ import annotations

import random
import struct
import zlib
from collections.abc import Callable
from pathlib import Path
from unittest import mock

import pytest
from faulty_disk import FaultyDisk, FaultyFile, PowerLossError

from coveport.serving.replication.identity import Epoch
from coveport.serving.replication.records import IdentityRecord, PromisedEpochRecord
from coveport.serving.storage import open_store as open_store_module
from coveport.serving.storage import ring, ring_recovery
from coveport.serving.storage.directory_lock import DirectoryLock
from coveport.serving.storage.errors import CorruptedRecordsError, DirectoryLockedError
from coveport.serving.storage.open_store import open_store
from coveport.serving.storage.ring import Ring
from coveport.serving.storage.ring_format import Header

FILE_BYTES = 640
SNAPSHOT = [b"identity", b"state" * 6]
LATER_BATCHES = [[b"promise 1"], [b"command 1", b"command 2"], [b"command 3"], [b"promise 2"]]
ALL_RECORDS = SNAPSHOT + [record for batch in LATER_BATCHES for record in batch]


def ring_on(disk: FaultyDisk, seed: int = 1) -> Ring:
    random_source = random.Random(seed)
    return Ring(disk, lambda: random_source.randbytes(8), files=3, file_bytes=FILE_BYTES)


def written_disk() -> FaultyDisk:
    """Return a disk with one generation that is completely synced."""
    disk = FaultyDisk()
    ring = ring_on(disk)
    ring.open()
    ring.begin(SNAPSHOT)
    for batch in LATER_BATCHES:
        ring.append(batch)
    return disk


def generation_bytes(disk: FaultyDisk) -> bytearray:
    """Return the bytes of the only file with a generation."""
    return next(content.current for content in disk.contents.values() if content.current)


def read_records(disk: FaultyDisk) -> list[bytes]:
    return ring_on(disk, 2).open()


def offsets_of(disk: FaultyDisk, record: bytes) -> tuple[int, int]:
    """Return the offsets of a record in the first and in the second copy."""
    data = bytes(generation_bytes(disk))
    first = data.index(record)
    return first, data.index(record, first + 1)


def test_any_single_flipped_bit_is_read_from_the_other_copy() -> None:
    disk = written_disk()
    data = generation_bytes(disk)
    for offset in range(len(data)):
        for bit in range(8):
            data[offset] ^= 1 << bit
            assert read_records(disk) == ALL_RECORDS, f"byte {offset}, bit {bit}"
            data[offset] ^= 1 << bit


@pytest.mark.parametrize("sector", [16, 64, 256])
@pytest.mark.parametrize("filler", [b"\x00", b"\xff"])
def test_any_lost_sector_is_read_from_the_other_copy(sector: int, filler: bytes) -> None:
    disk = written_disk()
    data = generation_bytes(disk)
    original = bytes(data)
    for start in range(0, len(data), sector):
        data[start : start + sector] = filler * len(data[start : start + sector])
        assert read_records(disk) == ALL_RECORDS, f"sector at {start}"
        data[:] = original


@pytest.mark.parametrize("record", ALL_RECORDS[:-2], ids=lambda record: record.decode()[:12])
def test_a_record_corrupted_in_both_copies_before_valid_ones_is_reported(record: bytes) -> None:
    disk = written_disk()
    for offset in offsets_of(disk, record):
        generation_bytes(disk)[offset] ^= 1
    with pytest.raises(CorruptedRecordsError, match="is lost, later ones are not"):
        read_records(disk)


def test_a_batch_that_was_never_synced_is_a_torn_tail_however_it_was_torn() -> None:
    """The second record of a batch may have reached the disk without the first one."""
    disk = written_disk()
    for offset in offsets_of(disk, LATER_BATCHES[-1][0]):
        generation_bytes(disk)[offset] ^= 1
    assert read_records(disk) == ALL_RECORDS[:-1]
    torn = FaultyDisk()
    ring = ring_on(torn)
    ring.open()
    ring.begin(SNAPSHOT)
    ring.append([b"first of a batch", b"second of a batch"])
    for offset in offsets_of(torn, b"first of a batch"):
        generation_bytes(torn)[offset] ^= 1
    assert read_records(torn) == SNAPSHOT


def test_a_corrupted_disk_gets_a_new_identity_and_keeps_it() -> None:
    random_source = random.Random(7)
    disk = FaultyDisk()
    with mock.patch.object(ring, "FILE_BYTES", FILE_BYTES):
        opened = open_store(disk, True, random_source.randbytes)
        assert opened.durable.created_at_bootstrap
        for number in range(1, 6):
            opened.store.append([PromisedEpochRecord(Epoch(number, "a candidate"))])
        data = generation_bytes(disk)
        offsets = [offset for offset in range(len(data)) if data.startswith(b"a candidate", offset)]
        assert len(offsets) == 10, "five promises in two copies each"
        for offset in offsets[1], offsets[6]:
            data[offset] ^= 1
        reopened = open_store(disk, True, random_source.randbytes)
        assert "is lost" in reopened.damage
        assert reopened.durable.disk not in ("", opened.durable.disk)
        assert not reopened.durable.created_at_bootstrap, "it must not bootstrap a second core"
        assert reopened.durable.view is None
        reopened_after_loss = open_store(disk.lose_power(3), True, random_source.randbytes)
        assert (reopened_after_loss.damage, reopened_after_loss.durable.disk) == ("", reopened.durable.disk)
        assert not reopened_after_loss.durable.created_at_bootstrap


def test_names_left_unsynced_by_a_killed_process_are_synced_by_the_next() -> None:
    """A process is killed between creating files and syncing their names; the next one must sync them."""
    for seed in range(24):
        disk = FaultyDisk(power_lost_at=0)
        with pytest.raises(PowerLossError):
            ring_on(disk).open()
        disk = disk.kill()
        assert disk.unsynced_names, "no name is left unsynced"
        ring = ring_on(disk, 3)
        ring.open()
        ring.begin(SNAPSHOT)
        ring.append([b"a promise"])
        assert read_records(disk.lose_power(seed)) == [*SNAPSHOT, b"a promise"], f"seed {seed}"


def test_a_ring_that_trusts_names_it_did_not_create_is_caught() -> None:
    """Check that the test above catches a variant that syncs names only if it created files."""

    def open_without_syncing_existing_names(self: Ring) -> list[bytes]:
        missing = {f"ring-{index}" for index in range(3)} - set(self._disk.file_names())
        if missing:
            return original(self)
        with mock.patch.object(FaultyDisk, "sync_directory", return_value=None):
            return original(self)

    original = Ring.open
    with (
        mock.patch.object(Ring, "open", open_without_syncing_existing_names),
        pytest.raises(AssertionError, match="seed"),
    ):
        test_names_left_unsynced_by_a_killed_process_are_synced_by_the_next()


def without_second_copy(self: Ring, file: FaultyFile, offset: int, data: bytes) -> None:
    file.write(offset, data)


def without_damage_check(data: bytes, header: Header, end: int, position: int) -> bool:
    return False


@pytest.mark.parametrize(
    ("target", "attribute", "variant", "check"),
    [
        (
            Ring,
            "_write_both_copies",
            without_second_copy,
            test_any_single_flipped_bit_is_read_from_the_other_copy,
        ),
        (
            ring_recovery,
            "_has_later_batch",
            without_damage_check,
            lambda: test_a_record_corrupted_in_both_copies_before_valid_ones_is_reported(ALL_RECORDS[2]),
        ),
        (
            open_store_module,
            "IdentityRecord",
            lambda disk, first_boot: IdentityRecord(disk, True),
            test_a_corrupted_disk_gets_a_new_identity_and_keeps_it,
        ),
    ],
    ids=["one copy only", "damage taken for a torn tail", "a damaged disk may bootstrap"],
)
def test_a_broken_variant_is_caught(
    target: object, attribute: str, variant: object, check: Callable[[], None]
) -> None:
    with (
        mock.patch.object(target, attribute, variant),
        pytest.raises((AssertionError, pytest.fail.Exception)),
    ):
        check()


def test_format_1_is_read() -> None:
    """Format 1 has one copy, and checksums over salt and position."""
    salt = b"saltsalt"
    header = struct.pack(">4sHQ8sI", b"CVPR", 1, 9, salt, 1)
    data = header + struct.pack(">I", zlib.crc32(header))
    for position, record in enumerate((b"one", b"two")):
        record_checksum = zlib.crc32(record, zlib.crc32(struct.pack(">Q", position), zlib.crc32(salt)))
        data += struct.pack(">II", len(record), record_checksum) + record
    disk = FaultyDisk()
    disk.open("ring-2").write(0, data + bytes(400))
    ring = ring_on(disk)
    assert ring.open() == [b"one", b"two"]
    ring.begin([b"one", b"two"])
    ring.append([b"three"])
    assert read_records(disk) == [b"one", b"two", b"three"]


def test_a_directory_is_locked_by_one_process(tmp_path: Path) -> None:
    lock = DirectoryLock(str(tmp_path))
    with pytest.raises(DirectoryLockedError):
        DirectoryLock(str(tmp_path))
    lock.release()
    DirectoryLock(str(tmp_path)).release()
