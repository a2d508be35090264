"""Access of the verbs to the records of the intent log."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from coveport.cli.errors import UnusableError

if TYPE_CHECKING:
    from coveport.sidecar.config.operator_file import OperatorFile
    from coveport.sidecar.intent_log.record import Record
    from coveport.sidecar.intent_log.record_layout import RecordLayout
    from coveport.sidecar.leases.store import Entry, Store

CALL_TIMEOUT_S = 2.0


class RecordStore:
    """The store of records, with what the verbs read of it."""

    def __init__(self, store: Store, layout: RecordLayout) -> None:
        self.store = store
        self.layout = layout

    async def read(self, prefix: str) -> tuple[Entry, ...]:
        """Return the entries under a prefix; UnusableError where the store doesn't answer."""
        from coveport.sidecar.leases.store import Unknown

        listing = await self.store.read(prefix)
        if isinstance(listing, Unknown):
            raise UnusableError(f"the store does not answer: {listing.reason}")
        return listing.entries

    async def read_record(self, identity: str) -> tuple[Record, Entry]:
        """Return one record and its entry; UnusableError where there is none, or it can't be read."""
        from coveport.sidecar.intent_log.errors import RecordError
        from coveport.sidecar.intent_log.record_codec import decode
        from coveport.sidecar.intent_log.record_layout import is_id

        if not is_id(identity):
            raise UnusableError(f"{identity!r} is no record's id: 32 digits of 0 to 9 and a to f")
        entries = await self.read(self.layout.record_key(identity))
        if not entries:
            raise UnusableError(f"{identity}: there is no such record")
        try:
            return decode(entries[0].value), entries[0]
        except RecordError as error:
            raise UnusableError(f"{identity}: {error}") from error

    async def read_unknown_ids(self) -> list[str]:
        """Return the ids of the records of which nobody knows whether their operations ran."""
        prefix = self.layout.unknown_key()
        return [entry.key[len(prefix) :] for entry in await self.read(prefix)]


def run_at_records(operator_file: OperatorFile, verb: Callable[[RecordStore], Awaitable[int]]) -> int:
    """Run a verb with the records' store that the file names, and return its exit code."""
    from coveport.sidecar.intent_log.record_layout import RecordLayout
    from coveport.sidecar.leases.errors import StoreError
    from coveport.sidecar.leases.open_store import open_record_store

    async def run() -> int:
        store = open_record_store(operator_file, CALL_TIMEOUT_S)
        try:
            layout = RecordLayout(operator_file.work_prefix, operator_file.work.kept_s)
            return await verb(RecordStore(store, layout))
        finally:
            await store.close()

    try:
        return asyncio.run(run())
    except StoreError as error:
        raise UnusableError(str(error)) from error
