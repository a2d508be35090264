"""The one registry of figures: what was taken in, sent and answered, and what holds right now.

The console, SIGUSR1 and the exit all read it. A counter only grows, from 0 at the start of the process,
and is never taken away; a gauge is asked when somebody reads it.
"""

from __future__ import annotations

import json
from collections.abc import Callable

ENDS = ("completed", "rejected", "failed")  # how an operation ends: served, refused, failed
# What staff are told, beside how the operations of each class ended.
TOLD = (
    "upstream_requests",
    "pending",
    "members",
    "members_unavailable",
    "config_reloads",
    "config_reload_errors",
)
PREFIX = "edge_lb"


def ended(cls: str, how: str) -> str:
    """The name of the counter of operations of a class that ended so."""
    return f"downstream_requests.{cls}.{how}"


class Counters:
    """Named figures."""

    def __init__(self) -> None:
        self._figures: dict[str, int] = {}
        self._gauges: dict[str, Callable[[], int]] = {}
        self._classes: dict[str, None] = {}
        for name in TOLD:
            self._figures[name] = 0

    def add(self, name: str, amount: int = 1) -> None:
        """Count something."""
        self._figures[name] = self._figures.get(name, 0) + amount

    def get(self, name: str) -> int:
        """One figure; 0 where nothing was counted."""
        gauge = self._gauges.get(name)
        return gauge() if gauge is not None else self._figures.get(name, 0)

    def gauge(self, name: str, ask: Callable[[], int]) -> None:
        """A figure that is asked of somebody whenever it is read."""
        self._figures.pop(name, None)
        self._gauges[name] = ask

    def name_class(self, cls: str) -> None:
        """Tell of a class from here on, from where its counts stand; it stays when the class goes."""
        self._classes[cls] = None

    def told(self) -> list[str]:
        """The figures that staff are told, a line each."""
        names = [ended(cls, how) for cls in self._classes for how in ENDS]
        return [f"{PREFIX}.{name}={self.get(name)}" for name in [*names, *TOLD]]

    def line(self, **gauges: object) -> str:
        """All figures as one line of JSON, with what else holds right now."""
        asked = {name: ask() for name, ask in self._gauges.items()}
        return json.dumps({**gauges, **dict(sorted((self._figures | asked).items()))})
