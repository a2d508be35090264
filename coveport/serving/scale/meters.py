"""Processor time and memory of processes, read from /proc (Linux)."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_TIME_INDEX, _SYSTEM_TIME_INDEX = 11, 12  # indices of fields in /proc/PID/stat after the process name


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time since the start, and resident memory now."""

    cpu_s: float
    resident_mb: float


def read_usage(pid: int) -> Usage | None:
    """Return the usage of a process; None if it has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii", errors="replace")
        pages = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]
    except (OSError, IndexError):
        return None
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_INDEX]) + int(fields[_SYSTEM_TIME_INDEX])
    return Usage(ticks / _TICKS_PER_S, int(pages) * _PAGE_BYTES / 1e6)


def machine_load() -> float:
    """Return the load average of the last minute, divided by the number of processors."""
    return os.getloadavg()[0] / (os.cpu_count() or 1)


def machine_memory_mb() -> float:
    """Return the memory of this machine, in MB."""
    return os.sysconf("SC_PHYS_PAGES") * _PAGE_BYTES / 1e6
