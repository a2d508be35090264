"""Access of the verbs to the store of leases that an operator's file names."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from coveport.cli.errors import UnusableError

if TYPE_CHECKING:
    from coveport.sidecar.config.operator_file import OperatorFile
    from coveport.sidecar.leases.store import Entry, Store

TAKE_UP_TIMEOUT_S = 10.0  # how long a request to the holder of a role may wait to be taken up
POLL_S = 0.05


def run_at_store(operator_file: OperatorFile, verb: Callable[[Store, str], Awaitable[int]]) -> int:
    """Run a verb with the store and its prefix, and return its exit code."""
    from coveport.sidecar.leases.errors import StoreError
    from coveport.sidecar.leases.open_store import open_store

    async def run() -> int:
        store = open_store(operator_file)
        try:
            return await verb(store, operator_file.store.prefix)
        finally:
            await store.close()

    try:
        return asyncio.run(run())
    except StoreError as error:
        raise UnusableError(str(error)) from error


async def read_entries(store: Store, prefix: str) -> dict[str, Entry]:
    """Return all entries under the prefix by their keys without it."""
    from coveport.sidecar.leases.store import Unknown

    listing = await store.read(prefix)
    if isinstance(listing, Unknown):
        raise UnusableError(f"the store does not answer: {listing.reason}")
    return {entry.key[len(prefix) :]: entry for entry in listing.entries}


async def write_request(
    store: Store, prefix: str, key: str, value: bytes, *, is_exclusive: bool = False
) -> bool:
    """Write a request to the holder of a role.

    `is_exclusive`: write nothing, and return False, where an earlier request was not taken up yet.
    """
    from coveport.sidecar.leases.store import Compare, Field, Put, Refused, Transaction, Unknown

    compares = (Compare(prefix + key, Field.CREATED, 0),) if is_exclusive else ()
    outcome = await store.commit(Transaction(compares, (Put(prefix + key, value),)))
    if isinstance(outcome, Unknown):
        raise UnusableError(f"the store does not answer, it may have been written: {outcome.reason}")
    return not isinstance(outcome, Refused)
