"""How the balancer judges a host: ejections, slow start, pauses, concurrency limits, lost requests."""

from __future__ import annotations

import dataclasses
import math

import pytest
from helpers import SAFE, UNSAFE, Driver, Sent, hosts, settings

from coveport import balancing
from coveport.balancing import Outcome

TARGET_MS = SAFE.aim_ms
OUTCOMES = {
    "o": Outcome.OK,
    "c": Outcome.CONNECT_FAILED,
    "t": Outcome.TIMEOUT,
    "e": Outcome.ERROR,
    "r": Outcome.RESET,
    "f": Outcome.FULL,
}


def unhedged_driver(
    local: int = 1,
    remote: int = 0,
    seed: int = 7,
    started: float = 0.0,
    peers: int = 1,
    fall: float = 1000,
    now: float = 100_000,
) -> Driver:
    """Return a driver without hedged requests, so that each attempt affects a host's health separately."""
    config = settings(SAFE, UNSAFE, peers=peers, second_copies=False, fall_ms=fall)
    return Driver(config, hosts(local, remote, started), seed=seed, now=now)


def check_health(driver: Driver, outcome: Outcome, *ids: int) -> None:
    """Report a health check result for each of the hosts."""
    for host in ids:
        driver.feed(balancing.HealthCheckResult(host, outcome, 1.0))


def send_if_possible(driver: Driver, cls: int = 0) -> Sent | None:
    """Make a request, and return its attempt if sent at once; otherwise disconnect its client."""
    request_id = driver.request(cls)
    if history := driver.history.get(request_id):
        return history[-1][0]
    driver.feed(balancing.ClientDisconnected(request_id))
    driver.answers[request_id] = "left"
    driver.feed(balancing.TimerFired(0))  # the timer empties `blocked_queues` for the next request
    return None


def send_to(driver: Driver, host: int = 100, cls: int = 0) -> Sent:
    """Make a request, and check that it goes to `host` at once."""
    sent = send_if_possible(driver, cls)
    assert sent and sent.host == host
    return sent


def sent_fraction(driver: Driver, requests: int) -> float:
    """Return the fraction of `requests` requests that are sent at once; answer each sent request."""
    count = 0
    for _ in range(requests):
        if sent := send_if_possible(driver):
            count += 1
            driver.end(sent, 50.0)
    return count / requests


def time_until_sent_to(driver: Driver, host: int, step: float = 5.0) -> float:
    """Return the time until a request goes to `host`; infinite if longer than 20 latency targets.

    Requests sent to other hosts are answered.
    """
    start = driver.now
    while not (sent := send_if_possible(driver)) or sent.host != host:
        if sent:
            driver.end(sent, 50.0)
        driver.now += step
        if driver.now - start > 20 * TARGET_MS:
            return math.inf
    return driver.now - start


# Trials of ejected hosts.


def trial_waits(seed: int, outcomes: str) -> list[float]:
    """Return the wait after each failed trial, in latency targets, of a host with these trial outcomes."""
    driver, waits = unhedged_driver(2, seed=seed), []
    host = driver.balancer.hosts[100]
    for letter in outcomes:
        driver.now = host.readmit_at if host.readmit_at < math.inf else driver.now + 10.0
        check_health(driver, OUTCOMES[letter], 100)
        if letter != "o":
            waits.append((host.readmit_at - driver.now) / TARGET_MS)
    return waits


@pytest.mark.parametrize(
    ("outcomes", "means"),
    [
        # The mean wait is half a latency target at first, and is doubled up to 32 times the first mean wait.
        ("ccccccc", [0.5, 1, 2, 4, 8, 16, 16]),
        ("ctcer", [0.5, 1, 2, 4, 8]),  # each kind of failure doubles the wait
        ("ccococ", [0.5, 1, 1, 1]),
        ("coooc", [0.5, 0.5]),  # each answer subtracts 1 from the count of ejections
    ],
)
def test_each_failed_trial_doubles_the_ejection_with_jitter(outcomes: str, means: list[float]) -> None:
    rows = [trial_waits(seed, outcomes) for seed in range(40)]
    for mean, waits in zip(means, zip(*rows, strict=True), strict=True):
        assert 0.5 * mean <= min(waits) < 0.65 * mean and 1.35 * mean < max(waits) <= 1.5 * mean


