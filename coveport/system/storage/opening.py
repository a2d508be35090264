"""Opens what a coordinator keeps on its disk, and gives an empty disk its identity."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass

from coveport.system.replication.records import RECORDS, DurableState, IdentityRecord, Record
from coveport.system.storage.disk import Disk, OsDisk
from coveport.system.storage.ring import SALT_BYTES, Ring
from coveport.system.storage.store import RecordStore
from coveport.system.storage.writer import InlineWriter, RecordWriter, ThreadWriter
from coveport.system.wire.codec import MessageCodec

IDENTITY_BYTES = 8


@dataclass(frozen=True, slots=True)
class Opened:
    """What the disk held, and what writes to it from now on."""

    durable: DurableState
    writer: RecordWriter


def open_store(
    disk: Disk, first_boot: bool, draw: Callable[[int], bytes]
) -> tuple[RecordStore, DurableState]:
    """The store on a disk, and what it held; an empty one gets an identity, synced when this returns.

    `draw(n)` gives n random bytes. Raises OSError, ring.NewerFormatError and ValueError.
    """
    codec: MessageCodec[Record] = MessageCodec(RECORDS)
    store = RecordStore(Ring(disk, lambda: draw(SALT_BYTES)), codec.encode, codec.decode)
    durable = store.open()
    if not durable.disk:
        identity = IdentityRecord(draw(IDENTITY_BYTES).hex(), first_boot)
        store.append([identity])
        durable.absorb(identity)
    return store, durable


def open_storage(folder: str, first_boot: bool, call_back: Callable[[Callable[[], None]], object]) -> Opened:
    """The store in a folder, with a thread that writes to it."""
    os.makedirs(folder, exist_ok=True)
    store, durable = open_store(OsDisk(folder), first_boot, os.urandom)
    return Opened(durable, ThreadWriter(store, call_back))


def open_inline(disk: Disk, first_boot: bool, draw: Callable[[int], bytes]) -> Opened:
    """As `open_storage`, writing at once in the caller's thread: for simulated worlds."""
    store, durable = open_store(disk, first_boot, draw)
    return Opened(durable, InlineWriter(store))
