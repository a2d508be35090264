"""The decisions; events and actions are in interface.py, pending requests in pending_requests.py.

A request goes to its own zone while any host there is usable, to all hosts otherwise, and there to the less
busy of two (locality.py). `Balancer.handle` takes one event and returns the actions, always the same; no I/O.
"""

from __future__ import annotations

import random
from heapq import heappop, heappush
from math import exp, inf, sqrt

from coveport.balancing.actions import Action, Cancel, Fail, HealthCheck, Refuse, Send, SetTimer, Subscribe
from coveport.balancing.events import (
    NEVER_RAN,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    HealthCheckResult,
    Outcome,
    PriorAttempt,
    Reply,
    Request,
    SettingsChanged,
    SlowStartGrant,
    StreamStarted,
    TimerFired,
)
from coveport.balancing.locality import first_usable_level, less_busy_of_two
from coveport.balancing.pending_requests import Held, Waiter
from coveport.balancing.settings import Effect, Settings

# Weight of the newest answer in a host's pace (a copy sees few), in the fleet's service time (which should
MEMORY, SERVICE_MEMORY, LATELY = 0.25, 0.02, 0.1  # outlast one trouble), and in what answers took lately
TRIAL_WAIT, MAX_DOUBLINGS = 0.5, 5  # first wait before a trial, in aims; how often it is doubled at the most
ASK_MOST = 4000.0  # ms: asked again later, what discovery has since the last call could come after 6 s
COLD_SAFETY = 0.25  # part of a cold host's budget that is used: a zone can be asked for three times its all
EXTRA_SHARE, CALM_SHARE, MANY = 0.03, 0.1, 16  # retries that may have run, per request; few copies, none held
EXTRA_BURST = 2.0  # the most saved up; retries may overdraw as much, second copies may not
FIRST_GUESS, LAST_CALL = 10, 2.0  # service times: in an aim, at first; before it, when a held one is given up
ACCIDENTS, PASSED = 2, 2  # errors or resets in a row that put a host out; later answers that show one lost
CROWD = 5  # requests that all copies together may have at one host: a core far behind turns slower still
CROWDED = 0.25  # part of an aim above which answers, lately, speak of crowded hosts
# Who holds any then has no more out than come to it in this part of an aim (Little's law); what comes is
OUT_FOR, OVER = 0.3, 4.0  # counted over so many aims
# Hosts that a copy keeps to at the least; copies that keep to each host, where they ask alike; first tries in
FEWEST, SHARERS, EACH = 4, 10, 6.0  # that time for each host: who is asked much keeps to more
SWIFT = 0.15  # part of an aim: as much again may be out at a host that is expected to answer so soon
DRAWS = 6  # tries to find two usable hosts before a level is looked through


class _Attempt:
    """An attempt at a host."""

    __slots__ = ("host", "may_have_run", "passed", "pending", "sent_at", "share")

    def __init__(self, host: _Host, sent_at: float, ended: PriorAttempt | None = None) -> None:
        self.host = host
        self.sent_at = sent_at
        self.pending = ended is None
        self.may_have_run = ended is None or ended.may_have_run
        self.share = len(host.pending) + 1  # how many of ours were in flight with it, itself included
        self.passed = 0  # how many sent there later have been answered already

    @property
    def lost(self) -> bool:  # others pass it by: it got lost, or is heavy, and does not speak of its host
        return self.passed >= PASSED


class _Host:
    """What one host has shown us."""

    def __init__(self, entry: Endpoint, mark: float) -> None:
        self.id = entry.host
        self.zone = entry.zone
        self.cell = entry.cell
        self.mark = mark
        self.pending: dict[tuple[int, int], _Attempt] = {}  # by attempt, in the order in which they were sent
        self.started = entry.started_ms
        self.ready = False  # ready: in a level
        self.cold_at = entry.started_ms if entry.started_ms > 0 else -inf
        self.pace = 0.0
        self.strikes = 0
        self.failures = 0
        self.granted = 0  # failures since the last answer
        self.heard_at = self.seen_at = self.paused_until = self.grant_until = -inf
        self.trial_at = self.down_at = inf  # inf: in its level

    def has_room(self, most: int) -> bool:  # what got lost takes no room there
        return sum(flight.passed < PASSED for flight in self.pending.values()) < most