def test_the_shortest_latency_target_of_all_classes_applies() -> None:
    driver = Driver(settings(SAFE, dataclasses.replace(SAFE, aim_ms=400.0)), hosts(2, 0))
    check_health(driver, Outcome.CONNECT_FAILED, 100)
    assert driver.balancer.hosts[100].readmit_at - driver.now <= 300 and driver.balancer.service_time == 40


def test_an_ejected_host_is_tried_with_one_repeatable_request() -> None:
    driver = unhedged_driver(2)
    driver.warm(20.0)
    bad_attempts = [
        sent for sent in (send_if_possible(driver) for _ in range(8)) if sent and sent.host == 100
    ]
    driver.end(bad_attempts.pop(), 1.0, Outcome.CONNECT_FAILED)
    readmit_at = driver.balancer.hosts[100].readmit_at
    for sent in bad_attempts[1:]:
        driver.end(sent, 1.0, Outcome.CONNECT_FAILED)
    assert driver.balancer.hosts[100].readmit_at == readmit_at, (
        "failures of requests sent before the ejection do not extend it"
    )
    while good_attempts := [sent for sent in driver.flying.values() if sent.host == 101]:
        driver.end(good_attempts[0], 20.0)
    driver.now = readmit_at + 1.0
    assert time_until_sent_to(driver, 100) == math.inf, "an earlier request is still in flight there"
    driver.end(bad_attempts[0], 1.0, Outcome.CANCELLED)
    for _ in range(20):
        # A request that may not run twice is not sent to an ejected host.
        driver.end(send_to(driver, 101, cls=1), 20.0)
    assert time_until_sent_to(driver, 100) < 50
    assert time_until_sent_to(driver, 100) == math.inf, "the trial is in flight"


def test_health_checks_replace_trial_requests_if_allowed() -> None:
    driver = Driver(settings(SAFE, peers=1, second_copies=False, probes=True), hosts(2, 0))
    driver.warm(20.0)
    check_health(driver, Outcome.CONNECT_FAILED, 100)
    assert time_until_sent_to(driver, 100, 50.0) == math.inf
    checks = [action for action in driver.other if isinstance(action, balancing.HealthCheck)]
    # Within twenty latency targets, the waits between the checks are 0.5, 1, 2, 4, 8, ... latency targets,
    # each with jitter of up to half of the wait.
    assert 5 <= len(checks) <= 10 and {check.host for check in checks} == {100}
    check_health(driver, Outcome.OK, 100)
    assert time_until_sent_to(driver, 100) < 500, "in slow start at first"


@pytest.mark.parametrize(("response_after", "ejected"), [(-10.0, True), (10.0, False)])
def test_a_time_out_ejects_a_host_without_a_response_since_the_attempt(
    response_after: float, ejected: bool
) -> None:
    driver = unhedged_driver(1, 1)
    driver.warm(50.0)
    sent = send_to(driver)
    driver.now += response_after
    check_health(driver, Outcome.OK, 100)
    driver.now = sent.at + 900.0
    driver.reply(sent, Outcome.TIMEOUT)
    assert (driver.balancer.hosts[100].readmit_at < math.inf) is ejected


@pytest.mark.parametrize("seed", range(6))
def test_all_ejected_hosts_are_readmitted_if_none_is_due(seed: int) -> None:
    driver = unhedged_driver(2, 2, seed)
    check_health(driver, Outcome.FULL, 100, 101, 102, 103)
    queued = driver.request()
    check_health(driver, Outcome.CONNECT_FAILED, 100, 101, 102, 103)
    driver.now += 110.0  # a full host is skipped for a shorter time than this
    driver.feed(balancing.TimerFired(0))
    driver.reply(driver.of(queued)[0])  # the queued request was sent too, although all hosts were ejected
    check_health(driver, Outcome.CONNECT_FAILED, 100, 101, 102, 103)
    due_host = 100 + seed % 3
    driver.balancer.hosts[due_host].readmit_at = driver.now
    assert send_to(driver, due_host) and driver.balancer.hosts[103].readmit_at < math.inf
    sent = send_if_possible(driver)
    assert sent and sent.host in (100, 101), "a host of the own zone if there is any"
    assert all(host.readmit_at == math.inf for host in driver.balancer.hosts.values()), (
        "all hosts are readmitted"
    )


