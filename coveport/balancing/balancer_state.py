"""The state of a balancer and its timers: the base class of the classes that make the decisions.

One object holds the whole state, since each decision reads most of it. Each subclass (subsetting, ejection,
slow start, ...) adds one concern; calling an inherited method costs a request no more time than
calling a method of the class itself.
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
"""Service times in a latency target: the initial estimate, until there are answers."""
MAX_IN_FLIGHT_PER_HOST = 5
"""Requests that all balancers together may have in flight at one host: a long backlog slows its cores."""
RETRY_RATIO_WHILE_QUEUED = 0.03
"""Retry budget earned per request while requests are queued, or in a large fleet of balancers."""
RETRY_RATIO = 0.1
"""Retry budget earned per request in a small fleet of balancers while no request is queued."""
MANY_PEERS = 16
"""Balancers from which a fleet counts as large."""
CONGESTED_LATENCY_SHARE = 0.25
"""Fraction of the latency target above which the recent latency indicates congested hosts."""


class BalancerState:
    """The settings, hosts, requests, averages and timers of one balancer. Times are in milliseconds."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.actions = list[Action]()
        self.now = 0.0
        self.effective_now = 0.0  # `now` plus half a tick: what is due by then is due now
        self.retry_budget = 0.0  # retries that may be made now
        self.recent_latency = 0.0  # moving average of the latency per request in flight, of all hosts
        self.hosts = dict[int, Host]()
        self.requests = dict[int, RequestState]()
        self.in_flight = dict[tuple[int, int], Attempt]()  # by request id and attempt number
        self.arrivals = 0.0  # number of first tries, decaying with time
        self.arrivals_at = 0.0  # time of the last first try
        self.resubset_at = inf  # when the subsets are chosen anew
        self.queue = PendingRequests[RequestState]()
        self.class_latency = dict[str, float]()  # moving averages by class name
        self.blocked_queues = set[tuple[str, bool]]()  # keys of queues in which a request found no host
        self.saturated = False  # whether there is no capacity for any queued request
        self.timers: list[tuple[float, int]] = []  # heap of times and the ids of requests to hedge (-1: none)
        self.timer_at = inf  # when the earliest timer set with the caller is due
        self.queue_check_at = inf  # time of the next check of the queued requests
        self.subscribe_at = -inf if settings.must_ask else inf
        self.subscribe_failures = 0
        self.answer_count = 0
        self._apply_settings(settings)
        # Means of latency and cost hint: an initial estimate, until there are answers.
        self.service_time = self.mean_cost = self.latency_target / SERVICE_TIMES_PER_TARGET

    def _apply_settings(self, settings: Settings) -> None:
        """Apply settings; earlier requests keep the class and limits under which they arrived."""
        self.settings = settings
        self.rules = settings.rules
        self.limits = settings.limits
        self.latency_target, *_, self.longest_target = sorted([cls.aim_ms for cls in settings.classes] * 2)
        initial_latency = self.latency_target / SERVICE_TIMES_PER_TARGET
        self.class_latency = {
            cls.name: self.class_latency.get(cls.name, initial_latency) for cls in settings.classes
        }
        self.cross_zone_cost = settings.prices.cross_zone * sum(cls.worth for cls in settings.classes)
        # Requests that may run twice try ejected hosts; unsafe requests try them only if no class may run
        # twice.
        self.has_repeatable_class = any(cls.effect is not Effect.UNSAFE for cls in settings.classes)
        self.max_in_flight = max(1, int(MAX_IN_FLIGHT_PER_HOST / settings.peers_total + 0.5))
        self.retry_ratio = RETRY_RATIO if settings.peers_total < MANY_PEERS else RETRY_RATIO_WHILE_QUEUED
        self.congested_latency = CONGESTED_LATENCY_SHARE * self.latency_target

    def _set_timer(self, at: float, request_id: int = -1) -> None:
        """Schedule a check of the queue at `at`, and of whether to hedge a request (-1: none).

        Only the earliest timer is set with the caller.
        """
        heappush(self.timers, (at, request_id))
        if at < self.timer_at:
            self.timer_at = at
            self.actions.append(SetTimer(max(at - self.now, self.settings.tick_ms), 0))

    def _latency_limit(self, target: float) -> float:
        """Return the latency of an attempt, in ms, above which another attempt is better.

        It is the geometric mean of service time and target, at most half the target: an attempt as long as
        the target would leave no time for a second one.
        """
        return min(target / 2, sqrt(self.service_time * target))
