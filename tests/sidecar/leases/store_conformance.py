"""Conformance cases that run against every store; `wait` lets time pass for the store under test."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from coveport.sidecar.leases.errors import WatchLostError
from coveport.sidecar.leases.store import (
    Change,
    Compare,
    Delete,
    Done,
    Field,
    Put,
    Refused,
    Store,
    Transaction,
    fenced,
)

Case = Callable[[Store, Callable[[float], Awaitable[None]]], Awaitable[None]]
ABSENT = Field.CREATED


def put(key: str, value: bytes, lease: int = 0, created: int | None = None) -> Transaction:
    compares = () if created is None else (Compare(key, ABSENT, created),)
    return Transaction(compares, (Put(key, value, lease),))


async def done(call: Awaitable[object]) -> Done:
    outcome = await call
    assert isinstance(outcome, Done), outcome
    return outcome


async def revisions_grow_and_are_stored_in_entries(
    store: Store, wait: Callable[[float], Awaitable[None]]
) -> None:
    first = await done(store.commit(put("a", b"1")))
    second = await done(store.commit(put("a", b"2")))
    assert second.revision > first.revision and second.identity == first.identity
    (entry,) = (await done(store.read("a"))).entries
    assert (entry.value, entry.created, entry.modified) == (b"2", first.revision, second.revision)
    await done(store.commit(Transaction((), (Delete("a"),))))
    third = await done(store.commit(put("a", b"3")))
    (entry,) = (await done(store.read("a"))).entries
    assert entry.created == third.revision > second.revision, "a recreated key has a higher fencing token"


async def transaction_that_changes_nothing_has_no_revision(
    store: Store, wait: Callable[[float], Awaitable[None]]
) -> None:
    before = await done(store.read(""))
    after = await done(store.commit(Transaction((), (Delete("absent"),))))
    assert after.revision == before.revision


async def several_transactions_are_carried_out_independently(
    store: Store, wait: Callable[[float], Awaitable[None]]
) -> None:
    await done(store.commit(put("a", b"1")))
    outcomes = await store.commit_all(
        [
            put("a", b"2", created=0),
            put("b", b"1", created=0),
            put("c", b"1"),
            put("c", b"2", lease=987654321),
        ]
    )
    assert [type(outcome) for outcome in outcomes] == [Refused, Done, Done, Refused]
    assert isinstance(outcomes[3], Refused) and outcomes[3].lease_gone
    entries = {entry.key: entry for entry in (await done(store.read(""))).entries}
    assert {key: entry.value for key, entry in entries.items()} == {"a": b"1", "b": b"1", "c": b"1"}
    for index, key in ((1, "b"), (2, "c")):
        outcome = outcomes[index]
        assert isinstance(outcome, Done) and outcome.revision == entries[key].modified, (
            "each outcome has the revision of its own transaction"
        )


async def reads_are_by_prefix_and_in_order(store: Store, wait: Callable[[float], Awaitable[None]]) -> None:
    for key in ("p/b", "p/a", "q/a", "p"):
        await done(store.commit(put(key, b"x")))
    assert [entry.key for entry in (await done(store.read("p/"))).entries] == ["p/a", "p/b"]


async def transaction_needs_all_its_compares(store: Store, wait: Callable[[float], Awaitable[None]]) -> None:
    created = await done(store.commit(put("a", b"1", created=0)))
    assert isinstance(await store.commit(put("a", b"2", created=0)), Refused)
    both = (Compare("a", Field.CREATED, created.revision), Compare("a", Field.MODIFIED, created.revision + 1))
    assert isinstance(await store.commit(Transaction(both, (Put("a", b"3"), Put("b", b"3")))), Refused)
    assert [entry.key for entry in (await done(store.read(""))).entries] == ["a"]
    await done(store.commit(Transaction(both[:1], (Put("a", b"4"), Put("b", b"4")))))
    entries = (await done(store.read(""))).entries
    assert {entry.modified for entry in entries} == {created.revision + 1}, "one revision for all changes"


async def bound_keys_are_deleted_with_their_lease(
    store: Store, wait: Callable[[float], Awaitable[None]]
) -> None:
    lease = (await done(store.grant(1.0))).lease
    await done(store.commit(put("bound", b"", lease)))
    await done(store.commit(put("free", b"")))
    await wait(0.6)
    assert (await done(store.renew(lease))).ttl_s == 1.0
    await wait(0.6)
    assert len((await done(store.read(""))).entries) == 2, "the lease was renewed"
    await wait(1.2)
    assert [entry.key for entry in (await done(store.read(""))).entries] == ["free"]
    renewed = await store.renew(lease)
    assert isinstance(renewed, Refused) and renewed.lease_gone
    bound_late = await store.commit(put("late", b"", lease))
    assert isinstance(bound_late, Refused) and bound_late.lease_gone, "no key binds to an ended lease"


async def key_put_without_its_lease_is_unbound(
    store: Store, wait: Callable[[float], Awaitable[None]]
) -> None:
    lease = (await done(store.grant(1.0))).lease
    await done(store.commit(put("a", b"", lease)))
    await done(store.commit(put("a", b"")))
    await done(store.revoke(lease))
    assert len((await done(store.read("a"))).entries) == 1


async def revoked_lease_deletes_its_keys_at_once(
    store: Store, wait: Callable[[float], Awaitable[None]]
) -> None:
    lease = (await done(store.grant(30.0))).lease
    token = (await done(store.commit(put("duty", b"me", lease, created=0)))).revision
    assert isinstance(await store.commit(put("duty", b"you", created=0)), Refused)
    await done(store.commit(fenced("duty", token, Put("state", b"1"))))
    await done(store.revoke(lease))
    assert isinstance(await store.commit(fenced("duty", token, Put("state", b"2"))), Refused)
    later = (await done(store.commit(put("duty", b"you", created=0)))).revision
    assert later > token
    assert isinstance(await store.commit(fenced("duty", token, Put("state", b"2"))), Refused), (
        "the old fencing token"
    )


async def watch_yields_all_changes_in_order_once(
    store: Store, wait: Callable[[float], Awaitable[None]]
) -> None:
    start = (await done(store.read(""))).revision
    seen: list[Change] = []

    async def follow() -> None:
        async for changes in store.watch("w/", start):
            seen.extend(changes)

    task = asyncio.ensure_future(follow())
    # Long enough that the lease ends after the commits below, on a busy machine too: it is the last change.
    lease = (await done(store.grant(4.0))).lease
    await done(store.commit(put("w/a", b"1", lease)))
    await done(store.commit(put("x/a", b"1")))
    await done(store.commit(Transaction((), (Put("w/b", b"1"), Put("w/c", b"1")))))
    await done(store.commit(Transaction((), (Delete("w/b"),))))
    # Upper bound of the wait for the expiry of the lease; on a busy machine the expiry may be late.
    for _ in range(100):
        if len(seen) >= 5:
            break
        await wait(0.1)
    await wait(0.5)  # a change that is yielded twice would arrive now
    task.cancel()
    assert [(change.key, change.entry is not None) for change in seen] == [
        ("w/a", True),
        ("w/b", True),
        ("w/c", True),
        ("w/b", False),
        ("w/a", False),
    ]
    assert [change.revision for change in seen] == sorted(change.revision for change in seen)
    assert seen[1].revision == seen[2].revision


async def watch_from_a_future_revision_is_lost(
    store: Store, wait: Callable[[float], Awaitable[None]]
) -> None:
    start = (await done(store.commit(put("a", b"1")))).revision
    try:
        async for _ in store.watch("", start + 100):
            raise AssertionError("the watch yielded a change")
    except WatchLostError:
        return
    raise AssertionError("the watch ended without WatchLostError")


async def one_of_many_concurrent_creations_succeeds(
    store: Store, wait: Callable[[float], Awaitable[None]]
) -> None:
    outcomes = await asyncio.gather(
        *(store.commit(put("duty", b"%d" % number, created=0)) for number in range(20))
    )
    assert sum(isinstance(outcome, Done) for outcome in outcomes) == 1


CASES: tuple[Case, ...] = (
    revisions_grow_and_are_stored_in_entries,
    transaction_that_changes_nothing_has_no_revision,
    several_transactions_are_carried_out_independently,
    reads_are_by_prefix_and_in_order,
    transaction_needs_all_its_compares,
    bound_keys_are_deleted_with_their_lease,
    key_put_without_its_lease_is_unbound,
    revoked_lease_deletes_its_keys_at_once,
    watch_yields_all_changes_in_order_once,
    watch_from_a_future_revision_is_lost,
    one_of_many_concurrent_creations_succeeds,
)
