"""Memory and descriptors of a process, read from /proc, and their bounds."""

from __future__ import annotations

import os
import re
from pathlib import Path

from small_deployment import LoweredLimits

from coveport.serving.simulation.local_processes import LocalProcess

_PEAK = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)


def peak_memory_bytes(pid: int) -> int:
    """Return the highest resident memory since the start of the process."""
    found = _PEAK.search(Path(f"/proc/{pid}/status").read_text(encoding="ascii"))
    assert found is not None
    return int(found[1]) * 1024


def open_descriptors(pid: int) -> int:
    """Return the number of open files and sockets."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def check_bounds(processes: tuple[LocalProcess, ...], limits: LoweredLimits) -> None:
    """Check that the processes live, and that memory and descriptors stay within the limits."""
    for process in processes:
        assert process.pid is not None, f"{process.name} has ended: {process.last_lines()}"
        peak_bytes = peak_memory_bytes(process.pid)
        assert peak_bytes <= limits.memory_bytes, f"{process.name}: {peak_bytes / 1e6:.0f} MB"
        assert open_descriptors(process.pid) <= limits.process.descriptors, process.name
