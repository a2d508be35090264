"""What clients call before anything else: where to go."""

from __future__ import annotations

from collections.abc import Callable

from coveport.serving.coordinator.coordinator_liveness import LostCoordinators
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.web.messages import ApiRequest, ApiResponse, json_response
from coveport.serving.web.router import route
from coveport.serving.wire.names import ERROR, Lookup, Path

ADDRESSES_MOST = 64
TTL_S = 1.0  # short: a proxy that was lost is not to be called for long
TTL_WHILE_LOST_S = 4.0  # ... but each look-up costs a client a second while a coordinator near it is lost


class LookupApi:
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

    @route("GET", Path.LOOKUP)
    async def lookup(self, call: ApiRequest) -> ApiResponse:
        """Proxies that are ready, of the nearest group that has any."""
        zone, region = call.query.get(Lookup.ZONE, ""), call.query.get(Lookup.REGION, "")
        addresses = self._leases.addresses_for(zone, region, ADDRESSES_MOST, self._now_s())
        if not addresses:
            return json_response(503, {ERROR: "no proxy is ready"})
        is_dear = self._lost.were_called_in_vain(zone, region, self._now_s())
        ttl_s = TTL_WHILE_LOST_S if is_dear else self._ttl_s
        return json_response(200, {Lookup.ADDRESSES: addresses, Lookup.TTL_S: ttl_s})
