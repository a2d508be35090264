"""Records the schedules that were run on one version of the source, over many runs.

A record is a JSON file with the seeds, their totals, and a digest of the source. A run on the same source
continues with the seeds after the recorded ones; a run on another source starts an empty record.
"""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

import coveport.serving

SOURCE = Path(coveport.serving.__file__).parent
TESTED_PACKAGES = ("replication", "configuration", "model")  # the code that the schedules run


def source_digest() -> str:
    """Return a digest of the source files that the schedules run."""
    digest = hashlib.blake2b(digest_size=16)
    for package in TESTED_PACKAGES:
        for path in sorted((SOURCE / package).rglob("*.py")):
            digest.update(path.relative_to(SOURCE).as_posix().encode())
            digest.update(path.read_bytes())
    return digest.hexdigest()


@dataclass(slots=True)
class ScheduleRecord:
    """The totals of all schedules so far."""

    source: str  # digest of the source
    next_seed: int = 0
    schedules: int = 0
    acknowledged: int = 0  # changes
    faulty_seeds: list[int] = field(default_factory=list)
    situations: dict[str, int] = field(default_factory=dict)

    def add(
        self, first: int, count: int, acknowledged: int, faulty_seeds: list[int], situations: Counter[str]
    ) -> None:
        """Add the results of `count` schedules with seeds from `first` on."""
        self.next_seed = first + count
        self.schedules += count
        self.acknowledged += acknowledged
        self.faulty_seeds += faulty_seeds
        self.situations = dict(sorted((Counter(self.situations) + situations).items()))

    def save(self, path: Path) -> None:
        """Write the record to a file, and replace the previous one."""
        path.write_text(json.dumps(asdict(self), indent=2) + "\n", encoding="utf-8")


def load(path: Path) -> ScheduleRecord:
    """Return the record in a file, or an empty record if the file is absent or for another source."""
    source = source_digest()
    if path.exists():
        record = ScheduleRecord(**json.loads(path.read_text(encoding="utf-8")))
        if record.source == source:
            return record
    return ScheduleRecord(source)
