"""The way of a request through the decisions, from its arrival to its answer.

A request goes to its own zone while any host there is usable, to all hosts otherwise, and there to the less
busy of two. `Balancer.handle` takes one event and returns the actions, always the same; no I/O. What decides
on hosts stands in the modules of the classes that `Balancer` inherits.
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
"""Weight of the newest answer in the fleet's average latency, which should outlast one fault."""
RECENT_WEIGHT = 0.1
"""Weight of the newest answer in the recent latency."""
LAST_CALL_SERVICE_TIMES = 2.0
"""Service times before its latency target at which a queued request is given up."""


class Balancer(EndpointDiscovery, HostSelection):
    """One instance's decisions, from its settings, its own events and its own random draws."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Return what to do now, after one event."""
        self.now = now_ms
        self.actions = []
        # Timers come rounded: what is due within half a tick counts as due.
        self.effective_now = now_ms + self.settings.tick_ms / 2
        if isinstance(event, Request):
            self._arrive(event)
        elif isinstance(event, Reply):
            self._reply(event)
        elif isinstance(event, TimerFired | EndpointUpdate):
            if isinstance(event, EndpointUpdate):
                self._update_endpoints(event)
            else:
                self._fire_timers()
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
            # An answer is owed; should none come, ask again well before we count as informed anyway.
            self._subscribe_at(now_ms + self.rules.ask_within_ms / 2)
            self.actions.append(Subscribe())
        return self.actions

    def unavailable_host_count(self) -> int:
        """Return how many listed hosts get nothing for now."""
        return sum(host.readmit_at < inf or not host.ready for host in self.hosts.values())

    def _fire_timers(self) -> None:
        """Hedge the requests whose time has come, and set the next timer."""
        if self.effective_now >= self.timer_at:
            self.timer_at = inf
        if self.effective_now >= self.queue_check_at:
            self.queue_check_at = inf
        while self.timers and self.timers[0][0] <= self.effective_now:
            self._hedge(heappop(self.timers)[1])
        if self.timers and self.timers[0][0] < self.timer_at:
            self._set_timer(*heappop(self.timers))

    def _arrive(self, event: Request) -> None:
        """Take a request and send, queue or answer it."""
        if event.id in self.requests or not 0 <= event.cls < len(self.settings.classes):
            return
        request = self.requests[event.id] = RequestState(event, self.settings, self.random)
        self._set_times(request, event)
        if event.repeat and self.recent_latency > self.congested_latency:
            request.queue_until = self.now  # it is late already, and would make others late
        elif not event.repeat:
            decay = exp((self.arrivals_at - self.now) / (ARRIVALS_COUNTED_TARGETS * self.latency_target))
            self.arrivals = 1.0 + self.arrivals * decay
            self.arrivals_at = self.now
            if self.now >= self.resubset_at:
                self._choose_subsets()
        saved = RETRY_RATIO_WHILE_QUEUED if self.queue.count else self.retry_ratio
        self.retry_budget = min(RETRY_BUDGET_BURST, self.retry_budget + saved)
        sort = request.class_name, self.effective_now < request.any_zone_at
        if (self.saturated or sort in self.blocked_queues) and self.effective_now < request.queue_until:
            self._enqueue(request)  # others of its queue wait: to draw for each arrival costs too much
        else:
            self._send_or_queue(request)

    def _set_times(self, request: RequestState, event: Request) -> None:
        """Set until when a request may be tried and queued, and when it may go to any zone."""
        cls = request.cls
        good = self.now + cls.aim_ms + cls.aim_stretch * event.cost_ms
        wait = self.now + cls.deadline_ms if cls.late_share else good  # none where it earns nothing
        request.give_up_at = min(event.deadline_ms, wait) - 2 * self.settings.tick_ms
        # However slow all hosts seem a new one has its time: else nothing would tell when they no longer are.
        last_call = min(LAST_CALL_SERVICE_TIMES * self.service_time, self.latency_target / 2)
        request.queue_until = min(request.give_up_at, good - last_call)
        # Crossing costs a part of a mean request's value: what is of less value waits longer for its zone.
        hint = event.cost_ms if self.settings.worth_by_work and 0 < event.cost_ms <= cls.deadline_ms else 0.0
        self.mean_cost += ((hint or self.mean_cost) - self.mean_cost) * SERVICE_WEIGHT
        value = cls.worth * (hint or self.mean_cost) / self.mean_cost * len(self.settings.classes)
        part_of_value = min(1.0, self.cross_zone_cost / value) if value > 0 else 1.0
        request.any_zone_at = self.now + part_of_value * self._latency_limit(cls.aim_ms)

    def _send_or_queue(self, request: RequestState) -> None:
        """Send a request, queue it, or answer it."""
        host = self._pick(request) if self.effective_now < request.queue_until else None
        if host is not None:
            self._send(request, host)
        elif self.effective_now >= request.queue_until:
            self._answer(request)
        elif not request.waiting:
            self._enqueue(request)

    def _enqueue(self, request: RequestState) -> None:
        """Queue a request."""
        # Newest first among equals: the longest waiting is the likeliest to be late, whatever is done.
        self.queue.add(request, self.effective_now)
        self._schedule_queue_check(
            min(
                (at for at in (request.queue_until, request.any_zone_at) if at > self.effective_now),
                default=inf,
            )
        )

    def _schedule_queue_check(self, at: float) -> None:
        """Have queued requests looked at then; soon in any case."""
        at = min(at, self.now + self._latency_limit(self.latency_target))
        if at < self.queue_check_at:
            self.queue_check_at = at
            self._set_timer(at)

    def _dispatch(self) -> None:
        """Send what is queued, as far as the hosts have capacity."""
        self.blocked_queues = set()
        self.saturated = False
        if not self.queue.count:
            return
        for request in self.queue.expired(self.effective_now):
            self._send_or_queue(request)
        for sort, requests in self.queue.queues(self.effective_now, self._rank):
            for request in requests:
                self.saturated = self.saturated or self._is_saturated() or not self._any_capacity()
                if self.saturated:
                    break
                self._send_or_queue(request)
                if request.waiting and not request.attempts:
                    self.blocked_queues.add(sort)  # where one finds no host, the others of its queue will not
                    break
        if self.queue_check_at == inf:  # else a check is planned, with each of them in mind
            self._schedule_queue_check(self.queue.next_at(self.effective_now))

    def _rank(self, request: RequestState) -> float:
        """Return a queue's order: first the class of most value for the time that it takes and can wait."""
        cls = request.cls
        return -cls.worth / (self.class_latency.get(request.class_name, cls.aim_ms) * cls.aim_ms)

    def _send(self, request: RequestState, host: Host) -> None:
        """Start an attempt, where the rules allow it."""
        if not self._is_allowed(request, host):
            return
        self.queue.remove(request)
        key = request.id, len(request.attempts)
        attempt = Attempt(host, self.now)
        attempt.overtaken_by = (
            LOST_AFTER * request.streams_body
        )  # while it lasts, the client is the one who is slow
        self.in_flight[key] = host.pending[key] = attempt
        host.granted -= 1
        request.attempts.append(attempt)
        timeout = max(min(request.give_up_at, request.deadline) - self.now, self.settings.tick_ms)
        self.actions.append(Send(request.id, host.id, timeout))
        if self.limits.second_copies and len(request.attempts) == 1:
            self._set_timer(self.now + self._latency_limit(request.cls.aim_ms), request.id)

    def _reply(self, event: Reply) -> None:
        """Record how an attempt ended, use the capacity that is free again, and retry or answer."""
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
                # Where one is full others are too: tried at once, they would only get connections.
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
            if (known := self.requests.get(event.id)) is not None and known.class_name in self.class_latency:
                self.class_latency[known.class_name] += SERVICE_WEIGHT * (
                    latency - self.class_latency[known.class_name]
                )
            self.recent_latency += RECENT_WEIGHT * (latency - self.recent_latency)
            self.answer_count += 1  # each of the first answers weighs as much as the guess did
            self.service_time += max(SERVICE_WEIGHT, 1 / (1 + self.answer_count)) * (
                latency - self.service_time
            )

    def _answer(self, request: RequestState) -> None:
        """Refuse a request where a retry is harmless, and fail it otherwise."""
        # It may return once what is in flight is answered or given up: a latency target at the latest.
        wait = min(request.cls.aim_ms, self.limits.max_retry_after_ms) if self.limits.retry_after else 0.0
        self.actions.append(Refuse(request.id, wait) if self._is_allowed(request, None) else Fail(request.id))
        self._end(request.id)

    def _end(self, number: int, stream: int = -1) -> None:
        """Forget a request, whose client has its answer, or its stream (attempt `stream`), or is gone."""
        if (request := self.requests.get(number)) is None:
            return
        self.queue.remove(request)
        request.streaming = stream >= 0
        if not request.streaming:
            del self.requests[number]
        for index, attempt in enumerate(request.attempts):
            if index == stream:
                attempt.overtaken_by = LOST_AFTER  # from its first bytes on its duration is the client's
            elif attempt.pending and self.limits.cancel:
                self.actions.append(Cancel(number, index))

    def _hedge(self, number: int) -> None:
        """Send a hedged request, once the first attempt is later than a host may be."""
        request = self.requests.get(number)
        # While others are queued there is no capacity to spare for hedged requests.
        if request is None or self.queue.count or self.retry_budget < 1 or len(request.attempts) != 1:
            return
        host = None if request.cls.effect is Effect.UNSAFE else self._pick(request)
        if host is not None and host is not request.attempts[0].host:
            self.retry_budget -= 1
            self._send(request, host)
