"""Copy of the store's keys under a prefix, kept up to date by reads and a watch.

The module is pure: it does no I/O, and uses no clock or random source of its own.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.store import Change, Entry


@dataclass(frozen=True, slots=True)
class KeyChange:
    """A key that changed; `entry` is None if the key was deleted."""

    key: str
    entry: Entry | None


class StoreView:
    """The entries under `prefix`, by their keys without the prefix."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self.entries: dict[str, Entry] = {}
        self.revision = 0  # store revision of the entries

    def without_prefix(self, entry: Entry) -> Entry:
        """Return an entry with the prefix removed from its key."""
        key = entry.key.removeprefix(self._prefix)
        return Entry(key, entry.value, entry.created, entry.modified, entry.lease)

    def replace(self, entries: Iterable[Entry], revision: int) -> list[KeyChange] | None:
        """Replace all entries by the entries of a revision (keys without the prefix).

        Return the changes; None if a later revision is known.
        """
        if revision < self.revision:
            return None
        before = self.entries
        self.entries = {entry.key: entry for entry in entries}
        self.revision = revision
        changes = [KeyChange(key, None) for key in before if key not in self.entries]
        changes += [KeyChange(key, entry) for key, entry in self.entries.items() if before.get(key) != entry]
        return changes

    def apply(self, change: Change) -> KeyChange | None:
        """Apply a change from the watch and return it; None if a later revision is known."""
        if change.revision < self.revision:
            return None
        self.revision = change.revision
        key = change.key.removeprefix(self._prefix)
        if change.entry is None:
            self.entries.pop(key, None)
            return KeyChange(key, None)
        entry = self.without_prefix(change.entry)
        self.entries[key] = entry
        return KeyChange(key, entry)

    @property
    def instances(self) -> Mapping[str, bytes]:
        """The status of each registered instance, by name."""
        return {
            key.removeprefix(INSTANCE_PREFIX): entry.value
            for key, entry in self.entries.items()
            if key.startswith(INSTANCE_PREFIX)
        }
