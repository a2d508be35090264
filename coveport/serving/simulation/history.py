"""A day's book, indexed for the judge: tries, what nodes did with them, versions, troubles. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from coveport.serving.settings.boot import Bounds
from coveport.serving.simulation.events import (
    Book,
    NodeStarted,
    Order,
    OrderEnded,
    OrderSent,
    ProxyStarted,
    RequestArrived,
    RequestFinished,
    RequestRan,
    RequestTurnedAway,
    RoutePlace,
    TroubleBegan,
    TroubleEnded,
    TryEnded,
    TrySent,
    Verdict,
)

WRONG_NODE = 421


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken."""

    rule: str
    at_s: float
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at_s:.3f} s: {self.text}"


@dataclass(frozen=True, slots=True)
class Version:
    """One configuration that was sent."""

    sent: OrderSent
    verdict: Verdict
    ended_s: float

    @property
    def edition(self) -> int:
        """Its number."""
        return self.sent.edition

    @property
    def may_be_in_force(self) -> bool:
        """Whether it was taken, or may have been."""
        return self.sent.valid and self.verdict is not Verdict.REFUSED

    def route(self, host: str, target: str) -> RoutePlace | None:
        """The route that a request has in it."""
        path = target.partition("?")[0]
        fits = [one for one in self.sent.routes if one.host == host and path.startswith(one.path_prefix)]
        return max(fits, key=lambda one: len(one.path_prefix), default=None)


@dataclass(frozen=True, slots=True)
class Span:
    """When a trouble was, and whom it touched."""

    began: TroubleBegan
    until_s: float


@dataclass(slots=True)
class Case:
    """What the judge looks at."""

    book: Book
    bounds: Bounds
    core_size: int
    tries: dict[str, TrySent] = field(default_factory=dict)
    ended: dict[str, TryEnded] = field(default_factory=dict)
    nodes: dict[str, NodeStarted] = field(default_factory=dict)  # by incarnation
    arrivals: list[RequestArrived] = field(default_factory=list)
    ran: dict[str, list[RequestRan]] = field(default_factory=lambda: defaultdict(list))  # by try
    arrived: dict[str, list[RequestArrived]] = field(default_factory=lambda: defaultdict(list))  # by try
    finished: dict[str, list[RequestFinished]] = field(default_factory=lambda: defaultdict(list))  # by try
    turned_away: dict[tuple[str, str], list[RequestTurnedAway]] = field(
        default_factory=lambda: defaultdict(list)
    )  # by try and incarnation
    versions: list[Version] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    machines: dict[str, str] = field(default_factory=dict)  # of proxies, by address
    lives: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )  # starts by proxy address

    @classmethod
    def of(cls, book: Book, bounds: Bounds, core_size: int) -> Case:
        """Index a book."""
        case = cls(book, bounds, core_size)
        case._index_tries()
        case._index_nodes()
        case._index_control()
        return case

    def _index_tries(self) -> None:
        self.tries = {line.try_id: line for line in self.book.of(TrySent)}
        self.ended = {line.try_id: line for line in self.book.of(TryEnded)}

    def _index_nodes(self) -> None:
        self.nodes = {line.incarnation: line for line in self.book.of(NodeStarted)}
        self.arrivals = self.book.of(RequestArrived)
        for arrival in self.arrivals:
            self.arrived[arrival.try_id].append(arrival)
        for ran in self.book.of(RequestRan):
            self.ran[ran.try_id].append(ran)
        for finished in self.book.of(RequestFinished):
            self.finished[finished.try_id].append(finished)
        for away in self.book.of(RequestTurnedAway):
            self.turned_away[away.try_id, away.incarnation].append(away)

    def _index_control(self) -> None:
        ends = {line.number: line for line in self.book.of(OrderEnded)}
        for sent in self.book.of(OrderSent):
            if sent.order in (Order.PUT, Order.PATCH):
                end = ends.get(sent.number)
                verdict = Verdict.UNCLEAR if end is None else end.verdict
                self.versions.append(Version(sent, verdict, inf if end is None else end.at_s))
        over = {line.number: line.at_s for line in self.book.of(TroubleEnded)}
        self.spans = [Span(line, over.get(line.number, inf)) for line in self.book.of(TroubleBegan)]
        for proxy in self.book.of(ProxyStarted):
            self.machines[proxy.address] = proxy.machine
            self.lives[proxy.address].append(proxy.at_s)

    # What rules ask.

    def passed_on(self) -> Iterable[RequestArrived]:
        """Arrivals but those that a node refused as not meant for it."""
        for arrival in self.arrivals:
            away = self.turned_away.get((arrival.try_id, arrival.incarnation), [])
            if not any(one.status == WRONG_NODE and one.at_s == arrival.at_s for one in away):
                yield arrival

    def route_in_any(self, host: str, target: str) -> RoutePlace | None:
        """The newest route that a request ever had."""
        found = (version.route(host, target) for version in reversed(self.versions))
        return next((route for route in found if route is not None), None)

    def is_idempotent(self, sent: TrySent) -> bool:
        """Whether a request may run more than once, by every version that has a route for it."""
        routes = [version.route(sent.host, sent.target) for version in self.versions]
        return all(route.idempotent for route in routes if route is not None)

    def in_touch(self, machine: str, at_s: float) -> bool:
        """Whether nothing was done to a machine or to the core in the time before that."""
        margin_s = self.bounds.in_touch_ms / 1000
        return not any(
            span.began.at_s <= at_s <= span.until_s + margin_s
            and (span.began.core or machine in span.began.machines)
            for span in self.spans
        )

    def proxy_in_touch(self, try_id: str, at_s: float) -> bool:
        """Whether the proxy that a try was sent to was in touch then."""
        sent = self.tries.get(try_id)
        return sent is not None and self.in_touch(self.machines.get(sent.proxy, sent.proxy), at_s)

    def allowance_s(self, try_id: str, at_s: float) -> float | None:
        """By how much the bounds of configuration and evacuation are wider for a try's proxy; None: no bound.

        An unstable core widens them as long as over half of it has been running, connected and not slowed.
        """
        if self.proxy_in_touch(try_id, at_s):
            return 0.0
        sent = self.tries.get(try_id)
        if sent is None:
            return None
        margin_s = (self.bounds.in_touch_ms + self.bounds.stretch_ms) / 1000
        spans = [one for one in self.spans if one.began.at_s <= at_s <= one.until_s + margin_s]
        machine = self.machines.get(sent.proxy, sent.proxy)
        if any(machine in one.began.machines for one in spans):
            return None
        lost = {name for one in spans for name in one.began.core_machines}
        return self.bounds.stretch_ms / 1000 if 2 * (self.core_size - len(lost)) > self.core_size else None

    def was_calm(self, from_s: float, until_s: float) -> bool:
        """Whether there was no unplanned trouble anywhere in a time, nor shortly before."""
        margin_s = self.bounds.in_touch_ms / 1000
        return not any(
            span.began.at_s <= until_s and from_s <= span.until_s + margin_s
            for span in self.spans
            if not span.began.planned
        )
