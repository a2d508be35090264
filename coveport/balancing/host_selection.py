"""Host selection: the power of two choices, in the nearest level with a usable host."""

from __future__ import annotations

from math import inf

from coveport.balancing.actions import HealthCheck
from coveport.balancing.host import Host
from coveport.balancing.load_shedding import LoadShedding
from coveport.balancing.locality import first_usable_level, less_busy_of_two
from coveport.balancing.outlier_ejection import OutlierEjection
from coveport.balancing.request_state import RequestState
from coveport.balancing.retry_policy import RetryPolicy
from coveport.balancing.settings import Effect
from coveport.balancing.slow_start import SlowStart
from coveport.balancing.subsetting import Subsetting

FAST_LATENCY_SHARE = 0.15
"""Fraction of the latency target: a host expected to answer sooner may have twice as many in flight."""
MAX_DRAWS = 6
"""Draws to find two usable hosts before all hosts of the level are examined."""


class HostSelection(Subsetting, OutlierEjection, SlowStart, RetryPolicy, LoadShedding):
    """The choice of the host of an attempt.

    `_is_usable` runs for each host drawn, several times a request. It and `_draw` are not split further, as
    the calls would cost more than the work in them.
    """

    def _pick(self, request: RequestState) -> Host | None:
        """Return a host of the nearest level with a usable host; None if the request has to wait."""
        if self.queue.count and self._is_saturated():
            return None
        levels = self.local, self.wide, self.ready_hosts
        # Levels at which the search ends if a host there is not ejected.
        final_levels = levels if self.effective_now < request.any_zone_at else levels[1:]
        for level in levels:
            host = self._draw(level, request) if level is self.local or len(level) > len(self.local) else None
            if host or level is first_usable_level(final_levels, lambda host: host.readmit_at == inf):
                return host
        # All hosts are ejected: a fault in this balancer's view is likelier than a fault of all hosts (as in
        # Envoy's panic threshold).
        for host in self.ready_hosts:
            host.readmit_at = inf
        return self._draw(self.local or self.ready_hosts, request)

    def _draw(self, level: list[Host], request: RequestState) -> Host | None:
        """Return the less busy of two usable hosts drawn from a level; None if no host is usable."""
        tried = [attempt.host for attempt in request.attempts]
        hosts = list[Host]()
        for draw in range(min(MAX_DRAWS, len(level))):
            host = level[int(self.random.random() * len(level))]
            if host not in hosts and host not in tried and self._is_usable(host, request, draw < 2):
                hosts.append(host)
                if len(hosts) == 2:
                    break
        else:
            usable = [host for host in level if self._is_usable(host, request, False)]
            hosts = [host for host in usable if host not in tried] or usable or hosts
        loads = {host: len(host.pending) for host in hosts}
        # Two drawn hosts are in random order, so ties are broken at random.
        return less_busy_of_two(hosts, loads, self.random if len(hosts) > 2 else None) if hosts else None

    def _is_usable(self, host: Host, request: RequestState, drawn_first: bool) -> bool:
        """Return whether a host may get a request now; health-check a host whose ejection is over."""
        if host.readmit_at < inf:
            if self.now < host.readmit_at or host.pending:
                return False
            if self.limits.probes:
                # Only drawn hosts are checked, so there are no more checks than requests, however many hosts
                # are ejected.
                self._eject(host)
                self.actions.append(HealthCheck(host.id))
            if self.limits.probes or (request.cls.effect is Effect.UNSAFE and self.has_repeatable_class):
                return False
        expected = self._expected_latency(host)
        # With answers this fast, requests in flight are on the network rather than queued at the host.
        limit = self.max_in_flight * (2 if expected < self.latency_target * FAST_LATENCY_SHARE else 1)
        return (
            host.backoff_until <= self.now
            and (len(host.pending) < limit or host.has_capacity(limit))
            and self._slow_start_allows(host, request, drawn_first)
            and expected <= self._latency_limit(request.cls.aim_ms)
            and self._is_allowed(request, host)
        )

    def _expected_latency(self, host: Host) -> float:
        """Return the expected latency of a host, in ms, from its answers and the requests in flight."""
        in_flight = [attempt for attempt in host.pending.values() if not attempt.lost]
        if not in_flight:
            stale_after = host.mean_latency * max(1.0, self.settings.peers_total / 5)
            if self.now - host.last_sample_at > stale_after:
                # The estimate is stale: one request, of few balancers at a time, may renew the estimate.
                return 0.0
        oldest = in_flight[0].sent_at if in_flight else self.now
        # A late answer is evidence even before its time-out.
        return max(host.mean_latency * (len(in_flight) + 1), self.now - oldest)

    def _any_capacity(self) -> bool:
        """Return whether any host may have capacity; if not, no host needs to be drawn for any queue."""
        latency_limit = self._latency_limit(self.longest_target)
        # If all hosts are ejected, `_pick` readmits them.
        return all(host.readmit_at < inf for host in self.ready_hosts) or any(
            self.now >= host.readmit_at and not host.pending
            if host.readmit_at < inf
            else host.backoff_until <= self.now
            and host.has_capacity(2 * self.max_in_flight)
            and self._expected_latency(host) <= latency_limit
            for host in self.ready_hosts
        )
