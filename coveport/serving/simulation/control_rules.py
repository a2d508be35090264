"""The rules on configurations, draining, evacuations and budgets. Pure."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from coveport.serving.simulation.events import (
    HeartbeatAnswered,
    NodeCold,
    Order,
    OrderEnded,
    OrderSent,
    RequestArrived,
    TrySent,
    Verdict,
)
from coveport.serving.simulation.history import Breach, Case, Version

SLOWED_TIMES = 8  # the bound on going back is so many times as long on a machine in trouble


def drain(case: Case) -> Iterator[Breach]:
    """A request reached a node too long after its leaving was acknowledged."""
    heard: dict[str, float] = {}
    for line in case.book.of(HeartbeatAnswered):
        if line.state != "accepting":
            heard.setdefault(line.incarnation, line.at_s)
    bound_s = case.bounds.drain_ms / 1000
    for arrival in case.passed_on():
        late_s = arrival.at_s - heard.get(arrival.incarnation, inf) - bound_s
        if late_s > 0 and case.proxy_in_touch(arrival.try_id, arrival.at_s):
            yield Breach("DRAIN", arrival.at_s, f"node {arrival.incarnation}, {late_s:.3f} s too late")


def evacuation(case: Case) -> Iterator[Breach]:
    """A request reached a node in a zone long after the zone's evacuation was acknowledged."""
    ends = {line.number: line for line in case.book.of(OrderEnded)}
    orders = case.book.of(OrderSent)
    for order in orders:
        end = ends.get(order.number)
        if order.order is not Order.EVACUATE or end is None or end.verdict is not Verdict.ACKNOWLEDGED:
            continue
        taken_back = (
            one.at_s
            for one in orders
            if one.order is Order.TAKE_BACK and one.zone == order.zone and one.at_s >= order.at_s
        )
        yield from _arrivals_in(
            case, order.zone, end.at_s + case.bounds.evacuate_ms / 1000, min(taken_back, default=inf)
        )


def _arrivals_in(case: Case, zone: str, from_s: float, until_s: float) -> Iterator[Breach]:
    for arrival in case.passed_on():
        if not from_s < arrival.at_s < until_s or case.nodes[arrival.incarnation].zone != zone:
            continue
        allowance_s = case.allowance_s(arrival.try_id, arrival.at_s)
        if allowance_s is not None and from_s + allowance_s < arrival.at_s:
            yield Breach("EVAC", arrival.at_s, f"node {arrival.incarnation} in zone {zone}")


def failback(case: Case) -> Iterator[Breach]:
    """A cold node got more requests in one second than it bears."""
    by_node: dict[str, list[RequestArrived]] = defaultdict(list)
    for arrival in case.passed_on():
        by_node[arrival.incarnation].append(arrival)
    for cold in case.book.of(NodeCold):
        most = cold.rate * case.bounds.warm_up_overshoot + case.bounds.warm_up_slack
        times = [one.at_s for one in by_node[cold.incarnation] if cold.at_s <= one.at_s < cold.until_s]
        for at, when in enumerate(times):
            count = at + 1 - bisect_right(times, when - 1.0)
            if cold.rate and count > most:
                text = f"node {cold.incarnation} got {count} requests in a second, {most:.1f} may be"
                yield Breach("FAILBACK", when, text)
                break


def budget(case: Case) -> Iterator[Breach]:
    """Second arrivals at a service were more than the shared budget in some window."""
    asked: dict[str, list[float]] = defaultdict(list)
    for sent in case.tries.values():
        route = case.route_in_any(sent.host, sent.target)
        for service in route.services if route is not None else ():
            asked[service].append(sent.at_s)
    again: dict[str, list[float]] = defaultdict(list)
    seen: set[str] = set()
    for arrival in sorted(case.passed_on(), key=lambda one: one.at_s):
        if arrival.try_id in seen:
            again[case.nodes[arrival.incarnation].service].append(arrival.at_s)
        seen.add(arrival.try_id)
    for service, times in again.items():
        yield from _over_budget(case, service, sorted(asked[service]), times)


def _over_budget(case: Case, service: str, asked: list[float], times: list[float]) -> Iterator[Breach]:
    window_s = case.bounds.retry_window_s
    for at, end_s in enumerate(times):
        begin_s = end_s - window_s
        count = at + 1 - bisect_right(times, begin_s)
        windows = (
            (begin_s, end_s),
            (begin_s - window_s, begin_s),
            (begin_s - window_s / 2, end_s - window_s / 2),
        )
        requests = max(bisect_right(asked, end) - bisect_left(asked, begin) for begin, end in windows)
        most = case.bounds.retry_ratio * requests + case.bounds.retry_slack
        if count > most:
            text = f"service {service}: {count} second arrivals in {window_s:.0f} s, {most:.1f} may be"
            yield Breach("BUDGET", end_s, text)
            return


def configuration(case: Case) -> Iterator[Breach]:
    """What is in force, was acknowledged, or is read back is not what may be."""
    yield from _answers(case)
    yield from _in_force(case)
    yield from _going_back(case)
    yield from _read_back(case)


