"""What the measurements share: the machine in general terms, tables in Markdown, children with a limit."""

from __future__ import annotations

import os
import platform
import subprocess
import sys
import timeit
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import TypeVar

import msgspec

ROOT = Path(__file__).resolve().parents[1]
"""The repository's root."""

T = TypeVar("T")


def machine() -> str:
    """Today and the machine in general terms: cores, interpreter, the load on it, and how fast it is now.

    The last is the quickest of five runs of a loop of a million turns: other work on the same cores slows it,
    and all figures beside it, alike.
    """
    turn_ms = 1000 * min(timeit.repeat("for _ in range(1_000_000): pass", number=1, repeat=5))
    loads = "/".join(f"{one:.1f}" for one in os.getloadavg())
    return (
        f"{datetime.now(UTC):%Y-%m-%d}, {os.cpu_count()} cores ({platform.machine()}), "
        f"{platform.system()}, {platform.python_implementation()} {platform.python_version()}, "
        f"load before {loads}, a million empty turns in {turn_ms:.0f} ms"
    )


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """A Markdown table; the first column stands left, all others right."""
    widths = [max(len(row[at]) for row in (head, *rows)) for at in range(len(head))]

    def line(row: Sequence[str]) -> str:
        cells = [
            cell.ljust(width) if not at else cell.rjust(width)
            for at, (cell, width) in enumerate(zip(row, widths, strict=True))
        ]
        return f"| {' | '.join(cells)} |"

    rule = ["-" * width if not at else "-" * (width - 1) + ":" for at, width in enumerate(widths)]
    return "\n".join((line(head), line(rule), *map(line, rows)))


def child(module: str, arguments: Sequence[str], limit_s: float, kind: type[T]) -> T | str:
    """What a fresh process of a module prints as JSON, or one line on why there is nothing.

    The process is ended when it takes longer than `limit_s` seconds.
    """
    command = [sys.executable, "-m", module, *arguments]
    try:
        done = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=limit_s, check=False)
    except subprocess.TimeoutExpired:
        return f"took longer than {limit_s:g} s"
    if done.returncode:
        said = done.stderr.decode(errors="replace").strip().splitlines()
        return f"ended with code {done.returncode}: {said[-1] if said else 'it said nothing'}"
    return msgspec.json.decode(done.stdout, type=kind)


def spread(figures: Sequence[float], digits: int = 3) -> str:
    """The mean, and from the lowest to the highest."""
    if not figures:
        return "-"
    mean = sum(figures) / len(figures)
    return f"{mean:.{digits}f} ({min(figures):.{digits}f} to {max(figures):.{digits}f})"