class _Request(Waiter):
    def __init__(self, event: Request, settings: Settings, chance: random.Random) -> None:
        self.cls = settings.classes[event.cls]
        self.limits = settings.limits  # the rules under which it came
        self.id, self.kind, self.deadline, self.long = event.id, self.cls.name, event.deadline_ms, event.long
        self.give_up = self.hold_until = self.cross_at = event.deadline_ms
        self.chill, self.streaming = chance.random(), False  # chill: which cold hosts it may go to
        self.attempts = [
            _Attempt(_Host(Endpoint(-1, one.zone, one.cell), 0.0), one.sent_ms, one) for one in event.before
        ]
        # In which it may run again: what is decided by then is sent in time on a connection yet to come up.
        self.window = self.cls.window_ms - 2 * settings.tick_ms - self.limits.connect_timeout_ms


def _lowest(hosts: list[_Host], most: int) -> list[_Host]:  # in mark; all of them in the order they have
    return hosts if len(hosts) <= most else sorted(hosts, key=lambda host: host.mark)[:most]


class Balancer:
    """One copy's decisions, from its settings, its own events and its own random draws."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random, self.out = random.Random(seed), list[Action]()
        self.now = 0.0
        self.soon = 0.0
        self.extra = 0.0
        self.lately = 0.0  # lately: mean answer time
        self.hosts = dict[int, _Host]()
        self.open = dict[int, _Request]()
        self.flights = dict[tuple[int, int], _Attempt]()
        self.came = 0.0
        self.came_at = 0.0
        self.keep_at = inf  # first tries, each worth less with time
        self.queue = Held[_Request]()
        self.took = dict[str, float]()
        self.stuck = set[tuple[str, bool]]()
        self.full = False  # sorts none of which found a host; no room
        self.due: list[tuple[float, int]] = []  # heap: when to look at which request (-1: at all)
        self.wake_at = self.look_at = inf  # the soonest timer that is set; when held requests are looked at
        self.ask_at = -inf if settings.must_ask else inf
        self.ask_failures = 0
        self.answers = 0
        self._retune(settings)
        self.service = self.work = self.aim / FIRST_GUESS  # mean answer time and cost hint, until they tell

    def _retune(self, settings: Settings) -> None:  # what came before keeps its kind and its limits
        self.settings = settings
        self.rules = settings.rules
        self.limits = settings.limits
        self.aim, *_, self.longest = sorted([c.aim_ms for c in settings.classes] * 2)
        self.took = {c.name: self.took.get(c.name, self.aim / FIRST_GUESS) for c in settings.classes}
        self._keep()
        self.dear = settings.prices.cross_zone * sum(c.worth for c in settings.classes)
        self.mild = any(c.effect is not Effect.UNSAFE for c in settings.classes)  # or none would try
        self.most_out = max(1, int(CROWD / settings.peers_total + 0.5))
        self.calm, self.slow = CALM_SHARE if settings.peers_total < MANY else EXTRA_SHARE, CROWDED * self.aim

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event and say what to do now."""
        self.now = now_ms
        self.out = []
        self.soon = now_ms + self.settings.tick_ms / 2  # what is due by then is due: timers come rounded
        if isinstance(event, Request):
            self._arrive(event)
        elif isinstance(event, Reply):
            self._reply(event)
        elif isinstance(event, TimerFired | EndpointUpdate):
            self._list(event) if isinstance(event, EndpointUpdate) else self._run_due()
            self._dispatch()
        elif isinstance(event, HealthCheckResult) and event.host in self.hosts:
            self._judge(self.hosts[event.host], event.outcome, event.latency_ms, None)
        elif isinstance(event, SettingsChanged):
            self._retune(event.settings)
        elif isinstance(event, SlowStartGrant) and event.host in self.hosts:
            self.hosts[event.host].granted, self.hosts[event.host].grant_until = event.count, event.until_ms
        elif isinstance(event, ClientDisconnected | StreamStarted):
            self._end(event.id, event.attempt if isinstance(event, StreamStarted) else -1)
        if self.soon >= self.ask_at:
            # An answer is owed; should none come, ask again well before we count as informed anyway.
            self._ask_at(now_ms + self.rules.ask_within_ms / 2)
            self.out.append(Subscribe())
        return self.out

    def avoided(self) -> int:
        """How many listed hosts get nothing for now."""
        return sum(host.trial_at < inf or not host.ready for host in self.hosts.values())

    def _wake(self, at: float, request: int = -1) -> None:  # one timer, for the soonest
        heappush(self.due, (at, request))
        if at < self.wake_at:
            self.wake_at = at
            self.out.append(SetTimer(max(at - self.now, self.settings.tick_ms), 0))

    def _run_due(self) -> None:
        self.wake_at, self.look_at = (inf if self.soon >= at else at for at in (self.wake_at, self.look_at))
        while self.due and self.due[0][0] <= self.soon:
            self._hedge(heappop(self.due)[1])
        if self.due and self.due[0][0] < self.wake_at:
            self._wake(*heappop(self.due))

    def _list(self, event: EndpointUpdate) -> None:
        if event.kind is EndpointUpdateKind.FAILED:
            if self.settings.must_ask:  # spaced out and jittered: discovery is one small service for all
                self.ask_failures += 1
                wait = self.rules.ask_within_ms / 8 * 2 ** min(self.ask_failures - 1, 2)
                most = ASK_MOST * self.random.uniform(0.75, 1)
                self._ask_at(self.now + min(wait * self.random.uniform(0.5, 1.5), most))
            return
        if event.kind is not EndpointUpdateKind.CACHED:
            self.ask_failures = 0
            self.ask_at = inf
        elif self.settings.must_ask and event.entries:
            # All that were started together have a list to begin with, and would ask at the same moment.
            self._ask_at(self.now + self.random.uniform(0, self.rules.ask_within_ms / 16))
        if event.kind is not EndpointUpdateKind.DELTA:
            for gone in self.hosts.keys() - {entry.host for entry in event.entries}:
                self.hosts.pop(gone).ready = False
        for entry in event.entries:
            host = self.hosts.get(entry.host)
            if host is not None and (
                entry.state is not EndpointState.READY or entry.started_ms > host.started
            ):
                host.ready = False  # drains count from the moment we are told
                if entry.state is not EndpointState.DRAINING:
                    del self.hosts[entry.host]  # gone, or a new process, of which nothing known holds
            if entry.state is EndpointState.READY:
                self.hosts.setdefault(entry.host, _Host(entry, self.random.random())).ready = True
        self._keep()

    def _keep(self) -> None:  # the levels: of our zone, of all zones, and all
        # Guards against knowing nobody: a copy of many that meets all hosts of its zone meets each too seldom
        # to tell a slow one, and connects anew each time. By marks few change when a host comes or goes.
        self.all = [host for host in self.hosts.values() if host.ready]
        most = max(FEWEST, round(SHARERS * len(self.all) / self.settings.peers_total), int(self.came / EACH))
        self.keep_at = self.now + OVER * self.aim
        self.local = _lowest([host for host in self.all if host.zone == self.settings.zone], most)
        self.wide = _lowest(self.all, 2 * most)

    def _ask_at(self, at: float) -> None:
        self.ask_at = at
        self._wake(at)

    def _judge(self, host: _Host, outcome: Outcome, latency: float, sent: _Attempt | None) -> None:
        if outcome is Outcome.OK:
            if host.trial_at < inf:
                down = self.now - host.down_at
                if down > max(self.aim, self.rules.fall_ms) and host.down_at > host.heard_at:
                    # A host back from long silence was most likely restarted: cold, though nobody said so.
                    host.cold_at, host.pace = self.now, 0.0
                host.trial_at = host.down_at = inf
            host.heard_at, host.strikes, host.failures = self.now, max(0, host.strikes - 1), 0
        elif outcome is Outcome.FULL:  # it lives: not removed, only left alone for about one answer
            host.heard_at, host.paused_until = self.now, self.now + max(host.pace, self.service)
        elif outcome in (Outcome.ERROR, Outcome.RESET):
            # One spoilt or broken answer comes from any host alike; a dead one refuses the next connect.
            host.failures += 1
            if host.failures >= ACCIDENTS or host.trial_at < inf:
                self._eject(host, silent=False)
        elif outcome is Outcome.CONNECT_FAILED or (
            outcome is Outcome.TIMEOUT and host.heard_at < self.now - latency
        ):  # silence
            self._eject(host)
        for other in host.pending.values():
            other.passed += sent is not None and outcome is Outcome.OK and other.sent_at < sent.sent_at
        if sent is not None and (outcome is Outcome.OK or (outcome is Outcome.TIMEOUT and not sent.lost)):
            pace = latency / sent.share
            host.pace = pace if not host.pace else host.pace + MEMORY * (pace - host.pace)
            # A time-out is news too: else a jammed host looks forgotten and every copy sends it another.
            host.seen_at = self.now

    def _eject(self, host: _Host, silent: bool = True) -> None:
        if host.trial_at == inf or self.now >= host.trial_at:
            host.strikes += 1
            wait = self.aim * TRIAL_WAIT * 2 ** min(host.strikes - 1, MAX_DOUBLINGS)
            host.trial_at = self.now + wait * self.random.uniform(0.5, 1.5)  # copies must not try in step
            # Who sends errors lives: taken for restarted, it would count as cold for seconds.
            host.down_at = min(host.down_at, self.now) if silent else host.down_at

    def _expected(self, host: _Host) -> float:  # by our own few answers and what is still out
        out = [flight for flight in host.pending.values() if not flight.lost]
        if not out and self.now - host.seen_at > host.pace * max(1.0, self.settings.peers_total / 5):
            return 0.0  # long unheard and nothing out there: one may look, and all that do are as few as ever
        oldest = out[0].sent_at if out else self.now
        return max(host.pace * (len(out) + 1), self.now - oldest)  # silence is evidence before any time-out

    def _patience(self, aim: float) -> float:  # near the aim leaves no second try
        return min(aim / 2, sqrt(self.service * aim))

    def _has_room(self, host: _Host, request: _Request, first: bool) -> bool:  # or is warm
        age = self.now - host.cold_at  # by chance, as an even split is under one a copy
        if age >= self.rules.warm_after_ms or (host.granted > 0 and self.now < host.grant_until):
            return True
        part = COLD_SAFETY * self.rules.overload_factor * self.rules.cold_share(age)
        # Where other hosts fail, all that looks further or is tried again would gather at the cold ones.
        return request.chill < part and first and not request.attempts and not host.pending

    def _usable(self, host: _Host, request: _Request, first: bool) -> bool:
        if host.trial_at < inf:
            if self.now < host.trial_at or host.pending:
                return False
            if self.limits.probes:
                # Drawn and due: no more probes than requests, however many hosts are out or copies look on.
                self._eject(host)
                self.out.append(HealthCheck(host.id))
            if self.limits.probes or (request.cls.effect is Effect.UNSAFE and self.mild):
                return False
        expected = self._expected(host)
        # Where answers come this fast, what is out is on its way rather than waiting there.
        most = self.most_out * (2 if expected < self.aim * SWIFT else 1)
        return (
            host.paused_until <= self.now
            and (len(host.pending) < most or host.has_room(most))
            and self._has_room(host, request, first)
            and expected <= self._patience(request.cls.aim_ms)
            and self._legal(request, host)
        )

    def _pick(self, request: _Request) -> _Host | None:
        if self.queue.count and self._has_its_part():
            return None
        levels = self.local, self.wide, self.all
        stops = levels if self.soon < request.cross_at else levels[1:]  # where nothing further is tried
        for level in levels:
            host = self._draw(level, request) if level is self.local or len(level) > len(self.local) else None
            if host or level is first_usable_level(stops, lambda one: one.trial_at == inf):
                return host
        for one in self.all:  # every host looks bad: a fault of our own view is likelier
            one.trial_at = inf
        return self._draw(self.local or self.all, request)

    def _has_its_part(self) -> bool:  # this copy, while any are held and answers take long
        # Guards against copies that fill each host as far as they may: what all of them have waiting there
        # makes it slower, and is late. What is lost, or out at hosts that are out, holds up nobody.
        part = max(1.0, self.came * OUT_FOR / OVER)
        return (
            len(self.flights) >= part
            and self.lately >= self.slow
            and part
            <= sum(
                one.host.trial_at == inf and not one.lost and self.now - one.sent_at < self.aim
                for one in self.flights.values()
            )
        )

    def _draw(self, level: list[_Host], request: _Request) -> _Host | None:  # less busy of two
        tried, found = [attempt.host for attempt in request.attempts], list[_Host]()
        for draw in range(min(DRAWS, len(level))):
            host = level[int(self.random.random() * len(level))]
            if host not in found and host not in tried and self._usable(host, request, draw < 2):
                found.append(host)
                if len(found) == 2:
                    break
        else:
            usable = [host for host in level if self._usable(host, request, False)]
            found = [host for host in usable if host not in tried] or usable or found
        loads = {host: len(host.pending) for host in found}
        # Two were found in random order: ties fall at random.
        return less_busy_of_two(found, loads, self.random if len(found) > 2 else None) if found else None

    def _legal(self, request: _Request, host: _Host | None) -> bool:
        """Whether another attempt at `host`, or a refusal (no host), keeps the rules."""
        cls = request.cls
        risky = [a for a in request.attempts if a.may_have_run]
        if host is None:
            return not risky or cls.repeats_anywhere
        if (
            not host.ready
            or request.streaming
            or self.now >= request.deadline
            or len(request.attempts) >= request.limits.max_attempts
            or (not request.limits.second_copies and any(a.pending for a in request.attempts))
        ):
            return False
        if not risky or cls.effect is not Effect.KEYED or request.long:  # which takes its time
            return not risky or cls.effect is Effect.SAFE
        return all(self.now - a.sent_at < request.window and cls.group.covers(a.host, host) for a in risky)

    def _arrive(self, event: Request) -> None:
        if event.id in self.open or not 0 <= event.cls < len(self.settings.classes):
            return
        request = self.open[event.id] = _Request(event, self.settings, self.random)
        cls = request.cls
        good = self.now + cls.aim_ms + cls.aim_stretch * event.cost_ms
        wait = self.now + cls.deadline_ms if cls.late_share else good  # none where it earns nothing
        request.give_up = min(event.deadline_ms, wait) - 2 * self.settings.tick_ms
        # However slow all hosts seem a new one has its time: else nothing would tell when they no longer are.
        request.hold_until = min(request.give_up, good - min(LAST_CALL * self.service, self.aim / 2))
        # Crossing costs a part of a mean request's worth: what is worth less waits longer for its zone.
        hint = event.cost_ms if self.settings.worth_by_work and 0 < event.cost_ms <= cls.deadline_ms else 0.0
        self.work += ((hint or self.work) - self.work) * SERVICE_MEMORY
        worth = cls.worth * (hint or self.work) / self.work * len(self.settings.classes)
        dear = min(1.0, self.dear / worth) if worth > 0 else 1.0
        request.cross_at = self.now + dear * self._patience(cls.aim_ms)
        if event.repeat and self.lately > self.slow:
            request.hold_until = self.now  # who asks again is late already, and makes those late who are not
        elif not event.repeat:
            self.came = 1.0 + self.came * exp((self.came_at - self.now) / (OVER * self.aim))
            self.came_at = self.now
            if self.now >= self.keep_at:
                self._keep()
        self.extra = min(EXTRA_BURST, self.extra + (EXTRA_SHARE if self.queue.count else self.calm))
        sort = request.kind, self.soon < request.cross_at
        if (self.full or sort in self.stuck) and self.soon < request.hold_until:
            self._hold(request)  # its like wait already: to look for each that comes costs too much
        else:
            self._place(request)

    def _place(self, request: _Request) -> None:  # send it, hold it, or answer it
        host = self._pick(request) if self.soon < request.hold_until else None
        if host is not None:
            self._send(request, host)
        elif self.soon >= request.hold_until or not request.waiting:
            (self._answer if self.soon >= request.hold_until else self._hold)(request)

    def _hold(self, request: _Request) -> None:
        # Newest first among equals: who has waited longest is the likeliest to be late whatever we do.
        self.queue.add(request, self.soon)
        self._look(min((at for at in (request.hold_until, request.cross_at) if at > self.soon), default=inf))

    def _look(self, at: float) -> None:  # at held requests; soon in any case
        at = min(at, self.now + self._patience(self.aim))
        if at < self.look_at:
            self.look_at = at
            self._wake(at)

    def _any_room(self) -> bool:  # else there is no use in drawing for each sort
        patience = self._patience(self.longest)
        return all(host.trial_at < inf for host in self.all) or any(  # all out: they are all given a chance
            self.now >= host.trial_at and not host.pending
            if host.trial_at < inf
            else host.paused_until <= self.now
            and host.has_room(2 * self.most_out)
            and self._expected(host) <= patience
            for host in self.all
        )

    def _dispatch(self) -> None:
        self.stuck = set()
        self.full = False
        if not self.queue.count:
            return
        for request in self.queue.ended(self.soon):
            self._place(request)
        # First goes the class that is worth most for the time that it takes and that it can wait.
        for sort, line in self.queue.lines(
            self.soon, lambda one: -one.cls.worth / (self.took.get(one.kind, one.cls.aim_ms) * one.cls.aim_ms)
        ):
            for request in line:
                self.full = self.full or self._has_its_part() or not self._any_room()
                if self.full:
                    break
                self._place(request)
                if request.waiting and not request.attempts:
                    self.stuck.add(sort)  # where one that may go anywhere finds no host, its like will not
                    break
        if self.look_at == inf:  # else a look is due, and was set with each of them in mind
            self._look(self.queue.next_at(self.soon))

    def _send(self, request: _Request, host: _Host) -> None:
        if not self._legal(request, host):
            return
        self.queue.remove(request)
        key, one = (request.id, len(request.attempts)), _Attempt(host, self.now)
        one.passed = PASSED * request.long  # silence there is its client's
        self.flights[key] = host.pending[key] = one
        host.granted -= 1
        request.attempts.append(one)
        timeout = max(min(request.give_up, request.deadline) - self.now, self.settings.tick_ms)
        self.out.append(Send(request.id, host.id, timeout))
        if self.limits.second_copies and len(request.attempts) == 1:
            self._wake(self.now + self._patience(request.cls.aim_ms), request.id)

    def _reply(self, event: Reply) -> None:
        sent = self.flights.pop((event.id, event.attempt), None)
        if sent is not None:
            host = sent.host
            del host.pending[event.id, event.attempt]
            sent.pending, sent.may_have_run = False, event.outcome not in NEVER_RAN
            self._judge(host, event.outcome, event.latency_ms, sent)
            if event.outcome is Outcome.OK:
                pace = event.latency_ms / sent.share
                if (known := self.open.get(event.id)) is not None and known.kind in self.took:
                    self.took[known.kind] += SERVICE_MEMORY * (pace - self.took[known.kind])
                self.lately += LATELY * (pace - self.lately)
                self.answers += 1  # each of the first answers weighs as much as the guess did
                self.service += max(SERVICE_MEMORY, 1 / (1 + self.answers)) * (pace - self.service)
        self._dispatch()
        if (request := self.open.get(event.id)) is None:
            return
        if event.closed or event.outcome is Outcome.OK:
            self._end(request.id)
        elif not request.waiting and not any(a.pending for a in request.attempts):
            risky = [a for a in request.attempts if a.may_have_run]
            if risky and request.cls.effect is Effect.KEYED:  # behind its window it would be held for nothing
                request.hold_until = min(request.hold_until, risky[0].sent_at + request.window)
            if (
                self.soon >= request.hold_until
                or len(request.attempts) >= request.limits.max_attempts
                or (risky and (request.cls.effect is Effect.UNSAFE or self.extra <= -EXTRA_BURST))
            ):
                self._answer(request)
                return
            self.extra -= bool(risky)
            # Where one is full others are too: tried at once, they would only get connections.
            (self._hold if event.outcome is Outcome.FULL else self._place)(request)

    def _answer(self, request: _Request) -> None:  # refused where that is harmless to retry, failed otherwise
        # To come back once what is out now is answered or given up, after an aim at the latest.
        wait = min(request.cls.aim_ms, self.limits.max_retry_after_ms) if self.limits.retry_after else 0.0
        self.out.append(Refuse(request.id, wait) if self._legal(request, None) else Fail(request.id))
        self._end(request.id)

    def _end(self, number: int, stream: int = -1) -> None:
        if (request := self.open.get(number)) is None:
            return
        self.queue.remove(request)
        request.streaming = stream >= 0
        if not request.streaming:
            del self.open[number]
        for attempt, one in enumerate(request.attempts):
            if attempt == stream:
                one.passed = PASSED  # from its first bytes on it takes its client's time
            elif one.pending and self.limits.cancel:
                self.out.append(Cancel(number, attempt))

    def _hedge(self, number: int) -> None:  # a second copy, once the first is later than a host may be
        request = self.open.get(number)
        # While others are held there is no room to spare for second copies.
        if request is None or self.queue.count or self.extra < 1 or len(request.attempts) != 1:
            return
        host = None if request.cls.effect is Effect.UNSAFE else self._pick(request)
        if host is not None and host is not request.attempts[0].host:
            self.extra -= 1
            self._send(request, host)