# Slow start.


@pytest.mark.parametrize(
    ("fall", "script", "slow_start"),
    [
        (1000, "c 990o", False),
        (1000, "c 1020o", True),
        (500, "c 600o", False),  # the silence is shorter than the latency target
        (2000, "c 1900o", False),  # the silence is shorter than `fall_ms`
        (1000, "c 800c 800o", True),  # the silence is measured from the first failure
        (1000, "c 800f 800o", False),  # the host responded, namely that it was full
        (1000, "c 10o 1600c 100o", False),  # the first answer ended the first silence
    ],
)
def test_a_host_starts_slowly_after_a_long_silence(fall: float, script: str, slow_start: bool) -> None:
    driver = unhedged_driver(fall=fall)
    driver.warm(50.0)
    for step in script.split():
        driver.now += float(step[:-1] or 1)
        check_health(driver, OUTCOMES[step[-1]], 100)
    assert (driver.balancer.hosts[100].mean_latency == 0.0) is slow_start, "the estimate is discarded"
    driver.now += 200.0
    assert (sent_fraction(driver, 50) < 0.5) is slow_start


def test_readmitted_hosts_are_not_taken_for_restarted() -> None:
    driver = unhedged_driver(2)
    driver.warm(50.0)
    for wait in (0.0, 1600.0):
        driver.now += wait
        check_health(driver, Outcome.CONNECT_FAILED, 100, 101)
    assert sent_fraction(driver, 30) == 1, "the fault was in the balancer's view"


@pytest.mark.parametrize(
    ("age", "least", "most"),
    [
        # Fraction of the requests that may be sent to the host: the slow start budget fraction (0.25) * the
        # overload factor (2) * the capacity fraction. The capacity fraction rises from 0.2 at the start to 1
        # when the host is warm. The result rises from 0.1 at the start to 0.5 just before the host is warm.
        (-5000.0, 0.06, 0.14),
        (0.0, 0.06, 0.14),
        (5000.0, 0.25, 0.35),
        (9990.0, 0.44, 0.56),
        (10_000.0, 1, 1),
    ],
)
def test_a_host_in_slow_start_takes_a_fraction_that_grows_with_its_age(
    age: float, least: float, most: float
) -> None:
    driver = unhedged_driver(started=100_000.0 - age)
    driver.started[100] = 0.0  # the driver's own check does not handle future start times
    assert least <= sent_fraction(driver, 400) <= most


def test_a_host_without_a_start_time_is_warm_on_a_young_clock() -> None:
    driver = Driver(settings(SAFE, second_copies=False), hosts(1, 0), now=1000.0)
    assert sent_fraction(driver, 30) == 1


def test_a_host_in_slow_start_takes_one_request_at_a_time_and_no_retry() -> None:
    driver = unhedged_driver(started=91_000.0)
    assert sum(send_if_possible(driver) is not None for _ in range(40)) == 1
    for seed in range(25):
        driver = unhedged_driver(2, seed=seed)
        driver.feed(
            balancing.EndpointUpdate(
                balancing.EndpointUpdateKind.DELTA, (balancing.Endpoint(101, started_ms=91_000.0),)
            )
        )
        if (first := send_if_possible(driver)) and first.host == 100:
            driver.end(first, 1.0, Outcome.CONNECT_FAILED)
            assert len(driver.of(first.id)) == 1


def test_a_host_in_slow_start_does_not_take_the_load_of_ejected_hosts() -> None:
    # For three of ten requests, the host is one of the first two hosts drawn from the six hosts. The host
    # takes half of these requests.
    driver = unhedged_driver(6)
    driver.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, (balancing.Endpoint(100, started_ms=91_000.0),)
        )
    )
    check_health(driver, Outcome.CONNECT_FAILED, *range(101, 106))
    assert 0.12 < sent_fraction(driver, 300) < 0.25


# Concurrency limits of a host.


