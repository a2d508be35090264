"""The registry of counters and gauges of one sidecar.

The registry is read for the admin address, on SIGUSR1 and at exit. A counter starts at 0 with the process,
only grows and is never removed; a gauge is computed when the gauge is read.
"""

from __future__ import annotations

import json
from collections.abc import Callable

RESULTS = ("completed", "rejected", "failed")  # results of an operation
# Counters and gauges that are reported to operators, in addition to the results of each class' operations.
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
    """Return the name of the counter of a class' operations with a result (one of `RESULTS`)."""
    return f"downstream_requests.{cls}.{result}"


class Counters:
    """Named counters and gauges."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, Callable[[], int]] = {}
        self._classes: dict[str, None] = {}
        for name in REPORTED:
            self._counts[name] = 0

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def get(self, name: str) -> int:
        """Return the value of a counter or gauge; 0 if there is no such counter or gauge."""
        gauge = self._gauges.get(name)
        return gauge() if gauge is not None else self._counts.get(name, 0)

    def gauge(self, name: str, read: Callable[[], int]) -> None:
        """Register a gauge, computed by `read` whenever it is reported."""
        self._counts.pop(name, None)
        self._gauges[name] = read

    def register_class(self, cls: str) -> None:
        """Report a class from now on, even after the class is removed from the settings."""
        self._classes[cls] = None

    def report_lines(self) -> list[str]:
        """Return the counters and gauges for operators, one per line."""
        names = [result_counter(cls, result) for cls in self._classes for result in RESULTS]
        return [f"{PREFIX}.{name}={self.get(name)}" for name in [*names, *REPORTED]]

    def line(self, **gauges: object) -> str:
        """Return `gauges` and then all counters and registered gauges as one line of JSON."""
        gauge_values = {name: read() for name, read in self._gauges.items()}
        return json.dumps({**gauges, **dict(sorted((self._counts | gauge_values).items()))})
