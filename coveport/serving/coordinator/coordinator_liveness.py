"""Which coordinators were lost lately, and whether a client probably called one of them in vain. Pure.

Clients look up proxies at the nearest coordinators first and wait for a second at each that says nothing. A
client whose nearest is lost pays that second at every look-up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from coveport.serving.wire.messages import CoordinatorEndpoint

FARTHEST = 2  # the distance of another region; 1: the same region, 0: the same zone
NOTED_S = 1.0  # who was alive so lately may be back at once: its process was killed, or stopped in turn
REMEMBERED_S = 60.0  # one that is gone for longer is probably not in the clients' list any more


@dataclass(slots=True)
class LostCoordinators:
    """Places by inner address, and when each was last alive."""

    own: CoordinatorEndpoint
    _places: dict[str, CoordinatorEndpoint] = field(default_factory=dict)
    _alive_at_s: dict[str, float] = field(default_factory=dict)

    def note_alive(self, places: Iterable[CoordinatorEndpoint], now_s: float) -> None:
        """These are alive now."""
        for place in places:
            self._places[place.address] = place
            self._alive_at_s[place.address] = now_s
        for address in [name for name, at_s in self._alive_at_s.items() if now_s - at_s > REMEMBERED_S]:
            del self._places[address], self._alive_at_s[address]

    def were_called_in_vain(self, zone: str, region: str, now_s: float) -> bool:
        """Whether a client there that calls us has probably called a lost one before."""
        ours = self._distance(self.own, zone, region)
        lost = (place for address, place in self._places.items() if self._is_lost(address, now_s))
        return any(self._distance(place, zone, region) <= ours for place in lost)

    def _is_lost(self, address: str, now_s: float) -> bool:
        return now_s - self._alive_at_s[address] > NOTED_S

    @staticmethod
    def _distance(place: CoordinatorEndpoint, zone: str, region: str) -> int:
        if place.zone == zone:
            return 0
        return 1 if place.region == region else FARTHEST
