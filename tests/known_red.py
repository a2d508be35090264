"""KNOWN-RED.txt at the root: tests that fail for a real fault that is not mended yet.

One line each, `TEST | CAUSE | ISSUE`, where TEST is pytest's id. They are run and named at the end, and don't
fail the run. The file may be absent.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FIELDS = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test on the list."""

    test: str
    cause: str
    issue: str

    @property
    def reason(self) -> str:
        """As it is printed."""
        return f"{self.cause} ({self.issue})"


def read_known_red(path: Path) -> dict[str, KnownRed]:
    """The list by test; ValueError for a line that lacks its cause or its issue."""
    if not path.exists():
        return {}
    listed = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"{path.name}:{number}: must read TEST | CAUSE | ISSUE")
        listed[fields[0]] = KnownRed(*fields)
    return listed
