"""An instance's part in a roll-out: determines its desired settings from the store.

The module is pure: it does no I/O, and uses no clock or random source of its own.
"""

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

    id: str  # settings id; empty for the settings of the instance's file
    text: str | None  # settings as JSON; None for the settings of the instance's file


class RolloutFollower:
    """Determines the settings that the instance must apply, and keeps the result."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._revision = 0  # revision of the key that was applied last; older revisions are ignored
        self.running = ""
        self.rejected = ""
        self.reject_reason = ""

    def next_settings(self, entries: Mapping[str, Entry]) -> DesiredSettings | None:
        """Return the settings to apply now; None if there is nothing to do."""
        desired = self._latest_desired(entries)
        settings_id = None if desired is None else decode_desired(desired.value)
        if desired is None or settings_id is None:
            return None
        text = None
        if settings_id:
            settings = entries.get(SETTINGS_PREFIX + settings_id)
            if settings is None:
                return None  # the text arrives with a later change
            text = settings.value.decode(errors="replace")
        self._revision = desired.modified
        return None if settings_id == self.running else DesiredSettings(settings_id, text)

    def _latest_desired(self, entries: Mapping[str, Entry]) -> Entry | None:
        """Return the latest key that applies to the instance, if the key is later than the last key used."""
        keys = (DESIRED_PREFIX + self._name, DESIRED_BY_DEFAULT_KEY)
        desired = [entries[key] for key in keys if key in entries]
        latest = max(desired, key=lambda entry: entry.modified, default=None)
        return latest if latest is not None and latest.modified > self._revision else None

    def record_applied(self, settings: str) -> None:
        """Record that these settings are in effect."""
        self.running = settings
        self.rejected = ""
        self.reject_reason = ""

    def record_rejected(self, settings: str, reason: str) -> None:
        """Record that these settings can't be used; the previous settings stay in effect."""
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
