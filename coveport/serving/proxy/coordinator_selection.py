"""Selects the coordinator that a proxy polls: the nearest live one, or another while that one fails.

A near coordinator answers sooner, and its answers cost fewer bytes between zones and regions. The localities
of the coordinators are unknown until one of them has sent the list of all live ones.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from coveport.serving.wire.messages import CoordinatorEndpoint

# Time after a failure of a coordinator in which more distant coordinators are preferred.
FAILURE_BACKOFF_S = 4.0

SAME_ZONE, SAME_REGION, OTHER_REGION, UNKNOWN_LOCALITY = range(4)  # distances, nearest first


@dataclass(slots=True)
class CoordinatorSelector:
    """The coordinators that one proxy can poll, with their localities and recent failures."""

    zone: str
    region: str
    seeds: tuple[str, ...]  # addresses between the system's processes, in the order of the first polls
    _live_endpoints: dict[str, CoordinatorEndpoint] = field(default_factory=dict)  # by address
    _failed_at_s: dict[str, float] = field(default_factory=dict)  # time of the last failure, by address

    def update_endpoints(self, endpoints: Iterable[CoordinatorEndpoint]) -> None:
        """Replace the list of live coordinators."""
        self._live_endpoints = {endpoint.address: endpoint for endpoint in endpoints}

    def record_failure(self, address: str, now_s: float) -> None:
        """Record that a coordinator did not answer, or has no quorum."""
        self._failed_at_s[address] = now_s

    def by_preference(self, now_s: float) -> list[str]:
        """Return the addresses of all known coordinators in the order of preference."""
        addresses = dict.fromkeys([*self._live_endpoints, *self.seeds])
        return sorted(addresses, key=lambda address: self._rank(address, now_s))

    def nearer_than(self, address: str, now_s: float) -> str | None:
        """Return a live coordinator nearer than `address` that did not fail recently, or None."""
        for candidate in self.by_preference(now_s):
            if candidate == address:
                return None
            if candidate in self._live_endpoints and not self._is_backing_off(candidate, now_s):
                return candidate if self._distance(candidate) < self._distance(address) else None
        return None

    def _rank(self, address: str, now_s: float) -> tuple[float, int]:
        if self._is_backing_off(address, now_s):
            return self._failed_at_s[address], self._distance(address)
        return -inf, self._distance(address)

    def _is_backing_off(self, address: str, now_s: float) -> bool:
        return now_s - self._failed_at_s.get(address, -inf) < FAILURE_BACKOFF_S

    def _distance(self, address: str) -> int:
        endpoint = self._live_endpoints.get(address)
        if endpoint is None:
            return UNKNOWN_LOCALITY
        if endpoint.zone == self.zone:
            return SAME_ZONE
        return SAME_REGION if endpoint.region == self.region else OTHER_REGION
