"""Selects the coordinator that a proxy asks: the nearest live one, others while that one fails. Pure.

Near ones cost fewer bytes between zones and regions and answer sooner; which ones are near is known only once
a coordinator has named all live ones.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from coveport.serving.wire.messages import CoordinatorEndpoint

FAILURE_BACKOFF_S = 4.0  # in which a failed one is passed over for one further away; not measured

SAME_ZONE, SAME_REGION, OTHER_REGION, UNKNOWN_LOCALITY = range(4)  # distances


@dataclass(slots=True)
class CoordinatorSelector:
    """What one proxy knows of coordinators."""

    zone: str
    region: str
    seeds: tuple[str, ...]  # inner addresses, in the order to begin with
    _live: dict[str, CoordinatorEndpoint] = field(default_factory=dict)  # by address
    _failed_at_s: dict[str, float] = field(default_factory=dict)

    def update_endpoints(self, endpoints: Iterable[CoordinatorEndpoint]) -> None:
        """Replace the list of live coordinators."""
        self._live = {endpoint.address: endpoint for endpoint in endpoints}

    def record_failure(self, address: str, now_s: float) -> None:
        """Record that a coordinator did not answer, or has no quorum."""
        self._failed_at_s[address] = now_s

    def by_preference(self, now_s: float) -> list[str]:
        """Return all known coordinators, the one to ask first in front."""
        known = dict.fromkeys([*self._live, *self.seeds])
        return sorted(known, key=lambda address: self._rank(address, now_s))

    def nearer_than(self, address: str, now_s: float) -> str | None:
        """Return a nearer coordinator that is live and did not fail recently, if there is one."""
        for candidate in self.by_preference(now_s):
            if candidate == address:
                return None
            if candidate in self._live and not self._is_backing_off(candidate, now_s):
                return candidate if self._distance(candidate) < self._distance(address) else None
        return None

    def _rank(self, address: str, now_s: float) -> tuple[float, int]:
        if self._is_backing_off(address, now_s):
            return self._failed_at_s[address], self._distance(address)
        return -inf, self._distance(address)

    def _is_backing_off(self, address: str, now_s: float) -> bool:
        return now_s - self._failed_at_s.get(address, -inf) < FAILURE_BACKOFF_S

    def _distance(self, address: str) -> int:
        endpoint = self._live.get(address)
        if endpoint is None:
            return UNKNOWN_LOCALITY
        if endpoint.zone == self.zone:
            return SAME_ZONE
        return SAME_REGION if endpoint.region == self.region else OTHER_REGION