@pytest.mark.parametrize(("peers", "limit"), [(1, 5), (2, 3), (3, 2), (500, 1)])
def test_balancers_share_the_concurrency_limit_of_a_host(peers: int, limit: int) -> None:
    driver = unhedged_driver(peers=peers)
    driver.warm(160.0 / limit)  # this latency allows `limit`, but not twice `limit`
    assert sum(send_if_possible(driver) is not None for _ in range(20)) == limit


@pytest.mark.parametrize(
    ("latency", "limit"),
    [
        (15.0, 8),
        (24.0, 6),
        (29.0, 5),
        (40.0, 5),  # the limit is doubled if the expected latency is below 0.15 of the target
        (200.0, 2),
        # The host gets only as many requests as can be answered within the latency limit, which is at most
        # half the latency target.
        (300.0, 1),
        (600.0, 0),
    ],
)
def test_the_concurrency_limit_depends_on_the_latency(latency: float, limit: int) -> None:
    driver = unhedged_driver()
    driver.warm(latency, 60, apart=700.0)  # each estimate is stale after 700 ms without answers
    assert sum(send_if_possible(driver) is not None for _ in range(20)) == limit
    if not limit:
        driver.now += latency - 2
        assert send_if_possible(driver) is None
        driver.now += 2
        assert send_if_possible(driver) and send_if_possible(driver) is None


@pytest.mark.parametrize(
    ("latencies", "expected"),
    [([50.0] * 4, 50.0), ([50.0] * 8 + [450.0] * 4, 323.0), ([400.0] * 8 + [0.0] * 4, 127.0)],
)
def test_mean_latency_follows_the_last_four_answers(latencies: list[float], expected: float) -> None:
    driver = unhedged_driver()
    for latency in latencies:
        driver.warm(latency, 1, apart=700.0)
    assert driver.balancer.hosts[100].mean_latency == pytest.approx(expected, rel=0.08)


def test_latency_is_divided_by_the_concurrency() -> None:
    driver = unhedged_driver()
    for number, sent in enumerate([send_to(driver) for _ in range(3)], 1):
        driver.end(sent, 40.0 * number)
    assert driver.balancer.hosts[100].mean_latency == pytest.approx(40.0)
    # The initial estimate of the service time weighs as much as one answer.
    assert driver.balancer.service_time == pytest.approx((100.0 + 3 * 40.0) / 4)


def test_the_service_time_is_a_mean_at_first_and_changes_slowly_later() -> None:
    driver = unhedged_driver(2)
    for count in range(1, 40):
        driver.warm(40.0, 1)
        assert driver.balancer.service_time == pytest.approx((100.0 + count * 40.0) / (count + 1))
    driver.warm(40.0, 160)
    before = driver.balancer.service_time
    driver.warm(400.0, 10, apart=2 * TARGET_MS)
    assert 1.5 * before < driver.balancer.service_time < 3.5 * before, "ten answers of the last fifty"


@pytest.mark.parametrize(
    "outcome", [outcome for outcome in Outcome if outcome not in (Outcome.OK, Outcome.TIMEOUT)]
)
def test_only_answers_and_time_outs_are_latency_samples(outcome: Outcome) -> None:
    driver = unhedged_driver(1, 1)
    driver.warm(50.0)
    driver.end(send_to(driver), 700.0, outcome)
    assert driver.balancer.hosts[100].mean_latency == 50.0 and driver.balancer.service_time == pytest.approx(
        50.8, abs=0.5
    )


# Silence and lost requests.


def test_the_oldest_request_in_flight_reveals_a_silent_host() -> None:
    driver = unhedged_driver(1, 1)
    driver.warm(50.0)
    send_to(driver)
    # The first request has now been in flight for just less than the latency limit.
    driver.now += math.sqrt(50.6 * TARGET_MS) - 30
    send_to(driver)
    driver.now += 40
    send_to(driver, 101)


