"""The registry of counters and gauges of one sidecar.

The admin address, SIGUSR1 and the exit read it. A counter only grows, from 0 at the start of the process,
and is never removed; a gauge is computed when it is read.
"""

from __future__ import annotations

import json
from collections.abc import Callable

RESULTS = ("completed", "rejected", "failed")  # how an operation ends: served, refused, failed
# Reported to operators, beside how the operations of each class ended.
REPORTED = (
    "upstream_requests",
    "pending",
    "members",
    "members_unavailable",
    "config_reloads",
    "config_reload_errors",
)
PREFIX = "edge_lb"


def result_counter(cls: str, result: str) -> str:
    """Return the name of the counter of operations of a class that ended so (one of `RESULTS`)."""
    return f"downstream_requests.{cls}.{result}"


class Counters:
    """Named counters and gauges."""

    def __init__(self) -> None:
        self._figures: dict[str, int] = {}
        self._gauges: dict[str, Callable[[], int]] = {}
        self._classes: dict[str, None] = {}
        for name in REPORTED:
            self._figures[name] = 0

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self._figures[name] = self._figures.get(name, 0) + amount

    def get(self, name: str) -> int:
        """Return a counter or gauge; 0 where nothing was counted."""
        gauge = self._gauges.get(name)
        return gauge() if gauge is not None else self._figures.get(name, 0)

    def gauge(self, name: str, ask: Callable[[], int]) -> None:
        """Register a gauge, computed by `ask` whenever it is read."""
        self._figures.pop(name, None)
        self._gauges[name] = ask

    def register_class(self, cls: str) -> None:
        """Report a class from now on; it stays when the class is removed."""
        self._classes[cls] = None

    def report_lines(self) -> list[str]:
        """Return the counters and gauges for operators, a line each."""
        names = [result_counter(cls, result) for cls in self._classes for result in RESULTS]
        return [f"{PREFIX}.{name}={self.get(name)}" for name in [*names, *REPORTED]]

    def line(self, **gauges: object) -> str:
        """Return all counters and gauges as one line of JSON, after those given."""
        asked = {name: ask() for name, ask in self._gauges.items()}
        return json.dumps({**gauges, **dict(sorted((self._figures | asked).items()))})
