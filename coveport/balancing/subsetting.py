"""Subsetting: the hosts that this balancer keeps to, chosen by random rank.

It guards against knowing nobody: a balancer of many that meets all hosts of its zone meets each too seldom to
tell a slow one, and connects anew each time. By ranks, few change when a host comes or goes.
"""

from __future__ import annotations

from coveport.balancing.balancer_state import BalancerState
from coveport.balancing.host import Host
from coveport.balancing.settings import Settings

MIN_SUBSET = 4
"""Hosts that a balancer keeps to at the least."""
BALANCERS_PER_HOST = 10
"""Balancers that keep to each host, where all are asked alike."""
FIRST_TRIES_PER_HOST = 6.0
"""First tries within the counted time for each host: a balancer that is asked much keeps to more."""
ARRIVALS_COUNTED_TARGETS = 4.0
"""Latency targets over which arrivals are counted, and after which subsets are chosen anew."""


def lowest_ranked(hosts: list[Host], most: int) -> list[Host]:
    """Return the `most` hosts of lowest rank, in that order; all of them, in their own, if no more."""
    return hosts if len(hosts) <= most else sorted(hosts, key=lambda host: host.rank)[:most]


class Subsetting(BalancerState):
    """Chooses the levels of hosts: a subset of the own zone, one of all zones, and all."""

    def _apply_settings(self, settings: Settings) -> None:
        super()._apply_settings(settings)
        self._choose_subsets()

    def _choose_subsets(self) -> None:
        """Choose the levels."""
        self.ready_hosts = [host for host in self.hosts.values() if host.ready]
        shared = round(BALANCERS_PER_HOST * len(self.ready_hosts) / self.settings.peers_total)
        most = max(MIN_SUBSET, shared, int(self.arrivals / FIRST_TRIES_PER_HOST))
        self.resubset_at = self.now + ARRIVALS_COUNTED_TARGETS * self.latency_target
        self.local = lowest_ranked(
            [host for host in self.ready_hosts if host.zone == self.settings.zone], most
        )
        self.wide = lowest_ranked(self.ready_hosts, 2 * most)
