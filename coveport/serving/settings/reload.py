"""SIGHUP: reads and checks the settings file again, and logs what the next start will change.

Addresses, localities and bounds hold until the next start: nothing that is being served is touched. A file
that can't be used changes nothing; its findings are logged.
"""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from coveport.serving.model.findings import Refusal
from coveport.serving.settings.boot import BootSettings
from coveport.serving.settings.reader import read_boot_settings


def changed_fields(running: BootSettings, candidate: BootSettings) -> tuple[str, ...]:
    """Return the names of the settings that differ."""
    names = (field.name for field in fields(running))
    return tuple(name for name in names if getattr(running, name) != getattr(candidate, name))


def reload_settings(path: str, running: BootSettings, log: Any) -> None:
    """Read the file again, and log what differs from the running settings or why it can't be used."""
    candidate = read_boot_settings(path)
    if isinstance(candidate, Refusal):
        log.error("settings_rejected", findings=[str(finding) for finding in candidate.findings])
        return
    log.info("settings_changed", at_next_start=list(changed_fields(running, candidate)))
