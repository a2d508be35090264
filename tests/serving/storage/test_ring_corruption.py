"""Flipped bits and lost sectors: read from the other copy, and never taken for a torn tail without one."""

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
from coveport.serving.storage import open_store as opening
from coveport.serving.storage import ring, ring_recovery
from coveport.serving.storage.directory_lock import DirectoryLock
from coveport.serving.storage.errors import CorruptedRecordsError, DirectoryLockedError
from coveport.serving.storage.open_store import open_store
from coveport.serving.storage.ring import Ring
from coveport.serving.storage.ring_format import Header

FILE_BYTES = 640
SNAPSHOT = [b"identity", b"state" * 6]
LATER = [[b"promise 1"], [b"command 1", b"command 2"], [b"command 3"], [b"promise 2"]]
ALL = SNAPSHOT + [record for batch in LATER for record in batch]


def ring_on(disk: FaultyDisk, seed: int = 1) -> Ring:
    random_source = random.Random(seed)
    return Ring(disk, lambda: random_source.randbytes(8), files=3, file_bytes=FILE_BYTES)


def written_disk() -> FaultyDisk:
    """Return a disk with one generation, all of it synced."""
    disk = FaultyDisk()
    ring = ring_on(disk)
    ring.open()
    ring.begin(SNAPSHOT)
    for batch in LATER:
        ring.append(batch)
    return disk


def current(disk: FaultyDisk) -> bytearray:
    """Return the bytes of the only file with a generation."""
    return next(content.now for content in disk.contents.values() if content.now)


def read(disk: FaultyDisk) -> list[bytes]:
    return ring_on(disk, 2).open()


def offsets_of(disk: FaultyDisk, record: bytes) -> tuple[int, int]:
    """Return the offsets of a record in the first and in the second copy."""
    data = bytes(current(disk))
    first = data.index(record)
    return first, data.index(record, first + 1)


def test_any_single_flipped_bit_is_read_from_the_other_copy() -> None:
    disk = written_disk()
    data = current(disk)
    for offset in range(len(data)):
        for bit in range(8):
            data[offset] ^= 1 << bit
            assert read(disk) == ALL, f"byte {offset}, bit {bit}"
            data[offset] ^= 1 << bit


@pytest.mark.parametrize("sector", [16, 64, 256])
@pytest.mark.parametrize("filler", [b"\x00", b"\xff"])
def test_any_lost_sector_is_read_from_the_other_copy(sector: int, filler: bytes) -> None:
    disk = written_disk()
    data = current(disk)
    original = bytes(data)
    for start in range(0, len(data), sector):
        data[start : start + sector] = filler * len(data[start : start + sector])
        assert read(disk) == ALL, f"sector at {start}"
        data[:] = original


@pytest.mark.parametrize("record", ALL[:-2], ids=lambda record: record.decode()[:12])
def test_a_record_corrupted_in_both_copies_before_valid_ones_is_reported(record: bytes) -> None:
    disk = written_disk()
    for offset in offsets_of(disk, record):
        current(disk)[offset] ^= 1
    with pytest.raises(CorruptedRecordsError, match="is lost, later ones are not"):
        read(disk)


def test_a_batch_that_was_never_synced_is_a_torn_tail_however_it_was_torn() -> None:
    """Its second record may have reached the disk, and its first not."""
    disk = written_disk()
    for offset in offsets_of(disk, LATER[-1][0]):
        current(disk)[offset] ^= 1
    assert read(disk) == ALL[:-1]
    torn = FaultyDisk()
    ring = ring_on(torn)
    ring.open()
    ring.begin(SNAPSHOT)
    ring.append([b"first of a batch", b"second of a batch"])
    for offset in offsets_of(torn, b"first of a batch"):
        current(torn)[offset] ^= 1
    assert read(torn) == SNAPSHOT


