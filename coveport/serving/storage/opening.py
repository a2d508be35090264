"""Opens what a coordinator keeps on its disk, and gives an empty disk its identity.

A disk that lost records which had been synced is opened as an empty one: what it promised and acknowledged
can't be known any more, and only another identity keeps the core from counting on it.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass

from coveport.serving.replication.records import RECORDS, DurableState, IdentityRecord, Record
from coveport.serving.storage.disk import Disk, OsDisk
from coveport.serving.storage.folder_lock import FolderLock
from coveport.serving.storage.ring import SALT_BYTES, DamagedError, Ring
from coveport.serving.storage.store import RecordStore
from coveport.serving.storage.writer import RecordWriter, ThreadWriter
from coveport.serving.wire.codec import MessageCodec

IDENTITY_BYTES = 8


@dataclass(frozen=True, slots=True)
class OpenedStore:
    """A store on a disk, and what it held."""

    store: RecordStore
    durable: DurableState
    damage: str = ""  # what was lost of the disk's former records, which count as forgotten


@dataclass(frozen=True, slots=True)
class Opened:
    """What the disk held, and what writes to it from now on."""

    durable: DurableState
    writer: RecordWriter
    damage: str = ""  # as in OpenedStore
    lock: FolderLock | None = None


def open_store(disk: Disk, first_boot: bool, draw: Callable[[int], bytes]) -> OpenedStore:
    """The store on a disk; an empty or damaged one gets a new identity, synced when this returns.

    `draw(n)` gives n random bytes. Raises OSError, ring.NewerFormatError and ValueError.
    """
    codec: MessageCodec[Record] = MessageCodec(RECORDS)
    store = RecordStore(Ring(disk, lambda: draw(SALT_BYTES)), codec.encode, codec.decode)
    damage = ""
    try:
        durable = store.open()
    except DamagedError as problem:
        durable, damage = DurableState(), str(problem)
    if not durable.disk:
        identity = IdentityRecord(draw(IDENTITY_BYTES).hex(), first_boot and not damage)
        store.append([identity])
        durable.absorb(identity)
    return OpenedStore(store, durable, damage)


def open_storage(folder: str, first_boot: bool, call_back: Callable[[Callable[[], None]], object]) -> Opened:
    """The store in a folder, with a thread that writes to it."""
    os.makedirs(folder, exist_ok=True)
    lock = FolderLock(folder)
    opened = open_store(OsDisk(folder), first_boot, os.urandom)
    return Opened(opened.durable, ThreadWriter(opened.store, call_back), opened.damage, lock)
