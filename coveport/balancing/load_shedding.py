"""Load shedding: this balancer's share of what may wait at the hosts.

It guards against balancers that fill each host as far as they may: what all of them have waiting there makes
it slower, and is late.
"""

from __future__ import annotations

from math import inf

from coveport.balancing.balancer_state import BalancerState
from coveport.balancing.subsetting import ARRIVALS_COUNTED_TARGETS

IN_FLIGHT_TARGETS = 0.3
"""While requests are queued, no more are in flight than come in this part of a target (Little's law)."""


class LoadShedding(BalancerState):
    """Keeps requests queued here while enough are in flight."""

    def _is_saturated(self) -> bool:
        """Return whether enough is in flight, while latency is high.

        Attempts that are lost, or in flight at ejected hosts, hold up nobody and do not count.
        """
        allowance = max(1.0, self.arrivals * IN_FLIGHT_TARGETS / ARRIVALS_COUNTED_TARGETS)
        return (
            len(self.in_flight) >= allowance
            and self.recent_latency >= self.congested_latency
            and allowance
            <= sum(
                attempt.host.readmit_at == inf
                and not attempt.lost
                and self.now - attempt.sent_at < self.latency_target
                for attempt in self.in_flight.values()
            )
        )
