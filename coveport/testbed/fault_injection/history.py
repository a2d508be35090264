"""What instances believed and did, as they wrote it down themselves.

A record is one event of one instance. `at` is the time that all records share (the boot clock on real
ground, the world's on simulated ground); `clock` is the instance's own, which may run fast or slow.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Record:
    """One event."""

    at: float
    instance: str
    incarnation: str
    event: str
    clock: float
    fields: dict[str, object] = field(default_factory=dict)

    def text(self, name: str) -> str:
        """A field as text; empty where there is none."""
        return str(self.fields.get(name, ""))

    def number(self, name: str) -> int:
        """A field as a whole number; 0 where there is none."""
        value = self.fields.get(name, 0)
        return int(value) if isinstance(value, int | float) else 0

    def seconds(self, name: str) -> float:
        """A field as seconds; 0 where there is none."""
        value = self.fields.get(name, 0.0)
        return float(value) if isinstance(value, int | float) else 0.0


class Histories:
    """All records of a trial, in the order of their time."""

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self.records: list[Record] = sorted(records, key=lambda one: one.at)

    def add(self, record: Record) -> None:
        """Write one down."""
        self.records.append(record)

    def of(self, *events: str) -> Iterator[Record]:
        """Those of some events."""
        return (one for one in self.records if one.event in events)


OWN = ("at", "instance", "incarnation", "event", "clock")


def read_lines(paths: Iterable[Path]) -> Histories:
    """From the files in which real instances left theirs; a last line cut off by a kill is left out."""
    records = []
    for path in paths:
        for line in path.read_bytes().splitlines():
            try:
                told = json.loads(line)
                records.append(
                    Record(
                        float(told["at"]),
                        str(told["instance"]),
                        str(told["incarnation"]),
                        str(told["event"]),
                        float(told.get("clock", told["at"])),
                        {key: value for key, value in told.items() if key not in OWN},
                    )
                )
            except (ValueError, KeyError, TypeError):
                continue
    return Histories(records)
