"""What clients call before anything else: where to go."""

from __future__ import annotations

from collections.abc import Callable

from coveport.serving.coordinator.lost_coordinators import LostCoordinators
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.web.calls import Call, Reply, answers, json_reply
from coveport.serving.wire.names import ERROR, Lookup, Path

ADDRESSES_MOST = 64
TTL_S = 1.0  # short: a proxy that was lost is not to be called for long
TTL_WHILE_LOST_S = 4.0  # ... but each look-up costs a client a second while a coordinator near it is lost


class LookupCalls:
    """Handlers of the clients' calls."""

    def __init__(
        self,
        leases: LeaseTable,
        lost: LostCoordinators,
        now_s: Callable[[], float],
        ttl_s: float = TTL_S,
    ) -> None:
        self._leases = leases
        self._lost = lost
        self._now_s = now_s
        self._ttl_s = ttl_s

    @answers("GET", Path.LOOKUP)
    async def lookup(self, call: Call) -> Reply:
        """Proxies that are ready, of the nearest group that has any."""
        zone, region = call.query.get(Lookup.ZONE, ""), call.query.get(Lookup.REGION, "")
        addresses = self._leases.addresses_for(zone, region, ADDRESSES_MOST, self._now_s())
        if not addresses:
            return json_reply(503, {ERROR: "no proxy is ready"})
        is_dear = self._lost.were_called_in_vain(zone, region, self._now_s())
        ttl_s = TTL_WHILE_LOST_S if is_dear else self._ttl_s
        return json_reply(200, {Lookup.ADDRESSES: addresses, Lookup.TTL_S: ttl_s})
