"""Time that runs through sleep and never steps, and which boot it belongs to."""

from __future__ import annotations

import time
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def boot_s() -> float:
    """Seconds since the machine was started, sleep included; the monotonic clock where there is none."""
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


def boot_id() -> str:
    """Which boot `boot_s` counts from; empty where the system does not tell."""
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except OSError:
        return ""
