"""Reloads the settings file at a SIGHUP, and applies the changes that a role can apply while it runs.

Changes of other settings take effect at the next start. An invalid file changes nothing.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass, fields, is_dataclass, replace
from typing import Any, Protocol

from coveport.serving.model.findings import Refusal
from coveport.serving.settings.boot import BootSettings
from coveport.serving.settings.reader import read_boot_settings


class ReloadingRole(Protocol):
    """A role that can apply changes of some settings while it runs."""

    reloadable: frozenset[str]  # names of the settings that can change, as in `changed_settings`

    def apply_settings(self, settings: BootSettings) -> None:
        """Apply the values of the reloadable settings in `settings`."""


def changed_settings(running: BootSettings, candidate: BootSettings) -> tuple[str, ...]:
    """Return the names of the settings that differ; a field of a table is named as in `bounds.grace_s`."""
    return tuple(_changed(running, candidate, ""))


def _changed(running: Any, candidate: Any, prefix: str) -> Iterator[str]:
    for field in fields(running):
        before = getattr(running, field.name)
        after = getattr(candidate, field.name)
        if is_dataclass(before) and is_dataclass(after):
            yield from _changed(before, after, f"{field.name}.")
        elif before != after:
            yield prefix + field.name


def with_changes(running: BootSettings, candidate: BootSettings, names: Collection[str]) -> BootSettings:
    """Return the running settings, with the candidate's values for the settings in `names`."""
    values: dict[str, Any] = {}
    for name in names:
        table, _, key = name.rpartition(".")
        if table:
            before = values.get(table, getattr(running, table))
            values[table] = replace(before, **{key: getattr(getattr(candidate, table), key)})
        else:
            values[name] = getattr(candidate, name)
    return replace(running, **values)


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """The names of the settings that a reload has found changed."""

    applied: tuple[str, ...]  # changes that are in effect now
    at_next_start: tuple[str, ...]  # changes that take effect at the next start


@dataclass(slots=True)
class SettingsReloader:
    """Owns the settings that are in effect."""

    path: str
    running: BootSettings
    role: ReloadingRole

    def reload(self) -> SettingsChange | Refusal:
        """Read the file again and apply reloadable changes; return a refusal where the file is invalid."""
        candidate = read_boot_settings(self.path)
        if isinstance(candidate, Refusal):
            return candidate
        changed = changed_settings(self.running, candidate)
        applied = tuple(name for name in changed if name in self.role.reloadable)
        if applied:
            self.running = with_changes(self.running, candidate, applied)
            self.role.apply_settings(self.running)
        return SettingsChange(applied, tuple(name for name in changed if name not in applied))
