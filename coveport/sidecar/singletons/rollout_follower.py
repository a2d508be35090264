"""Each instance's part in a roll-out: which settings it is to run, by what stands in the store. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from coveport.sidecar.leases.store import Entry
from coveport.sidecar.singletons.rollout_plan import (
    DESIRED_BY_DEFAULT_KEY,
    DESIRED_PREFIX,
    SETTINGS_PREFIX,
    InstanceStatus,
    decode_desired,
)


@dataclass(frozen=True, slots=True)
class DesiredSettings:
    """Settings that an instance is to apply."""

    id: str  # empty for those of its own file
    text: str | None  # JSON; None for those of its own file


class RolloutFollower:
    """Tells which settings the instance is to apply, and keeps what came of it."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._revision = 0  # of the key that was followed last: an older one is never followed
        self.running = ""
        self.rejected = ""
        self.reject_reason = ""

    def next_settings(self, entries: Mapping[str, Entry]) -> DesiredSettings | None:
        """Return the settings to apply now; None if there is nothing to do."""
        keys = (DESIRED_PREFIX + self._name, DESIRED_BY_DEFAULT_KEY)
        desired = [entries[key] for key in keys if key in entries]
        if not desired:
            return None
        latest = max(desired, key=lambda entry: entry.modified)
        if latest.modified <= self._revision:
            return None
        wanted = decode_desired(latest.value)
        if wanted is None:
            return None
        if not wanted:
            self._revision = latest.modified
            return DesiredSettings("", None) if self.running else None
        settings = entries.get(SETTINGS_PREFIX + wanted)
        if settings is None:
            return None  # its text comes with a later change
        self._revision = latest.modified
        if wanted == self.running:
            return None
        return DesiredSettings(wanted, settings.value.decode(errors="replace"))

    def record_applied(self, settings: str) -> None:
        """Note that these settings are in force."""
        self.running = settings
        self.rejected = ""
        self.reject_reason = ""

    def record_rejected(self, settings: str, reason: str) -> None:
        """Note that these settings can't be used; those that ran before stay in force."""
        self.rejected = settings
        self.reject_reason = reason

    def status(self, incarnation: str, success_ratio: float, operations: int) -> bytes:
        """Return the status to publish under the instance's name."""
        return msgspec.json.encode(
            InstanceStatus(
                incarnation,
                self.running,
                self.rejected,
                self.reject_reason,
                round(success_ratio, 4),
                operations,
            )
        )
