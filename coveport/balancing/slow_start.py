"""Slow start: how many requests a host gets that has just started."""

from __future__ import annotations

from coveport.balancing.balancer_state import BalancerState
from coveport.balancing.host import Host
from coveport.balancing.request_state import RequestState

SLOW_START_BUDGET_FRACTION = 0.25
"""Part of a warming host's budget that is used: a zone can be asked for three times its all."""


class SlowStart(BalancerState):
    """Limits what goes to hosts that warm up."""

    def _slow_start_allows(self, host: Host, request: RequestState, first: bool) -> bool:
        """Return whether a host is warm, or may get this request while it warms up.

        That is by chance, since an even split is under one request a balancer. `first`: the host is among the
        first that were drawn for the request.
        """
        age = self.now - host.slow_start_at
        if age >= self.rules.warm_after_ms or (host.granted > 0 and self.now < host.grant_until):
            return True
        budget = SLOW_START_BUDGET_FRACTION * self.rules.overload_factor * self.rules.capacity_fraction(age)
        # Where other hosts fail, all that looks further or is tried again would gather at the cold ones.
        return request.slow_start_draw < budget and first and not request.attempts and not host.pending
