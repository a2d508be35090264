"""What a host's answers and silence say of it: trials, cold starts, pauses, crowds, lost requests."""

from __future__ import annotations

import dataclasses
import math

import pytest
from helpers import SAFE, UNSAFE, Driver, Sent, hosts, settings

from coveport import balancing
from coveport.balancing import Outcome

AIM = SAFE.aim_ms
ENDS = {
    "o": Outcome.OK,
    "c": Outcome.CONNECT_FAILED,
    "t": Outcome.TIMEOUT,
    "e": Outcome.ERROR,
    "r": Outcome.RESET,
    "f": Outcome.FULL,
}


def quiet(
    local: int = 1,
    remote: int = 0,
    seed: int = 7,
    started: float = 0.0,
    peers: int = 1,
    fall: float = 1000,
    now: float = 100_000,
) -> Driver:
    """A copy without second copies, so that each attempt speaks for itself."""
    config = settings(SAFE, UNSAFE, peers=peers, second_copies=False, fall_ms=fall)
    return Driver(config, hosts(local, remote, started), seed=seed, now=now)


def known(driver: Driver, outcome: Outcome, *ids: int) -> None:
    """Word of hosts that is of no request."""
    for host in ids:
        driver.feed(balancing.HealthCheckResult(host, outcome, 1.0))


def tried(driver: Driver, cls: int = 0) -> Sent | None:
    """Whether a request may go anywhere right now; it leaves again where not."""
    one = driver.request(cls)
    if history := driver.history.get(one):
        return history[-1][0]
    driver.feed(balancing.ClientDisconnected(one))
    driver.answers[one] = "left"
    driver.feed(balancing.TimerFired(0))  # a fresh look for the next
    return None


def go(driver: Driver, host: int = 100, cls: int = 0) -> Sent:
    """A request that may go, and where."""
    sent = tried(driver, cls)
    assert sent and sent.host == host
    return sent


def part(driver: Driver, requests: int) -> float:
    """Of so many requests, the part that may go somewhere at once."""
    count = 0
    for _ in range(requests):
        if sent := tried(driver):
            count += 1
            driver.end(sent, 50.0)
    return count / requests


def until(driver: Driver, host: int, step: float = 5.0) -> float:
    """How long it takes until a request goes to this host; what goes elsewhere is answered."""
    began = driver.now
    while not (sent := tried(driver)) or sent.host != host:
        if sent:
            driver.end(sent, 50.0)
        driver.now += step
        if driver.now - began > 20 * AIM:
            return math.inf
    return driver.now - began


# Trials.


def trial_waits(seed: int, outcomes: str) -> list[float]:
    """The waits before the next trial, in aims, at a host whose trials end so."""
    driver, waits = quiet(2, seed=seed), []
    host = driver.balancer.hosts[100]
    for one in outcomes:
        driver.now = host.readmit_at if host.readmit_at < math.inf else driver.now + 10.0
        known(driver, ENDS[one], 100)
        if one != "o":
            waits.append((host.readmit_at - driver.now) / AIM)
    return waits


@pytest.mark.parametrize(
    ("outcomes", "means"),
    [
        ("ccccccc", [0.5, 1, 2, 4, 8, 16, 16]),  # half an aim, doubled up to 32 times that: forty copies try
        ("ctcer", [0.5, 1, 2, 4, 8]),  # whatever the trial ends in
        ("ccococ", [0.5, 1, 1, 1]),
        ("coooc", [0.5, 0.5]),
    ],
)  # an answer takes one back
def test_a_trial_waits_longer_after_each_failure_and_not_in_step(outcomes: str, means: list[float]) -> None:
    rows = [trial_waits(seed, outcomes) for seed in range(40)]
    for mean, waits in zip(means, zip(*rows, strict=True), strict=True):
        assert 0.5 * mean <= min(waits) < 0.65 * mean and 1.35 * mean < max(waits) <= 1.5 * mean


def test_where_classes_differ_the_shortest_aim_counts() -> None:
    driver = Driver(settings(SAFE, dataclasses.replace(SAFE, aim_ms=400.0)), hosts(2, 0))
    known(driver, Outcome.CONNECT_FAILED, 100)
    assert driver.balancer.hosts[100].readmit_at - driver.now <= 300 and driver.balancer.service_time == 40