@pytest.mark.parametrize(
    ("later", "outcome", "lost"),
    [
        ((10, 10), Outcome.OK, True),
        ((10,), Outcome.OK, False),
        ((10, 0), Outcome.OK, False),
        ((-10, -10, 10), Outcome.OK, False),
        ((10, 10), Outcome.CANCELLED, False),
    ],
)
def test_two_later_answers_show_that_a_request_is_lost(
    later: tuple[float, ...], outcome: Outcome, lost: bool
) -> None:
    driver = unhedged_driver(1, 1)
    driver.warm(20.0)
    start = driver.now
    sent: dict[int, Sent] = {}
    for number, after in sorted(enumerate((0.0, *later)), key=lambda attempt: attempt[1]):
        driver.now = start + after
        sent[number] = send_to(driver)
    driver.now = start + 30.0
    for number in range(1, len(later) + 1):
        driver.reply(sent[number], outcome)
    driver.now = start + 400.0  # longer than the latency limit, which is about 145 ms
    if outcome is Outcome.OK:
        # A lost request does not prevent further requests to its host.
        driver.end(send_to(driver, 100 if lost else 101), 20.0)
    host = driver.balancer.hosts[100]
    mean_latency = host.mean_latency
    driver.end(sent[0], 900.0, Outcome.TIMEOUT)
    assert (host.mean_latency == mean_latency) == lost, "only a request that is not lost is a sample"


def test_a_lost_request_takes_no_capacity() -> None:
    driver = unhedged_driver(peers=500)
    driver.warm(20.0)
    send_to(driver)
    for _ in range(2):
        driver.now += 10
        driver.end(send_to(driver), 5.0)
    assert send_to(driver) and send_to(driver) and not send_if_possible(driver), (
        "two are allowed at this latency"
    )


def test_a_queued_request_tries_an_ejected_host_if_no_other_has_capacity() -> None:
    driver = unhedged_driver(2)
    driver.warm(50.0)
    while (sent := send_if_possible(driver)) and sent.host != 101:
        driver.end(sent, 50.0)
    check_health(driver, Outcome.CONNECT_FAILED, 100)
    driver.now += 240  # longer than the latency limit
    queued = driver.request()
    driver.balancer.hosts[100].readmit_at = driver.now + 50
    driver.feed(balancing.TimerFired(0))
    assert not driver.of(queued)
    driver.now += 60
    driver.feed(balancing.TimerFired(0))
    assert driver.of(queued)[0].host == 100


def test_a_time_out_is_a_latency_sample_of_a_stuck_host() -> None:
    driver = unhedged_driver(1, 1)
    driver.warm(50.0)
    sent = send_to(driver)
    driver.now += 800.0
    check_health(driver, Outcome.OK, 100)  # the host responds
    driver.reply(sent, Outcome.TIMEOUT)
    assert driver.balancer.hosts[100].mean_latency == pytest.approx(50.0 + (800.0 - 50.0) / 4)
    send_to(driver, 101)  # the next request goes to the other host


@pytest.mark.parametrize("latencies", [[20.0] * 40 + [200.0] * 6, [200.0] * 40 + [20.0] * 8])
def test_a_full_host_is_skipped_for_its_latency_or_the_service_time(latencies: list[float]) -> None:
    driver = unhedged_driver()
    for latency in latencies:
        driver.warm(latency, 1, apart=300.0)
    check_health(driver, Outcome.FULL, 100)
    assert 150 < time_until_sent_to(driver, 100) < 190


@pytest.mark.parametrize(("classes", "is_tried"), [((UNSAFE,), True), ((SAFE, UNSAFE), False)])
def test_unsafe_requests_try_ejected_hosts_without_a_repeatable_class(
    classes: tuple[balancing.RequestClass, ...], is_tried: bool
) -> None:
    # Regression: without a repeatable class and health checks, an ejected host stayed ejected until all hosts
    # were ejected.
    driver = Driver(settings(*classes, peers=1), hosts(local=2, remote=0))
    unsafe = len(classes) - 1
    driver.serve(20, cls=unsafe)
    for sent in list(driver.flying.values()):
        driver.reply(sent)
    host = driver.balancer.hosts[100]
    driver.balancer._record_outcome(host, Outcome.CONNECT_FAILED, 5.0, None)
    driver.advance(60_000, tick=500)
    before = len(driver.log)
    driver.serve(20, cls=unsafe)
    assert any(sent.host == 100 for sent in driver.log[before:]) is is_tried
