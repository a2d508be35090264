"""Subsetting: the hosts that this balancer uses, chosen by random rank.

In a large fleet of balancers, a balancer that used all hosts of its zone would use each host too seldom to
recognize a slow host or to keep a connection open. Ranks keep the subset nearly unchanged when a host is
added or removed.
"""

from __future__ import annotations

from coveport.balancing.balancer_state import BalancerState
from coveport.balancing.host import Host
from coveport.balancing.settings import Settings

MIN_SUBSET = 4
"""Smallest number of hosts in a subset."""
BALANCERS_PER_HOST = 10
"""Balancers that have a host in their subset, if all balancers get the same load."""
FIRST_TRIES_PER_HOST = 6.0
"""First tries within the counted time per host of the subset, which grows with the load."""
ARRIVALS_COUNTED_TARGETS = 4.0
"""Latency targets over which arrivals are counted, and after which the subsets are chosen anew."""


def lowest_ranked(hosts: list[Host], limit: int) -> list[Host]:
    """Return the `limit` hosts of lowest rank, ordered by rank; `hosts` unchanged if there are no more."""
    return hosts if len(hosts) <= limit else sorted(hosts, key=lambda host: host.rank)[:limit]


class Subsetting(BalancerState):
    """The levels of hosts: a subset of the own zone, a subset of all zones, and all ready hosts."""

    def _apply_settings(self, settings: Settings) -> None:
        super()._apply_settings(settings)
        self._choose_subsets()

    def _choose_subsets(self) -> None:
        """Choose the hosts of the levels."""
        self.ready_hosts = [host for host in self.hosts.values() if host.ready]
        even_size = round(BALANCERS_PER_HOST * len(self.ready_hosts) / self.settings.peers_total)
        size = max(MIN_SUBSET, even_size, int(self.arrivals / FIRST_TRIES_PER_HOST))
        self.resubset_at = self.now + ARRIVALS_COUNTED_TARGETS * self.latency_target
        self.local = lowest_ranked(
            [host for host in self.ready_hosts if host.zone == self.settings.zone], size
        )
        self.wide = lowest_ranked(self.ready_hosts, 2 * size)