def test_a_corrupted_disk_gets_a_new_identity_and_keeps_it() -> None:
    random_source = random.Random(7)
    disk = FaultyDisk()
    with mock.patch.object(ring, "FILE_BYTES", FILE_BYTES):
        opened = open_store(disk, True, random_source.randbytes)
        assert opened.durable.created_at_bootstrap
        for number in range(1, 6):
            opened.store.append([PromisedEpochRecord(Epoch(number, "a candidate"))])
        data = current(disk)
        offsets = [offset for offset in range(len(data)) if data.startswith(b"a candidate", offset)]
        assert len(offsets) == 10, "five promises, each of them twice"
        for offset in offsets[1], offsets[6]:
            data[offset] ^= 1
        again = open_store(disk, True, random_source.randbytes)
        assert "is lost" in again.damage
        assert again.durable.disk not in ("", opened.durable.disk)
        assert not again.durable.created_at_bootstrap, "it must not found a core beside the one it was in"
        assert again.durable.view is None
        third = open_store(disk.lose_power(3), True, random_source.randbytes)
        assert (third.damage, third.durable.disk) == ("", again.durable.disk)
        assert not third.durable.created_at_bootstrap


def test_names_left_unsynced_by_a_killed_process_are_synced_by_the_next() -> None:
    """Killed between creating files and syncing their names: the next process must not rely on them."""
    for seed in range(24):
        disk = FaultyDisk(power_lost_at=0)
        with pytest.raises(PowerLossError):
            ring_on(disk).open()
        disk = disk.kill()
        assert disk.unsynced_names, "the situation is reached"
        ring = ring_on(disk, 3)
        ring.open()
        ring.begin(SNAPSHOT)
        ring.append([b"a promise"])
        assert read(disk.lose_power(seed)) == [*SNAPSHOT, b"a promise"], f"seed {seed}"


def test_a_ring_that_trusts_names_it_did_not_create_is_caught() -> None:
    """Check that the test above catches a variant that syncs names only where it created files."""

    def open_trusting(self: Ring) -> list[bytes]:
        missing = {f"ring-{index}" for index in range(3)} - set(self._disk.file_names())
        if missing:
            return original(self)
        with mock.patch.object(FaultyDisk, "sync_directory", return_value=None):
            return original(self)

    original = Ring.open
    with mock.patch.object(Ring, "open", open_trusting), pytest.raises(AssertionError, match="seed"):
        test_names_left_unsynced_by_a_killed_process_are_synced_by_the_next()


def without_second_copy(self: Ring, file: FaultyFile, offset: int, data: bytes) -> None:
    file.write(offset, data)


def without_damage(data: bytes, header: Header, end: int, position: int) -> bool:
    return False


@pytest.mark.parametrize(
    ("target", "name", "broken", "check"),
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
            without_damage,
            lambda: test_a_record_corrupted_in_both_copies_before_valid_ones_is_reported(ALL[2]),
        ),
        (
            opening,
            "IdentityRecord",
            lambda disk, first_boot: IdentityRecord(disk, True),
            test_a_corrupted_disk_gets_a_new_identity_and_keeps_it,
        ),
    ],
    ids=["one copy only", "a bad record ends the reading", "a damaged disk may found"],
)
def test_a_broken_variant_is_caught(
    target: object, name: str, broken: object, check: Callable[[], None]
) -> None:
    with mock.patch.object(target, name, broken), pytest.raises((AssertionError, pytest.fail.Exception)):
        check()


def test_format_1_is_read() -> None:
    """Format 1 has one copy, and checksums over salt and position."""
    salt = b"saltsalt"
    header = struct.pack(">4sHQ8sI", b"CVPR", 1, 9, salt, 1)
    data = header + struct.pack(">I", zlib.crc32(header))
    for position, record in enumerate((b"one", b"two")):
        check = zlib.crc32(record, zlib.crc32(struct.pack(">Q", position), zlib.crc32(salt)))
        data += struct.pack(">II", len(record), check) + record
    disk = FaultyDisk()
    disk.open("ring-2").write(0, data + bytes(400))
    ring = ring_on(disk)
    assert ring.open() == [b"one", b"two"]
    ring.begin([b"one", b"two"])
    ring.append([b"three"])
    assert read(disk) == [b"one", b"two", b"three"]


def test_a_directory_is_locked_by_one_process(tmp_path: Path) -> None:
    lock = DirectoryLock(str(tmp_path))
    with pytest.raises(DirectoryLockedError):
        DirectoryLock(str(tmp_path))
    lock.release()
    DirectoryLock(str(tmp_path)).release()