def _answers(case: Case) -> Iterator[Breach]:
    taken: dict[int, Version] = {}
    for version in case.versions:
        if version.verdict is not Verdict.ACKNOWLEDGED:
            continue
        if not version.sent.valid:
            yield Breach("CONFIG", version.ended_s, f"invalid edition {version.edition} was acknowledged")
            continue
        other = taken.setdefault(version.sent.based_on, version)
        if other.sent.digest != version.sent.digest:
            text = (
                f"editions {other.edition} and {version.edition}, both on {version.sent.based_on}, were taken"
            )
            yield Breach("CONFIG", version.ended_s, text)


@dataclass(frozen=True, slots=True)
class _Handling:
    """What was seen of a try that tells which version was in force."""

    sent: TrySent
    services: frozenset[str]  # that ran it
    not_found: bool
    seen_s: float  # when the effect was seen

    def fits(self, version: Version) -> bool:
        """Whether a version allows it."""
        route = version.route(self.sent.host, self.sent.target)
        if route is None:
            return not self.services
        return not self.not_found and self.services <= route.services


def _handlings(case: Case) -> Iterator[_Handling]:
    for try_id, sent in case.tries.items():
        ended = case.ended.get(try_id)
        runs = case.ran.get(try_id, [])
        services = frozenset(case.nodes[ran.incarnation].service for ran in runs)
        not_found = ended is not None and ended.status == 404 and not runs
        if services or not_found:
            seen_s = runs[0].at_s if runs else ended.at_s if ended is not None else sent.at_s
            yield _Handling(sent, services, not_found, seen_s)


def _in_force(case: Case) -> Iterator[Breach]:
    for handling in _handlings(case):
        sent = handling.sent
        allowance_s = case.allowance_s(sent.try_id, sent.at_s)
        fault = _force_fault(case, handling, allowance_s)
        if fault is not None:
            yield Breach("CONFIG", handling.seen_s, f"try {sent.try_id} {fault}")


def _force_fault(case: Case, handling: _Handling, allowance_s: float | None) -> str | None:
    possible = [one for one in case.versions if one.may_be_in_force and one.sent.at_s <= handling.seen_s]
    newest = 0  # that must be in force
    if allowance_s is not None:
        bound_s = case.bounds.config_apply_ms / 1000 + allowance_s
        newest = _acknowledged_before(case, handling.sent.at_s - bound_s)
    if any(handling.fits(one) for one in possible if one.edition >= newest):
        return None
    if any(handling.fits(one) for one in possible):
        return f"was handled as before edition {newest}"
    never = [one for one in case.versions if not one.may_be_in_force]
    if handling.services and any(handling.fits(one) for one in never):
        return "was handled as only a refused configuration allows"
    return "got 404 though its route is there" if handling.not_found and newest else None


def _acknowledged_before(case: Case, at_s: float) -> int:
    editions = (
        one.edition
        for one in case.versions
        if one.verdict is Verdict.ACKNOWLEDGED and one.sent.valid and one.ended_s <= at_s
    )
    return max(editions, default=0)


def _going_back(case: Case) -> Iterator[Breach]:
    """Within one life, a proxy went back to an older version."""
    possible = [one for one in case.versions if one.may_be_in_force]
    seen: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)  # effects: when, least edition
    handlings = sorted(_handlings(case), key=lambda one: one.seen_s)
    fitting = [(one, [version.edition for version in possible if one.fits(version)]) for one in handlings]
    for handling, editions in fitting:
        if editions:
            seen[_life(case, handling)].append((handling.seen_s, min(editions)))
    for handling, editions in fitting:
        if not editions:
            continue
        sent = handling.sent
        slack_s = case.bounds.revert_slack_ms / 1000
        if not case.proxy_in_touch(sent.try_id, sent.at_s):
            slack_s *= SLOWED_TIMES
        before = [edition for when, edition in seen[_life(case, handling)] if when + slack_s < sent.at_s]
        if max(before, default=0) > max(editions):
            text = f"{sent.proxy} went back from edition {max(before)} to {max(editions)}"
            yield Breach("CONFIG", handling.seen_s, text)


def _life(case: Case, handling: _Handling) -> tuple[str, int]:
    starts = case.lives.get(handling.sent.proxy, [])
    return handling.sent.proxy, bisect_right(starts, handling.sent.at_s)


def _read_back(case: Case) -> Iterator[Breach]:
    """The last reading must bring the newest acknowledged version, or one that may be in force above it."""
    ends = {line.number: line for line in case.book.of(OrderEnded)}
    reads = [(one, ends.get(one.number)) for one in case.book.of(OrderSent) if one.order is Order.READ]
    if not reads:
        return
    sent, end = reads[-1]
    newest = _acknowledged_before(case, sent.at_s)
    if end is None or end.verdict is not Verdict.ACKNOWLEDGED or not end.edition:
        if newest:
            yield Breach("CONFIG", sent.at_s, "the configuration could not be read back")
        return
    if end.edition < newest:
        yield Breach("CONFIG", end.at_s, f"edition {end.edition} was read back, {newest} was acknowledged")
    digests = {one.sent.digest for one in case.versions if one.edition == end.edition and one.may_be_in_force}
    if end.digest not in digests:
        yield Breach("CONFIG", end.at_s, f"what was read back is not what was sent as edition {end.edition}")