def test_a_trial_is_one_request_that_may_run_twice_and_what_fails_meanwhile_prolongs_nothing() -> None:
    driver = quiet(2)
    driver.warm(20.0)
    at_bad = [sent for sent in (tried(driver) for _ in range(8)) if sent and sent.host == 100]
    driver.end(at_bad.pop(), 1.0, Outcome.CONNECT_FAILED)
    due = driver.balancer.hosts[100].readmit_at
    for sent in at_bad[1:]:
        driver.end(sent, 1.0, Outcome.CONNECT_FAILED)
    assert driver.balancer.hosts[100].readmit_at == due, "one cause, one strike"
    while others := [sent for sent in driver.flying.values() if sent.host == 101]:
        driver.end(others[0], 20.0)
    driver.now = due + 1.0
    assert until(driver, 100) == math.inf, "one of old is still out there"
    driver.end(at_bad[0], 1.0, Outcome.CANCELLED)
    for _ in range(20):
        driver.end(go(driver, 101, cls=1), 20.0)  # what may not run twice tries no host
    assert until(driver, 100) < 50
    assert until(driver, 100) == math.inf, "the trial is out"


def test_where_probes_are_allowed_no_request_tries_a_host() -> None:
    driver = Driver(settings(SAFE, peers=1, second_copies=False, probes=True), hosts(2, 0))
    driver.warm(20.0)
    known(driver, Outcome.CONNECT_FAILED, 100)
    assert until(driver, 100, 50.0) == math.inf
    probes = [one for one in driver.other if isinstance(one, balancing.HealthCheck)]
    # Half an aim, then one, two, four, four..., each with up to half on top or off, of twenty aims.
    assert 5 <= len(probes) <= 10 and {one.host for one in probes} == {100}
    known(driver, Outcome.OK, 100)
    assert until(driver, 100) < 500, "cold at first"


@pytest.mark.parametrize(("word", "out"), [(-10.0, True), (10.0, False)])
def test_silence_is_a_time_out_with_no_word_since_the_attempt(word: float, out: bool) -> None:
    driver = quiet(1, 1)
    driver.warm(50.0)
    sent = go(driver)
    driver.now += word
    known(driver, Outcome.OK, 100)
    driver.now = sent.at + 900.0
    driver.reply(sent, Outcome.TIMEOUT)
    assert (driver.balancer.hosts[100].readmit_at < math.inf) is out


@pytest.mark.parametrize("seed", range(6))
def test_all_hosts_out_are_distrusted_but_only_where_none_is_due(seed: int) -> None:
    driver = quiet(2, 2, seed)
    known(driver, Outcome.FULL, 100, 101, 102, 103)
    held = driver.request()
    known(driver, Outcome.CONNECT_FAILED, 100, 101, 102, 103)
    driver.now += 110.0  # longer than they are full
    driver.feed(balancing.TimerFired(0))
    driver.reply(driver.of(held)[0])  # what was held is given a chance too
    known(driver, Outcome.CONNECT_FAILED, 100, 101, 102, 103)
    due = 100 + seed % 3
    driver.balancer.hosts[due].readmit_at = driver.now
    assert go(driver, due) and driver.balancer.hosts[103].readmit_at < math.inf
    other = tried(driver)
    assert other and other.host in (100, 101), "the own zone where it has any"
    assert all(host.readmit_at == math.inf for host in driver.balancer.hosts.values()), (
        "in their levels again"
    )


# Cold starts.


@pytest.mark.parametrize(
    ("fall", "script", "cold"),
    [
        (1000, "c 990o", False),
        (1000, "c 1020o", True),
        (500, "c 600o", False),  # not within an aim
        (2000, "c 1900o", False),  # nor in the time in which one falls over
        (1000, "c 800c 800o", True),  # counted from the first failure
        (1000, "c 800f 800o", False),  # it lived
        (1000, "c 10o 1600c 100o", False),
    ],
)  # forgotten with the answer
def test_a_host_is_cold_after_long_silence(fall: float, script: str, cold: bool) -> None:
    driver = quiet(fall=fall)
    driver.warm(50.0)
    for step in script.split():
        driver.now += float(step[:-1] or 1)
        known(driver, ENDS[step[-1]], 100)
    assert (driver.balancer.hosts[100].mean_latency == 0.0) is cold, "what was known holds no longer"
    driver.now += 200.0
    assert (part(driver, 50) < 0.5) is cold


def test_hosts_that_were_all_out_are_not_taken_for_restarted() -> None:
    driver = quiet(2)
    driver.warm(50.0)
    for wait in (0.0, 1600.0):
        driver.now += wait
        known(driver, Outcome.CONNECT_FAILED, 100, 101)
    assert part(driver, 30) == 1, "the fault was in our own view"


