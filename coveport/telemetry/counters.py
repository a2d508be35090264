"""What the program took in, sent and answered: printed at exit and on SIGUSR1."""

from __future__ import annotations

import json


class Counters:
    """Named figures that only grow."""

    def __init__(self) -> None:
        self._figures: dict[str, int] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Count something."""
        self._figures[name] = self._figures.get(name, 0) + amount

    def get(self, name: str) -> int:
        """One figure; 0 where nothing was counted."""
        return self._figures.get(name, 0)

    def line(self, **gauges: object) -> str:
        """All figures as one line of JSON, with what else holds right now."""
        return json.dumps({**gauges, **dict(sorted(self._figures.items()))})
