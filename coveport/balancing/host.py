"""A balancer's view of a host, and its attempts there.

Times are in milliseconds on the caller's clock.
"""

from __future__ import annotations

from math import inf

from coveport.balancing.events import Endpoint, PriorAttempt

LOST_AFTER = 2
"""Later attempts answered first after which an attempt counts as lost, and is no evidence about its host."""


class Attempt:
    """An attempt at a host; `ended` is given for a prior attempt."""

    __slots__ = ("concurrency", "host", "may_have_run", "overtaken_by", "pending", "sent_at")

    def __init__(self, host: Host, sent_at: float, ended: PriorAttempt | None = None) -> None:
        self.host = host
        self.sent_at = sent_at
        self.pending = ended is None
        self.may_have_run = ended is None or ended.may_have_run
        # The balancer's attempts in flight at the host, including this attempt.
        self.concurrency = len(host.pending) + 1
        self.overtaken_by = 0  # attempts sent to the host later but answered earlier

    @property
    def lost(self) -> bool:
        """Whether `LOST_AFTER` later attempts overtook this attempt.

        Such an attempt is lost or long, and no evidence about its host.
        """
        return self.overtaken_by >= LOST_AFTER


class Host:
    """A host, with the state learned from its answers."""

    def __init__(self, entry: Endpoint, rank: float) -> None:
        self.id = entry.host
        self.zone = entry.zone
        self.cell = entry.cell
        self.rank = rank  # random number; a subset consists of the hosts of lowest rank
        self.pending: dict[tuple[int, int], Attempt] = {}  # by request id and attempt number, in send order
        self.started = entry.started_ms
        self.ready = False  # whether discovery lists the host as ready
        self.slow_start_at = entry.started_ms if entry.started_ms > 0 else -inf
        self.mean_latency = 0.0  # moving average of latency per request in flight; 0: unknown
        self.ejections = 0  # number of ejections, reduced by one with each success
        self.consecutive_failures = 0  # number of errors and resets in a row
        self.granted = 0  # requests that the slow-start grant still permits
        self.last_response_at = -inf
        self.last_sample_at = -inf
        self.backoff_until = -inf
        self.grant_until = -inf
        self.readmit_at = inf  # when an ejected host is tried again; infinity: the host is not ejected
        self.unresponsive_since = inf

    def has_capacity(self, limit: int) -> bool:
        """Return whether fewer than `limit` attempts are in flight at the host, without the lost attempts."""
        return sum(attempt.overtaken_by < LOST_AFTER for attempt in self.pending.values()) < limit