@pytest.mark.parametrize(
    ("age", "least", "most"),
    [
        # A tenth of its all cold (a quarter of twice a fifth), half of it at the end,
        # by chance of an even split.
        (-5000.0, 0.06, 0.14),
        (0.0, 0.06, 0.14),
        (5000.0, 0.25, 0.35),
        (9990.0, 0.44, 0.56),
        (10_000.0, 1, 1),
    ],
)
def test_a_cold_host_takes_a_part_that_grows_with_its_age(age: float, least: float, most: float) -> None:
    driver = quiet(started=100_000.0 - age)
    driver.started[100] = 0.0  # the driver's own rule does not know of starts to come
    assert least <= part(driver, 400) <= most


def test_a_host_without_a_start_is_warm_however_young_the_clock() -> None:
    driver = Driver(settings(SAFE, second_copies=False), hosts(1, 0), now=1000.0)
    assert part(driver, 30) == 1


def test_what_is_cold_takes_one_request_at_a_time_and_none_that_failed_elsewhere() -> None:
    driver = quiet(started=91_000.0)
    assert sum(tried(driver) is not None for _ in range(40)) == 1
    for seed in range(25):
        driver = quiet(2, seed=seed)
        driver.feed(
            balancing.EndpointUpdate(
                balancing.EndpointUpdateKind.DELTA, (balancing.Endpoint(101, started_ms=91_000.0),)
            )
        )
        if (first := tried(driver)) and first.host == 100:
            driver.end(first, 1.0, Outcome.CONNECT_FAILED)
            assert len(driver.of(first.id)) == 1


def test_a_cold_host_is_not_given_what_no_other_can_take() -> None:
    # Of six hosts it is among the first two drawn three times in ten, and takes half of those.
    driver = quiet(6)
    driver.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, (balancing.Endpoint(100, started_ms=91_000.0),)
        )
    )
    known(driver, Outcome.CONNECT_FAILED, *range(101, 106))
    assert 0.12 < part(driver, 300) < 0.25


# How many may be out at a host.


@pytest.mark.parametrize(("peers", "most"), [(1, 5), (2, 3), (3, 2), (500, 1)])
def test_all_copies_together_crowd_no_host(peers: int, most: int) -> None:
    driver = quiet(peers=peers)
    driver.warm(160.0 / most)  # too slow for twice as many, quick enough for these
    assert sum(tried(driver) is not None for _ in range(20)) == most


@pytest.mark.parametrize(
    ("took", "most"),
    [
        (15.0, 8),
        (24.0, 6),
        (29.0, 5),
        (40.0, 5),  # as much again where one is expected within 0.15 of an aim
        (200.0, 2),
        (300.0, 1),  # no more than can be answered within a patience, half an aim at most
        (600.0, 0),
    ],
)
def test_what_is_out_at_a_host_is_what_it_answers_soon(took: float, most: int) -> None:
    driver = quiet()
    driver.warm(took, 60, apart=700.0)  # long unheard: the estimate is stale, one may look
    assert sum(tried(driver) is not None for _ in range(20)) == most
    if not most:
        driver.now += took - 2
        assert tried(driver) is None
        driver.now += 2
        assert tried(driver) and tried(driver) is None


@pytest.mark.parametrize(
    ("paces", "expected"),
    [([50.0] * 4, 50.0), ([50.0] * 8 + [450.0] * 4, 323.0), ([400.0] * 8 + [0.0] * 4, 127.0)],
)
def test_a_pace_follows_the_last_four_answers(paces: list[float], expected: float) -> None:
    driver = quiet()
    for took in paces:
        driver.warm(took, 1, apart=700.0)
    assert driver.balancer.hosts[100].mean_latency == pytest.approx(expected, rel=0.08)


def test_answers_of_several_at_once_tell_the_pace_of_one() -> None:
    driver = quiet()
    for number, sent in enumerate([go(driver) for _ in range(3)], 1):
        driver.end(sent, 40.0 * number)
    assert driver.balancer.hosts[100].mean_latency == pytest.approx(40.0)
    assert driver.balancer.service_time == pytest.approx(
        (100.0 + 3 * 40.0) / 4
    )  # the guess weighs as one answer


