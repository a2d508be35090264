"""Slow start: the limit on requests to a host that has just started."""

from __future__ import annotations

from coveport.balancing.balancer_state import BalancerState
from coveport.balancing.host import Host
from coveport.balancing.request_state import RequestState

SLOW_START_BUDGET_FRACTION = 0.25
"""Fraction of the budget that is used: a zone may be offered three times its full capacity."""


class SlowStart(BalancerState):
    """The limit on requests to hosts that are warming up."""

    def _slow_start_allows(self, host: Host, request: RequestState, drawn_first: bool) -> bool:
        """Return whether a host is warm, or may get this request while it warms up.

        The request's random number decides, since an even split is less than one request per balancer.
        `drawn_first`: whether the host is among the first drawn for the request.
        """
        age = self.now - host.slow_start_at
        if age >= self.rules.warm_after_ms or (host.granted > 0 and self.now < host.grant_until):
            return True
        budget = SLOW_START_BUDGET_FRACTION * self.rules.overload_factor * self.rules.capacity_fraction(age)
        # When other hosts fail, retries and later draws would otherwise all go to the hosts warming up.
        return request.slow_start_draw < budget and drawn_first and not request.attempts and not host.pending
