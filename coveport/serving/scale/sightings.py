"""Who saw what when: lines of the hollow workers, gathered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.serving.scale.worker_lines import Line

LOOK_S = 0.02


class Sightings:
    """What proxies saw, by kind and what it was."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._seen: dict[tuple[str, str], dict[str, float]] = {}

    def take(self, line: Line) -> None:
        """A worker's line; the first time of each observer counts."""
        seen = self._seen.setdefault((line["saw"], line["what"]), {})
        seen.setdefault(line.get("by", ""), line["at"])

    def of(self, kind: str, what: str) -> dict[str, float]:
        """When it was seen, by observer."""
        return self._seen.get((kind, what), {})

    async def wait_for(self, kind: str, what: str, observers: int, within_s: float) -> dict[str, float]:
        """Wait until so many saw it, or the time is over; who did by then."""
        until_s = self._now_s() + within_s
        while len(self.of(kind, what)) < observers and self._now_s() < until_s:
            await asyncio.sleep(LOOK_S)
        return dict(self.of(kind, what))
