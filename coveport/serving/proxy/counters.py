"""Counts of what the data path did since it started, for the log."""

from __future__ import annotations


class Counters:
    """Event counts by name."""

    def __init__(self) -> None:
        self.counts: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Count one event."""
        self.counts[name] = self.counts.get(name, 0) + 1
