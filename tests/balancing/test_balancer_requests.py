"""The handling of a request: time-outs, queueing, retries, hedging, discovery, and the cost of decisions."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

import pytest
from helpers import KEYED, SAFE, UNSAFE, Driver, Sent, hosts, settings

from coveport import balancing
from coveport.balancing import Balancer, DeduplicationScope, Effect, Outcome
from coveport.balancing.pending_requests import PendingRequests

TARGET_MS, TICK_MS = SAFE.aim_ms, 5.0
# The time before its target at which a queued request expires: two initial service times.
EXPIRY_MARGIN_MS = 200.0
ONE_HOST = hosts(1, 0)


def make_settings(
    *classes: balancing.RequestClass, cross: float = 0.0, by_work: bool = False, **more: Any
) -> balancing.Settings:
    limits = {key: more.pop(key) for key in ("retry_after", "max_retry_after_ms", "cancel") if key in more}
    base = settings(*classes, **more)
    return dataclasses.replace(
        base,
        limits=dataclasses.replace(base.limits, **limits),
        prices=balancing.Prices(cross_zone=cross),
        worth_by_work=by_work,
    )


def time_until_sent(driver: Driver, request: int, within: float, count: int = 1) -> float:
    """Return the time until a request has been sent `count` times; infinity if it exceeds `within`."""
    start = driver.now
    while driver.now - start < within:
        if len(driver.of(request)) >= count:
            return driver.now - start
        driver.advance(1.0, tick=1.0)
    return math.inf


def send_at_once(driver: Driver, cls: int = 0, cost: float = 0.0, deadline: float = 3000.0) -> Sent:
    """Make a request that is sent at once, and return its attempt."""
    return driver.history[driver.request(cls, deadline, cost)][0][0]


def check_health(driver: Driver, outcome: Outcome, host: int = 100) -> None:
    """Report a health check result for a host."""
    driver.feed(balancing.HealthCheckResult(host, outcome, 1.0))


# Time-outs.


@pytest.mark.parametrize(
    ("cls", "cost", "deadline", "timeout"),
    [
        ({}, 0.0, 3000.0, 990.0),  # the target, less two ticks for the answer to arrive
        ({}, 0.0, 600.0, 590.0),
        ({}, 70.0, 3000.0, 990.0),
        ({"aim_stretch": 0.5}, 100.0, 3000.0, 1040.0),
        ({"late_share": 0.2}, 0.0, 2500.0, 2490.0),  # a late answer still has some value
        ({"late_share": 0.2, "deadline_ms": 800.0}, 0.0, 2500.0, 790.0),
        ({}, 0.0, 14.0, TICK_MS),  # at least a tick
    ],
)
def test_the_time_out_ends_when_an_answer_loses_its_value(
    cls: dict[str, float], cost: float, deadline: float, timeout: float
) -> None:
    driver = Driver(make_settings(dataclasses.replace(SAFE, **cls)), ONE_HOST)  # type: ignore[arg-type]
    assert send_at_once(driver, 0, cost, deadline).timeout == timeout


@pytest.mark.parametrize(
    ("cls", "cost", "deadline", "expires_after"),
    [
        ({}, 0.0, 3000.0, TARGET_MS - EXPIRY_MARGIN_MS),
        ({}, 0.0, 500.0, 490.0),
        ({"aim_stretch": 2.0}, 100.0, 3000.0, TARGET_MS + 200.0 - EXPIRY_MARGIN_MS),
        ({"late_share": 0.2}, 0.0, 3000.0, TARGET_MS - EXPIRY_MARGIN_MS),
    ],
)
@pytest.mark.parametrize("effect", Effect)
def test_a_request_without_a_host_is_refused_once_it_cannot_be_answered_in_time(
    cls: dict[str, float], cost: float, deadline: float, expires_after: float, effect: Effect
) -> None:
    driver = Driver(make_settings(dataclasses.replace(SAFE, effect=effect, **cls)), ())  # type: ignore[arg-type]
    request_id = driver.request(0, deadline, cost)
    driver.advance(expires_after - 2 * TICK_MS)
    assert request_id not in driver.answers
    driver.advance(3 * TICK_MS)
    assert isinstance(driver.answers[request_id], balancing.Refuse)
    assert driver.balancer.handle(driver.now + 5000, balancing.TimerFired(0)) == [], "no state is left"


def test_a_request_is_queued_for_half_a_target_even_if_all_hosts_are_slow() -> None:
    driver = Driver(make_settings(SAFE, second_copies=False), ONE_HOST)
    driver.warm(950.0, apart=3 * TARGET_MS)
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL))
    request_id = driver.request()
    driver.advance(TARGET_MS / 2 - 2 * TICK_MS)
    assert request_id not in driver.answers
    driver.advance(3 * TICK_MS)
    assert request_id in driver.answers


@pytest.mark.parametrize(
    ("allowed", "max_wait", "wait"), [(True, 5000.0, TARGET_MS), (True, 300.0, 300.0), (False, 5000.0, 0.0)]
)
def test_a_rejection_suggests_a_retry_after_a_latency_target(
    allowed: bool, max_wait: float, wait: float
) -> None:
    driver = Driver(make_settings(SAFE, retry_after=allowed, max_retry_after_ms=max_wait), ())
    request_id = driver.request()
    driver.advance(TARGET_MS)
    assert driver.answers[request_id] == balancing.Refuse(request_id, wait)


@pytest.mark.parametrize("cls", [-1, 3, 100])
def test_a_request_of_an_unknown_class_is_ignored(cls: int) -> None:
    driver = Driver(settings())
    assert driver.feed(balancing.Request(77, driver.now + 1000, cls)) == []
    send_at_once(driver, 2)


def test_a_repeated_request_event_is_ignored() -> None:
    driver = Driver(make_settings(SAFE, second_copies=False), ONE_HOST)
    assert driver.feed(driver.requests[send_at_once(driver).id]) == []


# Queued requests.


def test_queued_requests_go_by_worth_and_the_newest_first_among_equals() -> None:
    driver = Driver(make_settings(SAFE, KEYED, UNSAFE, peers=1, second_copies=False), ONE_HOST)
    driver.warm(100.0)
    while driver.history.get(driver.request(2)):
        pass  # until the host has no capacity
    queued = [driver.request(cls) for cls in (0, 1, 2, 0, 1, 2)]
    order: list[int] = []
    while driver.flying:
        driver.reply(next(iter(driver.flying.values())))
        order += [sent.id for sent in driver.log if sent.id in queued and sent.id not in order]
    assert order == [queued[index] for index in (5, 2, 4, 1, 3, 0)]


def test_a_request_bound_to_its_zone_does_not_block_its_queue() -> None:
    driver = Driver(make_settings(KEYED, second_copies=False), hosts(1, 1))
    local = send_at_once(driver)
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL))
    later = driver.request()
    driver.reply(local, Outcome.RESET)
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries[1:]))
    assert not driver.of(local.id)[1:] and driver.of(later)[0].host == 101


def test_the_concurrency_limit_applies_only_while_requests_are_queued() -> None:
    driver = Driver(make_settings(SAFE, peers=4, second_copies=False), hosts(10, 0))
    driver.warm(50.0)
    for answers in range(1, 9):
        driver.warm(400.0, 1, apart=TARGET_MS)
        assert driver.balancer.recent_latency == pytest.approx(400 - 350 * 0.9**answers, rel=0.02)
    driver.warm(400.0, 100, apart=TARGET_MS)
    driver.balancer.arrivals = 78.0  # 88 with the ten requests below
    # One at each host: a second request would take too long there.
    in_flight = [send_at_once(driver) for _ in range(10)]
    queued = [driver.request() for _ in range(2)]
    for sent in in_flight[:3]:
        driver.end(sent, 400.0)
        assert not driver.of(queued[1]), "the limit is the seven arrivals in 0.3 of a target"
    driver.end(in_flight[3], 400.0)
    assert len(driver.of(queued[1])) == 1 and not driver.of(queued[0])


def test_a_class_with_a_longer_target_has_more_capacity() -> None:
    classes = [dataclasses.replace(SAFE, aim_ms=target) for target in (2000, 400)]
    driver = Driver(make_settings(*classes, peers=1, second_copies=False), ONE_HOST)
    driver.warm(200.0, 3, apart=2 * TARGET_MS)
    driver.warm(300.0, apart=2 * TARGET_MS)
    driver.balancer.arrivals = 40.0
    in_flight = [send_at_once(driver), send_at_once(driver)]
    third = driver.request()
    assert not driver.of(third)
    driver.end(in_flight[0], 300.0)
    assert driver.of(third)


def test_each_pending_request_is_in_one_queue_and_next_at_skips_past_times() -> None:
    driver = Driver(make_settings(SAFE, second_copies=False), hosts(3, 0))
    a, b, c = (driver.balancer.requests[send_at_once(driver).id] for _ in range(3))
    pending = PendingRequests[Any]()
    for request, any_zone_at, end in ((a, 20.0, 30.0), (b, 10.0, 40.0), (c, 20.0, 50.0), (b, 15.0, 40.0)):
        request.any_zone_at, request.queue_until = any_zone_at, end
        pending.remove(request)  # a request may be queued again
        pending.add(request, 10.0)
    queues = [[list(queue) for _, queue in pending.queues(now, lambda _: 0.0)] for now in (14, 15, 20)]
    assert queues[:2] == [[[b, c, a]], [[c, a], [b]]] and set(queues[2][0]) == {a, b, c}
    assert len(queues[2][0]) == 3 and set(pending) == {a, b, c}
    assert [pending.next_at(now) for now in (20, 30, 40)] == [30, 40, 50]
    pending.remove(c)
    assert pending.next_at(40) == math.inf and len(list(pending)) == pending.count == 2


def test_a_queued_request_is_sent_once_its_host_is_free_without_another_event() -> None:
    driver = Driver(make_settings(SAFE, second_copies=False), ONE_HOST)
    driver.warm(50.0)
    check_health(driver, Outcome.FULL)
    assert time_until_sent(driver, driver.request(), 500) <= math.sqrt(50.6 * TARGET_MS) + 2 * TICK_MS, (
        "within the latency limit"
    )


def test_queue_checks_wake_the_balancer_at_most_once_per_latency_limit() -> None:
    driver = Driver(make_settings(SAFE, KEYED, UNSAFE), ())
    ids = [driver.request(n % 3, deadline) for n, deadline in enumerate((3000.0, 700.0, 300.0, 100.0, 500.0))]
    driver.advance(20)
    assert all(request_id not in driver.answers for request_id in ids)
    wake_ups = 0
    while driver.timers:
        wake_ups += 1
        driver.advance(driver.timers[0][0] - driver.now)
    driver.check_all_answered()
    assert all(isinstance(answer, balancing.Refuse) for answer in driver.answers.values()) and wake_ups <= 12
    for request_id, expires_after in zip(
        ids, (TARGET_MS - EXPIRY_MARGIN_MS, 690.0, 290.0, 90.0, 490.0), strict=True
    ):
        assert abs(driver.answered_at[request_id] - 100_000.0 - expires_after) <= TICK_MS + 1


@pytest.mark.parametrize(("early", "answered"), [(TICK_MS / 2, True), (TICK_MS / 2 + 1, False)])
@pytest.mark.parametrize("tried", [True, False])
def test_anything_due_within_half_a_tick_is_due(early: float, answered: bool, tried: bool) -> None:
    driver = Driver(make_settings(SAFE, second_copies=False), ONE_HOST)
    if not tried:
        check_health(driver, Outcome.FULL)
    request_id = driver.request(0, 300.0)
    driver.now = 100_290.0 - early
    if tried:
        driver.reply(driver.of(request_id)[0], Outcome.FULL)
    else:
        assert driver.timers == [(100_290.0, 0)]
        driver.timers.clear()
        driver.feed(balancing.TimerFired(0))
    assert (request_id in driver.answers) is answered
    if answered:
        check_health(driver, Outcome.FULL)
        later = driver.request(0, 100.0)
        driver.advance(400)
        assert later in driver.answers, "the next request has its timer"


@pytest.mark.parametrize(("silent", "crosses"), [(False, False), (True, True)])
def test_with_a_cross_zone_cost_only_a_zone_without_hosts_is_left_at_once(
    silent: bool, crosses: bool
) -> None:
    driver = Driver(make_settings(SAFE, cross=9.0, second_copies=False), hosts(1, 2))
    driver.warm(50.0)
    check_health(driver, Outcome.CONNECT_FAILED if silent else Outcome.FULL)
    assert (time_until_sent(driver, driver.request(), 5) < 5) is crosses
    assert all(driver.zone(sent.host) == int(crosses) for sent in driver.log[80:])


@pytest.mark.parametrize(
    ("worths", "cls", "costs", "by_work", "expected"),
    [
        ((1.0, 3.0), 0, (0.0,), True, 0.6),  # 0.3 of the mean worth 2 is 0.6 of the worth 1
        ((1.0, 3.0), 1, (0.0,), True, 0.2),
        ((1.0, 9.0), 0, (0.0,), True, 1.0),
        ((1.0, 0.0), 1, (0.0,), True, 1.0),  # at most the latency limit
        # Twice the mean cost, initially a tenth of the target; half of it; without the effect of hints.
        ((1.0,), 0, (200.0,), True, 0.15),
        ((1.0,), 0, (50.0,), True, 0.6),
        ((1.0,), 0, (200.0,), False, 0.3),
        ((1.0,), 0, (3001.0,), True, 0.3),
        ((1.0,), 0, (3000.0,), True, 0.01),
        ((1.0,), 0, (-5.0,), True, 0.3),
        ((1.0,), 0, (*[400.0] * 120, 400.0), True, 0.3),  # the mean follows the hints
        ((1.0,), 0, (*[400.0] * 20, 100.0), True, 0.58),  # a third of the way after twenty hints
    ],
)
def test_the_wait_before_crossing_zones_depends_on_the_worth(
    worths: tuple[float, ...], cls: int, costs: tuple[float, ...], by_work: bool, expected: float
) -> None:
    classes = [dataclasses.replace(SAFE, worth=worth) for worth in worths]
    driver = Driver(make_settings(*classes, cross=0.3, by_work=by_work, second_copies=False), hosts(1, 2))
    for cost in costs[:-1]:
        driver.end(send_at_once(driver, 0, cost), 100.0)
    while driver.history.get(driver.request()):
        pass  # until the local host has no capacity
    request_id = driver.request(cls, cost=costs[-1])
    assert time_until_sent(driver, request_id, 700) / math.sqrt(100.0 * TARGET_MS) == pytest.approx(
        expected, rel=0.08, abs=0.02
    )
    assert driver.zone(driver.of(request_id)[0].host) == 1


# Attempts after the first.


@pytest.mark.parametrize(("local", "seed"), [(2, 0), (2, 1), (2, 2), (1, 0)])
def test_a_retry_goes_to_another_host_if_there_is_one(local: int, seed: int) -> None:
    driver = Driver(make_settings(SAFE, second_copies=False, max_attempts=3), hosts(local, 0), seed=seed)
    driver.warm(50.0)
    request_id = driver.request()
    for number in range(3):
        assert len(driver.of(request_id)) == number + 1
        driver.reply(driver.of(request_id)[number], Outcome.RESET)
    tried = [sent.host for sent in driver.of(request_id)]
    assert len(set(tried[:2])) == local
    assert isinstance(driver.answers[request_id], balancing.Refuse), "answered at once after the last attempt"


@pytest.mark.parametrize(
    ("cls", "harmless"),
    [
        ({"effect": Effect.SAFE}, True),
        ({"group": DeduplicationScope.ALL}, True),
        ({"group": DeduplicationScope.ZONE}, False),
        ({"group": DeduplicationScope.CELL}, False),
        ({"effect": Effect.UNSAFE}, False),
    ],
)
def test_a_request_that_may_have_run_is_refused_only_if_a_retry_is_harmless(
    cls: dict[str, Any], harmless: bool
) -> None:
    driver = Driver(make_settings(dataclasses.replace(KEYED, **cls), max_attempts=1), ONE_HOST)
    sent = send_at_once(driver)
    driver.reply(sent, Outcome.RESET)
    assert isinstance(driver.answers[sent.id], balancing.Refuse if harmless else balancing.Fail)


@pytest.mark.parametrize("cls", [1, 2])
def test_one_attempt_that_may_have_run_makes_the_request_fail(cls: int) -> None:
    driver = Driver(settings(SAFE, KEYED, UNSAFE, second_copies=False, max_attempts=2 * cls))
    request_id = driver.request(cls)
    driver.reply(driver.of(request_id)[0], (Outcome.RESET, Outcome.CONNECT_FAILED)[cls - 1])
    driver.reply(driver.of(request_id)[1], (Outcome.CONNECT_FAILED, Outcome.RESET)[cls - 1])
    assert driver.answers[request_id] == balancing.Fail(request_id), "answered at once"


@pytest.mark.parametrize(
    ("cls", "host", "after", "is_allowed"),
    [
        ({"group": DeduplicationScope.ALL}, 103, 0.0, True),
        ({"group": DeduplicationScope.ZONE}, 103, 0.0, False),
        ({"group": DeduplicationScope.ZONE}, 102, 0.0, True),
        ({"group": DeduplicationScope.CELL}, 102, 0.0, False),
        ({"group": DeduplicationScope.CELL}, 101, 0.0, True),
        # A margin of two ticks and a connect time-out: a repeat decided within the window is sent within it.
        ({"group": DeduplicationScope.ALL}, 101, 1739.0, True),
        ({"group": DeduplicationScope.ALL}, 101, 1740.0, False),
        ({"effect": Effect.SAFE}, 103, 2999.0, True),
        ({"effect": Effect.SAFE}, 103, 3000.0, False),
        ({"effect": Effect.UNSAFE}, 101, 0.0, False),
    ],
)
def test_the_hosts_and_the_time_for_a_repeat_are_limited(
    cls: dict[str, Any], host: int, after: float, is_allowed: bool
) -> None:
    driver = Driver(make_settings(dataclasses.replace(KEYED, late_share=0.2, **cls)), hosts(3, 2))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries[:1]))
    request = driver.balancer.requests[send_at_once(driver).id]
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries))
    driver.now += after
    driver.feed(balancing.TimerFired(0))
    assert driver.balancer._is_allowed(request, driver.balancer.hosts[host]) is is_allowed


def test_a_repeat_must_be_within_the_window_of_each_earlier_attempt() -> None:
    driver = Driver(
        make_settings(dataclasses.replace(KEYED, window_ms=550), second_copies=False), hosts(3, 0)
    )
    sent = send_at_once(driver)
    driver.advance(200)
    driver.reply(sent, Outcome.RESET)
    driver.advance(100)
    driver.reply(driver.of(sent.id)[1], Outcome.RESET)
    assert len(driver.of(sent.id)) == 2


def test_retries_are_a_tenth_of_the_requests_while_none_is_queued() -> None:
    driver = Driver(make_settings(SAFE, peers=1, second_copies=False, max_attempts=2), hosts(3, 0))
    for _ in range(300):
        for sent in driver.of(driver.request()):
            driver.reply(sent, Outcome.ERROR)
        while driver.flying:
            driver.reply(next(iter(driver.flying.values())))
        driver.now += 10.0
    assert 30 <= len(driver.log) - 300 <= 33, "30 are earned, and two or a little more are overdrawn"


def test_the_saved_budget_allows_two_retries_and_two_overdrawn_ones() -> None:
    driver = Driver(make_settings(SAFE, peers=1, second_copies=False, max_attempts=2), hosts(3, 0))
    driver.warm(50.0, 500)
    for _ in range(12):
        sent = send_at_once(driver)
        driver.reply(sent, Outcome.ERROR)
        if sent.id not in driver.answers:
            driver.reply(driver.of(sent.id)[1])
    assert 5 <= len(driver.log) - 512 <= 6, "two saved, two overdrawn and one earned meanwhile"


def test_attempts_that_never_ran_are_retried_without_budget() -> None:
    driver = Driver(make_settings(SAFE, KEYED, UNSAFE, second_copies=False, max_attempts=2), hosts(3, 0))
    for n in range(30):
        sent = send_at_once(driver, n % 3)
        driver.reply(sent, Outcome.MOOT)
        driver.reply(driver.of(sent.id)[1])
    sent = send_at_once(driver)
    driver.reply(sent, Outcome.ERROR)
    assert len(driver.of(sent.id)) == 2, "the budget was not charged"


def test_while_requests_are_queued_the_retry_ratio_is_a_third() -> None:
    driver = Driver(make_settings(SAFE, peers=1, second_copies=False, max_attempts=2), ONE_HOST)
    driver.warm(140.0, 300)  # two in flight at a time; the budget is full
    for _ in range(40):
        driver.request()
    retries = 0
    for _ in range(400):
        driver.now += 1.0
        assert driver.balancer.queue.count > 5
        for _ in range(3):
            driver.request()
        sent = min(driver.flying.values(), key=lambda sent: sent.attempt)
        driver.end(sent, 140.0, Outcome.ERROR)
        retries += sent.id not in driver.answers
        driver.end(next(iter(driver.flying.values())), 140.0)  # a success, so that the host is not ejected
        while driver.balancer.queue.count > 30:
            oldest = list(driver.balancer.queue)[-1].id
            driver.feed(balancing.ClientDisconnected(oldest))
            driver.answers[oldest] = "left"
            driver.feed(balancing.TimerFired(0))
    assert 32 <= retries <= 44, "three in a hundred of 1240 requests, and the saved budget"


# Hedged requests.


@pytest.mark.parametrize(("latency", "after"), [(10.0, 103.0), (50.0, 225.0), (90.0, 300.0), (400.0, 500.0)])
def test_a_request_is_hedged_after_the_latency_limit(latency: float, after: float) -> None:
    """The delay is the geometric mean of service time and latency target, at most half the target."""
    driver = Driver(make_settings(SAFE, second_copies=True, cancel=True), hosts(4, 0))
    driver.warm(latency, 120, apart=2 * TARGET_MS)
    request_id = driver.request()
    assert time_until_sent(driver, request_id, 900, 2) == pytest.approx(after, abs=8)
    first, second = driver.of(request_id)
    assert second.host != first.host and second.timeout == pytest.approx(990.0 - after, abs=8)
    driver.advance(300)
    assert len(driver.of(request_id)) == 2, "no third attempt"
    driver.other.clear()
    driver.reply(second)
    assert driver.other == [balancing.Cancel(request_id, 0)], "the other attempt is cancelled"


def test_hedged_requests_are_paid_from_the_budget_at_most_two_at_once() -> None:
    driver = Driver(make_settings(SAFE), hosts(6, 0))
    assert time_until_sent(driver, driver.request(), 900, 2) == math.inf, "a new balancer has no budget"
    driver.reply(next(iter(driver.flying.values())))
    driver.warm(50.0, 10)
    assert time_until_sent(driver, driver.request(), 600, 2) < 600, "ten requests earn one"
    driver = Driver(make_settings(SAFE), hosts(30, 0))
    driver.warm(50.0, 200)
    ids = [driver.request() for _ in range(6)]
    driver.advance(600)
    assert sorted(len(driver.of(request_id)) for request_id in ids) == [1, 1, 1, 1, 2, 2]


def test_each_of_two_late_requests_is_hedged_in_time() -> None:
    driver = Driver(make_settings(SAFE, cancel=True), hosts(6, 0))
    driver.warm(50.0, 200)
    driver.advance(TARGET_MS)
    driver.next_id = 10**15  # ids may be large
    first, answered = driver.request(), driver.request()
    assert len(driver.timers) == 1, "one timer for requests that are due together"
    driver.reply(driver.of(answered)[0], closed=True)
    driver.advance(60)
    second = driver.request()
    driver.advance(225 - 60 - 10)
    assert (len(driver.of(first)), len(driver.of(second))) == (1, 1)
    driver.advance(20)
    assert (len(driver.of(first)), len(driver.of(second))) == (2, 1)
    driver.advance(60)
    assert (len(driver.of(first)), len(driver.of(second))) == (2, 2)
    driver.reply(driver.of(first)[0], Outcome.RESET)
    assert first not in driver.answers and len(driver.of(first)) == 2, "the other attempt is in flight"
    driver.reply(driver.of(first)[1])
    assert driver.answers[first] == "served" and not any(
        isinstance(action, balancing.Cancel) for action in driver.other
    )


@pytest.mark.parametrize("case", ["queued", "unsafe", "one host", "answered", "retried", "one attempt"])
def test_no_hedged_request_without_capacity_or_need(case: str) -> None:
    driver = Driver(
        make_settings(SAFE, KEYED, UNSAFE, max_attempts=1 if case == "one attempt" else 4),
        hosts(1, 0 if case == "one host" else 4),
    )
    driver.warm(50.0, 200)
    if case != "one host":
        keyed = driver.of(driver.request(1))[0]
        driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries[1:]))
        # Its retry is allowed only in its own zone, which has no hosts now.
        driver.reply(keyed, Outcome.RESET if case == "queued" else Outcome.OK)
        assert driver.balancer.queue.count == (case == "queued")
    request_id = driver.request(2 if case == "unsafe" else 0)
    if case == "one host":
        for _ in range(2):  # later requests overtake it, so its host is usable
            driver.advance(10)
            driver.end(send_at_once(driver), 5.0)
    if case == "answered":
        driver.reply(driver.of(request_id)[0])
    if case == "retried":
        driver.reply(driver.of(request_id)[0], Outcome.CONNECT_FAILED)
    driver.advance(400)
    assert len(driver.of(request_id)) == (2 if case == "retried" else 1)


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("ends", ["answer", "left", "stream", "second stream"])
def test_attempts_in_flight_of_a_closed_request_are_cancelled_if_allowed(cancel: bool, ends: str) -> None:
    driver = Driver(make_settings(dataclasses.replace(SAFE, stream=True), cancel=cancel), hosts(4, 0))
    driver.warm(50.0)
    request_id = driver.request()
    assert time_until_sent(driver, request_id, 500, 2) < 500
    first, second = driver.of(request_id)
    driver.other.clear()
    if ends == "answer":
        driver.reply(first)
    elif ends == "left":
        driver.feed(balancing.ClientDisconnected(request_id))
    else:
        driver.feed(balancing.StreamStarted(request_id, int(ends == "second stream"), first.host))
    cancelled = {"answer": [1], "left": [0, 1], "stream": [1], "second stream": [0]}[ends]
    assert driver.other == ([balancing.Cancel(request_id, number) for number in cancelled] if cancel else [])
    if "stream" in ends:
        cancelled_attempt = (first, second)[cancelled[0]]
        driver.reply(cancelled_attempt, Outcome.CONNECT_FAILED, closed=False)
        assert len(driver.of(request_id)) == 2, "no further attempt after an answer has started"
        assert request_id in driver.balancer.requests
        driver.reply((second, first)[cancelled[0]], Outcome.RESET, closed=True)
    assert request_id not in driver.balancer.requests


def test_a_closed_reply_closes_a_request_with_any_outcome() -> None:
    driver = Driver(make_settings(SAFE, second_copies=False), hosts(2, 0))
    request_id = driver.request()
    driver.answers[request_id] = "left"
    driver.reply(driver.of(request_id)[0], Outcome.CONNECT_FAILED, closed=True)
    assert len(driver.of(request_id)) == 1 and not driver.balancer.requests
    assert driver.feed(balancing.Reply(request_id, 7, 100, Outcome.OK, 1.0, True)) == []
    sent = send_at_once(driver)
    driver.feed(balancing.Reply(sent.id, 7, 100, Outcome.RESET, 1.0, False))
    assert sent.id in driver.balancer.requests, "the reply is of an unknown attempt"
    driver.reply(sent, closed=False)
    assert not driver.balancer.requests, "an answer closes the request even without the flag"


# Discovery.


def test_endpoint_updates_change_the_known_hosts() -> None:
    driver = Driver(make_settings(SAFE, second_copies=False), hosts(2, 2))

    def ready() -> list[int]:
        return sorted(host.id for host in driver.balancer.ready_hosts)

    def delta(*entries: balancing.Endpoint) -> None:
        driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, entries))

    delta(balancing.Endpoint(100, 0), balancing.Endpoint(104, 1), balancing.Endpoint(104, 1))
    assert ready() == [100, 101, 102, 103, 104] and len(driver.balancer.local) == 2, "each host once"
    driver.feed(balancing.HealthCheckResult(100, Outcome.CONNECT_FAILED, 1.0))
    readmit_at = driver.balancer.hosts[100].readmit_at
    delta(balancing.Endpoint(100, 0, 0, balancing.EndpointState.DRAINING))
    assert ready() == [101, 102, 103, 104] and [host.id for host in driver.balancer.local] == [101]
    delta(balancing.Endpoint(100, 0))
    assert ready() == [100, 101, 102, 103, 104] and driver.balancer.hosts[100].readmit_at == readmit_at, (
        "the same process"
    )
    delta(balancing.Endpoint(100, 0, started_ms=99_000.0))
    assert driver.balancer.hosts[100].readmit_at == math.inf, "a new process has no history"
    assert driver.balancer.hosts[100].slow_start_at == 99_000.0 and len(driver.balancer.local) == 2
    host = driver.balancer.hosts[100]
    delta(balancing.Endpoint(100, 0, started_ms=99_000.0))
    assert driver.balancer.hosts[100] is host, "a repeated entry"
    delta(
        balancing.Endpoint(100, 0, 0, balancing.EndpointState.GONE),
        balancing.Endpoint(9, 0, 0, balancing.EndpointState.GONE),
    )
    assert 100 not in driver.balancer.hosts and ready() == [101, 102, 103, 104]
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    assert ready() == [101, 102, 103, 104], "the last list remains valid"
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries[2:]))
    assert ready() == [102, 103] and not driver.balancer.local
    assert set(driver.balancer.hosts) == {102, 103}


MAX_BACKOFF_MS = 4000.0  # with the call before and after it, a change arrives within 6 s


def time_until_subscribed(driver: Driver) -> float:
    """Advance the clock until the balancer subscribes, its only action, and return the time it took."""
    driver.other.clear()
    start = driver.now
    while not driver.other:
        driver.now = min(at for at, _ in driver.timers if at > driver.now)
        driver.feed(balancing.TimerFired(0))
    assert driver.other == [balancing.Subscribe()]
    return driver.now - start


@pytest.mark.parametrize(
    ("failures", "least", "most"),
    [(1, 625.0, 1875.0), (2, 1250.0, 3750.0), (3, 2500.0, MAX_BACKOFF_MS), (6, 2500.0, MAX_BACKOFF_MS)],
)
def test_subscriptions_back_off_with_jitter(failures: int, least: float, most: float) -> None:
    waits = []
    for seed in range(30):
        driver = Driver(settings(must_ask=True), seed=seed)
        for _ in range(failures):
            driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
        waits.append(time_until_subscribed(driver))
    assert least <= min(waits) < 1.3 * least and 0.9 * most < max(waits) <= most
    slots = [sum(wait // 100 == slot for wait in waits) for slot in range(int(most // 100) + 1)]
    assert max(slots) <= 8, "the waits have jitter"


def test_the_subscription_backoff_is_bounded() -> None:
    driver = Driver(settings(must_ask=True, ask_within_ms=80_000))
    for _ in range(20):
        driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
        assert time_until_subscribed(driver) <= MAX_BACKOFF_MS


def test_the_balancer_subscribes_until_an_answer_and_after_each_failure() -> None:
    driver = Driver(settings(must_ask=True), now=-1000.0)  # the clock may start at any value

    def subscriptions() -> int:
        return driver.other.count(balancing.Subscribe())

    assert subscriptions() == 0, "a balancer with a cached list waits, as others start now too"
    driver.advance(650, 50)
    assert subscriptions() == 1, "the cached list does not count as an answer"
    driver.advance(4250, 50)
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, driver.entries))
    driver.advance(650, 50)
    assert subscriptions() == 2, "again well before the time limit for asking"
    driver.advance(4000, 50)
    assert subscriptions() == 2
    driver.advance(1100, 50)
    assert subscriptions() == 3
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA))
    driver.advance(20_000, 50)
    assert subscriptions() == 3
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    driver.advance(600, 50)
    assert subscriptions() == 3
    driver.advance(1300, 50)
    assert subscriptions() == 4, "the first failure after an answer"


def test_forty_balancers_started_together_spread_their_subscriptions() -> None:
    delays = []
    for seed in range(40):
        driver = Driver(settings(must_ask=True), seed=seed)
        start = driver.now
        while not driver.other:
            driver.advance(10, 10)
        delays.append(driver.now - start)
    slots = [sum(delay // 50 == slot for delay in delays) for slot in range(13)]
    assert sum(slots) == 40 and max(slots) <= 8, "a small service can take only a few at a time"


def test_no_subscription_where_updates_come_without_one() -> None:
    driver = Driver(settings(must_ask=False))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    driver.advance(20_000, 500)
    assert not driver.other and not driver.timers


# The cost of a decision.


@pytest.mark.parametrize(
    ("state", "limit"),
    [
        ("idle", 2),
        ("full", 106),  # six draws, then each host of the level once
        ("queued", 0),  # while all hosts are full, none is drawn for a queue that is blocked
    ],
)
def test_few_hosts_are_checked_for_a_request(state: str, limit: int, monkeypatch: pytest.MonkeyPatch) -> None:
    driver = Driver(make_settings(SAFE, KEYED, UNSAFE, second_copies=False), hosts(100, 0))
    driver.warm(50.0)
    if state in ("full", "queued"):
        for host in range(100, 200):
            check_health(driver, Outcome.FULL, host)
    if state == "queued":
        for cls in (0, 1, 2):
            driver.request(cls)
    checks, is_usable = 0, driver.balancer._is_usable

    def counted(*arguments: Any) -> bool:
        nonlocal checks
        checks += 1
        return is_usable(*arguments)

    monkeypatch.setattr(driver.balancer, "_is_usable", counted)
    if state == "queued":
        driver.feed(balancing.TimerFired(0))
    driver.request()
    assert checks <= limit


def test_a_grant_lets_a_limited_number_of_requests_through_until_it_expires() -> None:
    """Without a budget for slow start, a starting host gets the granted requests and no more."""
    rules = balancing.Rules(cold_from=1e-9, warm_after_ms=30_000.0, overload_factor=1e-9)
    settings = balancing.Settings(
        classes=(balancing.RequestClass(name="a", effect=balancing.Effect.SAFE),), rules=rules
    )
    balancer = Balancer(settings, 1)
    balancer.handle(
        0.0,
        balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, (balancing.Endpoint(1, started_ms=1.0),)),
    )

    def served(request_id: int, now: float) -> bool:
        sends = [
            action
            for action in balancer.handle(now, balancing.Request(request_id, now + 5000.0))
            if isinstance(action, balancing.Send)
        ]
        for send in sends:
            balancer.handle(
                now + 1, balancing.Reply(request_id, 0, send.host, balancing.Outcome.OK, 1.0, False)
            )
        return bool(sends)

    assert not served(1, 10.0)
    balancer.handle(20.0, balancing.ClientDisconnected(1))
    balancer.handle(21.0, balancing.SlowStartGrant(1, 2, 1000.0))
    assert [served(2, 30.0), served(3, 40.0), served(4, 50.0)] == [True, True, False]
    balancer.handle(60.0, balancing.ClientDisconnected(4))
    balancer.handle(61.0, balancing.SlowStartGrant(1, 5, 1000.0))
    assert not served(5, 1001.0), "the grant has expired"
    balancer.handle(1002.0, balancing.SlowStartGrant(9, 5, 2000.0))  # a grant for an unlisted host is ignored
