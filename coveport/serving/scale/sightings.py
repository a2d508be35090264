"""Collects the times at which observers reported changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.serving.scale.worker_messages import Message

POLL_INTERVAL_S = 0.02


class Observations:
    """Times of observations by hollow proxies and nodes, by kind and subject."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._times: dict[tuple[str, str], dict[str, float]] = {}

    def add(self, message: Message) -> None:
        """Add an observation; only the first of each observer counts."""
        times = self._times.setdefault((message["saw"], message["what"]), {})
        times.setdefault(message.get("by", ""), message["at"])

    def times_of(self, kind: str, subject: str) -> dict[str, float]:
        """Return the times of an observation, by observer."""
        return self._times.get((kind, subject), {})

    async def wait_for(self, kind: str, subject: str, observers: int, within_s: float) -> dict[str, float]:
        """Wait until so many observers reported, at most `within_s`; return the times by observer."""
        deadline_s = self._now_s() + within_s
        while True:
            if len(self.times_of(kind, subject)) >= observers or self._now_s() >= deadline_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return dict(self.times_of(kind, subject))
