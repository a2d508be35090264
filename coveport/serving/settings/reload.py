"""SIGHUP: the settings file has changed. It is read and checked again; what differs is told.

Addresses, places and bounds hold for a process' life: they take effect at its next start, and nothing that is
being served is touched. A file that can't be used changes nothing and is told with its findings.
"""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from coveport.serving.model.findings import Refusal
from coveport.serving.settings.boot import BootSettings
from coveport.serving.settings.reader import read_boot_settings


def changed_fields(before: BootSettings, after: BootSettings) -> tuple[str, ...]:
    """Names of the settings that differ."""
    return tuple(
        field.name for field in fields(before) if getattr(before, field.name) != getattr(after, field.name)
    )


def reload_settings(path: str, running: BootSettings, log: Any) -> None:
    """Read the file again and say what the next start will change."""
    after = read_boot_settings(path)
    if isinstance(after, Refusal):
        log.error("settings_rejected", findings=[str(finding) for finding in after.findings])
        return
    log.info("settings_changed", at_next_start=list(changed_fields(running, after)))
