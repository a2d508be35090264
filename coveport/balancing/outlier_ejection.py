"""Outlier ejection: hosts that fail or do not respond get no requests until they are tried again.

See Envoy's outlier detection: consecutive failures eject, and each further ejection lasts longer.
"""

from __future__ import annotations

from math import inf

from coveport.balancing.balancer_state import BalancerState
from coveport.balancing.events import Outcome
from coveport.balancing.host import Attempt, Host

FIRST_EJECTION_TARGETS = 0.5
"""Mean length of a first ejection, in latency targets."""
MAX_DOUBLINGS = 5
"""Largest number of times that the length of an ejection is doubled."""
FAILURES_TO_EJECT = 2
"""Errors or resets in a row that eject a host."""
LATENCY_WEIGHT = 0.25
"""Weight of the newest answer in a host's average latency; a balancer sees few answers of a host."""


class OutlierEjection(BalancerState):
    """The health of hosts, as judged from the outcomes of attempts and health checks."""

    def _record_outcome(self, host: Host, outcome: Outcome, latency: float, attempt: Attempt | None) -> None:
        """Record an outcome at a host; `attempt` is None for a health check."""
        if outcome is Outcome.OK:
            self._record_success(host)
        elif outcome is Outcome.FULL:  # the host is alive: no ejection, only a pause of about one answer
            host.last_response_at = self.now
            host.backoff_until = self.now + max(host.mean_latency, self.service_time)
        elif outcome in (Outcome.ERROR, Outcome.RESET):
            # Any host may send one error or reset; a dead host refuses the next connection.
            host.consecutive_failures += 1
            if host.consecutive_failures >= FAILURES_TO_EJECT or host.readmit_at < inf:
                self._eject(host, unresponsive=False)
        elif outcome is Outcome.CONNECT_FAILED or (
            outcome is Outcome.TIMEOUT and host.last_response_at < self.now - latency
        ):
            self._eject(host)
        if attempt is not None:
            self._record_latency(host, outcome, latency, attempt)

    def _record_success(self, host: Host) -> None:
        if host.readmit_at < inf:
            outage = self.now - host.unresponsive_since
            if (
                outage > max(self.latency_target, self.rules.fall_ms)
                and host.unresponsive_since > host.last_response_at
            ):
                # A host that answers after a long silence has probably restarted, even if discovery reports
                # no restart.
                host.slow_start_at = self.now
                host.mean_latency = 0.0
            host.readmit_at = inf
            host.unresponsive_since = inf
        host.last_response_at = self.now
        host.ejections = max(0, host.ejections - 1)
        host.consecutive_failures = 0

    def _record_latency(self, host: Host, outcome: Outcome, latency: float, attempt: Attempt) -> None:
        if outcome is Outcome.OK:
            for pending in host.pending.values():
                pending.overtaken_by += pending.sent_at < attempt.sent_at
        if outcome is Outcome.OK or (outcome is Outcome.TIMEOUT and not attempt.lost):
            unit_latency = latency / attempt.concurrency
            host.mean_latency = (
                unit_latency
                if not host.mean_latency
                else host.mean_latency + LATENCY_WEIGHT * (unit_latency - host.mean_latency)
            )
            # A time-out is a sample too: otherwise the estimate of a stuck host becomes stale and invites
            # requests.
            host.last_sample_at = self.now

    def _eject(self, host: Host, *, unresponsive: bool = True) -> None:
        """Eject a host, or extend an ejection that is over. `unresponsive`: it did not answer at all."""
        if host.readmit_at == inf or self.now >= host.readmit_at:
            host.ejections += 1
            duration = (
                self.latency_target * FIRST_EJECTION_TARGETS * 2 ** min(host.ejections - 1, MAX_DOUBLINGS)
            )
            # Jitter keeps balancers from trying the host at the same time.
            host.readmit_at = self.now + duration * self.random.uniform(0.5, 1.5)
            # A host that sends errors is alive: if presumed restarted, it would be in slow start for seconds.
            if unresponsive:
                host.unresponsive_since = min(host.unresponsive_since, self.now)
