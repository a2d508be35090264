"""The clients' API for looking up proxies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from coveport.serving.coordinator.coordinator_liveness import CoordinatorLiveness
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.web.messages import ApiRequest, ApiResponse, json_response
from coveport.serving.web.router import route
from coveport.serving.wire.names import ERROR, Lookup, Path

MAX_ADDRESSES: Final = 64  # maximum number of addresses in a response
TTL_S: Final = 1.0  # short, so that clients stop calling a lost proxy soon
# Longer than TTL_S while each look-up costs the client a second at a lost coordinator (`coordinator_liveness`
# decides).
TTL_WHILE_DELAYED_S: Final = 4.0


class LookupApi:
    """Handlers of the clients' requests."""

    def __init__(
        self,
        leases: LeaseTable,
        liveness: CoordinatorLiveness,
        now_s: Callable[[], float],
        max_ttl_s: float,
    ) -> None:
        """Create handlers; `max_ttl_s`: the upper limit on the TTL of a response, in seconds."""
        self.max_ttl_s = max_ttl_s
        self._leases = leases
        self._liveness = liveness
        self._now_s = now_s

    @route("GET", Path.LOOKUP)
    async def lookup(self, request: ApiRequest) -> ApiResponse:
        """Return the ready proxies of the nearest group with ready proxies; 503 where no proxy is ready."""
        zone = request.query.get(Lookup.ZONE, "")
        region = request.query.get(Lookup.REGION, "")
        now_s = self._now_s()
        addresses = self._leases.addresses_for(zone, region, MAX_ADDRESSES, now_s)
        if not addresses:
            return json_response(503, {ERROR: "no proxy is ready"})
        is_delayed = self._liveness.is_lookup_delayed(zone, region, now_s)
        ttl_s = TTL_WHILE_DELAYED_S if is_delayed else TTL_S
        return json_response(200, {Lookup.ADDRESSES: addresses, Lookup.TTL_S: min(ttl_s, self.max_ttl_s)})
