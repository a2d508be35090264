"""The rules on configurations, draining, evacuations, warm-ups and retry budgets. Pure."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from coveport.serving.simulation.events import (
    AttemptStarted,
    HeartbeatAnswered,
    Order,
    OrderEnded,
    OrderStarted,
    RequestArrived,
    Verdict,
    WarmUpBegan,
)
from coveport.serving.simulation.history import Breach, History, Version

DENIALS = frozenset({401, 403, 404})
FAULT_SLACK_FACTOR = 8  # applies to the slack on reverting while the proxy has a fault


def drain(history: History) -> Iterator[Breach]:
    """Report each request that reached a node too long after its shutdown was acknowledged."""
    acknowledged_s: dict[str, float] = {}
    for entry in history.event_log.of(HeartbeatAnswered):
        if entry.state != "accepting":
            acknowledged_s.setdefault(entry.incarnation, entry.at_s)
    bound_s = history.bounds.drain_ms / 1000
    for arrival in history.passed_on():
        late_s = arrival.at_s - acknowledged_s.get(arrival.incarnation, inf) - bound_s
        if late_s > 0 and history.proxy_in_touch(arrival.attempt_id, arrival.at_s):
            yield Breach("DRAIN", arrival.at_s, f"node {arrival.incarnation}, {late_s:.3f} s too late")


def evacuation(history: History) -> Iterator[Breach]:
    """Report each request that reached a zone too long after its evacuation was acknowledged."""
    ends = {entry.number: entry for entry in history.event_log.of(OrderEnded)}
    orders = history.event_log.of(OrderStarted)
    for order in orders:
        end = ends.get(order.number)
        if order.order is not Order.EVACUATE or end is None or end.verdict is not Verdict.ACKNOWLEDGED:
            continue
        taken_back = (
            later.at_s
            for later in orders
            if later.order is Order.TAKE_BACK and later.zone == order.zone and later.at_s >= order.at_s
        )
        yield from _arrivals_in_zone(
            history, order.zone, end.at_s + history.bounds.evacuate_ms / 1000, min(taken_back, default=inf)
        )


def _arrivals_in_zone(history: History, zone: str, from_s: float, until_s: float) -> Iterator[Breach]:
    for arrival in history.passed_on():
        if not from_s < arrival.at_s < until_s or history.nodes[arrival.incarnation].zone != zone:
            continue
        allowance_s = history.allowance_s(arrival.attempt_id, arrival.at_s)
        if allowance_s is not None and from_s + allowance_s < arrival.at_s:
            yield Breach("EVAC", arrival.at_s, f"node {arrival.incarnation} in zone {zone}")


def failback(history: History) -> Iterator[Breach]:
    """Report each warm-up in which a node received more requests within one second than its limit."""
    by_node: dict[str, list[RequestArrived]] = defaultdict(list)
    for arrival in history.passed_on():
        by_node[arrival.incarnation].append(arrival)
    for warm_up in history.event_log.of(WarmUpBegan):
        most = warm_up.rate * history.bounds.warm_up_overshoot + history.bounds.warm_up_slack
        times = [
            arrival.at_s
            for arrival in by_node[warm_up.incarnation]
            if warm_up.at_s <= arrival.at_s < warm_up.until_s
        ]
        for at, when in enumerate(times):
            count = at + 1 - bisect_right(times, when - 1.0)
            if warm_up.rate and count > most:
                text = f"node {warm_up.incarnation} got {count} requests in a second, {most:.1f} may be"
                yield Breach("FAILBACK", when, text)
                break


def budget(history: History) -> Iterator[Breach]:
    """Report each service whose retried requests exceeded the shared retry budget in a window."""
    requested: dict[str, list[float]] = defaultdict(list)
    for started in history.attempts.values():
        route = history.route_in_any(started.host, started.target)
        for service in route.services if route is not None else ():
            requested[service].append(started.at_s)
    repeated: dict[str, list[float]] = defaultdict(list)
    seen: set[str] = set()
    for arrival in sorted(history.passed_on(), key=lambda arrival: arrival.at_s):
        if arrival.attempt_id in seen:
            repeated[history.nodes[arrival.incarnation].service].append(arrival.at_s)
        seen.add(arrival.attempt_id)
    for service, times in repeated.items():
        yield from _over_budget(history, service, sorted(requested[service]), times)


def _over_budget(
    history: History, service: str, requested: list[float], times: list[float]
) -> Iterator[Breach]:
    window_s = history.bounds.retry_window_s
    for at, end_s in enumerate(times):
        begin_s = end_s - window_s
        count = at + 1 - bisect_right(times, begin_s)
        windows = (
            (begin_s, end_s),
            (begin_s - window_s, begin_s),
            (begin_s - window_s / 2, end_s - window_s / 2),
        )
        requests = max(bisect_right(requested, end) - bisect_left(requested, begin) for begin, end in windows)
        most = history.bounds.retry_ratio * requests + history.bounds.retry_slack
        if count > most:
            text = f"service {service}: {count} second arrivals in {window_s:.0f} s, {most:.1f} may be"
            yield Breach("BUDGET", end_s, text)
            return


def configuration(history: History) -> Iterator[Breach]:
    """Report configurations that were wrongly applied, acknowledged, reverted or read back."""
    yield from _acknowledged(history)
    yield from _applied(history)
    yield from _reverted(history)
    yield from _read_back(history)


def _acknowledged(history: History) -> Iterator[Breach]:
    accepted: dict[int, Version] = {}
    for version in history.versions:
        if version.verdict is not Verdict.ACKNOWLEDGED:
            continue
        if not version.started.valid:
            yield Breach("CONFIG", version.ended_s, f"invalid edition {version.edition} was acknowledged")
            continue
        first = accepted.setdefault(version.started.based_on, version)
        if first.started.digest != version.started.digest:
            editions = f"editions {first.edition} and {version.edition}"
            text = f"{editions}, both on {version.started.based_on}, were taken"
            yield Breach("CONFIG", version.ended_s, text)


@dataclass(frozen=True, slots=True)
class _Handling:
    """The observed effect of an attempt, which shows the version that was in force."""

    started: AttemptStarted
    services: frozenset[str]  # services that ran the attempt
    denied_with: int  # status of a denial for lack of a route or of a tenant with the key; 0: no denial
    seen_s: float  # when the effect was observed

    def fits(self, version: Version) -> bool:
        """Return whether a version allows the effect."""
        route = version.route(self.started.host, self.started.target)
        if route is None or not version.admits(self.started):
            return not self.services
        return not self.denied_with and self.services <= route.services


def _handlings(history: History) -> Iterator[_Handling]:
    for attempt_id, started in history.attempts.items():
        ended = history.ended.get(attempt_id)
        runs = history.ran.get(attempt_id, [])
        services = frozenset(history.nodes[ran.incarnation].service for ran in runs)
        denied_with = ended.status if ended is not None and ended.status in DENIALS and not runs else 0
        if services or denied_with:
            seen_s = runs[0].at_s if runs else ended.at_s if ended is not None else started.at_s
            yield _Handling(started, services, denied_with, seen_s)


def _applied(history: History) -> Iterator[Breach]:
    for handling in _handlings(history):
        started = handling.started
        allowance_s = history.allowance_s(started.attempt_id, started.at_s)
        fault = _applied_version_fault(history, handling, allowance_s)
        if fault is not None:
            yield Breach("CONFIG", handling.seen_s, f"try {started.attempt_id} {fault}")


def _applied_version_fault(history: History, handling: _Handling, allowance_s: float | None) -> str | None:
    possible = [
        version
        for version in history.versions
        if version.may_be_in_force and version.started.at_s <= handling.seen_s
    ]
    newest = 0  # newest edition that must be in force; an effect of an older one is a breach
    if allowance_s is not None:
        bound_s = history.bounds.config_apply_ms / 1000 + allowance_s
        newest = history.newest_acknowledged(handling.started.at_s - bound_s)
    if any(handling.fits(version) for version in possible if version.edition >= newest):
        return None
    if any(handling.fits(version) for version in possible):
        return f"was handled as before edition {newest}"
    never = [version for version in history.versions if not version.may_be_in_force]
    if handling.services and any(handling.fits(version) for version in never):
        return "was handled as only a refused configuration allows"
    if handling.denied_with and newest:
        return f"got {handling.denied_with} though its route and its key are there"
    return None


def _reverted(history: History) -> Iterator[Breach]:
    """Report each proxy that reverted to an older version within one incarnation."""
    possible = [version for version in history.versions if version.may_be_in_force]
    seen: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(
        list
    )  # effects: time, least fitting edition
    handlings = sorted(_handlings(history), key=lambda handling: handling.seen_s)
    fitting = [
        (handling, [version.edition for version in possible if handling.fits(version)])
        for handling in handlings
    ]
    for handling, editions in fitting:
        if editions:
            seen[_incarnation(history, handling)].append((handling.seen_s, min(editions)))
    for handling, editions in fitting:
        if not editions:
            continue
        started = handling.started
        slack_s = history.bounds.revert_slack_ms / 1000
        if not history.proxy_in_touch(started.attempt_id, started.at_s):
            slack_s *= FAULT_SLACK_FACTOR
        before = [
            edition
            for when, edition in seen[_incarnation(history, handling)]
            if when + slack_s < started.at_s
        ]
        if max(before, default=0) > max(editions):
            text = f"{started.proxy} went back from edition {max(before)} to {max(editions)}"
            yield Breach("CONFIG", handling.seen_s, text)


def _incarnation(history: History, handling: _Handling) -> tuple[str, int]:
    starts = history.starts_by_proxy.get(handling.started.proxy, [])
    return handling.started.proxy, bisect_right(starts, handling.started.at_s)


def _read_back(history: History) -> Iterator[Breach]:
    """Report a last read that failed, or returned an outdated version or a document that was never sent."""
    ends = {entry.number: entry for entry in history.event_log.of(OrderEnded)}
    reads = [
        (order, ends.get(order.number))
        for order in history.event_log.of(OrderStarted)
        if order.order is Order.READ
    ]
    if not reads:
        return
    started, end = reads[-1]
    newest = history.newest_acknowledged(started.at_s)
    if end is None or end.verdict is not Verdict.ACKNOWLEDGED or not end.edition:
        if newest:
            yield Breach("CONFIG", started.at_s, "the configuration could not be read back")
        return
    if end.edition < newest:
        yield Breach("CONFIG", end.at_s, f"edition {end.edition} was read back, {newest} was acknowledged")
    digests = {
        version.started.digest
        for version in history.versions
        if version.edition == end.edition and version.may_be_in_force
    }
    if end.digest not in digests:
        yield Breach("CONFIG", end.at_s, f"what was read back is not what was sent as edition {end.edition}")
