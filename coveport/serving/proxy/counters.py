"""Counts the events of the data path since its start, for the log."""

from __future__ import annotations


class Counters:
    """Event counts by name."""

    def __init__(self) -> None:
        self.counts: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Count one event."""
        self.counts[name] = self.counts.get(name, 0) + 1
