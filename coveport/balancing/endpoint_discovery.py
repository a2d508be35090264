"""Endpoint discovery: the hosts that there are, and when to ask for them."""

from __future__ import annotations

from math import inf

from coveport.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from coveport.balancing.host import Host
from coveport.balancing.subsetting import Subsetting

MAX_ASK_WAIT_MS = 4000.0
"""Asked again later, what discovery has since the last call could come after 6 s."""


class EndpointDiscovery(Subsetting):
    """Keeps the hosts as discovery reports them."""

    def _update_endpoints(self, event: EndpointUpdate) -> None:
        """Apply an update, and plan when to ask again."""
        if event.kind is EndpointUpdateKind.FAILED:
            self._subscribe_after_failure()
            return
        if event.kind is not EndpointUpdateKind.CACHED:
            self.subscribe_failures = 0
            self.subscribe_at = inf
        elif self.settings.must_ask and event.entries:
            # All that were started together have a list to begin with, and would ask at the same moment.
            self._subscribe_at(self.now + self.random.uniform(0, self.rules.ask_within_ms / 16))
        if event.kind is not EndpointUpdateKind.DELTA:
            for gone in self.hosts.keys() - {entry.host for entry in event.entries}:
                self.hosts.pop(gone).ready = False
        for entry in event.entries:
            self._apply_entry(entry)
        self._choose_subsets()

    def _apply_entry(self, entry: Endpoint) -> None:
        host = self.hosts.get(entry.host)
        if host is not None and (entry.state is not EndpointState.READY or entry.started_ms > host.started):
            host.ready = False  # draining applies from the moment of notification
            if entry.state is not EndpointState.DRAINING:
                del self.hosts[entry.host]  # gone, or a new process, of which nothing is known
        if entry.state is EndpointState.READY:
            self.hosts.setdefault(entry.host, Host(entry, self.random.random())).ready = True

    def _subscribe_after_failure(self) -> None:
        """Plan the next call with backoff and jitter: discovery is one small service for all."""
        if self.settings.must_ask:
            self.subscribe_failures += 1
            wait = self.rules.ask_within_ms / 8 * 2 ** min(self.subscribe_failures - 1, 2)
            most = MAX_ASK_WAIT_MS * self.random.uniform(0.75, 1)
            self._subscribe_at(self.now + min(wait * self.random.uniform(0.5, 1.5), most))

    def _subscribe_at(self, at: float) -> None:
        self.subscribe_at = at
        self._set_timer(at)
