"""View of the store's keys: replacement, single changes, and outdated revisions."""

from __future__ import annotations

from coveport.sidecar.leases.store import Change, Entry
from coveport.sidecar.leases.store_view import KeyChange, StoreView

PREFIX = "coveport/"


def entry(key: str, revision: int, value: bytes = b"") -> Entry:
    return Entry(key, value, revision, revision)


def test_replace_returns_deleted_keys_first_and_then_changed_ones() -> None:
    view = StoreView(PREFIX)
    assert view.replace([entry("a", 1), entry("b", 2)], 2) == [
        KeyChange("a", entry("a", 1)),
        KeyChange("b", entry("b", 2)),
    ]
    assert view.replace([entry("b", 2), entry("c", 3)], 4) == [
        KeyChange("a", None),
        KeyChange("c", entry("c", 3)),
    ]
    assert set(view.entries) == {"b", "c"} and view.revision == 4


def test_replace_at_an_older_revision_is_ignored() -> None:
    view = StoreView(PREFIX)
    view.replace([entry("a", 5)], 5)
    assert view.replace([], 4) is None
    assert set(view.entries) == {"a"} and view.revision == 5


def test_change_is_applied_without_the_prefix() -> None:
    view = StoreView(PREFIX)
    put = Change(3, "coveport/a", entry("coveport/a", 3, b"1"))
    assert view.apply(put) == KeyChange("a", entry("a", 3, b"1"))
    assert view.entries == {"a": entry("a", 3, b"1")}
    assert view.apply(Change(4, "coveport/a", None)) == KeyChange("a", None)
    assert view.entries == {} and view.revision == 4


def test_change_of_an_older_revision_is_ignored() -> None:
    view = StoreView(PREFIX)
    view.replace([entry("a", 5)], 5)
    assert view.apply(Change(4, "coveport/a", None)) is None
    assert set(view.entries) == {"a"}


def test_instances_are_those_registered_by_name() -> None:
    view = StoreView(PREFIX)
    view.replace([entry("instance/s0", 1, b"{}"), entry("duty/drill", 2, b"s0#1 0")], 2)
    assert view.instances == {"s0": b"{}"}
