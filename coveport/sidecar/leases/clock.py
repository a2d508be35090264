"""Clock that keeps counting during suspend and never steps, and the id of the boot that it counts from."""

from __future__ import annotations

import time
from pathlib import Path

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


def boot_s() -> float:
    """Return the seconds since boot, suspend included; falls back to the monotonic clock."""
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


def boot_id() -> str:
    """Return the id of the boot that `boot_s` counts from; empty if the system does not provide one."""
    try:
        return BOOT_ID_FILE.read_text(encoding="ascii").strip()
    except OSError:
        return ""
