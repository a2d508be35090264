"""Host selection: the power of two choices, in the nearest level that holds a usable host."""

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

FAST_TARGETS = 0.15
"""Part of a target: as much again may be in flight at a host that is expected to answer so soon."""
MAX_DRAWS = 6
"""Draws to find two usable hosts before a level is looked through."""


class HostSelection(Subsetting, OutlierEjection, SlowStart, RetryPolicy, LoadShedding):
    """Chooses the host of an attempt.

    `_is_usable` runs for each host drawn, several times a request, so it and `_draw` stay whole: parted
    further, their calls would cost more than what they do.
    """

    def _pick(self, request: RequestState) -> Host | None:
        """Return a host of the nearest level with a usable one; None where the request has to wait."""
        if self.queue.count and self._is_saturated():
            return None
        levels = self.local, self.wide, self.ready_hosts
        # The levels behind which no further one is tried, where they hold a host that is not ejected.
        stops = levels if self.effective_now < request.any_zone_at else levels[1:]
        for level in levels:
            host = self._draw(level, request) if level is self.local or len(level) > len(self.local) else None
            if host or level is first_usable_level(stops, lambda host: host.readmit_at == inf):
                return host
        # Every host looks bad: a fault of this balancer's own view is likelier (Envoy's panic threshold).
        for host in self.ready_hosts:
            host.readmit_at = inf
        return self._draw(self.local or self.ready_hosts, request)

    def _draw(self, level: list[Host], request: RequestState) -> Host | None:
        """Return the less busy of two usable hosts drawn from a level; None where none is usable."""
        tried = [attempt.host for attempt in request.attempts]
        found = list[Host]()
        for draw in range(min(MAX_DRAWS, len(level))):
            host = level[int(self.random.random() * len(level))]
            if host not in found and host not in tried and self._is_usable(host, request, draw < 2):
                found.append(host)
                if len(found) == 2:
                    break
        else:
            usable = [host for host in level if self._is_usable(host, request, False)]
            found = [host for host in usable if host not in tried] or usable or found
        loads = {host: len(host.pending) for host in found}
        # Two were found in random order: ties fall at random.
        return less_busy_of_two(found, loads, self.random if len(found) > 2 else None) if found else None

    def _is_usable(self, host: Host, request: RequestState, first: bool) -> bool:
        """Return whether a host may get a request now; an ejected one that is due gets its health check."""
        if host.readmit_at < inf:
            if self.now < host.readmit_at or host.pending:
                return False
            if self.limits.probes:
                # Drawn and due: no more health checks than requests, however many hosts are ejected.
                self._eject(host)
                self.actions.append(HealthCheck(host.id))
            if self.limits.probes or (request.cls.effect is Effect.UNSAFE and self.has_repeatable_class):
                return False
        expected = self._expected_latency(host)
        # Where answers come this fast, what is in flight is on its way rather than waiting there.
        most = self.max_in_flight * (2 if expected < self.latency_target * FAST_TARGETS else 1)
        return (
            host.backoff_until <= self.now
            and (len(host.pending) < most or host.has_capacity(most))
            and self._slow_start_allows(host, request, first)
            and expected <= self._latency_limit(request.cls.aim_ms)
            and self._is_allowed(request, host)
        )

    def _expected_latency(self, host: Host) -> float:
        """Return the latency to expect there, in ms, by this balancer's answers and what is in flight."""
        in_flight = [attempt for attempt in host.pending.values() if not attempt.lost]
        if not in_flight:
            forgotten_after = host.mean_latency * max(1.0, self.settings.peers_total / 5)
            if self.now - host.last_sample_at > forgotten_after:
                return 0.0  # nothing is known any more: one request may find out, of few balancers at a time
        oldest = in_flight[0].sent_at if in_flight else self.now
        # An answer that is late is evidence before any time-out.
        return max(host.mean_latency * (len(in_flight) + 1), self.now - oldest)

    def _any_capacity(self) -> bool:
        """Return whether any host may have capacity; if not, drawing for each queue is of no use."""
        patience = self._latency_limit(self.longest_target)
        # Where all are ejected, each is given a chance.
        return all(host.readmit_at < inf for host in self.ready_hosts) or any(
            self.now >= host.readmit_at and not host.pending
            if host.readmit_at < inf
            else host.backoff_until <= self.now
            and host.has_capacity(2 * self.max_in_flight)
            and self._expected_latency(host) <= patience
            for host in self.ready_hosts
        )
