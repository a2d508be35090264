"""Reactions to faults, each with the time or the number of requests within which the balancer must react."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

import pytest
from helpers import KEYED, SAFE, UNSAFE, Driver, hosts, settings

from coveport import balancing
from coveport.balancing import Outcome
from coveport.balancing.host import Attempt


def request_counts(driver: Driver, since: int = 0) -> dict[int, int]:
    """Return the attempts by host, from the log entry `since` on."""
    counts = {entry.host: 0 for entry in driver.entries}
    for sent in driver.log[since:]:
        counts[sent.host] += 1
    return counts


def test_requests_stay_in_the_own_zone() -> None:
    driver = Driver(settings(SAFE))
    driver.serve(200)
    counts = request_counts(driver)
    assert sum(counts[host] for host in (103, 104, 105)) == 0
    assert min(counts[host] for host in (100, 101, 102)) > 30


def test_the_less_busy_of_two_is_taken() -> None:
    driver = Driver(settings(SAFE), hosts(local=2, remote=0))
    for _ in range(4):
        driver.request()
    assert request_counts(driver) == {100: 2, 101: 2}


def test_a_crashed_host_is_ejected_at_once() -> None:
    driver = Driver(settings(SAFE))
    driver.serve(20)
    request_id = driver.request()
    bad = driver.of(request_id)[0].host
    driver.reply(driver.of(request_id)[0], Outcome.CONNECT_FAILED)
    assert driver.of(request_id)[1].host != bad, "retried at another host at once"
    before = len(driver.log)
    driver.serve(10, gap=10.0)
    assert request_counts(driver, before)[bad] == 0


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET])
def test_two_failures_in_a_row_eject_a_host_but_one_does_not(outcome: Outcome) -> None:
    driver = Driver(settings(SAFE, peers=1), hosts(local=1, remote=1))
    driver.serve(20)
    for count in (1, 2):
        before = len(driver.log)
        driver.serve(5)
        assert request_counts(driver, before)[100] == 5, "a single failure may come from any host"
        for sent in list(driver.flying.values()):
            driver.reply(sent)
        request_id = driver.request()
        for attempt in range(count):  # the second attempt is the retry of the first
            assert driver.of(request_id)[attempt].host == 100
            driver.reply(driver.of(request_id)[attempt], outcome)
    before = len(driver.log)
    driver.serve(5)
    assert request_counts(driver, before)[100] == 0


@pytest.mark.parametrize(
    ("outcome", "outage_ms"), [(Outcome.RESET, 5000), (Outcome.ERROR, 5000), (Outcome.CONNECT_FAILED, 1200)]
)
def test_a_host_with_errors_or_a_short_outage_is_not_taken_for_restarted(
    outcome: Outcome, outage_ms: float
) -> None:
    # Guards against hosts in slow start, with one request each, although they only sent errors.
    driver = Driver(settings(SAFE, fall_ms=2000), hosts(local=1, remote=0))
    driver.serve(20)
    host = driver.balancer.hosts[100]
    for _ in range(3):
        driver.balancer._record_outcome(host, outcome, 5.0, None)
    assert host.readmit_at < math.inf
    driver.now += outage_ms
    driver.balancer.now = driver.now
    driver.balancer._record_outcome(host, Outcome.OK, 5.0, None)
    assert host.slow_start_at == -math.inf and host.readmit_at == math.inf


def test_a_lost_request_does_not_count_against_its_host() -> None:
    # Guards against ejecting all hosts in turn if one request in ten is never answered.
    driver = Driver(settings(SAFE, peers=1, second_copies=False), hosts(local=1, remote=1))
    driver.serve(50)
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    lost = driver.of(driver.request())[0]
    for _ in range(20):
        driver.advance(20)
        sent = driver.of(driver.request())[0]
        driver.advance(10)
        assert sent.host == lost.host, "the host is not silent: later requests are answered there"
        driver.reply(sent)
    mean_latency = driver.balancer.hosts[lost.host].mean_latency
    driver.reply(lost, Outcome.TIMEOUT)
    host = driver.balancer.hosts[lost.host]
    assert host.readmit_at == math.inf and host.mean_latency == mean_latency


def test_queued_requests_are_not_all_checked_at_each_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    # With 200 queued, each answer checked all of them against all hosts: most of a core's time.
    driver = Driver(settings(SAFE, peers=2), hosts(local=3, remote=0))
    driver.serve(20)
    for _ in range(200):
        driver.request()
    for request in list(driver.balancer.queue)[50:]:  # these have been tried once
        request.attempts.append(Attempt(driver.balancer.hosts[100], driver.now))
        request.attempts[0].pending = request.attempts[0].may_have_run = False
    checks = 0
    is_usable = driver.balancer._is_usable

    def counted(*arguments: Any) -> bool:
        nonlocal checks
        checks += 1
        return is_usable(*arguments)

    monkeypatch.setattr(driver.balancer, "_is_usable", counted)
    driver.reply(next(iter(driver.flying.values())))
    assert driver.balancer.queue.count > 150 and checks < 60
    checks = 0
    for _ in range(50):
        driver.request()
    assert checks < 20, "new requests do not check all hosts either"


@pytest.mark.parametrize(("latency", "limit"), [(90.0, 3), (5.0, 6)])
def test_the_requests_in_flight_at_a_host_are_limited(latency: float, limit: int) -> None:
    # Guards against hosts that slow down under a backlog far larger than their cores. Requests queued in the
    # balancer can still go elsewhere, the most valuable first. With fast answers, half of the requests in
    # flight are on the network.
    driver = Driver(settings(SAFE, peers=2), hosts(local=2, remote=0))
    driver.serve(100, took=latency, gap=50.0)
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    for host in driver.balancer.hosts.values():
        host.mean_latency = latency
    for _ in range(30):
        driver.request()
    assert max(len(host.pending) for host in driver.balancer.hosts.values()) == limit
    before = len(driver.log)
    driver.reply(next(iter(driver.flying.values())))
    assert len(driver.log) == before + 1, "a queued request is sent as soon as there is capacity"


def test_a_silent_host_is_avoided_within_the_latency_limit_and_readmitted_by_a_trial() -> None:
    driver = Driver(settings(SAFE))
    driver.serve(50)
    driver.serve(100, but={101})
    before = len(driver.log)
    driver.serve(50, but={101})
    assert request_counts(driver, before)[101] <= 2, "silence counts before a time-out"
    before = len(driver.log)
    driver.serve(800)
    assert request_counts(driver, before)[101] > 20, "a trial request readmits it"


def test_a_host_back_from_silence_is_in_slow_start() -> None:
    driver = Driver(settings(SAFE, peers=4), hosts(local=3, remote=0))
    driver.serve(50)
    driver.serve(200, but={101})
    before = len(driver.log)
    driver.serve(150, gap=10.0)
    counts = request_counts(driver, before)
    assert 0 < counts[101] < counts[100] / 2


def test_fast_errors_do_not_attract_load() -> None:
    driver = Driver(settings(SAFE))
    driver.serve(30)
    before = len(driver.log)
    for _ in range(100):
        driver.request()
        for sent in list(driver.flying.values()):
            if sent.host == 101:
                driver.reply(sent, Outcome.ERROR)
        driver.advance(20)
        for sent in list(driver.flying.values()):
            if driver.now - sent.at >= 50:
                driver.reply(sent)
    assert request_counts(driver, before)[101] <= 4
    assert all(answer == "served" for answer in driver.answers.values())


def test_a_full_host_is_not_ejected() -> None:
    driver = Driver(settings(SAFE), hosts(local=2, remote=0))
    driver.serve(30)
    request_id = driver.request()
    full_host = driver.of(request_id)[0].host
    driver.reply(driver.of(request_id)[0], Outcome.FULL)
    driver.advance(100)
    before = len(driver.log)
    driver.serve(20)
    assert request_counts(driver, before)[full_host] > 3


def test_slow_local_hosts_spill_to_the_other_zone_and_recover() -> None:
    """Local hosts with late answers must not keep all requests while the other zone is idle."""
    driver = Driver(settings(SAFE), hosts(local=2, remote=4))
    driver.serve(50)
    for _ in range(300):
        driver.request()
        driver.advance(20)
        for sent in list(driver.flying.values()):
            if driver.now - sent.at >= (900 if driver.zone(sent.host) == 0 else 50):
                driver.reply(sent)
    counts = request_counts(driver, 150)
    assert sum(counts[host] for host in (102, 103, 104, 105)) > 150
    for sent in list(driver.flying.values()):  # no host is silent, so none is taken for restarted
        driver.reply(sent)
    driver.advance(3000)
    driver.serve(300)
    before = len(driver.log)
    driver.serve(50)
    assert sum(request_counts(driver, before)[host] for host in (100, 101)) == 50


def test_requests_leave_a_zone_without_hosts_and_return_to_it() -> None:
    driver = Driver(settings(SAFE), hosts(local=1, remote=3))
    driver.serve(20)
    gone = balancing.EndpointUpdate(
        balancing.EndpointUpdateKind.DELTA, (balancing.Endpoint(100, 0, 0, balancing.EndpointState.DRAINING),)
    )
    driver.feed(gone)
    before = len(driver.log)
    driver.serve(20)
    assert len(driver.log) - before == 20 and request_counts(driver, before)[100] == 0
    driver.feed(
        balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, (balancing.Endpoint(100, 0, 0),))
    )
    before = len(driver.log)
    driver.serve(20)
    assert request_counts(driver, before)[100] == 20


def test_all_ejected_hosts_are_readmitted() -> None:
    driver = Driver(settings(SAFE), hosts(local=2, remote=2))
    driver.serve(20)
    for host in range(100, 104):
        driver.balancer._eject(driver.balancer.hosts[host])
    request_id = driver.request(2 if len(driver.config.classes) > 2 else 0)
    assert driver.of(request_id), "sent to some host even if all are ejected"


def test_overload_sheds_the_least_valuable_requests_early() -> None:
    cheap = balancing.RequestClass(
        name="cheap", aim_ms=500, deadline_ms=2000, worth=1, effect=balancing.Effect.SAFE
    )
    valuable = balancing.RequestClass(aim_ms=500, deadline_ms=2000, worth=9, effect=balancing.Effect.SAFE)
    driver = Driver(settings(cheap, valuable), hosts(local=2, remote=0))
    free_at: dict[int, float] = {100: 0.0, 101: 0.0}  # by host: when it has served its backlog
    answer_at: dict[tuple[int, int], float] = {}
    for n in range(600):
        driver.request(n % 2)
        driver.advance(10)
        for key, sent in list(driver.flying.items()):
            if key not in answer_at:  # one request at a time of 30 ms: the load is double the capacity
                free_at[sent.host] = answer_at[key] = max(free_at[sent.host], sent.at) + 30
            if driver.now >= answer_at[key]:
                driver.reply(sent)
    driver.advance(2500)
    driver.check_all_answered()
    served = {0: 0, 1: 0}
    for request in driver.requests.values():
        served[request.cls] += driver.answers[request.id] == "served"
    assert served[1] > 280 and 60 < served[0] < 200, served
    shed = [
        request
        for request in driver.requests.values()
        if isinstance(driver.answers[request.id], balancing.Refuse)
    ]
    assert shed and all(driver.answered_at[request.id] <= request.deadline_ms - 1500 for request in shed), (
        "refused before the latency target"
    )


def test_a_late_safe_request_is_hedged_but_never_an_unsafe_one() -> None:
    driver = Driver(settings())
    driver.serve(40)  # earns the budget for one: hundreds of new balancers must not hedge all at once
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    safe, unsafe = driver.request(0), driver.request(2)
    driver.advance(900)
    assert len(driver.of(safe)) == 2 and len(driver.of(unsafe)) == 1


def test_retries_stay_within_their_budget() -> None:
    driver = Driver(settings(SAFE), hosts(local=6, remote=0))
    for _ in range(200):
        request_id = driver.request()
        driver.advance(5)
        while (sent := driver.of(request_id)) and (request_id, len(sent) - 1) in driver.flying:
            driver.reply(sent[-1], Outcome.ERROR)
    assert len(driver.log) <= 1.35 * 200


def test_the_balancer_subscribes_soon_and_backs_off_after_failures() -> None:
    driver = Driver(settings(must_ask=True))
    driver.advance(650)
    assert any(isinstance(action, balancing.Subscribe) for action in driver.other)
    waits = []
    for _ in range(4):
        driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
        start, count = driver.now, len(driver.other)
        while len(driver.other) == count and driver.now - start < 20_000:
            driver.advance(50)
        waits.append(driver.now - start)
    assert min(waits) > 500 and waits[2] > waits[0] and max(waits) <= 10_000


def test_the_cached_list_is_used_while_discovery_is_unreachable() -> None:
    driver = Driver(settings(SAFE, must_ask=True))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    driver.serve(20)
    assert len(driver.log) == 20


def test_health_checks_try_a_silent_host_if_allowed() -> None:
    driver = Driver(settings(SAFE, probes=True), hosts(local=2, remote=0))
    driver.serve(20)
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    request_id = driver.request()
    bad = driver.of(request_id)[0].host
    driver.reply(driver.of(request_id)[0], Outcome.CONNECT_FAILED)
    driver.serve(75)
    checked = [action.host for action in driver.other if isinstance(action, balancing.HealthCheck)]
    assert set(checked) == {bad} and len(checked) <= 4, "checked when drawn, seldom while it is silent"
    driver.feed(balancing.HealthCheckResult(bad, Outcome.OK, 2.0))
    before = len(driver.log)
    driver.serve(100)
    assert request_counts(driver, before)[bad] > 0


@pytest.mark.parametrize("cost", [0.0, -3.0, math.nan, math.inf, 1e300])
def test_invalid_cost_hints_and_load_reports_change_nothing(cost: float) -> None:
    driver = Driver(settings(SAFE, KEYED, UNSAFE))
    for n in range(60):
        request_id = driver.request(n % 3, cost=cost)
        driver.advance(20)
        driver.reply(driver.of(request_id)[0], load=(math.nan, -1.0, 1e30))
    counts = request_counts(driver)
    assert min(counts[host] for host in (100, 101, 102)) >= 8


def test_an_empty_list_and_a_list_with_duplicates() -> None:
    driver = Driver(settings(SAFE))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, ()))
    request_id = driver.request()
    driver.advance(1200)
    assert isinstance(driver.answers[request_id], balancing.Refuse) and not driver.log
    duplicate = balancing.Endpoint(100, 0, 0, weight=0.0)
    driver.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.FULL, (duplicate, duplicate, balancing.Endpoint(101, 0, 0))
        )
    )
    driver.serve(20)
    assert request_counts(driver)[100] > 3 and request_counts(driver)[101] > 3


def test_cheap_requests_wait_longer_for_their_zone_than_valuable_ones() -> None:
    cheap = balancing.RequestClass(aim_ms=1000, deadline_ms=3000, worth=1, effect=balancing.Effect.SAFE)
    valuable = balancing.RequestClass(aim_ms=1000, deadline_ms=3000, worth=100, effect=balancing.Effect.SAFE)
    config = dataclasses.replace(settings(cheap, valuable), prices=balancing.Prices(cross_zone=0.3))
    driver = Driver(config, hosts(local=1, remote=2))
    for _ in range(10):  # uses up the capacity of the one local host
        driver.request(1)
    low, high = driver.request(0), driver.request(1)
    driver.advance(100)
    assert not driver.of(low) and driver.zone(driver.of(high)[0].host) == 1
    driver.advance(400)
    assert driver.zone(driver.of(low)[0].host) == 1


@pytest.mark.parametrize("count", [10, 70, 2000])
def test_a_decision_costs_the_same_with_many_hosts(count: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Checking all hosts for each event made a simulated day exceed its time limit."""
    driver = Driver(settings(SAFE, peers=5000, second_copies=False), hosts(local=count, remote=count))
    checks = 0
    is_usable = driver.balancer._is_usable

    def counted(*arguments: Any) -> bool:
        nonlocal checks
        checks += 1
        return is_usable(*arguments)

    monkeypatch.setattr(driver.balancer, "_is_usable", counted)
    driver.serve(100)
    assert checks <= 2.5 * 100 and not driver.timers, "two hosts per request, and no timers"


def test_a_balancer_with_one_request_a_minute_answers_all() -> None:
    driver = Driver(settings(peers=5000))
    for n in range(5):
        request_id = driver.request(n % 3)
        driver.advance(60)
        driver.reply(driver.of(request_id)[0])
        driver.advance(60_000, tick=500)
    driver.check_all_answered()
    assert all(answer == "served" for answer in driver.answers.values())