def test_the_fleets_service_time_is_a_mean_first_and_outlasts_one_trouble_later() -> None:
    driver = quiet(2)
    for count in range(1, 40):
        driver.warm(40.0, 1)
        assert driver.balancer.service_time == pytest.approx((100.0 + count * 40.0) / (count + 1))
    driver.warm(40.0, 160)
    before = driver.balancer.service_time
    driver.warm(400.0, 10, apart=2 * AIM)
    assert 1.5 * before < driver.balancer.service_time < 3.5 * before, "ten of fifty answers"


@pytest.mark.parametrize("outcome", [o for o in Outcome if o not in (Outcome.OK, Outcome.TIMEOUT)])
def test_only_answers_and_time_outs_tell_a_pace(outcome: Outcome) -> None:
    driver = quiet(1, 1)
    driver.warm(50.0)
    driver.end(go(driver), 700.0, outcome)
    assert driver.balancer.hosts[100].mean_latency == 50.0 and driver.balancer.service_time == pytest.approx(
        50.8, abs=0.5
    )


# Silence, and requests that got lost.


def test_the_oldest_request_that_is_out_tells_of_silence() -> None:
    driver = quiet(1, 1)
    driver.warm(50.0)
    go(driver)
    driver.now += math.sqrt(50.6 * AIM) - 30  # a patience
    go(driver)
    driver.now += 40
    go(driver, 101)


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
def test_two_later_answers_show_that_a_request_got_lost(
    later: tuple[float, ...], outcome: Outcome, lost: bool
) -> None:
    driver = quiet(1, 1)
    driver.warm(20.0)
    start = driver.now
    sent: dict[int, Sent] = {}
    for number, after in sorted(enumerate((0.0, *later)), key=lambda one: one[1]):
        driver.now = start + after
        sent[number] = go(driver)
    driver.now = start + 30.0
    for number in range(1, len(later) + 1):
        driver.reply(sent[number], outcome)
    driver.now = start + 400.0  # more than a patience, of about 145
    if outcome is Outcome.OK:
        driver.end(go(driver, 100 if lost else 101), 20.0)  # the host is used or not
    host = driver.balancer.hosts[100]
    pace = host.mean_latency
    driver.end(sent[0], 900.0, Outcome.TIMEOUT)
    assert (host.mean_latency == pace) == lost, "speaks of its host, or not"


def test_what_got_lost_takes_no_room() -> None:
    driver = quiet(peers=500)
    driver.warm(20.0)
    go(driver)
    for _ in range(2):
        driver.now += 10
        driver.end(go(driver), 5.0)
    assert go(driver) and go(driver) and not tried(driver), "two, where answers come so soon"


def test_a_held_request_is_a_trial_where_no_other_host_has_room() -> None:
    driver = quiet(2)
    driver.warm(50.0)
    while (sent := tried(driver)) and sent.host != 101:
        driver.end(sent, 50.0)
    known(driver, Outcome.CONNECT_FAILED, 100)
    driver.now += 240  # a patience and more
    held = driver.request()
    driver.balancer.hosts[100].readmit_at = driver.now + 50
    driver.feed(balancing.TimerFired(0))
    assert not driver.of(held)
    driver.now += 60
    driver.feed(balancing.TimerFired(0))
    assert driver.of(held)[0].host == 100


def test_a_time_out_counts_as_word_of_a_jammed_host() -> None:
    driver = quiet(1, 1)
    driver.warm(50.0)
    sent = go(driver)
    driver.now += 800.0
    known(driver, Outcome.OK, 100)  # it lives
    driver.reply(sent, Outcome.TIMEOUT)
    assert driver.balancer.hosts[100].mean_latency == pytest.approx(50.0 + (800.0 - 50.0) / 4)
    go(driver, 101)  # a further one would wait at the other


@pytest.mark.parametrize("paces", [[20.0] * 40 + [200.0] * 6, [200.0] * 40 + [20.0] * 8])
def test_a_full_host_is_left_alone_for_about_an_answer_of_its_own_or_of_the_fleet(paces: list[float]) -> None:
    driver = quiet()
    for took in paces:
        driver.warm(took, 1, apart=300.0)
    known(driver, Outcome.FULL, 100)
    assert 150 < until(driver, 100) < 190


@pytest.mark.parametrize(("classes", "tried"), [((UNSAFE,), True), ((SAFE, UNSAFE), False)])
def test_where_nothing_may_be_repeated_an_unsafe_request_tries_a_host(
    classes: tuple[balancing.RequestClass, ...], tried: bool
) -> None:
    # With one class that never runs twice and no probes, who was out stayed out until all were.
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
    assert any(sent.host == 100 for sent in driver.log[before:]) is tried
