"""Tracks lost coordinators, and which clients' look-ups they delay. Does no I/O.

Clients look up proxies at the nearest coordinators first, and wait for a second at each that does not
respond. A client whose nearest coordinator is lost waits that second at every look-up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from coveport.serving.wire.messages import CoordinatorEndpoint

# Distances between a client and a coordinator.
SAME_ZONE: Final = 0
SAME_REGION: Final = 1
OTHER_REGION: Final = 2
RESTART_ALLOWANCE_S: Final = 1.0  # a coordinator that was live less than this ago may be restarting
FORGET_AFTER_S: Final = 60.0  # by then clients too have probably dropped a lost coordinator


@dataclass(slots=True)
class CoordinatorLiveness:
    """The coordinators that are or were live, by inner address, and when each was last live."""

    own: CoordinatorEndpoint
    _endpoints: dict[str, CoordinatorEndpoint] = field(default_factory=dict)
    _last_live_s: dict[str, float] = field(default_factory=dict)

    def record_live(self, endpoints: Iterable[CoordinatorEndpoint], now_s: float) -> None:
        """Record the coordinators that are live now, and forget those that were lost long ago."""
        for endpoint in endpoints:
            self._endpoints[endpoint.address] = endpoint
            self._last_live_s[endpoint.address] = now_s
        expired = [
            address for address, live_s in self._last_live_s.items() if now_s - live_s > FORGET_AFTER_S
        ]
        for address in expired:
            del self._endpoints[address]
            del self._last_live_s[address]

    def is_lookup_delayed(self, zone: str, region: str, now_s: float) -> bool:
        """Return whether a client that calls here has probably timed out at a lost coordinator first.

        `zone` and `region` are those of the client.
        """
        own_distance = self._distance(self.own, zone, region)
        lost = (endpoint for address, endpoint in self._endpoints.items() if self._is_lost(address, now_s))
        return any(self._distance(endpoint, zone, region) <= own_distance for endpoint in lost)

    def _is_lost(self, address: str, now_s: float) -> bool:
        return now_s - self._last_live_s[address] > RESTART_ALLOWANCE_S

    @staticmethod
    def _distance(endpoint: CoordinatorEndpoint, zone: str, region: str) -> int:
        if endpoint.zone == zone:
            return SAME_ZONE
        return SAME_REGION if endpoint.region == region else OTHER_REGION
