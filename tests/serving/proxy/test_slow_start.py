"""The requests that a node in its warm-up receives from all proxies together."""

from __future__ import annotations

from random import Random

import pytest

from coveport.serving.model.configuration import Service
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.slow_start import SlowStartLimiter, is_warming_up

SERVICE = Service("s", warm_up_s=3.0, warm_up_rate=9.8)
BOUND = 9.8 * 1.5 + 5
FOREVER = float("inf")
NODE = Node("n", 1, "s", "10.0.0.1:80", "z", "r", 64, NodeState.ACCEPTING)


def known_node(warming_until_s: float) -> KnownNode:
    return KnownNode(NODE, 0.0, warming_until_s, FOREVER)


def arrivals(proxies: int, seed: int, seconds: float, *, warm_up_at_s: float = 0.0) -> list[float]:
    """Return the arrival times at a node to which every proxy sends as soon as it may.

    Each proxy may send 50 times a second, with its own network delay to the node. Before `warm_up_at_s` it
    sends only once a second; these sends are not returned.
    """
    random = Random(seed)
    view = ControlView(max_proxies=proxies)
    limiters = [SlowStartLimiter(1.5, 5, Random(random.random())) for _ in range(proxies)]
    delays_s = [random.random() * 0.05 for _ in range(proxies)]
    arrival_times = []
    for step in range(int(seconds * 50)):
        now = step / 50
        node = known_node(seconds if now >= warm_up_at_s else 0.0)
        for limiter, delay_s in zip(limiters, delays_s, strict=True):
            is_warm = now < warm_up_at_s
            if (not is_warm or step % 50 == 0) and limiter.may_send(node, SERVICE, view, now):
                limiter.record_send(node, SERVICE, view, now)
                if not is_warm:
                    arrival_times.append(now + delay_s)
    return sorted(arrival_times)


def most_in_a_second(times: list[float]) -> int:
    most, first = 0, 0
    for last, time_s in enumerate(times):
        while times[first] <= time_s - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("proxies", [1, 3, 7, 9, 19, 20, 89, 340])
def test_sum_over_all_proxies_stays_under_the_rule(proxies: int) -> None:
    for seed in range(5):
        times = arrivals(proxies, seed, 8.0)
        assert most_in_a_second(times) <= BOUND
        assert len(times) >= 8  # the node still receives requests


@pytest.mark.parametrize("proxies", [9, 89])
def test_node_whose_warm_up_restarts_does_not_receive_from_all_proxies_at_once(proxies: int) -> None:
    for seed in range(5):
        times = arrivals(proxies, seed, 6.0, warm_up_at_s=2.0)
        assert most_in_a_second(times) <= BOUND


def test_warm_node_is_not_limited() -> None:
    limiter, view = SlowStartLimiter(1.5, 5, Random(1)), ControlView(max_proxies=9)
    for _ in range(200):
        assert limiter.may_send(known_node(0.0), SERVICE, view, 10.0)
        limiter.record_send(known_node(0.0), SERVICE, view, 10.0)
    assert not limiter.may_send(known_node(20.0), SERVICE, view, 10.5)  # earlier sends count in the warm-up


def test_node_counts_as_warming_up_after_an_evacuation_until_it_reports() -> None:
    view = ControlView(evacuation_ended_at_s={"z": 10.0})
    assert is_warming_up(KnownNode(NODE, 9.0, 0.0, FOREVER), SERVICE, view, 11.0)
    assert not is_warming_up(KnownNode(NODE, 10.5, 0.0, FOREVER), SERVICE, view, 11.0)
    assert is_warming_up(KnownNode(NODE, 10.5, 12.0, FOREVER), SERVICE, view, 11.0)
    assert not is_warming_up(KnownNode(NODE, 9.0, 0.0, FOREVER), SERVICE, view, 13.0)


def test_counts_of_removed_nodes_are_dropped() -> None:
    limiter, view = SlowStartLimiter(1.5, 5, Random(1)), ControlView(max_proxies=9)
    for _ in range(5):
        limiter.record_send(known_node(20.0), SERVICE, view, 10.0)
    assert not limiter.may_send(known_node(20.0), SERVICE, view, 10.0)
    limiter.forget_all_but(frozenset({"n"}))
    assert not limiter.may_send(known_node(20.0), SERVICE, view, 10.0)
    limiter.forget_all_but(frozenset())
    assert limiter.may_send(known_node(20.0), SERVICE, view, 10.0)
