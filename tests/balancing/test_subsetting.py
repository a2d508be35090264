"""Where copies are many each keeps to a part of the hosts: how large, how stable, how evenly spread."""

from __future__ import annotations

from collections import Counter

import pytest
from helpers import SAFE, UNSAFE, Driver, hosts, settings
from hypothesis import given
from hypothesis import settings as within
from hypothesis import strategies as st

from coveport import balancing
from coveport.balancing import subsetting


def copy(peers: int, local: int, remote: int = 0, seed: int = 1) -> Driver:
    return Driver(settings(SAFE, UNSAFE, peers=peers), hosts(local=local, remote=remote), seed=seed)


def kept(driver: Driver) -> set[int]:
    return {host.id for host in driver.balancer.local}


@pytest.mark.parametrize(("peers", "local"), [(1, 30), (6, 10), (10, 17), (12, 4)])
def test_a_small_fleet_keeps_to_the_whole_zone(peers: int, local: int) -> None:
    driver = copy(peers, local, remote=20 - local if local < 20 else 0)
    assert len(kept(driver)) == local and len(driver.balancer.wide) == len(driver.balancer.ready_hosts)


@within(max_examples=40)
@given(st.integers(16, 1000), st.integers(1, 60), st.integers(0, 90), st.integers(0, 9), st.data())
def test_few_change_when_a_host_comes_or_goes(
    peers: int, local: int, remote: int, seed: int, data: st.DataObject
) -> None:
    driver = copy(peers, local, remote, seed)
    before, size = kept(driver), len(driver.balancer.local)
    assert min(local, subsetting.MIN_SUBSET) <= size <= local and set(before) <= {
        100 + n for n in range(local)
    }
    gone = data.draw(st.integers(100, 99 + local))
    driver.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA,
            (balancing.Endpoint(gone, 0, state=balancing.EndpointState.GONE),),
        )
    )
    after = kept(driver)
    assert len(after - before) <= 1 and before - after <= {gone, *before} and gone not in after
    assert len(before - after) <= 1 + (len(after) < size)
    come(driver, 5000)
    now = kept(driver)
    grown = max(0, len(now) - len(after))
    assert len(now - after - {5000, *before}) <= grown and len(after - now) <= 1
    assert now == lowest_ranked_local(driver, len(now))


def come(driver: Driver, host: int) -> None:
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, (balancing.Endpoint(host, 0),)))


def lowest_ranked_local(driver: Driver, size: int) -> set[int]:
    local = [host for host in driver.balancer.ready_hosts if host.zone == driver.balancer.settings.zone]
    return {host.id for host in sorted(local, key=lambda host: host.rank)[:size]}


def test_a_subset_that_grows_with_a_new_host_takes_the_next_by_rank() -> None:
    """A new host may raise the rounded size: then one more old host enters, which is no host of before."""
    driver = copy(16, 6, 2, 4)
    before = kept(driver)
    driver.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA,
            (balancing.Endpoint(100, 0, state=balancing.EndpointState.GONE),),
        )
    )
    after = kept(driver)
    come(driver, 5000)
    now = kept(driver)
    assert len(now) == len(after) + 1
    assert len(now - after - {5000, *before}) == 1
    assert now == lowest_ranked_local(driver, len(now))


def test_each_host_is_kept_by_about_as_many_copies_new_ones_too() -> None:
    copies = [copy(200, 40, 80, seed) for seed in range(200)]
    for driver in copies:
        driver.feed(
            balancing.EndpointUpdate(
                balancing.EndpointUpdateKind.DELTA, tuple(balancing.Endpoint(1000 + n, 0) for n in range(8))
            )
        )
    count = Counter(host for driver in copies for host in kept(driver))
    # 200 copies of one zone, seven hosts each.
    assert len(count) == 48 and min(count.values()) >= 12 and max(count.values()) <= 45
    fresh, old = (
        sum(number for host, number in count.items() if (host >= 1000) is new) / many
        for new, many in ((True, 8), (False, 40))
    )
    assert abs(fresh - old) < 0.2 * old, (fresh, old)


def test_who_is_asked_much_keeps_to_more_and_to_fewer_again_in_quiet() -> None:
    driver = copy(200, 60)
    few = len(kept(driver))
    driver.serve(900, gap=10.0)
    many = len(kept(driver))
    assert many > 5 * few and few <= 6
    for _ in range(4):
        driver.now += 20_000
        driver.serve(1)
    assert len(kept(driver)) == few


def test_who_asks_again_is_turned_away_while_answers_are_slow_and_no_sooner() -> None:
    driver = copy(4, 10)
    aim = driver.balancer.latency_target
    for lately, sent in ((0.2 * aim, True), (0.3 * aim, False)):
        driver.balancer.recent_latency = lately
        again = driver.request(repeat=True)
        refused = isinstance(driver.answers.get(again), balancing.Refuse)
        assert bool(driver.of(again)) is sent and refused is not sent
        assert driver.of(driver.request()), "a first try goes in any case"


def test_a_part_that_is_out_leads_wide_and_a_wide_part_that_is_out_anywhere() -> None:
    driver = copy(200, 60, 60)
    for level in (driver.balancer.local, driver.balancer.wide):
        for host in list(level):
            host.readmit_at = driver.now + 1e6
        sent = driver.of(driver.request())
        assert sent and sent[0].host not in {host.id for host in level}
