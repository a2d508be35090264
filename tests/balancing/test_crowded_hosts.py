"""Balancing while hosts are congested: concurrency limits, the order of queues, the cost of decisions."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest
from helpers import KEYED, SAFE, UNSAFE, Driver, hosts, settings

from coveport import balancing
from coveport.balancing import Balancer, Outcome
from coveport.balancing.pending_requests import PendingRequest, PendingRequests

FAST = dataclasses.replace(SAFE, aim_ms=1000)
SLOW = dataclasses.replace(UNSAFE, aim_ms=2500)


def congested_driver(
    *classes: balancing.RequestClass, peers: int = 4, latency: float = 400.0, each: int = 5
) -> Driver:
    """Return a driver with `each` hosts per zone that has seen answers of this latency; none is in flight."""
    driver = Driver(settings(*classes, peers=peers, second_copies=False), hosts(local=each, remote=each))
    for _ in range(30):
        sent = driver.of(driver.request())[0]
        driver.advance(latency, tick=latency)
        driver.reply(sent)
    return driver


def in_flight_count(driver: Driver) -> int:
    return len(driver.flying)


@pytest.mark.parametrize(("latency", "limit"), [(400.0, 7), (60.0, 10)])
def test_a_balancer_keeps_to_its_limit_while_latency_is_high_and_requests_are_queued(
    latency: float, limit: int
) -> None:
    # About twenty arrivals a second are six in 0.3 of a target; one more is sent while the queue is empty.
    # With fast answers the balancer sends until the hosts are full.
    driver = congested_driver(FAST, latency=latency)
    driver.balancer.arrivals = 55.0
    for _ in range(30):
        driver.request(deadline=1e9)
    driver.advance(latency, tick=latency)
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    assert (in_flight_count(driver) <= limit) if latency > 300 else (in_flight_count(driver) >= limit), (
        in_flight_count(driver)
    )


@pytest.mark.parametrize("peers", [4, 40])
@pytest.mark.parametrize(("rate", "limit"), [(0.5, 1), (10, 4), (40, 13)])
def test_the_limit_of_a_balancer_follows_its_own_traffic_at_any_fleet_size(
    peers: int, rate: float, limit: int
) -> None:
    # One in flight for each of 200 balancers throttled one with five times the mean traffic, and no other.
    driver = congested_driver(FAST, peers=peers, latency=900.0, each=30)
    driver.balancer.arrivals, driver.balancer.arrivals_at = 4 * rate, driver.now  # in four targets
    for count in range(limit + 1):
        assert driver.balancer._is_saturated() is (count >= limit)
        driver.request(deadline=1e9)
    assert in_flight_count(driver) == limit + 1, "the limit does not apply while the queue is empty"


@pytest.mark.parametrize(("peers", "latencies"), [(4, 1), (40, 8)])
def test_a_slow_host_is_probed_equally_often_at_any_fleet_size(peers: int, latencies: int) -> None:
    # One probe per latency by each of forty balancers kept a slow host as busy as before.
    driver = congested_driver(FAST, peers=peers, latency=100.0)
    slow = driver.balancer.hosts[100]
    slow.mean_latency, slow.last_sample_at = 900.0, driver.now
    driver.now += 900.0 * (latencies - 0.1)
    driver.balancer.handle(driver.now, balancing.TimerFired(0))
    assert driver.balancer._expected_latency(slow) == 900.0
    driver.now += 900.0 * 0.2
    driver.balancer.handle(driver.now, balancing.TimerFired(0))
    assert driver.balancer._expected_latency(slow) == 0.0


def test_lost_requests_do_not_count_against_the_limit() -> None:
    # Guards against a balancer that waits for time-outs of hosts that vanished with its requests in flight.
    driver = congested_driver(SLOW, SAFE, each=7)
    for _ in range(60):
        driver.request(0, deadline=20_000)
    driver.advance(400, tick=400)
    before = len(driver.log)
    for sent in list(driver.flying.values())[:-9]:
        driver.reply(sent)
    assert len(driver.log) == before and len(driver.flying) == 9, "the limit for fourteen hosts is 8.75"
    driver.advance(900)  # longer than the shortest target: the nine no longer count
    assert len(driver.log) > before


def test_the_class_of_most_value_for_its_latency_and_target_goes_first() -> None:
    # Worth 3 at 150 ms with a target of 2.5 s goes after worth 1 at 60 ms with a target of 1 s.
    valuable = dataclasses.replace(KEYED, worth=5, aim_ms=1200)
    small, large = dataclasses.replace(SAFE, worth=1, aim_ms=1000), dataclasses.replace(SLOW, worth=3)
    driver = Driver(settings(small, valuable, large, peers=1, second_copies=False), hosts(local=1, remote=0))
    for _ in range(150):
        for cls, latency in ((0, 60.0), (1, 120.0), (2, 150.0)):
            sent = driver.of(driver.request(cls))[0]
            driver.advance(latency, tick=latency)
            driver.reply(sent)
    order: list[int] = []
    for _ in range(12):
        for cls in (2, 0, 1):
            driver.request(cls, deadline=60_000)
    queued = {
        cls: sum(driver.requests[request.id].cls == cls for request in driver.balancer.queue)
        for cls in range(3)
    }
    assert all(queued.values())
    before = len(driver.log)
    while len(driver.log) < before + sum(queued.values()) and driver.flying:
        driver.advance(1, tick=1)
        driver.reply(next(iter(driver.flying.values())))
    order = [driver.requests[sent.id].cls for sent in driver.log[before:]]
    # The first few are still answered slowly, and a longer target leaves capacity that other classes lack.
    assert order[4:] == sorted(order[4:], key=(1, 0, 2).index)


@pytest.mark.parametrize("queued", [100, 4000])
def test_an_answer_costs_the_same_with_many_queued_requests(
    queued: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # With 660 queued requests an answer cost 8 times as much, with 3,700 23 times, and throughput fell.
    driver = Driver(settings(FAST, KEYED, SLOW, peers=4), hosts(local=5, remote=5))
    for number in range(queued + 30):
        driver.request(number % 3, deadline=1e9)
    checks = 0
    expected_latency = Balancer._expected_latency

    def counted(*arguments: Any) -> float:
        nonlocal checks
        checks += 1
        return expected_latency(*arguments)

    monkeypatch.setattr(Balancer, "_expected_latency", counted)
    for _ in range(20):
        sent = next(iter(driver.flying.values()))
        driver.advance(1, tick=1)
        driver.reply(sent)
    assert driver.balancer.queue.count > queued / 2 and checks < 20 * 60, checks


class QueuedRequest(PendingRequest):
    """A minimal pending request."""

    def __init__(self, class_name: str, queue_until: float, any_zone_at: float) -> None:
        self.class_name = class_name
        self.queue_until = queue_until
        self.any_zone_at = any_zone_at


def test_queues_are_by_class_newest_first_and_any_zone_requests_last() -> None:
    pending = PendingRequests[QueuedRequest]()
    old, new, other_class = (
        QueuedRequest("a", 100, 10),
        QueuedRequest("a", 100, 50),
        QueuedRequest("b", 90, 5),
    )
    for request in (old, new, other_class):
        pending.add(request, 0)
    assert pending.count == 3 and pending.next_at(0) == 5

    def queues(now: float) -> list[tuple[tuple[str, bool], list[QueuedRequest]]]:
        return [
            (key, list(queue)) for key, queue in pending.queues(now, lambda request: -ord(request.class_name))
        ]

    assert queues(0) == [(("b", True), [other_class]), (("a", True), [new, old])]
    assert queues(20) == [(("b", False), [other_class]), (("a", True), [new]), (("a", False), [old])]
    pending.remove(new)
    pending.remove(new)
    assert pending.count == 2 and queues(60) == [(("b", False), [other_class]), (("a", False), [old])]
    assert pending.expired(90) == [other_class] and pending.expired(90) == [] and pending.next_at(90) == 100
    pending.add(new, 95)
    assert set(pending) == {old, other_class, new}


def test_a_request_queued_again_goes_to_the_front() -> None:
    pending = PendingRequests[QueuedRequest]()
    first, second = QueuedRequest("a", 100, 0), QueuedRequest("a", 100, 0)
    for request in (first, second):
        pending.add(request, 1)
    pending.remove(first)
    pending.add(first, 2)
    ((_, queue),) = pending.queues(2, lambda _: 0.0)
    assert next(queue) is first and pending.count == 2


def test_a_full_host_is_skipped_for_a_while_and_then_used_again() -> None:
    driver = Driver(settings(FAST, peers=1, second_copies=False), hosts(local=1, remote=0))
    for _ in range(20):
        driver.request(deadline=1e9)
    sent = next(iter(driver.flying.values()))
    before = len(driver.log)
    driver.reply(sent, Outcome.FULL)
    assert len(driver.log) == before, (
        "a request rejected by a full host is not retried at once if no other host has capacity"
    )
    driver.advance(300)
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    driver.advance(300)
    assert len(driver.log) > before


@pytest.mark.parametrize(("peers", "answers", "attempts"), [(4, 30, 2), (40, 30, 1), (40, 40, 2)])
def test_a_large_fleet_hedges_fewer_requests(peers: int, answers: int, attempts: int) -> None:
    # A tenth of all requests hedged by each of forty balancers with little data overloads a busy zone.
    driver = Driver(settings(SAFE, peers=peers), hosts(local=30, remote=0))
    driver.warm(20.0)
    driver.balancer.retry_budget = 0.0
    driver.warm(20.0, answers)
    request_id = driver.request()
    driver.advance(400)  # far beyond the latency limit
    assert len(driver.of(request_id)) == attempts
