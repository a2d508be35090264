"""Endpoint discovery: the known hosts, and when to subscribe to updates."""

from __future__ import annotations

from math import inf

from coveport.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from coveport.balancing.host import Host
from coveport.balancing.subsetting import Subsetting

MAX_SUBSCRIBE_BACKOFF_MS = 4000.0
"""With a longer backoff a change since the last call could reach the balancer after more than 6 s."""


class EndpointDiscovery(Subsetting):
    """The hosts, as discovery reports them."""

    def _update_endpoints(self, event: EndpointUpdate) -> None:
        """Apply an endpoint update, and schedule the next subscription."""
        if event.kind is EndpointUpdateKind.FAILED:
            self._subscribe_after_failure()
            return
        if event.kind is not EndpointUpdateKind.CACHED:
            self.subscribe_failures = 0
            self.subscribe_at = inf
        elif self.settings.must_ask and event.entries:
            # Balancers that start together all have a cached list, and would otherwise subscribe at the same
            # moment.
            self._schedule_subscribe(self.now + self.random.uniform(0, self.rules.ask_within_ms / 16))
        if event.kind is not EndpointUpdateKind.DELTA:
            for removed in self.hosts.keys() - {entry.host for entry in event.entries}:
                self.hosts.pop(removed).ready = False
        for entry in event.entries:
            self._apply_entry(entry)
        self._choose_subsets()

    def _apply_entry(self, entry: Endpoint) -> None:
        host = self.hosts.get(entry.host)
        if host is not None and (entry.state is not EndpointState.READY or entry.started_ms > host.started):
            host.ready = False  # draining takes effect as soon as discovery reports it
            if entry.state is not EndpointState.DRAINING:
                del self.hosts[entry.host]  # the host was removed, or is a new process without history
        if entry.state is EndpointState.READY:
            self.hosts.setdefault(entry.host, Host(entry, self.random.random())).ready = True

    def _subscribe_after_failure(self) -> None:
        """Schedule the next call with backoff and jitter: all balancers share one small discovery service."""
        if self.settings.must_ask:
            self.subscribe_failures += 1
            backoff = self.rules.ask_within_ms / 8 * 2 ** min(self.subscribe_failures - 1, 2)
            longest = MAX_SUBSCRIBE_BACKOFF_MS * self.random.uniform(0.75, 1)
            self._schedule_subscribe(self.now + min(backoff * self.random.uniform(0.5, 1.5), longest))

    def _schedule_subscribe(self, at: float) -> None:
        self.subscribe_at = at
        self._set_timer(at)
