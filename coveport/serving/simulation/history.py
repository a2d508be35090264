"""Indexes a day's event log for the judge: attempts, arrivals, runs, versions, faults. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from coveport.serving.settings.boot import Bounds
from coveport.serving.simulation.events import (
    AttemptEnded,
    AttemptStarted,
    EventLog,
    FaultBegan,
    FaultEnded,
    JudgedRoute,
    JudgedTenant,
    NodeStarted,
    Order,
    OrderEnded,
    OrderStarted,
    ProxyStarted,
    RequestArrived,
    RequestFinished,
    RequestRan,
    RequestRejected,
    Verdict,
)

MISDIRECTED_REQUEST = 421


@dataclass(frozen=True, slots=True)
class Breach:
    """A violation of a rule."""

    rule: str
    at_s: float
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at_s:.3f} s: {self.text}"


@dataclass(frozen=True, slots=True)
class Version:
    """A configuration that was sent, with its outcome."""

    started: OrderStarted
    verdict: Verdict
    ended_s: float

    @property
    def edition(self) -> int:
        """Return the edition number."""
        return self.started.edition

    @property
    def may_be_in_force(self) -> bool:
        """Return whether the version was accepted, or may have been."""
        return self.started.valid and self.verdict is not Verdict.REFUSED

    def route(self, host: str, target: str) -> JudgedRoute | None:
        """Return the route of a request in this version, by the longest matching prefix."""
        path = target.partition("?")[0]
        matching_routes = [
            route
            for route in self.started.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        return max(matching_routes, key=lambda route: len(route.path_prefix), default=None)

    def tenant(self, api_key: str) -> JudgedTenant | None:
        """Return the tenant that holds a key in this version."""
        holders = (tenant for tenant in self.started.tenants or () if api_key in tenant.api_keys)
        return next(holders, None)

    def admits(self, attempt: AttemptStarted) -> bool:
        """Return whether this version authorizes a request by its API key, or needs no key for it."""
        if self.started.tenants is None or self.tenant(attempt.api_key) is not None:
            return True
        route = self.route(attempt.host, attempt.target)
        return route is not None and route.public and not attempt.api_key

    def allows(self, attempt: AttemptStarted) -> bool:
        """Return whether a request has a route in this version and is authorized for it."""
        return self.route(attempt.host, attempt.target) is not None and self.admits(attempt)


@dataclass(frozen=True, slots=True)
class Span:
    """The duration of a fault, and the machines it affected."""

    began: FaultBegan
    until_s: float


@dataclass(slots=True)
class History:
    """The indexed event log of a day."""

    event_log: EventLog
    bounds: Bounds
    core_size: int
    attempts: dict[str, AttemptStarted] = field(default_factory=dict)  # by attempt id
    ended: dict[str, AttemptEnded] = field(default_factory=dict)  # by attempt
    nodes: dict[str, NodeStarted] = field(default_factory=dict)  # by incarnation
    arrivals: list[RequestArrived] = field(default_factory=list)
    ran: dict[str, list[RequestRan]] = field(default_factory=lambda: defaultdict(list))  # by attempt
    arrived: dict[str, list[RequestArrived]] = field(default_factory=lambda: defaultdict(list))  # by attempt
    finished: dict[str, list[RequestFinished]] = field(
        default_factory=lambda: defaultdict(list)
    )  # by attempt
    rejections: dict[tuple[str, str], list[RequestRejected]] = field(
        default_factory=lambda: defaultdict(list)
    )  # by attempt and incarnation
    versions: list[Version] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    machines: dict[str, str] = field(default_factory=dict)  # machine names of proxies, by address
    starts_by_proxy: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )  # start times in seconds, by address of the proxy

    @classmethod
    def of(cls, event_log: EventLog, bounds: Bounds, core_size: int) -> History:
        """Index an event log."""
        history = cls(event_log, bounds, core_size)
        history._index_attempts()
        history._index_nodes()
        history._index_control()
        return history

    def _index_attempts(self) -> None:
        self.attempts = {entry.attempt_id: entry for entry in self.event_log.of(AttemptStarted)}
        self.ended = {entry.attempt_id: entry for entry in self.event_log.of(AttemptEnded)}

    def _index_nodes(self) -> None:
        self.nodes = {entry.incarnation: entry for entry in self.event_log.of(NodeStarted)}
        self.arrivals = self.event_log.of(RequestArrived)
        for arrival in self.arrivals:
            self.arrived[arrival.attempt_id].append(arrival)
        for ran in self.event_log.of(RequestRan):
            self.ran[ran.attempt_id].append(ran)
        for finished in self.event_log.of(RequestFinished):
            self.finished[finished.attempt_id].append(finished)
        for rejected in self.event_log.of(RequestRejected):
            self.rejections[rejected.attempt_id, rejected.incarnation].append(rejected)

    def _index_control(self) -> None:
        ends = {entry.number: entry for entry in self.event_log.of(OrderEnded)}
        for started in self.event_log.of(OrderStarted):
            if started.order in (Order.PUT, Order.PATCH):
                end = ends.get(started.number)
                verdict = Verdict.UNCLEAR if end is None else end.verdict
                self.versions.append(Version(started, verdict, inf if end is None else end.at_s))
        fault_ends = {entry.number: entry.at_s for entry in self.event_log.of(FaultEnded)}
        self.spans = [
            Span(entry, fault_ends.get(entry.number, inf)) for entry in self.event_log.of(FaultBegan)
        ]
        for proxy in self.event_log.of(ProxyStarted):
            self.machines[proxy.address] = proxy.machine
            self.starts_by_proxy[proxy.address].append(proxy.at_s)

    # Queries that the rules make.

    def newest_acknowledged(self, at_s: float) -> int:
        """Return the newest edition that was acknowledged by a time; 0: none."""
        editions = (
            version.edition
            for version in self.versions
            if version.verdict is Verdict.ACKNOWLEDGED and version.started.valid and version.ended_s <= at_s
        )
        return max(editions, default=0)

    def passed_on(self) -> Iterable[RequestArrived]:
        """Return arrivals without those that a node rejected as misdirected (421)."""
        for arrival in self.arrivals:
            rejections = self.rejections.get((arrival.attempt_id, arrival.incarnation), [])
            if not any(
                rejection.status == MISDIRECTED_REQUEST and rejection.at_s == arrival.at_s
                for rejection in rejections
            ):
                yield arrival

    def route_in_any(self, host: str, target: str) -> JudgedRoute | None:
        """Return the route of a request in the newest version that has one."""
        routes = (version.route(host, target) for version in reversed(self.versions))
        return next((route for route in routes if route is not None), None)

    def is_idempotent(self, started: AttemptStarted) -> bool:
        """Return whether a request is idempotent in every version that has a route for it."""
        routes = [version.route(started.host, started.target) for version in self.versions]
        return all(route.idempotent for route in routes if route is not None)

    def in_touch(self, machine: str, at_s: float) -> bool:
        """Return whether neither a machine nor the core had a fault shortly before a time."""
        margin_s = self.bounds.in_touch_ms / 1000
        return not any(
            span.began.at_s <= at_s <= span.until_s + margin_s
            and (span.began.core or machine in span.began.machines)
            for span in self.spans
        )

    def proxy_in_touch(self, attempt_id: str, at_s: float) -> bool:
        """Return whether the proxy of an attempt was in touch at a time."""
        started = self.attempts.get(attempt_id)
        return started is not None and self.in_touch(self.machines.get(started.proxy, started.proxy), at_s)

    def allowance_s(self, attempt_id: str, at_s: float) -> float | None:
        """Return by how many seconds the limits on updates widen for an attempt's proxy; None: no limit.

        An unstable core widens the limits while over half its machines run, connected and not slowed.
        """
        if self.proxy_in_touch(attempt_id, at_s):
            return 0.0
        started = self.attempts.get(attempt_id)
        if started is None:
            return None
        margin_s = (self.bounds.in_touch_ms + self.bounds.stretch_ms) / 1000
        spans = [span for span in self.spans if span.began.at_s <= at_s <= span.until_s + margin_s]
        machine = self.machines.get(started.proxy, started.proxy)
        if any(machine in span.began.machines for span in spans):
            return None
        lost_machines = {name for span in spans for name in span.began.core_machines}
        return (
            self.bounds.stretch_ms / 1000
            if 2 * (self.core_size - len(lost_machines)) > self.core_size
            else None
        )

    def was_calm(self, from_s: float, until_s: float) -> bool:
        """Return whether there was no unplanned fault anywhere in a period, nor shortly before."""
        margin_s = self.bounds.in_touch_ms / 1000
        return not any(
            span.began.at_s <= until_s and from_s <= span.until_s + margin_s
            for span in self.spans
            if not span.began.planned
        )
