"""The four rules on attempts and answers, under adversarial sequences of events."""

from __future__ import annotations

import random

import pytest
from helpers import KEYED, SAFE, UNSAFE, Driver, hosts, settings
from hypothesis import Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from coveport import balancing
from coveport.balancing import Outcome


def entry(
    driver: Driver, host: int, state: balancing.EndpointState, started: float = 0.0
) -> balancing.EndpointUpdate:
    old = next(endpoint for endpoint in driver.entries if endpoint.host == host)
    return balancing.EndpointUpdate(
        balancing.EndpointUpdateKind.DELTA,
        (balancing.Endpoint(host, old.zone, old.cell, state, 1.0, started),),
    )


def test_without_hosts_requests_wait_and_are_refused_in_time() -> None:
    driver = Driver(settings(), ())
    ids = [driver.request(cls) for cls in (0, 1, 2)]
    driver.advance(3100)
    driver.check_all_answered()
    assert all(isinstance(driver.answers[request_id], balancing.Refuse) for request_id in ids)


def test_a_queued_request_is_sent_when_hosts_appear() -> None:
    driver = Driver(settings(), ())
    request_id = driver.request()
    driver.entries = hosts()
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries))
    assert len(driver.of(request_id)) == 1


@pytest.mark.parametrize("deadline", [-5.0, 0.0, 1.0, 8.0, 100.0])
def test_deadlines_shorter_than_the_connect_timeout(deadline: float) -> None:
    driver = Driver(settings())
    for cls in range(3):
        driver.request(cls, deadline=deadline)
    driver.advance(200)
    for request in driver.requests.values():
        assert request.id in driver.answers


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED])
def test_an_unsafe_request_that_may_have_run_fails_without_a_retry(outcome: Outcome) -> None:
    driver = Driver(settings())
    request_id = driver.request(2)
    driver.advance(100)
    driver.reply(driver.of(request_id)[0], outcome)
    driver.advance(3000)
    assert len(driver.of(request_id)) == 1
    assert isinstance(driver.answers[request_id], balancing.Fail)


@pytest.mark.parametrize("outcome", sorted(balancing.NEVER_RAN))
def test_an_unsafe_request_that_never_ran_is_retried(outcome: Outcome) -> None:
    driver = Driver(settings())
    request_id = driver.request(2)
    driver.reply(driver.of(request_id)[0], outcome)
    driver.advance(320 if outcome is Outcome.FULL else 0)  # after a full host there is no immediate retry
    assert len(driver.of(request_id)) == 2
    assert driver.of(request_id)[0].host != driver.of(request_id)[1].host


def test_a_keyed_request_is_repeated_only_within_its_group() -> None:
    driver = Driver(settings(), hosts(local=2, remote=2))
    request_id = driver.request(1)
    first = driver.of(request_id)[0]
    driver.feed(entry(driver, first.host, balancing.EndpointState.DRAINING))
    driver.reply(first, Outcome.RESET)
    assert [driver.zone(sent.host) for sent in driver.of(request_id)] == [0, 0]


def test_a_keyed_request_is_not_repeated_after_its_window() -> None:
    keyed = balancing.RequestClass(aim_ms=1000, deadline_ms=3000, effect=balancing.Effect.KEYED, window_ms=40)
    driver = Driver(settings(keyed))
    request_id = driver.request()
    driver.advance(45)
    driver.reply(driver.of(request_id)[0], Outcome.RESET)
    driver.advance(3000)
    assert len(driver.of(request_id)) == 1
    driver.check_all_answered()


def test_attempt_limit_of_one() -> None:
    driver = Driver(settings(max_attempts=1))
    ids = [driver.request(cls) for cls in (0, 1, 2)]
    for request_id in ids:
        driver.reply(driver.of(request_id)[0], Outcome.CONNECT_FAILED)
    assert all(
        len(driver.of(request_id)) == 1 and isinstance(driver.answers[request_id], balancing.Refuse)
        for request_id in ids
    )


def test_late_outcome_after_the_final_answer_sends_nothing() -> None:
    driver = Driver(settings())
    request_id = driver.request(2)
    first = driver.of(request_id)[0]
    driver.feed(balancing.ClientDisconnected(request_id))
    driver.answers[request_id] = "left"
    driver.reply(first, Outcome.CONNECT_FAILED)
    driver.advance(2000)
    assert len(driver.of(request_id)) == 1


