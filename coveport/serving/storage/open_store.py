"""Opens the storage of a coordinator, and gives an empty disk its identity.

A disk that lost synced records is treated as empty: the promises and acknowledgements made earlier are
unknown, and only a new identity keeps the other replicas from relying on these promises and acknowledgements.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from coveport.serving.replication.records import RECORDS, DurableState, IdentityRecord, Record
from coveport.serving.storage.directory_lock import DirectoryLock
from coveport.serving.storage.disk import Disk, OsDisk
from coveport.serving.storage.errors import CorruptedRecordsError
from coveport.serving.storage.ring import Ring
from coveport.serving.storage.ring_format import SALT_BYTES
from coveport.serving.storage.store import RecordStore
from coveport.serving.storage.writer import RecordWriter, ThreadWriter
from coveport.serving.wire.codec import MessageCodec

IDENTITY_BYTES: Final = 8


@dataclass(frozen=True, slots=True)
class OpenedStore:
    """A store on a disk, and the state that was read from it."""

    store: RecordStore
    durable: DurableState
    damage: str = ""  # description of the lost records; if not empty, all former records are discarded


@dataclass(frozen=True, slots=True)
class OpenedStorage:
    """The state that was read from the disk, and the writer for further records."""

    durable: DurableState
    writer: RecordWriter
    damage: str = ""  # see `OpenedStore.damage`
    lock: DirectoryLock | None = None


def open_store(disk: Disk, first_boot: bool, random_bytes: Callable[[int], bytes]) -> OpenedStore:
    """Open the store on a disk; give an empty or damaged disk a new identity, synced when this returns.

    `random_bytes(n)` returns n random bytes. Raises OSError, UnsupportedFormatError, and
    MalformedMessageError if a record can't be decoded.
    """
    codec: MessageCodec[Record] = MessageCodec(RECORDS)
    store = RecordStore(Ring(disk, lambda: random_bytes(SALT_BYTES)), codec.encode, codec.decode)
    damage = ""
    try:
        durable = store.open()
    except CorruptedRecordsError as error:
        durable = DurableState()
        damage = str(error)
    if not durable.disk:
        identity = IdentityRecord(random_bytes(IDENTITY_BYTES).hex(), first_boot and not damage)
        store.append([identity])
        durable.apply_record(identity)
    return OpenedStore(store, durable, damage)


def open_storage(
    directory: str, first_boot: bool, call_soon: Callable[[Callable[[], None]], object]
) -> OpenedStorage:
    """Lock a directory, open the store in it, and start the thread that writes to it.

    `call_soon` runs a function in the caller's thread, as `loop.call_soon_threadsafe` does. Raises
    DirectoryLockedError, and the errors of `open_store`.
    """
    os.makedirs(directory, exist_ok=True)
    lock = DirectoryLock(directory)
    opened = open_store(OsDisk(directory), first_boot, os.urandom)
    return OpenedStorage(opened.durable, ThreadWriter(opened.store, call_soon), opened.damage, lock)
