"""The life of a request: how long it is waited for, held, tried again, and what it may cost."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

import pytest
from helpers import KEYED, SAFE, UNSAFE, Driver, Sent, hosts, settings

from coveport import balancing
from coveport.balancing import Balancer, DeduplicationScope, Effect, Outcome
from coveport.balancing.pending_requests import PendingRequests

AIM, TICK = SAFE.aim_ms, 5.0
LAST = 200.0  # so long before its aim a held request must go: two answers' time, as long as none has come
LONE = hosts(1, 0)


def site(
    *classes: balancing.RequestClass, cross: float = 0.0, by_work: bool = False, **more: Any
) -> balancing.Settings:
    limits = {key: more.pop(key) for key in ("retry_after", "max_retry_after_ms", "cancel") if key in more}
    made = settings(*classes, **more)
    return dataclasses.replace(
        made,
        limits=dataclasses.replace(made.limits, **limits),
        prices=balancing.Prices(cross_zone=cross),
        worth_by_work=by_work,
    )


def sends(driver: Driver, request: int, within: float, count: int = 1) -> float:
    """How long until a request has been sent so often; inf: not within that time."""
    began = driver.now
    while driver.now - began < within:
        if len(driver.of(request)) >= count:
            return driver.now - began
        driver.advance(1.0, tick=1.0)
    return math.inf


def go(driver: Driver, cls: int = 0, cost: float = 0.0, deadline: float = 3000.0) -> Sent:
    """A request that goes somewhere at once."""
    return driver.history[driver.request(cls, deadline, cost)][0][0]


def tell(driver: Driver, outcome: Outcome, host: int = 100) -> None:
    """Word of a host that is of no request."""
    driver.feed(balancing.HealthCheckResult(host, outcome, 1.0))


# How long it is waited for.


@pytest.mark.parametrize(
    ("cls", "cost", "deadline", "timeout"),
    [
        ({}, 0.0, 3000.0, 990.0),  # the aim, and two ticks for the answer's way
        ({}, 0.0, 600.0, 590.0),
        ({}, 70.0, 3000.0, 990.0),
        ({"aim_stretch": 0.5}, 100.0, 3000.0, 1040.0),
        ({"late_share": 0.2}, 0.0, 2500.0, 2490.0),  # late is worth something
        ({"late_share": 0.2, "deadline_ms": 800.0}, 0.0, 2500.0, 790.0),
        ({}, 0.0, 14.0, TICK),
    ],
)  # at least a tick
def test_no_attempt_is_waited_for_longer_than_its_answer_is_worth(
    cls: dict[str, float], cost: float, deadline: float, timeout: float
) -> None:
    driver = Driver(site(dataclasses.replace(SAFE, **cls)), LONE)  # type: ignore[arg-type]
    assert go(driver, 0, cost, deadline).timeout == timeout


@pytest.mark.parametrize(
    ("cls", "cost", "deadline", "held"),
    [
        ({}, 0.0, 3000.0, AIM - LAST),
        ({}, 0.0, 500.0, 490.0),
        ({"aim_stretch": 2.0}, 100.0, 3000.0, AIM + 200.0 - LAST),
        ({"late_share": 0.2}, 0.0, 3000.0, AIM - LAST),
    ],
)
@pytest.mark.parametrize("effect", Effect)
def test_what_finds_no_host_is_refused_when_it_could_no_longer_be_answered_in_time(
    cls: dict[str, float], cost: float, deadline: float, held: float, effect: Effect
) -> None:
    driver = Driver(site(dataclasses.replace(SAFE, effect=effect, **cls)), ())  # type: ignore[arg-type]
    one = driver.request(0, deadline, cost)
    driver.advance(held - 2 * TICK)
    assert one not in driver.answers
    driver.advance(3 * TICK)
    assert isinstance(driver.answers[one], balancing.Refuse)
    assert driver.balancer.handle(driver.now + 5000, balancing.TimerFired(0)) == [], "nothing is left"


def test_however_slow_all_seem_a_new_request_is_held_for_half_an_aim() -> None:
    driver = Driver(site(SAFE, second_copies=False), LONE)
    driver.warm(950.0, apart=3 * AIM)
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL))
    one = driver.request()
    driver.advance(AIM / 2 - 2 * TICK)
    assert one not in driver.answers
    driver.advance(3 * TICK)
    assert one in driver.answers


@pytest.mark.parametrize(
    ("allowed", "most", "wait"), [(True, 5000.0, AIM), (True, 300.0, 300.0), (False, 5000.0, 0.0)]
)
def test_who_is_refused_is_told_to_come_back_after_an_aim(allowed: bool, most: float, wait: float) -> None:
    driver = Driver(site(SAFE, retry_after=allowed, max_retry_after_ms=most), ())
    one = driver.request()
    driver.advance(AIM)
    assert driver.answers[one] == balancing.Refuse(one, wait)


@pytest.mark.parametrize("cls", [-1, 3, 100])
def test_a_class_that_is_none_gets_nothing(cls: int) -> None:
    driver = Driver(settings())
    assert driver.feed(balancing.Request(77, driver.now + 1000, cls)) == []
    go(driver, 2)


def test_a_request_that_is_told_twice_is_one() -> None:
    driver = Driver(site(SAFE, second_copies=False), LONE)
    assert driver.feed(driver.requests[go(driver).id]) == []


# Queued requests.


def test_of_what_is_held_the_most_worth_goes_first_and_the_newest_of_equals() -> None:
    driver = Driver(site(SAFE, KEYED, UNSAFE, peers=1, second_copies=False), LONE)
    driver.warm(100.0)
    while driver.history.get(driver.request(2)):
        pass  # until no more go at once
    held = [driver.request(cls) for cls in (0, 1, 2, 0, 1, 2)]
    order: list[int] = []
    while driver.flying:
        driver.reply(next(iter(driver.flying.values())))
        order += [sent.id for sent in driver.log if sent.id in held and sent.id not in order]
    assert order == [held[at] for at in (5, 2, 4, 1, 3, 0)]


def test_what_may_go_to_one_zone_only_holds_up_none_of_its_like() -> None:
    driver = Driver(site(KEYED, second_copies=False), hosts(1, 1))
    here = go(driver)
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL))
    other = driver.request()
    driver.reply(here, Outcome.RESET)
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries[1:]))
    assert not driver.of(here.id)[1:] and driver.of(other)[0].host == 101


def test_a_copy_keeps_to_its_part_only_while_any_are_held() -> None:
    driver = Driver(site(SAFE, peers=4, second_copies=False), hosts(10, 0))
    driver.warm(50.0)
    for answers in range(1, 9):
        driver.warm(400.0, 1, apart=AIM)
        assert driver.balancer.recent_latency == pytest.approx(400 - 350 * 0.9**answers, rel=0.02)
    driver.warm(400.0, 100, apart=AIM)
    driver.balancer.arrivals = 78.0  # and ten of those below
    out = [go(driver) for _ in range(10)]  # one at each host, as a second one would wait there too long
    held = [driver.request() for _ in range(2)]
    for sent in out[:3]:
        driver.end(sent, 400.0)
        assert not driver.of(held[1]), "seven in three tenths of an aim"
    driver.end(out[3], 400.0)
    assert len(driver.of(held[1])) == 1 and not driver.of(held[0])


def test_a_class_that_may_wait_finds_the_room_that_is_none_for_others() -> None:
    classes = [dataclasses.replace(SAFE, aim_ms=aim) for aim in (2000, 400)]
    driver = Driver(site(*classes, peers=1, second_copies=False), LONE)
    driver.warm(200.0, 3, apart=2 * AIM)
    driver.warm(300.0, apart=2 * AIM)
    driver.balancer.arrivals = 40.0
    out = [go(driver), go(driver)]
    third = driver.request()
    assert not driver.of(third)
    driver.end(out[0], 300.0)
    assert driver.of(third)


def test_of_what_is_held_each_stands_in_one_line_and_what_is_due_is_no_longer_to_come() -> None:
    driver = Driver(site(SAFE, second_copies=False), hosts(3, 0))
    one, two, three = (driver.balancer.requests[go(driver).id] for _ in range(3))
    held = PendingRequests[Any]()
    for request, cross, end in ((one, 20.0, 30.0), (two, 10.0, 40.0), (three, 20.0, 50.0), (two, 15.0, 40.0)):
        request.any_zone_at, request.queue_until = cross, end
        held.remove(request)  # may be held anew
        held.add(request, 10.0)
    lines = [[list(line) for _, line in held.queues(now, lambda _: 0.0)] for now in (14, 15, 20)]
    assert lines[:2] == [[[two, three, one]], [[three, one], [two]]] and set(lines[2][0]) == {one, two, three}
    assert len(lines[2][0]) == 3 and set(held) == {one, two, three}
    assert [held.next_at(now) for now in (20, 30, 40)] == [30, 40, 50]
    held.remove(three)
    assert held.next_at(40) == math.inf and len(list(held)) == held.count == 2


def test_a_held_request_goes_when_its_host_is_free_again_though_nothing_else_happens() -> None:
    driver = Driver(site(SAFE, second_copies=False), LONE)
    driver.warm(50.0)
    tell(driver, Outcome.FULL)
    assert sends(driver, driver.request(), 500) <= math.sqrt(50.6 * AIM) + 2 * TICK, "within a patience"


def test_a_look_wakes_the_copy_no_more_than_once_a_patience() -> None:
    driver = Driver(site(SAFE, KEYED, UNSAFE), ())
    ids = [driver.request(n % 3, deadline) for n, deadline in enumerate((3000.0, 700.0, 300.0, 100.0, 500.0))]
    driver.advance(20)
    assert all(one not in driver.answers for one in ids)
    count = 0
    while driver.timers:
        count += 1
        driver.advance(driver.timers[0][0] - driver.now)
    driver.check_all_answered()
    assert all(isinstance(answer, balancing.Refuse) for answer in driver.answers.values()) and count <= 12
    for one, due in zip(ids, (AIM - LAST, 690.0, 290.0, 90.0, 490.0), strict=True):
        assert abs(driver.answered_at[one] - 100_000.0 - due) <= TICK + 1


@pytest.mark.parametrize(("early", "answered"), [(TICK / 2, True), (TICK / 2 + 1, False)])
@pytest.mark.parametrize("tried", [True, False])
def test_what_is_due_within_half_a_tick_is_due(early: float, answered: bool, tried: bool) -> None:
    driver = Driver(site(SAFE, second_copies=False), LONE)
    if not tried:
        tell(driver, Outcome.FULL)
    one = driver.request(0, 300.0)
    driver.now = 100_290.0 - early
    if tried:
        driver.reply(driver.of(one)[0], Outcome.FULL)
    else:
        assert driver.timers == [(100_290.0, 0)]
        driver.timers.clear()
        driver.feed(balancing.TimerFired(0))
    assert (one in driver.answers) is answered
    if answered:
        tell(driver, Outcome.FULL)
        later = driver.request(0, 100.0)
        driver.advance(400)
        assert later in driver.answers, "the next one has its timer"


@pytest.mark.parametrize(("silent", "far"), [(False, False), (True, True)])
def test_only_a_zone_without_hosts_is_left_at_once_where_crossing_costs(silent: bool, far: bool) -> None:
    driver = Driver(site(SAFE, cross=9.0, second_copies=False), hosts(1, 2))
    driver.warm(50.0)
    tell(driver, Outcome.CONNECT_FAILED if silent else Outcome.FULL)
    assert (sends(driver, driver.request(), 5) < 5) is far
    assert all(driver.zone(sent.host) == int(far) for sent in driver.log[80:])


@pytest.mark.parametrize(
    ("worths", "cls", "costs", "by_work", "expected"),
    [
        ((1.0, 3.0), 0, (0.0,), True, 0.6),  # 0.3 of a mean worth of 2 is that of a worth of 1
        ((1.0, 3.0), 1, (0.0,), True, 0.2),
        ((1.0, 9.0), 0, (0.0,), True, 1.0),
        ((1.0, 0.0), 1, (0.0,), True, 1.0),  # a patience at most
        # Twice the mean work, which is a tenth of the aim until hints tell; half of it; hints mean nothing.
        ((1.0,), 0, (200.0,), True, 0.15),
        ((1.0,), 0, (50.0,), True, 0.6),
        ((1.0,), 0, (200.0,), False, 0.3),
        ((1.0,), 0, (3001.0,), True, 0.3),
        ((1.0,), 0, (3000.0,), True, 0.01),
        ((1.0,), 0, (-5.0,), True, 0.3),
        ((1.0,), 0, (*[400.0] * 120, 400.0), True, 0.3),  # what all cost is the mean
        ((1.0,), 0, (*[400.0] * 20, 100.0), True, 0.58),
    ],
)  # after twenty a third of the way
def test_crossing_waits_for_a_part_of_a_patience_by_worth(
    worths: tuple[float, ...], cls: int, costs: tuple[float, ...], by_work: bool, expected: float
) -> None:
    classes = [dataclasses.replace(SAFE, worth=worth) for worth in worths]
    driver = Driver(site(*classes, cross=0.3, by_work=by_work, second_copies=False), hosts(1, 2))
    for cost in costs[:-1]:
        driver.end(go(driver, 0, cost), 100.0)
    while driver.history.get(driver.request()):
        pass  # until a further one would wait there
    one = driver.request(cls, cost=costs[-1])
    assert sends(driver, one, 700) / math.sqrt(100.0 * AIM) == pytest.approx(expected, rel=0.08, abs=0.02)
    assert driver.zone(driver.of(one)[0].host) == 1


# Attempts after the first.


@pytest.mark.parametrize(("local", "seed"), [(2, 0), (2, 1), (2, 2), (1, 0)])
def test_another_attempt_goes_to_another_host_where_there_is_one(local: int, seed: int) -> None:
    driver = Driver(site(SAFE, second_copies=False, max_attempts=3), hosts(local, 0), seed=seed)
    driver.warm(50.0)
    one = driver.request()
    for number in range(3):
        assert len(driver.of(one)) == number + 1
        driver.reply(driver.of(one)[number], Outcome.RESET)
    tried = [sent.host for sent in driver.of(one)]
    assert len(set(tried[:2])) == local
    assert isinstance(driver.answers[one], balancing.Refuse), "the attempts are used up: answered at once"


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
def test_what_may_have_run_is_refused_only_where_a_retry_is_harmless(
    cls: dict[str, Any], harmless: bool
) -> None:
    driver = Driver(site(dataclasses.replace(KEYED, **cls), max_attempts=1), LONE)
    one = go(driver)
    driver.reply(one, Outcome.RESET)
    assert isinstance(driver.answers[one.id], balancing.Refuse if harmless else balancing.Fail)


@pytest.mark.parametrize("cls", [1, 2])
def test_what_may_have_run_once_may_have_run(cls: int) -> None:
    driver = Driver(settings(SAFE, KEYED, UNSAFE, second_copies=False, max_attempts=2 * cls))
    one = driver.request(cls)
    driver.reply(driver.of(one)[0], (Outcome.RESET, Outcome.CONNECT_FAILED)[cls - 1])
    driver.reply(driver.of(one)[1], (Outcome.CONNECT_FAILED, Outcome.RESET)[cls - 1])
    assert driver.answers[one] == balancing.Fail(one), "at once"


@pytest.mark.parametrize(
    ("cls", "host", "after", "again"),
    [
        ({"group": DeduplicationScope.ALL}, 103, 0.0, True),
        ({"group": DeduplicationScope.ZONE}, 103, 0.0, False),
        ({"group": DeduplicationScope.ZONE}, 102, 0.0, True),
        ({"group": DeduplicationScope.CELL}, 102, 0.0, False),
        ({"group": DeduplicationScope.CELL}, 101, 0.0, True),
        # Two ticks and a connect are kept back: what is decided within the window must be sent within it.
        ({"group": DeduplicationScope.ALL}, 101, 1739.0, True),
        ({"group": DeduplicationScope.ALL}, 101, 1740.0, False),
        ({"effect": Effect.SAFE}, 103, 2999.0, True),
        ({"effect": Effect.SAFE}, 103, 3000.0, False),
        ({"effect": Effect.UNSAFE}, 101, 0.0, False),
    ],
)
def test_where_and_until_when_a_request_may_run_again(
    cls: dict[str, Any], host: int, after: float, again: bool
) -> None:
    driver = Driver(site(dataclasses.replace(KEYED, late_share=0.2, **cls)), hosts(3, 2))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries[:1]))
    request = driver.balancer.requests[go(driver).id]
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries))
    driver.now += after
    driver.feed(balancing.TimerFired(0))
    assert driver.balancer._is_allowed(request, driver.balancer.hosts[host]) is again


def test_each_earlier_attempt_must_still_be_known_where_a_request_runs_again() -> None:
    driver = Driver(site(dataclasses.replace(KEYED, window_ms=550), second_copies=False), hosts(3, 0))
    one = go(driver)
    driver.advance(200)
    driver.reply(one, Outcome.RESET)
    driver.advance(100)
    driver.reply(driver.of(one.id)[1], Outcome.RESET)
    assert len(driver.of(one.id)) == 2


def test_extra_attempts_are_a_tenth_of_the_requests_while_nothing_is_held() -> None:
    driver = Driver(site(SAFE, peers=1, second_copies=False, max_attempts=2), hosts(3, 0))
    for _ in range(300):
        for sent in driver.of(driver.request()):
            driver.reply(sent, Outcome.ERROR)
        while driver.flying:
            driver.reply(next(iter(driver.flying.values())))
        driver.now += 10.0
    assert 30 <= len(driver.log) - 300 <= 33, "and two, or a little more, before any is earned"


def test_what_was_saved_up_lasts_for_two_and_two_more_may_be_overdrawn() -> None:
    driver = Driver(site(SAFE, peers=1, second_copies=False, max_attempts=2), hosts(3, 0))
    driver.warm(50.0, 500)
    for _ in range(12):
        one = go(driver)
        driver.reply(one, Outcome.ERROR)
        if one.id not in driver.answers:
            driver.reply(driver.of(one.id)[1])
    assert 5 <= len(driver.log) - 512 <= 6, "one is earned meanwhile"


def test_what_never_ran_is_tried_again_without_any_budget() -> None:
    driver = Driver(site(SAFE, KEYED, UNSAFE, second_copies=False, max_attempts=2), hosts(3, 0))
    for n in range(30):
        one = go(driver, n % 3)
        driver.reply(one, Outcome.MOOT)
        driver.reply(driver.of(one.id)[1])
    one = go(driver)
    driver.reply(one, Outcome.ERROR)
    assert len(driver.of(one.id)) == 2, "nothing was taken from it"


def test_while_requests_are_held_the_budget_is_a_third_of_that() -> None:
    driver = Driver(site(SAFE, peers=1, second_copies=False, max_attempts=2), LONE)
    driver.warm(140.0, 300)  # two at once; full of what was saved up
    for _ in range(40):
        driver.request()
    again = 0
    for _ in range(400):
        driver.now += 1.0
        assert driver.balancer.queue.count > 5
        for _ in range(3):
            driver.request()
        sent = min(driver.flying.values(), key=lambda one: one.attempt)
        driver.end(sent, 140.0, Outcome.ERROR)
        again += sent.id not in driver.answers
        driver.end(next(iter(driver.flying.values())), 140.0)  # so that the host stays in its level
        while driver.balancer.queue.count > 30:
            gone = list(driver.balancer.queue)[-1].id
            driver.feed(balancing.ClientDisconnected(gone))
            driver.answers[gone] = "left"
            driver.feed(balancing.TimerFired(0))
    assert 32 <= again <= 44, "of 1240 requests three in a hundred, and what was saved up"


# Second copies.


@pytest.mark.parametrize(("pace", "after"), [(10.0, 103.0), (50.0, 225.0), (90.0, 300.0), (400.0, 500.0)])
def test_a_second_copy_goes_after_a_patience(pace: float, after: float) -> None:
    """The mean of service time and aim on a logarithmic scale, half an aim at most."""
    driver = Driver(site(SAFE, second_copies=True, cancel=True), hosts(4, 0))
    driver.warm(pace, 120, apart=2 * AIM)
    one = driver.request()
    assert sends(driver, one, 900, 2) == pytest.approx(after, abs=8)
    first, second = driver.of(one)
    assert second.host != first.host and second.timeout == pytest.approx(990.0 - after, abs=8)
    driver.advance(300)
    assert len(driver.of(one)) == 2, "no third"
    driver.other.clear()
    driver.reply(second)
    assert driver.other == [balancing.Cancel(one, 0)], "the other one is given up"


def test_second_copies_are_saved_up_for_and_two_at_most() -> None:
    driver = Driver(site(SAFE), hosts(6, 0))
    assert sends(driver, driver.request(), 900, 2) == math.inf, "new copies have none"
    driver.reply(next(iter(driver.flying.values())))
    driver.warm(50.0, 10)
    assert sends(driver, driver.request(), 600, 2) < 600, "ten requests pay for one"
    driver = Driver(site(SAFE), hosts(30, 0))
    driver.warm(50.0, 200)
    ids = [driver.request() for _ in range(6)]
    driver.advance(600)
    assert sorted(len(driver.of(one)) for one in ids) == [1, 1, 1, 1, 2, 2]


def test_each_of_two_late_requests_has_its_second_copy_in_time() -> None:
    driver = Driver(site(SAFE, cancel=True), hosts(6, 0))
    driver.warm(50.0, 200)
    driver.advance(AIM)
    driver.next_id = 10**15  # any number
    one, like = driver.request(), driver.request()
    assert len(driver.timers) == 1, "one timer for what is due at once"
    driver.reply(driver.of(like)[0], closed=True)
    driver.advance(60)
    two = driver.request()
    driver.advance(225 - 60 - 10)
    assert (len(driver.of(one)), len(driver.of(two))) == (1, 1)
    driver.advance(20)
    assert (len(driver.of(one)), len(driver.of(two))) == (2, 1)
    driver.advance(60)
    assert (len(driver.of(one)), len(driver.of(two))) == (2, 2)
    driver.reply(driver.of(one)[0], Outcome.RESET)
    assert one not in driver.answers and len(driver.of(one)) == 2, "the other one is still out"
    driver.reply(driver.of(one)[1])
    assert driver.answers[one] == "served" and not any(
        isinstance(act, balancing.Cancel) for act in driver.other
    )


@pytest.mark.parametrize("why", ["held", "unsafe", "alone", "answered", "tried again", "one attempt"])
def test_no_second_copy_where_there_is_no_room_or_no_use(why: str) -> None:
    driver = Driver(
        site(SAFE, KEYED, UNSAFE, max_attempts=1 if why == "one attempt" else 4),
        hosts(1, 0 if why == "alone" else 4),
    )
    driver.warm(50.0, 200)
    if why != "alone":
        keyed = driver.of(driver.request(1))[0]
        driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries[1:]))
        # It may run again in its own zone only, where there are no hosts now.
        driver.reply(keyed, Outcome.RESET if why == "held" else Outcome.OK)
        assert driver.balancer.queue.count == (why == "held")
    one = driver.request(2 if why == "unsafe" else 0)
    if why == "alone":
        for _ in range(2):  # others pass it by, so its host may well be used
            driver.advance(10)
            driver.end(go(driver), 5.0)
    if why == "answered":
        driver.reply(driver.of(one)[0])
    if why == "tried again":
        driver.reply(driver.of(one)[0], Outcome.CONNECT_FAILED)
    driver.advance(400)
    assert len(driver.of(one)) == (2 if why == "tried again" else 1)


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("ends", ["answer", "left", "stream", "second stream"])
def test_what_is_out_for_an_ended_request_is_cancelled_where_that_is_allowed(cancel: bool, ends: str) -> None:
    driver = Driver(site(dataclasses.replace(SAFE, stream=True), cancel=cancel), hosts(4, 0))
    driver.warm(50.0)
    one = driver.request()
    assert sends(driver, one, 500, 2) < 500
    first, second = driver.of(one)
    driver.other.clear()
    if ends == "answer":
        driver.reply(first)
    elif ends == "left":
        driver.feed(balancing.ClientDisconnected(one))
    else:
        driver.feed(balancing.StreamStarted(one, int(ends == "second stream"), first.host))
    cancelled = {"answer": [1], "left": [0, 1], "stream": [1], "second stream": [0]}[ends]
    assert driver.other == ([balancing.Cancel(one, number) for number in cancelled] if cancel else [])
    if "stream" in ends:
        other = (first, second)[cancelled[0]]
        driver.reply(other, Outcome.CONNECT_FAILED, closed=False)
        assert len(driver.of(one)) == 2, "a started answer needs no other"
        assert one in driver.balancer.requests
        driver.reply((second, first)[cancelled[0]], Outcome.RESET, closed=True)
    assert one not in driver.balancer.requests


def test_a_closed_reply_ends_a_request_whatever_its_outcome() -> None:
    driver = Driver(site(SAFE, second_copies=False), hosts(2, 0))
    one = driver.request()
    driver.answers[one] = "left"
    driver.reply(driver.of(one)[0], Outcome.CONNECT_FAILED, closed=True)
    assert len(driver.of(one)) == 1 and not driver.balancer.requests
    assert driver.feed(balancing.Reply(one, 7, 100, Outcome.OK, 1.0, True)) == []
    two = go(driver)
    driver.feed(balancing.Reply(two.id, 7, 100, Outcome.RESET, 1.0, False))
    assert two.id in driver.balancer.requests, "of an attempt that never was"
    driver.reply(two, closed=False)
    assert not driver.balancer.requests, "an answer closes it, whoever says so"


# The list, and asking for it.


def test_the_list_says_who_there_is() -> None:
    driver = Driver(site(SAFE, second_copies=False), hosts(2, 2))

    def ready() -> list[int]:
        return sorted(host.id for host in driver.balancer.ready_hosts)

    def delta(*entries: balancing.Endpoint) -> None:
        driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, entries))

    delta(balancing.Endpoint(100, 0), balancing.Endpoint(104, 1), balancing.Endpoint(104, 1))
    assert ready() == [100, 101, 102, 103, 104] and len(driver.balancer.local) == 2, "each once"
    driver.feed(balancing.HealthCheckResult(100, Outcome.CONNECT_FAILED, 1.0))
    out = driver.balancer.hosts[100].readmit_at
    delta(balancing.Endpoint(100, 0, 0, balancing.EndpointState.DRAINING))
    assert ready() == [101, 102, 103, 104] and [host.id for host in driver.balancer.local] == [101]
    delta(balancing.Endpoint(100, 0))
    assert ready() == [100, 101, 102, 103, 104] and driver.balancer.hosts[100].readmit_at == out, (
        "the same one"
    )
    delta(balancing.Endpoint(100, 0, started_ms=99_000.0))
    assert driver.balancer.hosts[100].readmit_at == math.inf, "a new process, of which nothing is known"
    assert driver.balancer.hosts[100].slow_start_at == 99_000.0 and len(driver.balancer.local) == 2
    known = driver.balancer.hosts[100]
    delta(balancing.Endpoint(100, 0, started_ms=99_000.0))
    assert driver.balancer.hosts[100] is known, "told again"
    delta(
        balancing.Endpoint(100, 0, 0, balancing.EndpointState.GONE),
        balancing.Endpoint(9, 0, 0, balancing.EndpointState.GONE),
    )
    assert 100 not in driver.balancer.hosts and ready() == [101, 102, 103, 104]
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    assert ready() == [101, 102, 103, 104], "the last list holds"
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries[2:]))
    assert ready() == [102, 103] and not driver.balancer.local
    assert set(driver.balancer.hosts) == {102, 103}


ASK_MOST_MS = 4000.0  # with the call before it and the one behind it: within the 6 s of a change


def until_asked(driver: Driver) -> float:
    """Let time pass until discovery is asked, and nothing else is done; how long that was."""
    driver.other.clear()
    began = driver.now
    while not driver.other:
        driver.now = min(at for at, _ in driver.timers if at > driver.now)
        driver.feed(balancing.TimerFired(0))
    assert driver.other == [balancing.Subscribe()]
    return driver.now - began


@pytest.mark.parametrize(
    ("failures", "least", "most"),
    [(1, 625.0, 1875.0), (2, 1250.0, 3750.0), (3, 2500.0, ASK_MOST_MS), (6, 2500.0, ASK_MOST_MS)],
)
def test_discovery_is_asked_again_after_longer_waits_and_not_in_step(
    failures: int, least: float, most: float
) -> None:
    waits = []
    for seed in range(30):
        driver = Driver(settings(must_ask=True), seed=seed)
        for _ in range(failures):
            driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
        waits.append(until_asked(driver))
    assert least <= min(waits) < 1.3 * least and 0.9 * most < max(waits) <= most
    slots = [sum(wait // 100 == slot for wait in waits) for slot in range(int(most // 100) + 1)]
    assert max(slots) <= 8, "not in step"


def test_waits_for_discovery_are_bounded_however_long_the_site_lets_one_be_silent() -> None:
    driver = Driver(settings(must_ask=True, ask_within_ms=80_000))
    for _ in range(20):
        driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
        assert until_asked(driver) <= ASK_MOST_MS


def test_discovery_is_asked_until_it_has_spoken_and_after_each_failure() -> None:
    driver = Driver(settings(must_ask=True), now=-1000.0)  # whatever the clock began with

    def asked() -> int:
        return driver.other.count(balancing.Subscribe())

    assert asked() == 0, "who has a known list need not ask with all others that start now"
    driver.advance(650, 50)
    assert asked() == 1, "the known list does not count as word from it"
    driver.advance(4250, 50)
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, driver.entries))
    driver.advance(650, 50)
    assert asked() == 2, "again well before the time in which one must have asked"
    driver.advance(4000, 50)
    assert asked() == 2
    driver.advance(1100, 50)
    assert asked() == 3
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA))
    driver.advance(20_000, 50)
    assert asked() == 3
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    driver.advance(600, 50)
    assert asked() == 3
    driver.advance(1300, 50)
    assert asked() == 4, "the first failure since"


def test_forty_that_start_at_once_do_not_ask_discovery_at_once() -> None:
    asked_at = []
    for seed in range(40):
        driver = Driver(settings(must_ask=True), seed=seed)
        began = driver.now
        while not driver.other:
            driver.advance(10, 10)
        asked_at.append(driver.now - began)
    slots = [sum(at // 50 == slot for at in asked_at) for slot in range(13)]
    assert sum(slots) == 40 and max(slots) <= 8, "a small service takes some of them at a time"


def test_where_the_list_comes_by_itself_nobody_asks() -> None:
    driver = Driver(settings(must_ask=False))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    driver.advance(20_000, 500)
    assert not driver.other and not driver.timers


# What it costs.


@pytest.mark.parametrize(
    ("trouble", "most"),
    [
        ("none", 2),
        ("busy", 106),  # a few draws, then the level once
        ("held", 0),
    ],
)  # while all are full no sort of what is held is looked for
def test_a_look_for_a_host_is_short(trouble: str, most: int, monkeypatch: pytest.MonkeyPatch) -> None:
    driver = Driver(site(SAFE, KEYED, UNSAFE, second_copies=False), hosts(100, 0))
    driver.warm(50.0)
    if trouble in ("busy", "held"):
        for host in range(100, 200):
            tell(driver, Outcome.FULL, host)
    if trouble == "held":
        for cls in (0, 1, 2):
            driver.request(cls)
    looked, usable = 0, driver.balancer._is_usable

    def counted(*arguments: Any) -> bool:
        nonlocal looked
        looked += 1
        return usable(*arguments)

    monkeypatch.setattr(driver.balancer, "_is_usable", counted)
    if trouble == "held":
        driver.feed(balancing.TimerFired(0))
    driver.request()
    assert looked <= most


def test_a_grant_opens_a_cold_host_for_so_many_until_then() -> None:
    """With a copy's part by chance at nothing, a cold host gets what was granted and not one more."""
    rules = balancing.Rules(cold_from=1e-9, warm_after_ms=30_000.0, overload_factor=1e-9)
    settings = balancing.Settings(
        classes=(balancing.RequestClass(name="a", effect=balancing.Effect.SAFE),), rules=rules
    )
    balancer = Balancer(settings, 1)
    balancer.handle(
        0.0,
        balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, (balancing.Endpoint(1, started_ms=1.0),)),
    )

    def served(number: int, now: float) -> bool:
        sent = [
            one
            for one in balancer.handle(now, balancing.Request(number, now + 5000.0))
            if isinstance(one, balancing.Send)
        ]
        for one in sent:
            balancer.handle(now + 1, balancing.Reply(number, 0, one.host, balancing.Outcome.OK, 1.0, False))
        return bool(sent)

    assert not served(1, 10.0)
    balancer.handle(20.0, balancing.ClientDisconnected(1))
    balancer.handle(21.0, balancing.SlowStartGrant(1, 2, 1000.0))
    assert [served(2, 30.0), served(3, 40.0), served(4, 50.0)] == [True, True, False]
    balancer.handle(60.0, balancing.ClientDisconnected(4))
    balancer.handle(61.0, balancing.SlowStartGrant(1, 5, 1000.0))
    assert not served(5, 1001.0), "it has run out"
    balancer.handle(1002.0, balancing.SlowStartGrant(9, 5, 2000.0))  # of a host that is not listed
