"""Which coordinator a proxy asks: the nearest that is alive, others while that one fails. Pure.

Near ones cost less bytes between zones and regions and answer sooner; which ones are near is known only
once a first coordinator has told where they all stand.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from coveport.serving.wire.messages import CoordinatorEndpoint

AVOID_S = 4.0  # how long one that failed is passed over for ones further away


@dataclass(slots=True)
class CoordinatorChoice:
    """What one proxy knows of coordinators."""

    zone: str
    region: str
    seeds: tuple[str, ...]  # inner addresses, in the order to begin with
    _places: dict[str, CoordinatorEndpoint] = field(default_factory=dict)  # those told alive, by address
    _failed_at_s: dict[str, float] = field(default_factory=dict)

    def learned(self, places: Iterable[CoordinatorEndpoint]) -> None:
        """A coordinator told who is alive."""
        self._places = {place.address: place for place in places}

    def failed(self, address: str, now_s: float) -> None:
        """One did not answer, or has lost touch with the core."""
        self._failed_at_s[address] = now_s

    def order(self, now_s: float) -> list[str]:
        """All that are known, the one to ask first in front."""
        known = dict.fromkeys([*self._places, *self.seeds])
        return sorted(known, key=lambda address: self._rank(address, now_s))

    def better_than(self, address: str, now_s: float) -> str | None:
        """A nearer one that is told to be alive and did not fail lately."""
        for other in self.order(now_s):
            if other == address:
                return None
            if other in self._places and not self._is_avoided(other, now_s):
                return other if self._distance(other) < self._distance(address) else None
        return None

    def _rank(self, address: str, now_s: float) -> tuple[float, int]:
        if self._is_avoided(address, now_s):
            return self._failed_at_s[address], self._distance(address)
        return -inf, self._distance(address)

    def _is_avoided(self, address: str, now_s: float) -> bool:
        return now_s - self._failed_at_s.get(address, -inf) < AVOID_S

    def _distance(self, address: str) -> int:
        place = self._places.get(address)
        if place is None:
            return 3
        if place.zone == self.zone:
            return 0
        return 1 if place.region == self.region else 2
