"""Load shedding: this balancer's share of the requests in flight at the hosts.

Without load shedding, each balancer would send each host as many requests as its limit allows; the backlog
of all balancers would slow the host down and make its answers late.
"""

from __future__ import annotations

from math import inf

from coveport.balancing.balancer_state import BalancerState
from coveport.balancing.subsetting import ARRIVALS_COUNTED_TARGETS

IN_FLIGHT_TARGETS = 0.3
"""Fraction of a latency target whose arrivals may be in flight while requests are queued (Little's law)."""


class LoadShedding(BalancerState):
    """The limit on requests in flight above which further requests stay queued."""

    def _is_saturated(self) -> bool:
        """Return whether enough requests are in flight while latency is high.

        Attempts that are lost, overdue or at ejected hosts take no capacity and do not count.
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
