"""What a balancer knows of a host, and the attempts that it has there.

Times are milliseconds on the caller's clock.
"""

from __future__ import annotations

from math import inf

from coveport.balancing.events import Endpoint, PriorAttempt

LOST_AFTER = 2
"""Later attempts answered first by which an attempt counts as lost, and no longer speaks of its host."""


class Attempt:
    """An attempt at a host."""

    __slots__ = ("concurrency", "host", "may_have_run", "overtaken_by", "pending", "sent_at")

    def __init__(self, host: Host, sent_at: float, ended: PriorAttempt | None = None) -> None:
        self.host = host
        self.sent_at = sent_at
        self.pending = ended is None
        self.may_have_run = ended is None or ended.may_have_run
        self.concurrency = len(host.pending) + 1  # this balancer's attempts in flight there, itself included
        self.overtaken_by = 0  # attempts sent there later that have been answered already

    @property
    def lost(self) -> bool:
        """Whether later attempts overtook it: it got lost, or is long, and does not speak of its host."""
        return self.overtaken_by >= LOST_AFTER


class Host:
    """A host, with what its answers have shown."""

    def __init__(self, entry: Endpoint, rank: float) -> None:
        self.id = entry.host
        self.zone = entry.zone
        self.cell = entry.cell
        self.rank = rank  # random: its rank where a subset is chosen
        self.pending: dict[tuple[int, int], Attempt] = {}  # by request and attempt, in the order sent
        self.started = entry.started_ms
        self.ready = False  # whether it may get requests
        self.slow_start_at = entry.started_ms if entry.started_ms > 0 else -inf
        self.mean_latency = 0.0  # moving average of latency per request in flight; 0: not known
        self.ejections = 0  # ejections not yet made good by a success
        self.consecutive_failures = 0  # errors and resets since the last success
        self.granted = 0  # requests that the slow-start coordinator still permits
        self.last_response_at = -inf
        self.last_sample_at = -inf
        self.backoff_until = -inf
        self.grant_until = -inf
        self.readmit_at = inf  # when it is tried again; infinity: it is not ejected
        self.unresponsive_since = inf

    def has_capacity(self, most: int) -> bool:
        """Return whether fewer than `most` attempts that are not lost are in flight here."""
        return sum(attempt.overtaken_by < LOST_AFTER for attempt in self.pending.values()) < most
