"""The handling of a request, from its arrival to its answer.

A request goes to its own zone while any host there is usable, and to any host otherwise; in either case to
the less busy of two drawn hosts. `Balancer.handle` takes an event and returns actions. It is deterministic
and does no I/O. The decisions on hosts are in the modules of the base classes of `Balancer`.
"""

from __future__ import annotations

from heapq import heappop
from math import exp, inf

from coveport.balancing.actions import Action, Cancel, Fail, Refuse, Send, Subscribe
from coveport.balancing.balancer_state import RETRY_RATIO_WHILE_QUEUED
from coveport.balancing.endpoint_discovery import EndpointDiscovery
from coveport.balancing.events import (
    NEVER_RAN,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    Outcome,
    Reply,
    Request,
    SettingsChanged,
    SlowStartGrant,
    StreamStarted,
    TimerFired,
)
from coveport.balancing.host import LOST_AFTER, Attempt, Host
from coveport.balancing.host_selection import HostSelection
from coveport.balancing.request_state import RequestState
from coveport.balancing.retry_policy import RETRY_BUDGET_BURST
from coveport.balancing.settings import Effect
from coveport.balancing.subsetting import ARRIVALS_COUNTED_TARGETS

SERVICE_WEIGHT = 0.02
"""Weight of the newest answer in the service time of all hosts; small, so that one fault changes little."""
RECENT_WEIGHT = 0.1
"""Weight of the newest answer in the recent latency."""
EXPIRY_SERVICE_TIMES = 2.0
"""Service times before its latency target at which a queued request expires."""