def test_unknown_ids_are_ignored() -> None:
    driver = Driver(settings())
    for event in (
        balancing.ClientDisconnected(99),
        balancing.Reply(99, 0, 12345, Outcome.OK, 5, True),
        balancing.TimerFired(4711),
        balancing.HealthCheckResult(12345, Outcome.OK, 1.0),
        balancing.StreamStarted(99, 0, 1),
        balancing.PeerMessage(1, b"hello"),
        balancing.Request(77, driver.now + 100, cls=9),
    ):
        assert not [action for action in driver.feed(event) if not isinstance(action, balancing.SetTimer)]


@pytest.mark.parametrize("state", [balancing.EndpointState.DRAINING, balancing.EndpointState.GONE])
def test_drain_during_a_retry(state: balancing.EndpointState) -> None:
    driver = Driver(settings(), hosts(local=2, remote=0))
    request_id = driver.request(0)
    first = driver.of(request_id)[0]
    other = 201 - first.host
    driver.feed(entry(driver, other, state))
    driver.reply(first, Outcome.CONNECT_FAILED)
    driver.advance(3000)
    assert all(sent.host != other for sent in driver.log)
    driver.check_all_answered()


def test_host_missing_from_a_full_list_is_gone() -> None:
    driver = Driver(settings(), hosts(local=2, remote=0))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, driver.entries[:1]))
    driver.serve(20)
    assert {sent.host for sent in driver.log} == {100}


def test_a_started_stream_is_left_alone() -> None:
    stream = balancing.RequestClass(aim_ms=500, deadline_ms=1000, effect=balancing.Effect.SAFE, stream=True)
    driver = Driver(settings(stream))
    request_id = driver.request()
    first = driver.of(request_id)[0]
    driver.feed(balancing.StreamStarted(request_id, 0, first.host))
    driver.flying.clear()
    driver.advance(5000)
    assert len(driver.of(request_id)) == 1 and request_id not in driver.answers
    assert not any(isinstance(action, balancing.Cancel) for action in driver.other)


def test_hundreds_of_balancers_use_but_do_not_exceed_a_slow_start_budget() -> None:
    """A quarter of the hosts restarts at once; all balancers learn of it together, most are nearly idle."""
    rules = settings(SAFE).rules
    service_ms, fleet = 100.0, hosts(local=20, remote=0)
    drivers = [Driver(settings(SAFE, peers=200), fleet, seed=n) for n in range(200)]
    weights = [1 / (n + 1) for n in range(200)]  # the busiest balancer has a sixth of the load
    rng, started, restarted = random.Random(3), drivers[0].now, [100, 101, 102, 103, 104]
    for driver in drivers:
        driver.feed(
            balancing.EndpointUpdate(
                balancing.EndpointUpdateKind.DELTA,
                tuple(balancing.Endpoint(host, 0, started_ms=started) for host in restarted),
            )
        )
    for _ in range(int(rules.warm_after_ms / 50)):
        for driver in rng.choices(drivers, weights, k=8):  # 160 a second: 80% of the capacity of all hosts
            driver.request()
        for driver in drivers:
            if driver.flying or driver.timers:
                driver.advance(50, tick=50)
                for sent in list(driver.flying.values()):
                    if driver.now - sent.at >= service_ms:
                        driver.reply(sent)
            else:
                driver.now += 50
    for host in restarted:
        times = sorted(sent.at for driver in drivers for sent in driver.log if sent.host == host)
        for start in times:
            capacity = rules.cold_from + (1 - rules.cold_from) * (start - started) / rules.warm_after_ms
            count = sum(start <= at < start + rules.fall_ms for at in times)
            budget = rules.overload_factor * capacity * rules.fall_ms
            tolerance = max(3 * service_ms, 1.5 * (budget * service_ms) ** 0.5)  # random variation
            assert count * service_ms <= budget + tolerance, "overloaded"
        # At least a fifth of its safe capacity on average: here a few of the balancers have most of the load,
        # and each uses only a subset of the hosts.
        assert len(times) * service_ms >= 1 / 5 * (1 + rules.cold_from) / 2 * rules.warm_after_ms, "left idle"


@st.composite
def sites(draw: st.DrawFn) -> balancing.Settings:
    effect, group = st.sampled_from(balancing.Effect), st.sampled_from(balancing.DeduplicationScope)
    classes = tuple(
        balancing.RequestClass(
            aim_ms=draw(st.sampled_from([80.0, 400.0, 2000.0])),
            deadline_ms=draw(st.sampled_from([500.0, 2500.0])),
            worth=draw(st.sampled_from([0.0, 1.0, 7.0])),
            late_share=draw(st.sampled_from([0.0, 0.2])),
            effect=draw(effect),
            group=draw(group),
            window_ms=draw(st.sampled_from([0.0, 30.0, 700.0])),
        )
        for _ in range(draw(st.integers(1, 3)))
    )
    return settings(
        *classes,
        must_ask=draw(st.booleans()),
        peers=draw(st.integers(1, 6)),
        second_copies=draw(st.booleans()),
        probes=draw(st.booleans()),
        max_attempts=draw(st.integers(1, 5)),
    )


