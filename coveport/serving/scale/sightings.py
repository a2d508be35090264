"""Collects which observer reported which change, and when."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.serving.scale.worker_messages import Message

POLL_S = 0.02


class Sightings:
    """Observations of hollow proxies and nodes, by kind and subject."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._seen: dict[tuple[str, str], dict[str, float]] = {}

    def add(self, message: Message) -> None:
        """Add an observation; the first one of each observer counts."""
        seen = self._seen.setdefault((message["saw"], message["what"]), {})
        seen.setdefault(message.get("by", ""), message["at"])

    def of(self, kind: str, what: str) -> dict[str, float]:
        """Return the times of an observation, by observer."""
        return self._seen.get((kind, what), {})

    async def wait_for(self, kind: str, what: str, observers: int, within_s: float) -> dict[str, float]:
        """Wait for so many observers, at most `within_s`; return the times by observer."""
        until_s = self._now_s() + within_s
        while True:
            if len(self.of(kind, what)) >= observers or self._now_s() >= until_s:
                break
            await asyncio.sleep(POLL_S)
        return dict(self.of(kind, what))
