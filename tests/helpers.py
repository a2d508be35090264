"""A driver for the module: keeps books on what it does, checks the rules after every step."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from coveport import balancing
from coveport.balancing import Balancer

SAFE = balancing.RequestClass(
    name="read", aim_ms=1000, deadline_ms=3000, worth=1, effect=balancing.Effect.SAFE
)
KEYED = balancing.RequestClass(
    name="put",
    aim_ms=1000,
    deadline_ms=3000,
    worth=4,
    effect=balancing.Effect.KEYED,
    group=balancing.DeduplicationScope.ZONE,
    window_ms=2000,
)
# A window on an unsafe class means nothing; sites do state one.
UNSAFE = balancing.RequestClass(name="pay", aim_ms=1000, deadline_ms=3000, worth=8, window_ms=5000)


def settings(
    *classes: balancing.RequestClass,
    must_ask: bool = False,
    peers: int = 2,
    second_copies: bool = True,
    probes: bool = False,
    max_attempts: int = 4,
    **rules: float,
) -> balancing.Settings:
    return balancing.Settings(
        classes=classes or (SAFE, KEYED, UNSAFE),
        peers_total=peers,
        must_ask=must_ask,
        tick_ms=5,
        limits=balancing.Limits(
            max_attempts=max_attempts, second_copies=second_copies, cancel=True, probes=probes
        ),
        rules=balancing.Rules(
            **{
                "answer_slack_ms": 20,
                "drain_grace_ms": 500,
                "cold_from": 0.2,
                "warm_after_ms": 10_000,
                "overload_factor": 2.0,
                "fall_ms": 1000,
                **rules,
            }
        ),
    )


def hosts(local: int = 3, remote: int = 3, started: float = 0.0) -> tuple[balancing.Endpoint, ...]:
    return tuple(
        balancing.Endpoint(100 + i, 0 if i < local else 1, i // 2, started_ms=started)
        for i in range(local + remote)
    )


@dataclass
class Sent:
    id: int
    attempt: int
    host: int
    at: float
    timeout: float


@dataclass
class Driver:
    """Feeds one Balancer and holds what is out."""

    config: balancing.Settings
    entries: tuple[balancing.Endpoint, ...] = field(default_factory=hosts)
    seed: int = 7
    now: float = 100_000.0

    def __post_init__(self) -> None:
        self.balancer = Balancer(self.config, self.seed)
        self.flying: dict[tuple[int, int], Sent] = {}
        self.log: list[Sent] = []
        self.answers: dict[int, balancing.Action | str] = {}
        self.answered_at: dict[int, float] = {}
        self.history: dict[int, list[tuple[Sent, balancing.Outcome | None]]] = {}
        self.requests: dict[int, balancing.Request] = {}
        self.told_not_ready: dict[int, float] = {}
        self.timers: list[tuple[float, int]] = []
        self.other: list[balancing.Action] = []
        self.next_id = self.extra = 0
        self.started = {entry.host: entry.started_ms for entry in self.entries}
        self.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, self.entries))

    def zone(self, host: int) -> int:
        return next(e.zone for e in self.entries if e.host == host)

    def cell(self, host: int) -> int:
        return next(e.cell for e in self.entries if e.host == host)

    def feed(self, event: balancing.Event) -> list[balancing.Action]:
        if isinstance(event, balancing.EndpointUpdate):
            for entry in event.entries:
                self.started[entry.host] = max(self.started.get(entry.host, 0.0), entry.started_ms)
                if entry.state is balancing.EndpointState.GONE:
                    self.started.pop(entry.host)
                if entry.state is balancing.EndpointState.READY:
                    self.told_not_ready.pop(entry.host, None)
                else:
                    self.told_not_ready.setdefault(entry.host, self.now)
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, balancing.Send):
                self._sent(action)
            elif isinstance(action, balancing.Fail | balancing.Refuse):
                self._answered(action)
            elif isinstance(action, balancing.SetTimer):
                self.timers.append((self.now + max(action.delay_ms, 1.0), action.token))
            else:
                self.other.append(action)
        return actions

    def _sent(self, action: balancing.Send) -> None:
        request = self.requests[action.id]
        cls = self.config.classes[request.cls]
        assert action.id not in self.answers, "sent after the final answer"
        earlier = self.history.setdefault(action.id, [])
        assert len(earlier) < self.config.limits.max_attempts
        assert action.host not in self.told_not_ready, "sent to a host that drains or is gone"
        self._cold(action)
        self._modest(action, earlier)
        risky = [s for s, o in earlier if o not in balancing.NEVER_RAN]
        if not self.config.limits.second_copies:
            assert all(o is not None for _, o in earlier), "a second copy where none is allowed"
        if cls.effect is balancing.Effect.UNSAFE:
            assert not risky, "an unsafe request may run twice"
        if cls.effect is balancing.Effect.KEYED:
            for one in risky:
                assert self.now - one.at <= cls.window_ms, "outside the window"
                if cls.group is balancing.DeduplicationScope.ZONE:
                    assert self.zone(one.host) == self.zone(action.host), "outside the group"
                if cls.group is balancing.DeduplicationScope.CELL:
                    assert self.cell(one.host) == self.cell(action.host), "outside the group"
        sent = Sent(action.id, len(earlier), action.host, self.now, action.timeout_ms)
        earlier.append((sent, None))
        self.flying[action.id, sent.attempt] = sent
        self.log.append(sent)

    def _modest(self, action: balancing.Send, earlier: list[tuple[Sent, balancing.Outcome | None]]) -> None:
        """Budgets of time and of extra attempts, which hold whatever comes."""
        tick, left = self.config.tick_ms, self.requests[action.id].deadline_ms - self.now
        assert tick <= action.timeout_ms <= max(tick, left - 2 * tick), "no time is left for the answer's way"
        self.extra += any(outcome not in balancing.NEVER_RAN for _, outcome in earlier)
        assert self.extra <= 3 + 0.1 * len(self.requests), "more than one extra attempt in ten requests"

    def _cold(self, action: balancing.Send) -> None:
        """A cold host is sent no larger part of the requests than its budget is of its full capacity."""
        rules, started = self.config.rules, self.started[action.host]
        if started > 0 and self.now - started < rules.warm_after_ms and action.id in self.balancer.requests:
            part = rules.cold_from + (1 - rules.cold_from) * (self.now - started) / rules.warm_after_ms
            assert self.balancer.requests[action.id].slow_start_draw < rules.overload_factor * part, (
                "cold host pushed over"
            )

    def _answered(self, action: balancing.Fail | balancing.Refuse) -> None:
        assert action.id not in self.answers, "answered twice"
        cls = self.config.classes[self.requests[action.id].cls]
        risky = [s for s, o in self.history.get(action.id, []) if o not in balancing.NEVER_RAN]
        if isinstance(action, balancing.Refuse) and risky:
            assert cls.effect is balancing.Effect.SAFE or (
                cls.effect is balancing.Effect.KEYED and cls.group is balancing.DeduplicationScope.ALL
            ), "refused, may have run"
        self.answers[action.id] = action
        self.answered_at[action.id] = self.now

    def request(self, cls: int = 0, deadline: float = 3000.0, cost: float = 0.0, repeat: bool = False) -> int:
        self.next_id += 1
        event = balancing.Request(self.next_id, self.now + deadline, cls, cost_ms=cost, repeat=repeat)
        self.requests[event.id] = event
        self.feed(event)
        return event.id

    def reply(
        self,
        sent: Sent,
        outcome: balancing.Outcome = balancing.Outcome.OK,
        closed: bool | None = None,
        load: tuple[float, ...] = (),
    ) -> list[balancing.Action]:
        del self.flying[sent.id, sent.attempt]
        self.history[sent.id][sent.attempt] = (sent, outcome)
        over = sent.id in self.answers
        if outcome is balancing.Outcome.OK and not over:
            self.answers[sent.id] = "served"
            self.answered_at[sent.id] = self.now
            over = True
        return self.feed(
            balancing.Reply(
                sent.id,
                sent.attempt,
                sent.host,
                outcome,
                self.now - sent.at,
                over if closed is None else closed,
                load,
            )
        )

    def end(self, sent: Sent, took: float, outcome: balancing.Outcome = balancing.Outcome.OK) -> None:
        """An attempt ends now and is said to have taken so long."""
        sent.at = self.now - took
        self.reply(sent, outcome)

    def warm(self, took: float, answers: int = 80, apart: float = 0.0) -> None:
        """So many answers, one after the other, each after `took`; saves up for extra attempts as well."""
        for _ in range(answers):
            self.now += apart
            self.end(self.history[self.request()][0][0], took)
        self.now += 1

    def of(self, request: int) -> list[Sent]:
        return [sent for sent in self.log if sent.id == request]

    def advance(self, ms: float, tick: float = 5.0) -> None:
        """Let time pass: timers fire and attempts whose time is up end in time-outs."""
        end = self.now + ms
        while self.now < end:
            # Ticks at which nothing is due are passed over.
            due_at = min(
                [at for at, _ in self.timers]
                + [
                    min(one.at + one.timeout, self.requests[one.id].deadline_ms)
                    for one in self.flying.values()
                ],
                default=end,
            )
            self.now = min(end, self.now + tick * max(1, math.ceil((due_at - self.now) / tick)))
            for sent in list(self.flying.values()):
                limit = min(sent.at + sent.timeout, self.requests[sent.id].deadline_ms)
                if self.now >= limit and (sent.id, sent.attempt) in self.flying:
                    self.reply(sent, balancing.Outcome.TIMEOUT)
            due = [t for t in self.timers if t[0] <= self.now]
            self.timers = [t for t in self.timers if t[0] > self.now]
            for _, token in due:
                self.feed(balancing.TimerFired(token))

    def serve(
        self, requests: int, took: float = 50.0, gap: float = 20.0, cls: int = 0, but: Iterable[int] = ()
    ) -> None:
        """A calm stretch: each request is answered after `took`, except at the hosts in `but`."""
        for _ in range(requests):
            self.request(cls)
            self.advance(gap)
            for sent in list(self.flying.values()):
                if self.now - sent.at >= took and sent.host not in but:
                    self.reply(sent)

    def check_all_answered(self) -> None:
        for request in self.requests.values():
            assert request.id in self.answers, f"request {request.id} was never answered"
            late = self.answered_at[request.id] - request.deadline_ms
            assert late <= self.config.rules.answer_slack_ms, (late, request, self.history.get(request.id))
