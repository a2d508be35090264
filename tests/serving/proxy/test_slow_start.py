"""What a cold node receives from all proxies together."""

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


def cold(until_s: float) -> KnownNode:
    return KnownNode(NODE, 0.0, until_s, FOREVER)


def arrivals(proxies: int, seed: int, seconds: float, *, turns_cold_at_s: float = 0.0) -> list[float]:
    """Every proxy sends as soon as it may, 50 times a second, each with a way of its own to the node."""
    random = Random(seed)
    view = ControlView(max_proxies=proxies)
    credits = [SlowStartLimiter(1.5, 5, Random(random.random())) for _ in range(proxies)]
    ways = [random.random() * 0.05 for _ in range(proxies)]
    found = []
    for step in range(int(seconds * 50)):
        now = step / 50
        node = cold(seconds if now >= turns_cold_at_s else 0.0)
        for credit, way in zip(credits, ways, strict=True):
            warm = now < turns_cold_at_s
            if (not warm or step % 50 == 0) and credit.may_send(node, SERVICE, view, now):
                credit.record_send(node, SERVICE, view, now)
                if not warm:
                    found.append(now + way)
    return sorted(found)


def most_in_a_second(times: list[float]) -> int:
    most, begin = 0, 0
    for end, at in enumerate(times):
        while times[begin] <= at - 1.0:
            begin += 1
        most = max(most, end - begin + 1)
    return most


@pytest.mark.parametrize("proxies", [1, 3, 7, 9, 19, 20, 89, 340])
def test_sum_over_all_proxies_stays_under_the_rule(proxies: int) -> None:
    for seed in range(5):
        found = arrivals(proxies, seed, 8.0)
        assert most_in_a_second(found) <= BOUND
        assert len(found) >= 8  # and it is not starved either


@pytest.mark.parametrize("proxies", [9, 89])
def test_node_whose_warm_up_begins_anew_is_not_sent_to_by_all_at_once(proxies: int) -> None:
    for seed in range(5):
        found = arrivals(proxies, seed, 6.0, turns_cold_at_s=2.0)
        assert most_in_a_second(found) <= BOUND


def test_warm_node_is_not_limited() -> None:
    credit, view = SlowStartLimiter(1.5, 5, Random(1)), ControlView(max_proxies=9)
    for _ in range(200):
        assert credit.may_send(cold(0.0), SERVICE, view, 10.0)
        credit.record_send(cold(0.0), SERVICE, view, 10.0)
    assert not credit.may_send(cold(20.0), SERVICE, view, 10.5)  # what it had counts once it is cold


def test_node_counts_as_warming_up_after_an_evacuation_until_it_reports() -> None:
    view = ControlView(evacuation_ended_at_s={"z": 10.0})
    assert is_warming_up(KnownNode(NODE, 9.0, 0.0, FOREVER), SERVICE, view, 11.0)
    assert not is_warming_up(KnownNode(NODE, 10.5, 0.0, FOREVER), SERVICE, view, 11.0)
    assert is_warming_up(KnownNode(NODE, 10.5, 12.0, FOREVER), SERVICE, view, 11.0)
    assert not is_warming_up(KnownNode(NODE, 9.0, 0.0, FOREVER), SERVICE, view, 13.0)


def test_gone_nodes_are_dropped() -> None:
    credit, view = SlowStartLimiter(1.5, 5, Random(1)), ControlView(max_proxies=9)
    for _ in range(5):
        credit.record_send(cold(20.0), SERVICE, view, 10.0)
    assert not credit.may_send(cold(20.0), SERVICE, view, 10.0)
    credit.forget_all_but(frozenset({"n"}))
    assert not credit.may_send(cold(20.0), SERVICE, view, 10.0)
    credit.forget_all_but(frozenset())
    assert credit.may_send(cold(20.0), SERVICE, view, 10.0)
