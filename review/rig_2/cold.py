"""A server that may become cold, and falls over where it gets too much while it is."""

from __future__ import annotations

import asyncio
import time
from collections import deque

from rig_2.configuration import COLD_RATE_S, WARM_UP_S
from rig_2.deployment import COLD_OVERSHOOT, COLD_SLACK, Deployment
from rig_2.node import Arrival, Node
from rig_2.runner import Record

BERTHS, WORK_S = 64, 0.2
BOUND = COLD_RATE_S * COLD_OVERSHOOT + COLD_SLACK  # requests within a second
FALLS_OVER_AT = 25  # requests within a second: "falls over at well above" ColdRateS, and above the bound


class ColdReader(Node):
    """A server that counts the requests of each second in which it is cold."""

    def __init__(self, deployment: Deployment, number: int, zone: str, record: Record) -> None:
        super().__init__(deployment, number, zone, self.read, BERTHS)
        self.record = record
        self.most_while_cold = 0  # requests within a second
        self._cold_until_s = 0.0
        self._next_beat_at_s = 0.0
        self._recent: deque[float] = deque()  # arrivals of the last second
        self._has_fallen_over = False

    def become_cold(self, next_beat_after_s: float) -> None:
        """Be cold from now on; the beat that tells of it comes after that time."""
        self._cold_until_s = time.monotonic() + WARM_UP_S
        self._next_beat_at_s = time.monotonic() + next_beat_after_s

    async def become_cold_and_say_so(self) -> int:
        """Be cold from now on, and tell the coordinators at once; return the status."""
        self._cold_until_s = time.monotonic() + WARM_UP_S
        return await self._deployment.order("PUT", self.path, {}, self.heartbeat())

    def cold_left_ms(self) -> int:
        """Return how much longer the node is cold."""
        return round(1000 * max(0.0, self._cold_until_s - time.monotonic()))

    async def before_beat(self) -> None:
        """Wait for the time of a late beat."""
        await asyncio.sleep(max(0.0, self._next_beat_at_s - time.monotonic()))

    async def read(self, arrival: Arrival) -> None:
        """Serve a request."""
        if self.cold_left_ms():
            self._count(arrival)
        await asyncio.sleep(WORK_S)
        arrival.serve(b"reviewed\n")

    def _count(self, arrival: Arrival) -> None:
        now_s = time.monotonic()
        self._recent.append(now_s)
        while self._recent[0] <= now_s - 1.0:
            self._recent.popleft()
        count = len(self._recent)
        self.most_while_cold = max(self.most_while_cold, count)
        self.record.write(f"server: {arrival.attempt} arrives, cold; {count} within a second")
        if count >= FALLS_OVER_AT and not self._has_fallen_over:
            self._has_fallen_over = True
            self.record.write(f"server: falls over, and cuts {self.end()} requests")
