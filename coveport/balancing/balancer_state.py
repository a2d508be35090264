"""The state of a balancer and its timers: the base of the classes that decide.

One object holds it all, since each decision reads most of it: the classes above this one in the inheritance
(subsetting, ejection, slow start, ...) add one concern each, and an inherited call costs a request no more
than one of its own class.
"""

from __future__ import annotations

import random
from heapq import heappush
from math import inf, sqrt

from coveport.balancing.actions import Action, SetTimer
from coveport.balancing.host import Attempt, Host
from coveport.balancing.pending_requests import PendingRequests
from coveport.balancing.request_state import RequestState
from coveport.balancing.settings import Effect, Settings

SERVICE_TIMES_PER_TARGET = 10
"""Service times in a latency target, as first guess until answers tell."""
MAX_IN_FLIGHT_PER_HOST = 5
"""Requests that all balancers together may have at one host: a core far behind turns slower still."""
RETRY_RATIO_WHILE_QUEUED = 0.03
"""Retries that may have run, per request, while requests are queued or where balancers are many."""
RETRY_RATIO = 0.1
"""Retries that may have run, per request, where balancers are few and none is queued."""
MANY_PEERS = 16
"""Balancers from which on they count as many."""
CONGESTED_LATENCY_SHARE = 0.25
"""Part of a latency target above which recent latency speaks of congested hosts."""


class BalancerState:
    """The settings, hosts, requests, averages and timers of one balancer. Times in ms."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.actions = list[Action]()
        self.now = 0.0
        self.effective_now = 0.0  # timers due by then are due now
        self.retry_budget = 0.0  # retry budget saved up
        self.recent_latency = 0.0  # moving average of latency per request in flight
        self.hosts = dict[int, Host]()
        self.requests = dict[int, RequestState]()
        self.in_flight = dict[tuple[int, int], Attempt]()  # by request and attempt
        self.arrivals = 0.0  # first tries, each worth less with time
        self.arrivals_at = 0.0
        self.resubset_at = inf  # when subsets are chosen anew
        self.queue = PendingRequests[RequestState]()
        self.class_latency = dict[str, float]()  # by class: moving average of its latency
        self.blocked_queues = set[tuple[str, bool]]()  # queues of which none found a host
        self.saturated = False  # no capacity for any
        self.timers: list[tuple[float, int]] = []  # heap: when to look at which request (-1: at all)
        self.timer_at = inf  # the soonest timer that is set
        self.queue_check_at = inf  # when queued requests are looked at
        self.subscribe_at = -inf if settings.must_ask else inf
        self.subscribe_failures = 0
        self.answer_count = 0
        self._apply_settings(settings)
        # Means of latency and cost hint, until answers tell.
        self.service_time = self.mean_cost = self.latency_target / SERVICE_TIMES_PER_TARGET

    def _apply_settings(self, settings: Settings) -> None:
        """Apply settings; requests that came before keep their class and limits."""
        self.settings = settings
        self.rules = settings.rules
        self.limits = settings.limits
        self.latency_target, *_, self.longest_target = sorted([cls.aim_ms for cls in settings.classes] * 2)
        first_guess = self.latency_target / SERVICE_TIMES_PER_TARGET
        self.class_latency = {
            cls.name: self.class_latency.get(cls.name, first_guess) for cls in settings.classes
        }
        self.cross_zone_cost = settings.prices.cross_zone * sum(cls.worth for cls in settings.classes)
        # Whether requests that may run twice exist to try ejected hosts; if not, unsafe ones do.
        self.has_repeatable_class = any(cls.effect is not Effect.UNSAFE for cls in settings.classes)
        self.max_in_flight = max(1, int(MAX_IN_FLIGHT_PER_HOST / settings.peers_total + 0.5))
        self.retry_ratio = RETRY_RATIO if settings.peers_total < MANY_PEERS else RETRY_RATIO_WHILE_QUEUED
        self.congested_latency = CONGESTED_LATENCY_SHARE * self.latency_target

    def _set_timer(self, at: float, request: int = -1) -> None:
        """Have `request` (-1: all) looked at then; one timer is set, for the soonest."""
        heappush(self.timers, (at, request))
        if at < self.timer_at:
            self.timer_at = at
            self.actions.append(SetTimer(max(at - self.now, self.settings.tick_ms), 0))

    def _latency_limit(self, target: float) -> float:
        """Return how long an attempt may take before another is better, in ms.

        One as long as the latency target would leave no time for a second.
        """
        return min(target / 2, sqrt(self.service_time * target))
