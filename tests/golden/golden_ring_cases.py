"""Writes ring buffers of a coordinator's disk, the same bytes at every run, and tells what each one holds."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path

from golden_wire_cases import CHANGED_VIEW, EPOCH, LATER_EPOCH, VIEW

from coveport.serving.replication import records
from coveport.serving.replication.identity import NO_EPOCH, View
from coveport.serving.storage.disk import OsDisk
from coveport.serving.storage.open_store import open_store
from coveport.serving.storage.ring import Ring
from coveport.serving.storage.store import RecordStore
from coveport.serving.wire.codec import MessageCodec

CODEC: MessageCodec[records.Record] = MessageCodec(records.RECORDS)
SMALL_FILE_BYTES = 1024  # of a folded ring: its four files are soon overwritten
COMMANDS = 60  # of a folded ring
COMMANDS_A_STATE = 9  # after so many commands the state replaces them
LARGE_STATE = bytes(range(256)) * 5  # larger than half of a small file
DISK = "0101010101010101"  # the identity of a disk that is drawn first

# What a ring holds: disk, whether it was born at the founding, what was promised, the view, what is settled,
# the epoch of the state, the state, its sequence, the commands after it.
Held = tuple[str, bool, object, View | None, object, object, bytes, int, list[bytes] | None]
FRESH: Held = (DISK, True, EPOCH, VIEW, EPOCH, EPOCH, b"the state", 0, [b"one", b"", b"three"])
FOLDED: Held = (
    DISK,
    False,
    LATER_EPOCH,
    CHANGED_VIEW,
    EPOCH,
    LATER_EPOCH,
    b"state 54 " + LARGE_STATE,
    54,
    [b"command 55", b"command 56", b"command 57", b"command 58", b"command 59"],
)
OLDER_FORMAT: Held = ("aa01", True, EPOCH, VIEW, NO_EPOCH, EPOCH, b"the state", 7, [b"eight", b"nine"])


def held_by(durable: records.DurableState) -> Held:
    """What was read of a disk, in the order above."""
    return (
        durable.disk,
        durable.created_at_bootstrap,
        durable.promised,
        durable.view,
        durable.active_epoch,
        durable.state_epoch,
        durable.snapshot,
        durable.snapshot_sequence,
        durable.commands,
    )


def counted_draws(first: int = 1) -> Callable[[int], bytes]:
    """Stands in for random bytes: each draw repeats the next number."""
    numbers = iter(range(first, 256))
    return lambda count: bytes([next(numbers)]) * count


def files_in(folder: Path) -> dict[str, bytes]:
    """All files of a folder, by name."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def write_fresh(folder: Path) -> None:
    """A new disk with a few batches, as a coordinator begins it."""
    store = open_store(OsDisk(str(folder)), True, counted_draws()).store
    store.append([records.ViewRecord(VIEW), records.ActiveEpochRecord(EPOCH)])
    store.append([records.StateRecord(EPOCH, 0, b"the state")])
    store.append([records.CommandRecord(EPOCH, 1, b"one")])
    store.append([records.CommandRecord(EPOCH, 2, b""), records.CommandRecord(EPOCH, 3, b"three")])
    store.close()


def write_folded(folder: Path) -> None:
    """A disk whose small files were overwritten several times, the last time by a large state."""
    draw = counted_draws(2)
    ring = Ring(OsDisk(str(folder)), lambda: draw(8), file_bytes=SMALL_FILE_BYTES)
    store = RecordStore(ring, CODEC.encode, CODEC.decode)
    store.open()
    store.append([records.IdentityRecord(DISK, False), records.ViewRecord(CHANGED_VIEW)])
    store.append([records.ActiveEpochRecord(EPOCH), records.PromisedEpochRecord(LATER_EPOCH)])
    for sequence in range(COMMANDS):
        store.append([_state_or_command(sequence)])
    store.close()


def _state_or_command(sequence: int) -> records.Record:
    if sequence % COMMANDS_A_STATE:
        return records.CommandRecord(LATER_EPOCH, sequence, b"command %d" % sequence)
    is_last = sequence + COMMANDS_A_STATE >= COMMANDS
    state = b"state %d " % sequence + (LARGE_STATE if is_last else b"")
    return records.StateRecord(LATER_EPOCH, sequence, state)


def write_older_format(folder: Path) -> None:
    """A disk as programs before format 2 of the ring left it: only tests can write that format."""
    snapshot: list[records.Record] = [
        records.IdentityRecord("aa01", True),
        records.ViewRecord(VIEW),
        records.StateRecord(EPOCH, 7, b"the state"),
        records.PromisedEpochRecord(EPOCH),
    ]
    later = [records.CommandRecord(EPOCH, 8, b"eight"), records.CommandRecord(EPOCH, 9, b"nine")]
    generations = {
        "ring-0": _format_1(5, b"salt0005", [records.IdentityRecord("aa01", True)], []),
        "ring-1": _format_1(6, b"salt0006", snapshot, later),
        "ring-2": _format_1(7, b"salt0007", snapshot, [])[:90],  # its snapshot was cut short
        "ring-3": b"",
    }
    folder.mkdir(parents=True, exist_ok=True)
    for name, data in generations.items():
        (folder / name).write_bytes(data)


def _format_1(
    number: int, salt: bytes, snapshot: Sequence[records.Record], later: Sequence[records.Record]
) -> bytes:
    """A generation of format 1: header, its checksum, then length, checksum and bytes of each record."""
    header = struct.pack(">4sHQ8sI", b"CVPR", 1, number, salt, len(snapshot))
    pieces = [header, struct.pack(">I", zlib.crc32(header))]
    for place, record in enumerate([*snapshot, *later]):
        data = CODEC.encode(record)
        checksum = zlib.crc32(data, zlib.crc32(struct.pack(">Q", place), zlib.crc32(salt)))
        pieces += [struct.pack(">II", len(data), checksum), data]
    return b"".join(pieces) + bytes(64)


def reopen(folder: Path) -> records.DurableState:
    """Open a disk as a coordinator does at its start, which begins a generation in another file."""
    opened = open_store(OsDisk(str(folder)), True, counted_draws(200))
    opened.store.close()
    assert opened.damage == ""
    return opened.durable


WRITERS: dict[str, tuple[Callable[[Path], None], Held]] = {
    "ring_fresh": (write_fresh, FRESH),
    "ring_folded": (write_folded, FOLDED),
    "ring_format_1": (write_older_format, OLDER_FORMAT),
}
