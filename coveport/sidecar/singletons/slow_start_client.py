"""An instance's part in slow start: its capacity requests, and the grants that it may use.

The module is pure: it does no I/O, and uses no clock or random source of its own.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

import msgspec

from coveport.sidecar.leases.store import Entry
from coveport.sidecar.singletons.slow_start_messages import (
    GRANT_LIFETIME_S,
    CapacityGrant,
    CapacityRequest,
)

REQUEST_INTERVAL_S = GRANT_LIFETIME_S / 2  # a new grant arrives before the last grant expires


@dataclass(frozen=True, slots=True)
class UsableGrant:
    """Number of operations by node that may be sent until `expires_at`, in s of the instance's clock."""

    expires_at: float
    operations: Mapping[str, int]


class CapacityClient:
    """Requests capacity of warming nodes, and accepts each grant once."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._accepted_steps: dict[str, int] = {}  # by zone: step of the last accepted grant
        self._requested_at = -inf
        self._requested_nodes = 0  # number of nodes in the last request

    def request(
        self, now: float, rate_per_s: float, service_s: float, nodes: Mapping[str, tuple[int, float]]
    ) -> bytes | None:
        """Return the request to publish now; None if nothing is needed or the last request is recent.

        `nodes`: zone and age in s of each warming node, by name.
        """
        if not nodes or rate_per_s <= 0:
            return None
        if now - self._requested_at < REQUEST_INTERVAL_S and len(nodes) <= self._requested_nodes:
            return None
        self._requested_at = now
        self._requested_nodes = len(nodes)
        return msgspec.json.encode(
            CapacityRequest(self._incarnation, now, round(rate_per_s, 2), service_s, dict(nodes))
        )

    def accept(self, now: float, zone: str, entry: Entry | None) -> UsableGrant | None:
        """Return the usable part of a grant; None if it can't be used."""
        if entry is None:
            return None
        try:
            grant = msgspec.json.decode(entry.value, type=CapacityGrant)
        except msgspec.DecodeError:
            return None
        # A grant is accepted once, and only by the process that requested the grant, because an earlier
        # process of the same name may have used the grant.
        if grant.incarnation != self._incarnation or grant.step <= self._accepted_steps.get(zone, 0):
            return None
        self._accepted_steps[zone] = grant.step
        expires_at = grant.requested_at + GRANT_LIFETIME_S
        return UsableGrant(expires_at, grant.operations) if now < expires_at else None