@hypothesis_settings(
    derandomize=True, max_examples=150, deadline=None, database=None, phases=[Phase.generate]
)
@given(config=sites(), seed=st.integers(0, 2**32))
def test_random_events_keep_the_rules(config: balancing.Settings, seed: int) -> None:
    # Examples are not shrunk here, and steps drawn by hypothesis would take longer than the balancer itself.
    rng = random.Random(seed)
    pick, classes = rng.choice, range(len(config.classes))
    driver = Driver(config, hosts(2, 3), seed=rng.randrange(10))
    for _ in range(rng.randint(5, 60)):
        step = rng.randrange(10)
        if step <= 3:
            for _ in range(rng.randint(1, 4)):
                driver.request(pick(classes), deadline=pick([20.0, 300.0, 1500.0]))
        elif step <= 6 and driver.flying:
            driver.reply(pick(list(driver.flying.values())), pick(list(Outcome)))
        elif step == 7:
            state = pick(list(balancing.EndpointState))
            started = driver.now if state is balancing.EndpointState.READY and rng.random() < 0.5 else 0.0
            driver.feed(entry(driver, pick(driver.entries).host, state, started))
        elif step == 8:
            driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
            for action in driver.other:
                if isinstance(action, balancing.HealthCheck):
                    driver.feed(balancing.HealthCheckResult(action.host, pick(list(Outcome)), 3.0))
            driver.other.clear()
        else:
            driver.advance(pick([5.0, 60.0, 400.0]))
    driver.advance(2600)
    driver.check_all_answered()


def test_same_events_same_actions() -> None:
    logs = []
    for _ in range(2):
        driver = Driver(settings(KEYED, UNSAFE))
        driver.serve(100, but={101})
        logs.append(driver.log)
    assert logs[0] == logs[1]


@pytest.mark.parametrize("late_share", [0.0, 0.2])
def test_a_short_deadline_is_met_in_the_queue(late_share: float) -> None:
    """Queue checks are coarser than the slack: a request that cannot wait for the next is answered now."""
    cls = balancing.RequestClass(aim_ms=1000, deadline_ms=3000, late_share=late_share)
    driver = Driver(settings(cls), ())
    for deadline in (3.0, 20.0, 47.0, 120.0):
        driver.request(deadline=deadline)
        driver.advance(33)
    driver.advance(200)
    driver.check_all_answered()


def test_the_check_of_each_send_enforces_the_rules() -> None:
    """Other code seldom tries a forbidden send, but the check before each send must suffice by itself."""
    for cls, second_copies, is_allowed in ((0, True, True), (0, False, False), (2, True, False)):
        driver = Driver(settings(second_copies=second_copies))
        request_id = driver.request(cls)
        request = driver.balancer.requests[request_id]
        other = driver.balancer.hosts[103]
        assert driver.balancer._is_allowed(request, other) is is_allowed
        other.ready = False
        assert not driver.balancer._is_allowed(request, other), "the host is draining or removed"
        assert driver.balancer._is_allowed(request, None) is (cls == 0), "a rejection while it may have run"


def test_a_timer_that_fires_slightly_early_loses_no_queued_request() -> None:
    """The early check was removed from the heap but still counted as set, so no other timer was set."""
    driver = Driver(settings(), ())
    request_id = driver.request()
    while request_id not in driver.answers and driver.timers:
        at, token = driver.timers.pop(driver.timers.index(min(driver.timers)))
        driver.now = max(driver.now, at - 1.0)
        driver.feed(balancing.TimerFired(token))
    driver.check_all_answered()


def test_a_full_answer_near_the_deadline_is_final() -> None:
    """If the request were queued, the next check would come after its deadline."""
    driver = Driver(settings(SAFE, second_copies=False))
    request_id = driver.request(deadline=1000.0)
    driver.advance(950)
    driver.reply(driver.of(request_id)[0], Outcome.FULL)
    driver.advance(500)
    driver.check_all_answered()


def test_answers_after_the_target_do_not_refuse_all_later_requests() -> None:
    """Congestion can raise the service time above the target; only new attempts can reveal its end."""
    driver = Driver(settings(SAFE))
    driver.balancer.service_time = 5000.0
    request_id = driver.request()
    assert len(driver.of(request_id)) == 1
