"""Behaviour under trouble, each with the time or count in which the module must react."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

import pytest
from helpers import KEYED, SAFE, UNSAFE, Driver, hosts, settings

from coveport import balancing
from coveport.balancing import Outcome
from coveport.balancing.host import Attempt


def shares(driver: Driver, since: int = 0) -> dict[int, int]:
    counts = {entry.host: 0 for entry in driver.entries}
    for sent in driver.log[since:]:
        counts[sent.host] += 1
    return counts


def test_ordinary_path_stays_in_the_own_zone() -> None:
    driver = Driver(settings(SAFE))
    driver.serve(200)
    counts = shares(driver)
    assert sum(counts[h] for h in (103, 104, 105)) == 0
    assert min(counts[h] for h in (100, 101, 102)) > 30


def test_the_less_busy_of_two_is_taken() -> None:
    driver = Driver(settings(SAFE), hosts(local=2, remote=0))
    for _ in range(4):
        driver.request()
    assert shares(driver) == {100: 2, 101: 2}


def test_a_crashed_host_leaves_its_level_at_once() -> None:
    driver = Driver(settings(SAFE))
    driver.serve(20)
    one = driver.request()
    bad = driver.of(one)[0].host
    driver.reply(driver.of(one)[0], Outcome.CONNECT_FAILED)
    assert driver.of(one)[1].host != bad, "tried elsewhere at once"
    before = len(driver.log)
    driver.serve(10, gap=10.0)
    assert shares(driver, before)[bad] == 0


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET])
def test_one_spoilt_answer_does_not_put_a_host_out_two_in_a_row_do(outcome: Outcome) -> None:
    driver = Driver(settings(SAFE, peers=1), hosts(local=1, remote=1))
    driver.serve(20)
    for count in (1, 2):
        before = len(driver.log)
        driver.serve(5)
        assert shares(driver, before)[100] == 5, "what comes from any host alike says nothing of this one"
        for sent in list(driver.flying.values()):
            driver.reply(sent)
        one = driver.request()
        for attempt in range(count):  # the second one is the first one's repeat
            assert driver.of(one)[attempt].host == 100
            driver.reply(driver.of(one)[attempt], outcome)
    before = len(driver.log)
    driver.serve(5)
    assert shares(driver, before)[100] == 0


@pytest.mark.parametrize(
    ("outcome", "down"), [(Outcome.RESET, 5000), (Outcome.ERROR, 5000), (Outcome.CONNECT_FAILED, 1200)]
)
def test_a_host_that_errs_or_is_out_for_a_moment_is_not_taken_for_restarted(
    outcome: Outcome, down: float
) -> None:
    # Guards against a fleet that counts as cold, one request at a host, while it only spoils answers.
    driver = Driver(settings(SAFE, fall_ms=2000), hosts(local=1, remote=0))
    driver.serve(20)
    host = driver.balancer.hosts[100]
    for _ in range(3):
        driver.balancer._record_outcome(host, outcome, 5.0, None)
    assert host.readmit_at < math.inf
    driver.now += down
    driver.balancer.now = driver.now
    driver.balancer._record_outcome(host, Outcome.OK, 5.0, None)
    assert host.slow_start_at == -math.inf and host.readmit_at == math.inf


def test_a_request_that_gets_lost_does_not_speak_of_its_host() -> None:
    # Guards against nodes left out, all of them in turn, where one request in ten is never answered.
    driver = Driver(settings(SAFE, peers=1, second_copies=False), hosts(local=1, remote=1))
    driver.serve(50)
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    lost = driver.of(driver.request())[0]
    for _ in range(20):
        driver.advance(20)
        one = driver.of(driver.request())[0]
        driver.advance(10)
        assert one.host == lost.host, "later ones are answered there: it is not silent"
        driver.reply(one)
    pace = driver.balancer.hosts[lost.host].mean_latency
    driver.reply(lost, Outcome.TIMEOUT)
    host = driver.balancer.hosts[lost.host]
    assert host.readmit_at == math.inf and host.mean_latency == pace


def test_held_requests_cost_no_look_through_all_of_them_each_time(monkeypatch: pytest.MonkeyPatch) -> None:
    # With 200 held, all of them and all hosts were looked through at each answer: most of a core's time.
    driver = Driver(settings(SAFE, peers=2), hosts(local=3, remote=0))
    driver.serve(20)
    for _ in range(200):
        driver.request()
    for held in list(driver.balancer.queue)[50:]:  # these have been tried once
        held.attempts.append(Attempt(driver.balancer.hosts[100], driver.now))
        held.attempts[0].pending = held.attempts[0].may_have_run = False
    looked = 0
    usable = driver.balancer._is_usable

    def counted(*arguments: Any) -> bool:
        nonlocal looked
        looked += 1
        return usable(*arguments)

    monkeypatch.setattr(driver.balancer, "_is_usable", counted)
    driver.reply(next(iter(driver.flying.values())))
    assert driver.balancer.queue.count > 150 and looked < 60
    looked = 0
    for _ in range(50):
        driver.request()
    assert looked < 20, "nor does each one that comes on top"


@pytest.mark.parametrize(("took", "most"), [(90.0, 3), (5.0, 6)])
def test_no_host_is_given_a_crowd(took: float, most: int) -> None:
    # Guards against hosts that turn slower when far more waits there than they have cores: what is held
    # here can still go elsewhere, and what is worth most goes first. Where answers come at once, half of
    # what is out is on its way.
    driver = Driver(settings(SAFE, peers=2), hosts(local=2, remote=0))
    driver.serve(100, took=took, gap=50.0)
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    for host in driver.balancer.hosts.values():
        host.mean_latency = took
    for _ in range(30):
        driver.request()
    assert max(len(host.pending) for host in driver.balancer.hosts.values()) == most
    before = len(driver.log)
    driver.reply(next(iter(driver.flying.values())))
    assert len(driver.log) == before + 1, "what was held goes as soon as there is room"


def test_a_silent_host_is_left_within_a_patience_and_comes_back_by_trial() -> None:
    driver = Driver(settings(SAFE))
    driver.serve(50)
    driver.serve(100, but={101})
    before = len(driver.log)
    driver.serve(50, but={101})
    assert shares(driver, before)[101] <= 2, "silence counts before any time-out"
    before = len(driver.log)
    driver.serve(800)
    assert shares(driver, before)[101] > 20, "a trial brings it back"


def test_a_host_back_from_silence_is_treated_as_cold() -> None:
    driver = Driver(settings(SAFE, peers=4), hosts(local=3, remote=0))
    driver.serve(50)
    driver.serve(200, but={101})
    before = len(driver.log)
    driver.serve(150, gap=10.0)
    counts = shares(driver, before)
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
    assert shares(driver, before)[101] <= 4
    assert all(answer == "served" for answer in driver.answers.values())


def test_a_full_host_is_not_removed() -> None:
    driver = Driver(settings(SAFE), hosts(local=2, remote=0))
    driver.serve(30)
    one = driver.request()
    full = driver.of(one)[0].host
    driver.reply(driver.of(one)[0], Outcome.FULL)
    driver.advance(100)
    before = len(driver.log)
    driver.serve(20)
    assert shares(driver, before)[full] > 3


def test_slow_local_hosts_spill_to_the_other_zone_and_recover() -> None:
    """Local hosts that still answer, but late, must not hold all traffic while the other zone idles."""
    driver = Driver(settings(SAFE), hosts(local=2, remote=4))
    driver.serve(50)
    for _ in range(300):
        driver.request()
        driver.advance(20)
        for sent in list(driver.flying.values()):
            if driver.now - sent.at >= (900 if driver.zone(sent.host) == 0 else 50):
                driver.reply(sent)
    counts = shares(driver, 150)
    assert sum(counts[h] for h in (102, 103, 104, 105)) > 150
    for sent in list(driver.flying.values()):  # nothing is silent, so nothing is taken for restarted
        driver.reply(sent)
    driver.advance(3000)
    driver.serve(300)
    before = len(driver.log)
    driver.serve(50)
    assert sum(shares(driver, before)[h] for h in (100, 101)) == 50


def test_an_emptied_local_level_goes_wide_and_comes_home() -> None:
    driver = Driver(settings(SAFE), hosts(local=1, remote=3))
    driver.serve(20)
    gone = balancing.EndpointUpdate(
        balancing.EndpointUpdateKind.DELTA, (balancing.Endpoint(100, 0, 0, balancing.EndpointState.DRAINING),)
    )
    driver.feed(gone)
    before = len(driver.log)
    driver.serve(20)
    assert len(driver.log) - before == 20 and shares(driver, before)[100] == 0
    driver.feed(
        balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, (balancing.Endpoint(100, 0, 0),))
    )
    before = len(driver.log)
    driver.serve(20)
    assert shares(driver, before)[100] == 20


def test_all_hosts_looking_bad_distrusts_the_verdicts() -> None:
    driver = Driver(settings(SAFE), hosts(local=2, remote=2))
    driver.serve(20)
    for host in range(100, 104):
        driver.balancer._eject(driver.balancer.hosts[host])
    one = driver.request(2 if len(driver.config.classes) > 2 else 0)
    assert driver.of(one), "sent somewhere rather than nowhere"


def test_overload_sheds_the_least_worth_and_early() -> None:
    cheap = balancing.RequestClass(
        name="cheap", aim_ms=500, deadline_ms=2000, worth=1, effect=balancing.Effect.SAFE
    )
    dear = balancing.RequestClass(aim_ms=500, deadline_ms=2000, worth=9, effect=balancing.Effect.SAFE)
    driver = Driver(settings(cheap, dear), hosts(local=2, remote=0))
    queues: dict[int, float] = {100: 0.0, 101: 0.0}
    due: dict[tuple[int, int], float] = {}
    for n in range(600):
        driver.request(n % 2)
        driver.advance(10)
        for key, sent in list(driver.flying.items()):
            if key not in due:  # one at a time, 30 ms each: twice what the hosts can do is asked
                queues[sent.host] = due[key] = max(queues[sent.host], sent.at) + 30
            if driver.now >= due[key]:
                driver.reply(sent)
    driver.advance(2500)
    driver.check_all_answered()
    served = {0: 0, 1: 0}
    for request in driver.requests.values():
        served[request.cls] += driver.answers[request.id] == "served"
    assert served[1] > 280 and 60 < served[0] < 200, served
    shed = [r for r in driver.requests.values() if isinstance(driver.answers[r.id], balancing.Refuse)]
    assert shed and all(driver.answered_at[r.id] <= r.deadline_ms - 1500 for r in shed), "before the aim"


def test_second_copy_of_a_late_safe_request_but_never_of_an_unsafe_one() -> None:
    driver = Driver(settings())
    driver.serve(40)  # saves up for one: hundreds of new copies must not send second ones all at once
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    safe, unsafe = driver.request(0), driver.request(2)
    driver.advance(900)
    assert len(driver.of(safe)) == 2 and len(driver.of(unsafe)) == 1


def test_extra_attempts_stay_in_their_budget() -> None:
    driver = Driver(settings(SAFE), hosts(local=6, remote=0))
    for _ in range(200):
        one = driver.request()
        driver.advance(5)
        while (sent := driver.of(one)) and (one, len(sent) - 1) in driver.flying:
            driver.reply(sent[-1], Outcome.ERROR)
    assert len(driver.log) <= 1.35 * 200


def test_discovery_is_asked_soon_and_again_spaced_out_after_failures() -> None:
    driver = Driver(settings(must_ask=True))
    driver.advance(650)
    assert any(isinstance(a, balancing.Subscribe) for a in driver.other)
    asked = []
    for _ in range(4):
        driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
        start, count = driver.now, len(driver.other)
        while len(driver.other) == count and driver.now - start < 20_000:
            driver.advance(50)
        asked.append(driver.now - start)
    assert min(asked) > 500 and asked[2] > asked[0] and max(asked) <= 10_000


def test_works_from_a_cached_list_while_discovery_is_out_of_reach() -> None:
    driver = Driver(settings(SAFE, must_ask=True))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED))
    driver.serve(20)
    assert len(driver.log) == 20


def test_probes_try_a_silent_host_where_they_are_allowed() -> None:
    driver = Driver(settings(SAFE, probes=True), hosts(local=2, remote=0))
    driver.serve(20)
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    one = driver.request()
    bad = driver.of(one)[0].host
    driver.reply(driver.of(one)[0], Outcome.CONNECT_FAILED)
    driver.serve(75)
    probed = [a.host for a in driver.other if isinstance(a, balancing.HealthCheck)]
    assert set(probed) == {bad} and len(probed) <= 4, "tried when drawn, seldom while it stays silent"
    driver.feed(balancing.HealthCheckResult(bad, Outcome.OK, 2.0))
    before = len(driver.log)
    driver.serve(100)
    assert shares(driver, before)[bad] > 0


@pytest.mark.parametrize("cost", [0.0, -3.0, math.nan, math.inf, 1e300])
def test_absurd_cost_hints_and_load_reports_change_nothing(cost: float) -> None:
    driver = Driver(settings(SAFE, KEYED, UNSAFE))
    for n in range(60):
        one = driver.request(n % 3, cost=cost)
        driver.advance(20)
        driver.reply(driver.of(one)[0], load=(math.nan, -1.0, 1e30))
    counts = shares(driver)
    assert min(counts[h] for h in (100, 101, 102)) >= 8


def test_a_list_that_drops_all_or_names_hosts_twice() -> None:
    driver = Driver(settings(SAFE))
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, ()))
    one = driver.request()
    driver.advance(1200)
    assert isinstance(driver.answers[one], balancing.Refuse) and not driver.log
    twice = balancing.Endpoint(100, 0, 0, weight=0.0)
    driver.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.FULL, (twice, twice, balancing.Endpoint(101, 0, 0))
        )
    )
    driver.serve(20)
    assert shares(driver)[100] > 3 and shares(driver)[101] > 3


def test_cheap_requests_wait_longer_for_their_zone_than_dear_ones() -> None:
    cheap = balancing.RequestClass(aim_ms=1000, deadline_ms=3000, worth=1, effect=balancing.Effect.SAFE)
    dear = balancing.RequestClass(aim_ms=1000, deadline_ms=3000, worth=100, effect=balancing.Effect.SAFE)
    config = dataclasses.replace(settings(cheap, dear), prices=balancing.Prices(cross_zone=0.3))
    driver = Driver(config, hosts(local=1, remote=2))
    for _ in range(10):  # the one host of its own zone has no room then
        driver.request(1)
    low, high = driver.request(0), driver.request(1)
    driver.advance(100)
    assert not driver.of(low) and driver.zone(driver.of(high)[0].host) == 1
    driver.advance(400)
    assert driver.zone(driver.of(low)[0].host) == 1


@pytest.mark.parametrize("count", [10, 70, 2000])
def test_a_decision_costs_the_same_with_many_hosts(count: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Looking through all hosts for each event got a day cut off."""
    driver = Driver(settings(SAFE, peers=5000, second_copies=False), hosts(local=count, remote=count))
    looked = 0
    usable = driver.balancer._is_usable

    def counted(*arguments: Any) -> bool:
        nonlocal looked
        looked += 1
        return usable(*arguments)

    monkeypatch.setattr(driver.balancer, "_is_usable", counted)
    driver.serve(100)
    assert looked <= 2.5 * 100 and not driver.timers, "two hosts a request, nothing to wake up for"


def test_a_copy_with_a_request_a_minute_still_answers_all() -> None:
    driver = Driver(settings(peers=5000))
    for n in range(5):
        one = driver.request(n % 3)
        driver.advance(60)
        driver.reply(driver.of(one)[0])
        driver.advance(60_000, tick=500)
    driver.check_all_answered()
    assert all(answer == "served" for answer in driver.answers.values())
