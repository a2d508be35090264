"""The size, stability and even spread of the subsets of hosts that balancers use in a large fleet."""

from __future__ import annotations

from collections import Counter

import pytest
from helpers import SAFE, UNSAFE, Driver, hosts, settings
from hypothesis import given
from hypothesis import settings as within
from hypothesis import strategies as st

from coveport import balancing
from coveport.balancing import subsetting


def make_driver(peers: int, local: int, remote: int = 0, seed: int = 1) -> Driver:
    return Driver(settings(SAFE, UNSAFE, peers=peers), hosts(local=local, remote=remote), seed=seed)


def local_subset(driver: Driver) -> set[int]:
    return {host.id for host in driver.balancer.local}


@pytest.mark.parametrize(("peers", "local"), [(1, 30), (6, 10), (10, 17), (12, 4)])
def test_a_small_fleet_uses_the_whole_zone(peers: int, local: int) -> None:
    driver = make_driver(peers, local, remote=20 - local if local < 20 else 0)
    assert len(local_subset(driver)) == local and len(driver.balancer.wide) == len(
        driver.balancer.ready_hosts
    )


@within(max_examples=40)
@given(st.integers(16, 1000), st.integers(1, 60), st.integers(0, 90), st.integers(0, 9), st.data())
def test_adding_or_removing_a_host_changes_few_members(
    peers: int, local: int, remote: int, seed: int, data: st.DataObject
) -> None:
    driver = make_driver(peers, local, remote, seed)
    before, size = local_subset(driver), len(driver.balancer.local)
    assert min(local, subsetting.MIN_SUBSET) <= size <= local and set(before) <= {
        100 + n for n in range(local)
    }
    removed = data.draw(st.integers(100, 99 + local))
    driver.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA,
            (balancing.Endpoint(removed, 0, state=balancing.EndpointState.GONE),),
        )
    )
    after = local_subset(driver)
    assert len(after - before) <= 1 and before - after <= {removed, *before} and removed not in after
    assert len(before - after) <= 1 + (len(after) < size)
    add_host(driver, 5000)
    current = local_subset(driver)
    grown = max(0, len(current) - len(after))
    assert len(current - after - {5000, *before}) <= grown and len(after - current) <= 1
    assert current == lowest_ranked_local(driver, len(current))


def add_host(driver: Driver, host: int) -> None:
    driver.feed(balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, (balancing.Endpoint(host, 0),)))


def lowest_ranked_local(driver: Driver, size: int) -> set[int]:
    local = [host for host in driver.balancer.ready_hosts if host.zone == driver.balancer.settings.zone]
    return {host.id for host in sorted(local, key=lambda host: host.rank)[:size]}


def test_a_subset_that_grows_with_a_new_host_takes_the_next_by_rank() -> None:
    """A new host may raise the rounded size; then one old host enters that was not in the subset before."""
    driver = make_driver(16, 6, 2, 4)
    before = local_subset(driver)
    driver.feed(
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA,
            (balancing.Endpoint(100, 0, state=balancing.EndpointState.GONE),),
        )
    )
    after = local_subset(driver)
    add_host(driver, 5000)
    current = local_subset(driver)
    assert len(current) == len(after) + 1
    assert len(current - after - {5000, *before}) == 1
    assert current == lowest_ranked_local(driver, len(current))


def test_hosts_are_in_equally_many_subsets_new_hosts_too() -> None:
    drivers = [make_driver(200, 40, 80, seed) for seed in range(200)]
    for driver in drivers:
        driver.feed(
            balancing.EndpointUpdate(
                balancing.EndpointUpdateKind.DELTA, tuple(balancing.Endpoint(1000 + n, 0) for n in range(8))
            )
        )
    count = Counter(host for driver in drivers for host in local_subset(driver))
    # 200 balancers of one zone, seven hosts each.
    assert len(count) == 48 and min(count.values()) >= 12 and max(count.values()) <= 45
    new_mean, old_mean = (
        sum(number for host, number in count.items() if (host >= 1000) is new) / host_count
        for new, host_count in ((True, 8), (False, 40))
    )
    assert abs(new_mean - old_mean) < 0.2 * old_mean, (new_mean, old_mean)


def test_the_subset_grows_with_the_load_and_shrinks_again() -> None:
    driver = make_driver(200, 60)
    initial_size = len(local_subset(driver))
    driver.serve(900, gap=10.0)
    busy_size = len(local_subset(driver))
    assert busy_size > 5 * initial_size and initial_size <= 6
    for _ in range(4):
        driver.now += 20_000
        driver.serve(1)
    assert len(local_subset(driver)) == initial_size


def test_client_retries_are_refused_only_while_answers_are_slow() -> None:
    driver = make_driver(4, 10)
    target = driver.balancer.latency_target
    for recent_latency, is_sent in ((0.2 * target, True), (0.3 * target, False)):
        driver.balancer.recent_latency = recent_latency
        retry_id = driver.request(repeat=True)
        is_refused = isinstance(driver.answers.get(retry_id), balancing.Refuse)
        assert bool(driver.of(retry_id)) is is_sent and is_refused is not is_sent
        assert driver.of(driver.request()), "a first try is sent in any case"


def test_requests_go_to_the_next_level_if_all_hosts_of_a_level_are_ejected() -> None:
    driver = make_driver(200, 60, 60)
    for level in (driver.balancer.local, driver.balancer.wide):
        for host in list(level):
            host.readmit_at = driver.now + 1e6
        sent = driver.of(driver.request())
        assert sent and sent[0].host not in {host.id for host in level}
