"""Keeps the count of schedules that ran on one source, over many runs.

A record is a JSON file: which seeds ran, their sums, and a digest of the source. A run on another source
begins anew; a run on the same one goes on with the seeds behind those that ran.
"""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

import coveport.serving

SOURCE = Path(coveport.serving.__file__).parent
JUDGED = ("replication", "configuration", "model")  # what the schedules run


def source_digest() -> str:
    """Return a digest of the source files that the schedules run."""
    digest = hashlib.blake2b(digest_size=16)
    for package in JUDGED:
        for path in sorted((SOURCE / package).rglob("*.py")):
            digest.update(path.relative_to(SOURCE).as_posix().encode())
            digest.update(path.read_bytes())
    return digest.hexdigest()


@dataclass(slots=True)
class ScheduleRecord:
    """What has run so far."""

    source: str
    next_seed: int = 0
    schedules: int = 0
    acknowledged: int = 0  # changes
    faulty_seeds: list[int] = field(default_factory=list)
    situations: dict[str, int] = field(default_factory=dict)

    def add(
        self, first: int, count: int, acknowledged: int, faulty_seeds: list[int], found: Counter[str]
    ) -> None:
        """Add a run of the seeds from `first` on."""
        self.next_seed = first + count
        self.schedules += count
        self.acknowledged += acknowledged
        self.faulty_seeds += faulty_seeds
        self.situations = dict(sorted((Counter(self.situations) + found).items()))

    def save(self, path: Path) -> None:
        """Write the record, in place of the one before."""
        path.write_text(json.dumps(asdict(self), indent=2) + "\n", encoding="utf-8")


def load(path: Path) -> ScheduleRecord:
    """Return the record in a file; an empty one without a file or for another source."""
    source = source_digest()
    if path.exists():
        record = ScheduleRecord(**json.loads(path.read_text(encoding="utf-8")))
        if record.source == source:
            return record
    return ScheduleRecord(source)