class Balancer(EndpointDiscovery, HostSelection):
    """The decisions of one instance, from its settings, its own events and its own random numbers."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Return the actions in response to an event."""
        self.now = now_ms
        self.actions = []
        # Timers fire at rounded times, so anything due within half a tick counts as due.
        self.effective_now = now_ms + self.settings.tick_ms / 2
        if isinstance(event, Request):
            self._arrive(event)
        elif isinstance(event, Reply):
            self._reply(event)
        elif isinstance(event, TimerFired | EndpointUpdate):
            if isinstance(event, EndpointUpdate):
                self._update_endpoints(event)
            else:
                self._run_due_timers()
            self._dispatch()
        elif isinstance(event, HealthCheckResult) and event.host in self.hosts:
            self._record_outcome(self.hosts[event.host], event.outcome, event.latency_ms, None)
        elif isinstance(event, SettingsChanged):
            self._apply_settings(event.settings)
        elif isinstance(event, SlowStartGrant) and event.host in self.hosts:
            self.hosts[event.host].granted = event.count
            self.hosts[event.host].grant_until = event.until_ms
        elif isinstance(event, ClientDisconnected | StreamStarted):
            self._end(event.id, event.attempt if isinstance(event, StreamStarted) else -1)
        if self.effective_now >= self.subscribe_at:
            # If discovery does not answer, the next subscription follows well within the time allowed for
            # asking.
            self._schedule_subscribe(now_ms + self.rules.ask_within_ms / 2)
            self.actions.append(Subscribe())
        return self.actions

    def unavailable_host_count(self) -> int:
        """Return how many listed hosts are ejected or not ready."""
        return sum(host.readmit_at < inf or not host.ready for host in self.hosts.values())

    def _run_due_timers(self) -> None:
        """Hedge the requests that are due, and set the next timer."""
        if self.effective_now >= self.timer_at:
            self.timer_at = inf
        if self.effective_now >= self.queue_check_at:
            self.queue_check_at = inf
        while self.timers and self.timers[0][0] <= self.effective_now:
            self._hedge(heappop(self.timers)[1])
        if self.timers and self.timers[0][0] < self.timer_at:
            self._set_timer(*heappop(self.timers))

    def _arrive(self, event: Request) -> None:
        """Send, queue or answer a new request."""
        if event.id in self.requests or not 0 <= event.cls < len(self.settings.classes):
            return
        request = self.requests[event.id] = RequestState(event, self.settings, self.random)
        self._set_times(request, event)
        if event.repeat and self.recent_latency > self.congested_latency:
            request.queue_until = self.now  # a repeat is late already, and would delay other requests
        elif not event.repeat:
            decay = exp((self.arrivals_at - self.now) / (ARRIVALS_COUNTED_TARGETS * self.latency_target))
            self.arrivals = 1.0 + self.arrivals * decay
            self.arrivals_at = self.now
            if self.now >= self.resubset_at:
                self._choose_subsets()
        earned = RETRY_RATIO_WHILE_QUEUED if self.queue.count else self.retry_ratio
        self.retry_budget = min(RETRY_BUDGET_BURST, self.retry_budget + earned)
        queue_key = request.class_name, self.effective_now < request.any_zone_at
        if (self.saturated or queue_key in self.blocked_queues) and self.effective_now < request.queue_until:
            # Requests already wait in the queue of this request; drawing hosts for each arrival would cost
            # too much.
            self._enqueue(request)
        else:
            self._send_or_queue(request)

    def _set_times(self, request: RequestState, event: Request) -> None:
        """Set the times at which a request is given up, expires in its queue, and may go to any zone."""
        cls = request.cls
        target_at = self.now + cls.aim_ms + cls.aim_stretch * event.cost_ms
        latest = self.now + cls.deadline_ms if cls.late_share else target_at  # a late answer may be worthless
        request.give_up_at = min(event.deadline_ms, latest) - 2 * self.settings.tick_ms
        # At most half a target: even while all hosts are slow, new requests must reveal their recovery.
        margin = min(EXPIRY_SERVICE_TIMES * self.service_time, self.latency_target / 2)
        request.queue_until = min(request.give_up_at, target_at - margin)
        # Another zone costs a part of a mean request's value, so a less valuable request waits longer.
        hint = event.cost_ms if self.settings.worth_by_work and 0 < event.cost_ms <= cls.deadline_ms else 0.0
        self.mean_cost += ((hint or self.mean_cost) - self.mean_cost) * SERVICE_WEIGHT
        value = cls.worth * (hint or self.mean_cost) / self.mean_cost * len(self.settings.classes)
        cost_fraction = min(1.0, self.cross_zone_cost / value) if value > 0 else 1.0
        request.any_zone_at = self.now + cost_fraction * self._latency_limit(cls.aim_ms)

    def _send_or_queue(self, request: RequestState) -> None:
        """Send a request, or queue it, or answer it if it has expired."""
        host = self._pick(request) if self.effective_now < request.queue_until else None
        if host is not None:
            self._send(request, host)
        elif self.effective_now >= request.queue_until:
            self._answer(request)
        elif not request.waiting:
            self._enqueue(request)

    def _enqueue(self, request: RequestState) -> None:
        """Queue a request, and schedule its checks."""
        # The newest request goes first: the one that has waited longest is the likeliest to be late in any
        # case.
        self.queue.add(request, self.effective_now)
        self._schedule_queue_check(
            min(
                (at for at in (request.queue_until, request.any_zone_at) if at > self.effective_now),
                default=inf,
            )
        )

    def _schedule_queue_check(self, at: float) -> None:
        """Schedule a check of the queued requests at `at`, or sooner if `at` is far off."""
        at = min(at, self.now + self._latency_limit(self.latency_target))
        if at < self.queue_check_at:
            self.queue_check_at = at
            self._set_timer(at)

    def _dispatch(self) -> None:
        """Send the queued requests for which hosts have capacity."""
        self.blocked_queues = set()
        self.saturated = False
        if not self.queue.count:
            return
        for request in self.queue.expired(self.effective_now):
            self._send_or_queue(request)
        for queue_key, requests in self.queue.queues(self.effective_now, self._rank):
            for request in requests:
                self.saturated = self.saturated or self._is_saturated() or not self._any_capacity()
                if self.saturated:
                    break
                self._send_or_queue(request)
                if request.waiting and not request.attempts:
                    self.blocked_queues.add(queue_key)  # the rest of the queue would find no host either
                    break
        if self.queue_check_at == inf:  # otherwise a check of all queued requests is already scheduled
            self._schedule_queue_check(self.queue.next_at(self.effective_now))

    def _rank(self, request: RequestState) -> float:
        """Return a queue's rank: lowest for the class of most value relative to its latency and target."""
        cls = request.cls
        return -cls.worth / (self.class_latency.get(request.class_name, cls.aim_ms) * cls.aim_ms)

    def _send(self, request: RequestState, host: Host) -> None:
        """Start an attempt if the rules allow it."""
        if not self._is_allowed(request, host):
            return
        self.queue.remove(request)
        key = request.id, len(request.attempts)
        attempt = Attempt(host, self.now)
        # While a streamed body is sent, the duration depends on the client and not on the host.
        attempt.overtaken_by = LOST_AFTER * request.streams_body
        self.in_flight[key] = host.pending[key] = attempt
        host.granted -= 1
        request.attempts.append(attempt)
        timeout = max(min(request.give_up_at, request.deadline) - self.now, self.settings.tick_ms)
        self.actions.append(Send(request.id, host.id, timeout))
        if self.limits.second_copies and len(request.attempts) == 1:
            self._set_timer(self.now + self._latency_limit(request.cls.aim_ms), request.id)

    def _reply(self, event: Reply) -> None:
        """Record the end of an attempt, use the freed capacity, and retry or answer the request."""
        attempt = self.in_flight.pop((event.id, event.attempt), None)
        if attempt is not None:
            self._record_reply(event, attempt)
        self._dispatch()
        if (request := self.requests.get(event.id)) is None:
            return
        if event.closed or event.outcome is Outcome.OK:
            self._end(request.id)
        elif not request.waiting and not any(attempt.pending for attempt in request.attempts):
            if not self._may_retry(request):
                self._answer(request)
            elif event.outcome is Outcome.FULL:
                # If one host is full, other hosts probably are too: an immediate retry would only cost
                # connections.
                self._enqueue(request)
            else:
                self._send_or_queue(request)

    def _record_reply(self, event: Reply, attempt: Attempt) -> None:
        host = attempt.host
        del host.pending[event.id, event.attempt]
        attempt.pending = False
        attempt.may_have_run = event.outcome not in NEVER_RAN
        self._record_outcome(host, event.outcome, event.latency_ms, attempt)
        if event.outcome is Outcome.OK:
            latency = event.latency_ms / attempt.concurrency
            if (
                request := self.requests.get(event.id)
            ) is not None and request.class_name in self.class_latency:
                self.class_latency[request.class_name] += SERVICE_WEIGHT * (
                    latency - self.class_latency[request.class_name]
                )
            self.recent_latency += RECENT_WEIGHT * (latency - self.recent_latency)
            self.answer_count += 1  # the first answers and the initial estimate weigh the same
            self.service_time += max(SERVICE_WEIGHT, 1 / (1 + self.answer_count)) * (
                latency - self.service_time
            )

    def _answer(self, request: RequestState) -> None:
        """Refuse a request if a retry is harmless, or else fail it."""
        # The client may retry once the requests in flight have ended: after a latency target at the latest.
        wait = min(request.cls.aim_ms, self.limits.max_retry_after_ms) if self.limits.retry_after else 0.0
        self.actions.append(Refuse(request.id, wait) if self._is_allowed(request, None) else Fail(request.id))
        self._end(request.id)

    def _end(self, request_id: int, stream: int = -1) -> None:
        """Close a request that is answered or abandoned, or whose answer is streamed by attempt `stream`."""
        if (request := self.requests.get(request_id)) is None:
            return
        self.queue.remove(request)
        request.streaming = stream >= 0
        if not request.streaming:
            del self.requests[request_id]
        for index, attempt in enumerate(request.attempts):
            if index == stream:
                # From now on the duration of the attempt depends on the client.
                attempt.overtaken_by = LOST_AFTER
            elif attempt.pending and self.limits.cancel:
                self.actions.append(Cancel(request_id, index))

    def _hedge(self, request_id: int) -> None:
        """Hedge a request whose first attempt has exceeded the latency limit, if the budget allows it."""
        request = self.requests.get(request_id)
        # While requests are queued there is no spare capacity for hedged requests.
        if request is None or self.queue.count or self.retry_budget < 1 or len(request.attempts) != 1:
            return
        host = None if request.cls.effect is Effect.UNSAFE else self._pick(request)
        if host is not None and host is not request.attempts[0].host:
            self.retry_budget -= 1
            self._send(request, host)
